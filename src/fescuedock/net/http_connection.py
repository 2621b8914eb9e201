"""A caller's connection to the HTTP server: the h11 state and the socket."""

import os
from collections.abc import AsyncIterator, Callable

import h11
import msgspec
import trio

__all__ = [
    "LINGER_S",
    "DroppedConnectionError",
    "HttpConnection",
    "HttpLimits",
    "RequestTimeoutError",
]

LINGER_S = 1
_RECEIVE_BYTES = 65536
_LINGER_READS = 64
# The line that h11 adds to the head of an answer without a length, in lower case.
_CHUNKED_LINE = b"\r\ntransfer-encoding: chunked\r\n"


class DroppedConnectionError(Exception):
    """The caller has left or takes nothing more, or a handler drops it; nothing is answered.

    Of its own kind, so that a socket error of a handler's other work is not taken for it.
    """


class RequestTimeoutError(Exception):
    """The request's head or body did not come in time."""


class HttpLimits(msgspec.Struct, frozen=True):
    """Bounds of one connection.

    ``header_timeout_ms`` runs from a head's first bytes to its end.
    """

    max_header_bytes: int = 32768
    header_timeout_ms: int = 30000
    read_timeout_ms: int = 30000
    write_timeout_ms: int = 30000
    idle_timeout_ms: int = 60000


class HttpConnection:
    """One caller's connection: the h11 state and the socket."""

    __slots__ = (
        "_body_read",
        "_in_chunks",
        "_is_closing",
        "_limits_of",
        "_peer_closed",
        "_sending",
        "_stream",
        "protocol",
    )

    def __init__(
        self,
        stream: trio.SocketStream,
        limits_of: Callable[[], HttpLimits],
        is_closing: Callable[[], bool] = lambda: False,
    ) -> None:
        """``limits_of`` gives the bounds now in force; ``is_closing`` asks for the last answer."""
        self.protocol = h11.Connection(h11.SERVER, limits_of().max_header_bytes)
        self._stream = stream
        self._limits_of = limits_of
        self._is_closing = is_closing
        self._body_read = trio.Event()
        self._peer_closed = False
        self._sending = False
        # Whether the body of the answer that has begun goes out in chunks.
        self._in_chunks = False

    @property
    def body_read(self) -> bool:
        """Whether the request was taken to its end."""
        return self._body_read.is_set()

    @property
    def closing(self) -> bool:
        """Whether the next answer is to be the connection's last."""
        return self._is_closing()

    async def next_head(self) -> object | None:
        """Wait for a request's head; None when the connection stays idle for too long.

        ``RequestTimeoutError`` when a head that has begun is not whole in time.
        """
        event = self.protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        if not await self._wait_first_bytes():
            return None
        limit_ms = self._limits_of().header_timeout_ms
        try:
            with trio.fail_after(limit_ms / 1000):
                return await self.next_event()
        except trio.TooSlowError as error:
            raise RequestTimeoutError(f"the head was not whole in {limit_ms:g} ms") from error

    async def _wait_first_bytes(self) -> bool:
        """Receive once; False after the idle timeout, which may change while waiting."""
        since_s = trio.current_time()
        while (due_s := since_s + self._limits_of().idle_timeout_ms / 1000) > trio.current_time():
            with trio.move_on_at(due_s):
                await self._receive()
                return True
        return False

    async def next_event(self) -> object:
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        if self.protocol.they_are_waiting_for_100_continue:
            await self.send_events(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            data = await self._stream.receive_some(_RECEIVE_BYTES)
        except trio.BrokenResourceError:
            data = b""
        self._peer_closed = not data
        self.protocol.receive_data(data)

    async def send_events(self, *events: h11.Event) -> None:
        """Serialise and send; ``DroppedConnectionError`` when the caller takes nothing."""
        data = b"".join(self.protocol.send(event) or b"" for event in events)
        if isinstance(events[0], h11.Response):
            self._in_chunks = _CHUNKED_LINE in data.partition(b"\r\n\r\n")[0].lower() + b"\r\n"
        await self._send(data)

    async def send_part(self, data: bytes) -> None:
        """Send the next part of a streamed body; in chunks h11 need only know of its end."""
        if not self._in_chunks:
            await self.send_events(h11.Data(data=data))
        elif data:
            await self._send(b"%x\r\n%b\r\n" % (len(data), data))

    async def _send(self, data: bytes) -> None:
        if self._sending:
            raise trio.BusyResourceError("two tasks answer one request")
        sent_bytes = self._send_now(data)
        if sent_bytes < len(data):
            await self._send_rest(data[sent_bytes:])

    def _send_now(self, data: bytes) -> int:
        """Hand the kernel what it takes without waiting, the usual case by far.

        Saves a checkpoint and a cancel scope for each streamed token; fairness is kept by the
        caller's own reads.
        """
        try:
            return os.write(self._stream.socket.fileno(), data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise DroppedConnectionError(str(error)) from error

    async def _send_rest(self, data: bytes) -> None:
        self._sending = True
        try:
            with trio.fail_after(self._limits_of().write_timeout_ms / 1000):
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError) as error:
            raise DroppedConnectionError(repr(error)) from error
        finally:
            self._sending = False

    def body(self) -> AsyncIterator[bytes]:
        return _RequestBody(self)

    async def next_body_part(self) -> bytes | None:
        """Return the next bytes of the request's body, None after its end."""
        if self._body_read.is_set():
            return None
        limit_ms = self._limits_of().read_timeout_ms
        try:
            with trio.fail_after(limit_ms / 1000):
                event = await self.next_event()
        except trio.TooSlowError as error:
            message = f"nothing of the body came for {limit_ms:g} ms"
            raise RequestTimeoutError(message) from error
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self._body_read.set()
        return None

    def begin_body(self, head: h11.Request) -> None:
        """Take the end of a request without a body, so that watching can begin at once."""
        names = {bytes(name) for name, _ in head.headers}
        if not names & {b"content-length", b"transfer-encoding"}:
            self.protocol.next_event()
            self._body_read.set()

    async def watch_disconnect(self, handler_scope: trio.CancelScope) -> None:
        """Cancel ``handler_scope`` when the caller closes before its answer is complete."""
        await self._body_read.wait()
        while not self._peer_closed:
            if self.protocol.trailing_data[0]:
                # A pipelined request: stop reading, so that the caller cannot fill our memory.
                return
            await self._receive()
        handler_scope.cancel()

    async def prepare_next(self) -> bool:
        """Make ready for the next request on this connection; False when there can be none."""
        if self.protocol.our_state is not h11.DONE or self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        self._body_read = trio.Event()
        return True

    async def close(self) -> None:
        """Close, first reading a little of what the caller still sends.

        Closing with unread bytes resets the connection, which can destroy our answer on its way.
        """
        if not self.body_read and not self._peer_closed:
            await self._linger()
        await self._stream.aclose()

    async def _linger(self) -> None:
        try:
            await self._stream.send_eof()
            for _ in range(_LINGER_READS):
                if not await self._stream.receive_some(_RECEIVE_BYTES):
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


class _RequestBody:
    """Iterates over a request's body; unlike a generator it may be left at any point."""

    __slots__ = ("_connection",)

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection

    def __aiter__(self) -> "_RequestBody":
        return self

    async def __anext__(self) -> bytes:
        part = await self._connection.next_body_part()
        if part is None:
            raise StopAsyncIteration
        return part
