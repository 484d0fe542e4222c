"""Entries of another writer name the addresses of hosts that live.

The service of these entries is in no configuration, so they name no host to
use, and the entries of the hosts themselves hold. With TROUBLE=0 nobody
writes them.
"""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import play

SERVICE = "huvo11a"
FOREIGN_SERVICE = "huvo11a-staging"
SECONDS_BEFORE = 10
SECONDS_BETWEEN = 1.5
FEED = {"name": "lot-feed", "kind": "idempotent", "limit": 1.2,
        "aim_ms": 120, "route": ("198.18.0.1", 8443), "service": SERVICE,
        "bytes": 2000, "users": 72, "requests": 60, "pause": (0.05, 0.4),
        "spread": 3.0}
OFFER = {"name": "offer", "kind": "non_idempotent", "limit": 1.5,
         "aim_ms": 150, "route": ("198.18.0.1", 8080), "service": SERVICE,
         "bytes": 600, "users": 72, "requests": 60, "pause": (0.05, 0.4),
         "spread": 3.0}
PLAN = {
    "seed": int(os.environ.get("SEED", "1")), "store_port": 8169,
    "seconds": 24, "idle_ms": 15000, "caller_seconds": 0.001,
    "vms": {"stirling": 3, "perth": 2, "falkirk": 2, "lanark": 2},
    "hosts": [(SERVICE, "stirling", 4, 0.025), (SERVICE, "perth", 4, 0.025),
              (SERVICE, "falkirk", 3, 0.025), (SERVICE, "lanark", 3, 0.025)],
    "kinds": [FEED, OFFER]}


async def write_foreign_entries(world):
    """The first lacks a field; the others are whole but for their service."""
    await asyncio.sleep(SECONDS_BEFORE)
    for number, host in enumerate(world.hosts[0:8:2]):
        entry = {**host.entry(int(time.time() * 1000)),
                 "service": FOREIGN_SERVICE}
        if number == 0:
            del entry["born"]
        key = "servers/i-%08x" % (0x5c0ffee0 + number)
        world.network.note("another writer writes %s %s" % (key, entry))
        world.store.put(key, entry)
        await asyncio.sleep(SECONDS_BETWEEN)


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    play.main(PLAN, write_foreign_entries if has_trouble else None, HERE)
