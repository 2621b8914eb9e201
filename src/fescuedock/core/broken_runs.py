"""Runs at one upstream that broke off, until it is known whether the upstream has crashed.

Pure: the caller passes the time.
"""

import msgspec

from fescuedock.schema.crashes import BrokenRun

__all__ = ["BrokenRuns"]

# An upstream that neither refuses nor accepts connections has crashed if it disappears from the
# list within this time: the entries of engines that stop renewing them disappear after some
# seconds.
_DELISTED_WITHIN_MS = 5000.0
# A response that ends with its connection is complete if its upstream is up this much later.
_COMPLETE_AFTER_MS = 1000.0
_PROBE_INTERVAL_MS = 250.0
# The process of an upstream may have been replaced before it was probed.  Its entry shows that if
# it changes within this time after the run.
_REPLACED_WITHIN_MS = 10_000.0


class BrokenRuns(msgspec.Struct):
    """The broken runs, with the times of their reports."""

    _runs: list[tuple[float, BrokenRun]] = msgspec.field(default_factory=list)
    # Start of the last probe that found the upstream up.
    _last_up_ms: float = float("-inf")
    # Start of the last probe that found the same process.
    _last_identified_ms: float = float("-inf")
    # Settled runs whose upstreams were not identified after them, with the times of their reports
    # and of their settlement.
    _undecided: list[tuple[float, float, BrokenRun]] = msgspec.field(default_factory=list)

    def __len__(self) -> int:
        return len(self._runs)

    @property
    def has_undecided(self) -> bool:
        """Whether a changed entry of the upstream would show that it crashed under settled runs."""
        return bool(self._undecided)

    @property
    def has_isolated(self) -> bool:
        """Whether any of the runs was permitted as isolated."""
        return any(run.alone for _, run in self._runs)

    def add(self, run: BrokenRun, now_ms: float) -> None:
        """Add a run that just broke off, or whose response looks complete."""
        self._runs.append((now_ms, run))

    def record_returned(self, work_id: str) -> None:
        """Record the return of the permit of an isolated run that looks complete."""
        self._runs = [
            (at_ms, _as_given_up(run) if run.work_id == work_id and run.looks_whole else run)
            for at_ms, run in self._runs
        ]

    def needs_probe(self, now_ms: float) -> bool:
        """Whether to probe the upstream with a connection."""
        if any(at_ms > self._last_up_ms for at_ms, _ in self._runs):
            return True
        since_ms = now_ms - self._last_up_ms
        return any(
            since_ms >= _PROBE_INTERVAL_MS or self._last_up_ms < due_ms <= now_ms
            for due_ms in self._complete_from_ms()
        )

    def pause_ms(self, now_ms: float) -> float:
        """Return how long to wait before the next probe."""
        return min(
            [due_ms - now_ms for due_ms in self._complete_from_ms() if due_ms > now_ms]
            + [_PROBE_INTERVAL_MS]
        )

    def record_up(self, began_ms: float, *, identified: bool = False) -> None:
        """Record that the upstream accepted connections from ``began_ms`` on.

        ``identified`` tells that its process is known to be the same.
        """
        self._last_up_ms = began_ms
        if identified:
            self._last_identified_ms = began_ms

    def drain_complete(self, now_ms: float) -> list[BrokenRun]:
        """Drop runs that are no longer evidence of a crash; return those that are complete."""
        complete = [run for item in self._runs if self._is_complete(item) for run in item[1:]]
        self._undecided += [
            (item[0], now_ms, item[1]) for item in self._runs if self._is_settled(item, now_ms)
        ]
        self._undecided = [
            item for item in self._undecided if self._is_undecided(item[0], item[2], now_ms)
        ]
        self._runs = [item for item in self._runs if not self._is_settled(item, now_ms)]
        return complete

    def drain_replaced(self) -> list[tuple[float, BrokenRun]]:
        """Remove and return the settled runs under which the upstream's process was replaced.

        They may have been over before, so they are returned as given up, with the times at which
        they were settled.
        """
        items, self._undecided = self._undecided, []
        return [(settled_ms, _as_given_up(run)) for _, settled_ms, run in items]

    def drain_ended(self, *, refused: bool, other_peer: bool = False) -> list[BrokenRun]:
        """Remove and return the runs that were in progress when the upstream crashed.

        With ``refused`` it crashed after the last probe, which excludes runs that broke off before.
        Runs whose permits had been returned by then are returned as given up.  So are runs that
        look whole if there has been an ``other_peer`` in every probe: it may have completed them.
        """
        items, self._runs = self._runs, []
        if refused:
            items = [item for item in items if item[1].looks_whole or item[0] > self._last_up_ms]
        return [
            (
                _as_given_up(run)
                if _is_permit_returned(run)
                or (other_peer and run.looks_whole and at_ms > self._last_up_ms)
                else run
            )
            for at_ms, run in items
        ]

    def _complete_from_ms(self) -> list[float]:
        """Return the times from which on an upstream that is up proves a response complete."""
        return [at_ms + _COMPLETE_AFTER_MS for at_ms, run in self._runs if run.looks_whole]

    def _is_settled(self, item: tuple[float, BrokenRun], now_ms: float) -> bool:
        return now_ms - item[0] >= _DELISTED_WITHIN_MS or self._is_complete(item)

    def _is_undecided(self, at_ms: float, run: BrokenRun, now_ms: float) -> bool:
        is_recent = bool(run.work_id) and now_ms - at_ms < _REPLACED_WITHIN_MS
        identified_from_ms = at_ms + (_COMPLETE_AFTER_MS if run.looks_whole else 0.0)
        return is_recent and self._last_identified_ms < identified_from_ms

    def _is_complete(self, item: tuple[float, BrokenRun]) -> bool:
        at_ms, run = item
        return run.looks_whole and self._last_up_ms - at_ms >= _COMPLETE_AFTER_MS


def _is_permit_returned(run: BrokenRun) -> bool:
    """Whether other runs may have started in a run's place; an isolated run holds its permit on."""
    return run.looks_whole and not run.alone


def _as_given_up(run: BrokenRun) -> BrokenRun:
    return msgspec.structs.replace(run, given_up=True, alone=False)
