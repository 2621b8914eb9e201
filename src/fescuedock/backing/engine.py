"""Requests to a model engine or a plain service, and the stream of an engine's answer.

Engines implement the OpenAI HTTP interface; a stream has one event for each token.  Each event
holds the received bytes unchanged, so a relay only decodes it to read the token's text.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.net.http_client import (
    ClientResponse,
    HttpClient,
    NotSentError,
    ResponseLostError,
    ResponseTooLargeError,
    SendCheck,
    unchecked,
)
from fescuedock.schema.view import UpstreamRecord

__all__ = [
    "EngineClient",
    "EngineError",
    "EngineEvent",
    "EngineStream",
    "NotSentError",
    "OtherVersionError",
    "ResponseLostError",
    "ResumePoint",
]

ATTEMPT_HEADER = "x-attempt-id"
# In an answer: the software version of the process that generates it.
VERSION_HEADER = "x-software-version"
_EVENT_END = b"\n\n"
_DATA_PREFIX = b"data: "
_DONE_EVENT = b"data: [DONE]"
_MAX_ANSWER_BYTES = 64 * 1024 * 1024
_PERMANENT_ERROR_STATUSES = (400, 413, 422)
_MAX_EVENT_BYTES = 1024 * 1024
_TAIL_TIMEOUT_S = 0.1


class EngineError(Exception):
    """The engine answered with an error: an HTTP ``status`` with its ``body``.

    An error inside a stream has the status 500.
    """

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f"HTTP {status}: {body[:200].decode('utf-8', 'replace')}")
        self.status = status
        self.body = body

    @property
    def is_permanent(self) -> bool:
        """Whether the request can never succeed, so that a retry is useless.

        A 404 is not permanent, since the model may be loaded elsewhere.
        """
        return self.status in _PERMANENT_ERROR_STATUSES


class OtherVersionError(Exception):
    """The process that would resume an answer has another software version than the answer.

    Nothing that it generated was used.
    """


class ResumePoint(msgspec.Struct, frozen=True):
    """The delivered part of an answer: the number of its ``tokens`` and their ``text``."""

    tokens: int
    text: str


class EngineEvent(msgspec.Struct, gc=False):
    """One event of a stream.

    ``data`` is the complete event as received, ``data: {...}`` with its empty line, and can be
    relayed unchanged.  ``text`` is the token's text, empty in events without one.  ``finished``
    marks the event with the finish reason; one with the usage may follow it.
    """

    data: bytes
    text: str
    finished: bool


class _Delta(msgspec.Struct, gc=False):
    content: str | None = None


class _Choice(msgspec.Struct, gc=False):
    delta: _Delta | None = None
    text: str = ""
    finish_reason: str | None = None


class _Chunk(msgspec.Struct, gc=False):
    choices: list[_Choice] = []
    error: dict | None = None


_decode_chunk = msgspec.json.Decoder(_Chunk).decode


class EngineStream:
    """The events of one streamed answer, in order; can be iterated once.

    Iteration ends normally only after the engine's ``[DONE]``, which is not yielded; a stream that
    ends before it raises ``ResponseLostError``.
    """

    __slots__ = ("_events", "_partial_event", "_response", "done", "headers", "software_version")

    def __init__(self, response: ClientResponse) -> None:
        self._response = response
        self._events: list[bytes] = []
        self._partial_event = b""
        self.headers = response.headers
        # Of the process that generates the answer; empty if it does not name it.
        self.software_version = response.headers.get(VERSION_HEADER, "")
        self.done = False

    def __aiter__(self) -> "EngineStream":
        return self

    async def __anext__(self) -> EngineEvent:
        while not self._events:
            if self.done:
                await self._read_tail()
                raise StopAsyncIteration
            try:
                chunk = await anext(self._response)
            except StopAsyncIteration:
                message = "stream ended before [DONE]"
                raise ResponseLostError(message, head_received=True) from None
            self._add_chunk(chunk)
        return _read_event(self._events.pop())

    async def _read_tail(self) -> None:
        """Read to the end of the body, so that the connection can be reused.

        The answer is complete already: if the engine does not end the body in time, only the
        connection is lost.
        """
        with trio.move_on_after(_TAIL_TIMEOUT_S), suppress(ResponseLostError):
            async for _ in self._response:
                pass

    def _add_chunk(self, chunk: bytes) -> None:
        """Add the events that ``chunk`` completes, in reverse order, so that the next is last."""
        *events, self._partial_event = (self._partial_event + chunk).split(_EVENT_END)
        for event in events:
            if event == _DONE_EVENT:
                self.done = True
            elif event.startswith(_DATA_PREFIX) and not self.done:
                self._events.insert(0, event)
        if len(self._partial_event) > _MAX_EVENT_BYTES:
            raise ResponseLostError("event exceeds the size limit", head_received=True)


class EngineClient:
    """Sends attempts to upstreams over one HTTP client."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    @asynccontextmanager
    async def stream(
        self,
        upstream: UpstreamRecord,
        path: str,
        body: dict,
        attempt_id: str,
        resume: ResumePoint | None = None,
        check: SendCheck = unchecked,
    ) -> AsyncIterator[EngineStream]:
        """Open a streamed answer; leaving the block early closes the connection and cancels it.

        ``resume`` continues an answer after its delivered part.  Raise ``NotSentError`` (not run),
        ``WithdrawnError`` when ``check`` refuses, ``ResponseLostError`` or ``EngineError``.
        """
        document = {**body, "stream": True}
        if resume is not None:
            document["resume"] = resume
        async with self._post(upstream, path, document, attempt_id, check) as response:
            if response.status != 200:
                raise EngineError(response.status, await _read_answer(response))
            yield EngineStream(response)

    async def call(
        self,
        upstream: UpstreamRecord,
        path: str,
        body: dict,
        attempt_id: str,
        check: SendCheck = unchecked,
    ) -> bytes:
        """Return the JSON of an answer that is not streamed.  Raise the errors of ``stream``."""
        document = {**body, "stream": False}
        async with self._post(upstream, path, document, attempt_id, check) as response:
            answer = await _read_answer(response)
        if response.status != 200:
            raise EngineError(response.status, answer)
        if response.unframed:
            _check_whole(answer)
        return answer

    async def cancel(self, upstream: UpstreamRecord, attempt_id: str) -> bool:
        """Cancel an attempt whose connection may hang; return whether the engine knew it."""
        path = f"/v1/streams/{attempt_id}/cancel"
        async with self._post(upstream, path, {}, attempt_id) as response:
            await _read_answer(response)
        return response.status == 200

    @asynccontextmanager
    async def _post(
        self,
        upstream: UpstreamRecord,
        path: str,
        document: dict,
        attempt_id: str,
        check: SendCheck = unchecked,
    ) -> AsyncIterator[ClientResponse]:
        address = Address(upstream.host, upstream.port)
        headers = [("content-type", "application/json"), (ATTEMPT_HEADER, attempt_id)]
        body = msgspec.json.encode(document)
        async with self._http.request(
            address, "POST", path, headers, body, check=check
        ) as response:
            yield response


async def _read_answer(response: ClientResponse) -> bytes:
    try:
        return await response.read(_MAX_ANSWER_BYTES)
    except ResponseTooLargeError as error:
        raise ResponseLostError(str(error), head_received=True) from error


def _check_whole(answer: bytes) -> None:
    """Raise ``ResponseLostError`` if an answer is truncated, as then it is no JSON document."""
    try:
        msgspec.json.decode(answer, type=dict)
    except msgspec.MsgspecError as error:
        message = f"the connection ended within the answer: {error}"
        raise ResponseLostError(message, head_received=True) from error


def _read_event(event: bytes) -> EngineEvent:
    payload = event[len(_DATA_PREFIX) :]
    try:
        chunk = _decode_chunk(payload)
    except msgspec.MsgspecError as error:
        raise ResponseLostError(f"invalid event: {error}", head_received=True) from error
    if chunk.error is not None:
        raise EngineError(500, payload)
    if not chunk.choices:
        return EngineEvent(event + _EVENT_END, "", False)
    choice = chunk.choices[0]
    text = choice.text if choice.delta is None else choice.delta.content or ""
    return EngineEvent(event + _EVENT_END, text, choice.finish_reason is not None)
