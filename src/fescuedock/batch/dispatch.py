"""Asks the owners of upstreams for permits and runs an item on each that is granted.

The item is chosen only when the permit is there, so that it serves the most urgent one.
"""

from collections.abc import Callable
from secrets import token_hex

import msgspec
import trio
from result import Ok, Result

from fescuedock.agent.permit_client import Grant
from fescuedock.agent.send_check import send_check
from fescuedock.batch.attempts import Attempt, run_attempt
from fescuedock.batch.context import RunnerContext
from fescuedock.batch.jobs import JobTask
from fescuedock.clock import now_ms
from fescuedock.core.batch.answers import read_line
from fescuedock.core.batch.items import AttemptEnd, EndKind, Isolation, Item
from fescuedock.core.batch.job import JobRun
from fescuedock.core.batch.scheduler import Assignment
from fescuedock.core.quarantine import Restriction
from fescuedock.core.rendezvous import choose_name
from fescuedock.core.work_identity import message_parts, work_identity
from fescuedock.faults import Fault
from fescuedock.net.http_client import SendCheck
from fescuedock.schema.config import MemberSpec, ServiceKind, ServiceSpec
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, PermitAsk, WorkClass
from fescuedock.schema.view import UpstreamRecord

__all__ = ["Dispatcher"]

_IDLE_WAIT_MS = 500.0
_EMPTY_GRANT_PAUSE_MS = 50.0
_REFUSED_PAUSE_MS = 100.0
# An ask may be late by this much beyond the time it may stay queued.
_REQUEST_MARGIN_MS = 500.0
_UPSTREAMS_POLL_S = 1.0
# An upstream that is being emptied for a run alone takes as long as the longest run there.
_ISOLATED_WAIT_MS = 30000
_BYTES_PER_TOKEN = 4
_MAX_SLACK_MS = 2**31 - 1

# Finds the running job of a state machine.
FindTask = Callable[[str], JobTask | None]


class Dispatcher:
    """Keeps asks open at the owner of each upstream whose service has jobs here."""

    __slots__ = ("_context", "_find_task", "_nursery", "_requesting", "_stopping")

    def __init__(self, context: RunnerContext, find_task: FindTask) -> None:
        self._context = context
        self._find_task = find_task
        self._requesting: set[str] = set()
        self._stopping = False

    def stop(self) -> None:
        """Start no further item."""
        self._stopping = True
        self._context.notify_work()

    async def run(self) -> None:
        """Follow the fleet view; never returns."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._context.scheduler.choose_loading_jobs(now_ms())
                for upstream in list(self._context.view.upstreams.values()):
                    if self._is_usable(upstream.upstream_id):
                        self._start_requests(upstream.upstream_id)
                seen = self._context.view.version
                with trio.move_on_after(_UPSTREAMS_POLL_S):
                    await self._context.view.wait_changed(seen)

    def _start_requests(self, upstream_id: str) -> None:
        if upstream_id in self._requesting:
            return
        self._requesting.add(upstream_id)
        self._nursery.start_soon(self._request_permits, upstream_id)

    def _is_usable(self, upstream_id: str) -> bool:
        upstream = self._context.view.upstreams.get(upstream_id)
        return upstream is not None and not upstream.leaving and not self._stopping

    async def _request_permits(self, upstream_id: str) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(self._context.settings.batch.open_asks):
                nursery.start_soon(self._request_forever, upstream_id)
        self._requesting.discard(upstream_id)

    async def _request_forever(self, upstream_id: str) -> None:
        """Ask for one permit after the other while the upstream is there."""
        context = self._context
        while self._is_usable(upstream_id):
            upstream = context.view.upstreams[upstream_id]
            run = context.scheduler.next_run(upstream.service, upstream_id, now_ms())
            if run is None:
                await context.signal.wait(_IDLE_WAIT_MS)
                continue
            result = await self._request_permit(upstream, run)
            if isinstance(result, Ok):
                await self._use_grant(upstream_id, result.ok_value)
                continue
            pause_ms = max(result.err_value.retry_after_ms, _REFUSED_PAUSE_MS)
            await trio.sleep(pause_ms * context.random.uniform(0.5, 1.5) / 1000)

    async def _request_permit(self, upstream: UpstreamRecord, run: JobRun) -> Result[Grant, Fault]:
        context = self._context
        wait_ms = context.settings.batch.ask_wait_ms
        now = now_ms()
        item = run.peek(now)
        slack_ms = context.scheduler.slack_ms(run, now)
        request = PermitAsk(
            upstream_id=upstream.upstream_id,
            attempt_id=token_hex(16),
            holder_id=context.permits.holder_id,
            service=upstream.service,
            member=run.record.member,
            work_class=WorkClass.BATCH,
            slack_ms=int(min(max(slack_ms, -_MAX_SLACK_MS), _MAX_SLACK_MS)),
            prompt_tokens=len(item.line) // _BYTES_PER_TOKEN if item else 0,
            wait_ms=wait_ms,
        )
        return await context.permits.request(request, wait_ms + _REQUEST_MARGIN_MS)

    async def _use_grant(self, upstream_id: str, grant: Grant) -> None:
        """Run an item under ``grant``, or give it back at once when there is none any more."""
        scheduler = self._context.scheduler
        assignment = None
        # As it is known now: the ask took a while, and the address may be another's since.
        upstream = self._context.view.upstreams.get(upstream_id)
        if self._is_usable(upstream_id) and not grant.revoked.is_set():
            assignment = scheduler.claim(
                upstream.service, upstream_id, self._member_share, now_ms()
            )
        if assignment is None:
            grant.end(_unused_permit(grant))
            await trio.sleep(_EMPTY_GRANT_PAUSE_MS / 1000)
            return
        # What is polled by the job itself, such as the next input, may be due now.
        task = self._find_task(assignment.run.job_id)
        task.wake()
        work = _identify_work(assignment.run, assignment.item, upstream.service)
        restriction = self._context.view.verdict_on(work.work_id, work.parts).restriction
        if restriction is Restriction.FREE and assignment.isolation is not Isolation.ALONE:
            grant.assign_work(work.work_id, work.parts)
            self._start_attempt(task, assignment, upstream, grant)
            return
        # It needs an upstream where nothing of any VM runs, or none at all.
        self._context.permits.return_unused(grant)
        scope = trio.CancelScope()
        task.attempts.add(scope)
        self._nursery.start_soon(self._run_isolated, task, assignment, work, scope)

    def _start_attempt(
        self, task: JobTask, assignment: Assignment, upstream: UpstreamRecord, grant: Grant
    ) -> None:
        timeout_ms = self._timeout_ms(upstream.service)
        check = self._item_check(assignment.run, upstream, grant)
        attempt = Attempt(assignment.item, upstream, grant, timeout_ms, check)
        # Known before its task runs, so that a stop in between reaches it.
        task.attempts.add(attempt.scope)
        self._nursery.start_soon(self._run_item, task, assignment, attempt)

    async def _run_item(self, task: JobTask, assignment: Assignment, attempt: Attempt) -> None:
        try:
            end = await run_attempt(self._context.upstreams, attempt)
        finally:
            task.attempts.discard(attempt.scope)
        self._record_end(task, assignment, end, now_ms() - attempt.started_ms)

    async def _run_isolated(
        self, task: JobTask, assignment: Assignment, work: "_WorkIdentity", scope: trio.CancelScope
    ) -> None:
        """Wait until an item may run alone somewhere, and run it there."""
        granted: tuple[UpstreamRecord, Grant] | None = None
        with scope:
            granted = await self._acquire_isolated(assignment, work)
        task.attempts.discard(scope)
        if scope.cancel_called:
            if granted is not None:
                self._context.permits.return_unused(granted[1])
            self._record_end(task, assignment, AttemptEnd(EndKind.STOPPED), 0.0)
            return
        if granted is None:
            message = b"upstreams ended each time while they ran this item"
            self._record_end(task, assignment, AttemptEnd(EndKind.HARMFUL, body=message), 0.0)
            return
        upstream, grant = granted
        assignment.item.upstream_id = upstream.upstream_id
        self._start_attempt(task, assignment, upstream, grant)

    async def _acquire_isolated(
        self, assignment: Assignment, work: "_WorkIdentity"
    ) -> tuple[UpstreamRecord, Grant] | None:
        """Return an upstream with a permit to run alone there; None for work that is refused."""
        context = self._context
        while True:
            verdict = context.view.verdict_on(work.work_id, work.parts)
            if verdict.restriction is Restriction.REFUSED:
                return None
            if verdict.restriction is Restriction.UNSETTLED:
                await trio.sleep(verdict.retry_after_ms / 1000)
                continue
            names = [
                item.upstream_id
                for item in context.view.upstreams_of(assignment.service)
                if not item.leaving
            ]
            # The one that all VMs choose, so that such runs take no more than one.
            upstream = context.view.upstreams.get(choose_name(assignment.service, names) or "")
            if upstream is None:
                await trio.sleep(_UPSTREAMS_POLL_S)
                continue
            request = self._isolated_request(upstream, assignment.run, work.work_id)
            timeout_ms = _ISOLATED_WAIT_MS + _REQUEST_MARGIN_MS
            result = await context.permits.request(request, timeout_ms, work.parts)
            if isinstance(result, Ok):
                return upstream, result.ok_value
            pause_ms = max(result.err_value.retry_after_ms, _REFUSED_PAUSE_MS)
            await trio.sleep(pause_ms * context.random.uniform(0.5, 1.5) / 1000)

    def _isolated_request(self, upstream: UpstreamRecord, run: JobRun, work_id: str) -> PermitAsk:
        return PermitAsk(
            upstream_id=upstream.upstream_id,
            attempt_id=token_hex(16),
            holder_id=self._context.permits.holder_id,
            service=upstream.service,
            member=run.record.member,
            work_class=WorkClass.BATCH,
            slack_ms=0,
            wait_ms=_ISOLATED_WAIT_MS,
            work_id=work_id,
            alone=True,
        )

    def _record_end(
        self, task: JobTask, assignment: Assignment, end: AttemptEnd, run_ms: float
    ) -> None:
        context = self._context
        was_full = context.scheduler.full
        context.scheduler.on_ended(assignment, now_ms())
        code = task.run.on_attempt_ended(assignment.item, end, now_ms())
        if code is not None:
            member = task.run.record.member
            context.metrics.record_item(assignment.service, member, run_ms, code)
        task.wake()
        if was_full:
            context.notify_work()

    def _item_check(self, run: JobRun, upstream: UpstreamRecord, grant: Grant) -> SendCheck:
        """Return the check of an item's request: that of its job again, and that of any request."""
        may_send = send_check(self._context.view, upstream, grant)
        return lambda: run.start_refusal(now_ms()) or may_send()

    def _timeout_ms(self, service: str) -> float:
        # A job outlives its service's entry in the configuration; the default is that of any kind.
        spec = self._context.view.configuration.services.get(service)
        return (spec or ServiceSpec(ServiceKind.MODEL)).request_timeout_ms

    def _member_share(self, member: str) -> float:
        spec = self._context.view.configuration.members.get(member)
        return (spec or MemberSpec()).share


class _WorkIdentity(msgspec.Struct, frozen=True):
    """The identities of an item's work and of its prompt's shared parts."""

    work_id: str
    parts: tuple[str, ...]


def _identify_work(run: JobRun, item: Item, service: str) -> _WorkIdentity:
    """Return the identities of an item's work, which are those of a call with the same request."""
    line = read_line(item.line)
    body = bytes(line.body)
    work_id = work_identity(service, line.method, line.url, run.record.member, body)
    return _WorkIdentity(work_id, message_parts(msgspec.json.decode(body, type=dict)))


def _unused_permit(grant: Grant) -> EndedPermit:
    return EndedPermit(
        permit_id=grant.permit_id,
        upstream_id=grant.upstream_id,
        outcome=AttemptOutcome.CANCELLED,
        work_class=WorkClass.BATCH,
    )
