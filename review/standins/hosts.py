"""Hosts: they hold flows, run requests, and answer callers directly."""

import asyncio
import json
import random
import socket
import struct

from packets import ACK, FIN, MAXIMUM_DATA, RST, SYN, Packet, add, distance

SLOTS = 3
QUEUE = 8
FIRST_REPETITION = 0.2
LONGEST_REPETITION = 1.6
REPETITIONS = 8


class HostFlow:
    """One flow at one host."""

    def __init__(self, opening, number):
        self.first = number
        self.received = add(opening.seq, 1)
        self.sent = add(number, 1)
        self.acknowledged = add(number, 1)
        self.echo = opening.echo
        self.is_open = False
        self.opened_at = None
        self.unacknowledged = []
        self.text = b""
        self.repetition = None


class Host:
    """Runs requests of one service. `network` passes packets to callers."""

    def __init__(self, network, place, identity, service, zone, work):
        self.network = network
        self.place = place
        self.number = identity
        self.name = "i-%08x" % identity
        self.service = service
        self.zone = zone
        self.work = work
        self.flows = {}
        self.running = 0
        self.queue = []
        self.is_alive = True
        self.drains_since = None
        self.state = "ready"
        self.random = random.Random(identity)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(place)
        asyncio.get_running_loop().add_reader(self.socket, self.receive)
        self.health = None

    async def listen(self):
        self.health = await asyncio.start_server(self.check, *self.place)

    async def check(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = b"200 OK" if self.state == "ready" else b"503 X"
            writer.write(b"HTTP/1.1 " + status + b"\r\nX-Instance-Id: " +
                         self.name.encode() + b"\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def entry(self, born):
        return {"service": self.service, "address": "%s:%d" % self.place,
                "zone": self.zone, "configVersion": "v1", "slots": SLOTS,
                "state": self.state, "coldLeftMs": 0, "seqNo": 1,
                "born": born}

    def receive(self):
        while True:
            try:
                datagram = self.socket.recv(2048)
            except (BlockingIOError, ConnectionError):
                return
            self.network.after_link(self.take, datagram)

    def take(self, datagram):
        if not self.is_alive:
            return
        identity = struct.unpack_from(">Q", datagram)[0]
        if identity not in (0, self.number):
            return
        packet = Packet.decode(datagram[8:])
        if not packet.is_authentic():
            self.network.note_altered(self, packet)
            return
        flow = self.flows.get(packet.flow())
        if packet.flags & SYN:
            self.open(packet, flow)
        elif packet.flags & RST:
            self.forget(packet.flow())
        elif flow is None or not self.holds(flow, packet):
            self.network.note_stray(self, packet)
            self.send(packet.flow(), RST, packet.ack, 0, packet.echo)
        else:
            self.follow(packet, flow)

    def holds(self, flow, packet):
        """A flow opens where the caller acknowledges this host's number."""
        if flow.is_open:
            return abs(distance(packet.ack, flow.acknowledged)) < 1 << 20
        return packet.ack == add(flow.first, 1)

    def open(self, packet, flow):
        if flow is not None and flow.received == add(packet.seq, 1):
            if not flow.is_open:
                flow.echo = packet.echo
                self.answer_opening(packet.flow(), flow)
            return
        self.forget(packet.flow())
        flow = HostFlow(packet, self.random.getrandbits(32))
        self.flows[packet.flow()] = flow
        self.network.note_accepted(self, packet)
        self.answer_opening(packet.flow(), flow)
        self.repeat_later(packet.flow(), flow, FIRST_REPETITION, 0)

    def answer_opening(self, key, flow):
        self.send(key, SYN | ACK, flow.first, flow.received, flow.echo)

    def repeat_later(self, key, flow, pause, count):
        loop = asyncio.get_running_loop()
        flow.repetition = loop.call_later(
            pause, self.repeat, key, flow, pause, count)

    def repeat(self, key, flow, pause, count):
        if self.flows.get(key) is not flow or not self.is_alive:
            return
        if flow.is_open and not flow.unacknowledged:
            flow.repetition = None
            return
        if count == REPETITIONS:
            self.flows.pop(key)
            return
        if not flow.is_open:
            self.answer_opening(key, flow)
        for seq, data, flags in flow.unacknowledged:
            self.send(key, flags, seq, flow.received, flow.echo, data)
        self.repeat_later(
            key, flow, min(2 * pause, LONGEST_REPETITION), count + 1)

    def follow(self, packet, flow):
        key = packet.flow()
        flow.echo = packet.echo
        if not flow.is_open:
            flow.is_open = True
            self.network.note_open(self, packet)
        self.network.note_reached(self, packet)
        if distance(packet.ack, flow.acknowledged) > 0:
            flow.acknowledged = packet.ack
            flow.unacknowledged = [
                one for one in flow.unacknowledged
                if distance(packet.ack, add(one[0], max(len(one[1]), 1))) < 0]
        if packet.data:
            self.take_data(key, packet, flow)
        if packet.flags & FIN:
            self.send(key, FIN | ACK, flow.sent, add(packet.seq, 1), flow.echo)
            self.forget(key)

    def take_data(self, key, packet, flow):
        ahead = distance(packet.seq, flow.received)
        if ahead > 0:
            return
        if ahead < 0:
            return self.send(key, ACK, flow.sent, flow.received, flow.echo)
        flow.received = add(packet.seq, len(packet.data))
        flow.text += packet.data
        while b"\n" in flow.text:
            line, flow.text = flow.text.split(b"\n", 1)
            self.accept(key, flow, json.loads(line))

    def accept(self, key, flow, request):
        if self.running >= SLOTS and len(self.queue) >= QUEUE:
            self.respond(key, flow, {"id": request["id"], "ran": False}, 60)
            return
        self.queue.append((key, flow, request))
        self.run_next()

    def run_next(self):
        while self.queue and self.running < SLOTS:
            key, flow, request = self.queue.pop(0)
            self.running += 1
            self.network.note_run(self, request["id"])
            asyncio.get_running_loop().call_later(
                self.random.uniform(0.5, 1.5) * self.work,
                self.finish, key, flow, request)

    def finish(self, key, flow, request):
        self.running -= 1
        if self.is_alive:
            self.respond(
                key, flow, {"id": request["id"], "ran": True, "by": self.name},
                request["bytes"])
        self.run_next()

    def respond(self, key, flow, body, size):
        if self.flows.get(key) is not flow:
            return
        text = json.dumps(body).encode()
        text = text.ljust(size - 1) + b"\n"
        for start in range(0, len(text), MAXIMUM_DATA):
            part = text[start:start + MAXIMUM_DATA]
            flow.unacknowledged.append((flow.sent, part, ACK))
            self.send(key, ACK, flow.sent, flow.received, flow.echo, part)
            flow.sent = add(flow.sent, len(part))
        if self.state == "draining":
            flow.unacknowledged.append((flow.sent, b"", FIN | ACK))
            self.send(key, FIN | ACK, flow.sent, flow.received, flow.echo)
            flow.sent = add(flow.sent, 1)
        if flow.repetition is not None:
            flow.repetition.cancel()
        self.repeat_later(key, flow, FIRST_REPETITION, 0)

    def drain(self):
        """From now on; the caller of this writes the entry."""
        self.state = "draining"
        self.drains_since = asyncio.get_running_loop().time()

    def end(self):
        """The process is gone."""
        self.is_alive = False
        self.flows.clear()
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()
        self.health.close()

    def forget(self, key):
        flow = self.flows.pop(key, None)
        if flow is not None and flow.repetition is not None:
            flow.repetition.cancel()

    def send(self, key, flags, seq, ack, echo, data=b""):
        if not self.is_alive:
            return
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, flags, seq, ack, echo, data)
        self.network.to_caller(self, packet)
