"""The state of one job at its owner node: waiting items, running items and results to commit.

Pure state machine: the caller passes the time.
"""

import enum
import math
from collections.abc import Callable, Collection, Iterable

import msgspec

from fescuedock.core.forwarding.event_stream import SplitEvent
from fescuedock.core.work_identity import work_identity
from fescuedock.schema.stored_jobs import (
    ItemProgress,
    StoredItem,
    StoredJobRecord,
    StoredResult,
)

__all__ = [
    "ItemEnd",
    "ItemRun",
    "RetryPauses",
    "RunOutput",
    "StoredJob",
    "stored_size_bytes",
]

# Keeps the power of two within the range of a float.
_MAX_DOUBLINGS = 16
# The line feed between the texts of two events of a result.
_SEPARATOR_BYTES = 1


class ItemEnd(enum.Enum):
    """How one run of an item ended."""

    COMPLETED = "whole"
    # The upstream reports that the item can never succeed.
    IMPOSSIBLE = "impossible"
    # The upstream ran the item and failed; a limited number of these ends the item.
    FAILED = "failed"
    # Not run, cut off, or revoked; does not count against the item.
    INTERRUPTED = "interrupted"


class RetryPauses(msgspec.Struct, frozen=True):
    """Pause before an item runs again, doubled with each failure up to ``max_ms``.

    ``interrupted_ms`` is the pause after an interrupted run, which does not count against the item:
    one round trip and one step of an engine.  Each further interrupted run in a row without an
    event doubles it, up to ``max_interrupted_ms``: with only the short pause, three items whose
    upstreams all refused connections caused 75 runs a second.
    """

    first_ms: float = 100.0
    max_ms: float = 2000.0
    interrupted_ms: float = 25.0
    max_interrupted_ms: float = 200.0

    def after_interruption(self, runs_without_output: int) -> float:
        """Return the pause after this many interrupted runs in a row without an event."""
        doublings = min(max(runs_without_output - 1, 0), _MAX_DOUBLINGS)
        return min(self.interrupted_ms * 2**doublings, self.max_interrupted_ms)


class ItemRun(msgspec.Struct, eq=False):
    """One item without a result, and the output of its runs so far."""

    item: StoredItem
    work_id: str = ""
    # Identities of the parts of the prompt that may be shared with other work.
    parts: tuple[str, ...] = ()
    running: bool = False
    failures: int = 0
    interruptions: int = 0
    # Interrupted runs in a row without an event, and ``last_event`` at the latest interruption.
    runs_without_output: int = 0
    event_at_interruption: int = -1
    not_before_ms: float = 0.0
    last_event: int = -1
    # Software version of the upstreams that generated ``texts``.
    software_version: str = ""
    texts: list[str] = msgspec.field(default_factory=list)
    # Number of the run whose events may be appended, unique among the item's runs.
    output_number: int = 0
    # Size of ``texts`` in a result, and the largest that a result may have.
    output_bytes: int = 0
    max_output_bytes: float = math.inf
    avoided: set[str] = msgspec.field(default_factory=set)
    # Whether the upstream of the last run refused it without running the item.
    was_refused: bool = False
    # The current run, or the last one: start time, last event before it, duration and end time.
    started_ms: float = 0.0
    started_event: int = -1
    ran_ms: float = 0.0
    ended_ms: float = 0.0

    def start(self, now_ms: float) -> None:
        """Record the start of a run."""
        self.running = True
        self.was_refused = False
        self.started_ms = now_ms
        self.started_event = self.last_event

    def record_end(self, now_ms: float) -> None:
        """Record the end of the run, whatever its outcome."""
        self.ran_ms = now_ms - self.started_ms
        self.ended_ms = now_ms

    def record_interruption(self) -> None:
        """Count an interrupted run, also as one without output if it produced no event."""
        self.interruptions += 1
        if self.last_event > self.event_at_interruption:
            self.runs_without_output = 0
        self.runs_without_output += 1
        self.event_at_interruption = self.last_event

    @property
    def is_overlong(self) -> bool:
        """Whether the output is larger than a result may be."""
        return self.output_bytes > self.max_output_bytes

    def accepts_version(self, software_version: str) -> bool:
        """Whether a run at this software version can resume; at others it starts from scratch."""
        return self.last_event < 0 or self.software_version == software_version

    def begin_output(self, software_version: str) -> "RunOutput":
        """Return the output of a run that begins now; events of earlier runs count no more."""
        resume_after = self.last_event if self.accepts_version(software_version) else -1
        self.output_number += 1
        return RunOutput(self, self.output_number, software_version, resume_after)

    def has_event(self, event: SplitEvent) -> bool:
        """Whether the output has an event of this number with the same text."""
        position = len(self.texts) - 1 - (self.last_event - event.number)
        return position >= 0 and self.texts[position] == event.data()

    def append(self, event: SplitEvent) -> None:
        """Append the next event of the current run."""
        self.last_event = event.number
        text = event.data()
        self.texts.append(text)
        self.output_bytes += _text_size_bytes(text) + _SEPARATOR_BYTES

    def load_progress(self, progress: ItemProgress) -> None:
        """Continue from the output that another node stored, instead of that of a run."""
        self.output_number += 1
        self.last_event = progress.last_event
        self.texts = list(progress.texts)
        self.output_bytes = sum(map(_text_size_bytes, self.texts))
        self.output_bytes += len(self.texts) * _SEPARATOR_BYTES
        self.software_version = progress.software_version
        self.failures = max(self.failures, progress.failures)

    def restart(self) -> None:
        """Discard the output, so that the next run starts from the beginning."""
        self.output_number += 1
        self.clear()

    def clear(self) -> None:
        """Discard the output of earlier runs; the current run generates it anew."""
        self.texts.clear()
        self.output_bytes = 0
        self.last_event = self.started_event = self.event_at_interruption = -1


class RunOutput(msgspec.Struct, eq=False):
    """The output of one run of an item, which is asked for what follows ``resume_after``.

    Its events are appended only to the output that the run was asked to continue: one run cannot
    continue what another one has generated, at the same software version neither.
    """

    item: ItemRun
    number: int
    software_version: str
    # The event after which the run resumes; below 0 for a start from the beginning.
    resume_after: int
    _begun: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether the item's output is this run's if the run ends now."""
        return self._is_current and (self._begun or self.item.last_event == self.resume_after)

    @property
    def _is_current(self) -> bool:
        return self.item.output_number == self.number

    def add_events(self, events: Iterable[SplitEvent]) -> bool:
        """Append events in order, skipping known ones; return False when they cannot follow.

        A known event with another text shows that the run did not resume.  The first event of a run
        from the beginning discards the output of earlier runs.
        """
        for event in events:
            if event.number < 0:
                continue
            if not self._is_current:
                return False
            if not self._begun:
                self._begin()
            item = self.item
            if event.number <= item.last_event:
                if not item.has_event(event):
                    return False
                continue
            if item.last_event >= 0 and event.number > item.last_event + 1:
                return False
            item.append(event)
        return True

    def _begin(self) -> None:
        """Make the item's output that of this run."""
        self._begun = True
        if self.resume_after < 0:
            self.item.clear()
        self.item.software_version = self.software_version


class StoredJob:
    """The items of one job that have no committed result.

    ``listed`` are the identities of the items that have one, ordered by position; ``parts_of``
    returns the identities of the prompt parts that an item may share with others;
    ``max_output_bytes`` is the size of the largest text that a result may have.
    """

    def __init__(
        self,
        record: StoredJobRecord,
        items: Iterable[StoredItem],
        listed: Collection[str],
        due_ms: float,
        give_up_ms: float,
        pauses: RetryPauses | None = None,
        parts_of: Callable[[StoredItem], tuple[str, ...]] = lambda _item: (),
        max_output_bytes: float = math.inf,
    ) -> None:
        done = set(listed)
        self.record = record
        self.due_ms = due_ms
        self.give_up_ms = give_up_ms
        self.listed_count = len(listed)
        self._pauses = pauses or RetryPauses()
        self._open = {
            item.item_id: ItemRun(
                item, _work_id(record, item), parts_of(item), max_output_bytes=max_output_bytes
            )
            for item in items
            if item.item_id not in done
        }
        self._results: list[StoredResult] = []
        self._committing = 0
        self._saved_events = 0
        # Round-robin round of its next overdue item among the node's jobs; None before the first.
        self.overdue_round: int | None = None

    @property
    def job_id(self) -> str:
        return self.record.job_id

    @property
    def is_finished(self) -> bool:
        """Whether every item has a committed result."""
        return not self._open and not self._results

    @property
    def has_results(self) -> bool:
        """Whether results wait to be committed."""
        return bool(self._results)

    @property
    def all_items_ended(self) -> bool:
        """Whether every item has ended, so that no further result will be added."""
        return not self._open

    def ready_items(self, now_ms: float) -> list[ItemRun]:
        """Return the items that are neither running nor pausing."""
        return [
            run for run in self._open.values() if not run.running and run.not_before_ms <= now_ms
        ]

    def open_items(self) -> list[ItemRun]:
        """Return the items without a result."""
        return list(self._open.values())

    def running_count(self) -> int:
        """Return the number of running items."""
        return sum(run.running for run in self._open.values())

    def next_ready_ms(self, now_ms: float) -> float:
        """Return when the next pausing item may start; infinity when no item is pausing."""
        pauses = [
            run.not_before_ms
            for run in self._open.values()
            if not run.running and run.not_before_ms > now_ms
        ]
        return min(pauses, default=float("inf"))

    def finish(
        self, run: ItemRun, end: ItemEnd, upstream_id: str, max_failures: int, now_ms: float
    ) -> None:
        """Apply the end of a run; an item without attempts left gets its final result."""
        run.running = False
        match end:
            case ItemEnd.COMPLETED:
                self._end_item(run, completed=True)
            case ItemEnd.IMPOSSIBLE:
                self._end_item(run, completed=False)
            case ItemEnd.FAILED:
                run.failures += 1
                run.avoided.add(upstream_id)
                if run.failures >= max_failures:
                    self._end_item(run, completed=False)
                else:
                    pause_ms = self._pauses.first_ms * 2 ** (run.failures - 1)
                    run.not_before_ms = now_ms + min(pause_ms, self._pauses.max_ms)
            case ItemEnd.INTERRUPTED:
                run.record_interruption()
                pause_ms = self._pauses.after_interruption(run.runs_without_output)
                run.not_before_ms = now_ms + pause_ms

    def progress(self) -> list[ItemProgress]:
        """Return the partial output of the items without a result."""
        return [
            ItemProgress(
                run.item.item_id,
                run.last_event,
                list(run.texts),
                run.failures,
                run.software_version,
            )
            for run in self._open.values()
            if run.texts or run.failures
        ]

    def unsaved_events(self) -> int:
        """Return the number of events of open items received since ``record_saved``."""
        return sum(run.last_event + 1 for run in self._open.values()) - self._saved_events

    def record_saved(self) -> None:
        """Record that the current progress is stored."""
        self._saved_events = sum(run.last_event + 1 for run in self._open.values())

    def resume(self, progress: Iterable[ItemProgress]) -> None:
        """Continue from the progress that another node stored."""
        for item in progress:
            run = self._open.get(item.item_id)
            if run is not None and item.last_event >= run.last_event:
                run.load_progress(item)
        self.record_saved()

    def give_up(self, now_ms: float) -> int:
        """Abandon the items that are not running if ``give_up_ms`` has passed; return how many."""
        if now_ms < self.give_up_ms:
            return 0
        return self.abandon()

    def abandon(self) -> int:
        """End every item that is not running, as not completed; return how many."""
        given_up = [run for run in self._open.values() if not run.running]
        for run in given_up:
            self._end_item(run, completed=False)
        return len(given_up)

    def next_group(self, max_bytes: int) -> list[StoredResult]:
        """Return the results to commit next, up to ``max_bytes`` encoded, at least one if any."""
        size_bytes = 0
        self._committing = 0
        for result in self._results:
            size_bytes += stored_size_bytes(result)
            if self._committing and size_bytes > max_bytes:
                break
            self._committing += 1
        return self._results[: self._committing]

    @property
    def group_count(self) -> int:
        """Number of results that ``next_group`` returned last and that are not committed."""
        return self._committing

    def give_up_result(self) -> str:
        """Replace the next result to commit by one without text; return the item's identity."""
        item_id = self._results[0].item_id
        self._results[0] = StoredResult(item_id, False, "")
        return item_id

    def record_commit(self) -> None:
        """Record that the group returned by ``next_group`` was committed."""
        self.listed_count += self._committing
        del self._results[: self._committing]
        self._committing = 0

    def _end_item(self, run: ItemRun, *, completed: bool) -> None:
        self._open.pop(run.item.item_id, None)
        text = "\n".join(run.texts) if completed else ""
        self._results.append(StoredResult(run.item.item_id, completed, text))


def stored_size_bytes(result: StoredResult) -> int:
    """Return the size of a result as part of a value in the key-value service."""
    return len(msgspec.msgpack.encode(result))


def _text_size_bytes(text: str) -> int:
    """Return the size of a text in UTF-8."""
    return len(text) if text.isascii() else len(text.encode())


def _work_id(record: StoredJobRecord, item: StoredItem) -> str:
    """Return the identity of an item's work, equal to that of a call with the same request."""
    return work_identity("POST", record.host, item.path, record.customer or "", item.body)
