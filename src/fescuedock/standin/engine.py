"""A stand-in model engine: OpenAI's HTTP interface on a simulation of token times.

Like real engines, it has no priorities and admits every request.  On command it crashes, freezes,
slows down, cuts streams and fails requests.  Markers in a prompt do so as well: ``[[impossible]]``
causes a permanent error, ``[[fails]]`` a server error, and ``[[kills]]`` crashes the engine.
"""

from collections import deque
from dataclasses import dataclass, field
from itertools import count

import trio

from fescuedock.address import Address
from fescuedock.backing.engine import ATTEMPT_HEADER, VERSION_HEADER
from fescuedock.clock import UnixClock, unix_clock
from fescuedock.entry.routes import Route, route_requests
from fescuedock.net.http_server import DroppedConnectionError, Request, Responder
from fescuedock.standin.engine_admin import EngineAdmin
from fescuedock.standin.engine_core import EngineCore, EngineStats, Generation
from fescuedock.standin.engine_orders import EngineOrders
from fescuedock.standin.engine_requests import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    BadRequestError,
    GenerateRequest,
    ResponseBuilder,
    read_request,
)
from fescuedock.standin.listener import Listener
from fescuedock.standin.token_text import answer_text, token_texts

__all__ = ["EngineFaults", "EngineService", "error_body"]

PERMANENT_ERROR_MARKER = "[[impossible]]"
SERVER_ERROR_MARKER = "[[fails]]"
CRASH_MARKER = "[[kills]]"
_MAX_BODY_BYTES = 64 * 1024 * 1024
_STREAM_HEADERS = (("content-type", "text/event-stream"), ("cache-control", "no-cache"))


@dataclass(slots=True)
class EngineFaults:
    """Faults of future requests.

    Each status code in ``fail_with`` is the response to one request, and each number in
    ``cut_after`` cuts one stream after that many tokens.  ``restart_ms`` is how long the engine
    stays down after ``[[kills]]``, which has no effect without ``obeys_crash_marker``.  With
    ``resumes_any_text`` the engine resumes also after a text that it would not have generated.
    """

    fail_with: deque[int] = field(default_factory=deque)
    cut_after: deque[int] = field(default_factory=deque)
    restart_ms: float = 1000.0
    obeys_crash_marker: bool = True
    resumes_any_text: bool = False


class EngineService:
    """One engine; ``run`` serves its HTTP interface.

    Its answers name ``software_version``, on which the text that it generates depends.
    """

    def __init__(self, upstream_id: str, core: EngineCore, orders: EngineOrders) -> None:
        self.upstream_id = upstream_id
        self.software_version = ""
        self.core = core
        self.orders = orders
        self.faults = EngineFaults()
        self.deaths = 0
        # Generation requests received, including those refused or cut off.
        self.received = 0
        self._admin = EngineAdmin(core, orders)
        self.listener = Listener(self._handler())
        self._numbers = count(1)
        self._unix_clock: UnixClock | None = None
        self._background: trio.Nursery | None = None

    def _handler(self):
        routes = [
            Route("POST", CHAT_PATH, self._generate),
            Route("POST", COMPLETIONS_PATH, self._generate),
            Route("POST", "/v1/streams/{attempt_id}/cancel", self._cancel),
            *self._admin.routes(),
        ]
        handle = route_requests(routes)

        async def handle_thawed(request: Request, responder: Responder) -> None:
            await self.core.wait_thawed()
            await handle(request, responder)

        return handle_thawed

    @property
    def address(self) -> Address:
        return self.listener.address

    @property
    def stats(self) -> EngineStats:
        return self.core.stats

    async def run(
        self, address: Address, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the bound ``Address``."""
        self._unix_clock = unix_clock()
        async with trio.open_nursery() as nursery:
            self._background = nursery
            nursery.start_soon(self.core.run)
            nursery.start_soon(self._admin.run)
            task_status.started(await nursery.start(self.listener.run, address))

    def die(self) -> None:
        """Cut every connection, drop every request and the cache, and refuse new connections."""
        self.deaths += 1
        self.listener.take_down()
        self.core.crash()

    def revive(self) -> None:
        self.listener.bring_up()

    def freeze(self) -> None:
        """Accept connections, but send nothing until ``thaw``."""
        self.core.freeze()

    def thaw(self) -> None:
        self.core.thaw()

    @property
    def slowness(self) -> float:
        """Factor by which all token times are multiplied."""
        return self.core.model.slowness

    @slowness.setter
    def slowness(self, value: float) -> None:
        self.core.model.slowness = value

    async def _generate(self, request: Request, responder: Responder, _: dict[str, str]) -> None:
        self.received += 1
        body = await request.read(_MAX_BODY_BYTES)
        attempt_id = request.headers.get(ATTEMPT_HEADER) or f"anonymous-{next(self._numbers)}"
        try:
            parsed = read_request(request.path, body, attempt_id)
            self._validate(parsed)
        except BadRequestError as error:
            await _refuse(responder, 400, str(error))
            return
        if await self._inject_fault(parsed, responder):
            return
        try:
            generation = self.core.admit(parsed)
        except ValueError as error:
            await _refuse(responder, 409, str(error))
            return
        try:
            await self._answer(generation, responder)
        finally:
            self.core.finish(generation)

    def _validate(self, parsed: GenerateRequest) -> None:
        if PERMANENT_ERROR_MARKER in parsed.prompt:
            raise BadRequestError(f"the prompt contains {PERMANENT_ERROR_MARKER}")
        resume = parsed.resume
        if resume is None:
            return
        if resume.tokens >= parsed.answer_tokens:
            raise BadRequestError(f"no tokens left to generate after {resume.tokens} tokens")
        if self.faults.resumes_any_text:
            return
        if resume.text != answer_text(self._text_source(parsed), resume.tokens):
            raise BadRequestError(
                f"resume.text does not match the first {resume.tokens} tokens of the answer"
            )

    async def _inject_fault(self, parsed: GenerateRequest, responder: Responder) -> bool:
        """Inject the fault that the prompt or a command requests; return whether it responded."""
        if CRASH_MARKER in parsed.prompt and self.faults.obeys_crash_marker:
            self._background.start_soon(self._crash_and_restart)
            await trio.sleep_forever()
        if SERVER_ERROR_MARKER in parsed.prompt:
            await _refuse(responder, 500, f"the prompt contains {SERVER_ERROR_MARKER}")
            return True
        if self.faults.fail_with:
            await _refuse(responder, self.faults.fail_with.popleft(), "failing on command")
            return True
        if not self.orders.serves(parsed.model):
            await _refuse(responder, 404, f"model {parsed.model!r} is not loaded")
            return True
        return False

    async def _crash_and_restart(self) -> None:
        self.die()
        await trio.sleep(self.faults.restart_ms / 1000)
        self.revive()

    def _text_source(self, parsed: GenerateRequest) -> str:
        return parsed.prompt + self.software_version

    def _headers(self) -> tuple[tuple[str, str], ...]:
        return ((VERSION_HEADER, self.software_version),) if self.software_version else ()

    async def _answer(self, generation: Generation, responder: Responder) -> None:
        response = ResponseBuilder(generation.request, self._unix_clock())
        if generation.request.stream:
            await self._stream(generation, response, responder)
            return
        total = generation.sequence.answer_tokens
        while await generation.wait_tokens(generation.ready) < total:
            pass
        parsed = generation.request
        text = answer_text(self._text_source(parsed), parsed.answer_tokens)
        body = response.complete_response(text, parsed.answer_tokens)
        await responder.send(200, body, self._headers())

    async def _stream(
        self, generation: Generation, response: ResponseBuilder, responder: Responder
    ) -> None:
        parsed = generation.request
        total = generation.sequence.answer_tokens
        cut_after = self.faults.cut_after.popleft() if self.faults.cut_after else total + 1
        sent = await generation.wait_tokens(0)
        async with responder.stream(200, (*_STREAM_HEADERS, *self._headers())) as stream:
            await stream.write(response.first_event() + self._events(response, parsed, 0, sent))
            while sent < total:
                if sent >= cut_after:
                    raise DroppedConnectionError("stream cut on command")
                ready = await generation.wait_tokens(sent)
                await stream.write(self._events(response, parsed, sent, ready))
                sent = ready
            await stream.write(response.last_events(parsed.answer_tokens))

    def _events(
        self, response: ResponseBuilder, parsed: GenerateRequest, first: int, end: int
    ) -> bytes:
        texts = token_texts(self._text_source(parsed), parsed.first_token + first, end - first)
        return b"".join(response.token_event(text) for text in texts)

    async def _cancel(self, request: Request, responder: Responder, values: dict[str, str]) -> None:
        if self.core.cancel(values["attempt_id"]):
            await responder.send_json(200, {"cancelled": values["attempt_id"]})
            return
        await _refuse(responder, 404, f"no attempt {values['attempt_id']!r}")


def error_body(status: int, message: str) -> dict:
    """Return an error body in the format of OpenAI's interface."""
    kind = "invalid_request_error" if status < 500 else "server_error"
    return {"error": {"message": message, "type": kind, "param": None, "code": status}}


async def _refuse(responder: Responder, status: int, message: str) -> None:
    await responder.send_json(status, error_body(status, message))
