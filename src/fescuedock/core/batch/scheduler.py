"""Chooses which of a runner's jobs gets the next permit of an upstream.

Jobs that need nearly the full rate of their service to meet the deadline go first, ordered by
slack.  Every few rounds, and when no job is urgent, members get slots in proportion to their
shares.  A job that cannot meet its deadline even at the full rate is not urgent: running it first
would only make other jobs late as well.
"""

from collections.abc import Callable, Iterable

import msgspec

from fescuedock.core.batch.forecast import RateMeter
from fescuedock.core.batch.items import Isolation, Item
from fescuedock.core.batch.job import JobRun
from fescuedock.schema.settings import BatchSettings

__all__ = ["Assignment", "ItemScheduler", "ShareOf"]

# Returns the weight of a member among the waiting members.
ShareOf = Callable[[str], float]

# A job is urgent when its slack is below this share of the time to its deadline.  The share must
# exceed that of the fair rounds, or these would make an urgent job miss its deadline.
_URGENT_SHARE = 0.4
# A job is also urgent when its slack does not cover a takeover and the last commits.
_URGENT_MS = 60000.0
_FAIR_ROUND_INTERVAL = 4
# A job that would be late by more than this share of the time left cannot meet its deadline.
_INFEASIBLE_SHARE = 0.1
# Number of jobs that may hold a segment of their input in memory.
_MAX_LOADED_JOBS = 8


class Assignment(msgspec.Struct, frozen=True):
    """One item to run now, and where."""

    run: JobRun
    item: Item
    isolation: Isolation
    upstream_id: str
    service: str


class _Upstream(msgspec.Struct):
    """What this runner has in flight at one upstream."""

    in_flight: int = 0
    suspects: int = 0
    isolated: bool = False
    # Draining for an item that must run in isolation.
    reserved: bool = False

    def max_isolation(self) -> Isolation | None:
        """Return the strictest isolation available, or None when no item may start."""
        if self.isolated:
            return None
        if not self.in_flight:
            return Isolation.FULL
        if self.reserved:
            return None
        return Isolation.NONE if self.suspects else Isolation.FROM_SUSPECTS


class ItemScheduler:
    """Schedules the items of a runner's jobs, and tracks those in flight by upstream."""

    __slots__ = (
        "_meters",
        "_round",
        "_runs",
        "_settings",
        "_upstreams",
        "_used_by_member",
        "in_flight",
    )

    def __init__(self, settings: BatchSettings) -> None:
        self._settings = settings
        self._runs: dict[str, JobRun] = {}
        self._upstreams: dict[str, _Upstream] = {}
        self._used_by_member: dict[str, float] = {}
        self._meters: dict[str, RateMeter] = {}
        self._round = 0
        self.in_flight = 0

    @property
    def full(self) -> bool:
        """Whether as many items are in flight as the settings allow."""
        return self.in_flight >= self._settings.max_items_in_flight

    def add(self, run: JobRun) -> None:
        self._runs[run.job_id] = run

    def remove(self, run: JobRun) -> None:
        self._runs.pop(run.job_id, None)

    def services(self) -> set[str]:
        """Return the services of this runner's jobs."""
        return {run.record.service for run in self._runs.values() if run.record is not None}

    def items_per_s(self, service: str, now_ms: float) -> float | None:
        """Return the rate of the service's items over all jobs of this runner; None if unknown."""
        meter = self._meters.get(service)
        return meter.items_per_s(now_ms) if meter else None

    def choose_loading_jobs(self, now_ms: float) -> None:
        """Allow only the jobs with the least slack to load input.

        Also sets the rate that each job expects before it has one of its own.
        """
        working = [run for run in self._runs.values() if run.record is not None]
        for run in working:
            run.set_expected_rate(self.items_per_s(run.record.service, now_ms) or 0.0)
        working.sort(key=lambda run: self.slack_ms(run, now_ms))
        for index, run in enumerate(working):
            run.may_load = index < _MAX_LOADED_JOBS

    def next_run(self, service: str, upstream_id: str, now_ms: float) -> JobRun | None:
        """Return the job whose item would probably get a permit of ``upstream_id`` now."""
        if self._allowed(service, upstream_id, now_ms) is None:
            return None
        ready = self._ready(service, now_ms)
        return min(ready, key=lambda run: self.slack_ms(run, now_ms), default=None)

    def claim(
        self, service: str, upstream_id: str, share_of: ShareOf, now_ms: float
    ) -> Assignment | None:
        """Claim an item to run on ``upstream_id``, for which the caller holds a permit."""
        allowed = self._allowed(service, upstream_id, now_ms)
        if allowed is None:
            return None
        for run in self._ordered(list(self._ready(service, now_ms)), now_ms):
            item = run.claim(upstream_id, allowed, now_ms)
            if item is not None:
                self._record_start(run, item, share_of)
                return Assignment(run, item, item.isolation, upstream_id, service)
        return None

    def on_ended(self, assignment: Assignment, now_ms: float) -> None:
        """Release an assignment after its attempt ended, whatever the outcome."""
        upstream = self._upstreams[assignment.upstream_id]
        upstream.in_flight -= 1
        upstream.suspects -= assignment.isolation is not Isolation.NONE
        if assignment.isolation is Isolation.FULL:
            upstream.isolated = False
        if not upstream.in_flight and not upstream.reserved:
            del self._upstreams[assignment.upstream_id]
        self.in_flight -= 1
        meter = self._meters.setdefault(assignment.service, RateMeter(now_ms))
        meter.on_ended(now_ms)

    def slack_ms(self, run: JobRun, now_ms: float) -> float:
        """Return the slack of a job if it had the full rate of its service."""
        left_ms = run.deadline_ms - now_ms
        rate = self.items_per_s(run.record.service, now_ms)
        return left_ms - run.items_left / rate * 1000.0 if rate else left_ms

    def _ready(self, service: str, now_ms: float) -> Iterable[JobRun]:
        for run in self._runs.values():
            if run.record is None or run.record.service != service:
                continue
            if run.peek(now_ms) is not None:
                yield run

    def _allowed(self, service: str, upstream_id: str, now_ms: float) -> Isolation | None:
        if self.full:
            return None
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return Isolation.FULL
        self._reserve(service, upstream, now_ms)
        return upstream.max_isolation()

    def _reserve(self, service: str, upstream: _Upstream, now_ms: float) -> None:
        """Drain one upstream when an item must run in isolation and no upstream is idle."""
        runs = self._ready(service, now_ms)
        strict = (run.strictest_isolation(now_ms) is Isolation.FULL for run in runs)
        if not any(strict):
            upstream.reserved = False
        elif not any(other.reserved for other in self._upstreams.values()):
            upstream.reserved = upstream.in_flight > 0

    def _ordered(self, ready: list[JobRun], now_ms: float) -> list[JobRun]:
        if len(ready) < 2:
            return ready
        self._round += 1
        by_slack = sorted(ready, key=lambda run: self.slack_ms(run, now_ms))
        by_member = sorted(
            by_slack, key=lambda run: self._used_by_member.get(run.record.member, 0.0)
        )
        if self._round % _FAIR_ROUND_INTERVAL == 0:
            return by_member
        urgent = [run for run in by_slack if self._is_urgent(run, now_ms)]
        return urgent + [run for run in by_member if run not in urgent]

    def _is_urgent(self, run: JobRun, now_ms: float) -> bool:
        left_ms = run.deadline_ms - now_ms
        slack_ms = self.slack_ms(run, now_ms)
        if slack_ms < -left_ms * _INFEASIBLE_SHARE:
            return False
        return slack_ms < max(left_ms * _URGENT_SHARE, _URGENT_MS)

    def _record_start(self, run: JobRun, item: Item, share_of: ShareOf) -> None:
        self._charge_member(run.record.member, share_of)
        upstream = self._upstreams.setdefault(item.upstream_id, _Upstream())
        upstream.in_flight += 1
        upstream.suspects += item.isolation is not Isolation.NONE
        if item.isolation is Isolation.FULL:
            upstream.isolated = True
            upstream.reserved = False
        self.in_flight += 1

    def _charge_member(self, member: str, share_of: ShareOf) -> None:
        """Charge one item to ``member``; a new member starts at the lowest use of the others."""
        present = {run.record.member for run in self._runs.values() if run.record is not None}
        others = [
            self._used_by_member.get(name, 0.0) for name in present if name in self._used_by_member
        ]
        start = self._used_by_member.get(member, min(others, default=0.0))
        self._used_by_member = {
            name: used for name, used in self._used_by_member.items() if name in present
        }
        self._used_by_member[member] = start + 1.0 / max(share_of(member), 1e-9)
