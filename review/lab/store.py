"""Stand-in for the platform's metadata store: rows, transactions and feeds of whole tables, as PROTOCOL.md says."""
import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from lab.http import Server

MAX_ROWS, MAX_BYTES = 500, 1_000_000


class Store:
    def __init__(self, host, port, record):
        self.record = record
        self.version = 0
        self.rows = {}  # (table, part, key) -> (value, version, removed)
        self.changed = asyncio.Condition()
        self.busy = False  # Answers every call with 503, which says that nothing was done.
        self.server = Server(host, port, self.handle)

    async def start(self):
        await self.server.start()

    def close(self):
        self.server.close()

    async def put(self, key, value):
        """Writes a row of the operator's table; the return is the acknowledgement."""
        async with self.changed:
            self.version += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[("op", "", key)] = (text, self.version, False)
            self.changed.notify_all()
        self.record.add("operator-write", key=key, ver=self.version)

    def select(self, table, part, after=0, with_removed=False):
        found = []
        for (row_table, row_part, key), (value, version, removed) in sorted(self.rows.items()):
            if row_table != table or (part is not None and row_part != part) or version <= after:
                continue
            if removed and not with_removed:
                continue
            row = {"table": table, "part": row_part, "key": key, "value": value, "ver": version}
            if removed:
                row["tombstone"] = True
            found.append(row)
        return found

    @staticmethod
    def page(rows, query):
        """The rows of a range that one answer holds, and whether there are more."""
        rows = [row for row in rows
                if row["key"] >= query.get("from", "") and ("target" not in query or row["key"] < query["target"])]
        limit, size, taken = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS), 0, []
        for row in rows:
            size += len(row["value"])
            if len(taken) == limit or size > MAX_BYTES:
                return taken, True
            taken.append(row)
        return taken, False

    def answer(self, **fields):
        fields.update(ver=self.version, now_ms=int(time.monotonic() * 1000))
        return 200, fields

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        if self.busy:
            return 503, {}
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if method == "GET" and url.path == "/rows-get":
            rows, has_more = self.page(self.select(query["table"], query.get("part", "")), query)
            self.record.add("rows-get", table=query["table"], rows=len(rows), has_more=has_more)
            return self.answer(rows=rows, has_more=has_more)
        if method == "GET" and url.path == "/rows-feed":
            after, table = int(query["after"]), query["table"]
            deadline = time.monotonic() + min(int(query.get("wait_ms", "0")), 30000) / 1000
            async with self.changed:
                while not (rows := self.select(table, None, after, True)) and time.monotonic() < deadline:
                    try:
                        await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
            return self.answer(rows=sorted(rows, key=lambda row: row["ver"]))
        if method == "POST" and url.path == "/rows-tx":
            return await self.transact(json.loads(body))
        return 404, {}

    async def transact(self, entries):
        changes = entries.get("set_keys", []) + entries.get("remove", [])
        if any(row["table"] in ("op", "servers") for row in changes):
            return 403, {}
        async with self.changed:
            for row in entries.get("expected_rev", []):
                held = self.rows.get((row["table"], row.get("part", ""), row["key"]))
                if (held[1] if held and not held[2] else 0) != row["ver"]:
                    return 412, {"rows": [], "ver": self.version}
            self.version += 1
            for row in entries.get("set_keys", []):
                self.rows[(row["table"], row.get("part", ""), row["key"])] = (row["value"], self.version, False)
            for row in entries.get("remove", []):
                self.rows[(row["table"], row.get("part", ""), row["key"])] = ("", self.version, True)
            self.changed.notify_all()
        return self.answer()
