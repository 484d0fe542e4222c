"""Entry VMs: the project's own daemon, started as the deploy file says."""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/cairnhead/local.toml"
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000,
          "catchUpS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
          "configApplyMs": 3000, "downgradeSlackMs": 250,
          "maxStretchMs": 12000, "recoveryS": 12, "flowStrayMs": 2000,
          "flowLifetimeS": 60}
DATAGRAM_PORT, READY_PORT, CONTROL_PORT = 8172, 8167, 8166
INTERNAL_PORTS = [7720, 7735]


class CannotRun(Exception):
    """The case could not be played."""


def look_up(path, entry, fields):
    if path == ".":
        return entry
    value = fields
    for name in path.split("."):
        if isinstance(value, list):
            value = value[int(name)] if int(name) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(name)
        else:
            return None
    return value


def render(template, fields, entry=None, is_last=True):
    """Fills in a template of settings, as far as the project's own needs."""
    section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def fill_section(found):
        value = look_up(found.group(1), entry, fields)
        if isinstance(value, list):
            return "".join(
                render(found.group(2), fields, each, place == len(value) - 1)
                for place, each in enumerate(value))
        if value is None or value is False:
            return ""
        return render(found.group(2), fields, value)

    def fill(found):
        if found.group(1) == ",":
            return "" if is_last else ","
        value = look_up(found.group(1), entry, fields)
        if value is None:
            return ""
        return value if isinstance(value, str) else json.dumps(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, section.sub(fill_section, template))


class EntryVM:
    """One machine with one process."""

    def __init__(self, deployment, name, address, zone):
        self.deployment = deployment
        self.name = name
        self.address = address
        self.zone = zone
        self.process = None
        self.is_used = False
        self.misses = 0

    def start(self):
        run = self.deployment.role["run"].replace(
            SETTINGS_PATH, str(self.write_settings()))
        path = self.deployment.folder / (self.name + ".log")
        with open(path, "ab") as log:
            self.process = subprocess.Popen(
                run.split(), cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
                env={"PATH": os.environ["PATH"], "HOME": "/tmp",
                     "LANG": "C.UTF-8"})

    def write_settings(self):
        fields = {
            "nodeName": self.name, "ip": self.address, "zone": self.zone,
            "internalPorts": INTERNAL_PORTS,
            "seeds": self.deployment.seeds(),
            "bounds": BOUNDS,
            "listen": {"datagramAddr": f"{self.address}:{DATAGRAM_PORT}",
                       "readyAddr": f"{self.address}:{READY_PORT}",
                       "control": f"{self.address}:{CONTROL_PORT}"},
            "platform": {"address": self.deployment.store_address}}
        template = (ROOT / self.deployment.role["template"]).read_text()
        path = self.deployment.folder / (self.name + ".settings")
        path.write_text(render(template, fields))
        return path

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self, within):
        """Kills the process if it has not ended by then."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within
        while self.process.poll() is None and loop.time() < deadline:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    async def restart(self):
        """As a planned restart: SIGTERM, SIGKILL after the grace, start."""
        self.signal(signal.SIGTERM)
        await self.ended(BOUNDS["graceS"])
        await asyncio.sleep(0.3)
        self.start()

    async def probe(self):
        """Asks twice a second whether the VM may be used."""
        while True:
            is_ready = await self.ask_ready()
            self.misses = 0 if is_ready else self.misses + 1
            if is_ready:
                self.is_used = True
            elif self.misses >= 2:
                self.is_used = False
            await asyncio.sleep(0.5)

    async def ask_ready(self):
        try:
            return await asyncio.wait_for(self.get_ready(), 0.4)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def get_ready(self):
        reader, writer = await asyncio.open_connection(
            self.address, READY_PORT)
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: vm\r\n"
                         b"Connection: close\r\n\r\n")
            head = await reader.readuntil(b"\r\n")
            return b" 200 " in head
        finally:
            writer.close()


class Deployment:
    """The entry VMs of a few zones, on loopback addresses of their own."""

    def __init__(self, folder, zones, store_port):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]
        if not (ROOT / self.role["run"].split()[0]).exists():
            raise CannotRun("the program is not built: " + self.role["run"])
        self.folder = pathlib.Path(folder)
        self.net = choose_net()
        self.store_host = f"127.{self.net}.0.1"
        self.store_address = f"{self.store_host}:{store_port}"
        self.vms = [
            EntryVM(self, f"front-{zone}-{number + 1}",
                    f"127.{self.net}.{place + 1}.{number + 10}", zone)
            for place, (zone, count) in enumerate(zones.items())
            for number in range(count)]

    def seeds(self):
        return [f"{vm.address}:{CONTROL_PORT}" for vm in self.vms[:3]]

    def stop(self):
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
        for vm in self.vms:
            if vm.process is not None:
                vm.process.wait()


def choose_net():
    """A part of the loopback range where the ports are free."""
    for net in range(64 + os.getpid() % 32, 128):
        try:
            for port in (DATAGRAM_PORT, READY_PORT, *INTERNAL_PORTS):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as tried:
                        tried.bind((f"127.{net}.1.10", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free addresses")
