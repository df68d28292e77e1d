"""A relay of HTTP/2 connections that can hold back new streams until the PING of a drain is acknowledged."""

import asyncio

from apigateway.frontends.grpc.server_session import CLIENT_PREFACE, DRAIN_PING_DATA

FRAME_HEADER_BYTES = 9
PING_FRAME = 6
ACK_FLAG = 1


class HoldingRelay:
    """Relays to a port of this machine.

    Attributes:
        is_holding: Whether frames of streams are held back; those of the connection itself pass.
        held: Set once a frame is held.

    Args:
        port: The gateway's port.
        delay_s: How long after the acknowledgement the held frames follow.
    """

    def __init__(self, port, delay_s):
        self.target_port = port
        self.delay_s = delay_s
        self.is_holding = False
        self.held = asyncio.Event()
        self.tasks = set()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.relay, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def relay(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        forward = asyncio.ensure_future(self.forward_frames(reader, server_writer))
        self.tasks.add(forward)
        try:
            while data := await server_reader.read(65536):
                writer.write(data)
        finally:
            forward.cancel()
            writer.close()
            server_writer.close()

    async def forward_frames(self, reader, writer):
        """Forward the client's frames, holding those of streams while `is_holding`."""
        held_frames = []
        writer.write(await reader.readexactly(len(CLIENT_PREFACE)))
        while True:
            header = await reader.readexactly(FRAME_HEADER_BYTES)
            frame = header + await reader.readexactly(int.from_bytes(header[:3], "big"))
            frame_type, flags, stream_id = header[3], header[4], int.from_bytes(header[5:], "big")
            if self.is_holding and stream_id:
                held_frames.append(frame)
                self.held.set()
                continue
            writer.write(frame)
            is_acknowledgement = frame_type == PING_FRAME and flags & ACK_FLAG
            if is_acknowledgement and frame[FRAME_HEADER_BYTES:] == DRAIN_PING_DATA:
                await asyncio.sleep(self.delay_s)
                self.is_holding = False
                writer.write(b"".join(held_frames))
                held_frames.clear()
