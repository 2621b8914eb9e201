"""The items of one job: which may run now, on which upstream, and when a failed item is final.

Fresh items come in order from the loaded input segment.  A failed item waits with jittered backoff
and avoids the upstream where it failed.  An item that was in flight when a worker died may be the
cause; it is less likely to be if it was receiving tokens, as harmful items mostly kill a worker at
their start.  Depending on its suspicion an item runs like any other, as the only suspect of an
upstream, or in isolation.  Workers may also have died by chance, so it is run again until the
deadline of its job; after that it fails permanently once its suspicion is high enough.

Memory is bounded by the loaded input segment, and by the number and bytes of the items in flight or
waiting.
"""

import heapq
import random
from enum import StrEnum, auto

import msgspec

from fescuedock.core.batch.ranges import ItemSet
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings

__all__ = ["AttemptEnd", "EndKind", "Isolation", "Item", "ItemFailure", "ItemQueue"]

# Suspicion added to an item by the death of its worker, without and with tokens received from it.
_DEATH_SUSPICION = 1.0
_DEATH_SUSPICION_WITH_TOKENS = 0.5
_MIN_SUSPECT_SUSPICION = 1.0
_MIN_ISOLATED_SUSPICION = 2.0
# From this suspicion on, an item of a job past its deadline fails permanently.
_MIN_FAILED_SUSPICION = 3.0
# Keeps the backoff in the range of a float, whatever the number of deaths.
_MAX_BACKOFF_DOUBLINGS = 60


class EndKind(StrEnum):
    """How an attempt ended, from the point of view of its item."""

    DONE = auto()
    REJECTED = auto()
    SERVER_ERROR = auto()
    NOT_SENT = auto()
    BUSY = auto()
    DIED = auto()
    REVOKED = auto()
    STOPPED = auto()
    # Not sent, as the conditions under which it was chosen no longer held.
    WITHDRAWN = auto()
    # The upstream would have resumed at another software version than its record names.
    OTHER_VERSION = auto()
    # The upstream rejected the resume point, and perhaps not the item.
    RESUME_REJECTED = auto()


class AttemptEnd(msgspec.Struct, frozen=True):
    """The end of one attempt; ``text`` and ``tokens`` are its output so far, for a later resume.

    ``software_version`` is that of the process which generated them.  ``body`` is the upstream's
    answer for ``DONE`` and ``REJECTED``, and a message otherwise.
    """

    kind: EndKind
    status: int = 0
    body: bytes = b""
    text: str = ""
    tokens: int = 0
    software_version: str = ""


class Isolation(StrEnum):
    """Which items of the same runner may run concurrently with an item on its upstream.

    ``FROM_SUSPECTS`` admits only items without suspicion, ``FULL`` none.
    """

    NONE = auto()
    FROM_SUSPECTS = auto()
    FULL = auto()


# Ends that count against neither the item nor the upstream, and ends of attempts that never ran.
_NO_FAULT = (EndKind.REVOKED, EndKind.STOPPED, EndKind.WITHDRAWN)
_NOT_RUN = (EndKind.NOT_SENT, EndKind.BUSY, EndKind.WITHDRAWN)
# An item begins anew after this many attempts at other versions in a row.
_MAX_OTHER_VERSIONS = 3
_STRICTNESS = (Isolation.NONE, Isolation.FROM_SUSPECTS, Isolation.FULL)


class Item(msgspec.Struct, eq=False):
    """An item in flight or waiting for another attempt."""

    number: int
    line: bytes
    failures: int = 0
    deaths: int = 0
    suspicion: float = 0.0
    text: str = ""
    tokens: int = 0
    software_version: str = ""
    # Attempts in a row that reached another version than that of ``text``.
    other_versions: int = 0
    avoid: str = ""
    upstream_id: str = ""
    ready_at_ms: float = 0.0

    @property
    def isolation(self) -> Isolation:
        if self.suspicion >= _MIN_ISOLATED_SUSPICION:
            return Isolation.FULL
        return (
            Isolation.FROM_SUSPECTS if self.suspicion >= _MIN_SUSPECT_SUSPICION else Isolation.NONE
        )


class ItemFailure(msgspec.Struct, frozen=True):
    """The permanent failure of an item, as decided by the runner."""

    number: int
    code: ResultCode
    message: str
    line: bytes


class ItemQueue:
    """Hands out the items of a job without a result; ``ended`` is shared with the job.

    ``deadline_ms``, the job's deadline, is on the clock of ``now_ms``.
    """

    __slots__ = (
        "_cursor",
        "_deadline_ms",
        "_ended",
        "_held_bytes",
        "_in_flight",
        "_random",
        "_settings",
        "_waiting",
        "_window",
        "_window_start",
        "non_idempotent",
    )

    def __init__(
        self,
        ended: ItemSet,
        non_idempotent: bool,
        settings: BatchSettings,
        random_: random.Random,
        deadline_ms: float,
    ) -> None:
        self._ended = ended
        self._deadline_ms = deadline_ms
        self.non_idempotent = non_idempotent
        self._settings = settings
        self._random = random_
        self._cursor = 0
        self._window: list[bytes] = []
        self._window_start = 0
        # Total size of the lines in flight or waiting.
        self._held_bytes = 0
        self._in_flight: dict[int, Item] = {}
        self._waiting: list[tuple[float, int, Item]] = []
        self._skip()

    @property
    def in_flight(self) -> int:
        return len(self._in_flight)

    @property
    def next_unread_item(self) -> int | None:
        """The next fresh item if its line is not loaded; None when no line is needed."""
        if self._cursor >= self._ended.size or self._has_line():
            return None
        return self._cursor

    @property
    def next_fresh(self) -> int:
        """The next item that was never claimed, or the number of items if there is none."""
        return self._cursor

    @property
    def next_ready_ms(self) -> float:
        return self._waiting[0][0] if self._waiting else float("inf")

    def waiting_numbers(self) -> list[int]:
        """Return the items that are waiting for another attempt."""
        return [number for _, number, _ in self._waiting]

    def is_in_flight(self, item: Item) -> bool:
        """Whether ``item`` is in flight."""
        return self._in_flight.get(item.number) is item

    def strictest_ready(self, now_ms: float) -> Isolation:
        """Return the strictest isolation required by the waiting items that may run now."""
        ready = [item.isolation for at_ms, _, item in self._waiting if at_ms <= now_ms]
        return max(ready, key=_STRICTNESS.index, default=Isolation.NONE)

    def load(self, start: int, lines: list[bytes]) -> None:
        """Load the lines of the items from ``start`` on."""
        self._window_start, self._window = start, lines
        self._skip()

    def fresh_numbers(self, limit: int) -> list[int]:
        """Return up to ``limit`` fresh loaded items without claiming them."""
        found: list[int] = []
        number = self._cursor
        end = self._window_start + len(self._window)
        while self._has_line() and number < end and len(found) < limit:
            found.append(number)
            number = self._ended.next_missing(number + 1)
        return found

    def peek(self, now_ms: float, fresh: bool = True) -> Item | None:
        """Return an item that may run now, without claiming it."""
        if self._waiting and self._waiting[0][0] <= now_ms:
            return self._waiting[0][2]
        if fresh and self._may_start_fresh():
            return Item(self._cursor, self._window[self._cursor - self._window_start])
        return None

    def claim(
        self, upstream_id: str, allowed: Isolation, now_ms: float, fresh: bool = True
    ) -> Item | None:
        """Claim the next item for ``upstream_id``.

        ``allowed`` is the strictest isolation that the upstream can provide now.
        """
        item = self._claim_waiting(upstream_id, allowed, now_ms)
        if item is None and fresh and self._may_start_fresh():
            item = Item(self._cursor, self._window[self._cursor - self._window_start])
            self._held_bytes += len(item.line)
            self._cursor += 1
            self._skip()
        if item is not None:
            item.upstream_id = upstream_id
            self._in_flight[item.number] = item
        return item

    def on_ended(self, number: int, end: AttemptEnd, now_ms: float) -> ItemFailure | None:
        """Handle a failed attempt; return the item's failure, or None if it waits for a retry."""
        item = self._in_flight.pop(number)
        if self.non_idempotent and end.kind not in _NOT_RUN:
            failure = self._evaluate_non_idempotent(item, end)
        else:
            failure = self._evaluate_failure(item, end, now_ms)
        if failure is not None:
            self._held_bytes -= len(item.line)
        return failure

    def release(self, number: int) -> Item:
        """Remove an item in flight that has its result, and return it."""
        item = self._in_flight.pop(number)
        self._held_bytes -= len(item.line)
        return item

    def _evaluate_failure(self, item: Item, end: AttemptEnd, now_ms: float) -> ItemFailure | None:
        progressed = end.tokens > item.tokens
        item.text, item.tokens = end.text, end.tokens
        item.software_version = end.software_version
        if end.kind in _NO_FAULT:
            self._wait(item, now_ms)
            return None
        item.avoid = item.upstream_id
        if end.kind is EndKind.DIED:
            item.deaths += 1
            item.suspicion += _DEATH_SUSPICION_WITH_TOKENS if progressed else _DEATH_SUSPICION
        item.failures += end.kind is EndKind.SERVER_ERROR
        item.other_versions = item.other_versions + 1 if end.kind is EndKind.OTHER_VERSION else 0
        # The generated text may itself make the next attempt fail, or its version may be gone.
        is_gone = item.other_versions >= _MAX_OTHER_VERSIONS
        if is_gone or end.kind is EndKind.SERVER_ERROR or item.suspicion >= _MIN_SUSPECT_SUSPICION:
            item.text, item.tokens = "", 0
        late = now_ms >= self._deadline_ms
        if late and item.suspicion >= min(self._settings.item_attempts, _MIN_FAILED_SUSPICION):
            message = f"{item.deaths} workers died while they ran the item"
            return ItemFailure(item.number, ResultCode.ITEM_ISOLATED, message, item.line)
        if item.failures >= self._settings.item_attempts:
            message = f"{item.failures} attempts failed; the last one: {_text(end)}"
            return ItemFailure(item.number, ResultCode.ITEM_IMPOSSIBLE, message, item.line)
        self._wait(item, now_ms + self._backoff_ms(item))
        return None

    def _evaluate_non_idempotent(self, item: Item, end: AttemptEnd) -> ItemFailure:
        if end.kind is EndKind.SERVER_ERROR:
            message = f"the call was made once and failed: {_text(end)}"
            return ItemFailure(item.number, ResultCode.UPSTREAM_ERROR, message, item.line)
        message = f"the call was made once and its result is lost ({end.kind.value})"
        return ItemFailure(item.number, ResultCode.ITEM_UNKNOWN, message, item.line)

    def _wait(self, item: Item, ready_at_ms: float) -> None:
        item.ready_at_ms = ready_at_ms
        heapq.heappush(self._waiting, (ready_at_ms, item.number, item))

    def _backoff_ms(self, item: Item) -> float:
        doublings = min(max(item.failures + item.deaths - 1, 0), _MAX_BACKOFF_DOUBLINGS)
        delay_ms = self._settings.retry_backoff_ms * 2.0**doublings
        capped_ms = min(delay_ms, self._settings.max_retry_backoff_ms)
        return capped_ms * self._random.uniform(0.5, 1.5)

    def _claim_waiting(self, upstream_id: str, allowed: Isolation, now_ms: float) -> Item | None:
        ready = [entry for entry in self._waiting if entry[0] <= now_ms]
        for entry in sorted(ready, key=lambda entry: entry[:2]):
            item = entry[2]
            if _is_allowed(item.isolation, allowed) and self._may_run_on(item, upstream_id, now_ms):
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
                return item
        return None

    def _may_run_on(self, item: Item, upstream_id: str, now_ms: float) -> bool:
        # If no other upstream has claimed the item for a while, there may be no other one.
        avoid_ms = self._settings.retry_backoff_ms
        return item.avoid != upstream_id or now_ms >= item.ready_at_ms + avoid_ms

    def _may_start_fresh(self) -> bool:
        # Accumulating retries indicate a fault that fresh items would aggravate.
        settings = self._settings
        buffer_full = self._held_bytes >= settings.buffer_bytes
        return (
            self._has_line()
            and not buffer_full
            and len(self._waiting) < settings.max_items_in_flight
        )

    def _has_line(self) -> bool:
        return self._window_start <= self._cursor < self._window_start + len(self._window)

    def _skip(self) -> None:
        self._cursor = self._ended.next_missing(self._cursor)


def _is_allowed(wanted: Isolation, allowed: Isolation) -> bool:
    return _STRICTNESS.index(wanted) <= _STRICTNESS.index(allowed)


def _text(end: AttemptEnd) -> str:
    return f"HTTP {end.status} {end.body[:200].decode('utf-8', 'replace')}"
