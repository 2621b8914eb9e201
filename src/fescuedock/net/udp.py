"""UDP sockets under trio."""

import errno
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from fescuedock.address import Address, naming_address

__all__ = ["UdpSocket", "open_udp"]

_RECEIVE_BYTES = 65536
_BUFFER_BYTES = 1024 * 1024


class UdpSocket:
    """A bound socket; create it with ``open_udp``."""

    __slots__ = ("_socket", "address")

    def __init__(self, bound: socket.socket) -> None:
        self._socket = bound
        host, port = bound.getsockname()[:2]
        self.address = Address(host, port)

    def send(self, data: bytes, address: Address) -> bool:
        """Send one datagram without waiting; return False if the system does not accept it."""
        try:
            self._socket.sendto(data, (address.host, address.port))
        except (OSError, OverflowError, ValueError):
            # The buffer is full, the host unreachable or the address of another kind: treated like
            # a lost datagram.
            return False
        return True

    async def receive(self) -> list[tuple[bytes, Address]]:
        """Wait for a datagram; return all pending ones, with the addresses of their senders."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            received = self._drain()
            if received:
                return received

    def _drain(self) -> list[tuple[bytes, Address]]:
        received: list[tuple[bytes, Address]] = []
        while True:
            try:
                data, source = self._socket.recvfrom(_RECEIVE_BYTES)
            except BlockingIOError:
                return received
            except OSError as error:
                # The ICMP reply to an earlier datagram, which says nothing about this socket.
                if error.errno != errno.ECONNREFUSED:
                    raise
                continue
            received.append((data, Address(source[0], source[1])))


@contextmanager
def open_udp(address: Address) -> Iterator[UdpSocket]:
    """Bind ``address`` (port 0 selects a free one); raise ``OSError`` if that fails."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as bound:
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        with naming_address(address):
            bound.bind((address.host, address.port))
        yield UdpSocket(bound)
