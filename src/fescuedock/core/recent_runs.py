"""Runs that were given up lately: what was sent to an upstream may still crash it.

Pure: the caller passes the time.
"""

from collections import deque

import msgspec

from fescuedock.schema.crashes import BrokenRun

__all__ = ["RecentRuns"]

# How long after it was given up a run is taken for what may have ended its upstream: an engine goes
# on until it notices that its caller has left, and the end shows with the next connection.
_SUSPECT_MS = 1000.0
# A runner gives up some tens of items a second when calls need their places.
_MOST_RUNS = 256


class RecentRuns(msgspec.Struct):
    """The newest runs that were given up, with when that was."""

    _runs: deque[tuple[float, BrokenRun]] = msgspec.field(
        default_factory=lambda: deque(maxlen=_MOST_RUNS)
    )

    def note(self, run: BrokenRun, now_ms: float) -> None:
        """Note that a run was given up, though its upstream may go on with it for a while."""
        self._runs.append((now_ms, run))

    def upstream_ids(self, now_ms: float) -> set[str]:
        """Return the upstreams at which runs were given up lately."""
        return {run.upstream_id for at_ms, run in self._runs if now_ms - at_ms <= _SUSPECT_MS}

    def take(self, upstream_id: str, now_ms: float) -> list[BrokenRun]:
        """Return the runs that may have ended an upstream which has just ended, and forget them."""
        young = [(at_ms, run) for at_ms, run in self._runs if now_ms - at_ms <= _SUSPECT_MS]
        self._runs = deque(
            (item for item in young if item[1].upstream_id != upstream_id), _MOST_RUNS
        )
        return [run for _, run in young if run.upstream_id == upstream_id]
