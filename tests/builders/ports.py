"""Allocates ports for programs that must know them before they start."""

import itertools
import random
import socket
from collections.abc import Iterator

import trio

from fescuedock.address import Address

__all__ = ["free_ports", "wait_released"]

# Below the range from which the system usually chooses ports, 32768 and up.
_PORTS = range(20000, 32000)
_BLOCK_PORTS = 100
# No program listens at this host: a process reserves a block by binding its first port here.
_RESERVATION_HOST = "127.255.255.254"


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that are free at ``host`` and reserved for this process.

    No port is returned twice, also not by other processes: a fleet uses one port number at several
    hosts and binds it later, so its being free now at one host is not enough.  The ports are below
    the range from which the system chooses: there, 6 of 30,000 nodes with three ports got a
    duplicate, and any other socket may be given the port before its node binds it.
    """
    return list(itertools.islice(filter(lambda port: _is_free(host, port), _ports), count))


async def wait_released(address: Address) -> None:
    """Return once no socket listens at ``address``.

    The end of a process releases its addresses at once, but that of a program within this process
    does not: ZeroMQ closes sockets in its own thread, some time after the program has returned.
    """
    while not _is_free(address.host, address.port, reuse=True):  # noqa: ASYNC110
        await trio.sleep(0.005)


def _reserved_ports() -> Iterator[int]:
    """Yield the ports of one block after the other, each reserved until the process ends."""
    blocks = list(range(_PORTS.start, _PORTS.stop, _BLOCK_PORTS))
    random.shuffle(blocks)
    for first_port in blocks:
        if _reserve_block(first_port):
            yield from range(first_port, first_port + _BLOCK_PORTS)
    raise RuntimeError(f"no block of ports from {_PORTS.start} to {_PORTS.stop} is left")


def _reserve_block(first_port: int) -> bool:
    tcp = socket.socket()
    try:
        tcp.bind((_RESERVATION_HOST, first_port))
    except OSError:
        tcp.close()
        return False
    # Keeps the socket open, and the block reserved, until the process ends.
    tcp.detach()
    return True


def _is_free(host: str, port: int, reuse: bool = False) -> bool:
    """Return whether ``port`` can be bound; with ``reuse``, despite closed connections."""
    with socket.socket() as tcp:
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, reuse)
        try:
            tcp.bind((host, port))
        except OSError:
            return False
    return True


_ports = _reserved_ports()
