"""Error-budget burn: how fast each service uses up the failures that its objectives allow.

Events are counted as users see them, a query answered in time or a job complete by its deadline, in
time slots that can be added up across processes without loss.
"""

from collections.abc import Iterable, Sequence
from enum import StrEnum

import msgspec

from fescuedock.schema.report import ServiceObjectives, SlotCounts

__all__ = [
    "WINDOWS",
    "Alarm",
    "Burn",
    "Promise",
    "SlotSeries",
    "Window",
    "WindowBurn",
    "assess_burn",
    "burn_rate",
    "counts_of",
    "fast_rate",
    "merge_slots",
]

_FINE_SLOT_S = 60
_COARSE_SLOT_S = 900
_FINE_RETENTION_S = 6 * 3600
_COARSE_RETENTION_S = 3 * 86400
# After old slots are joined at most 663 remain; joining waits for this number to do many at once.
_MAX_SLOTS = 1000


class Promise(StrEnum):
    """An objective of a service; the value names it in reports."""

    ONLINE = "online in time"
    JOBS = "jobs whole by deadline"


class Alarm(StrEnum):
    """The urgency of a burn."""

    NONE = "none"
    SLOW = "slow burn"
    FAST = "fast burn"


class Window(msgspec.Struct, frozen=True):
    """A period of time that ends now."""

    name: str
    length_s: int


WINDOWS = (
    Window("5 min", 300),
    Window("1 h", 3600),
    Window("6 h", 6 * 3600),
    Window("3 d", _COARSE_RETENTION_S),
)

# A short and a long window that both exceed such a burn rate raise an alarm.  A fast burn uses 2%
# of a 30-day budget in an hour, a slow one 10% in three days: the usual values for pages and
# tickets.
_FAST_RATE = 14.4
_SLOW_RATE = 1.0
# For an objective that allows so many failures that no rate can reach ``_FAST_RATE``, this share of
# the highest possible rate counts as fast.
_FAST_SHARE = 0.8


class WindowBurn(msgspec.Struct, frozen=True):
    """Counts of one window: ``kept`` of ``total`` events met the objective.

    A rate of 1 uses up the budget exactly; ``None`` means that nothing was counted.
    ``budget_left`` is a share of the failures that the objective allows in the window, negative
    when there were more.
    """

    window: Window
    total: int
    kept: int
    rate: float | None
    budget_left: float | None


class Burn(msgspec.Struct, frozen=True):
    """The burn of one objective of one service over all windows."""

    service: str
    promise: Promise
    objective_share: float
    windows: tuple[WindowBurn, ...]
    alarm: Alarm


class SlotSeries:
    """Counts of one service in time slots: of a minute for six hours, then of a quarter hour."""

    __slots__ = ("_slots", "total")

    def __init__(self) -> None:
        self.total = SlotCounts(start_s=0, length_s=0)
        self._slots: dict[tuple[int, int], SlotCounts] = {}

    def count_online(self, now_s: int, *, in_time: bool, failed: bool) -> None:
        for slot in (self.total, self._slot(now_s)):
            slot.online += 1
            slot.online_in_time += in_time
            slot.online_failed += failed

    def count_job(self, now_s: int, *, in_time: bool) -> None:
        for slot in (self.total, self._slot(now_s)):
            slot.jobs += 1
            slot.jobs_in_time += in_time

    def slots(self, now_s: int) -> list[SlotCounts]:
        """Return the slots as of ``now_s``, oldest first, after joining and dropping old ones."""
        self._slots = {
            (slot.length_s, slot.start_s): slot
            for slot in merge_slots(_coarsened(slot, now_s) for slot in self._slots.values())
            if slot.start_s > now_s - _COARSE_RETENTION_S
        }
        return sorted(self._slots.values(), key=_by_start)

    def _slot(self, now_s: int) -> SlotCounts:
        start_s = now_s - now_s % _FINE_SLOT_S
        key = (_FINE_SLOT_S, start_s)
        if key not in self._slots:
            if len(self._slots) >= _MAX_SLOTS:
                self.slots(now_s)
            self._slots[key] = SlotCounts(start_s=start_s, length_s=_FINE_SLOT_S)
        return self._slots[key]


def merge_slots(slots: Iterable[SlotCounts]) -> list[SlotCounts]:
    """Add up slots that cover the same time; return them oldest first."""
    merged: dict[tuple[int, int], SlotCounts] = {}
    for slot in slots:
        key = (slot.start_s, slot.length_s)
        total = merged.setdefault(key, SlotCounts(start_s=slot.start_s, length_s=slot.length_s))
        total.online += slot.online
        total.online_in_time += slot.online_in_time
        total.online_failed += slot.online_failed
        total.jobs += slot.jobs
        total.jobs_in_time += slot.jobs_in_time
    return sorted(merged.values(), key=_by_start)


def assess_burn(
    service: str, objectives: ServiceObjectives, slots: Sequence[SlotCounts], now_s: int
) -> tuple[Burn, ...]:
    """Return the burn of each objective of ``service`` at ``now_s`` (Unix time)."""
    shares = {Promise.ONLINE: objectives.online_share, Promise.JOBS: objectives.batch_share}
    return tuple(_burn(service, promise, share, slots, now_s) for promise, share in shares.items())


def _burn(
    service: str, promise: Promise, share: float, slots: Sequence[SlotCounts], now_s: int
) -> Burn:
    windows = tuple(_window_burn(window, promise, share, slots, now_s) for window in WINDOWS)
    return Burn(service, promise, share, windows, _alarm(windows, share))


def _window_burn(
    window: Window, promise: Promise, share: float, slots: Sequence[SlotCounts], now_s: int
) -> WindowBurn:
    since_s = now_s - window.length_s
    inside = [
        slot for slot in slots if since_s < slot.start_s + slot.length_s <= now_s + _COARSE_SLOT_S
    ]
    total, kept = counts_of(promise, inside)
    if not total:
        return WindowBurn(window, 0, 0, None, None)
    rate = burn_rate(total, kept, share)
    return WindowBurn(window, total, kept, rate, 1 - rate)


def _alarm(windows: Sequence[WindowBurn], share: float) -> Alarm:
    """Return the alarm; requiring a short window too ends it soon after the cause is fixed."""
    five_min, hour, six_hours, three_days = (burn.rate or 0.0 for burn in windows)
    if min(five_min, hour) > fast_rate(share):
        return Alarm.FAST
    if min(six_hours, three_days) > _SLOW_RATE:
        return Alarm.SLOW
    return Alarm.NONE


def fast_rate(share: float) -> float:
    """Return the rate above which the burn of an objective of ``share`` is fast."""
    if share >= 1:
        return _FAST_RATE
    return min(_FAST_RATE, max(_SLOW_RATE, _FAST_SHARE / (1 - share)))


def burn_rate(total: int, kept: int, share: float) -> float:
    """Return the share that missed the objective over the share that may; ``total`` is not 0."""
    missed = (total - kept) / total
    if share < 1:
        return missed / (1 - share)
    return float("inf") if missed else 0.0


def counts_of(promise: Promise, slots: Iterable[SlotCounts]) -> tuple[int, int]:
    """Return the number of events and the number of those that met the objective."""
    if promise is Promise.ONLINE:
        pairs = [(slot.online, slot.online_in_time) for slot in slots]
    else:
        pairs = [(slot.jobs, slot.jobs_in_time) for slot in slots]
    return sum(total for total, _ in pairs), sum(kept for _, kept in pairs)


def _coarsened(slot: SlotCounts, now_s: int) -> SlotCounts:
    """Return ``slot``, or a quarter-hour slot with its counts when it is old."""
    start_s = slot.start_s - slot.start_s % _COARSE_SLOT_S
    # All slots of a quarter hour are converted at once, so that none is covered in both forms.
    if slot.length_s == _COARSE_SLOT_S or start_s + _COARSE_SLOT_S > now_s - _FINE_RETENTION_S:
        return slot
    return SlotCounts(
        start_s=start_s,
        length_s=_COARSE_SLOT_S,
        online=slot.online,
        online_in_time=slot.online_in_time,
        online_failed=slot.online_failed,
        jobs=slot.jobs,
        jobs_in_time=slot.jobs_in_time,
    )


def _by_start(slot: SlotCounts) -> tuple[int, int]:
    return slot.start_s, slot.length_s
