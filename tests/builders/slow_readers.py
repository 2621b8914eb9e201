"""Clients that read slowly or not at all, and an upstream whose answers exceed kernel buffers."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from fescuedock.address import Address
from fescuedock.net.http_server import Request, Responder
from fescuedock.platform.standin.event_upstream import EventUpstream, UpstreamFault

__all__ = ["SMALL_BUFFER_BYTES", "BigUpstream", "SlowClient", "big_event", "slow_client"]

# The kernel takes about twice as much on each side.
SMALL_BUFFER_BYTES = 4096
_RECEIVE_BYTES = 65536


def big_event(number: int, size_bytes: int) -> bytes:
    return b"id: %d\ndata: %b\n\n" % (number, b"x" * size_bytes)


@dataclass(slots=True)
class BigUpstream(EventUpstream):
    """Streams ``event_count`` events of ``event_bytes`` each."""

    event_bytes: int = 16384

    async def _run(
        self,
        request: Request,
        responder: Responder,
        request_id: str,
        _body: bytes,
        _: UpstreamFault,
    ) -> None:
        headers = [("X-Request-Id", request_id), ("transfer-encoding", "chunked")]
        headers.append(("X-Response-Seal", f"seal.{self.upstream_id}.{request_id}"))
        async with responder.stream(200, headers) as out:
            for number in range(self.event_count):
                await out.write(big_event(number, self.event_bytes))


@dataclass(slots=True)
class SlowClient:
    """One connection that reads only on request."""

    stream: trio.SocketStream

    async def send(
        self, method: str, target: str, fields: dict[str, str], body: bytes = b""
    ) -> None:
        """Send a request whose Content-Length is that of ``body`` unless ``fields`` name one."""
        fields = {"host": "desk.example", "content-length": str(len(body))} | fields
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        await self.stream.send_all(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)

    async def read_to_end(self, end: bytes, pause_s: float = 0.0) -> tuple[bytes, bool]:
        """Read until ``end`` has come or the connection breaks; return the bytes, and which."""
        data = b""
        while not data.endswith(end):
            try:
                part = await self.stream.receive_some(_RECEIVE_BYTES)
            except trio.BrokenResourceError:
                part = b""
            if not part:
                return data, False
            data += part
            await trio.sleep(pause_s)
        return data, True


@asynccontextmanager
async def slow_client(address: Address) -> AsyncIterator[SlowClient]:
    """Connect with a small receive buffer."""
    with trio.socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        await connection.connect((address.host, address.port))
        yield SlowClient(trio.SocketStream(connection))
