"""Routers and links between callers, entry VMs and hosts, and the record of
what callers and hosts saw."""

import asyncio
import dataclasses
import random
import socket
import zlib

from callers import CallerFlow
from deployment import DATAGRAM_PORT
from packets import Packet

FLOW_STRAY_SECONDS = 2.0
DRAIN_SECONDS = 3.0
RECOVERY_SECONDS = 12.0
LEAST_SERVED = 0.25
LINK_SECONDS = 0.0005


@dataclasses.dataclass
class Attempt:
    """A request, from the moment when its caller wants it sent."""

    sent_at: float
    is_served: bool = False


class Network:
    """Passes packets on, late by the links' delays; loses none.

    `caller_seconds` is the delay between callers and all others.
    """

    def __init__(self, deployment, seed, caller_seconds):
        self.loop = asyncio.get_running_loop()
        self.deployment = deployment
        self.random = random.Random(seed)
        self.caller_seconds = caller_seconds
        self.began = self.loop.time()
        self.flows = {}
        self.sockets = {}
        self.next_port = {}
        self.sent_ids = set()
        self.lost_ids = set()
        self.runs = {}
        self.used_vms = {}
        self.accepted = {}
        self.attempts = []
        self.strays = {}
        self.lines = []
        self.broken = []
        self.counts = {}

    # Callers.

    def add_caller_address(self, address):
        if address in self.sockets:
            return
        made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        made.setblocking(False)
        made.bind((address, DATAGRAM_PORT))
        self.sockets[address] = made
        self.loop.add_reader(made, self.receive_from_system, made)

    def make_flow(self, caller):
        port = self.next_port.get(caller.address, 20000)
        self.next_port[caller.address] = port + 1 if port < 60000 else 20000
        flow = CallerFlow(self, caller.address, port, caller.kind["route"],
                          caller.zone)
        self.flows[flow.key()] = flow
        self.count("flows")
        return flow

    def drop_flow(self, flow):
        self.flows.pop(flow.key(), None)

    def make_id(self):
        return "%012x" % self.random.getrandbits(48)

    # Links.

    def after_link(self, take, *what):
        """From an entry VM to a host."""
        self.count("datagrams")
        self.loop.call_later(LINK_SECONDS, take, *what)

    def to_system(self, flow, packet):
        self.count("datagrams")
        self.loop.call_later(self.caller_seconds, self.forward, flow, packet)

    def forward(self, flow, packet):
        vm = self.choose_vm(flow)
        if vm is None:
            return
        before = self.used_vms.get(packet.flow())
        if before not in (None, vm):
            self.note("moved %s:%d from %s to %s" % (
                flow.src, flow.sport, before.name, vm.name))
        self.used_vms[packet.flow()] = vm
        try:
            self.sockets[flow.src].sendto(
                packet.encode(), (vm.address, DATAGRAM_PORT))
        except OSError:
            self.count("not_sent")

    def choose_vm(self, flow):
        """Rendezvous hashing over the VMs in use of the caller's zone."""
        mine = [vm for vm in self.deployment.vms if vm.zone == flow.zone]
        used = [vm for vm in mine if vm.is_used]
        if used and 2 * len(used) < len(mine):
            used = mine
        if not used:
            used = [vm for vm in self.deployment.vms if vm.is_used]
        if not used:
            return None
        name = repr(flow.key()).encode()
        return max(used, key=lambda vm: zlib.crc32(
            name + vm.name.encode()) * 2654435761 % (1 << 32))

    def to_caller(self, host, packet):
        self.count("datagrams")
        self.loop.call_later(
            self.caller_seconds, self.deliver, packet, host)

    def receive_from_system(self, made):
        while True:
            try:
                datagram = made.recv(2048)
            except (BlockingIOError, ConnectionError):
                return
            self.loop.call_later(
                self.caller_seconds, self.deliver, Packet.decode(datagram),
                None)

    def deliver(self, packet, host):
        flow = self.flows.get(
            (packet.dst, packet.dport, packet.src, packet.sport))
        if flow is None:
            return
        if host is None and (packet.sum != 0 or packet.data or
                             packet.flags != 8):
            self.violate("MIXED", "the system sent %r" % packet)
        flow.take(packet, host)

    # What was seen.

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def note(self, text):
        self.lines.append(
            "%8.3f %s" % (self.loop.time() - self.began, text))

    def violate(self, rule, text):
        self.broken.append((rule, text))
        self.note("BROKEN %s %s" % (rule, text))

    def note_attempt(self):
        self.attempts.append(Attempt(self.loop.time()))
        return self.attempts[-1]

    def check_recovery(self, back_at):
        """RECOVER, once all machines are back after a final fault."""
        late = [each.is_served for each in self.attempts
                if each.sent_at > back_at + RECOVERY_SECONDS]
        self.note("of %d requests sent later than %d s after the machines "
                  "were back, %d were served" % (
                      len(late), RECOVERY_SECONDS, sum(late)))
        if sum(late) < LEAST_SERVED * len(late):
            self.violate("RECOVER", "%d of %d requests were served" % (
                sum(late), len(late)))

    def note_sent(self, flow, request, kind):
        self.sent_ids.add(request)
        self.count("sent")
        self.note("sent %s %s on %s:%d" % (request, kind, flow.src, flow.sport))

    def note_answer(self, flow, request, answer):
        if answer is None:
            self.count("unanswered")
            return self.note("unanswered " + request)
        if answer["id"] != request:
            self.violate("MIXED", "%s got the answer of %s" %
                         (request, answer["id"]))
        self.count("answered" if answer["ran"] else "refused_by_host")
        self.note("answered %s by %s" % (request, answer.get("by", "-")))

    def note_lost(self, flow, request):
        self.count("lost")
        self.lost_ids.add(request)
        self.note("lost %s, its flow was reset" % request)

    def note_failure(self, flow, reason):
        self.count("flow_" + reason.replace(" ", "_"))

    def note_run(self, host, request):
        self.runs[request] = self.runs.get(request, 0) + 1
        self.note("ran %s at %s" % (request, host.name))
        if request not in self.sent_ids:
            self.violate("UNASKED", request)

    def note_accepted(self, host, packet):
        self.accepted.setdefault(packet.flow(), []).append(host)
        self.note("opening of %s:%d taken by %s" % (
            packet.src, packet.sport, host.name))
        flow = self.flows.get(packet.flow())
        is_late = flow is not None and host.drains_since is not None and \
            flow.began_at > host.drains_since + DRAIN_SECONDS
        if is_late:
            self.violate("DRAIN", "%s took an opening sent %.1f s after the "
                         "store had its draining, through %s" % (
                             host.name, flow.began_at - host.drains_since,
                             self.used_vms[packet.flow()].name))

    def note_altered(self, host, packet):
        self.violate("UNASKED", "%s got an altered packet" % host.name)

    def note_open(self, host, packet):
        flow = self.flows.get(packet.flow())
        if flow is not None and flow.host is host:
            flow.host_opened_at = self.loop.time()
            self.note("open %s:%d at %s" % (flow.src, flow.sport, host.name))

    def note_reached(self, host, packet):
        self.strays.pop(packet.flow(), None)

    def note_stray(self, host, packet):
        """A packet of an open flow reached a host that does not hold it."""
        flow = self.flows.get(packet.flow())
        if flow is None or flow.host in (None, host):
            return
        self.note("packet of %s:%d, open at %s, reaches %s" % (
            flow.src, flow.sport, flow.host.name, host.name))
        first, number = self.strays.get(packet.flow(), (self.loop.time(), 0))
        self.strays[packet.flow()] = (first, number + 1)
        if number >= 2 and self.loop.time() - first >= FLOW_STRAY_SECONDS:
            self.violate("FLOW", "(b) %s:%d strays to %s" % (
                flow.src, flow.sport, host.name))

    def note_reset(self, flow, host):
        if not flow.is_open:
            return
        at = flow.host_opened_at
        holder = flow.host
        is_own = host is holder
        vm = self.used_vms.get(flow.key())
        self.note("reset of %s:%d, held by %s, sent by %s, last through %s" % (
            flow.src, flow.sport, holder.name,
            host.name if host else "the system", vm.name if vm else "-"))
        held = holder.flows.get(flow.key())
        is_held = held is not None and held.is_open and holder.is_alive
        if at is None or is_own or not is_held:
            return
        self.violate("FLOW", "(a) %s:%d, open at %s, which lives, was reset "
                     "by %s; last packet through %s" % (
                         flow.src, flow.sport, holder.name,
                         host.name if host else "the system",
                         vm.name if vm else "-"))
