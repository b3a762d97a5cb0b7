"""Minimal HTTP/1.1 over asyncio for the stand-ins: a server, and requests on a channel of their own."""
import asyncio
import json


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode(first_line, headers, body):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Calls `handler(method, target, headers, body)`, which returns (status, object), or None to give no answer."""

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    continue
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(encode(f"HTTP/1.1 {status} X",
                                    {"Content-Type": "application/json", "Content-Length": len(text)}, text))
                await writer.drain()
        except (ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, headers=None, value=None, timeout=5.0):
    """One request on a new channel. Returns (status, object), or (0, None) without a complete answer."""
    writer = None

    async def exchange():
        nonlocal writer
        host, port = address
        reader, writer = await asyncio.open_connection(host, port)
        body = b"" if value is None else json.dumps(value).encode()
        fields = {"Host": f"{host}:{port}", "Content-Length": len(body)}
        if value is not None:
            fields["Content-Type"] = "application/json"
        fields.update(headers or {})
        writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
        await writer.drain()
        return await read_message(reader)

    try:
        message = await asyncio.wait_for(exchange(), timeout)
        if message is None:
            return 0, None
        status = int(message[0].split(" ")[1])
        try:
            return status, json.loads(message[2] or b"null")
        except ValueError:
            return status, None
    except (OSError, asyncio.TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
