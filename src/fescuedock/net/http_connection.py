"""A caller's connection to the HTTP server: the h11 state and the socket."""

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
    "CutOff",
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

# SO_LINGER switched on with 0 s: a close discards what was not sent, and resets.
_DISCARD_UNSENT = struct.pack("ii", 1, 0)


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


class CutOff(msgspec.Struct, frozen=True):
    """Why a slow caller was cut off, and what was held for it; ``total_bytes`` for all callers."""

    reason: str
    held_bytes: int
    total_bytes: int


class HttpConnection:
    """One caller's connection: the h11 state and the socket.

    What the kernel does not take of a response is held here and sent as the caller reads.  ``held``
    counts it for all connections of the process, together with what has come of requests, and says
    who is cut off when it becomes too much.
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
        """``limits_of`` gives the bounds now in force; ``is_closing`` asks for the last answer."""
        self.protocol = h11.Connection(h11.SERVER, limits_of().max_header_bytes)
        self._stream = stream
        self._limits_of = limits_of
        self._is_closing = is_closing
        self._body_read = trio.Event()
        self._peer_closed = False
        self._held = held or HeldBytes(HeldBounds())
        self._on_cut_off = on_cut_off
        # Why the connection takes nothing more; empty while it does.
        self._cut_off = ""
        # What the kernel has not taken; None as long as it has always taken all.
        self._unsent: UnsentBytes | None = None
        self._is_waiting = False
        # Set while a task sends what is held, and replaced at each progress.
        self._drain_scope: trio.CancelScope | None = None
        self._progress = trio.Event()
        # That of the request's handler.
        self._nursery: trio.Nursery | None = None
        # Of the request's body: what has come, what of it counts as held, the wait for more.
        self._body_bytes = 0
        self._body_held_bytes = 0
        self._upload_scope: trio.CancelScope | None = None
        self._refusal = ""
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

    # --- the response ----------------------------------------------------------------------------

    async def send_events(self, *events: h11.Event) -> None:
        """Serialise and send; ``DroppedConnectionError`` when the caller takes nothing.

        Waits like ``send_part``, but not behind the end of a response, which ``flush`` waits for.
        """
        data = b"".join(self.protocol.send(event) or b"" for event in events)
        if isinstance(events[0], h11.Response):
            self._in_chunks = _CHUNKED_LINE in data.partition(b"\r\n\r\n")[0].lower() + b"\r\n"
        if not self._put(data):
            await self._wait_room(is_end=isinstance(events[-1], h11.EndOfMessage))

    async def send_part(self, data: bytes) -> None:
        """Send the next part of a streamed body, waiting while too much of it is held."""
        if not self.put_part(data):
            await self.wait_room()

    def put_part(self, data: bytes) -> bool:
        """Send or hold the next part of a streamed body; False when ``wait_room`` must follow.

        In chunks h11 need only know of its end.
        """
        if not self._in_chunks:
            return self._put(self.protocol.send(h11.Data(data=data)) or b"")
        return not data or self._put(b"%x\r\n%b\r\n" % (len(data), data))

    async def wait_room(self) -> None:
        """Wait until the caller has taken enough; ``DroppedConnectionError`` when it does not."""
        await self._wait_room(is_end=False)

    def _put(self, data: bytes) -> bool:
        """Hand the kernel what it takes, and hold the rest; whether no wait need follow."""
        if self._is_waiting:
            raise trio.BusyResourceError("two tasks answer one request")
        if self._cut_off:
            # Bytes before these are gone; its handler is cancelled at its next checkpoint only.
            self._check_open()
        if self._unsent is not None and self._unsent.size_bytes:
            self._buffer(memoryview(data))
        elif (sent_bytes := self._send_now(data)) < len(data):
            self._buffer(memoryview(data)[sent_bytes:])
        else:
            return True
        return self._has_room() and self._drain_scope is not None

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

    def _unsent_bytes(self) -> int:
        return 0 if self._unsent is None else self._unsent.size_bytes

    def _buffer(self, data: memoryview) -> None:
        if self._unsent is None:
            # Imported at the first slow caller, which a start need not wait for.
            from fescuedock.net.unsent import UnsentBytes

            self._unsent = UnsentBytes()
        self._unsent.append(data)
        self._cut_off_slowest(self._held.hold(self, len(data), now_ms()))
        self._check_open()

    def _has_room(self) -> bool:
        return self._unsent_bytes() <= self._held.bounds.call_bytes

    async def _wait_room(self, *, is_end: bool) -> None:
        """Have what is held sent; wait for it as far as the bound of one response asks for."""
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
        """Wait until the caller has taken all that is held for it.

        ``DroppedConnectionError`` when it takes nothing for the write timeout or is cut off.
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
        """Send what is held beside the handler, and cancel that when the caller takes nothing."""
        try:
            await self._drain(scope)
        except DroppedConnectionError:
            # What the handler would get from its next write.
            self._nursery.cancel_scope.cancel()

    async def _drain(self, scope: trio.CancelScope) -> None:
        """Send what is held as the caller reads; ``scope`` ends it when the caller is cut off."""
        try:
            with scope:
                scope.deadline = self._write_deadline_s()
                while self._unsent_bytes():
                    await trio.lowlevel.wait_writable(self._stream.socket)
                    self._send_unsent()
                    if self._held.bounds.call_bytes:
                        # Where a producer waits for each part, the time is that of the part: the
                        # kernel's buffers grow, and a caller that reads nothing would get on.
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
        self._held.note_taken(self, sent_bytes, now_ms())
        self._signal_progress()

    def _signal_progress(self) -> None:
        self._progress.set()
        self._progress = trio.Event()

    # --- cutting off -----------------------------------------------------------------------------

    def cut_off(self, reason: str) -> None:
        """Give up a slow caller: free what is held for it, and end what goes on for it.

        Its response is never made to look complete: the connection is reset, also where the kernel
        holds the rest of the response.  A request that has not come whole is still refused.
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
        """Return the next bytes of the request's body, None after its end."""
        if self._body_read.is_set():
            return None
        event = self.protocol.next_event()
        if event is h11.NEED_DATA:
            event = await self._wait_body()
        if isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            return bytes(event.data)
        if self._body_held_bytes:
            self._held.note_taken(self, self._body_held_bytes, now_ms())
            self._body_held_bytes = 0
        self._body_read.set()
        return None

    async def _wait_body(self) -> object:
        """Wait for more of a body; what has come of it counts as held meanwhile."""
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
            message = f"nothing of the body came for {limit_ms:g} ms"
            raise RequestTimeoutError(self._refusal or message)
        return event

    def _count_body(self) -> None:
        new_bytes = self._body_bytes - self._body_held_bytes
        if new_bytes:
            self._body_held_bytes = self._body_bytes
            self._cut_off_slowest(self._held.note_received(self, new_bytes, now_ms()))

    def set_handler_nursery(self, nursery: trio.Nursery) -> None:
        """Run what is done beside the request's handler in ``nursery``, which is the handler's."""
        self._nursery = nursery

    def begin_body(self, head: h11.Request) -> None:
        """Take the end of a request without a body, so that watching can begin at once."""
        self._body_bytes = self._body_held_bytes = 0
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
        self._nursery = None
        if self._cut_off or self._unsent_bytes():
            return False
        if self.protocol.our_state is not h11.DONE or self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        self._body_read = trio.Event()
        return True

    async def close(self) -> None:
        """Close, first reading a little of what the caller still sends.

        Closing with unread bytes resets the connection, which can destroy our answer on its way.
        """
        self._free()
        if not self.body_read and not self._peer_closed and not self._cut_off:
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
