"""The bounded prefix cache of an engine, and its event log, which is delayed and may have gaps."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuedock.backing.engine_wire import CacheEvent, CacheEvents

__all__ = ["CacheEventLog", "PrefixCache"]


@dataclass(slots=True)
class PrefixCache:
    """Blocks in order of their last use; the oldest are evicted beyond ``max_blocks``."""

    max_blocks: int
    _blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def cached_prefix_length(self, hashes: Iterable[str]) -> int:
        """Return how many leading blocks of a prompt are cached, and mark them as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, hashes: Iterable[str]) -> CacheEvent:
        """Store the blocks; return an event of the stored and evicted ones, not yet numbered."""
        stored = []
        for block in hashes:
            if block not in self._blocks:
                stored.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = []
        while len(self._blocks) > self.max_blocks:
            removed.append(self._blocks.popitem(last=False)[0])
        return CacheEvent(0, tuple(stored), tuple(removed))

    def select_cached(self, hashes: Iterable[str]) -> tuple[str, ...]:
        """Return the blocks that are cached, without marking them as used."""
        return tuple(block for block in hashes if block in self._blocks)

    def clear(self) -> None:
        self._blocks.clear()

    def __len__(self) -> int:
        return len(self._blocks)


@dataclass(slots=True)
class CacheEventLog:
    """Events that readers see with a delay of ``delay_ms``.

    Every ``lose_every``-th event is lost (0: none), and only the last ``max_events`` are retained.
    """

    delay_ms: float = 500.0
    lose_every: int = 0
    max_events: int = 1000
    _seq: int = 0
    _events: deque[tuple[float, CacheEvent]] = field(default_factory=deque)

    def add(self, event: CacheEvent, now_ms: float) -> None:
        """Assign the next number to an event and store it unless it is to be lost."""
        self._seq += 1
        if self.lose_every and self._seq % self.lose_every == 0:
            return
        self._events.append((now_ms, CacheEvent(self._seq, event.stored, event.removed)))
        if len(self._events) > self.max_events:
            self._events.popleft()

    def read(self, after_seq: int, now_ms: float) -> CacheEvents:
        """Return the events after ``after_seq`` that are visible at ``now_ms``."""
        visible = [event for at_ms, event in self._events if at_ms + self.delay_ms <= now_ms]
        last_seq = visible[-1].seq if visible else 0
        first_kept = self._events[0][1].seq if self._events else self._seq + 1
        newer = tuple(event for event in visible if event.seq > after_seq)
        return CacheEvents(newer, last_seq, first_kept)
