"""Entry VMs restart in turn, again and again. No datagram is lost.

With TROUBLE=0 no VM is restarted.
"""

import asyncio
import itertools
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import play

SERVICE = "huvo11a"
SECONDS_BEFORE = 4
GAP_SECONDS = 1.3
SECONDS_OF_RESTARTS = 82
STATUS = {"name": "status-watch", "kind": "idempotent", "limit": 1.2,
          "aim_ms": 200, "route": ("198.18.0.1", 8443), "service": SERVICE,
          "bytes": 1000, "users": 550, "requests": 2, "pause": (2.3, 4.5),
          "spread": 3.0}
APPLY = {"name": "permit-apply", "kind": "non_idempotent", "limit": 1.5,
         "aim_ms": 250, "route": ("198.18.0.1", 8080), "service": SERVICE,
         "bytes": 600, "users": 550, "requests": 2, "pause": (2.3, 4.5),
         "spread": 3.0}
PLAN = {
    "seed": int(os.environ.get("SEED", "1")), "store_port": 8169,
    "seconds": 92, "idle_ms": 15000, "caller_seconds": 0.003,
    "vms": {"dub-a": 2, "dub-b": 2, "dub-c": 2},
    "hosts": [(SERVICE, "dub-a", 5, 0.045), (SERVICE, "dub-b", 5, 0.045),
              (SERVICE, "dub-c", 4, 0.045)],
    "kinds": [STATUS, APPLY]}


async def restart_in_turn(world):
    """SIGTERM, SIGKILL after the grace, start; the next one once it is back."""
    await asyncio.sleep(SECONDS_BEFORE)
    loop = asyncio.get_running_loop()
    end = loop.time() + SECONDS_OF_RESTARTS
    for vm in itertools.cycle(world.deployment.vms):
        if loop.time() > end:
            return
        world.network.note("%s gets SIGTERM" % vm.name)
        await vm.restart()
        while not vm.is_used:
            await asyncio.sleep(0.05)
        world.network.note("%s is back" % vm.name)
        await asyncio.sleep(GAP_SECONDS)


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    play.main(PLAN, restart_in_turn if has_trouble else None, HERE)
