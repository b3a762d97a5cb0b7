"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from .web import Server


class Store:
    def __init__(self, address):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.server = Server(address, self.handle)

    async def put(self, table, key, value):
        """Writes a row as the operator does."""
        await self.apply([(table, key, base64.b64encode(value.encode()).decode())], [])

    async def remove(self, table, key):
        await self.apply([], [(table, key)])

    async def apply(self, sets, removals):
        async with self.changed:
            self.version += 1
            for table, key, value in sets:
                row = {"table": table, "part": "", "key": key, "value": value, "ver": self.version}
                self.rows[table, key] = row
                self.changes.append(row)
            for table, key in removals:
                self.rows.pop((table, key), None)
                self.changes.append({"table": table, "part": "", "key": key, "ver": self.version, "tombstone": True})
            self.changed.notify_all()

    def answer(self, rows, **more):
        body = {"rows": rows, "ver": self.version, "now_ms": int(time.monotonic() * 1000), **more}
        return 200, json.dumps(body).encode()

    async def handle(self, method, target, _headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        if url.path == "/rows-get":
            low, high = query.get("from", ""), query.get("target")
            rows = [row for (table, key), row in sorted(self.rows.items())
                    if table == query["table"] and key >= low and (not high or key < high)]
            return self.answer(rows, has_more=False)
        if url.path == "/rows-feed":
            after, until = int(query["after"]), time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            async with self.changed:
                while True:
                    rows = [row for row in self.changes if row["table"] == query["table"] and row["ver"] > after]
                    left = until - time.monotonic()
                    if rows or left <= 0:
                        return self.answer(rows)
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if url.path == "/rows-tx":
            call = json.loads(body)
            expected = [row for row in call.get("expected_rev", [])]
            held = [self.rows.get((row["table"], row["key"])) for row in expected]
            if any((row["ver"] if row else 0) != want["ver"] for row, want in zip(held, expected)):
                return 412, json.dumps({"rows": [row for row in held if row], "ver": self.version}).encode()
            await self.apply([(row["table"], row["key"], row["value"]) for row in call.get("set_keys", [])],
                             [(row["table"], row["key"]) for row in call.get("remove", [])])
            return self.answer([])
        return 404, b"{}"
