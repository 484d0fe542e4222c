"""The platform's metadata store: HTTP/1.1 and JSON, for reading alone."""

import asyncio
import base64
import json
import urllib.parse

ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500


class Store:
    """Keeps all history. Whoever writes does so by `put` and `remove`."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.server = None

    async def listen(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port)

    def put(self, key, value):
        """Writes a value, and gives the revision of the change."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["createRev"] if key in self.items \
            else self.revision
        item = {"key": key, "value": base64.b64encode(text).decode(),
                "rev": self.revision, "createRev": created, "lease": 0}
        self.items[key] = item
        self.note(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.note({"key": key, "rev": self.revision, "removed": True})

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self.answer(target)
                await asyncio.sleep(ANSWER_SECONDS)
                text = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        split = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(split.query,
                                            keep_blank_values=True))
        if split.path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, {**item, "storeRevision": self.revision}
        if split.path == "/-/kv-range":
            return 200, self.range(query["prefix"], query.get("after", ""))
        if split.path == "/-/kv-watch":
            return 200, await self.watch(
                query.get("prefix", ""), int(query["after"]),
                int(query["waitMs"]) / 1000)
        return 404, {}

    def range(self, prefix, after):
        keys = sorted(key for key in self.items
                      if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": page, "truncated": len(keys) > PAGE_ITEMS,
                "storeRevision": self.revision}

    async def watch(self, prefix, after, wait):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        while True:
            found = [event for event in self.events
                     if event["rev"] > after and
                     event["key"].startswith(prefix)]
            left = deadline - loop.time()
            if found or left <= 0:
                return {"events": found, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
