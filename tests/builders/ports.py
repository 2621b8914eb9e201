"""Ports for programs that must know theirs before they start."""

import itertools
import random
import socket
from collections.abc import Iterator

import trio

from fescuedock.address import Address

__all__ = ["free_ports", "wait_released"]

# Below the usual range of ports that the system chooses, 32768 and up.
_PORTS = range(20000, 32000)
_BLOCK_PORTS = 100
# No program serves here: a process that binds a block's first port at it holds the whole block.
_RESERVATION_HOST = "127.255.255.254"


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that are free at ``host`` just now, and that nobody else is given.

    They are never given twice, also not to tests in other processes: a fleet uses one number at
    several hosts, and binds it later, so that its being free here and now does not say enough.
    They lie below those that the system gives out by itself: of these the same one came twice in 6
    of 30,000 nodes with three ports, and any other socket may take one before its node does.
    """
    return list(itertools.islice(filter(lambda port: _is_free(host, port), _ports), count))


async def wait_released(address: Address) -> None:
    """Return once nobody listens at ``address``.

    The end of a process frees its addresses at once.  ZeroMQ closes a socket in a thread of its
    own, some time after the program that ended has returned.
    """
    while not _is_free(address.host, address.port, reuse=True):  # noqa: ASYNC110
        await trio.sleep(0.005)


def _reserved_ports() -> Iterator[int]:
    """Give the ports of one block after the other, each held until this process ends."""
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
    # Only the end of the process closes it.
    tcp.detach()
    return True


def _is_free(host: str, port: int, reuse: bool = False) -> bool:
    """Whether ``port`` can be bound; with ``reuse`` connections that are over do not count."""
    with socket.socket() as tcp:
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, reuse)
        try:
            tcp.bind((host, port))
        except OSError:
            return False
    return True


_ports = _reserved_ports()
