"""Stand-in for an upstream of the users' platform: streams numbered events, injects faults."""

import enum
import json
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio

from fescuedock.address import Address
from fescuedock.net.http_server import DroppedConnectionError, Request, Responder
from fescuedock.platform.calls import call_head
from fescuedock.standin.listener import Listener

__all__ = [
    "DEFAULT_VERSION",
    "CrashForm",
    "EventUpstream",
    "UpstreamCrash",
    "UpstreamFault",
    "event_bytes",
    "versions_in",
]

DEFAULT_VERSION = "v1"
_REPORT_PATH = "/api/report"
_MAX_BODY_BYTES = 16 * 1024 * 1024
_VERSION_SEPARATOR = " by "
# The requests of the former process have ended by then.
_RESTART_S = 0.02


@dataclass(slots=True)
class UpstreamFault:
    """The faults of one request; the defaults are no fault."""

    # Answer without running the request.
    reject: int = 0
    # Run the request and answer with this status; 0 for never.
    fail_status: int = 0
    # Cut the stream within this event number; below 0 for never.
    cut_after: int = -1
    # Stop sending before this event number; below 0 for never.
    hang_after: int = -1
    # Answer with success but without a seal.
    unsealed: bool = False
    # Run the request and close the connection without an answer.
    lose: bool = False


class CrashForm(enum.Enum):
    """The part of its answer that a request with a harmful prompt part gets before the crash."""

    HEAD = enum.auto()
    PARTIAL_EVENT = enum.auto()
    # One event, then the end of the connection, which is a regular end of an unframed answer.
    COMPLETE_EVENT = enum.auto()


@dataclass(frozen=True, slots=True)
class UpstreamCrash:
    """One crash: the path of its cause, trio's time in seconds, the IDs of the running requests."""

    path: str
    at_s: float
    request_ids: tuple[str, ...]


def _ignore(_upstream: "EventUpstream") -> None:
    """Do nothing."""


@dataclass(slots=True)
class EventUpstream:
    """One upstream.  ``runs`` counts runs by request ID; ``seen`` has the headers of each run.

    Each request consumes the first of ``faults``.  ``born`` is the start time in its entry and its
    report, 0 for none; ``reports_born`` False leaves it out of the report.  ``reports`` counts the
    requests for a report, each of which consumes the first of ``report_faults``.

    A request to one of the ``harmful`` paths crashes the upstream ``crash_after_ms`` after its
    start: all connections are cut and new ones are refused for ``restart_ms``.  The upstream then
    restarts at the same address as another incarnation with a new ID, or with ``keeps_id`` with a
    new start time, and calls ``on_restart``.

    A request with one of the ``harmful_parts`` among the shared parts of its prompt (all but the
    last) also crashes the upstream, after the beginning of an answer given by ``crash_form``.
    ``unframed`` answers have neither a length nor chunks.

    An upstream that crashes ends like a process that is killed by a signal: all its connections
    close at once, without a reset.  One that was told to ``leave`` ends with its last answer.
    """

    upstream_id: str
    event_count: int = 5
    # Of its software; what two versions write does not fit together.
    version: str = DEFAULT_VERSION
    event_interval_ms: float = 1.0
    born: int = 0
    reports_born: bool = True
    report_delay_ms: float = 0.0
    reports: int = 0
    report_faults: list[UpstreamFault] = field(default_factory=list)
    faults: list[UpstreamFault] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    seen: list[dict[str, str]] = field(default_factory=list)
    # Request ID and trio's time in seconds of the start of each run.
    started: list[tuple[str, float]] = field(default_factory=list)
    # Paths that are always answered with 500, and with 422.
    failing: set[str] = field(default_factory=set)
    unprocessable: set[str] = field(default_factory=set)
    harmful: set[str] = field(default_factory=set)
    harmful_parts: set[str] = field(default_factory=set)
    crash_form: CrashForm = CrashForm.HEAD
    unframed: bool = False
    crash_after_ms: float = 20.0
    # Whether a harmful request crashes the upstream even if its caller has left.
    crashes_without_caller: bool = False
    restart_ms: float = 300.0
    keeps_id: bool = False
    crashes: list[UpstreamCrash] = field(default_factory=list)
    on_crash: Callable[["EventUpstream"], None] = _ignore
    on_restart: Callable[["EventUpstream"], None] = _ignore
    # Trio's time in seconds of the latest event.
    sent_s: float = 0.0
    # IDs of the requests that are running.
    in_progress: list[str] = field(default_factory=list)
    listener: Listener = field(init=False)
    _is_leaving: bool = False
    _background: trio.Nursery | None = None

    def __post_init__(self) -> None:
        self.listener = Listener(self.handle)

    @property
    def running(self) -> int:
        return len(self.in_progress)

    @property
    def address(self) -> Address:
        return self.listener.address

    async def run(
        self, address: Address, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the bound ``Address``."""
        async with trio.open_nursery() as nursery:
            self._background = nursery
            task_status.started(await nursery.start(self.listener.run, address))

    def crash(self, path: str = "") -> None:
        """Cut all connections, refuse new ones, and restart after ``restart_ms``."""
        if not self.listener.is_up:
            return
        running = tuple(self.in_progress)
        self.crashes.append(UpstreamCrash(path, trio.current_time(), running))
        self.listener.take_down()
        self.on_crash(self)
        self._background.start_soon(self._restart_later)

    def leave(self) -> None:
        """Serve until no request is running, then close all connections and refuse new ones."""
        self._is_leaving = True
        self._end_if_unused()

    def _end_if_unused(self) -> None:
        if self._is_leaving and not self.in_progress:
            self.listener.take_down()

    async def _restart_later(self) -> None:
        await trio.sleep(self.restart_ms / 1000)
        if self.keeps_id or self.born:
            self.born += 1
        if not self.keeps_id:
            name = self.upstream_id.partition("+")[0]
            self.upstream_id = f"{name}+{len(self.crashes)}"
        self.listener.bring_up()
        self.on_restart(self)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Run one request and stream its events."""
        body = await request.read(_MAX_BODY_BYTES)
        if request.path == "/health":
            await responder.send(200, b"{}", [("X-Instance-Id", self.upstream_id)])
            return
        if request.path == _REPORT_PATH:
            await self._report(responder)
            return
        expected = request.headers.get("x-expect-instance", self.upstream_id)
        if expected != self.upstream_id:
            await responder.send(421, b"{}", [("X-Instance-Id", self.upstream_id)])
            return
        fault = self.faults.pop(0) if self.faults else UpstreamFault()
        request_id = request.headers.get("x-request-id", "")
        if fault.reject:
            await responder.send(503, b"", [("X-Not-Executed", "1")])
            return
        self.runs[request_id] += 1
        self.seen.append(dict(request.headers))
        self.started.append((request_id, trio.current_time()))
        self.in_progress.append(request_id)
        try:
            if request.path in self.harmful:
                with trio.CancelScope(shield=self.crashes_without_caller):
                    await trio.sleep(self.crash_after_ms / 1000)
                    self.crash(request.path)
                await trio.sleep_forever()
            await self._run(request, responder, request_id, body, fault)
        finally:
            self.in_progress.remove(request_id)
            self._end_if_unused()

    async def _report(self, responder: Responder) -> None:
        self.reports += 1
        fault = self.report_faults.pop(0) if self.report_faults else UpstreamFault()
        if fault.lose:
            raise DroppedConnectionError("dropped the report as configured")
        if fault.hang_after >= 0:
            await trio.sleep_forever()
        await trio.sleep(self.report_delay_ms / 1000)
        fields = {"stage": "both", "inFlight": self.running}
        if self.born and self.reports_born:
            fields["born"] = self.born
        await responder.send(fault.fail_status or 200, json.dumps(fields).encode())

    async def restart(self, version: str = "") -> None:
        """Restart under the same ID, with another software version if one is given."""
        self.listener.take_down()
        await trio.sleep(_RESTART_S)
        self.version = version or self.version
        self.born += 1
        self.listener.bring_up()

    async def _run(
        self,
        request: Request,
        responder: Responder,
        request_id: str,
        body: bytes,
        fault: UpstreamFault,
    ) -> None:
        headers = [("X-Request-Id", request_id)]
        if not fault.unsealed:
            headers.append(("X-Response-Seal", f"seal.{self.upstream_id}.{request_id}"))
        status = fault.fail_status
        if request.path in self.failing:
            status = 500
        if request.path in self.unprocessable:
            status = 422
        if status:
            await responder.send(status, b"it failed", headers)
            return
        if fault.lose:
            raise DroppedConnectionError("dropped the answer as configured")
        first_event = int(request.headers.get("last-event-id", "-1")) + 1
        headers.append(("content-type", "text/event-stream"))
        if self.unframed:
            # The end of the connection ends an answer to an HTTP/1.0 client.
            responder.answer_as_http_1_0()
        else:
            headers.append(("transfer-encoding", "chunked"))
        if self._is_harmful(request):
            await self._crash_in_answer(request, responder, headers)
        async with responder.stream(200, headers) as out:
            for number in range(first_event, self.event_count):
                if number == fault.cut_after:
                    await out.write(b"id: %d\ndata: ha" % number)
                    if self.unframed:
                        # A regular end of the connection would be that of the answer.
                        responder.reset()
                        await trio.sleep_forever()
                    raise DroppedConnectionError("cut the stream as configured")
                if number == fault.hang_after:
                    await trio.sleep_forever()
                await trio.sleep(self.event_interval_ms / 1000)
                await out.write(event_bytes(number, request.path, len(body), self.version))
                self.sent_s = trio.current_time()

    def _is_harmful(self, request: Request) -> bool:
        parts = call_head(list(request.headers.items())).shared_parts
        return any(name in self.harmful_parts for name, _ in parts)

    async def _crash_in_answer(
        self, request: Request, responder: Responder, headers: list[tuple[str, str]]
    ) -> None:
        """Begin an answer and crash ``crash_after_ms`` later."""
        out = await responder.begin(200, headers)
        if self.crash_form is CrashForm.PARTIAL_EVENT:
            await out.write(b"id: 0\ndata: ha")
        if self.crash_form is CrashForm.COMPLETE_EVENT:
            await out.write(event_bytes(0, request.path, 0, self.version))
            await responder.end()
            self._background.start_soon(self._crash_later, request.path)
            raise DroppedConnectionError("the end of the connection ends the answer")
        await trio.sleep(self.crash_after_ms / 1000)
        self.crash(request.path)
        await trio.sleep_forever()

    async def _crash_later(self, path: str) -> None:
        await trio.sleep(self.crash_after_ms / 1000)
        self.crash(path)


def event_bytes(number: int, path: str, body_bytes: int, version: str = DEFAULT_VERSION) -> bytes:
    """Return the event that all upstreams of one software version send for a request."""
    text = f"{path} {body_bytes} {number}"
    if version != DEFAULT_VERSION:
        text += f"{_VERSION_SEPARATOR}{version}"
    return f"id: {number}\ndata: {text}\n\n".encode()


def versions_in(texts: Iterable[str]) -> set[str]:
    """Return the software versions named in ``texts``, the data of events from ``event_bytes``."""
    return {text.partition(_VERSION_SEPARATOR)[2] or DEFAULT_VERSION for text in texts}
