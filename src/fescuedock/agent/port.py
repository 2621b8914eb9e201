"""The port of an agent: one number for messages over TCP and datagrams over UDP."""

import errno
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import msgspec
import trio
import zmq

from fescuedock.address import Address
from fescuedock.net.channel import CallHandler, ServerPeer, serve_channel
from fescuedock.net.codec import Codec
from fescuedock.net.udp import UdpSocket, open_udp
from fescuedock.settings import Settings

__all__ = ["open_agent_port"]

_PORT_TRIES = 20


@asynccontextmanager
async def open_agent_port(
    settings: Settings, codec: Codec, handlers: Mapping[type[msgspec.Struct], CallHandler]
) -> AsyncIterator[UdpSocket]:
    """Serve messages over TCP and yield a UDP socket, both on the same port number."""

    async def handle(message: msgspec.Struct, peer: ServerPeer) -> msgspec.Struct | None:
        handler = handlers.get(type(message))
        return None if handler is None else await handler(message, peer)

    wanted = Address(settings.vm.host, settings.agent.port)
    async with trio.open_nursery() as nursery:
        for _ in range(_PORT_TRIES):
            with open_udp(wanted) as udp:
                try:
                    await nursery.start(serve_channel, udp.address, codec, handle)
                except zmq.ZMQError as error:
                    if wanted.port or error.errno != errno.EADDRINUSE:
                        raise
                    # The port is free for UDP but not for TCP: try another.
                    continue
                yield udp
                nursery.cancel_scope.cancel()
                return
    raise OSError(errno.EADDRINUSE, f"no port of {wanted.host} is free for TCP and UDP")
