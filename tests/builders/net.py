"""Builders for transport tests: a served handler, keys and codecs."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from fescuedock.address import Address
from fescuedock.net.codec import Codec, Key
from fescuedock.net.http_server import Handler, HttpLimits, HttpServer, Request, Responder
from fescuedock.schema import permits, view

__all__ = ["LOOPBACK", "echo_body", "key", "served", "signed_codec"]

LOOPBACK = Address("127.0.0.1", 0)


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


async def echo_body(request: Request, responder: Responder) -> None:
    """Answer with the request's body."""
    await responder.send(200, await request.read(1024), [("content-type", "text/plain")])


def key(name: str = "first") -> Key:
    """Return a key whose secret is derived from its name."""
    return Key(name, name.encode().ljust(16, b"."))


def signed_codec(*keys: Key) -> Codec:
    """Return a codec of a few message types with ``keys`` (one key by default)."""
    return Codec([permits, view], keys or (key(),))
