"""Minimal HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 503: "Service Unavailable"}


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class Server:
    """Calls handle(method, target, headers, body) -> (status, body bytes); None closes without an answer."""

    def __init__(self, address, handle):
        host, port = address.rsplit(":", 1)
        self.host, self.port, self.handle = host, int(port), handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port, backlog=512)

    async def stop(self):
        """Closes the listener and resets the open connections, as the end of the process does."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    break
                status, payload = answer
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                              f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
                              ).encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(address, method, target, headers=None, body=b"", timeout=2.0):
    """One request on a connection of its own. Returns (status, headers, body); raises OSError or TimeoutError."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            fields = {"Host": address, "Content-Type": "application/json", "Content-Length": str(len(body))}
            fields.update(headers or {})
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, answer_headers, answer_body = await read_message(reader)
            return int(first.split(" ")[1]), answer_headers, answer_body
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("the connection ended without an answer") from error
