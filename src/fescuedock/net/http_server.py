"""An HTTP/1.1 server: h11 for the protocol, trio for the sockets.

A handler gets the request and a responder.  It is cancelled when its caller disconnects, so
whatever it must finish regardless it shields itself.
"""

import os
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec
import trio

from fescuedock.faults import Fault
from fescuedock.net.address import Address, naming_address
from fescuedock.schema.result_codes import ResultCode

__all__ = [
    "BodyTooLargeError",
    "Handler",
    "Headers",
    "HttpLimits",
    "HttpServer",
    "Request",
    "Responder",
    "ResponseStream",
    "fault_body",
]

Headers = Sequence[tuple[str, str]]
JSON_TYPE = ("content-type", "application/json")
_RECEIVE_BYTES = 65536
_BACKLOG = 1024
_LINGER_READS = 64
_LINGER_S = 1
_CALLER_GONE = (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError)


class BodyTooLargeError(Exception):
    """The request's body is over the limit the reader gave."""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds of one connection."""

    max_header_bytes: int = 32768
    read_timeout_ms: int = 30000
    write_timeout_ms: int = 30000
    idle_timeout_ms: int = 60000


@dataclass(slots=True)
class Request:
    """One request.  Header names are lower case; of a repeated header the last counts."""

    method: str
    path: str
    target: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: AsyncIterator[bytes]

    async def read(self, limit_bytes: int) -> bytes:
        """Return the whole body; ``BodyTooLargeError`` when it is over ``limit_bytes``."""
        parts: list[bytes] = []
        size_bytes = 0
        async for part in self.body:
            size_bytes += len(part)
            if size_bytes > limit_bytes:
                raise BodyTooLargeError(f"body over {limit_bytes} bytes")
            parts.append(part)
        return b"".join(parts)


class Responder:
    """Sends the one response of a request, whole or as a stream."""

    __slots__ = ("_connection", "started")

    def __init__(self, connection: "_Connection") -> None:
        self._connection = connection
        self.started = False

    async def send(self, status: int, body: bytes = b"", headers: Headers = ()) -> None:
        """Send a whole response; a body without a content type is JSON."""
        fields = list(headers)
        if not any(name.lower() == "content-type" for name, _ in fields):
            fields.append(JSON_TYPE)
        fields.append(("content-length", str(len(body))))
        if not self._connection.body_read:
            # The rest of the body is in the way of the next request.
            fields.append(("connection", "close"))
        self.started = True
        # One write for head and body: two small ones would wait for each other's ACK.
        await self._connection.send_events(
            h11.Response(status_code=status, headers=fields),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def send_json(self, status: int, value: object, headers: Headers = ()) -> None:
        await self.send(status, msgspec.json.encode(value), headers)

    async def send_fault(self, fault: Fault, headers: Headers = ()) -> None:
        """Send ``fault`` in the OpenAI error shape with code, name and outcome."""
        fields = list(headers)
        if fault.retry_after_ms:
            fields.append(("retry-after", str(max(1, -(-fault.retry_after_ms // 1000)))))
            fields.append(("retry-after-ms", str(fault.retry_after_ms)))
        await self.send(fault.http_status, fault_body(fault), fields)

    @asynccontextmanager
    async def stream(self, status: int, headers: Headers) -> AsyncIterator["ResponseStream"]:
        """Open a streamed response; leaving the block normally ends it as whole.

        Leaving it by an exception breaks the connection, so that the caller sees a truncated
        answer and never takes it for a whole one.
        """
        self.started = True
        await self._connection.send_events(h11.Response(status_code=status, headers=list(headers)))
        yield ResponseStream(self._connection)
        await self._connection.send_events(h11.EndOfMessage())


class ResponseStream:
    """The open body of a streamed response."""

    __slots__ = ("_connection",)

    def __init__(self, connection: "_Connection") -> None:
        self._connection = connection

    async def write(self, data: bytes) -> None:
        """Send ``data``, waiting while the caller is slow."""
        await self._connection.send_events(h11.Data(data=data))


Handler = Callable[[Request, Responder], Awaitable[None]]


def fault_body(fault: Fault) -> bytes:
    """Return ``fault`` as the JSON error body that callers get."""
    error = {
        "message": fault.message,
        "type": "invalid_request_error" if fault.http_status < 500 else "server_error",
        "param": None,
        "code": fault.code.value,
        "name": fault.code.name,
        "outcome": fault.outcome.value,
        "retry_after_ms": fault.retry_after_ms,
    }
    return msgspec.json.encode({"error": error})


@dataclass(slots=True)
class HttpServer:
    """Serves one handler on one listening address until it is stopped."""

    handler: Handler
    limits: HttpLimits = field(default_factory=HttpLimits)
    # Told of errors that a handler let through, which are faults of ours.
    on_error: Callable[[Exception], None] = lambda error: None
    in_flight: int = 0
    _stopping: trio.Event = field(default_factory=trio.Event)
    _idle_scopes: set[trio.CancelScope] = field(default_factory=set)

    async def serve(
        self, address: Address, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen on ``address`` (port 0 takes a free one) until ``stop`` and the last request.

        Reports the real ``Address`` through ``task_status``.
        """
        with naming_address(address):
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=_BACKLOG
            )
        bound_port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as connections:
            accepting = trio.CancelScope()

            async def accept() -> None:
                with accepting:
                    await trio.serve_listeners(
                        self._serve_stream, listeners, handler_nursery=connections
                    )

            connections.start_soon(accept)
            task_status.started(Address(address.host, bound_port))
            await self._stopping.wait()
            accepting.cancel()
            for scope in tuple(self._idle_scopes):
                scope.cancel()

    def stop(self) -> None:
        """Accept no more connections, close idle ones, and let requests in flight finish."""
        self._stopping.set()

    @property
    def stopping(self) -> bool:
        return self._stopping.is_set()

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        connection = _Connection(stream, self.limits)
        try:
            while await self._serve_request(connection):
                pass
        except _CALLER_GONE:
            return
        finally:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + _LINGER_S):
                await connection.close()

    async def _serve_request(self, connection: "_Connection") -> bool:
        """Serve one request; return whether the connection can carry another."""
        try:
            head = await self._next_head(connection)
        except h11.RemoteProtocolError as error:
            await _send_protocol_fault(connection, error)
            return False
        if head is None:
            return False
        self.in_flight += 1
        try:
            await self._handle(connection, head)
        finally:
            self.in_flight -= 1
        return not self.stopping and await connection.prepare_next()

    async def _next_head(self, connection: "_Connection") -> h11.Request | None:
        """Wait for a request's head; None when the caller left, idled out or we are stopping."""
        if self.stopping:
            return None
        with trio.move_on_after(self.limits.idle_timeout_ms / 1000) as scope:
            self._idle_scopes.add(scope)
            try:
                event = await connection.next_event()
            finally:
                self._idle_scopes.discard(scope)
            return event if isinstance(event, h11.Request) else None
        return None

    async def _handle(self, connection: "_Connection", head: h11.Request) -> None:
        responder = Responder(connection)
        connection.begin_body(head)
        request = _request_of(head, connection)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.watch_disconnect, nursery.cancel_scope)
            await self._run_handler(connection, request, responder)
            nursery.cancel_scope.cancel()

    async def _run_handler(
        self, connection: "_Connection", request: Request, responder: Responder
    ) -> None:
        """Run the handler; none of its errors may end the server or another caller's request."""
        try:
            await self.handler(request, responder)
        except _CALLER_GONE:
            return
        except BodyTooLargeError as error:
            await _fail(responder, Fault(ResultCode.BODY_TOO_LARGE, str(error)))
        except h11.RemoteProtocolError as error:
            await _send_protocol_fault(connection, error)
        except Exception as error:
            if _only_caller_gone(error):
                return
            self.on_error(error)
            await _fail(responder, Fault(ResultCode.INTERNAL, "internal error; see the logs"))


def _only_caller_gone(error: Exception) -> bool:
    """Whether a handler's nursery raised nothing but its caller's disconnect."""
    return isinstance(error, ExceptionGroup) and error.split(_CALLER_GONE)[1] is None


async def _fail(responder: Responder, fault: Fault) -> None:
    """Answer with ``fault`` unless an answer has begun, which then stays visibly truncated."""
    if responder.started:
        return
    try:
        await responder.send_fault(fault)
    except _CALLER_GONE:
        return


def _request_of(head: h11.Request, connection: "_Connection") -> Request:
    target = head.target.decode("ascii", "replace")
    parts = urlsplit(target)
    return Request(
        method=head.method.decode("ascii"),
        path=unquote(parts.path),
        target=target,
        query=dict(parse_qsl(parts.query, keep_blank_values=True)),
        headers={name.decode("ascii"): value.decode("latin-1") for name, value in head.headers},
        body=connection.body(),
    )


async def _send_protocol_fault(connection: "_Connection", error: h11.RemoteProtocolError) -> None:
    if connection.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    too_large = error.error_status_hint == 431
    code = ResultCode.HEADER_TOO_LARGE if too_large else ResultCode.BAD_REQUEST
    await Responder(connection).send_fault(Fault(code, str(error)), [("connection", "close")])


class _Connection:
    """One caller's connection: the h11 state and the socket."""

    __slots__ = ("_body_read", "_limits", "_peer_closed", "_sending", "_stream", "protocol")

    def __init__(self, stream: trio.SocketStream, limits: HttpLimits) -> None:
        self.protocol = h11.Connection(h11.SERVER, limits.max_header_bytes)
        self._stream = stream
        self._limits = limits
        self._body_read = trio.Event()
        self._peer_closed = False
        self._sending = False

    @property
    def body_read(self) -> bool:
        """Whether the request was taken to its end."""
        return self._body_read.is_set()

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
        """Serialise and send ``events``; ``trio.TooSlowError`` when the caller takes nothing."""
        if self._sending:
            raise trio.BusyResourceError("two tasks answer one request")
        data = b"".join(self.protocol.send(event) or b"" for event in events)
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
            raise trio.BrokenResourceError(str(error)) from error

    async def _send_rest(self, data: bytes) -> None:
        self._sending = True
        try:
            with trio.fail_after(self._limits.write_timeout_ms / 1000):
                await self._stream.send_all(data)
        finally:
            self._sending = False

    def body(self) -> AsyncIterator[bytes]:
        return _RequestBody(self)

    async def next_body_part(self) -> bytes | None:
        """Return the next bytes of the request's body, None after its end."""
        if self._body_read.is_set():
            return None
        with trio.fail_after(self._limits.read_timeout_ms / 1000):
            event = await self.next_event()
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

    def __init__(self, connection: _Connection) -> None:
        self._connection = connection

    def __aiter__(self) -> "_RequestBody":
        return self

    async def __anext__(self) -> bytes:
        part = await self._connection.next_body_part()
        if part is None:
            raise StopAsyncIteration
        return part
