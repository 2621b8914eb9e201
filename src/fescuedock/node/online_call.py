"""Forwards one online call of a client to an upstream unchanged, and relays the answer."""

from collections.abc import Awaitable, Collection
from typing import TYPE_CHECKING, TypeVar

import trio
from result import Err, Ok

from fescuedock.agent.permit_client import Grant
from fescuedock.agent.send_check import send_check
from fescuedock.clock import now_ms
from fescuedock.core.customers import Caller
from fescuedock.core.forwarding.calls import CallHead
from fescuedock.core.forwarding.event_stream import EventSplitter
from fescuedock.core.forwarding.progress import AttemptEnd, CallProgress
from fescuedock.core.forwarding.route_table import Route, RouteKind
from fescuedock.core.routing import Demand
from fescuedock.core.send_gate import SendRefusal
from fescuedock.core.stream_origins import stream_key
from fescuedock.core.work_identity import part_identities, work_identity
from fescuedock.entry.online_permits import find_permit
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.http_client import NotSentError, ResponseLostError, WithdrawnError
from fescuedock.net.http_server import (
    DroppedConnectionError,
    Request,
    Responder,
    ResponseStream,
    fault_body,
)
from fescuedock.node.attempt import AttemptRecord, UpstreamAnswer, drain, send_attempt
from fescuedock.node.quotas import Confirm
from fescuedock.platform import calls
from fescuedock.schema.origins import StreamOrigin
from fescuedock.schema.permits import WorkClass
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamRecord

if TYPE_CHECKING:
    from fescuedock.core.forwarding.answer_ends import EndVerdict
    from fescuedock.node.online import OnlineCalls

__all__ = ["Call"]

T = TypeVar("T")

# Used when the client names no deadline; a shorter timeout of the route still applies.
_DEFAULT_PATIENCE_MS = 60000.0
# Answers that are not streams are buffered up to this size, so that a broken one can be retried.
_MAX_BUFFERED_BYTES = 1024 * 1024
_SERVER_ERROR = 500
# Connections refused in a row after which a stream ends if no other upstream can continue it.
_MAX_REFUSED_CONNECTIONS = 3
# Minimum time between two moves of a stream's stall deadline; added to the deadline as well.
_STALL_DEADLINE_STEP_S = 0.1


class Call:
    """One call of a client in progress."""

    __slots__ = (
        "avoided",
        "body",
        "caller",
        "client_stream",
        "confirm",
        "deadline_ms",
        "demand",
        "failure_passed_on",
        "first_event_ms",
        "head",
        "is_probably_complete",
        "parts",
        "pause_ms",
        "progress",
        "received_ms",
        "request",
        "responder",
        "route",
        "sending",
        "service",
        "shared",
        "software_version",
        "stream_key",
        "work_id",
    )

    def __init__(
        self,
        shared: "OnlineCalls",
        request: Request,
        responder: Responder,
        route: Route,
        body: bytes,
        head: CallHead,
        caller: Caller,
        confirm: Confirm | None = None,
    ) -> None:
        self.shared = shared
        self.caller = caller
        self.confirm = confirm
        self.request = request
        self.responder = responder
        self.route = route
        self.body = body
        self.head = head
        self.received_ms = now_ms()
        self.avoided: set[str] = set()
        self.client_stream: ResponseStream | None = None
        # Time from the receipt to the first event, and mean pause between events; for the metrics.
        self.first_event_ms = -1.0
        self.pause_ms = 0.0
        # Whether an attempt is in progress whose request may have reached the upstream.
        self.sending = False
        # Whether the events relayed so far are probably the whole answer.
        self.is_probably_complete = False
        # The status of an upstream's failure that was relayed to the client; 0 for none.
        self.failure_passed_on = 0
        patience_ms = self.head.patience_ms
        patience_ms = _DEFAULT_PATIENCE_MS if patience_ms is None else patience_ms
        if self.route.timeout_ms > 0:
            patience_ms = min(patience_ms, self.route.timeout_ms)
        self.deadline_ms = self.received_ms + patience_ms
        self.progress = CallProgress(
            self.route.idempotent, self.route.max_attempts, self.head.last_event
        )
        self.service = self.route.choose_service(self.shared.rng)
        host = request.headers.get("host", "")
        self.work_id = work_identity(request.method, host, request.target, self.customer, body)
        # The version on which the stream must continue; None until an event was sent to the client.
        self.software_version: str | None = None
        original_request_id = self.head.resumed_request_id if self.head.last_event >= 0 else ""
        self.stream_key = stream_key(original_request_id or self.head.request_id, self.work_id)
        parts = self.head.shared_parts
        self.parts = part_identities(name for name, _ in parts)
        self.demand = Demand(
            prompt_tokens=self.head.prompt_tokens,
            prefix_tokens=self.head.shared_tokens,
            prefix_hash=parts[-1][0] if parts else "",
            pause_ms=self.route.gap_target_ms,
        )

    # --- read by the search for a permit ---------------------------------------------------------

    @property
    def request_id(self) -> str:
        return self.head.request_id

    @property
    def member(self) -> str:
        """The customer for whom the call counts in the queues of upstreams; empty for none."""
        return self.customer

    def urgency(self) -> tuple[int, int]:
        """Return the priority by the current configuration, and the time since the receipt in ms.

        The time is 0 for a call of priority 0.
        """
        priority = self.shared.priority_of(self.route, self.customer)
        return priority, int(now_ms() - self.received_ms) if priority else 0

    @property
    def customer(self) -> str:
        """The name of the calling customer; empty for none."""
        return self.caller.name or ""

    def key_holds(self) -> bool:
        """Whether the current configuration still admits the caller."""
        return self.shared.customers().is_current(self.caller)

    @property
    def software_versions(self) -> Collection[str] | None:
        if self.software_version is not None:
            return (self.software_version,)
        if not self.is_resumable:
            return None
        return self.shared.startable_versions(self.service, self.route, self.path)

    @property
    def path(self) -> str:
        return self.request.target.partition("?")[0]

    @property
    def is_resumable(self) -> bool:
        """Whether the client may resume this call's stream at another node."""
        return self.route.kind is RouteKind.STREAM and self.route.resumable

    @property
    def joins_runs(self) -> bool:
        """Whether the answer may consist of several runs, which need one software version."""
        is_stream = self.route.kind is RouteKind.STREAM
        return is_stream and (self.route.resumable or self.head.last_event >= 0)

    @property
    def max_tokens(self) -> int:
        return self.head.max_tokens

    @property
    def repeatable(self) -> bool:
        return self.route.idempotent

    def left_ms(self) -> float:
        return self.deadline_ms - now_ms()

    def start_left_ms(self) -> float:
        """Return the time left to start so that the first event comes before the client leaves."""
        patience_ms = self.route.first_event_patience_ms
        if not patience_ms or self.client_stream is not None:
            return self.left_ms()
        left_ms = self.received_ms + patience_ms - now_ms()
        return min(left_ms - self.shared.first_event_ms, self.left_ms())

    def target_left_ms(self) -> int:
        """Return the time left to start so that the first event meets the route's latency target.

        Below 0 when the target is missed; never 0.
        """
        left_ms = self.received_ms + self.route.target_latency_ms - now_ms()
        first_event_ms = self.shared.first_event_ms
        return int(left_ms - first_event_ms) or -1

    # --- attempts --------------------------------------------------------------------------------

    async def run(self) -> None:
        """Make attempts until one gives the complete answer or no other one is allowed."""
        if self.route.kind is RouteKind.STREAM and self.head.last_event >= 0:
            refused = await self._resume()
            if refused is not None:
                await self.give_up(self._accurate_fault(refused))
                return
        elif self.is_resumable:
            await self.shared.wait_startable(self.service, self.route, self.path)
        while True:
            if not self.key_holds():
                text = "the API key was revoked while the call waited"
                await self.give_up(self._accurate_fault(Fault(ResultCode.UNAUTHORIZED, text)))
                return
            granted = await find_permit(self.shared, self, self.avoided)
            if isinstance(granted, Err):
                await self.give_up(self._accurate_fault(granted.err_value))
                return
            refused = await self._refused_before_send(granted.ok_value)
            if refused is not None:
                await self.give_up(refused)
                return
            end = await self._attempt(granted.ok_value)
            if end is None:
                self._count(ResultCode.OK)
                return
            self.progress.record_end(end)
            if self.failure_passed_on:
                self._log_failure_passed_on()
                return
            if not self.progress.may_retry() or self._has_no_upstream_left():
                await self.give_up(self._fault_of(end))
                return
            await trio.sleep(self.progress.pause_ms(end) / 1000)

    async def _resume(self) -> Fault | None:
        """Find the origin of the stream that the client resumes.

        Return the reason if the stream cannot continue here.
        """
        key = self.stream_key if self.head.resumed_request_id else None
        found = await self.shared.origin_of(key, self.route, self.path)
        log_event(
            "stream_taken_up",
            request_id=self.request_id,
            resumes=self.head.resumed_request_id,
            stream_key=key or "",
            last_event=self.head.last_event,
            software_version=found.ok_value.software_version if isinstance(found, Ok) else "",
            known_by=found.ok_value.known_by if isinstance(found, Ok) else "",
            named_by=list(found.ok_value.named_by) if isinstance(found, Ok) else [],
            outcome="known" if isinstance(found, Ok) else found.err_value.message,
            took_ms=round(now_ms() - self.received_ms, 1),
        )
        if isinstance(found, Err):
            return found.err_value
        if not self.route.allows(found.ok_value.service):
            text = f"the route does not lead to service {found.ok_value.service!r} any more"
            return Fault(ResultCode.NO_UPSTREAM, text)
        self.service = found.ok_value.service
        self.software_version = found.ok_value.software_version
        return None

    def _has_no_upstream_left(self) -> bool:
        """Whether every upstream that could continue the stream has refused it."""
        if (
            self.software_version is None
            or self.progress.consecutive_refusals < _MAX_REFUSED_CONNECTIONS
        ):
            return False
        return not any(
            item.software_version == self.software_version and item.upstream_id not in self.avoided
            for item in self.shared.view.upstreams_of(self.service)
        )

    async def _refused_before_send(self, grant: Grant) -> Fault | None:
        """Return why a call that waited must not be sent any more.

        A call counts toward its customer's limit when it is sent, and only once.
        """
        if self.confirm is None or self.progress.may_have_run:
            return None
        confirmed, done = None, False
        try:
            confirmed = await self.confirm()
            done = isinstance(confirmed, Ok)
        finally:
            if not done:
                record = AttemptRecord(grant, WorkClass.ONLINE, now_ms(), self.head.prompt_tokens)
                record.cancel()
        return None if done else confirmed.err_value

    async def _attempt(self, grant: Grant) -> AttemptEnd | None:
        """Make one attempt; return None when the client got its answer."""
        upstream = self.shared.view.upstreams.get(grant.upstream_id)
        record = AttemptRecord(grant, WorkClass.ONLINE, now_ms(), self.head.prompt_tokens)
        if upstream is None:
            record.cancel()
            return AttemptEnd.NOT_SENT
        versions = self.software_versions
        if versions is not None and upstream.software_version not in versions:
            # The upstream was replaced by one of another version after it was chosen.
            record.cancel()
            return AttemptEnd.WITHDRAWN
        done = False
        reason = ""
        end: AttemptEnd | None = None
        try:
            end = await self._send(upstream, record)
            done = True
        except WithdrawnError as error:
            end, done, reason = AttemptEnd.WITHDRAWN, True, str(error)
        except NotSentError as error:
            end, done, reason = AttemptEnd.NOT_SENT, True, str(error)
        except ResponseLostError as error:
            end, done, reason = AttemptEnd.LOST, True, str(error)
        finally:
            if done:
                record.finish(end)
            else:
                record.cancel()
                self._log_attempt(upstream, record, "cancelled", reason)
        self.sending = False
        self._log_attempt(upstream, record, "whole" if end is None else end.value, reason)
        if end is not None and end is not AttemptEnd.WITHDRAWN:
            self.avoided.add(upstream.upstream_id)
        return end

    async def _send(self, upstream: UpstreamRecord, record: AttemptRecord) -> AttemptEnd | None:
        headers = calls.upstream_headers(
            self.request.header_fields,
            left_ms=self.left_ms(),
            upstream_id=upstream.upstream_id,
            last_event=self.progress.last_event,
            customer=self.caller.name,
        )
        headers.insert(0, ("host", self.request.headers.get("host", "")))
        check = send_check(
            self.shared.view,
            upstream,
            record.grant,
            deadline_ms=self.deadline_ms,
            key_is_valid=self.key_holds,
        )
        stall = trio.CancelScope(deadline=self._stall_deadline_s(first=True))
        if self.joins_runs and calls.process_query(upstream.upstream_id) is not None:
            stall.deadline += self.shared.http.identify_timeout_ms / 1000

        def check_and_start() -> SendRefusal | None:
            refusal = check()
            if refusal is None:
                self.sending = True
                stall.deadline = self._stall_deadline_s(first=True)
            return refusal

        with stall:
            async with send_attempt(
                self.shared.http,
                upstream,
                self.request_id,
                self.request.method,
                self.request.target,
                headers,
                self.body,
                check_and_start,
                identifies=self.joins_runs,
            ) as answer:
                return await self._handle_answer(answer, upstream, record, stall)
        return AttemptEnd.STALLED if self.sending else AttemptEnd.NOT_SENT

    def _stall_deadline_s(self, *, first: bool) -> float:
        """Return the time by which data must arrive, else the call moves to another upstream."""
        if self.progress.is_last_run():
            return float("inf")
        limits = self.shared.stalls
        wait_ms = limits.first_event_ms(self.route) if first else limits.gap_ms(self.route)
        return (now_ms() + wait_ms) / 1000

    async def _handle_answer(
        self,
        answer: UpstreamAnswer,
        upstream: UpstreamRecord,
        record: AttemptRecord,
        stall: trio.CancelScope,
    ) -> AttemptEnd | None:
        head = answer.head
        record.record_answer(answer)
        if head.not_run:
            await drain(answer)
            return AttemptEnd.REJECTED
        if head.is_forged:
            return AttemptEnd.LOST
        if record.unframed:
            await self.shared.ends.identify(upstream, record)
        if head.is_success and self.route.kind is RouteKind.STREAM:
            return await self._relay_events(answer, upstream, record, stall)
        if self.client_stream is not None:
            # The head of a success was sent to the client, so a failure cannot be relayed any more.
            await drain(answer)
            return AttemptEnd.FAILED
        if head.status >= _SERVER_ERROR and not self.progress.is_last_run():
            await drain(answer)
            return AttemptEnd.FAILED
        return await self._relay_body(answer, upstream, record, stall)

    async def _relay_body(
        self,
        answer: UpstreamAnswer,
        upstream: UpstreamRecord,
        record: AttemptRecord,
        stall: trio.CancelScope,
    ) -> AttemptEnd | None:
        """Relay an answer in one write; a success beyond the buffer's size as it arrives.

        A failure of that size counts as no answer, as its body may have no end.
        """
        stall.deadline = float("inf")
        parts: list[bytes] = []
        buffered_bytes = 0
        headers = calls.client_headers(answer.response.header_fields)
        async for part in answer.response.chunks():
            record.record_data()
            parts.append(part)
            buffered_bytes += len(part)
            if buffered_bytes > _MAX_BUFFERED_BYTES:
                if not answer.head.is_success:
                    return AttemptEnd.LOST
                self.progress.answer_started = True
                self.client_stream = self.client_stream or await self.responder.begin(
                    answer.head.status, headers
                )
                await self.client_stream.write(b"".join(parts))
                parts, buffered_bytes = [], 0
        record.record_answer_end()
        if record.unframed:
            verdict = await self._judge_end(upstream, record, stall)
            # A call that may be repeated needs no guess.
            if not verdict.is_complete and (self.route.idempotent or not verdict.is_probable):
                return AttemptEnd.LOST
        if self.client_stream is None:
            await self.responder.send(answer.head.status, b"".join(parts), headers)
        else:
            await self.client_stream.write(b"".join(parts))
            await self.responder.end()
        if answer.head.status < _SERVER_ERROR:
            return None
        self.failure_passed_on = answer.head.status
        return AttemptEnd.FAILED

    async def _relay_events(
        self,
        answer: UpstreamAnswer,
        upstream: UpstreamRecord,
        record: AttemptRecord,
        stall: trio.CancelScope,
    ) -> AttemptEnd | None:
        """Relay complete events as they arrive, each one once; the head is sent with the first."""
        splitter = EventSplitter()
        deadline_set_s, progress_count = float("-inf"), 0
        while data := await self._next_data(answer, record):
            events = splitter.feed(data)
            if splitter.is_overlong:
                return AttemptEnd.LOST
            # Moving the deadline costs the event loop, so it moves only now and then.  The step is
            # added to it, so that no active stream is cut off.
            is_due = trio.current_time() - deadline_set_s >= _STALL_DEADLINE_STEP_S
            if is_due and splitter.progress_count > progress_count:
                deadline_set_s, progress_count = trio.current_time(), splitter.progress_count
                stall.deadline = self._stall_deadline_s(first=False) + _STALL_DEADLINE_STEP_S
            if not events:
                continue
            if self.first_event_ms < 0:
                self.first_event_ms = now_ms() - self.received_ms
            if record.first_event_ms < 0:
                self.shared.record_first_event(now_ms() - record.started_ms)
            record.record_events(len(events))
            if record.events == len(events) and self._is_replaced(upstream, record):
                return AttemptEnd.LOST
            # Done before events are counted as relayed: a counted event must reach the client.
            if self.client_stream is None and not await self._wait_client(
                stall, self._record_origin(upstream)
            ):
                return AttemptEnd.LOST
            fresh = self.progress.take_new_events(events)
            if fresh is None:
                return AttemptEnd.LOST
            if fresh:
                self.is_probably_complete = False
            if self.client_stream is not None:
                if not self.client_stream.put(fresh):
                    await self._wait_client(stall, self.client_stream.wait_room())
            elif fresh:
                await self._wait_client(stall, self._begin_response(answer, fresh))
        record.record_answer_end()
        if splitter.has_partial_event:
            return AttemptEnd.LOST
        if answer.response.unframed and not record.events and self.progress.last_event < 0:
            # Without framing an answer without events looks like one that was cut off.
            return AttemptEnd.LOST
        if record.unframed:
            verdict = await self._judge_end(upstream, record, stall)
            if not verdict.is_complete:
                if verdict.is_probable and self.client_stream is not None:
                    self.is_probably_complete = True
                return AttemptEnd.LOST
        if self.client_stream is None:
            await self._begin_response(answer, b"")
        await self.responder.end()
        self.pause_ms = max(record.mean_pause_ms(), 0.0)
        return None

    async def _next_data(self, answer: UpstreamAnswer, record: AttemptRecord) -> bytes:
        """Wait for more of an answer.

        An end that arrived together with the last data is noticed after everything else that is
        ready, so the time until it counts from there.
        """
        if record.unframed:
            await trio.lowlevel.checkpoint()
            record.record_data()
        return await answer.response.read_some()

    async def _judge_end(
        self, upstream: UpstreamRecord, record: AttemptRecord, stall: trio.CancelScope
    ) -> "EndVerdict":
        stall.deadline = float("inf")
        return await self.shared.ends.judge(upstream, record, self.request_id)

    async def _wait_client(self, stall: trio.CancelScope, sending: Awaitable[T]) -> T:
        """Wait until ``sending`` is done; meanwhile the upstream does not count as stalled."""
        stall.deadline = float("inf")
        sent = await sending
        stall.deadline = self._stall_deadline_s(first=False) + _STALL_DEADLINE_STEP_S
        return sent

    def _is_replaced(self, upstream: UpstreamRecord, record: AttemptRecord) -> bool:
        """Whether the attempt may be at another version; an identified process keeps its own."""
        return self.joins_runs and record.process is None and self.shared.view.is_replaced(upstream)

    async def _record_origin(self, upstream: UpstreamRecord) -> bool:
        """Record the origin of the stream, at other nodes too if it is resumable.

        Return False if the stream may not start.
        """
        self.software_version = upstream.software_version
        if not self.is_resumable:
            return True
        origin = StreamOrigin(self.service, upstream.software_version)
        return await self.shared.record_origin(self.stream_key, origin, self.route, self.path)

    async def _begin_response(self, answer: UpstreamAnswer, first: bytes) -> None:
        headers = calls.client_headers(answer.response.header_fields)
        self.client_stream = await self.responder.begin(answer.head.status, headers, first)

    # --- the end ---------------------------------------------------------------------------------

    async def give_up(self, fault: Fault) -> None:
        """Answer with ``fault``; an answer already started is cut off by closing the connection.

        One that is probably complete is not cut off.
        """
        if self.is_probably_complete:
            self._count(ResultCode.OK)
            await self.responder.end()
            return
        log_event(
            "call_given_up",
            request_id=self.request_id,
            work_id=self.work_id,
            route=self.route.name,
            code=fault.code.name,
            status=fault.http_status,
            reason=fault.message,
            attempts=self.progress.attempts,
            runs=self.progress.runs,
            begun=self.responder.started,
            took_ms=round(now_ms() - self.received_ms, 1),
        )
        self._count(fault.code)
        if self.responder.started:
            raise DroppedConnectionError(fault.message)
        headers = calls.refusal_headers(fault)
        await self.responder.send(fault.http_status, fault_body(fault), headers)

    def _log_failure_passed_on(self) -> None:
        log_event(
            "call_failure_passed_on",
            request_id=self.request_id,
            route=self.route.name,
            status=self.failure_passed_on,
            attempts=self.progress.attempts,
            took_ms=round(now_ms() - self.received_ms, 1),
        )
        self._count(ResultCode.UPSTREAM_ERROR)

    def _count(self, code: ResultCode) -> None:
        self.shared.metrics.record_online(
            self.service, self.customer, max(self.first_event_ms, 0.0), self.pause_ms, code
        )

    def late_fault(self) -> Fault:
        """Return the fault of a call whose deadline has passed."""
        if self.sending or self.progress.may_have_run:
            return Fault(ResultCode.UPSTREAM_TIMEOUT, "no complete answer was received in time")
        message = "no slot became free in time"
        return Fault(ResultCode.DEADLINE_CANNOT_BE_MET, message, self.shared.retry_after_ms)

    def _accurate_fault(self, fault: Fault) -> Fault:
        """Return ``fault`` with a retry time, or ``UPSTREAM_LOST`` if the call may have run."""
        if self.progress.may_have_run:
            return Fault(ResultCode.UPSTREAM_LOST, f"a run was lost; then: {fault.message}")
        if fault.code is ResultCode.UNAUTHORIZED:
            return fault
        retry_ms = max(fault.retry_after_ms, self.shared.retry_after_ms)
        return Fault(fault.code, fault.message, retry_ms)

    def _fault_of(self, end: AttemptEnd) -> Fault:
        return Fault(ResultCode.UPSTREAM_LOST, f"the attempt ended as {end.value}")

    def _log_attempt(
        self, upstream: UpstreamRecord, record: AttemptRecord, end: str, reason: str
    ) -> None:
        log_event(
            "call_attempt",
            routine=end == "whole",
            request_id=self.request_id,
            work_id=self.work_id,
            parts=self.parts,
            route=self.route.name,
            upstream_id=upstream.upstream_id,
            process=record.process,
            software_version=upstream.software_version,
            attempt=self.progress.attempts + 1,
            local_permit=record.grant.local,
            end=end,
            reason=reason,
            answered=record.answered,
            first_event_ms=round(record.first_event_ms, 1),
            events=record.events,
            unframed=record.unframed,
            end_idle_ms=round(record.end_idle_ms, 1),
            last_event=self.progress.last_event,
            took_ms=round(now_ms() - record.started_ms, 1),
            since_receipt_ms=round(now_ms() - self.received_ms, 1),
        )
