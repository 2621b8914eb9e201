"""What recent runs say of ends of upstreams: those given up, and what others became whole with.

What was sent to an upstream and given up may still crash it.  A part of a prompt that runs became
whole with is not what ends upstreams; whoever sees runs end keeps it, so that it costs no message
and is known when an upstream ends.

Pure: the caller passes the time.
"""

from collections import OrderedDict, deque
from collections.abc import Collection, Iterable

import msgspec

from fescuedock.schema.crashes import BrokenRun

__all__ = ["AbandonedRuns", "SoundParts"]

# How long after it was given up a run is taken for what may have ended its upstream: an engine goes
# on until it notices that its caller has left, and the end shows with the next connection.
_SUSPECT_MS = 1000.0
# A runner gives up some tens of items a second when calls need their places.
_MAX_RUNS = 256
# An upstream of another software version may end by what the last one bore.
_SOUND_VALIDITY_MS = 60_000.0
# About 150 bytes each.
_MAX_PARTS = 4096


class AbandonedRuns(msgspec.Struct):
    """The newest runs that were given up, with when that was."""

    _runs: deque[tuple[float, BrokenRun]] = msgspec.field(
        default_factory=lambda: deque(maxlen=_MAX_RUNS)
    )

    def record(self, run: BrokenRun, now_ms: float) -> None:
        """Note that a run was given up, though its upstream may go on with it for a while."""
        self._runs.append((now_ms, run))

    def upstream_ids(self, now_ms: float) -> set[str]:
        """Return the upstreams at which runs were given up lately."""
        return {run.upstream_id for at_ms, run in self._runs if now_ms - at_ms <= _SUSPECT_MS}

    def pop_suspects(self, upstream_id: str, now_ms: float) -> list[BrokenRun]:
        """Return the runs that may have ended an upstream which has just ended, and forget them."""
        young = [(at_ms, run) for at_ms, run in self._runs if now_ms - at_ms <= _SUSPECT_MS]
        self._runs = deque(
            (item for item in young if item[1].upstream_id != upstream_id), _MAX_RUNS
        )
        return [run for _, run in young if run.upstream_id == upstream_id]


class SoundParts(msgspec.Struct):
    """Parts of prompts that runs became whole with lately, each with when that was."""

    _last_completed_ms: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)

    def record(self, parts: Iterable[str], now_ms: float) -> None:
        """Note that a run with these parts became whole."""
        for part in parts:
            self._last_completed_ms[part] = now_ms
            self._last_completed_ms.move_to_end(part)
        while len(self._last_completed_ms) > _MAX_PARTS:
            self._last_completed_ms.popitem(last=False)

    def unknown_among(self, parts: Iterable[str], now_ms: float) -> list[str]:
        """Return those of ``parts`` that are not known to be sound."""
        return [part for part in parts if not self._is_sound(part, now_ms)]

    def sound_among(self, parts: Iterable[str], now_ms: float) -> list[str]:
        """Return those of ``parts`` that are known to be sound."""
        return [part for part in parts if self._is_sound(part, now_ms)]

    @property
    def parts(self) -> Collection[str]:
        """All that are kept, those included that were seen too long ago."""
        return self._last_completed_ms.keys()

    def _is_sound(self, part: str, now_ms: float) -> bool:
        return now_ms - self._last_completed_ms.get(part, float("-inf")) <= _SOUND_VALIDITY_MS
