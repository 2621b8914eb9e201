"""Simulated upstreams of different and changing speed, for loads replayed in virtual time."""

import random
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["PlayedSpeeds"]

# Fraction of the event time at a full upstream that is due to the concurrent runs.
_CONCURRENCY_SHARE = 0.2


@dataclass(slots=True)
class PlayedSpeeds:
    """Slowdown factors of the event time at each upstream.

    Every upstream has slow periods of about ``slow_ms`` in which events take ``slow_factor`` times
    as long; ``slow_share`` of the time is slow.  ``lasting`` may be changed during the replay.
    """

    lasting: dict[str, float]
    slots: int
    slow_factor: float = 2.5
    _changes_ms: dict[str, list[float]] = field(default_factory=dict)

    @classmethod
    def uneven(
        cls,
        upstream_ids: Iterable[str],
        slots: int,
        rng: random.Random,
        *,
        speeds: tuple[float, ...] = (0.6, 1.0, 1.6),
        slow_ms: float = 600.0,
        slow_share: float = 0.15,
        length_ms: float = 120_000.0,
    ) -> "PlayedSpeeds":
        """Assign ``speeds`` at random, and slow periods during the first ``length_ms``."""
        names = list(upstream_ids)
        assigned = [speeds[number % len(speeds)] for number in range(len(names))]
        rng.shuffle(assigned)
        played = cls(
            {name: 1.0 / speed for name, speed in zip(names, assigned, strict=True)}, slots
        )
        mean_fast_ms = slow_ms * (1.0 - slow_share) / slow_share if slow_share else length_ms
        for name in names:
            changes_ms = played._changes_ms.setdefault(name, [])
            at_ms = rng.uniform(0.0, mean_fast_ms) if slow_share else length_ms
            while at_ms < length_ms:
                changes_ms.append(at_ms)
                at_ms += rng.uniform(0.7, 1.3) * slow_ms
                changes_ms.append(at_ms)
                at_ms += rng.expovariate(1.0 / mean_fast_ms)
        return played

    @classmethod
    def even(cls, upstream_ids: Iterable[str], slots: int) -> "PlayedSpeeds":
        return cls(dict.fromkeys(upstream_ids, 1.0), slots)

    def is_slow(self, upstream_id: str, now_ms: float) -> bool:
        return bisect_right(self._changes_ms.get(upstream_id, []), now_ms) % 2 == 1

    def factor(self, upstream_id: str, running: Counter[str], now_ms: float) -> float:
        """Return the current step time relative to a full upstream of speed 1."""
        slow = self.slow_factor if self.is_slow(upstream_id, now_ms) else 1.0
        concurrency = 1.0 - _CONCURRENCY_SHARE * (1.0 - running[upstream_id] / self.slots)
        return self.lasting[upstream_id] * slow * concurrency
