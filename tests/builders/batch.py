"""In-memory harness of one batch job: record, stores, and runners with fault injection per call."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import sha256

import msgspec

from fescuedock.core.batch.actions import (
    Action,
    AppendLog,
    CleanUp,
    PutSegment,
    ReadInput,
    ReadLog,
    ReadRecord,
    StopAttempts,
    WriteRecord,
)
from fescuedock.core.batch.items import AttemptEnd, EndKind, Isolation, Item
from fescuedock.core.batch.job import JobRun, Moment
from fescuedock.core.batch.record import (
    cancel_requested,
    decode_record,
    encode_record,
    is_final,
)
from fescuedock.core.segments import item_lines
from fescuedock.schema.batch import JobManifest, JobRecord, JobState, SegmentRef
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings

__all__ = [
    "DONE",
    "HOUR_S",
    "BatchJobHarness",
    "Runner",
    "batch_settings",
    "input_line",
    "job_record",
]

JOB_ID = "batch_1"
DONE = AttemptEnd(EndKind.DONE, 200, b'{"choices":[]}')
HOUR_S = 3600
_LOSS_MODES = ("before", "after", "after", "late")
_FAILED_ENDS = [kind for kind in EndKind if kind is not EndKind.DONE]


def batch_settings(**changes: int) -> BatchSettings:
    """Return settings for jobs of a few items: groups of 3, input segments of 4."""
    small = {"port": 0, "group_items": 3, "group_min_items": 2, "manifest_groups": 2}
    small |= {"segment_items": 4, "mark_items": 2, "item_attempts": 2, "max_items_in_flight": 6}
    return BatchSettings(**(small | changes))


def input_line(number: int) -> bytes:
    """Return the input line of an item."""
    body = {"model": "m", "messages": [{"role": "user", "content": f"item {number}"}]}
    url = "/v1/chat/completions"
    line = {"custom_id": f"c{number}", "method": "POST", "url": url, "body": body}
    return msgspec.json.encode(line)


def job_record(item_count: int, input_refs: list[SegmentRef], **changes: object) -> JobRecord:
    """Return the record of a newly accepted job that is due in an hour."""
    record = JobRecord(
        job_id=JOB_ID,
        member="gent",
        service="trip-desk",
        endpoint="/v1/chat/completions",
        content_hash="",
        state=JobState.RUNNING,
        epoch=0,
        created_at_s=0,
        deadline_s=HOUR_S,
        item_count=item_count,
        input=input_refs,
    )
    return msgspec.structs.replace(record, **changes)


class BatchJobHarness:
    """The record of one job under compare-and-swap, its segments, its log and a test oracle.

    By item, ``committed`` counts the committed result lines and ``sent`` the attempts that may have
    run.  Checks the record at each write that takes effect, and at each start of an item that its
    runner may begin one.
    """

    def __init__(
        self, item_count: int, settings: BatchSettings, non_idempotent: bool = False
    ) -> None:
        self.settings = settings
        self.item_count = item_count
        self.now_ms = 1000.0
        self.segments: dict[str, bytes] = {}
        self.log: list[bytes] = []
        self.kv_down = False
        self.kv_calls = 0
        self.open = True
        self.sent: Counter[int] = Counter()
        self.committed: Counter[int] = Counter()
        self.late_writes: list[Callable[[], object]] = []
        # When the current owner claimed the job, and when the cancel was recorded.
        self.claimed_at_ms = float("inf")
        self.cancelled_at_ms = float("inf")
        lines = [input_line(number) for number in range(item_count)]
        step = settings.segment_items
        chunks = [lines[start : start + step] for start in range(0, item_count, step)]
        refs = [self.put(b"\n".join([*chunk, b""]), len(chunk)) for chunk in chunks]
        self.value = encode_record(job_record(item_count, refs, non_idempotent=non_idempotent))
        self.revision = 1

    @property
    def record(self) -> JobRecord:
        return decode_record(self.value)

    @property
    def moment(self) -> Moment:
        return Moment(self.now_ms, int(self.now_ms // 1000))

    def put(self, body: bytes, items: int) -> SegmentRef:
        """Store a segment."""
        name = sha256(body).hexdigest()
        self.segments[name] = body
        return SegmentRef(name, items, len(body), ["store-1", "store-2"])

    def write(self, record: JobRecord, expected_revision: int) -> int | None:
        """Write the record if it is at ``expected_revision``, and check its invariants."""
        if expected_revision != self.revision:
            return None
        before = self.record
        self.value = encode_record(record)
        self.revision += 1
        if record.epoch > before.epoch:
            self.claimed_at_ms = self.now_ms
        if record.state is JobState.CANCELLING and before.state is JobState.RUNNING:
            self.cancelled_at_ms = self.now_ms
        self._check(before, self.record)
        return self.revision

    def cancel(self) -> None:
        """Record a cancel as an entry does."""
        self.write(cancel_requested(self.record), self.revision)

    def result_lines(self) -> list[dict]:
        """Return every committed line of the output and error files."""
        groups = [
            group
            for ref in self.record.manifests
            for group in msgspec.msgpack.decode(
                self.segments[ref.segment_hash], type=JobManifest
            ).groups
        ]
        groups += self.record.groups
        lines = []
        for group in groups:
            for ref in [*group.outputs, *group.errors]:
                found = item_lines(self.segments[ref.segment_hash])
                assert len(found) == ref.items
                lines += [msgspec.json.decode(line) for line in found]
            assert group.succeeded == sum(ref.items for ref in group.outputs)
            assert group.failed == sum(ref.items for ref in group.errors)
        return lines

    def check_start(self, epoch: int) -> None:
        """Check that an item may begin under ``epoch``, as far as its runner can know.

        Skipped during an outage, as a runner cannot learn of changes just before it.
        """
        if self.kv_down:
            return
        since_cancel_ms = self.now_ms - self.cancelled_at_ms
        assert since_cancel_ms <= self.settings.record_age_ms, "begun after the cancel"
        if epoch != self.record.epoch:
            since_claim_ms = self.now_ms - self.claimed_at_ms
            assert since_claim_ms <= self.settings.record_age_ms, "begun under a lost claim"

    def _check(self, before: JobRecord, after: JobRecord) -> None:
        assert after.epoch >= before.epoch
        assert not is_final(before), "a final record was changed"
        assert after.succeeded >= before.succeeded
        assert after.failed >= before.failed
        lines = self.result_lines()
        committed = Counter(line["item_number"] for line in lines)
        assert max(committed.values(), default=1) == 1, f"committed twice: {committed}"
        assert committed >= self.committed, "a committed item is gone"
        assert all(line["custom_id"] == f"c{line['item_number']}" for line in lines)
        done = {number for start, end in after.done for number in range(start, end)}
        assert done == set(committed)
        assert after.succeeded + after.failed == len(done)
        if after.state is JobState.COMPLETED:
            assert len(done) == self.item_count, "items lost"
        self.committed = committed


@dataclass(eq=False)
class Runner:
    """One incarnation of a runner and its ``JobRun``; actions wait until ``perform`` is called."""

    harness: BatchJobHarness
    name: str
    seed: int = 0
    waiting: list[Action] = field(default_factory=list)
    in_flight: list[Item] = field(default_factory=list)
    # Delayed answers of reads, with the record as of the time of the read.
    held_answers: list[Callable[[], None]] = field(default_factory=list)
    cancel_pushed: bool = False

    def __post_init__(self) -> None:
        rng = random.Random(self.seed)
        # All runners notice an outage at once.
        settings, kv_away = self.harness.settings, lambda: self.harness.kv_down
        self.run = JobRun(JOB_ID, self.name, settings, rng, kv_away)

    def poll(self) -> None:
        """Poll the state machine; execute stops and clean-ups at once and queue other actions."""
        for action in self.run.poll(self.harness.moment):
            match action:
                case StopAttempts():
                    self.stop_attempts()
                case CleanUp():
                    self.harness.open = False
                    self.harness.log.clear()
                case _:
                    self.waiting.append(action)

    def stop_attempts(self) -> None:
        for item in list(self.in_flight):
            self.end(item, AttemptEnd(EndKind.STOPPED))

    def claim(self, upstream_id: str = "u1") -> Item | None:
        """Start one attempt, if the state machine has an item."""
        item = self.run.claim(upstream_id, Isolation.FULL, self.harness.now_ms)
        if item is not None:
            assert not self.cancel_pushed, "begun after a push of the cancel"
            self.harness.check_start(self.run.epoch)
            self.harness.sent[item.number] += 1
            self.in_flight.append(item)
        return item

    def end(self, item: Item, end: AttemptEnd = DONE) -> None:
        """End one attempt."""
        self.in_flight.remove(item)
        if end.kind in (EndKind.NOT_SENT, EndKind.BUSY, EndKind.WITHDRAWN):
            self.harness.sent[item.number] -= 1
        self.run.on_attempt_ended(item, end, self.harness.now_ms)

    def perform(self, action: Action, lost: str = "") -> None:
        """Execute ``action``.

        ``lost`` is empty, ``before`` (no effect, no answer), ``after`` (effect, no answer), or
        ``late`` (no answer, and the effect is delayed until ``harness.late_writes`` are called).
        """
        self.waiting.remove(action)
        match action:
            case ReadRecord():
                self._read(lost)
            case WriteRecord():
                self._write(action, lost)
            case PutSegment():
                self._put(action, lost)
            case _:
                self._other(action, lost)

    def _read(self, lost: str) -> None:
        self.harness.kv_calls += 1
        if self.harness.kv_down or lost:
            self.run.on_kv_failed(ResultCode.KV_UNAVAILABLE, self.harness.now_ms)
        else:
            self.run.on_record(self.harness.record, self.harness.revision)

    def hold_answer(self, action: ReadRecord) -> None:
        """Perform a read now, but hold its answer until ``deliver_answers``."""
        self.waiting.remove(action)
        record, revision = self.harness.record, self.harness.revision
        self.held_answers.append(lambda: self.run.on_record(record, revision))

    def deliver_answers(self) -> None:
        """Deliver the held answers."""
        held_answers, self.held_answers = self.held_answers, []
        for answer in held_answers:
            answer()

    def _write(self, action: WriteRecord, lost: str) -> None:
        harness = self.harness
        harness.kv_calls += 1
        if harness.kv_down:
            self.run.on_kv_failed(ResultCode.KV_UNAVAILABLE, harness.now_ms)
            return
        # Copied through bytes, so that later changes to the machine's structs do not affect it.
        sent = decode_record(encode_record(action.record))
        if lost == "late":
            harness.late_writes.append(lambda: harness.write(sent, action.expected_revision))
        revision = None
        if lost in ("", "after"):
            revision = harness.write(sent, action.expected_revision)
        if revision is not None:
            assert sent.owner == self.name, f"{self.name} wrote over {sent.owner}"
        if lost:
            self.run.on_kv_failed(ResultCode.KV_UNKNOWN, harness.now_ms)
        elif revision is None:
            self.run.on_kv_failed(ResultCode.KV_CONFLICT, harness.now_ms)
        else:
            self.run.on_written(revision)

    def _put(self, action: PutSegment, lost: str) -> None:
        ref = None if lost == "before" else self.harness.put(action.body, action.items)
        if lost or ref is None:
            self.run.on_segment_failed(action.number, self.harness.now_ms)
        else:
            self.run.on_segment(action.number, ref)

    def _other(self, action: Action, lost: str) -> None:
        harness, run = self.harness, self.run
        match action:
            case AppendLog():
                if lost != "before":
                    harness.log += action.records
                run.on_logged()
            case ReadLog():
                # The pages of both copies arrive, the second one in another order.
                for page in (harness.log, harness.log[::-1]) if not lost else ():
                    run.on_log_page(page, harness.now_ms)
                run.on_log_end(not lost, harness.now_ms)
            case ReadInput() if lost:
                run.on_input_failed(harness.now_ms)
            case ReadInput():
                lines = item_lines(harness.segments[action.ref.segment_hash])
                run.on_input(action.index, lines, harness.now_ms)

    def step(self) -> None:
        """Poll once and execute all waiting actions without faults."""
        self.poll()
        for action in list(self.waiting):
            self.perform(action)

    def fill(self) -> None:
        """Start attempts until the state machine has no further item."""
        while self.claim() is not None:
            pass

    def work_with_faults(self, rounds: int, rng: random.Random, faults: float = 0.15) -> None:
        """Run for some rounds; each call and attempt fails with probability ``faults``."""
        for _ in range(rounds):
            self.poll()
            for action in list(self.waiting):
                if rng.random() < 0.8:
                    wrong = rng.random() < faults
                    self.perform(action, rng.choice(_LOSS_MODES) if wrong else "")
            while rng.random() < 0.9 and self.claim() is not None:
                pass
            for item in list(self.in_flight):
                if rng.random() < 0.6:
                    wrong = rng.random() < faults
                    self.end(item, AttemptEnd(rng.choice(_FAILED_ENDS), 500) if wrong else DONE)
            self.harness.now_ms += 250.0

    def work(self, rounds: int = 400, until: Callable[[], bool] = lambda: False) -> None:
        """Run without faults until the job is over at this runner or ``until`` returns true."""
        for _ in range(rounds):
            if self.run.over or until():
                return
            self.step()
            self.fill()
            for item in list(self.in_flight):
                self.end(item)
            self.harness.now_ms += 250.0
