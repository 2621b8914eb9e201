"""A server that answers a long request before it has received all of it."""

import enum
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from fescuedock.address import Address
from tests.builders.net import LOOPBACK

__all__ = ["NO_STATUSES", "EarlyServer", "End", "fields_of"]

_RESET = struct.pack("ii", 1, 0)
# So small that most of a long request stays at its sender.
_RECEIVE_BUFFER_BYTES = 4096
# What no answer in the protocol has as its status.
NO_STATUSES = (
    "000",
    "099",
    "600",
    "999",
    "1000",
    "20",
    "2000",
    "+20",
    "-20",
    "2x0",
    "",
    "101 Switch",
)


class End(enum.Enum):
    """What follows an answer."""

    RESET = enum.auto()
    # The server sends nothing more, and reads nothing more either.
    FIN = enum.auto()
    # The rest of the request is read, and then the connection closed.
    READ_AND_CLOSE = enum.auto()
    # The rest of the request is read, and the connection kept for further ones.
    READ_ON = enum.auto()
    # Nothing is read, and the connection kept open.
    STAY = enum.auto()


@dataclass(slots=True)
class EarlyServer:
    """Sends ``answer`` once it has read a request's head, and then does as ``end`` says.

    ``answer`` gets the lines of the head as one string.  A request without a body is answered by
    ``report``.  The answer and a reset or the end of the connection follow each other without a
    pause if ``pause_s`` is 0: the client finds both at once.
    """

    answer: Callable[[str], bytes]
    end: End = End.RESET
    pause_s: float = 0.0
    # Called with the first head, ``delay_s`` before each answer.
    on_request: Callable[[], None] = lambda: None
    delay_s: float = 0.0
    report: Callable[[str], bytes] = lambda _head: _response("404 Not Found", b"")
    # Sent after the whole request was read, with ``READ_ON`` or ``READ_AND_CLOSE``.
    final: Callable[[str], bytes] | None = None
    # The bodies read entirely, those of which a part came, and the heads of all with a body.
    bodies: list[bytes] = field(default_factory=list)
    received: list[bytes] = field(default_factory=list)
    connections: int = 0
    heads: list[str] = field(default_factory=list)
    _kept: list[trio.SocketStream] = field(default_factory=list)

    async def listen(self, nursery: trio.Nursery) -> Address:
        """Listen on a free port and return its address."""
        [listener] = await trio.open_tcp_listeners(0, host=LOOPBACK.host)
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        nursery.start_soon(trio.serve_listeners, self._serve, [listener])
        return Address(*listener.socket.getsockname()[:2])

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        try:
            while await self._serve_request(stream):
                pass
        except trio.BrokenResourceError:
            return

    async def _serve_request(self, stream: trio.SocketStream) -> bool:
        head, body = await _read_head(stream)
        if not head:
            return False
        length_bytes = int(fields_of(head).get("content-length", "0"))
        if not length_bytes:
            await stream.send_all(self.report(head))
            return True
        if not self.heads:
            self.on_request()
        self.heads.append(head)
        await trio.sleep(self.delay_s)
        if self.pause_s or self.end not in (End.RESET, End.FIN):
            await stream.send_all(self.answer(head))
            await trio.sleep(self.pause_s)
        else:
            stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sent = self.answer(head)
            # Without a checkpoint between this and the end.
            assert stream.socket._sock.send(sent) == len(sent)
        if self.end is End.RESET:
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            stream.socket.close()
            return False
        if self.end is End.FIN:
            stream.socket._sock.shutdown(socket.SHUT_WR)
        if self.end in (End.FIN, End.STAY):
            self._kept.append(stream)
            await trio.sleep_forever()
        body = bytearray(body)
        while len(body) < length_bytes:
            data = await stream.receive_some()
            if not data:
                self.received.append(bytes(body))
                return False
            body += data
        self.bodies.append(bytes(body))
        if self.final is not None:
            await stream.send_all(self.final(head))
        return self.end is End.READ_ON


def fields_of(head: str) -> dict[str, str]:
    """Return the fields of a request's head, with names in lower case."""
    lines = [line.partition(":") for line in head.split("\r\n")[1:]]
    return {name.lower(): value.strip() for name, _, value in lines}


def _response(status: str, body: bytes) -> bytes:
    return b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (status.encode(), len(body), body)


async def _read_head(stream: trio.SocketStream) -> tuple[str, bytes]:
    received = b""
    while b"\r\n\r\n" not in received:
        data = await stream.receive_some(512)
        if not data:
            return "", b""
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    return head.decode("latin-1"), body
