"""Stand-in for the platform's ingress: forwards each channel of a client to one entry, and can reset channels."""
import asyncio
import socket
import struct


class Balancer:
    def __init__(self, host, port, target, record, name):
        self.host, self.port, self.target = host, port, target
        self.record, self.name = record, name
        self.channels = []  # [(client writer, entry writer)] in the order of their opening
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.forward, self.host, self.port)

    async def forward(self, reader, writer):
        try:
            entry_reader, entry_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        channel = (writer, entry_writer)
        self.channels.append(channel)
        await asyncio.gather(self.pump(reader, entry_writer), self.pump(entry_reader, writer))
        if channel in self.channels:
            self.channels.remove(channel)
        writer.close()
        entry_writer.close()

    @staticmethod
    async def pump(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            # The other side has closed or was reset; the client sees the same.
            writer.transport.abort()

    def reset(self, count):
        """Resets the last channels to have been opened, on both sides."""
        chosen, self.channels = self.channels[-count:], self.channels[:-count]
        for channel in chosen:
            for writer in channel:
                sock = writer.get_extra_info("socket")
                if sock is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
        self.record.add("channels-reset", entry=self.name, count=len(chosen))

    def close(self):
        if self.server:
            self.server.close()
        for channel in self.channels:
            for writer in channel:
                writer.transport.abort()
