"""Recent runs as evidence on upstream crashes: abandoned runs and prompt parts of completed runs.

A run that was sent to an upstream and then abandoned may still crash it.  A prompt part of
completed runs is not the cause of crashes.  Each process remembers the parts of the runs that it
sees complete, so that they need no message and are known when an upstream crashes.

Pure: the caller passes the time.
"""

from collections import OrderedDict, deque
from collections.abc import Collection, Iterable

import msgspec

from fescuedock.schema.crashes import BrokenRun

__all__ = ["AbandonedRuns", "SoundParts"]

# How long after it was given up a run is suspected of a crash: an engine continues until it notices
# that its caller has disconnected, and the crash is detected with the next connection.
_SUSPECT_MS = 1000.0
# A runner gives up some tens of items per second when calls need their slots.
_MAX_RUNS = 256
# Limited, as an upstream of another software version may crash with parts that were harmless
# before.
_SOUND_VALIDITY_MS = 60_000.0
# About 150 bytes each.
_MAX_PARTS = 4096


class AbandonedRuns(msgspec.Struct):
    """The latest runs that were given up, with the times when they were."""

    _runs: deque[tuple[float, BrokenRun]] = msgspec.field(
        default_factory=lambda: deque(maxlen=_MAX_RUNS)
    )

    def record(self, run: BrokenRun, now_ms: float) -> None:
        """Record that a run was given up, though its upstream may continue it for a while."""
        self._runs.append((now_ms, run))

    def upstream_ids(self, now_ms: float) -> set[str]:
        """Return the upstreams at which runs were given up recently."""
        return {run.upstream_id for at_ms, run in self._runs if now_ms - at_ms <= _SUSPECT_MS}

    def pop_suspects(self, upstream_id: str, now_ms: float) -> list[BrokenRun]:
        """Remove and return the runs that may have crashed an upstream just now."""
        recent = [(at_ms, run) for at_ms, run in self._runs if now_ms - at_ms <= _SUSPECT_MS]
        self._runs = deque(
            (item for item in recent if item[1].upstream_id != upstream_id), _MAX_RUNS
        )
        return [run for _, run in recent if run.upstream_id == upstream_id]


class SoundParts(msgspec.Struct):
    """Prompt parts of recently completed runs, with the time of the last completion."""

    _last_completed_ms: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)

    def record(self, parts: Iterable[str], now_ms: float) -> None:
        """Record that a run with these parts completed."""
        for part in parts:
            self._last_completed_ms[part] = now_ms
            self._last_completed_ms.move_to_end(part)
        while len(self._last_completed_ms) > _MAX_PARTS:
            self._last_completed_ms.popitem(last=False)

    def withdraw(self, parts: Iterable[str], completed_ms: float) -> None:
        """Withdraw the proof of a run of ``completed_ms``; that of a later run stays."""
        for part in parts:
            if self._last_completed_ms.get(part, float("inf")) <= completed_ms:
                del self._last_completed_ms[part]

    def unknown_among(self, parts: Iterable[str], now_ms: float) -> list[str]:
        """Return those of ``parts`` that are not known to be sound."""
        return [part for part in parts if not self._is_sound(part, now_ms)]

    def sound_among(self, parts: Iterable[str], now_ms: float) -> list[str]:
        """Return those of ``parts`` that are known to be sound."""
        return [part for part in parts if self._is_sound(part, now_ms)]

    @property
    def parts(self) -> Collection[str]:
        """All stored parts, including expired ones."""
        return self._last_completed_ms.keys()

    def _is_sound(self, part: str, now_ms: float) -> bool:
        return now_ms - self._last_completed_ms.get(part, float("-inf")) <= _SOUND_VALIDITY_MS
