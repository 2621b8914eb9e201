"""Requests permits from the owners of upstreams while batch items wait on this node."""

import random
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from secrets import token_hex

import trio
from msgspec import structs
from result import Ok

from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import Grant, PermitClient
from fescuedock.clock import now_ms
from fescuedock.core.routing import RoutingPolicy, free_slots
from fescuedock.core.stored_jobs.permit_requests import (
    PermitRequestCandidate,
    PermitRequestPolicy,
    choose_upstreams,
)
from fescuedock.core.stored_jobs.urgency import ItemChoice
from fescuedock.errors import run_contained
from fescuedock.log import log_event
from fescuedock.schema.permits import PermitAsk, WorkClass
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import NodeSettings
from fescuedock.schema.stored_jobs import StoredJobRecord
from fescuedock.schema.view import UpstreamRecord

__all__ = ["ItemPermitRequester"]

# A request may be answered this much later than the time it may stay queued.
_REPLY_MARGIN_MS = 300.0
# Back-off after a refusal that names no time: about the length of a call, after which a slot may
# be free.
_REFUSAL_BACKOFF_MS = 60.0
# Interval between two log lines about requests none of which was granted.
_REFUSAL_LOG_INTERVAL_MS = 5000.0
# Older loads are ignored, as for online calls.
_MAX_LOAD_AGE_MS = RoutingPolicy().stale_ms


class ItemPermitRequester:
    """Requests permits and passes each to ``use_grant``, which returns it when nothing waits.

    ``waiting`` returns the number of items that could start now, by service.  ``choose`` returns
    the item at a position in the order of urgency for an upstream, 0 being the most urgent.
    ``choose_overdue`` returns the next item in the round-robin order of overdue jobs, which get
    requests of their own; ``any_overdue`` says whether there may be one.  ``priority`` returns the
    priority of a job's items.
    """

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
        permits: PermitClient,
        rng: random.Random,
        waiting: Callable[[], Mapping[str, int]],
        choose: Callable[[UpstreamRecord, int], ItemChoice | None],
        use_grant: Callable[[str, Grant], None],
        choose_overdue: Callable[[UpstreamRecord], ItemChoice | None] = lambda _upstream: None,
        any_overdue: Callable[[], bool] = lambda: False,
        priority: Callable[[StoredJobRecord], int] = lambda _record: 0,
        policy: PermitRequestPolicy | None = None,
    ) -> None:
        self._settings = settings
        self._view = view
        self._permits = permits
        self._rng = rng
        self._waiting = waiting
        self._choose = choose
        self._use_grant = use_grant
        self._choose_overdue = choose_overdue
        self._any_overdue = any_overdue
        self._priority = priority
        self._policy = policy or PermitRequestPolicy()
        # Upstreams with an open request, and their services.
        self._requested: dict[str, str] = {}
        # Services with an open request for overdue items.
        self._overdue_requested: set[str] = set()
        self._wakeup = trio.Event()
        # Refusals by result code since the last grant or the last log line about refusals.
        self._refusals: Counter[str] = Counter()
        self._refusals_since_ms = 0.0

    def wake(self) -> None:
        """Check again which items wait."""
        self._wakeup.set()
        self._wakeup = trio.Event()

    async def run(self, max_wait_s: Callable[[], float]) -> None:
        """Request permits until cancelled; check again after ``max_wait_s`` at the latest."""
        async with trio.open_nursery() as nursery:
            while True:
                self._open_requests(nursery)
                with trio.move_on_after(max_wait_s()):
                    await self._wakeup.wait()

    def _open_requests(self, nursery: trio.Nursery) -> None:
        open_requests = Counter(self._requested.values())
        own = self._view.vms.get(self._view.vm_id)
        own_domain = "" if own is None else own.failure_domain
        for service, count in self._waiting().items():
            versions = {item.software_version for item in self._view.upstreams_of(service)}
            candidates = [
                PermitRequestCandidate(
                    item.upstream_id,
                    self._free_slots(item.upstream_id),
                    is_near=item.failure_domain == own_domain,
                )
                for item in self._view.upstreams_of(service)
                if not item.leaving
                and item.upstream_id not in self._requested
                and self._can_start_item(item, versions)
            ]
            chosen = choose_upstreams(
                count, open_requests[service], candidates, self._policy, self._rng
            )
            for number, upstream_id in enumerate(chosen, start=open_requests[service]):
                self._requested[upstream_id] = service
                nursery.start_soon(self._request, upstream_id, number // self._policy.per_item)
            if count and service not in self._overdue_requested and self._any_overdue():
                self._open_overdue_request(service, nursery)

    def _open_overdue_request(self, service: str, nursery: trio.Nursery) -> None:
        """Send one request for overdue items; all other requests are for items still on time."""
        upstreams = {
            item.upstream_id: item for item in self._view.upstreams_of(service) if not item.leaving
        }
        candidates = [PermitRequestCandidate(name, self._free_slots(name)) for name in upstreams]
        policy = PermitRequestPolicy(per_item=len(candidates))
        # Choosing an item is expensive; mostly the first upstream can run one.
        for upstream_id in choose_upstreams(1, 0, candidates, policy, self._rng):
            if self._choose_overdue(upstreams[upstream_id]) is not None:
                self._overdue_requested.add(service)
                nursery.start_soon(self._request_overdue, upstream_id, service)
                return

    def _can_start_item(self, upstream: UpstreamRecord, versions: Collection[str]) -> bool:
        """Whether an item could start at an upstream.

        An item that has started waits for an upstream of its software version.
        """
        return len(versions) == 1 or self._choose(upstream, 0) is not None

    def _free_slots(self, upstream_id: str) -> int | None:
        timed = self._permits.loads.get(upstream_id)
        if timed is None or now_ms() - timed.at_ms > _MAX_LOAD_AGE_MS:
            return None
        return free_slots(timed.load)

    async def _request(self, upstream_id: str, position: int) -> None:
        """Request a permit for the item at ``position``; back off after a refusal."""
        try:
            await self._request_contained(
                upstream_id, lambda upstream: self._choose(upstream, position)
            )
        finally:
            self._requested.pop(upstream_id, None)
            self.wake()

    async def _request_overdue(self, upstream_id: str, service: str) -> None:
        try:
            await self._request_contained(upstream_id, self._choose_overdue)
        finally:
            self._overdue_requested.discard(service)
            self.wake()

    async def _request_contained(
        self, upstream_id: str, choose: Callable[[UpstreamRecord], ItemChoice | None]
    ) -> None:
        """Request a permit; an unexpected exception counts as a refusal."""
        requested = await run_contained(
            "item", self._request_once, upstream_id, choose, upstream_id=upstream_id
        )
        if not requested:
            await trio.sleep(_REFUSAL_BACKOFF_MS / 1000)

    async def _request_once(
        self, upstream_id: str, choose: Callable[[UpstreamRecord], ItemChoice | None]
    ) -> None:
        """Request a permit and use it if granted; return a while after a refusal."""
        upstream = self._view.upstreams.get(upstream_id)
        if upstream is None:
            return
        timeout_ms = self._settings.ask_wait_ms + _REPLY_MARGIN_MS
        granted = await self._permits.request(
            self._permit_request(upstream, choose(upstream)), timeout_ms
        )
        if isinstance(granted, Ok):
            self._refusals.clear()
            self._use_grant(upstream_id, granted.ok_value)
            return
        self._record_refusal(granted.err_value.code)
        pause_ms = max(granted.err_value.retry_after_ms, _REFUSAL_BACKOFF_MS)
        await trio.sleep(pause_ms * self._rng.uniform(0.5, 1.5) / 1000)

    def _record_refusal(self, code: ResultCode) -> None:
        """Record a refusal; log now and then that items wait and no owner grants a permit."""
        if not self._refusals:
            self._refusals_since_ms = now_ms()
        self._refusals[code.name] += 1
        if now_ms() - self._refusals_since_ms < _REFUSAL_LOG_INTERVAL_MS:
            return
        waiting = sum(self._waiting().values())
        if waiting:
            since_ms = round(now_ms() - self._refusals_since_ms)
            reasons = dict(self._refusals)
            log_event("items_not_granted", waiting=waiting, since_ms=since_ms, reasons=reasons)
        self._refusals.clear()

    def _permit_request(self, upstream: UpstreamRecord, choice: ItemChoice | None) -> PermitAsk:
        request = PermitAsk(
            upstream_id=upstream.upstream_id,
            attempt_id=token_hex(16),
            holder_id=self._permits.holder_id,
            service=upstream.service,
            member="",
            work_class=WorkClass.BATCH,
            slack_ms=0,
            wait_ms=self._settings.ask_wait_ms,
        )
        if choice is None:
            return request
        record = choice.job.record
        priority = self._priority(record)
        return structs.replace(
            request,
            member=record.customer or "",
            priority=priority,
            waited_ms=int(choice.waited_ms) if priority else 0,
            slack_ms=int(choice.slack_ms),
            stage=choice.stage,
            left_ms=int(choice.left_ms),
            barren_runs=choice.run.runs_without_output,
        )
