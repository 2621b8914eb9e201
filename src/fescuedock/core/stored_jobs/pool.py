"""Chooses the next item to run among all jobs of a node, and learns run times from finished runs.

Pure: the caller passes the time.
"""

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from fescuedock.core.permits.queued import is_overdue
from fescuedock.core.quarantine import Restriction
from fescuedock.core.stored_jobs.job import ItemEnd, ItemRun, StoredJob
from fescuedock.core.stored_jobs.run_estimates import RunEstimate, RunShare
from fescuedock.core.stored_jobs.urgency import ItemChoice, rank_items
from fescuedock.schema.permits import BatchStage
from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["ItemPool", "UpstreamVersions"]

_FAILED_UPSTREAM_PENALTY_MS = 5000.0
# One in this many isolated runs goes to the item that has waited longest.
_ISOLATED_TURN_INTERVAL = 4


class UpstreamVersions(msgspec.Struct, frozen=True):
    """The software version of an upstream, and all versions that its service is running."""

    software_version: str
    served: frozenset[str]


class ItemPool:
    """Chooses among the items of ``jobs``, fairly by customer.

    ``serves`` returns whether a service may run a job's items, ``restriction`` how an item may run,
    ``none_restricted`` whether all items are unrestricted, and ``priority`` the priority of a job's
    items.
    """

    def __init__(
        self,
        jobs: Callable[[], Iterable[StoredJob]],
        serves: Callable[[StoredJobRecord, str], bool],
        restriction: Callable[[ItemRun], Restriction] = lambda _run: Restriction.FREE,
        none_restricted: Callable[[], bool] = lambda: False,
        priority: Callable[[StoredJobRecord], int] = lambda _record: 0,
    ) -> None:
        self._jobs = jobs
        self._serves = serves
        self._restriction = restriction
        self._none_restricted = none_restricted
        self._priority = priority
        self._estimate = RunEstimate()
        self._run_share = RunShare()
        # Current round-robin round of the jobs with overdue items; a new job joins the next round.
        self._overdue_round = 0
        # Number of items that ``claim_isolated`` returned.
        self._isolated_claims = 0

    def waiting(self, services: Iterable[str], now_ms: float) -> Counter[str]:
        """Return the number of items that could start now, by the services that may run them."""
        services = list(services)
        counts: Counter[str] = Counter()
        for job in self._jobs():
            ready = self._count_free(job.ready_items(now_ms))
            for service in services:
                if ready and self._serves(job.record, service):
                    counts[service] += ready
        return counts

    def next_ready_ms(self, now_ms: float) -> float:
        """Return when the next pausing item may start; infinity when no item is pausing."""
        return min((job.next_ready_ms(now_ms) for job in self._jobs()), default=float("inf"))

    def choose(
        self,
        upstream_id: str,
        service: str,
        now_ms: float,
        position: int = 0,
        customer: str = "",
        versions: UpstreamVersions | None = None,
    ) -> ItemChoice | None:
        """Return the item to run at an upstream: the one at ``position`` of the order, or the last.

        Items of ``customer``, to whose share the permit belongs, take precedence unless the
        upstream has failed them.  Return None when no item could start there.
        """
        choices = self._choices(upstream_id, service, now_ms, versions)
        if not choices:
            return None
        if customer:
            own = [
                item
                for item in choices
                if item.job.record.customer == customer and upstream_id not in item.run.avoided
            ]
            choices = own or choices
        return choices[min(position, len(choices) - 1)]

    def any_overdue(self, now_ms: float) -> bool:
        """Whether there may be an overdue item; checks only the due times of the jobs."""
        left_ms = self._estimate.left_ms(0)
        return any(
            is_overdue(BatchStage.LATE, job.due_ms - now_ms - left_ms) for job in self._jobs()
        )

    def choose_overdue(
        self,
        upstream_id: str,
        service: str,
        now_ms: float,
        versions: UpstreamVersions | None = None,
    ) -> ItemChoice | None:
        """Return the next overdue item, regardless of its customer.

        Jobs are served round-robin, the longest overdue first, so that a large job does not block
        others.  An item that the upstream has failed is ranked as due later, so that it is tried
        elsewhere first.
        """
        overdue = [
            choice
            for choice in self._choices(upstream_id, service, now_ms, versions)
            if choice.is_overdue
        ]
        for choice in overdue:
            if choice.job.overdue_round is None:
                choice.job.overdue_round = self._overdue_round + 1

        def order_key(choice: ItemChoice) -> tuple[int, float]:
            penalty_ms = _FAILED_UPSTREAM_PENALTY_MS if upstream_id in choice.run.avoided else 0.0
            return choice.job.overdue_round, choice.job.due_ms + penalty_ms

        return min(overdue, key=order_key, default=None)

    def choose_isolated(self, service: str, now_ms: float) -> ItemChoice | None:
        """Return the most urgent item of those that may only run in isolation.

        Items with more runs without output come later: harmful prompt parts crash the upstreams of
        several units of work, and sound items should not wait behind those.  One in
        ``_ISOLATED_TURN_INTERVAL`` is the one that has waited longest.
        """
        ranked = self._ranked("", service, now_ms)
        choices = (item for item in ranked if self._has_restriction(item.run, Restriction.ALONE))
        if self._isolated_claims % _ISOLATED_TURN_INTERVAL == _ISOLATED_TURN_INTERVAL - 1:
            return max(choices, key=lambda item: item.waited_ms, default=None)
        return min(choices, key=lambda item: item.run.runs_without_output, default=None)

    def claim_isolated(self, service: str, now_ms: float) -> ItemChoice | None:
        """Return the item of ``choose_isolated`` and count it as run."""
        choice = self.choose_isolated(service, now_ms)
        self._isolated_claims += choice is not None
        return choice

    def _choices(
        self, upstream_id: str, service: str, now_ms: float, versions: UpstreamVersions | None
    ) -> list[ItemChoice]:
        """Return the items that may run concurrently with others at an upstream, next one first."""
        version = None if versions is None else versions.software_version
        choices = self._ranked(upstream_id, service, now_ms, version)
        if not self._none_restricted():
            choices = [
                item for item in choices if self._has_restriction(item.run, Restriction.FREE)
            ]
        return [item for item in choices if versions is None or self._may_start(item, versions)]

    def _may_start(self, choice: ItemChoice, versions: UpstreamVersions) -> bool:
        """Whether an item may start at an upstream, from the beginning if the version differs.

        An item waits for an upstream of its own version for as long as its events so far took to
        generate, so that restarting costs at most about the same time again.
        """
        run = choice.run
        if (
            run.accepts_version(versions.software_version)
            or run.software_version not in versions.served
        ):
            return True
        return choice.waited_ms >= self._estimate.rerun_ms(run.last_event + 1)

    def _ranked(
        self, upstream_id: str, service: str, now_ms: float, version: str | None = None
    ) -> list[ItemChoice]:
        jobs = [job for job in self._jobs() if self._serves(job.record, service)]
        ranked = rank_items(jobs, upstream_id, self._estimate, self._run_share, now_ms, version)
        customer_priorities = {(job.record.customer, self._priority(job.record)) for job in jobs}
        if len(customer_priorities) < 2:
            return ranked
        # Imported only when customers compete, to keep it off the startup path.
        from fescuedock.core.stored_jobs.customer_order import (
            count_running_items,
            interleave_customers,
        )

        return interleave_customers(
            ranked, count_running_items(self._jobs()), self._priority, upstream_id
        )

    def _count_free(self, runs: list[ItemRun]) -> int:
        if self._none_restricted():
            return len(runs)
        return sum(self._has_restriction(run, Restriction.FREE) for run in runs)

    def _has_restriction(self, run: ItemRun, restriction: Restriction) -> bool:
        return self._restriction(run) is restriction

    def claim_overdue(
        self,
        upstream_id: str,
        service: str,
        now_ms: float,
        versions: UpstreamVersions | None = None,
    ) -> ItemChoice | None:
        """Return the item of ``choose_overdue`` and advance its job to the next round."""
        choice = self.choose_overdue(upstream_id, service, now_ms, versions)
        if choice is not None:
            self._overdue_round = choice.job.overdue_round
            choice.job.overdue_round += 1
        return choice

    def start(self, run: ItemRun, now_ms: float) -> None:
        """Record the start of a run, and learn from the item's wait since its last run."""
        if run.ran_ms > 0:
            self._run_share.observe(run.ran_ms, now_ms - run.ended_ms)
        run.start(now_ms)

    def finish(
        self,
        job: StoredJob,
        run: ItemRun,
        end: ItemEnd,
        upstream_id: str,
        limit: int,
        now_ms: float,
    ) -> None:
        """Apply the end of a run; an item ends permanently after ``limit`` failures."""
        ran_ms = now_ms - run.started_ms
        gained = run.last_event - run.started_event
        if end is ItemEnd.COMPLETED and gained > 0:
            self._estimate.observe(run.last_event + 1, ran_ms / gained)
            self._run_share.observe(ran_ms, 0.0)
        run.record_end(now_ms)
        job.finish(run, end, upstream_id, limit, now_ms)
