"""Plays a small deployment with one trouble, and records what was seen."""

import asyncio
import collections
import pathlib
import signal
import sys
import tempfile
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from callers import Caller
from deployment import CannotRun, Deployment
from hosts import Host
from network import Network
from store import Store

HOST_PORT = 8080
LEAD_SECONDS = 8.0
CALLER_ADDRESSES = 100
MOST_LINES = 60000


class World:
    """All parts of one play."""

    def __init__(self, plan):
        self.plan = plan
        self.born = int(time.time() * 1000) - 600_000
        self.hosts = []
        self.tasks = []

    async def build(self, folder):
        plan = self.plan
        self.store = Store()
        self.deployment = Deployment(folder, plan["vms"], plan["store_port"])
        await self.store.listen(
            self.deployment.store_host, plan["store_port"])
        self.network = Network(
            self.deployment, plan["seed"], plan["caller_seconds"])
        await self.add_hosts()
        self.store.put("op/config", self.make_config(7))

    def make_config(self, version):
        routes = [
            {"name": "r-" + kind["name"], "host": kind["route"][0],
             "prefix": "/%d/" % kind["route"][1], "kind": kind["kind"],
             "timeoutMs": int(kind["limit"] * 1000),
             "targetLatencyMs": kind["aim_ms"], "priority": 1,
             "service": kind["service"], "maxAttempts": 2}
            for kind in self.plan["kinds"]]
        services = [
            {"name": name, "healthPath": "/health", "maxConns": 2000}
            for name in sorted({kind["service"]
                                for kind in self.plan["kinds"]})]
        return {"configVersion": version, "routes": routes,
                "services": services,
                "limits": {"idleTimeoutMs": self.plan["idle_ms"]}}

    async def add_hosts(self):
        net = self.deployment.net
        number = 0
        for service, zone, count, work in self.plan["hosts"]:
            for _ in range(count):
                number += 1
                host = Host(
                    self.network, (f"127.{net}.100.{number}", HOST_PORT),
                    0x7f3a0000 + 0x101 * number, service, zone, work)
                await host.listen()
                self.hosts.append(host)
                self.enter(host)

    def enter(self, host):
        """Writes what a host says of itself into the store."""
        self.store.put("servers/" + host.name, host.entry(self.born))

    def add_callers(self, until):
        net = self.deployment.net
        zones = list(self.plan["vms"])
        for place, kind in enumerate(self.plan["kinds"]):
            for number in range(kind["users"]):
                zone = zones[number % len(zones)]
                address = "127.%d.%d.%d" % (
                    net, 200 + place, 1 + number % CALLER_ADDRESSES)
                self.network.add_caller_address(address)
                caller = Caller(self.network, address, zone, kind, kind)
                self.tasks.append(asyncio.create_task(caller.run(until)))


async def play(plan, trouble, folder, record):
    world = World(plan)
    await world.build(folder)
    loop = asyncio.get_running_loop()
    try:
        for vm in world.deployment.vms:
            vm.start()
            world.tasks.append(asyncio.create_task(vm.probe()))
        await asyncio.sleep(LEAD_SECONDS)
        if not all(vm.is_used for vm in world.deployment.vms):
            raise CannotRun("an entry VM is not ready")
        began = loop.time()
        world.network.note("traffic begins")
        world.add_callers(began + plan["seconds"])
        if trouble is not None:
            await trouble(world)
        await asyncio.sleep(max(0, began + plan["seconds"] + 3 - loop.time()))
    finally:
        for task in world.tasks:
            task.cancel()
        world.deployment.stop()
    write_record(world.network, record)
    return world.network


def write_record(network, record):
    rules = collections.Counter(rule for rule, _ in network.broken)
    with open(record, "w") as file:
        file.write("broken rules: %s\n" % (dict(rules) or "none"))
        for name, count in sorted(network.counts.items()):
            file.write("%s: %d\n" % (name, count))
        twice = sum(1 for runs in network.runs.values() if runs > 1)
        file.write("run: %d, run more than once: %d\n" % (
            len(network.runs), twice))
        ran = len(network.lost_ids & network.runs.keys())
        file.write("lost with their flow, though a host ran them: %d\n" % ran)
        several = sum(1 for hosts in network.accepted.values()
                      if len(set(hosts)) > 1)
        file.write("openings that several hosts took: %d\n" % several)
        for rule, text in network.broken:
            file.write("broken %s %s\n" % (rule, text))
        file.write("\n")
        lines = network.lines
        if len(lines) > MOST_LINES:
            file.write("the first %d of %d lines\n" % (MOST_LINES, len(lines)))
        file.write("\n".join(lines[:MOST_LINES]) + "\n")


def main(plan, trouble, here):
    """Exits with 1 if a rule was broken, 0 if none, 2 if it couldn't run."""
    record = pathlib.Path(here) / "record.txt"
    # So that the entry VMs are ended in any case.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory(prefix="cairnhead-review-") as folder:
        try:
            network = asyncio.run(play(plan, trouble, folder, record))
        except (CannotRun, OSError) as failure:
            print("cannot run:", failure)
            record.write_text("cannot run: %s\n" % failure)
            sys.exit(2)
        except Exception:
            # A fault of the stand-ins must not pass for a broken rule.
            traceback.print_exc()
            record.write_text("cannot run:\n" + traceback.format_exc())
            sys.exit(2)
        for rule, text in network.broken[:5]:
            print("broken:", rule, text)
        print("broken=%d %s" % (len(network.broken), network.counts))
        if network.counts.get("answered", 0) < 100:
            sys.exit(2)
        sys.exit(1 if network.broken else 0)
