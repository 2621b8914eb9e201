"""An HTTP/1.1 client whose errors say whether the request may have reached the server.

A connection is reused only when its last answer was read to the end and nothing unread waits on
it: anything else is closed, so that no caller can get the answer to somebody else's request.

Between a caller's decision to send and the writing lie a connection and whatever else this process
runs, or does not run when it is paused.  So the decision is asked for again at the writing itself.
"""

import enum
import math
import os
import re
import socket
import struct
from collections import defaultdict, deque
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager

import h11
import msgspec
import trio

from fescuedock.address import Address
from fescuedock.net.http_body import BodyReader, body_reader
from fescuedock.net.http_messages import Headers

__all__ = [
    "ConnectResult",
    "ClientResponse",
    "HttpClient",
    "NotSentError",
    "ResponseLostError",
    "ResponseTooLargeError",
    "SendCheck",
    "WithdrawnError",
    "open_http_client",
    "unchecked",
]

_RECEIVE_BYTES = 65536
_MAX_HEADER_BYTES = 65536
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)")
# A request must have arrived before the server closes: more than the slowest way there.
_KEEP_ALIVE_MARGIN_S = 0.25
# Requests of a kept connection whose late answers may still come; attempts of one call follow each
# other within seconds, in which a connection carries a few.
_MAX_CARRIED_IDENTITIES = 32
# SO_LINGER switched on with 0 s: a close discards what was not sent or acknowledged, and resets.
_DISCARD_UNSENT = struct.pack("ii", 1, 0)

# Returns why a request must not be sent any more, None when it may; neither waits nor does I/O.
SendCheck = Callable[[], enum.Enum | None]


class ConnectResult(enum.Enum):
    """What became of a connection that nothing is sent on."""

    ACCEPTED = enum.auto()
    # No process listens there.
    REFUSED = enum.auto()
    # Nobody answered in time, or there is no way.
    UNKNOWN = enum.auto()


class NotSentError(Exception):
    """No byte of the request can have reached the server."""


class WithdrawnError(Exception):
    """No byte of the request was sent, as its caller's check refused it when it was to be written.

    Says nothing of the server, so it is no ``NotSentError``.
    """

    def __init__(self, address: Address, refusal: enum.Enum) -> None:
        super().__init__(f"not sent to {address}: {refusal.value}")
        self.refusal = refusal


class ResponseLostError(Exception):
    """The request may have been executed; its answer is missing or ended early.

    ``head_received`` tells a truncated answer from one that never began.
    """

    def __init__(self, message: str, *, head_received: bool = False) -> None:
        super().__init__(message)
        self.head_received = head_received


class ResponseTooLargeError(Exception):
    """The answer is longer than the reader's limit."""


class ClientResponse:
    """The answer to one request; its body can be read once.

    ``header_fields`` has all headers in order; of a repeated one ``headers`` has the last.
    """

    __slots__ = ("_connection", "header_fields", "headers", "status")

    def __init__(
        self, status: int, header_fields: Headers, connection: "_ClientConnection"
    ) -> None:
        self.status = status
        self.header_fields = header_fields
        self.headers: Mapping[str, str] = dict(header_fields)
        self._connection = connection

    def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it comes; ``ResponseLostError`` when it ends early."""
        return self

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        data = await self.read_some()
        if not data:
            raise StopAsyncIteration
        return data

    async def read_some(self) -> bytes:
        """Return all that has come of the body, waiting only while nothing has; empty at its end.

        A stream's events that came together cost one wake-up, not one each.  When the answer breaks
        off behind something, that is returned, and the next read fails.
        """
        data = self._connection.pop_body()
        while not data and not self.ended:
            data = await self._connection.receive_body()
        return data

    def read_ready(self) -> bytes:
        """Return what has come of the body by now, without waiting."""
        return self._connection.pop_body() + self._connection.receive_body_now()

    @property
    def unframed(self) -> bool:
        """Whether the body has neither a length nor chunks, and ends with the connection."""
        return self._connection.body_unframed

    @property
    def ended(self) -> bool:
        """Whether the body has been read to its end."""
        return self._connection.body_ended

    async def read(self, limit_bytes: int = 16 * 1024 * 1024) -> bytes:
        """Return the whole body; ``ResponseTooLargeError`` over ``limit_bytes``."""
        parts: list[bytes] = []
        size_bytes = 0
        async for part in self.chunks():
            size_bytes += len(part)
            if size_bytes > limit_bytes:
                raise ResponseTooLargeError(f"answer over {limit_bytes} bytes")
            parts.append(part)
        return b"".join(parts)


def unchecked() -> None:
    """Allow a request, whatever has become of what its caller knew."""


# Tells from an answer's headers whether it belongs to the request that was sent.
IsAnswer = Callable[[Headers], bool]


class HttpClient(msgspec.Struct):
    """Makes requests, keeping a few idle connections for each address.

    ``on_connect`` is told of each new connection.
    """

    connect_timeout_ms: int = 2000
    max_idle_per_address: int = 16
    on_connect: Callable[[Address], None] = lambda address: None

    _idle: dict[Address, list["_ClientConnection"]] | None = None

    @asynccontextmanager
    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b"",
        *,
        fresh: bool = False,
        answer_timeout_ms: float = math.inf,
        is_answer: IsAnswer = lambda headers: True,
        check: SendCheck = unchecked,
        identity: str = "",
    ) -> AsyncIterator[ClientResponse]:
        """Send one request and give its answer; leaving the block early cuts the connection.

        ``headers`` may name another host than the address.  An answer that ``is_answer`` does not
        take is a late one to somebody else's request; it is read and dropped, and the next counts.

        ``answer_timeout_ms`` bounds the time from the connection to the answer's head; after it
        the answer counts as lost.  The body's time is the reader's to bound.

        ``fresh`` forces a new connection: a reused one may have been closed by the server just
        as we wrote to it, and then nobody can say whether the request arrived.

        ``check`` is asked right before the first byte is handed to the kernel, with nothing of this
        process in between; ``WithdrawnError`` when it refuses.

        ``identity`` is that of the work, if ``is_answer`` goes by it: no connection carries one
        twice, as a late answer to the first attempt would pass for that to the second.
        """
        # On a kept connection the request is written without a checkpoint: a caller that had been
        # cancelled just before would still have it run.
        await trio.lowlevel.checkpoint_if_cancelled()
        connection = None if fresh else self._pop_idle(address, identity)
        if connection is None:
            connection = await self._connect(address)
        connection.carried.append(identity)
        try:
            with _answer_timeout(address, answer_timeout_ms):
                response = await connection.exchange(
                    address, _Message(method, target, headers, body), is_answer, check
                )
            yield response
        except BaseException:
            connection.abort()
            raise
        if connection.reusable():
            self._store_idle(address, connection)
        else:
            connection.abort()

    async def try_connect(self, address: Address) -> ConnectResult:
        """Find out whether a server takes new connections, without sending anything."""
        try:
            with trio.fail_after(self.connect_timeout_ms / 1000):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as error:
            return ConnectResult.REFUSED if _is_refused(error) else ConnectResult.UNKNOWN
        self.on_connect(address)
        stream.socket.close()
        return ConnectResult.ACCEPTED

    def has_idle(self, address: Address) -> bool:
        """Whether a connection is kept that its server should still have; costs no system call."""
        now_s = trio.current_time()
        return any(item.is_kept_alive(now_s) for item in (self._idle or {}).get(address, ()))

    def drop_idle(self, address: Address) -> None:
        """Close the idle connections to a server that has gone."""
        for connection in (self._idle or {}).pop(address, ()):
            connection.abort()

    async def close(self) -> None:
        """Close the idle connections; never waits, so it works while being cancelled too."""
        for connections in (self._idle or {}).values():
            for connection in connections:
                connection.abort()
        self._idle = None

    async def _connect(self, address: Address) -> "_ClientConnection":
        try:
            with trio.fail_after(self.connect_timeout_ms / 1000):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as error:
            raise NotSentError(f"cannot connect to {address}: {error!r}") from error
        self.on_connect(address)
        return _ClientConnection(stream)

    def _pop_idle(self, address: Address, identity: str) -> "_ClientConnection | None":
        idle = (self._idle or {}).get(address, [])
        found: _ClientConnection | None = None
        excluded: list[_ClientConnection] = []
        while idle and found is None:
            connection = idle.pop()
            if not connection.is_usable():
                connection.abort()
            elif identity and identity in connection.carried:
                excluded.append(connection)
            else:
                found = connection
        idle.extend(reversed(excluded))
        return found

    def _store_idle(self, address: Address, connection: "_ClientConnection") -> None:
        if self._idle is None:
            self._idle = defaultdict(list)
        idle = self._idle[address]
        if len(idle) >= self.max_idle_per_address:
            idle.pop(0).abort()
        idle.append(connection)


def _is_refused(error: Exception) -> bool:
    """Whether a connection was refused; trio gives the reason as the cause, or in a group."""
    causes = [error, error.__cause__]
    if isinstance(error.__cause__, BaseExceptionGroup):
        causes += error.__cause__.exceptions
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes)


@asynccontextmanager
async def open_http_client(connect_timeout_ms: int = 2000) -> AsyncIterator[HttpClient]:
    """Give a client whose idle connections are closed with the block."""
    client = HttpClient(connect_timeout_ms)
    try:
        yield client
    finally:
        await client.close()


@contextmanager
def _answer_timeout(address: Address, timeout_ms: float) -> Iterator[None]:
    try:
        with trio.fail_after(timeout_ms / 1000):
            yield
    except trio.TooSlowError as error:
        raise ResponseLostError(f"{address} did not answer in {timeout_ms:g} ms") from error


class _Message(msgspec.Struct, frozen=True):
    """A request as it goes out."""

    method: str
    target: str
    headers: Headers
    body: bytes

    def events(self, address: Address) -> list[h11.Event]:
        fields = list(self.headers)
        if not any(name.lower() == "host" for name, _ in fields):
            fields.insert(0, ("host", str(address)))
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            fields.append(("content-length", str(len(self.body))))
        request = h11.Request(method=self.method, target=self.target, headers=fields)
        return [request, h11.Data(data=self.body), h11.EndOfMessage()]


class _ClientConnection:
    """One connection: the h11 state and the socket."""

    __slots__ = (
        "_body",
        "_idle_until_s",
        "_is_partly_sent",
        "_is_unanswered",
        "_protocol",
        "_stream",
        "_unread_body",
        "carried",
    )

    def __init__(self, stream: trio.SocketStream) -> None:
        # Identities of the newest requests.
        self.carried: deque[str] = deque(maxlen=_MAX_CARRIED_IDENTITIES)
        self._protocol = h11.Connection(h11.CLIENT, _MAX_HEADER_BYTES)
        self._stream = stream
        self._is_partly_sent = False
        # A request was written, and its answer has not begun.
        self._is_unanswered = False
        self._idle_until_s = math.inf
        # Of the answer that is being read: its body, and what came of it with the head.
        self._body = BodyReader(0)
        self._unread_body = b""

    async def exchange(
        self, address: Address, message: _Message, is_answer: IsAnswer, check: SendCheck
    ) -> ClientResponse:
        events = message.events(address)
        data = b"".join(self._protocol.send(event) or b"" for event in events)
        await self._send(address, data, check)
        while True:
            response = await self._next_response(address)
            self._begin_body(message.method, response)
            fields = [
                (name.decode("ascii"), value.decode("latin-1")) for name, value in response.headers
            ]
            if is_answer(fields):
                break
            await self._skip_answer(address, events)
        self._is_unanswered = False
        self._record_keep_alive(dict(fields).get("keep-alive", ""))
        return ClientResponse(response.status_code, fields, self)

    async def _send(self, address: Address, data: bytes, check: SendCheck) -> None:
        """Send a request; an answer that comes before all of it has gone ends the sending.

        A server may answer first and read on later, so waiting for it to read could be for ever.
        """
        sent_bytes = await self._send_first(address, data, check)
        if sent_bytes == len(data):
            return
        self._is_partly_sent = True
        error: Exception | None = None

        async def send_rest(scope: trio.CancelScope) -> None:
            nonlocal error
            try:
                await self._stream.send_all(data[sent_bytes:])
                self._is_partly_sent = False
            except (trio.BrokenResourceError, trio.ClosedResourceError) as broken:
                error = broken
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_rest, nursery.cancel_scope)
            await trio.lowlevel.wait_readable(self._stream.socket)
            nursery.cancel_scope.cancel()
        if error is not None and not self._stream.socket.is_readable():
            raise ResponseLostError(f"connection to {address} broke while sending") from error

    async def _send_first(self, address: Address, data: bytes, check: SendCheck) -> int:
        """Hand the kernel the beginning of a request, and usually all, if ``check`` allows it.

        No checkpoint may come between the check and the writing: what it looks at could change, and
        a process that is paused there for long goes on with the writing.
        """
        while True:
            refusal = check()
            if refusal is not None:
                raise WithdrawnError(address, refusal)
            sent_bytes = self._send_now(address, data)
            if sent_bytes:
                self._is_unanswered = True
                return sent_bytes
            await trio.lowlevel.wait_writable(self._stream.socket)

    def _send_now(self, address: Address, data: bytes) -> int:
        """Hand the kernel what it takes without waiting, which is usually all."""
        try:
            return os.write(self._stream.socket.fileno(), data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ResponseLostError(f"connection to {address} broke while sending") from error

    async def _next_response(self, address: Address) -> h11.Response:
        event = await self.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self.next_event()
        if not isinstance(event, h11.Response):
            raise ResponseLostError(f"{address} closed without an answer")
        return event

    async def _skip_answer(self, address: Address, events: list[h11.Event]) -> None:
        """Read an answer to another request to its end, and expect that to ours behind it."""
        while not self._body.ended:
            await self.receive_body()
        if self._protocol.our_state is not h11.DONE:
            raise ResponseLostError(f"{address} closed after another request's answer")
        rest = self._body.rest
        # The request has been sent already; only the state has to know of it.
        self._protocol = h11.Connection(h11.CLIENT, _MAX_HEADER_BYTES)
        for sent in events:
            self._protocol.send(sent)
        if rest:
            self._protocol.receive_data(rest)

    def _begin_body(self, method: str, response: h11.Response) -> None:
        """Take what h11 has received behind the head; from here on it gets no more bytes."""
        self._body = body_reader(method, response)
        data, _ = self._protocol.trailing_data
        self._unread_body = self._feed_body(data) if data else b""

    async def next_event(self) -> object:
        """Return h11's next event up to the head of the answer."""
        while True:
            try:
                event = self._protocol.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._protocol.receive_data(await self._receive())
            except (h11.RemoteProtocolError, OSError) as error:
                raise ResponseLostError(str(error)) from error

    @property
    def body_unframed(self) -> bool:
        """Whether only the end of the connection ends the answer's body."""
        return self._body.unframed

    @property
    def body_ended(self) -> bool:
        """Whether all of the answer's body has come."""
        return self._body.ended

    def pop_body(self) -> bytes:
        """Return what has been received of the body and was not taken yet."""
        unread, self._unread_body = self._unread_body, b""
        return unread

    async def receive_body(self) -> bytes:
        """Wait for more of the answer; return what it holds of the body, which may be nothing."""
        try:
            return self._feed_body(await self._receive())
        except OSError as error:
            raise ResponseLostError(str(error), head_received=True) from error

    def receive_body_now(self) -> bytes:
        """Receive what has come of the answer's body, if anything has."""
        if self._body.ended:
            return b""
        try:
            return self._feed_body(os.read(self._stream.socket.fileno(), _RECEIVE_BYTES))
        except BlockingIOError:
            return b""
        except OSError as error:
            raise ResponseLostError(str(error), head_received=True) from error

    def _feed_body(self, data: bytes) -> bytes:
        try:
            if data:
                return self._body.feed(data)
            self._body.close()
        except h11.RemoteProtocolError as error:
            raise ResponseLostError(str(error), head_received=True) from error
        return b""

    async def _receive(self) -> bytes:
        """Wait for bytes first and read then: a stream's next token is seldom there already."""
        while True:
            await trio.lowlevel.wait_readable(self._stream.socket)
            try:
                return os.read(self._stream.socket.fileno(), _RECEIVE_BYTES)
            except BlockingIOError:
                continue

    def reusable(self) -> bool:
        """Make ready for another request; False when the answer was not read to its end."""
        # h11 saw the heads of both, so its own side is done only where neither is to be the last.
        if not self._body.ended or self._body.rest or self._unread_body or self._is_partly_sent:
            return False
        if self._protocol.our_state is not h11.DONE:
            return False
        self._protocol = h11.Connection(h11.CLIENT, _MAX_HEADER_BYTES)
        return True

    def is_kept_alive(self, now_s: float) -> bool:
        """Whether the server said that it keeps the idle connection for longer."""
        return now_s < self._idle_until_s

    def is_usable(self) -> bool:
        """Whether the server keeps the idle connection for sure, and nothing unread waits on it."""
        if not self.is_kept_alive(trio.current_time()):
            return False
        return not self._stream.socket.is_readable()

    def abort(self) -> None:
        """Close at once, without a checkpoint: what the attempt failed by stays its error.

        A plain close lets the kernel go on sending what it holds.  When a way that was cut comes
        back, a request would arrive that was given up long before; so an unanswered one is
        discarded, as far as the server's kernel has not taken it.
        """
        if self._is_unanswered:
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_UNSENT)
        self._stream.socket.close()

    def _record_keep_alive(self, text: str) -> None:
        """Take the time for which the server keeps the connection, counted from its answer."""
        found = _KEEP_ALIVE_TIMEOUT.search(text)
        if found is None:
            self._idle_until_s = math.inf
            return
        keep_alive_s = max(int(found[1]) - _KEEP_ALIVE_MARGIN_S, 0.0)
        self._idle_until_s = trio.current_time() + keep_alive_s
