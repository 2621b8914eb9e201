"""A caller's connection to the HTTP server: the h11 state, the socket and its send buffer."""

import os
import socket
import struct
from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING

import h11
import msgspec
import trio

from fescuedock.clock import now_ms
from fescuedock.core.slow_peers import HeldBounds, HeldBytes

if TYPE_CHECKING:
    from fescuedock.net.unsent import UnsentBytes

__all__ = [
    "LINGER_S",
    "CutOff",
    "DroppedConnectionError",
    "HttpConnection",
    "HttpLimits",
    "RequestTimeoutError",
]

LINGER_S = 1
_RECEIVE_BYTES = 65536
_LINGER_READS = 64
# Header that h11 adds to a response without a length, in lower case.
_CHUNKED_LINE = b"\r\ntransfer-encoding: chunked\r\n"

# SO_LINGER with 0 s: closing discards unsent bytes and resets the connection.
_DISCARD_UNSENT = struct.pack("ii", 1, 0)


class DroppedConnectionError(Exception):
    """The caller disconnected or stopped reading, or a handler drops it; there is no response.

    A separate class, so that a socket error of a handler's other work is not mistaken for it.
    """


class RequestTimeoutError(Exception):
    """The request's head or body did not arrive in time."""


class HttpLimits(msgspec.Struct, frozen=True):
    """Limits of one connection.

    ``header_timeout_ms`` counts from the first bytes of a head to its end.
    """

    max_header_bytes: int = 32768
    header_timeout_ms: int = 30000
    read_timeout_ms: int = 30000
    write_timeout_ms: int = 30000
    idle_timeout_ms: int = 60000


class CutOff(msgspec.Struct, frozen=True):
    """Why a slow caller was cut off; the bytes buffered for it, and for all callers together."""

    reason: str
    held_bytes: int
    total_bytes: int


class HttpConnection:
    """One caller's connection: the h11 state and the socket.

    Response bytes that the kernel does not accept are buffered and sent as the caller reads.
    ``held`` counts them for all connections of the process, together with received request bytes,
    and selects the callers to cut off when there are too many.
    """

    __slots__ = (
        "_body_bytes",
        "_body_held_bytes",
        "_body_read",
        "_cut_off",
        "_drain_scope",
        "_held",
        "_in_chunks",
        "_is_closing",
        "_is_http_1_0",
        "_is_waiting",
        "_limits_of",
        "_nursery",
        "_on_cut_off",
        "_peer_closed",
        "_progress",
        "_refusal",
        "_stream",
        "_unsent",
        "_upload_scope",
        "protocol",
    )

    def __init__(
        self,
        stream: trio.SocketStream,
        limits_of: Callable[[], HttpLimits],
        is_closing: Callable[[], bool] = lambda: False,
        held: HeldBytes | None = None,
        on_cut_off: Callable[[CutOff], None] = lambda cut_off: None,
    ) -> None:
        """``limits_of`` returns the current limits, ``is_closing`` whether to close soon."""
        self.protocol = h11.Connection(h11.SERVER, limits_of().max_header_bytes)
        self._stream = stream
        self._limits_of = limits_of
        self._is_closing = is_closing
        self._body_read = trio.Event()
        self._peer_closed = False
        self._held = held or HeldBytes(HeldBounds())
        self._on_cut_off = on_cut_off
        # Why the caller was cut off; empty while it is served.
        self._cut_off = ""
        # Bytes that the kernel has not accepted; None until there are any.
        self._unsent: UnsentBytes | None = None
        self._is_waiting = False
        # Set while a task sends buffered bytes; the event is replaced at each progress.
        self._drain_scope: trio.CancelScope | None = None
        self._progress = trio.Event()
        # The nursery of the request's handler.
        self._nursery: trio.Nursery | None = None
        # The request's body: received bytes, those counted as held, and the wait for more.
        self._body_bytes = 0
        self._body_held_bytes = 0
        self._upload_scope: trio.CancelScope | None = None
        self._refusal = ""
        # Whether the caller of the current request knows no chunks.
        self._is_http_1_0 = False
        # Whether the body of the current response is chunked.
        self._in_chunks = False

    @property
    def body_read(self) -> bool:
        """Whether the request was read to its end."""
        return self._body_read.is_set()

    @property
    def closing(self) -> bool:
        """Whether the connection closes after the next response."""
        return self._is_closing()

    async def next_head(self) -> object | None:
        """Wait for a request's head; return None if the connection is idle for too long.

        Raise ``RequestTimeoutError`` if a head is incomplete after its timeout.
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
            raise RequestTimeoutError(f"the head was incomplete after {limit_ms:g} ms") from error

    async def _wait_first_bytes(self) -> bool:
        """Receive once; return False after the idle timeout, which may change while waiting."""
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

    # --- the response ----------------------------------------------------------------------------

    async def send_events(self, *events: h11.Event) -> None:
        """Serialise and send; raise ``DroppedConnectionError`` if the caller reads nothing.

        It waits like ``send_part``, but not after the end of a response, for which ``flush`` waits.
        """
        data = b"".join(self.protocol.send(event) or b"" for event in events)
        if isinstance(events[0], h11.Response):
            self._in_chunks = _CHUNKED_LINE in data.partition(b"\r\n\r\n")[0].lower() + b"\r\n"
        if not self._put(data):
            await self._wait_room(is_end=isinstance(events[-1], h11.EndOfMessage))

    async def send_part(self, data: bytes) -> None:
        """Send the next part of a streamed body, waiting while too much of it is buffered."""
        if not self.put_part(data):
            await self.wait_room()

    def put_part(self, data: bytes) -> bool:
        """Send or buffer the next part of a streamed body; False if ``wait_room`` must follow.

        Chunks are written here: h11 only needs to know the end of a chunked body.
        """
        if not self._in_chunks:
            return self._put(self.protocol.send(h11.Data(data=data)) or b"")
        return not data or self._put(b"%x\r\n%b\r\n" % (len(data), data))

    async def wait_room(self) -> None:
        """Wait for buffer space; raise ``DroppedConnectionError`` if the caller reads nothing."""
        await self._wait_room(is_end=False)

    def _put(self, data: bytes) -> bool:
        """Write what the kernel accepts and buffer the rest; return True if no wait must follow."""
        if self._is_waiting:
            raise trio.BusyResourceError("two tasks answer one request")
        if self._cut_off:
            # Earlier bytes were dropped, but the handler runs until its next checkpoint.
            self._check_open()
        if self._unsent is not None and self._unsent.size_bytes:
            self._buffer(memoryview(data))
        elif (sent_bytes := self._send_now(data)) < len(data):
            self._buffer(memoryview(data)[sent_bytes:])
        else:
            return True
        return self._has_room() and self._drain_scope is not None

    def _send_now(self, data: bytes) -> int:
        """Write as much as the kernel accepts without waiting, nearly always everything.

        It saves a checkpoint and a cancel scope for each streamed token; the reads of the code that
        calls this are the checkpoints that keep scheduling fair.
        """
        try:
            return os.write(self._stream.socket.fileno(), data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise DroppedConnectionError(str(error)) from error

    def _unsent_bytes(self) -> int:
        return 0 if self._unsent is None else self._unsent.size_bytes

    def _buffer(self, data: memoryview) -> None:
        if self._unsent is None:
            # Imported at the first slow caller, so that it does not delay the start.
            from fescuedock.net.unsent import UnsentBytes

            self._unsent = UnsentBytes()
        self._unsent.append(data)
        self._cut_off_slowest(self._held.hold(self, len(data), now_ms()))
        self._check_open()

    def _has_room(self) -> bool:
        return self._unsent_bytes() <= self._held.bounds.call_bytes

    async def _wait_room(self, *, is_end: bool) -> None:
        """Start sending buffered bytes; wait until they are within the limit of one response."""
        self._check_open()
        if self._nursery is None or not self._held.bounds.call_bytes:
            await self.flush()
            return
        if is_end:
            return
        if self._drain_scope is None:
            self._drain_scope = trio.CancelScope()
            self._nursery.start_soon(self._drain_in_background, self._drain_scope)
        self._is_waiting = True
        try:
            while not self._has_room():
                await self._progress.wait()
        finally:
            self._is_waiting = False
        self._check_open()

    async def flush(self) -> None:
        """Wait until the caller has received all buffered bytes.

        Raise ``DroppedConnectionError`` if it reads nothing for the write timeout or is cut off.
        """
        self._is_waiting = True
        try:
            if self._drain_scope is None and self._unsent_bytes():
                self._drain_scope = trio.CancelScope()
                await self._drain(self._drain_scope)
            while self._unsent_bytes():
                await self._progress.wait()
        finally:
            self._is_waiting = False
        self._check_open()

    async def _drain_in_background(self, scope: trio.CancelScope) -> None:
        """Send buffered bytes while the handler runs; cancel it if the caller reads nothing."""
        try:
            await self._drain(scope)
        except DroppedConnectionError:
            # The handler's next write would raise this error.
            self._nursery.cancel_scope.cancel()

    async def _drain(self, scope: trio.CancelScope) -> None:
        """Send buffered bytes as the caller reads; ``scope`` is cancelled at a cut-off."""
        try:
            with scope:
                scope.deadline = self._write_deadline_s()
                while self._unsent_bytes():
                    await trio.lowlevel.wait_writable(self._stream.socket)
                    self._send_unsent()
                    if self._held.bounds.call_bytes:
                        # Not if a producer waits for each part: then the timeout applies to the
                        # part, since growing kernel buffers make progress without any reads.
                        scope.deadline = self._write_deadline_s()
            if scope.cancelled_caught and not self._cut_off:
                self.cut_off("takes nothing")
            self._check_open()
        finally:
            self._drain_scope = None
            self._signal_progress()

    def _write_deadline_s(self) -> float:
        return trio.current_time() + self._limits_of().write_timeout_ms / 1000

    def _send_unsent(self) -> None:
        try:
            sent_bytes = self._unsent.write_to(self._stream.socket.fileno())
        except OSError as error:
            self._free()
            raise DroppedConnectionError(str(error)) from error
        self._held.record_released(self, sent_bytes, now_ms())
        self._signal_progress()

    def _signal_progress(self) -> None:
        self._progress.set()
        self._progress = trio.Event()

    # --- cutting off -----------------------------------------------------------------------------

    def cut_off(self, reason: str) -> None:
        """Cut off a slow caller: free its buffered bytes and cancel its handler.

        The response never looks complete: the connection is reset, even if the kernel holds the
        rest of the response.  An incomplete request is refused with an error response instead.
        """
        held_bytes = self._unsent_bytes() or self._body_bytes
        self._free()
        self._on_cut_off(CutOff(reason, held_bytes, self._held.total_bytes))
        if self._upload_scope is not None:
            self._refusal = reason
            self._upload_scope.cancel()
            return
        self._cut_off = reason
        self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_UNSENT)
        if self._drain_scope is not None:
            self._drain_scope.cancel()
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def _cut_off_slowest(self, slowest: list["HttpConnection"]) -> None:
        for connection in slowest:
            connection.cut_off("too much is held for slow callers")

    def _check_open(self) -> None:
        if self._cut_off:
            raise DroppedConnectionError(f"the caller was cut off: {self._cut_off}")

    def _free(self) -> None:
        if self._unsent is not None:
            self._unsent.clear()
        self._held.forget(self)
        self._signal_progress()

    # --- the request -----------------------------------------------------------------------------

    def body(self) -> AsyncIterator[bytes]:
        return _RequestBody(self)

    async def next_body_part(self) -> bytes | None:
        """Return the next bytes of the request's body, or None at its end."""
        if self._body_read.is_set():
            return None
        event = self.protocol.next_event()
        if event is h11.NEED_DATA:
            event = await self._wait_body()
        if isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            return bytes(event.data)
        if self._body_held_bytes:
            self._held.record_released(self, self._body_held_bytes, now_ms())
            self._body_held_bytes = 0
        self._body_read.set()
        return None

    async def _wait_body(self) -> object:
        """Wait for more of a body; its received bytes count as held in the meantime."""
        limit_ms = self._limits_of().read_timeout_ms
        event: object = None
        with trio.move_on_after(limit_ms / 1000) as scope:
            self._upload_scope = scope
            try:
                self._count_body()
                event = await self.next_event()
            finally:
                self._upload_scope = None
        if event is None:
            message = f"no bytes of the body arrived for {limit_ms:g} ms"
            raise RequestTimeoutError(self._refusal or message)
        return event

    def _count_body(self) -> None:
        new_bytes = self._body_bytes - self._body_held_bytes
        if new_bytes:
            self._body_held_bytes = self._body_bytes
            self._cut_off_slowest(self._held.record_received(self, new_bytes, now_ms()))

    def set_handler_nursery(self, nursery: trio.Nursery) -> None:
        """Run tasks that accompany the request's handler in ``nursery``, which is the handler's."""
        self._nursery = nursery

    def begin_body(self, head: h11.Request) -> None:
        """Handle the end of a request without a body, so that disconnects are watched at once."""
        self._body_bytes = self._body_held_bytes = 0
        self._is_http_1_0 = head.http_version < b"1.1"
        names = {bytes(name) for name, _ in head.headers}
        if not names & {b"content-length", b"transfer-encoding"}:
            self.protocol.next_event()
            self._body_read.set()

    async def watch_disconnect(self, handler_scope: trio.CancelScope) -> None:
        """Cancel ``handler_scope`` if the caller disconnects before its response is complete."""
        await self._body_read.wait()
        while not self._peer_closed:
            if self.protocol.trailing_data[0]:
                # A pipelined request: stop reading, so that the caller cannot fill the memory.
                return
            await self._receive()
        handler_scope.cancel()

    async def prepare_next(self) -> bool:
        """Prepare for the next request on this connection; return False if there can be none."""
        self._nursery = None
        if self._cut_off or self._unsent_bytes():
            return False
        if self.protocol.our_state is not h11.DONE or self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        self._body_read = trio.Event()
        return True

    async def close(self) -> None:
        """Close, after reading some of the bytes that the caller still sends.

        Closing with unread bytes resets the connection, which can destroy a response in transit.
        An incomplete response to an HTTP/1.0 caller needs that reset, as it has no chunks.
        """
        self._free()
        if self._is_http_1_0 and self.protocol.our_state is h11.SEND_BODY:
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_UNSENT)
        elif not self.body_read and not self._peer_closed and not self._cut_off:
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
    """Iterates over a request's body; unlike a generator it needs no close if left early."""

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
