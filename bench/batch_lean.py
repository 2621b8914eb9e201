"""Run one job through the shipped runner in virtual time with fake platform, stores and upstreams.

The job's state machine, its task, the scheduler and the record's encoding are the shipped ones.
Stores count bytes and discard them, so that the memory measured is that of the runner; upstreams
answer after about a tenth of a second of virtual time.
"""

import itertools
import random
import resource
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import sha256

import msgspec
import trio
import trio.testing
from result import Ok, Result

from fescuedock.batch.context import RunnerContext
from fescuedock.batch.jobs import JobTask
from fescuedock.clock import now_ms, unix_clock
from fescuedock.core.batch.items import AttemptEnd, EndKind
from fescuedock.core.batch.job import JobRun
from fescuedock.core.batch.record import decode_record, encode_record
from fescuedock.core.batch.scheduler import Assignment, ItemScheduler
from fescuedock.core.batch.takeover import RunnerName
from fescuedock.core.job_keys import job_key, open_job_key
from fescuedock.faults import Fault
from fescuedock.report.metrics import Metrics
from fescuedock.schema.batch import JobRecord, JobState, SegmentRef
from fescuedock.schema.settings import BatchSettings, PlatformSettings, VmSettings
from fescuedock.settings import Settings
from tests.builders.kv import MemoryKv

JOB_ID = "batch_bench"
SERVICE = "trip-desk"
ITEM_S = 0.1
UPSTREAMS = 6
LOG_COPIES = 2


@dataclass(frozen=True, slots=True)
class LeanJob:
    """Parameters of the job."""

    items: int
    line_bytes: int
    answer_bytes: int
    settings: BatchSettings


@dataclass(slots=True)
class LeanResult:
    """Costs of the job; byte counts include every copy that the settings require."""

    kv_calls: int = 0
    record_bytes: int = 0
    kv_bytes: int = 0
    segment_bytes: int = 0
    log_bytes: int = 0
    attempts: int = 0
    segments: int = 0
    peak_rss_bytes: int = 0


class CountingKv(MemoryKv):
    """A key-value service that also counts the bytes of the records written."""

    def __init__(self, result: LeanResult) -> None:
        super().__init__()
        self._result = result

    async def put_if(
        self, key: str, value: bytes, expected_revision: int, *, lease_id: int = 0
    ) -> Result[int, Fault]:
        self._result.record_bytes = max(self._result.record_bytes, len(value))
        self._result.kv_bytes += len(value)
        done = await super().put_if(key, value, expected_revision, lease_id=lease_id)
        # Drops the stand-in's history of each key, whose memory is not the runner's.
        self.state._history.clear()
        return done


@dataclass(slots=True)
class DiscardingStores:
    """Discards segments, generates input on demand, and holds the log only with ``retain_log``."""

    job: LeanJob
    result: LeanResult
    retain_log: bool = False
    log: list[bytes] = field(default_factory=list)

    async def put_segment(self, body: bytes, items: int) -> Result[SegmentRef, Fault]:
        await trio.sleep(0.005)
        self.result.segment_bytes += len(body) * self.job.settings.copies
        self.result.segments += 1
        return Ok(SegmentRef(sha256(body).hexdigest(), items, len(body), []))

    async def get_segment(self, ref: SegmentRef) -> Result[bytes, Fault]:
        await trio.sleep(0.005)
        start = int(ref.segment_hash)
        lines = [input_line(start + number, self.job.line_bytes) for number in range(ref.items)]
        return Ok(b"\n".join(lines))

    async def append_log(self, _job_id: str, records: Sequence[bytes]) -> Result[int, Fault]:
        await trio.sleep(0.005)
        self.result.log_bytes += sum(map(len, records)) * LOG_COPIES
        if self.retain_log:
            self.log += records
        return Ok(LOG_COPIES)

    async def read_log(self, _job_id: str, on_records) -> Result[int, Fault]:
        for _copy in range(LOG_COPIES):
            on_records(self.log)
            await trio.sleep(0.005)
        return Ok(LOG_COPIES)

    async def drop_log(self, _job_id: str) -> None:
        self.log.clear()


def input_line(number: int, size_bytes: int) -> bytes:
    """Return one line of the input of about ``size_bytes``."""
    body = {"model": "m", "prompt": "x" * max(size_bytes - 120, 1)}
    line = {"custom_id": f"letter-{number:06d}", "method": "POST", "url": "/v1/completions"}
    return msgspec.json.encode({**line, "body": body})


def _record(job: LeanJob) -> JobRecord:
    step = job.settings.segment_items
    refs = [
        SegmentRef(f"{start:064d}", min(step, job.items - start), step * job.line_bytes, [])
        for start in range(0, job.items, step)
    ]
    return JobRecord(
        job_id=JOB_ID,
        member="gent",
        service=SERVICE,
        endpoint="/v1/completions",
        content_hash="0" * 64,
        state=JobState.RUNNING,
        epoch=0,
        created_at_s=0,
        deadline_s=2**40,
        item_count=job.items,
        input=refs,
    )


@dataclass(slots=True)
class LeanFleet:
    """A key-value service, stores and runners for one job."""

    job: LeanJob
    result: LeanResult = field(default_factory=LeanResult)
    retain_log: bool = False
    stores: DiscardingStores = field(init=False)
    kv: CountingKv = field(init=False)
    runners: int = 0

    def __post_init__(self) -> None:
        self.stores = DiscardingStores(self.job, self.result, self.retain_log)
        self.kv = CountingKv(self.result)

    @property
    def key(self) -> str:
        return job_key(PlatformSettings("127.0.0.1:1", "127.0.0.1:1").key_prefix, JOB_ID)

    async def accept(self) -> None:
        """Write the job's record and its entry in the index."""
        prefix = PlatformSettings("127.0.0.1:1", "127.0.0.1:1").key_prefix
        await self.kv.put_if(self.key, encode_record(_record(self.job)), 0)
        await self.kv.put_if(open_job_key(prefix, JOB_ID), b"", 0)
        self.kv.faults.calls.clear()
        self.result.kv_bytes = 0

    async def run(self, kill_after: int = 0) -> None:
        """Run the job with a new runner; with ``kill_after``, stop it at that total of attempts."""
        self.runners += 1
        context = self._context()
        run = JobRun(JOB_ID, str(context.name), self.job.settings, context.random)
        task = JobTask(context, run)
        context.scheduler.add(run)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._dispatch, context, task, kill_after, nursery)
            await task.run_to_end()
            nursery.cancel_scope.cancel()
        self.result.kv_calls = sum(self.kv.faults.calls.values())
        self.result.peak_rss_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024

    async def _dispatch(
        self, context: RunnerContext, task: JobTask, kill_after: int, nursery: trio.Nursery
    ) -> None:
        """Start every runnable item, as if each permit were granted immediately."""
        answer = msgspec.json.encode({"text": "y" * self.job.answer_bytes})
        for upstream in itertools.cycle(f"u{number}" for number in range(UPSTREAMS)):
            assignment = context.scheduler.claim(SERVICE, upstream, lambda _name: 1.0, now_ms())
            if assignment is None:
                await context.signal.wait(50.0)
                continue
            self.result.attempts += 1
            if self.result.attempts == kill_after:
                nursery.cancel_scope.cancel()
            task.wake()
            nursery.start_soon(self._run_item, context, task, assignment, answer)

    async def _run_item(
        self, context: RunnerContext, task: JobTask, assignment: Assignment, answer: bytes
    ) -> None:
        # Random durations, so that items do not all end at the same time.
        await trio.sleep(ITEM_S * context.random.uniform(0.5, 1.5))
        context.scheduler.on_ended(assignment, now_ms())
        end = AttemptEnd(EndKind.DONE, 200, answer)
        task.run.on_attempt_ended(assignment.item, end, now_ms())
        task.wake()

    def _context(self) -> RunnerContext:
        name = RunnerName("vm-1", str(self.runners))
        vm = VmSettings("vm-1", "127.0.0.1", "r", "d")
        platform = PlatformSettings("127.0.0.1:1", "127.0.0.1:1")
        clock = unix_clock(1000.0)
        return RunnerContext(
            settings=Settings(vm, platform, batch=self.job.settings),
            name=name,
            view=None,
            permits=None,
            stores=self.stores,
            upstreams=None,
            kv=self.kv,
            unix_clock=clock,
            scheduler=ItemScheduler(self.job.settings),
            metrics=Metrics("bench", clock),
            random=random.Random(self.runners),
        )


def run_lean(job: LeanJob) -> LeanResult:
    """Run one job without a fault."""

    async def run() -> LeanResult:
        fleet = LeanFleet(job)
        await fleet.accept()
        await fleet.run()
        entry = (await fleet.kv.get(fleet.key)).unwrap()
        record = decode_record(entry.value)
        assert record.state is JobState.COMPLETED
        assert record.succeeded == job.items
        return fleet.result

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def run_killed(job: LeanJob, kill_after: int) -> int:
    """Kill the runner once, finish with another; return the number of repeated attempts."""

    async def run() -> int:
        fleet = LeanFleet(job, retain_log=True)
        await fleet.accept()
        await fleet.run(kill_after)
        await fleet.run()
        entry = (await fleet.kv.get(fleet.key)).unwrap()
        assert decode_record(entry.value).succeeded == job.items
        return fleet.result.attempts - job.items

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
