"""The items of all jobs that a node runs: which wait, which runs next, and what was learned.

Pure: the caller passes the time.
"""

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from fescuedock.core.permits.queued import is_overdue
from fescuedock.core.quarantine import Restriction
from fescuedock.core.stored_jobs.job import ItemEnd, ItemRun, StoredJob
from fescuedock.core.stored_jobs.pace import Pace, RunEstimate
from fescuedock.core.stored_jobs.urgency import ItemChoice, rank_items
from fescuedock.schema.permits import BatchStage
from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["ItemPool", "Site"]

_FAILED_HERE_MS = 5000.0


class Site(msgspec.Struct, frozen=True):
    """The software version of an upstream, and those that upstreams of its service have now."""

    software_version: str
    served: frozenset[str]


class ItemPool:
    """Chooses among the items of ``jobs``; ``serves`` tells whether a service may run a job's.

    ``standing`` tells how an item may run, ``all_free`` that nothing is known against any.
    Customers take turns, and ``priority`` gives that of a job's items.
    """

    def __init__(
        self,
        jobs: Callable[[], Iterable[StoredJob]],
        serves: Callable[[StoredJobRecord, str], bool],
        standing: Callable[[ItemRun], Restriction] = lambda _run: Restriction.FREE,
        all_free: Callable[[], bool] = lambda: False,
        priority: Callable[[StoredJobRecord], int] = lambda _record: 0,
    ) -> None:
        self._jobs = jobs
        self._serves = serves
        self._standing = standing
        self._all_free = all_free
        self._priority = priority
        self._estimate = RunEstimate()
        self._pace = Pace()
        # In which jobs with overdue items take turns; a job joins the next one.
        self._overdue_round = 0

    def waiting(self, services: Iterable[str], now_ms: float) -> Counter[str]:
        """Count the items that could start now, by the services that may run them."""
        services = list(services)
        counts: Counter[str] = Counter()
        for job in self._jobs():
            ready = self._count_free(job.ready_items(now_ms))
            for service in services:
                if ready and self._serves(job.record, service):
                    counts[service] += ready
        return counts

    def next_ready_ms(self, now_ms: float) -> float:
        """Return when the next item that pauses may start; infinite when none does."""
        return min((job.next_ready_ms(now_ms) for job in self._jobs()), default=float("inf"))

    def choose(
        self,
        upstream_id: str,
        service: str,
        now_ms: float,
        position: int = 0,
        customer: str = "",
        site: Site | None = None,
    ) -> ItemChoice | None:
        """Return the item to run next at an upstream, or one further back in the order.

        One of ``customer``, whose turn it is at the upstream, goes first; None when no item could
        start there.
        """
        choices = self._choices(upstream_id, service, now_ms, site)
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
        """Whether there may be an overdue item; a look at the jobs alone."""
        left_ms = self._estimate.left_ms(0)
        return any(
            is_overdue(BatchStage.LATE, job.due_ms - now_ms - left_ms) for job in self._jobs()
        )

    def choose_overdue(
        self, upstream_id: str, service: str, now_ms: float, site: Site | None = None
    ) -> ItemChoice | None:
        """Return the overdue item whose turn it is, whoever's it is.

        Jobs take turns, so that a large one holds up nobody, the longest overdue first.  An item
        that the upstream has failed counts as due later, so that it is tried elsewhere first.
        """
        overdue = [
            choice
            for choice in self._choices(upstream_id, service, now_ms, site)
            if choice.is_overdue
        ]
        for choice in overdue:
            if choice.job.overdue_round is None:
                choice.job.overdue_round = self._overdue_round + 1

        def turn(choice: ItemChoice) -> tuple[int, float]:
            penalty_ms = _FAILED_HERE_MS if upstream_id in choice.run.avoided else 0.0
            return choice.job.overdue_round, choice.job.due_ms + penalty_ms

        return min(overdue, key=turn, default=None)

    def choose_alone(self, service: str, now_ms: float) -> ItemChoice | None:
        """Return the most urgent item of those that may only run alone.

        Those that gave less by their last runs come after others: what ends upstreams by a part of
        its prompt is known by several works, and what is sound should not wait for it.
        """
        ranked = self._ranked("", service, now_ms)
        choices = (item for item in ranked if self._stands(item.run, Restriction.ALONE))
        return min(choices, key=lambda item: item.run.barren_runs, default=None)

    def _choices(
        self, upstream_id: str, service: str, now_ms: float, site: Site | None
    ) -> list[ItemChoice]:
        """Return the items that may start at an upstream beside others, the next one first."""
        version = None if site is None else site.software_version
        choices = self._ranked(upstream_id, service, now_ms, version)
        if not self._all_free():
            choices = [item for item in choices if self._stands(item.run, Restriction.FREE)]
        return [item for item in choices if site is None or self._may_start(item, site)]

    def _may_start(self, choice: ItemChoice, site: Site) -> bool:
        """Whether an item may start at an upstream, if need be from the beginning.

        An item waits for an upstream of the version that began it as long as what it has took to
        make, so that beginning anew costs it about as much again at the most.
        """
        run = choice.run
        if run.fits(site.software_version) or run.software_version not in site.served:
            return True
        return choice.waited_ms >= self._estimate.made_ms(run.last_event + 1)

    def _ranked(
        self, upstream_id: str, service: str, now_ms: float, version: str | None = None
    ) -> list[ItemChoice]:
        jobs = [job for job in self._jobs() if self._serves(job.record, service)]
        ranked = rank_items(jobs, upstream_id, self._estimate, self._pace, now_ms, version)
        whose = {(job.record.customer, self._priority(job.record)) for job in jobs}
        if len(whose) < 2:
            return ranked
        # Imported when customers compete, which a start need not wait for.
        from fescuedock.core.stored_jobs.customer_turns import running_items, take_turns

        return take_turns(ranked, running_items(self._jobs()), self._priority, upstream_id)

    def _count_free(self, runs: list[ItemRun]) -> int:
        if self._all_free():
            return len(runs)
        return sum(self._stands(run, Restriction.FREE) for run in runs)

    def _stands(self, run: ItemRun, standing: Restriction) -> bool:
        return self._standing(run) is standing

    def take_overdue_turn(
        self, upstream_id: str, service: str, now_ms: float, site: Site | None = None
    ) -> ItemChoice | None:
        """Return ``choose_overdue`` and count it as its job's turn."""
        choice = self.choose_overdue(upstream_id, service, now_ms, site)
        if choice is not None:
            self._overdue_round = choice.job.overdue_round
            choice.job.overdue_round += 1
        return choice

    def start(self, run: ItemRun, now_ms: float) -> None:
        """Note that an item runs, and learn from the time that it had to wait since it last did."""
        if run.ran_ms > 0:
            self._pace.observe(run.ran_ms, now_ms - run.ended_ms)
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
        """Take in how a run ended; an item ends for good after ``limit`` failures."""
        ran_ms = now_ms - run.started_ms
        gained = run.last_event - run.started_event
        if end is ItemEnd.WHOLE and gained > 0:
            self._estimate.observe(run.last_event + 1, ran_ms / gained)
            self._pace.observe(ran_ms, 0.0)
        run.note_end(now_ms)
        job.finish(run, end, upstream_id, limit, now_ms)
