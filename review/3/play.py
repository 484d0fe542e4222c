"""Entry VMs restart in turn; before that, two hosts took some openings.

With and without the disruption the first answer to one opening in 20 is lost
on its way to the caller, which is about one datagram in a thousand. With
TROUBLE=0 no VM is restarted.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import play

SERVICE = "huvo11a"
SECONDS_BEFORE = 6
GAP_SECONDS = 1.3
STATUS = {"name": "status-watch", "kind": "idempotent", "limit": 1.2,
          "aim_ms": 200, "route": ("198.18.0.1", 8443), "service": SERVICE,
          "bytes": 2000, "users": 100, "requests": 8, "pause": (0.2, 1.2),
          "spread": 3.0}
APPLY = {"name": "permit-apply", "kind": "non_idempotent", "limit": 1.5,
         "aim_ms": 250, "route": ("198.18.0.1", 8080), "service": SERVICE,
         "bytes": 600, "users": 100, "requests": 8, "pause": (0.2, 1.2),
         "spread": 3.0}
PLAN = {
    "seed": int(os.environ.get("SEED", "1")), "store_port": 8169,
    "seconds": 36, "idle_ms": 15000, "caller_seconds": 0.003,
    "lost_answers": 20,
    "vms": {"dub-a": 2, "dub-b": 2, "dub-c": 2},
    "hosts": [(SERVICE, "dub-a", 5, 0.045), (SERVICE, "dub-b", 5, 0.045),
              (SERVICE, "dub-c", 4, 0.045)],
    "kinds": [STATUS, APPLY]}


async def restart_in_turn(world):
    """SIGTERM, SIGKILL after the grace, start; the next one once it is back."""
    await asyncio.sleep(SECONDS_BEFORE)
    for vm in world.deployment.vms:
        world.network.note("%s gets SIGTERM" % vm.name)
        await vm.restart()
        while not vm.is_used:
            await asyncio.sleep(0.05)
        world.network.note("%s is back" % vm.name)
        await asyncio.sleep(GAP_SECONDS)


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    play.main(PLAN, restart_in_turn if has_trouble else None, HERE)
