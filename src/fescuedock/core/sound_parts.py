"""Parts of prompts that runs have become whole with, so that they are not what ends upstreams.

Kept by whoever sees the runs end, so that it costs no message, and is known when an upstream ends.

Pure: the caller passes the time.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable

import msgspec

__all__ = ["SoundParts"]

# An upstream of another software version may end by what the last one bore.
_GOOD_FOR_MS = 60_000.0
# About 150 bytes each.
_MOST_PARTS = 4096


class SoundParts(msgspec.Struct):
    """The newest of such parts, with when a run that has them became whole."""

    _seen_ms: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)

    def note(self, parts: Iterable[str], now_ms: float) -> None:
        """Note that a run with these parts became whole."""
        for part in parts:
            self._seen_ms[part] = now_ms
            self._seen_ms.move_to_end(part)
        while len(self._seen_ms) > _MOST_PARTS:
            self._seen_ms.popitem(last=False)

    def unknown_among(self, parts: Iterable[str], now_ms: float) -> list[str]:
        """Return those of ``parts`` that are not known to be sound."""
        return [part for part in parts if not self._is_sound(part, now_ms)]

    def sound_among(self, parts: Iterable[str], now_ms: float) -> list[str]:
        """Return those of ``parts`` that are known to be sound."""
        return [part for part in parts if self._is_sound(part, now_ms)]

    @property
    def parts(self) -> Collection[str]:
        """All that are kept, those included that were seen too long ago."""
        return self._seen_ms.keys()

    def _is_sound(self, part: str, now_ms: float) -> bool:
        return now_ms - self._seen_ms.get(part, float("-inf")) <= _GOOD_FOR_MS
