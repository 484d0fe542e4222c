"""One large entry of another writer, then hosts leave and all VMs are killed.

The entry's service is in no configuration, and its value is as long as the
store takes. With TROUBLE=0 nobody writes it; the rest is the same.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import play

SERVICE = "huvo11a"
VALUE_BYTES = 1_048_576
SECONDS_BEFORE = 4
LEAVING_HOSTS = 3
SECONDS_OF_LEAVING = 9
DOWN_SECONDS = 1.0
SECONDS_AFTER = 20
STATUS = {"name": "status-watch", "kind": "idempotent", "limit": 1.2,
          "aim_ms": 200, "route": ("198.18.0.1", 8443), "service": SERVICE,
          "bytes": 2000, "users": 50, "requests": 8, "pause": (0.2, 0.8),
          "spread": 3.0}
APPLY = {"name": "permit-apply", "kind": "non_idempotent", "limit": 1.5,
         "aim_ms": 250, "route": ("198.18.0.1", 8080), "service": SERVICE,
         "bytes": 600, "users": 50, "requests": 8, "pause": (0.2, 0.8),
         "spread": 3.0}
PLAN = {
    "seed": int(os.environ.get("SEED", "1")), "store_port": 8169,
    "seconds": 40, "idle_ms": 15000, "caller_seconds": 0.003,
    "vms": {"dub-a": 2, "dub-b": 2, "dub-c": 2},
    "hosts": [(SERVICE, "dub-a", 5, 0.045), (SERVICE, "dub-b", 5, 0.045),
              (SERVICE, "dub-c", 4, 0.045)],
    "kinds": [STATUS, APPLY]}


def write_large_entry(world):
    entry = {**world.hosts[0].entry(world.born), "service": "",
             "address": f"127.{world.deployment.net}.250.1:9100"}
    del entry["born"]
    entry["service"] = "s" * (VALUE_BYTES - len(json.dumps(entry)))
    world.store.put("servers/i-5c0ffee0", entry)
    world.network.note("another writer writes an entry of %d bytes" %
                       len(json.dumps(entry)))


async def leave(world, host):
    """As a host does that is taken away."""
    host.drain()
    world.enter(host)
    world.network.note("%s drains" % host.name)
    await asyncio.sleep(SECONDS_OF_LEAVING)
    world.network.note("%s ends" % host.name)
    host.end()
    world.store.remove("servers/" + host.name)


async def disturb(world, has_trouble):
    await asyncio.sleep(SECONDS_BEFORE)
    if has_trouble:
        write_large_entry(world)
    await asyncio.sleep(SECONDS_BEFORE)
    for host in world.hosts[:LEAVING_HOSTS]:
        world.tasks.append(asyncio.create_task(leave(world, host)))
    await asyncio.sleep(SECONDS_OF_LEAVING + 1)
    for vm in world.deployment.vms:
        vm.signal(signal.SIGKILL)
    world.network.note("all entry VMs are killed")
    await asyncio.sleep(DOWN_SECONDS)
    for vm in world.deployment.vms:
        await vm.ended(1)
        vm.start()
    back_at = asyncio.get_running_loop().time()
    world.network.note("all entry VMs are started")
    await asyncio.sleep(SECONDS_AFTER)
    world.network.note("in use: %d of %d entry VMs" % (
        sum(vm.is_used for vm in world.deployment.vms),
        len(world.deployment.vms)))
    world.network.check_recovery(back_at)


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    play.main(PLAN, lambda world: disturb(world, has_trouble), HERE)
