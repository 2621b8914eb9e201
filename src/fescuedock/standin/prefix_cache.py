"""The prefix cache of an engine, in limited memory, and its late and gapped events."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from fescuedock.backing.engine_wire import CacheEvent, CacheEvents

__all__ = ["CacheEventLog", "PrefixCache"]


@dataclass(slots=True)
class PrefixCache:
    """Blocks in order of their last use; the oldest go when ``max_blocks`` are reached."""

    max_blocks: int
    _blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def cached_prefix_length(self, hashes: Iterable[str]) -> int:
        """Return how many of a prompt's blocks, from the first on, are cached; marks their use."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, hashes: Iterable[str]) -> CacheEvent:
        """Keep the blocks; return what came and what had to go, with number 0."""
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
        """Return those of the blocks that are cached."""
        return tuple(block for block in hashes if block in self._blocks)

    def clear(self) -> None:
        self._blocks.clear()

    def __len__(self) -> int:
        return len(self._blocks)


@dataclass(slots=True)
class CacheEventLog:
    """Events that readers see ``delay_ms`` late.

    Every ``lose_every``-th is never seen (0: none), and only the last ``kept_events`` are kept.
    """

    delay_ms: float = 500.0
    lose_every: int = 0
    max_events: int = 1000
    _seq: int = 0
    _events: deque[tuple[float, CacheEvent]] = field(default_factory=deque)

    def add(self, event: CacheEvent, now_ms: float) -> None:
        """Number an event and keep it for the readers."""
        self._seq += 1
        if self.lose_every and self._seq % self.lose_every == 0:
            return
        self._events.append((now_ms, CacheEvent(self._seq, event.stored, event.removed)))
        if len(self._events) > self.max_events:
            self._events.popleft()

    def read(self, after_seq: int, now_ms: float) -> CacheEvents:
        """Return the events after ``after_seq`` that may be seen by now."""
        visible = [event for at_ms, event in self._events if at_ms + self.delay_ms <= now_ms]
        last_seq = visible[-1].seq if visible else 0
        first_kept = self._events[0][1].seq if self._events else self._seq + 1
        newer = tuple(event for event in visible if event.seq > after_seq)
        return CacheEvents(newer, last_seq, first_kept)
