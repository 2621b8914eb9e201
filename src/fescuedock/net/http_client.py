"""An HTTP/1.1 client whose errors say whether the request may have reached the server.

A connection is reused only if its last answer was read to the end and no unread bytes are pending
on it.  Any other connection is closed, so that no caller can get the answer to another request.

Between a caller's decision to send and the write, time passes for connecting, for other tasks, or
because the process is paused.  So the decision is checked again immediately before the write.
"""

import array
import enum
import fcntl
import math
import os
import re
import socket
import struct
import termios
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
    "OtherPeerError",
    "PeerQuery",
    "ResponseLostError",
    "ResponseTooLargeError",
    "SendCheck",
    "UnsendableRequestError",
    "WithdrawnError",
    "open_http_client",
    "unchecked",
]

_RECEIVE_BYTES = 65536
_MAX_HEADER_BYTES = 65536
# Limits for what may precede an answer: its informational answers, and the rest of another answer.
_MAX_INFORMATIONAL_ANSWERS = 32
_MAX_SKIPPED_BYTES = 1024 * 1024
# h11 accepts greater ones.
_MAX_STATUS = 599
# A longer time than ten digits hold counts as not announced.
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d{1,10})(?!\d)", re.ASCII)
# A request must arrive before the server closes: longer than the slowest network transit.
_KEEP_ALIVE_MARGIN_S = 0.25
_MAX_PEER_BYTES = 65536
# A server may close any connection after an answer, so also after the one that identified it.
_MAX_IDENTIFY_TRIES = 2
# How long it is not asked again which process is at an address where another one was found.
_PEER_VALID_S = 0.5
# Pause before a server that closed a connection is asked again; doubled each time.
_FIRST_PEER_PAUSE_S = 0.002
# Number of previous requests on a connection whose late answers may still arrive.  Attempts of one
# call follow each other within seconds, in which a connection carries only a few requests.
_MAX_CARRIED_IDENTITIES = 32
# SO_LINGER with 0 s: closing discards unsent and unacknowledged bytes and resets the connection.
_DISCARD_UNSENT = struct.pack("ii", 1, 0)

_NOTHING = memoryview(b"")

# Returns why a request must no longer be sent, None if it may; must not wait or do I/O.
SendCheck = Callable[[], enum.Enum | None]


class ConnectResult(enum.Enum):
    """The result of a connection that carries no request but perhaps a ``PeerQuery``."""

    # The process was not asked for its identity, or does not tell it.
    ACCEPTED = enum.auto()
    EXPECTED_PEER = enum.auto()
    OTHER_PEER = enum.auto()
    # No process listens on the port.
    REFUSED = enum.auto()
    # No reply within the timeout, no usable answer to the query, or no route.
    UNKNOWN = enum.auto()


class NotSentError(Exception):
    """No byte of the request can have reached the server."""


class OtherPeerError(NotSentError):
    """Another process than the expected one is at the other end of the connection."""


class UnsendableRequestError(Exception):
    """The request's target or headers cannot be written as HTTP/1.1; nothing was sent.

    It says nothing about the server, so it is not a ``NotSentError``.
    """


class WithdrawnError(Exception):
    """No byte of the request was sent, because its check refused it just before the write.

    It says nothing about the server, so it is not a ``NotSentError``.
    """

    def __init__(self, address: Address, refusal: enum.Enum) -> None:
        super().__init__(f"not sent to {address}: {refusal.value}")
        self.refusal = refusal


class ResponseLostError(Exception):
    """The request may have been executed; its answer is missing or truncated.

    ``head_received`` distinguishes a truncated answer from a missing one.
    """

    def __init__(self, message: str, *, head_received: bool = False) -> None:
        super().__init__(message)
        self.head_received = head_received


class ResponseTooLargeError(Exception):
    """The answer exceeds the limit of the reader."""


class ClientResponse:
    """The answer to one request; its body can be read once.

    ``header_fields`` holds all headers in order; ``headers`` has the last value of repeated ones.
    """

    __slots__ = ("_connection", "header_fields", "headers", "status")

    def __init__(
        self, status: int, header_fields: Headers, connection: "_ClientConnection"
    ) -> None:
        self.status = status
        self.header_fields = header_fields
        self.headers: Mapping[str, str] = dict(header_fields)
        self._connection = connection

    @property
    def peer(self) -> str | None:
        """The identity of the process that answered; None if it was not asked or did not tell."""
        return self._connection.peer

    def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives; raise ``ResponseLostError`` if it is truncated."""
        return self

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        data = await self.read_some()
        if not data:
            raise StopAsyncIteration
        return data

    async def read_some(self) -> bytes:
        """Return all received body bytes, waiting only if there are none; empty at the end.

        Stream events that arrived together cost one wake-up, not one each.  If the answer breaks
        off after some bytes, these are returned, and the next read fails.
        """
        data = self._connection.pop_body()
        while not data and not self.ended:
            data = await self._connection.receive_body()
        return data

    def read_ready(self) -> bytes:
        """Return the body bytes received so far, without waiting."""
        return self._connection.pop_body() + self._connection.receive_body_now()

    @property
    def unframed(self) -> bool:
        """Whether the body has neither a length nor chunks, so that it ends with the connection."""
        return self._connection.body_unframed

    @property
    def ended(self) -> bool:
        """Whether the body has been read to its end."""
        return self._connection.body_ended

    async def read(self, limit_bytes: int = 16 * 1024 * 1024) -> bytes:
        """Return the complete body; raise ``ResponseTooLargeError`` over ``limit_bytes``."""
        parts: list[bytes] = []
        size_bytes = 0
        async for part in self.chunks():
            size_bytes += len(part)
            if size_bytes > limit_bytes:
                raise ResponseTooLargeError(f"answer over {limit_bytes} bytes")
            parts.append(part)
        return b"".join(parts)


def unchecked() -> None:
    """Allow every request without a check."""


# Decides by an answer's headers whether it belongs to the request that was sent.
IsAnswer = Callable[[Headers], bool]


class PeerQuery(msgspec.Struct, frozen=True):
    """A GET request whose answer names the process at the other end of a connection.

    ``read_peer`` returns the identity in an answer with this status and body, None if the
    process does not tell it; it raises ``ValueError`` for an answer that cannot be read.
    ``expected`` is the identity that the process must have if it tells one.  ``is_answer`` rejects
    late answers to other requests by their headers.
    """

    target: str
    read_peer: Callable[[int, bytes], str | None]
    expected: str
    is_answer: IsAnswer = lambda headers: True


class HttpClient(msgspec.Struct):
    """Makes requests, reusing up to ``max_idle_per_address`` idle connections per address.

    ``identify_timeout_ms`` bounds the time in which a peer must identify itself, with further
    connections if the first one closes.  ``on_connect`` is called for each new connection.
    """

    connect_timeout_ms: int = 2000
    identify_timeout_ms: int = 700
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
        peer_query: PeerQuery | None = None,
    ) -> AsyncIterator[ClientResponse]:
        """Send one request and yield its answer; leaving the block early closes the connection.

        ``headers`` may contain a host that differs from the address; each character of a value
        stands for a byte (ISO 8859-1), as in the headers of answers.  An answer that ``is_answer``
        rejects is a late one to another request; it is read and dropped, and the next one is used.

        ``answer_timeout_ms`` bounds the time from the connection to the answer's head; after it
        the answer counts as lost.  The reader must bound the time for the body.

        ``fresh`` forces a new connection: the server may close a reused one just when the request
        is written, and then it is unknown whether the request arrived.

        ``check`` is called immediately before the first byte is passed to the kernel, without a
        checkpoint in between; raise ``WithdrawnError`` if it refuses.

        ``identity`` identifies the work, if ``is_answer`` relies on it: no connection carries the
        same one twice, since a late answer to the first attempt would match the second one.

        ``peer_query`` is sent first on a connection whose peer is not identified yet; raise
        ``OtherPeerError`` unless the expected process answers.  A connection does not outlive the
        process at its other end, so one answer holds while it is open.
        """
        # On a reused connection the request is written without a checkpoint: without this one, a
        # caller that was cancelled just before would still send it.
        await trio.lowlevel.checkpoint_if_cancelled()
        message = _message(address, method, target, headers, body)
        expected = None if peer_query is None else peer_query.expected
        connection = None if fresh else self._pop_idle(address, identity, expected)
        if connection is None:
            if self._has_other_peer(address, expected):
                raise OtherPeerError(f"another process is at {address}")
            connection = await self._connect(address)
        if peer_query is not None and not connection.is_identified:
            connection = await self._identify(address, connection, peer_query)
            self._drop_former_peers(address, connection.peer)
            if connection.is_other_peer(expected):
                # The process may be listed soon, and the connection is of use then.
                connection.mismatched_s = trio.current_time()
                self._store_idle(address, connection)
                raise OtherPeerError(f"another process is at {address}: {connection.peer}")
        connection.carried.append(identity)
        try:
            with _answer_timeout(address, answer_timeout_ms):
                response = await connection.exchange(address, message, is_answer, check)
            yield response
        except BaseException:
            connection.abort()
            raise
        if connection.reusable():
            self._store_idle(address, connection)
        else:
            connection.abort()

    async def try_connect(
        self, address: Address, peer_query: PeerQuery | None = None
    ) -> ConnectResult:
        """Check whether a server accepts new connections, and with a query which process does."""
        try:
            with trio.fail_after(self.connect_timeout_ms / 1000):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as error:
            return ConnectResult.REFUSED if _is_refused(error) else ConnectResult.UNKNOWN
        self.on_connect(address)
        connection = _ClientConnection(stream)
        try:
            if peer_query is not None:
                with _answer_timeout(address, self.connect_timeout_ms):
                    await connection.identify(address, peer_query)
        except (ResponseLostError, ResponseTooLargeError, ValueError):
            return ConnectResult.UNKNOWN
        finally:
            connection.abort()
        if peer_query is None:
            return ConnectResult.ACCEPTED
        return _compare_peer(connection.peer, peer_query)

    async def find_peer(self, address: Address, query: PeerQuery) -> ConnectResult:
        """Check which process is at an address now, over an idle connection if there is one.

        A connection that is closed without a reply says nothing: the kernel accepts connections for
        a process until it has exited, and a busy server may close them.
        """
        pause_s = _FIRST_PEER_PAUSE_S
        with trio.move_on_after(self.identify_timeout_ms / 1000):
            while True:
                connection = self._pop_idle(address, "", None)
                try:
                    connection = connection or await self._connect(address)
                    return await self._ask_peer(address, connection, query)
                except NotSentError as error:
                    is_refused = _is_refused(error.__cause__)
                    return ConnectResult.REFUSED if is_refused else ConnectResult.UNKNOWN
                except (ResponseTooLargeError, ValueError):
                    return ConnectResult.UNKNOWN
                except ResponseLostError:
                    await trio.sleep(pause_s)
                    pause_s *= 2
        return ConnectResult.UNKNOWN

    async def _ask_peer(
        self, address: Address, connection: "_ClientConnection", query: PeerQuery
    ) -> ConnectResult:
        """Return which process answers ``query`` on a connection, which is then used again."""
        is_usable = False
        try:
            await connection.identify(address, query)
            is_usable = connection.reusable()
        finally:
            if is_usable:
                self._store_idle(address, connection)
            else:
                connection.abort()
        return _compare_peer(connection.peer, query)

    def has_idle(self, address: Address) -> bool:
        """Whether an idle connection is within its keep-alive time; makes no system call."""
        now_s = trio.current_time()
        return any(item.is_kept_alive(now_s) for item in (self._idle or {}).get(address, ()))

    def drop_idle(self, address: Address) -> None:
        """Close the idle connections to a server that no longer exists."""
        for connection in (self._idle or {}).pop(address, ()):
            connection.abort()

    async def close(self) -> None:
        """Close the idle connections; it never waits, so it also works while cancelled."""
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

    async def _identify(
        self, address: Address, connection: "_ClientConnection", query: PeerQuery
    ) -> "_ClientConnection":
        """Return a connection whose peer has answered ``query``, another one if that was closed."""
        try:
            with _answer_timeout(address, self.identify_timeout_ms):
                return await self._identify_any(address, connection, query)
        except (ResponseLostError, ResponseTooLargeError, ValueError) as error:
            raise NotSentError(f"{address} did not identify itself: {error}") from error

    async def _identify_any(
        self, address: Address, connection: "_ClientConnection", query: PeerQuery
    ) -> "_ClientConnection":
        for tries_left in reversed(range(_MAX_IDENTIFY_TRIES)):
            is_usable = False
            try:
                await connection.identify(address, query)
                is_usable = connection.reusable()
            except ResponseLostError:
                if not tries_left:
                    raise
            finally:
                if not is_usable:
                    connection.abort()
            if is_usable:
                return connection
            told = connection
            connection = await self._connect(address)
        # A peer that closes each connection after an answer: no process restarts so quickly.
        connection.set_peer(told.peer)
        return connection

    def _pop_idle(
        self, address: Address, identity: str, expected_peer: str | None
    ) -> "_ClientConnection | None":
        idle = (self._idle or {}).get(address, [])
        found: _ClientConnection | None = None
        excluded: list[_ClientConnection] = []
        while idle and found is None:
            connection = idle.pop()
            if not connection.is_usable():
                connection.abort()
            elif (identity and identity in connection.carried) or connection.is_other_peer(
                expected_peer
            ):
                excluded.append(connection)
            else:
                found = connection
        idle.extend(reversed(excluded))
        return found

    def _has_other_peer(self, address: Address, expected: str | None) -> bool:
        """Whether another process than the expected one was found at an address just now."""
        now_s = trio.current_time()
        return any(
            item.is_other_peer(expected) and now_s - item.mismatched_s < _PEER_VALID_S
            for item in (self._idle or {}).get(address, ())
        )

    def _drop_former_peers(self, address: Address, current: str | None) -> None:
        """Close the idle connections to processes that another one has replaced."""
        idle = (self._idle or {}).get(address, [])
        for connection in [item for item in idle if item.is_other_peer(current)]:
            idle.remove(connection)
            connection.abort()

    def _store_idle(self, address: Address, connection: "_ClientConnection") -> None:
        if self._idle is None:
            self._idle = defaultdict(list)
        idle = self._idle[address]
        if len(idle) >= self.max_idle_per_address:
            idle.pop(0).abort()
        idle.append(connection)


def _compare_peer(peer: str | None, query: PeerQuery) -> ConnectResult:
    if peer is None:
        return ConnectResult.ACCEPTED
    return ConnectResult.EXPECTED_PEER if peer == query.expected else ConnectResult.OTHER_PEER


def _is_refused(error: Exception) -> bool:
    """Whether a connection was refused; trio sets the reason as the cause, or in its group."""
    causes = [error, error.__cause__]
    if isinstance(error.__cause__, BaseExceptionGroup):
        causes += error.__cause__.exceptions
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes)


@asynccontextmanager
async def open_http_client(connect_timeout_ms: int = 2000) -> AsyncIterator[HttpClient]:
    """Yield a client whose idle connections are closed when the block exits."""
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
        raise ResponseLostError(f"{address} did not answer within {timeout_ms:g} ms") from error


class _Message(msgspec.Struct, frozen=True):
    """A request to send."""

    method: str
    events: list[h11.Event]


def _message(address: Address, method: str, target: str, headers: Headers, body: bytes) -> _Message:
    """Return a request; raise ``UnsendableRequestError`` if HTTP/1.1 has no form for it."""
    fields = list(headers)
    if not any(name.lower() == "host" for name, _ in fields):
        fields.insert(0, ("host", str(address)))
    if body or method not in ("GET", "HEAD", "DELETE"):
        fields.append(("content-length", str(len(body))))
    try:
        encoded = [(name, value.encode("latin-1")) for name, value in fields]
        request = h11.Request(method=method, target=target, headers=encoded)
    except (UnicodeEncodeError, h11.LocalProtocolError) as error:
        raise UnsendableRequestError(str(error)) from error
    return _Message(method, [request, h11.Data(data=body), h11.EndOfMessage()])


class _ClientConnection:
    """One connection: the h11 state and the socket."""

    __slots__ = (
        "_body",
        "_idle_until_s",
        "_is_unanswered",
        "_protocol",
        "_stream",
        "_unread_body",
        "_unsent",
        "carried",
        "is_identified",
        "mismatched_s",
        "peer",
    )

    def __init__(self, stream: trio.SocketStream) -> None:
        # Identities of the latest requests.
        self.carried: deque[str] = deque(maxlen=_MAX_CARRIED_IDENTITIES)
        # Whether the peer was asked which process it is, what it told, and when that was found to
        # be another one than expected.
        self.is_identified = False
        self.peer: str | None = None
        self.mismatched_s = -math.inf
        self._protocol = h11.Connection(h11.CLIENT, _MAX_HEADER_BYTES)
        self._stream = stream
        # The rest of the current request; sent while its answer is awaited, also within the answer.
        self._unsent = _NOTHING
        # A request was written, and its answer has not started.
        self._is_unanswered = False
        self._idle_until_s = math.inf
        # The body of the current answer, and its bytes that arrived together with the head.
        self._body = BodyReader(0)
        self._unread_body = b""

    async def identify(self, address: Address, query: PeerQuery) -> None:
        """Ask the peer for its identity; raise ``ValueError`` if its answer cannot be read."""
        message = _message(address, "GET", query.target, (), b"")
        response = await self.exchange(address, message, query.is_answer, unchecked)
        body = await response.read(_MAX_PEER_BYTES)
        self.set_peer(query.read_peer(response.status, body))

    def set_peer(self, peer: str | None) -> None:
        """Record the identity of the peer, None if it does not tell it."""
        self.is_identified = True
        self.peer = peer

    def is_other_peer(self, expected: str | None) -> bool:
        """Whether the peer is known to be another process than the expected one."""
        return None not in (expected, self.peer) and self.peer != expected

    async def exchange(
        self, address: Address, message: _Message, is_answer: IsAnswer, check: SendCheck
    ) -> ClientResponse:
        data = b"".join(self._protocol.send(event) or b"" for event in message.events)
        sent_bytes = await self._send_first(address, data, check)
        if sent_bytes < len(data):
            self._unsent = memoryview(data)[sent_bytes:]
        while True:
            response = await self._next_response(address)
            self._begin_body(message.method, response)
            fields = [
                (name.decode("ascii"), value.decode("latin-1")) for name, value in response.headers
            ]
            if is_answer(fields):
                break
            await self._skip_answer(address, message.events)
        self._is_unanswered = False
        self._record_keep_alive(dict(fields).get("keep-alive", ""))
        return ClientResponse(response.status_code, fields, self)

    async def _send_first(self, address: Address, data: bytes, check: SendCheck) -> int:
        """Pass the start of a request, usually all of it, to the kernel if ``check`` allows it.

        There must be no checkpoint between the check and the write: the checked state could change
        in between, and a process that is paused there for long would still write.
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
        """Write as much as the kernel accepts without waiting, usually everything."""
        try:
            return os.write(self._stream.socket.fileno(), data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ResponseLostError(f"connection to {address} broke while sending") from error

    async def _next_response(self, address: Address) -> h11.Response:
        event = await self.next_event()
        informational = 0
        while isinstance(event, h11.InformationalResponse):
            informational += 1
            if informational > _MAX_INFORMATIONAL_ANSWERS:
                raise ResponseLostError(f"{address} sent too many informational answers")
            event = await self.next_event()
        if not isinstance(event, h11.Response):
            raise ResponseLostError(f"{address} closed without an answer")
        if event.status_code > _MAX_STATUS:
            raise ResponseLostError(f"{address} sent the status {event.status_code}, which is none")
        return event

    async def _skip_answer(self, address: Address, events: list[h11.Event]) -> None:
        """Read an answer to another request to its end; the answer to this one follows."""
        skipped_bytes = len(self._unread_body)
        while not self._body.ended:
            skipped_bytes += len(await self.receive_body())
            if skipped_bytes > _MAX_SKIPPED_BYTES:
                raise ResponseLostError(f"{address} sent too much of another request's answer")
        if self._protocol.our_state is not h11.DONE:
            raise ResponseLostError(f"{address} closed after another request's answer")
        rest = self._body.rest
        # The request was sent already; this only updates the protocol state.
        self._protocol = h11.Connection(h11.CLIENT, _MAX_HEADER_BYTES)
        for sent in events:
            self._protocol.send(sent)
        if rest:
            self._protocol.receive_data(rest)

    def _begin_body(self, method: str, response: h11.Response) -> None:
        """Take the bytes that h11 received after the head; it receives no more from here on."""
        self._body = body_reader(method, response)
        data, _ = self._protocol.trailing_data
        self._unread_body = self._feed_body(data) if data else b""

    async def next_event(self) -> object:
        """Return h11's next event, up to the head of the answer."""
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
        """Whether the answer's body ends only with the connection."""
        return self._body.unframed

    @property
    def body_ended(self) -> bool:
        """Whether the answer's body was received completely."""
        return self._body.ended

    def pop_body(self) -> bytes:
        """Return the received body bytes that were not returned yet."""
        unread, self._unread_body = self._unread_body, b""
        return unread

    async def receive_body(self) -> bytes:
        """Wait for more of the answer; return the body bytes in it, which may be none."""
        try:
            return self._feed_body(await self._receive())
        except OSError as error:
            raise ResponseLostError(str(error), head_received=True) from error

    def receive_body_now(self) -> bytes:
        """Return the body bytes that can be received without waiting."""
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
            self._check_end()
            self._body.close()
        except h11.RemoteProtocolError as error:
            raise ResponseLostError(str(error), head_received=True) from error
        return b""

    def _check_end(self) -> None:
        """Raise an error if the end of the connection does not show that the body is complete.

        The kernel reports a reset only once.  If the write of the request got that report, the
        reads find the bytes before the reset, and then an end as after an orderly close.  A server
        that closes before it has received the request gives no sign that it has finished either,
        and resets the connection when the rest arrives.
        """
        if self._body.unframed and (self._unsent or self._unacknowledged_bytes()):
            raise h11.RemoteProtocolError("connection closed before the request was received")

    def _unacknowledged_bytes(self) -> int:
        """Return how many of the sent bytes the server's kernel has not received.

        The end of a connection also acknowledges everything that was received before it.
        """
        count = array.array("i", [0])
        fcntl.ioctl(self._stream.socket.fileno(), termios.TIOCOUTQ, count)
        return count[0]

    async def _receive(self) -> bytes:
        """Wait before reading: the next token of a stream has rarely arrived already."""
        while True:
            if self._unsent:
                await self._send_until_readable()
            else:
                await trio.lowlevel.wait_readable(self._stream.socket)
            try:
                return os.read(self._stream.socket.fileno(), _RECEIVE_BYTES)
            except BlockingIOError:
                continue

    async def _send_until_readable(self) -> None:
        """Send the rest of the request until more of the answer arrives.

        A server may never read that rest, so the answer does not wait for it.  It may also need it,
        after an informational answer or to finish an answer that it has begun.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_rest)
            await trio.lowlevel.wait_readable(self._stream.socket)
            nursery.cancel_scope.cancel()

    async def _send_rest(self) -> None:
        """Send the rest of the request; stop if the connection breaks, as the reads show it."""
        while self._unsent:
            await trio.lowlevel.wait_writable(self._stream.socket)
            try:
                sent_bytes = os.write(self._stream.socket.fileno(), self._unsent)
            except BlockingIOError:
                continue
            except OSError:
                return
            self._unsent = self._unsent[sent_bytes:]
        # An empty view would keep the request in memory.
        self._unsent = _NOTHING

    def reusable(self) -> bool:
        """Prepare for another request; return False if the connection cannot be reused."""
        # h11 saw the heads of request and answer, so its state is DONE only if neither of them
        # closes the connection.
        if not self._body.ended or self._body.rest or self._unread_body or self._unsent:
            return False
        if self._protocol.our_state is not h11.DONE:
            return False
        self._protocol = h11.Connection(h11.CLIENT, _MAX_HEADER_BYTES)
        return True

    def is_kept_alive(self, now_s: float) -> bool:
        """Whether the keep-alive time that the server announced has not passed yet."""
        return now_s < self._idle_until_s

    def is_usable(self) -> bool:
        """Whether the connection is within its keep-alive time and has no unread bytes."""
        if not self.is_kept_alive(trio.current_time()):
            return False
        return not self._stream.socket.is_readable()

    def abort(self) -> None:
        """Close at once, without a checkpoint, so that the attempt keeps its original error.

        After a plain close the kernel continues to send its buffered bytes.  When a broken network
        path recovers, a request that was abandoned long before would arrive.  Therefore an
        unanswered request is discarded, except for bytes that the server's kernel has accepted.
        """
        if self._is_unanswered:
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_UNSENT)
        self._stream.socket.close()

    def _record_keep_alive(self, text: str) -> None:
        """Record how long the server keeps the connection open after its answer."""
        found = _KEEP_ALIVE_TIMEOUT.search(text)
        if found is None:
            self._idle_until_s = math.inf
            return
        keep_alive_s = max(int(found[1]) - _KEEP_ALIVE_MARGIN_S, 0.0)
        self._idle_until_s = trio.current_time() + keep_alive_s
