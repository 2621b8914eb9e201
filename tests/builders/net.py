"""Builders for transport tests: a served handler, keys and codecs."""

import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from fescuedock.address import Address
from fescuedock.net.codec import Codec, Key
from fescuedock.net.http_server import Handler, HttpLimits, HttpServer, Request, Responder
from fescuedock.schema import permits, view

__all__ = [
    "LOOPBACK",
    "RawServer",
    "echo_body",
    "key",
    "send_raw",
    "served",
    "signed_codec",
]

LOOPBACK = Address("127.0.0.1", 0)


class RawServer:
    """Answers each request on a connection with fixed bytes once its first bytes arrive."""

    def __init__(
        self,
        *answers: bytes,
        read_bytes: int = 65536,
        keep_open: bool = True,
        orderly: bool = False,
    ) -> None:
        """With ``orderly`` a connection is closed normally, otherwise it is reset."""
        self.answers = list(answers)
        self.orderly = orderly
        self.read_bytes = read_bytes
        self.keep_open = keep_open
        self.connections = 0

    async def run(self, *, task_status: trio.TaskStatus[Address]) -> None:
        [listener] = await trio.open_tcp_listeners(0, host=LOOPBACK.host)
        port = listener.socket.getsockname()[1]
        task_status.started(Address(LOOPBACK.host, port))
        await trio.serve_listeners(self.serve, [listener])

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        try:
            for answer in self.answers:
                if not await stream.receive_some(self.read_bytes):
                    return
                await stream.send_all(answer)
            if self.keep_open:
                await trio.sleep_forever()
        except trio.BrokenResourceError:
            return
        finally:
            if not self.orderly:
                # With a linger time of 0, closing resets the connection.
                no_linger = struct.pack("ii", 1, 0)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
            await trio.aclose_forcefully(stream)


@asynccontextmanager
async def served(
    handler: Handler, limits: HttpLimits | None = None, **fields: object
) -> AsyncIterator[tuple[HttpServer, Address]]:
    """Serve ``handler`` on a free port of the loopback address while the block runs.

    ``fields`` are further fields of the server.
    """
    server = HttpServer(handler, limits or HttpLimits(), **fields)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(server.serve, LOOPBACK)
        yield server, address
        nursery.cancel_scope.cancel()


async def send_raw(address: Address, request: bytes) -> bytes:
    """Send the bytes of a request that closes its connection; return those of the answer."""
    async with await trio.open_tcp_stream(address.host, address.port) as stream:
        await stream.send_all(request)
        return b"".join([part async for part in stream])


async def echo_body(request: Request, responder: Responder) -> None:
    """Answer with the request's body."""
    await responder.send(200, await request.read(1024), [("content-type", "text/plain")])


def key(name: str = "first") -> Key:
    """Return a key whose secret is derived from its name."""
    return Key(name, name.encode().ljust(16, b"."))


def signed_codec(*keys: Key) -> Codec:
    """Return a codec of a few message types with ``keys`` (one key by default)."""
    return Codec([permits, view], keys or (key(),))
