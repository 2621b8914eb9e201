"""Requests permits from the owners of upstreams and runs one item under each granted permit.

The item is chosen only after the permit is granted, so that the permit serves the item that is
most urgent at that time.
"""

from collections.abc import Callable
from secrets import token_hex

import msgspec
import trio
from result import Ok, Result

from fescuedock.agent.isolated_permits import IsolatedPermits
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
from fescuedock.core.work_identity import message_parts, work_identity
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.http_client import SendCheck
from fescuedock.schema.config import MemberSpec, ServiceKind, ServiceSpec
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, PermitAsk, WorkClass
from fescuedock.schema.view import UpstreamRecord

__all__ = ["Dispatcher"]

_IDLE_WAIT_MS = 500.0
_EMPTY_GRANT_PAUSE_MS = 50.0
_REFUSED_PAUSE_MS = 100.0
# Added to the time that a request may stay queued at the owner.
_REQUEST_MARGIN_MS = 500.0
_UPSTREAMS_POLL_S = 1.0
# An upstream becomes free for an isolated run only when the longest run there has ended.
_ISOLATED_WAIT_MS = 30000
_BYTES_PER_TOKEN = 4
_MAX_SLACK_MS = 2**31 - 1

# Returns the task of a job by its id, or None when the job does not run here.
FindTask = Callable[[str], JobTask | None]


class Dispatcher:
    """Keeps permit requests open at the owner of each upstream whose service has jobs here."""

    __slots__ = (
        "_context",
        "_find_task",
        "_isolated_permits",
        "_nursery",
        "_requesting",
        "_stopping",
    )

    def __init__(self, context: RunnerContext, find_task: FindTask) -> None:
        self._context = context
        self._find_task = find_task
        self._isolated_permits = IsolatedPermits(context.view, context.permits, _REQUEST_MARGIN_MS)
        self._requesting: set[str] = set()
        self._stopping = False

    def stop(self) -> None:
        """Start no more items."""
        self._stopping = True
        self._context.notify_work()

    async def run(self) -> None:
        """Request permits at every upstream of the fleet view; never returns."""
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
        """Request one permit after the other while the upstream is usable."""
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
        """Run an item under ``grant``, or end it at once when no item is left to run."""
        scheduler = self._context.scheduler
        assignment = None
        # Read again: while the request was queued, the address may have passed to another upstream.
        upstream = self._context.view.upstreams.get(upstream_id)
        if self._is_usable(upstream_id) and not grant.revoked.is_set():
            assignment = scheduler.claim(
                upstream.service, upstream_id, self._member_share, now_ms()
            )
        if assignment is None:
            grant.end(_unused_permit(grant))
            await trio.sleep(_EMPTY_GRANT_PAUSE_MS / 1000)
            return
        # Claiming an item may make other actions of the job due, such as reading the next input.
        task = self._find_task(assignment.run.job_id)
        task.wake()
        work = _identify_work(assignment.run, assignment.item, upstream.service)
        view = self._context.view
        restriction = view.verdict_on(work.work_id, work.parts, owed=True).restriction
        if restriction is Restriction.FREE and assignment.isolation is not Isolation.FULL:
            grant.assign_work(work.work_id, work.parts)
            self._start_attempt(task, assignment, upstream, grant)
            return
        # The item needs an upstream where no VM runs anything else.
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
        # Registered before its task starts, so that a stop in between cancels it.
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
        """Wait for a permit to run the item in isolation, and run it under that permit."""
        granted: tuple[UpstreamRecord, Grant] | None = None
        with scope:
            granted = await self._acquire_isolated(assignment, work)
        task.attempts.discard(scope)
        if scope.cancel_called:
            if granted is not None:
                self._context.permits.return_unused(granted[1])
            self._record_end(task, assignment, AttemptEnd(EndKind.STOPPED), 0.0)
            return
        upstream, grant = granted
        assignment.item.upstream_id = upstream.upstream_id
        self._start_attempt(task, assignment, upstream, grant)

    async def _acquire_isolated(
        self, assignment: Assignment, work: "_WorkIdentity"
    ) -> tuple[UpstreamRecord, Grant]:
        """Return an upstream and a permit for an isolated run there."""
        context = self._context
        self._log_restricted(assignment, work)
        since_ms = now_ms()
        while True:
            verdict = context.view.verdict_on(work.work_id, work.parts, owed=True)
            if verdict.restriction in (Restriction.UNSETTLED, Restriction.REFUSED):
                await trio.sleep(verdict.retry_after_ms / 1000)
                since_ms = now_ms()
                continue
            request = self._isolated_request(assignment, work.work_id, now_ms() - since_ms)
            result = await self._isolated_permits.request(request, work.parts)
            if isinstance(result, Ok):
                return result.ok_value
            pause_ms = max(result.err_value.retry_after_ms, _REFUSED_PAUSE_MS)
            await trio.sleep(pause_ms * context.random.uniform(0.5, 1.5) / 1000)

    def _log_restricted(self, assignment: Assignment, work: "_WorkIdentity") -> None:
        verdict = self._context.view.verdict_on(work.work_id, work.parts, owed=True)
        log_event(
            "item_restricted",
            job_id=assignment.run.job_id,
            item_number=assignment.item.number,
            deaths=assignment.item.deaths,
            trait=verdict.trait,
            restriction=verdict.restriction.name,
            crashes=verdict.crashes,
            retry_after_ms=round(verdict.retry_after_ms),
        )

    def _isolated_request(
        self, assignment: Assignment, work_id: str, waited_ms: float
    ) -> PermitAsk:
        return PermitAsk(
            upstream_id="",
            attempt_id="",
            holder_id=self._context.permits.holder_id,
            service=assignment.service,
            member=assignment.run.record.member,
            work_class=WorkClass.BATCH,
            slack_ms=0,
            wait_ms=_ISOLATED_WAIT_MS,
            work_id=work_id,
            alone=True,
            waited_ms=int(waited_ms),
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
        """Return a check that queries the job again and then applies the check of every request."""
        may_send = send_check(self._context.view, upstream, grant)
        return lambda: run.start_refusal(now_ms()) or may_send()

    def _timeout_ms(self, service: str) -> float:
        # A job may outlive its service's configuration; the default timeout is the same for all
        # kinds of service.
        spec = self._context.view.configuration.services.get(service)
        return (spec or ServiceSpec(ServiceKind.MODEL)).request_timeout_ms

    def _member_share(self, member: str) -> float:
        spec = self._context.view.configuration.members.get(member)
        return (spec or MemberSpec()).share


class _WorkIdentity(msgspec.Struct, frozen=True):
    """The identity of an item's unit of work and those of the parts its prompt may share."""

    work_id: str
    parts: tuple[str, ...]


def _identify_work(run: JobRun, item: Item, service: str) -> _WorkIdentity:
    """Return the identities of an item's work.

    They equal those of an online call with the same request.
    """
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
