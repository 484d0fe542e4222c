"""Callers: they open flows, send requests, and judge what comes back."""

import asyncio
import json

from packets import ACK, FIN, RST, SYN, Packet, add, distance

COPIES = (0.2, 0.6)
OPENING_TIMEOUT = 1.4
FIRST_REPETITION = 0.2
LONGEST_REPETITION = 1.6
# A reset of the system counts if its number is this close.
RESET_WINDOW = 76_800


class FlowEnded(Exception):
    """The flow was reset, or never opened."""


class CallerFlow:
    """One flow of one caller, from its opening to its end."""

    def __init__(self, network, address, port, route, zone):
        self.network = network
        self.loop = asyncio.get_running_loop()
        self.src, self.sport = address, port
        self.dst, self.dport = route
        self.zone = zone
        self.first = network.random.getrandbits(32)
        self.next = add(self.first, 1)
        self.received = 0
        self.echo = 0
        self.host = None
        # When the host had the end of the handshake.
        self.host_opened_at = None
        self.is_open = False
        self.is_over = False
        self.is_closed_by_host = False
        self.began_at = self.loop.time()
        self.copies = 0
        self.parts = {}
        self.text = b""
        self.unacknowledged = None
        self.changed = asyncio.Event()

    def key(self):
        return (self.src, self.sport, self.dst, self.dport)

    def send(self, flags, seq, ack, data=b"", echo=None):
        packet = Packet(
            self.src, self.sport, self.dst, self.dport, flags, seq, ack,
            self.echo if echo is None else echo, data)
        self.network.to_system(self, packet)

    async def open(self):
        """Sends the opening and its copies; raises if nobody takes it."""
        began = self.loop.time()
        pauses = [began + pause for pause in COPIES] + [began + OPENING_TIMEOUT]
        for due in pauses:
            self.send(SYN, self.first, self.copies, echo=0)
            self.copies += 1
            await self.wait(lambda: self.is_open or self.is_over, due)
            if self.is_over:
                raise FlowEnded("refused")
            if self.is_open:
                return
        self.is_over = True
        raise FlowEnded("not opened")

    async def wait(self, condition, deadline):
        while not condition():
            left = deadline - self.loop.time()
            if left <= 0:
                return
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                return

    async def ask(self, request, deadline):
        """Sends a request, and gives its answer, or None in vain."""
        data = json.dumps(request).encode() + b"\n"
        seq = self.next
        self.next = add(self.next, len(data))
        pause = FIRST_REPETITION
        while not self.is_over and self.loop.time() < deadline:
            self.send(ACK, seq, self.received, data)
            until = min(deadline, self.loop.time() + pause)
            pause = min(2 * pause, LONGEST_REPETITION)
            self.unacknowledged = add(seq, len(data))
            await self.wait(lambda: b"\n" in self.text or self.is_over or
                            self.unacknowledged is None, until)
            if self.unacknowledged is None:
                await self.wait(lambda: b"\n" in self.text or self.is_over,
                                deadline)
            if b"\n" in self.text:
                line, self.text = self.text.split(b"\n", 1)
                return json.loads(line)
        if self.is_over:
            raise FlowEnded("reset")
        return None

    def close(self):
        if self.is_open and not self.is_over:
            self.send(FIN | ACK, self.next, self.received)
        self.is_over = True

    def take(self, packet, host):
        """`host` is None for what the system itself sent."""
        if packet.flags & RST:
            return self.take_reset(packet, host)
        self.echo = packet.echo
        if packet.flags & SYN:
            return self.take_opened(packet, host)
        if not self.is_open or host is not self.host or self.is_over:
            return
        if self.unacknowledged is not None and \
                distance(packet.ack, self.unacknowledged) >= 0:
            self.unacknowledged = None
        if packet.data:
            self.take_data(packet)
        if packet.flags & FIN:
            self.is_closed_by_host = True
        self.changed.set()

    def take_opened(self, packet, host):
        if self.is_open or self.is_over:
            return
        if packet.ack != add(self.first, 1):
            return
        self.is_open = True
        self.host = host
        self.received = add(packet.seq, 1)
        self.send(ACK, self.next, self.received)
        self.changed.set()

    def take_data(self, packet):
        if distance(packet.seq, self.received) >= 0:
            self.parts[packet.seq] = packet.data
        while self.received in self.parts:
            part = self.parts.pop(self.received)
            self.received = add(self.received, len(part))
            self.text += part
        self.send(ACK, self.next, self.received)

    def take_reset(self, packet, host):
        if self.is_over:
            return
        is_near = abs(distance(packet.seq, self.received)) <= RESET_WINDOW
        if self.is_open and not is_near:
            return
        self.network.note_reset(self, host)
        self.is_over = True
        self.changed.set()


class Caller:
    """A user: opens flows one after the other, with requests and pauses."""

    def __init__(self, network, address, zone, kind, plan):
        self.network = network
        self.address = address
        self.zone = zone
        self.kind = kind
        self.plan = plan

    async def run(self, until):
        loop = asyncio.get_running_loop()
        random = self.network.random
        await asyncio.sleep(random.uniform(0, self.plan["spread"]))
        while loop.time() < until:
            flow = self.network.make_flow(self)
            try:
                await self.use(flow, until)
            except FlowEnded as ended:
                self.network.note_failure(flow, str(ended))
                await asyncio.sleep(0.05)
            flow.close()
            await asyncio.sleep(0.5)
            self.network.drop_flow(flow)

    async def use(self, flow, until):
        loop = asyncio.get_running_loop()
        random = self.network.random
        attempt = self.network.note_attempt()
        await flow.open()
        for number in range(self.plan["requests"]):
            if number > 0:
                attempt = self.network.note_attempt()
            request = {"id": self.network.make_id(),
                       "bytes": self.kind["bytes"]}
            self.network.note_sent(flow, request["id"], self.kind["name"])
            try:
                answer = await flow.ask(
                    request, loop.time() + self.kind["limit"])
            except FlowEnded:
                self.network.note_lost(flow, request["id"])
                raise
            self.network.note_answer(flow, request["id"], answer)
            if answer is None:
                raise FlowEnded("no answer")
            attempt.is_served = answer["ran"]
            is_last = number + 1 == self.plan["requests"]
            if is_last or loop.time() > until or flow.is_closed_by_host:
                return
            await asyncio.sleep(random.uniform(*self.plan["pause"]))
            if flow.is_over:
                raise FlowEnded("reset between requests")
