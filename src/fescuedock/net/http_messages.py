"""The interface of HTTP handlers: the request, the responder, and the body of an error."""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager

import h11
import msgspec

from fescuedock.faults import Fault
from fescuedock.net.http_connection import HttpConnection

__all__ = [
    "HOP_HEADERS",
    "BodyTooLargeError",
    "Handler",
    "Headers",
    "Request",
    "Responder",
    "ResponseStream",
    "fault_body",
]

Headers = Sequence[tuple[str, str]]
_JSON_TYPE = ("content-type", "application/json")
# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
HOP_HEADERS = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class BodyTooLargeError(Exception):
    """The request's body exceeds the limit of the reader."""


class Request(msgspec.Struct):
    """One request.  Header names are lower case; ``headers`` has the last value of repeated ones.

    ``header_fields`` holds all headers in order, for code that forwards the request.
    """

    method: str
    path: str
    target: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: AsyncIterator[bytes]
    header_fields: Headers = ()

    async def read(self, limit_bytes: int) -> bytes:
        """Return the complete body; raise ``BodyTooLargeError`` if it is over ``limit_bytes``."""
        first = b""
        # One buffer, as a bytes object for each part of a slow body would cost far more memory.
        more = bytearray()
        async for part in self.body:
            if len(first) + len(more) + len(part) > limit_bytes:
                raise BodyTooLargeError(f"body over {limit_bytes} bytes")
            if first:
                more += part
            else:
                first = part
        return first + more if more else first


class Responder:
    """Sends the single response of a request, complete or as a stream."""

    __slots__ = ("_connection", "started")

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection
        self.started = False

    def answer_as_http_1_0(self) -> None:
        """Make a streamed response end with its connection instead of using chunks."""
        self._connection.protocol.their_http_version = b"1.0"

    async def send(self, status: int, body: bytes = b"", headers: Headers = ()) -> None:
        """Send a complete response; a body without a content type is JSON."""
        fields = list(headers)
        if not any(name.lower() == "content-type" for name, _ in fields):
            fields.append(_JSON_TYPE)
        fields.append(("content-length", str(len(body))))
        if not self._connection.body_read or self._connection.closing:
            # Unread bytes of the body precede the next request.
            fields.append(("connection", "close"))
        head = _head(status, fields)
        self.started = True
        # A single write for head and body: of two small ones, the second would wait for an ACK.
        await self._connection.send_events(head, h11.Data(data=body), h11.EndOfMessage())

    async def send_json(self, status: int, value: object, headers: Headers = ()) -> None:
        await self.send(status, msgspec.json.encode(value), headers)

    async def send_fault(self, fault: Fault, headers: Headers = ()) -> None:
        """Send ``fault`` in OpenAI's error format, with code, name and outcome."""
        fields = list(headers)
        if fault.retry_after_ms:
            fields.append(("retry-after", str(max(1, -(-fault.retry_after_ms // 1000)))))
            fields.append(("retry-after-ms", str(fault.retry_after_ms)))
        await self.send(fault.http_status, fault_body(fault), fields)

    @asynccontextmanager
    async def stream(self, status: int, headers: Headers) -> AsyncIterator["ResponseStream"]:
        """Start a streamed response; leaving the block normally ends it as complete.

        Leaving it by an exception breaks the connection, so that the caller sees a truncated
        response and cannot mistake it for a complete one.
        """
        yield await self.begin(status, headers)
        await self.end()

    async def begin(self, status: int, headers: Headers, first: bytes = b"") -> "ResponseStream":
        """Start a streamed response; without ``end`` the caller sees a truncated response.

        ``first`` is sent in one write with the head.
        """
        fields = list(headers)
        if self._connection.closing:
            fields.append(("connection", "close"))
        head = _head(status, fields)
        self.started = True
        await self._connection.send_events(head, *([h11.Data(data=first)] if first else []))
        return ResponseStream(self._connection)

    def reset(self) -> None:
        """Reset the connection and cancel the handler, so that no caller sees a complete body."""
        self._connection.cut_off("reset by the handler")

    async def end(self) -> None:
        """End a streamed response as complete."""
        await self._connection.send_events(h11.EndOfMessage())


class ResponseStream:
    """The open body of a streamed response."""

    __slots__ = ("_connection",)

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection

    async def write(self, data: bytes) -> None:
        """Send ``data``, waiting while the caller is slow and too much is buffered for it."""
        await self._connection.send_part(data)

    def put(self, data: bytes) -> bool:
        """Send or buffer ``data`` without waiting; return False if ``wait_room`` must follow."""
        return self._connection.put_part(data)

    async def wait_room(self) -> None:
        """Wait until there is room in the buffer for the caller."""
        await self._connection.wait_room()


def _head(status: int, headers: Headers) -> h11.Response:
    """Return the head of a response; each character of a header's value stands for a byte."""
    fields = [(name, value.encode("latin-1")) for name, value in headers]
    return h11.Response(status_code=status, headers=fields)


Handler = Callable[[Request, Responder], Awaitable[None]]


def fault_body(fault: Fault) -> bytes:
    """Return ``fault`` as a JSON error body."""
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
