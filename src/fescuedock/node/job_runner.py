"""Runs the items of the jobs that this node owns and commits their results to the store."""

import random
from collections.abc import Callable, Collection, Iterator, Mapping
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio
from result import Err, Ok

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import Grant, PermitClient
from fescuedock.agent.send_check import send_check
from fescuedock.clock import now_ms
from fescuedock.core.forwarding.route_table import Route
from fescuedock.core.quarantine import Restriction
from fescuedock.core.rendezvous import choose_name
from fescuedock.core.send_gate import SendRefusal
from fescuedock.core.stored_jobs.cache import JobCache
from fescuedock.core.stored_jobs.job import ItemEnd, ItemRun, StoredJob
from fescuedock.core.stored_jobs.job_ages import JobAges
from fescuedock.core.stored_jobs.ownership import (
    IDLE_OWNER_GRACE_MS,
    Duty,
    MissingOwners,
    OwnerIdentity,
    duty_of,
    is_open,
)
from fescuedock.core.stored_jobs.pending_ends import PendingEnds
from fescuedock.core.stored_jobs.pool import ItemPool, UpstreamVersions
from fescuedock.core.stored_jobs.urgency import ItemChoice
from fescuedock.core.stored_jobs.work_gate import RecordFreshness, WorkRefusal, refusal_of
from fescuedock.core.work_identity import part_identities
from fescuedock.errors import log_internal_error, run_contained
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.net.http_client import HttpClient, SendCheck
from fescuedock.node.configuration import NodeConfiguration
from fescuedock.node.item_permits import ItemPermitRequester
from fescuedock.node.item_run import StartState, run_item
from fescuedock.node.job_store import JobStore, LoadedJob, VersionedRecord, decode_record
from fescuedock.node.replicas import CallNeighbour, Replicas
from fescuedock.platform import calls
from fescuedock.report.metrics import Metrics
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import NodeSettings
from fescuedock.schema.stored_jobs import (
    JobAgesReply,
    JobAgesRequest,
    ResultGroup,
    StoredItem,
    StoredJobRecord,
)
from fescuedock.schema.view import Program, UpstreamRecord

if TYPE_CHECKING:
    from fescuedock.core.stored_jobs.holds import HeldItem, HeldItems
    from fescuedock.core.stored_jobs.restricted import RestrictedItems
    from fescuedock.node.answer_ends import AnswerEnds
    from fescuedock.node.item_isolation import IsolatedItem, IsolatedRuns

__all__ = ["JobRunner"]

# Interval at which waiting items are polled when no event wakes the requester earlier.
_IDLE_POLL_S = 0.25
# The same while this node runs no job.
_NO_JOBS_POLL_S = 2.0
_RECONCILE_INTERVAL_S = 0.5
# Interval at which it is determined what items wait for.
_HELD_INTERVAL_MS = 1000.0
# A route missing from the configuration for this long counts as removed, and the remaining items
# of its jobs are abandoned.
_ROUTE_REMOVED_AFTER_MS = 2500.0
# Added to the time after which items may be given up: a client may learn of the acceptance this
# much later than the first node.
_GIVE_UP_MARGIN_MS = 6000.0
_COMMIT_SHUTDOWN_MS = 1500.0
# Logged in place of an infinite age.
_MAX_LOGGED_AGE_MS = 1e9
# A job without a refusal, or with one of these, is started; its items may have to wait.
_STARTABLE_REFUSALS = (None, WorkRefusal.UNCONFIRMED, WorkRefusal.END_PENDING)
# Result codes of runs that settle an attempt of an item.  Interrupted runs continue elsewhere and
# are not counted.
_ITEM_CODES = {
    ItemEnd.COMPLETED: ResultCode.OK,
    ItemEnd.FAILED: ResultCode.UPSTREAM_ERROR,
    ItemEnd.IMPOSSIBLE: ResultCode.ITEM_IMPOSSIBLE,
}


class OwnedJob(msgspec.Struct, eq=False):
    """A job that this node runs: its item state, its stored record, and the commit trigger."""

    run: StoredJob
    versioned: VersionedRecord
    # Limit of the results of one commit.
    group_bytes: int
    # Held during each commit: two writes in progress would list results at the same position.
    committing: trio.Lock = msgspec.field(default_factory=trio.Lock)
    # Set when this node must stop running the job; its current runs are cancelled.
    released: trio.Event = msgspec.field(default_factory=trio.Event)
    changed: trio.Event = msgspec.field(default_factory=trio.Event)
    started_ms: float = msgspec.field(default_factory=now_ms)
    # When results were first seen to wait since the last commit.
    uncommitted_ms: float | None = None
    route_seen_ms: float = msgspec.field(default_factory=now_ms)
    saved_ms: float = msgspec.field(default_factory=now_ms)

    @property
    def stopped(self) -> bool:
        return self.released.is_set()

    def wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def set_submitted(self, submitted_ms: float) -> None:
        """Set the times of the job by the time of its submission."""
        self.run.due_ms = submitted_ms + self.run.record.due_in_ms
        self.run.give_up_ms = _give_up_ms(self.run.record, submitted_ms)

    def uncommitted_since_ms(self) -> float:
        """Return since when results have waited, as of the first call after the last commit."""
        self.uncommitted_ms = now_ms() if self.uncommitted_ms is None else self.uncommitted_ms
        return self.uncommitted_ms


class JobRunner:
    """Runs jobs from their acceptance or claim until their last commit."""

    def __init__(
        self,
        settings: NodeSettings,
        store: JobStore,
        cache: JobCache,
        replicas: Replicas,
        configuration: NodeConfiguration,
        view: FleetView,
        permits: PermitClient,
        http: HttpClient,
        owner: OwnerIdentity,
        call_neighbour: CallNeighbour,
        neighbours: Callable[[], Collection[Address]],
        rng: random.Random,
        metrics: Metrics,
        wanted_ends: PendingEnds,
    ) -> None:
        self._settings = settings
        self._store = store
        self._cache = cache
        self._replicas = replicas
        self._table = replicas.tables[store.keys.live]
        self._configuration = configuration
        self._view = view
        self._permits = permits
        self._http = http
        self._ends: AnswerEnds | None = None
        self._owner = owner
        self._call_neighbour = call_neighbour
        self._neighbours = neighbours
        self._ages = JobAges()
        self._rng = rng
        self._metrics = metrics
        self._wanted_ends = wanted_ends
        self._jobs: dict[str, OwnedJob] = {}
        self._claiming: set[str] = set()
        self._missing_owners = MissingOwners()
        # Owners that are present and run no jobs.
        self._idle_owners = MissingOwners(IDLE_OWNER_GRACE_MS)
        self._pool = ItemPool(
            self._running_jobs,
            self._serves,
            lambda run: view.verdict_on(run.work_id, run.parts, owed=True).restriction,
            lambda: view.quarantine.is_empty,
            self._priority,
        )
        self._permit_requester = ItemPermitRequester(
            settings,
            view,
            permits,
            rng,
            self._count_waiting,
            self._choose,
            self._run_next_item,
            self._choose_overdue,
            lambda: self._pool.any_overdue(now_ms()),
            self._priority,
        )
        # None before the first upstream crash.
        self._restricted_items: RestrictedItems | None = None
        self._isolated_runs: IsolatedRuns | None = None
        # None before the first job.
        self._held_items: HeldItems | None = None
        # Time of the last check of what items wait for.
        self._held_checked_ms = float("-inf")
        # Since when open jobs have not run at any node, as far as this node knows.
        self._unowned_since_ms: dict[str, float] = {}
        # By key, the revision of a job's record that cannot be read.
        self._unreadable_records: dict[str, int] = {}
        # Whether any job waits until its record is confirmed again.
        self._any_unconfirmed = False
        self._nursery: trio.Nursery | None = None
        self.leaving = False

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Return the handlers by message type, to be merged with those of other services."""
        return {JobAgesRequest: self._on_ages_request}

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._reconcile_forever)
            nursery.start_soon(self._learn_ages)
            nursery.start_soon(self._run_isolated)
            await self._permit_requester.run(self._next_poll_s)

    def accept(self, stored: VersionedRecord, items: list[StoredItem]) -> None:
        """Cache a job that was just stored, and start it if it is new and owned by this node."""
        record = stored.record
        self._cache.open(record).set_items(items)
        self._cache.trim()
        self._record_write(stored)
        if record.job_id not in self._jobs and self._owner.owns(record) and not record.listed:
            self._start(stored, LoadedJob(items, [], []), "submitted")

    def listed_count(self, job_id: str) -> int | None:
        """Return how many listed results of a job are known; None if it does not run here."""
        job = self._jobs.get(job_id)
        return None if job is None or job.stopped else job.versioned.record.listed

    async def leave(self) -> None:
        """Start no further item, and transfer all jobs to other nodes."""
        self.leaving = True
        jobs = list(self._jobs.values())
        async with trio.open_nursery() as nursery:
            for job in jobs:
                nursery.start_soon(self._transfer_contained, job)

    # --- ownership of jobs -----------------------------------------------------------------------

    async def _reconcile_forever(self) -> None:
        while True:
            seen = self._replicas.version
            self._reconcile()
            with trio.move_on_after(_RECONCILE_INTERVAL_S):
                await self._replicas.wait_changed(seen)

    async def _learn_ages(self) -> None:
        """Learn once, with the first records, how old other nodes know their jobs to be."""
        while not self._table.is_known:
            await self._replicas.wait_changed(self._replicas.version)
        # Imported after the start-up.
        from fescuedock.node.job_ages import learn_ages

        await learn_ages(self._ages, self._call_neighbour, self._neighbours)

    async def _on_ages_request(self, _message: JobAgesRequest, _peer: ServerPeer) -> JobAgesReply:
        return JobAgesReply(self._ages.ages_ms(now_ms()))

    def _reconcile(self) -> None:
        available_nodes = {vm.vm_id for vm in self._view.live_vms(Program.BATCH)}
        if self.claims_jobs:
            available_nodes.add(self._owner.node_id)
        else:
            available_nodes.discard(self._owner.node_id)
        present = {*self._view.vms, self._owner.node_id}
        self._missing_owners.record_present(present, now_ms())
        store_unreachable = self._replicas.kv_availability.is_unavailable(now_ms())
        # While the store answers nobody, no owner is idle by a fault of its own.
        active = present if store_unreachable else available_nodes
        self._idle_owners.record_present(active, now_ms())
        for job in list(self._jobs.values()):
            self._drop_if_refused(job)
        found = self._readable_records()
        self._ages.observe_all((stored.record for stored in found), now_ms())
        for job in self._jobs.values():
            # Other nodes may have known the job for longer than this one.
            job.set_submitted(self._ages.observe(job.run.record, now_ms()))
        for stored in found:
            self._claim_if_due(stored, available_nodes, present)
        self._log_unconfirmed()
        self._log_restricted()
        self._log_held([stored.record for stored in found], present)
        if available_nodes and not store_unreachable and not self._runs_jobs and not self.leaving:
            self._transfer_all()

    def _readable_records(self) -> list[VersionedRecord]:
        """Return the records of all jobs; log once why one cannot be read."""
        found: list[VersionedRecord] = []
        unreadable: dict[str, int] = {}
        for key, entry in self._table.entries.items():
            if not key.startswith(self._store.keys.records):
                continue
            match decode_record(entry):
                case Ok(versioned):
                    found.append(versioned)
                case Err(fault):
                    unreadable[key] = entry.mod_revision
                    if self._unreadable_records.get(key) != entry.mod_revision:
                        log_event(
                            "job_unreadable", key=key, code=fault.code.name, reason=fault.message
                        )
        self._unreadable_records = unreadable
        return found

    @property
    def _runs_jobs(self) -> bool:
        """Whether this node runs jobs.  Without an owner that answers, no item can start here."""
        return not self.leaving and not self._permits.no_owner_answers

    @property
    def claims_jobs(self) -> bool:
        """Whether this node claims jobs, and counts as the owner of those that it has.

        Without a path to the key-value service it can neither claim a job nor commit a result.
        """
        return self._runs_jobs and not self._store.path_lost

    def _transfer_all(self) -> None:
        """Transfer all jobs to nodes whose permit requests are answered by upstream owners."""
        for job in self._jobs.values():
            if not job.stopped and job.run.job_id not in self._claiming:
                log_event(
                    "job_given_away",
                    job_id=job.run.job_id,
                    reason="no upstream owner answers permit requests",
                )
                self._nursery.start_soon(self._transfer_contained, job)

    def _claim_if_due(
        self, found: VersionedRecord, available_nodes: set[str], present: set[str]
    ) -> None:
        record = found.record
        if record.job_id in self._jobs or not is_open(record):
            return
        gone = self._missing_owners.is_gone(
            record.owner_id, present, now_ms()
        ) or self._idle_owners.is_gone(record.owner_id, available_nodes, now_ms())
        duty = duty_of(
            record, self._owner, available_nodes, owner_gone=gone, leaving=not self._runs_jobs
        )
        if duty is not Duty.NONE and record.job_id not in self._claiming:
            self._claiming.add(record.job_id)
            self._nursery.start_soon(
                partial(run_contained, "job", self._claim, found, duty, job_id=record.job_id)
            )

    def _drop_if_refused(self, job: OwnedJob) -> None:
        refusal = self._refusal(job.run.job_id)
        # A job whose results are all listed is removed by its last commit, which also logs it.
        if refusal is not None and refusal.is_final and refusal is not WorkRefusal.LISTED:
            self._drop(job, refusal.value)

    def _log_unconfirmed(self) -> None:
        """Log when jobs start or stop waiting for confirmation of their records."""
        known = self._known_records()
        refusals = [self._refusal(job_id, known) for job_id in self._jobs]
        unconfirmed = refusals.count(WorkRefusal.UNCONFIRMED)
        if bool(unconfirmed) == self._any_unconfirmed:
            return
        self._any_unconfirmed = bool(unconfirmed)
        log_event(
            "work_held" if unconfirmed else "work_goes_on",
            jobs=unconfirmed,
            records_age_ms=self._records_age_ms(),
        )

    @property
    def restricted_count(self) -> int:
        """Number of items that may run only in isolation, now or after a pause."""
        return len(self._restricted_items or ())

    def _log_restricted(self) -> None:
        """Log the items that wait for an isolated run, again after each further crash."""
        if self._view.quarantine.is_empty and not self._restricted_items:
            return
        # Imported after the first crash, to keep it off the start-up path.
        from fescuedock.core.stored_jobs.restricted import RestrictedItem, RestrictedItems

        found: list[RestrictedItem] = []
        if not self._view.quarantine.is_empty:
            for job in self._jobs.values():
                for run in job.run.open_items():
                    verdict = self._view.verdict_on(run.work_id, run.parts, owed=True)
                    if verdict.restriction is not Restriction.FREE:
                        found.append(RestrictedItem(job.run.job_id, run.item.item_id, verdict))
        self._restricted_items = self._restricted_items or RestrictedItems()
        for item in self._restricted_items.update(found):
            log_event(
                "item_restricted",
                job_id=item.job_id,
                item_id=item.item_id,
                trait=item.verdict.trait,
                restriction=item.verdict.restriction.name,
                crashes=item.verdict.crashes,
                retry_after_ms=round(item.verdict.retry_after_ms),
            )

    @property
    def held_counts(self) -> dict[str, int]:
        """Number of items without a listed result, by what they wait for."""
        held = self._held_items
        return {} if held is None else {hold.name: count for hold, count in held.counts.items()}

    @property
    def longest_holds_ms(self) -> dict[str, float]:
        """Longest time since an item last ran, by what it waits for now."""
        held = self._held_items
        return {} if held is None else {hold.name: ms for hold, ms in held.longest_ms.items()}

    def _log_held(self, records: list[StoredJobRecord], present: set[str]) -> None:
        """Log which items have not run for long, what they wait for and what ends that."""
        if now_ms() - self._held_checked_ms < _HELD_INTERVAL_MS:
            return
        self._held_checked_ms = now_ms()
        unowned = self._unowned_jobs(records, present)
        if not self._jobs and not unowned and not self.held_counts:
            return
        # Imported with the first job, to keep it off the start-up path.
        from fescuedock.core.stored_jobs.holds import HeldItems

        self._held_items = self._held_items or HeldItems()
        items = [*self._held_unowned_jobs(unowned), *self._held_in_owned_jobs()]
        for group in self._held_items.update(items, now_ms()):
            ends_in_ms = min(group.item.ends_in_ms, _MAX_LOGGED_AGE_MS)
            log_event(
                "items_held",
                job_id=group.item.job_id,
                item_id=group.item.item_id,
                items=group.count,
                hold=group.item.hold.name,
                ends_with=group.item.hold.value,
                ends_in_ms=round(ends_in_ms),
                reason=group.item.reason,
                held_ms=round(group.held_ms),
                waited_ms=round(group.waited_ms),
            )

    def _held_in_owned_jobs(self) -> "Iterator[HeldItem]":
        from fescuedock.core.stored_jobs.holds import HeldItem, Hold, hold_of

        known = self._known_records()
        services = {item.service for item in self._view.upstreams.values() if not item.leaving}
        for job in self._jobs.values():
            job_id, record = job.run.job_id, job.run.record
            refusal = WorkRefusal.LEAVING if job.stopped else self._refusal(job_id, known)
            has_upstream = any(self._serves(record, service) for service in services)
            for run in job.run.open_items():
                yield hold_of(
                    job_id,
                    run,
                    job.started_ms,
                    now_ms(),
                    refusal=refusal,
                    verdict=self._view.verdict_on(run.work_id, run.parts, owed=True),
                    has_upstream=has_upstream,
                )
            if job.run.has_results:
                count = record.total - job.run.listed_count - len(job.run.open_items())
                yield HeldItem(job_id, "", Hold.COMMIT, job.uncommitted_since_ms(), count=count)

    def _held_unowned_jobs(self, unowned: "list[StoredJobRecord]") -> "Iterator[HeldItem]":
        from fescuedock.core.stored_jobs.holds import HeldItem, Hold

        for record in unowned:
            hold = Hold.LOAD if record.job_id in self._claiming else Hold.OWNER
            since_ms = self._unowned_since_ms[record.job_id]
            count = record.total - record.listed
            reason = f"owner {record.owner_id!r}"
            yield HeldItem(record.job_id, "", hold, since_ms, reason, count=count)

    def _unowned_jobs(
        self, records: list[StoredJobRecord], present: set[str]
    ) -> list[StoredJobRecord]:
        """Return the open jobs that run at no present node; one node of all reports each."""
        own_id = self._owner.node_id
        found = [
            record
            for record in records
            if is_open(record)
            and record.job_id not in self._jobs
            and (record.owner_id == own_id or record.owner_id not in present)
        ]
        since_ms = self._unowned_since_ms
        self._unowned_since_ms = {
            record.job_id: since_ms.get(record.job_id, now_ms()) for record in found
        }
        return [
            record
            for record in found
            if record.owner_id == own_id or choose_name(record.job_id, present) == own_id
        ]

    async def _claim(self, found: VersionedRecord, duty: Duty) -> None:
        try:
            claimed = await (
                self._confirm_ownership(found) if duty is Duty.RUN else self._take_over(found)
            )
            if claimed is None:
                return
            loaded = await self._store.load(claimed.record)
            if isinstance(loaded, Err):
                log_event(
                    "job_not_loaded",
                    job_id=claimed.record.job_id,
                    code=loaded.err_value.code.name,
                    reason=loaded.err_value.message,
                )
                return
            if claimed.record.job_id in self._jobs:
                return
            self._start(claimed, loaded.ok_value, duty.value)
        finally:
            self._claiming.discard(found.record.job_id)

    async def _confirm_ownership(self, found: VersionedRecord) -> VersionedRecord | None:
        """Reread the record of a job that names this node as owner but does not run here.

        Return None unless the current record is open and still names this node.
        """
        versioned = await self._reread_record(found.record.job_id)
        if versioned is None:
            return None
        record = versioned.record
        return versioned if self._owner.owns(record) and is_open(record) else None

    async def _reread_record(self, job_id: str) -> VersionedRecord | None:
        """Read a record and update the replica; None when it cannot be read or does not exist."""
        current = await self._store.read_record(job_id)
        versioned = current.ok_value if isinstance(current, Ok) else None
        if versioned is not None:
            self._record_write(versioned)
        return versioned

    async def _take_over(self, found: VersionedRecord) -> VersionedRecord | None:
        updated = msgspec.structs.replace(
            self._ages.with_age(found.record, now_ms()),
            owner_id=self._owner.node_id,
            owner_boot=self._owner.boot,
            epoch=found.record.epoch + 1,
        )
        result = await self._store.swap(updated, found.revision)
        log_event(
            "job_claimed",
            job_id=updated.job_id,
            former_owner=found.record.owner_id,
            epoch=updated.epoch,
            outcome="claimed" if isinstance(result, Ok) else result.err_value.code.name,
        )
        if isinstance(result, Err):
            # If the swap succeeded but its answer was lost, a later update of the replica brings
            # the record.
            return None
        self._record_write(result.ok_value)
        return result.ok_value

    def _start(self, stored: VersionedRecord, loaded: LoadedJob, trigger: str) -> None:
        record = stored.record
        refusal = self._refusal(record.job_id)
        if refusal not in _STARTABLE_REFUSALS:
            log_event("job_not_started", job_id=record.job_id, way=trigger, reason=refusal.value)
            return
        log_event(
            "job_started",
            job_id=record.job_id,
            way=trigger,
            epoch=record.epoch,
            revision=stored.revision,
            listed=record.listed,
            ended=record.ended,
            records_age_ms=self._records_age_ms(),
        )
        cached = self._cache.open(record)
        cached.set_items(loaded.items)
        for group in loaded.groups:
            cached.add(group)
        listed = [result.item_id for result in loaded.results]
        submitted_ms = self._ages.observe(record, now_ms())
        run = StoredJob(
            record,
            loaded.items,
            listed,
            due_ms=submitted_ms + record.due_in_ms,
            give_up_ms=_give_up_ms(record, submitted_ms),
            parts_of=_parts_of,
            max_output_bytes=self._store.max_output_bytes,
        )
        run.resume(loaded.progress)
        group_bytes = min(self._settings.commit_bytes, self._store.max_group_bytes)
        job = OwnedJob(run, stored, group_bytes)
        self._jobs[record.job_id] = job
        self._nursery.start_soon(self._commit_or_drop, job)
        self._permit_requester.wake()

    def _drop(self, job: OwnedJob, reason: str) -> None:
        """Cancel the runs of a job that this node must not run any more."""
        if not self._is_current(job):
            return
        self._forget(job)
        log_event("job_dropped", job_id=job.run.job_id, reason=reason, listed=job.run.listed_count)
        job.released.set()
        job.wake()

    async def _transfer_contained(self, job: OwnedJob) -> None:
        await run_contained("job", self._transfer, job, job_id=job.run.job_id)

    async def _transfer(self, job: OwnedJob) -> None:
        """Commit finished results and clear the owner, so that another node claims the job at once.

        The progress of unfinished items is stored with the record.
        """
        job.released.set()
        job.wake()
        with trio.move_on_after(_COMMIT_SHUTDOWN_MS / 1000):
            async with job.committing:
                while job.run.has_results and self._is_current(job):
                    if not await self._commit(job):
                        return
                if self._is_current(job):
                    await self._release(job)
        self._forget(job)

    async def _release(self, job: OwnedJob) -> None:
        """Clear the owner in a job's record, and store the progress of its unfinished items."""
        record = self._ages.with_age(job.versioned.record, now_ms())
        record = msgspec.structs.replace(record, owner_id="", owner_boot=0)
        progress = job.run.progress()
        result = await self._store.swap(record, job.versioned.revision, progress)
        log_event(
            "job_handed_on",
            job_id=record.job_id,
            begun_items=len(progress),
            outcome="done" if isinstance(result, Ok) else result.err_value.code.name,
        )
        if isinstance(result, Ok):
            self._record_write(result.ok_value)

    def _is_current(self, job: OwnedJob) -> bool:
        """Whether ``job`` runs here and was not replaced by a later start of the same job."""
        return self._jobs.get(job.run.job_id) is job

    def _forget(self, job: OwnedJob) -> None:
        if self._is_current(job):
            del self._jobs[job.run.job_id]

    # --- commits ---------------------------------------------------------------------------------

    async def _commit_or_drop(self, job: OwnedJob) -> None:
        """Commit a job's results; after an unexpected exception, drop the job to load it again."""
        if not await run_contained("job", self._commit_forever, job, job_id=job.run.job_id):
            self._drop(job, "an unexpected exception")

    async def _commit_forever(self, job: OwnedJob) -> None:
        """Commit results as they arrive, at most once per interval except for the last ones."""
        interval_s = self._settings.commit_interval_ms / 1000
        while not job.stopped:
            if not job.run.has_results:
                with trio.move_on_after(interval_s):
                    await job.changed.wait()
                self._abandon_items(job)
                await self._save_progress(job)
                continue
            if not job.run.all_items_ended:
                with trio.move_on_after(interval_s):
                    while not job.run.all_items_ended and not job.stopped:
                        await job.changed.wait()
            async with job.committing:
                if job.stopped or not await self._commit(job):
                    return
            if job.run.is_finished:
                self._forget(job)
                log_event("job_finished", job_id=job.run.job_id, total=job.run.listed_count)
                return

    async def _save_progress(self, job: OwnedJob) -> None:
        """Store the progress of unfinished items now and then, to lose little if the node fails."""
        due_ms = job.saved_ms + self._settings.progress_interval_ms
        if now_ms() < due_ms or job.run.unsaved_events() < self._settings.progress_events:
            return
        job.saved_ms = now_ms()
        progress = job.run.progress()
        job.run.record_saved()
        result = await self._store.save_progress(job.versioned, progress)
        if isinstance(result, Err):
            if result.err_value.code is ResultCode.KV_CONFLICT:
                # The record has changed, perhaps so that the job must not run any more.
                await self._reread_record(job.run.job_id)
            log_event(
                "progress_not_saved",
                job_id=job.run.job_id,
                code=result.err_value.code.name,
                reason=result.err_value.message,
            )

    def _abandon_items(self, job: OwnedJob) -> None:
        """Give up items whose retention is over, and all items if their route was removed."""
        record = job.versioned.record
        # Before the first configuration every route is missing, but none counts as removed.
        if not self._configuration.is_known or self._route_of(record) is not None:
            job.route_seen_ms = now_ms()
        # A configuration older than the route lacks it as well, and giving up an item is final:
        # only the time up to which the configuration is known to be current counts.
        route_gone = self._configuration.as_of_ms - job.route_seen_ms > _ROUTE_REMOVED_AFTER_MS
        count = job.run.abandon() if route_gone else job.run.give_up(now_ms())
        if count:
            reason = "its route was removed" if route_gone else "its retention is over"
            log_event("items_given_up", job_id=record.job_id, count=count, reason=reason)

    async def _commit(self, job: OwnedJob) -> bool:
        """Commit one group of results; False when this node does not own the job any more."""
        results = job.run.next_group(job.group_bytes)
        record = job.versioned.record
        group = ResultGroup(record.listed, results)
        updated = msgspec.structs.replace(
            self._ages.with_age(record, now_ms()), listed=record.listed + len(results)
        )
        started_ms = now_ms()
        result = await self._store.commit(updated, job.versioned.revision, group)
        log_event(
            "job_committed",
            job_id=record.job_id,
            first_position=group.first_position,
            results=len(results),
            outcome="done" if isinstance(result, Ok) else result.err_value.code.name,
            took_ms=round(now_ms() - started_ms, 1),
        )
        if isinstance(result, Err) and result.err_value.code is ResultCode.KV_VALUE_TOO_LARGE:
            self._shrink_group(job)
            return True
        if isinstance(result, Err):
            self._drop(job, "its record was changed by another node or by its client")
            return False
        job.versioned = result.ok_value
        job.uncommitted_ms = None
        job.run.record_commit()
        self._cache.open(record).add(group)
        self._cache.trim()
        self._record_write(result.ok_value)
        return True

    def _shrink_group(self, job: OwnedJob) -> None:
        """Commit half as many bytes at a time from now on; give up a result that is too large."""
        if job.run.group_count > 1:
            job.group_bytes //= 2
            return
        item_id = job.run.give_up_result()
        log_event(
            "items_given_up", job_id=job.run.job_id, count=1, reason=f"{item_id}: result too large"
        )

    def _revision_of(self, job_id: str) -> int:
        entry = self._table.entries.get(self._store.keys.record(job_id))
        return 0 if entry is None else entry.mod_revision

    def _records_age_ms(self) -> float:
        """Return the age of the job records here: the time since they were certainly current."""
        return round(min(self._table.as_of_age_ms(now_ms()), _MAX_LOGGED_AGE_MS))

    def _record_write(self, stored: VersionedRecord) -> None:
        self._replicas.record_entry(self._store.keys.live, stored.entry(self._store.keys))

    # --- items -----------------------------------------------------------------------------------

    def _running_jobs(self) -> Iterator[StoredJob]:
        """Yield the jobs of which an item may start now; every started item belongs to one."""
        known = self._known_records()
        return (
            job.run
            for job in self._jobs.values()
            if not job.stopped and self._refusal(job.run.job_id, known) is None
        )

    def _refusal(self, job_id: str, known: RecordFreshness | None = None) -> WorkRefusal | None:
        """Return why no item of a job may start here now, or None when one may.

        Judged by the newest known record, not by the one the job was started with: the end of the
        job may have reached this node earlier, by another path.
        """
        entry = self._table.entries.get(self._store.keys.record(job_id))
        decoded = None if entry is None else decode_record(entry)
        return refusal_of(
            decoded.ok_value.record if isinstance(decoded, Ok) else None,
            self._owner,
            known or self._known_records(),
            end_bound_ms=self._settings.end_bound_ms,
            leaving=self.leaving,
            end_pending=job_id in self._wanted_ends,
        )

    def _known_records(self) -> RecordFreshness:
        store_unreachable = self._replicas.kv_availability.is_unavailable(now_ms())
        agreed_age_ms = float("inf")
        if store_unreachable:
            agreed_age_ms = self._replicas.agreed_age_ms(self._store.keys.live)
        return RecordFreshness(self._table.as_of_age_ms(now_ms()), store_unreachable, agreed_age_ms)

    def _serves(self, record: StoredJobRecord, service: str) -> bool:
        route = self._route_of(record)
        return route is not None and route.allows(service)

    def _count_waiting(self) -> Mapping[str, int]:
        """Return the number of items that could start now, by service."""
        services = {item.service for item in self._view.upstreams.values()}
        return self._pool.waiting(services, now_ms())

    def _next_poll_s(self) -> float:
        """Return the time until the next pausing item may start again, within bounds."""
        if not self._jobs:
            return _NO_JOBS_POLL_S
        next_ms = self._pool.next_ready_ms(now_ms())
        return min(max(next_ms - now_ms(), 0.0) / 1000, _IDLE_POLL_S)

    def _choose(
        self, upstream: UpstreamRecord, position: int = 0, customer: str = ""
    ) -> ItemChoice | None:
        return self._pool.choose(
            upstream.upstream_id,
            upstream.service,
            now_ms(),
            position,
            customer,
            self._site(upstream),
        )

    def _choose_overdue(self, upstream: UpstreamRecord) -> ItemChoice | None:
        return self._pool.choose_overdue(
            upstream.upstream_id, upstream.service, now_ms(), self._site(upstream)
        )

    def _site(self, upstream: UpstreamRecord) -> UpstreamVersions:
        served = frozenset(
            item.software_version
            for item in self._view.upstreams_of(upstream.service)
            if not item.leaving
        )
        return UpstreamVersions(upstream.software_version, served)

    def _run_next_item(self, upstream_id: str, grant: Grant) -> None:
        """Run the most urgent item under ``grant``, or return the permit when no item is left.

        A permit that was requested for overdue items runs one of those first.
        """
        upstream = self._view.upstreams.get(upstream_id)
        choice = None
        if upstream is not None and grant.is_overdue:
            choice = self._pool.claim_overdue(
                upstream_id, upstream.service, now_ms(), self._site(upstream)
            )
        if upstream is not None and choice is None:
            choice = self._choose(upstream, customer=grant.member)
        if choice is None:
            self._permits.return_unused(grant)
            return
        self._start_run(choice, upstream, grant)

    def _start_run(self, choice: ItemChoice, upstream: UpstreamRecord, grant: Grant) -> None:
        grant.assign_work(choice.run.work_id, choice.run.parts)
        grant.update_work_state(
            choice.stage, choice.slack_ms, choice.left_ms, choice.run.runs_without_output
        )
        self._pool.start(choice.run, now_ms())
        job = self._jobs[choice.job.job_id]
        waited_ms = choice.waited_ms
        self._nursery.start_soon(
            partial(self._run_item, job, choice.run, upstream, grant, waited_ms)
        )

    async def _run_isolated(self) -> None:
        """Run items in isolation, after the first crash of an upstream."""
        while self._view.quarantine.is_empty:
            await self._view.wait_quarantine_changed()
        # Imported after the first crash, to keep it off the start-up path.
        from fescuedock.node.item_isolation import IsolatedRuns

        self._isolated_runs = IsolatedRuns(
            self._view, self._permits, self._next_isolated_item, self._run_isolated_item
        )
        await self._isolated_runs.run()

    def _next_isolated_item(self, service: str) -> "IsolatedItem | None":
        from fescuedock.node.item_isolation import IsolatedItem

        choice = self._pool.choose_isolated(service, now_ms())
        if choice is None:
            return None
        record = choice.job.record
        return IsolatedItem(record.customer or "", self._priority(record))

    def _priority(self, record: StoredJobRecord) -> int:
        """Return the priority of a job's items by the current configuration."""
        routes = self._configuration.routes
        return routes.priority_of(self._route_of(record), record.customer)

    def _run_isolated_item(self, upstream: UpstreamRecord, grant: Grant) -> None:
        """Run the next item that must run in isolation, or return the permit."""
        choice = self._pool.claim_isolated(upstream.service, now_ms())
        if choice is None:
            self._permits.return_unused(grant)
            return
        self._start_run(choice, upstream, grant)

    def _answer_ends(self) -> "AnswerEnds":
        if self._ends is None:
            from fescuedock.node.answer_ends import AnswerEnds

            self._ends = AnswerEnds(self._http, self._view)
        return self._ends

    async def _run_item(
        self,
        job: OwnedJob,
        item: ItemRun,
        upstream: UpstreamRecord,
        grant: Grant,
        waited_ms: float,
    ) -> None:
        record = job.run.record
        revision = self._revision_of(record.job_id)
        start_state = StartState(revision, self._records_age_ms(), waited_ms)
        check = self._item_check(job, upstream, grant)
        first_event = item.last_event
        try:
            end = await run_item(
                self._http,
                self._answer_ends,
                record,
                item,
                upstream,
                grant,
                job.released,
                start_state,
                check,
                lambda: self._view.is_replaced(upstream),
            )
        except Exception as error:
            # Raised here, it would end the process, as again at each node that claims the job.
            end = ItemEnd.INTERRUPTED
            log_internal_error(error, "item", job_id=record.job_id, item_id=item.item.item_id)
        if item.was_refused and grant.isolated and self._isolated_runs is not None:
            self._isolated_runs.record_refusal(upstream.upstream_id)
        ran_ms = now_ms() - item.started_ms
        self._metrics.record_run(
            upstream.service,
            ran_ms,
            with_events=end is ItemEnd.COMPLETED or item.last_event > first_event,
        )
        code = _ITEM_CODES.get(end)
        if code is not None:
            self._metrics.record_item(upstream.service, "", ran_ms, code)
        route = self._route_of(record)
        max_failures = route.max_attempts if route is not None else 1
        self._pool.finish(job.run, item, end, upstream.upstream_id, max_failures, now_ms())
        job.wake()
        self._permit_requester.wake()

    def _item_check(self, job: OwnedJob, upstream: UpstreamRecord, grant: Grant) -> SendCheck:
        """Return the check made right before an item's request is written.

        It repeats the check of the job and adds the one of every request: an item is chosen before
        its connection exists, and a process that was suspended may write the request much later.
        """
        may_send = send_check(self._view, upstream, grant)

        def check() -> WorkRefusal | SendRefusal | None:
            if job.stopped:
                return WorkRefusal.NOT_OWNED
            return self._refusal(job.run.job_id) or may_send()

        return check

    def _route_of(self, record: StoredJobRecord) -> Route | None:
        return self._configuration.routes.find(record.host, record.path)


def _give_up_ms(record: StoredJobRecord, submitted_ms: float) -> float:
    return submitted_ms + record.retention_ms + _GIVE_UP_MARGIN_MS


def _parts_of(item: StoredItem) -> tuple[str, ...]:
    return part_identities(name for name, _ in calls.item_head(item.headers).shared_parts)
