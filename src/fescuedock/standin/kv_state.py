"""The state of a key-value service with revisions, leases and history; no I/O, no clock.

The stand-in service exposes it over HTTP and the tests' in-memory store calls it directly, so both
have the same semantics: those of etcd, for the operations that fescuedock uses.
"""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from fescuedock.kv import KvEntry, KvEvent, KvPage, KvTransaction

__all__ = ["CompactedError", "KvState", "Lease", "LeaseNotFoundError", "in_range", "prefix_end"]

HISTORY_EVENTS = 100_000
HISTORY_BYTES = 32 * 1024 * 1024


class LeaseNotFoundError(Exception):
    """The lease was never granted, was revoked or has expired."""


class CompactedError(Exception):
    """The requested revision was compacted; ``compact_revision`` is the oldest one retained."""

    def __init__(self, compact_revision: int) -> None:
        super().__init__(f"revisions before {compact_revision} are compacted")
        self.compact_revision = compact_revision


@dataclass(slots=True)
class Lease:
    """A granted lease and the keys that are deleted when it ends."""

    lease_id: int
    ttl_s: int
    expires_at_s: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Change:
    """An event and the entry that it replaced or deleted."""

    event: KvEvent
    previous: KvEntry | None

    @property
    def size_bytes(self) -> int:
        return len(self.previous.value) if self.previous else 0


@dataclass(slots=True)
class KvState:
    """Keys, revisions, leases and the events of the most recent revisions.

    ``listeners`` are called with each event when it is recorded.
    """

    revision: int = 1
    compact_revision: int = 1
    leases: dict[int, Lease] = field(default_factory=dict)
    listeners: list[Callable[[KvEvent], None]] = field(default_factory=list)
    _entries: dict[str, KvEntry] = field(default_factory=dict)
    _sorted_keys: list[str] = field(default_factory=list)
    _history: deque[_Change] = field(default_factory=deque)
    _history_bytes: int = 0
    _next_lease_id: int = 1001

    def get(self, key: str, at_revision: int = 0) -> KvEntry | None:
        """Return the entry of ``key``, current or as of ``at_revision`` if that is not 0.

        Raise ``CompactedError`` if that revision was compacted.
        """
        if not at_revision or at_revision >= self.revision:
            return self._entries.get(key)
        if at_revision < self.compact_revision:
            raise CompactedError(self.compact_revision)
        return self._entry_at(key, at_revision)

    def _entry_at(self, key: str, at_revision: int) -> KvEntry | None:
        for change in self._changes_from(at_revision + 1):
            if change.event.key == key:
                return change.previous
        return self._entries.get(key)

    def page(self, start: str, end: str | None, limit: int) -> KvPage:
        """Return up to ``limit`` entries (0: all) from ``start`` to before ``end``, in key order.

        If ``end`` is None, the range extends to the last key.
        """
        first = bisect_left(self._sorted_keys, start)
        last = len(self._sorted_keys) if end is None else bisect_left(self._sorted_keys, end)
        keys = self._sorted_keys[first : max(first, last)]
        selected = keys[:limit] if limit else keys
        entries = tuple(self._entries[key] for key in selected)
        return KvPage(entries, self.revision, more=len(selected) < len(keys))

    def put(self, key: str, value: bytes, lease_id: int = 0) -> int:
        """Write a key and return the new revision."""
        if lease_id and lease_id not in self.leases:
            raise LeaseNotFoundError(f"lease {lease_id} not found")
        self.revision += 1
        self._put(key, value, lease_id)
        return self.revision

    def _put(self, key: str, value: bytes, lease_id: int) -> None:
        """Write a key at the current revision."""
        self._detach_from_lease(key)
        if lease_id:
            self.leases[lease_id].keys.add(key)
        if key not in self._entries:
            insort(self._sorted_keys, key)
        previous = self._entries.get(key)
        entry = KvEntry(key, value, self.revision, lease_id)
        self._entries[key] = entry
        self._record(_Change(KvEvent(key, self.revision, entry), previous))

    def delete(self, key: str) -> bool:
        """Delete a key; return whether it existed."""
        if key not in self._entries:
            return False
        self.revision += 1
        self._delete(key)
        return True

    def _delete(self, key: str) -> None:
        """Delete an existing key at the current revision."""
        self._detach_from_lease(key)
        previous = self._entries.pop(key)
        self._sorted_keys.pop(bisect_left(self._sorted_keys, key))
        self._record(_Change(KvEvent(key, self.revision, None), previous))

    def transact(self, transaction: KvTransaction) -> int:
        """Apply a transaction at one revision and return that; 0 when a condition fails."""
        if transaction.lease_id and transaction.lease_id not in self.leases:
            raise LeaseNotFoundError(f"lease {transaction.lease_id} not found")
        for key, revision in transaction.expected_revisions.items():
            if self._mod_revision(key) != revision:
                return 0
        self.revision += 1
        for key, value in transaction.writes.items():
            self._put(key, value, transaction.lease_id)
        for key in transaction.removes:
            if key in self._entries:
                self._delete(key)
        return self.revision

    def put_if(self, key: str, value: bytes, expected_revision: int, lease_id: int = 0) -> int:
        """Write if the key is at ``expected_revision``; return the new revision, otherwise 0."""
        if self._mod_revision(key) != expected_revision:
            return 0
        return self.put(key, value, lease_id)

    def delete_if(self, key: str, expected_revision: int) -> bool:
        """Delete if the key is at ``expected_revision`` (0: absent); return whether it was."""
        if self._mod_revision(key) != expected_revision:
            return False
        self.delete(key)
        return True

    def _mod_revision(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.mod_revision if entry else 0

    def grant(self, ttl_s: int, now_s: float) -> int:
        """Grant a lease of ``ttl_s`` seconds and return its identity."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self.leases[lease_id] = Lease(lease_id, ttl_s, now_s + ttl_s)
        return lease_id

    def renew(self, lease_id: int, now_s: float) -> int:
        """Renew a lease and return its duration in seconds; 0 if it no longer exists."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at_s = now_s + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> bool:
        """End a lease and delete its keys; return whether it existed."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return False
        for key in sorted(lease.keys):
            self.delete(key)
        return True

    def expire(self, now_s: float) -> None:
        """Revoke the leases that have expired by ``now_s``."""
        for lease in tuple(self.leases.values()):
            if lease.expires_at_s <= now_s:
                self.revoke(lease.lease_id)

    def events_since(self, start: str, end: str | None, from_revision: int) -> list[KvEvent]:
        """Return the events of a key range since ``from_revision``, inclusive.

        Raise ``CompactedError`` if that revision was compacted.
        """
        if from_revision < self.compact_revision:
            raise CompactedError(self.compact_revision)
        events = (change.event for change in self._changes_from(from_revision))
        return [event for event in events if in_range(event.key, start, end)]

    def _changes_from(self, revision: int) -> Iterator[_Change]:
        first = bisect_left(self._history, revision, key=lambda change: change.event.revision)
        return (self._history[position] for position in range(first, len(self._history)))

    def compact(self, revision: int) -> None:
        """Discard the events before ``revision``."""
        self.compact_revision = max(self.compact_revision, min(revision, self.revision))
        while self._history and self._history[0].event.revision < self.compact_revision:
            self._history_bytes -= self._history.popleft().size_bytes

    def _record(self, change: _Change) -> None:
        self._history.append(change)
        self._history_bytes += change.size_bytes
        while len(self._history) > HISTORY_EVENTS or self._history_bytes > HISTORY_BYTES:
            self.compact(self._history[0].event.revision + 1)
        for listener in tuple(self.listeners):
            listener(change.event)

    def _detach_from_lease(self, key: str) -> None:
        entry = self._entries.get(key)
        if entry and entry.lease_id in self.leases:
            self.leases[entry.lease_id].keys.discard(key)


def in_range(key: str, start: str, end: str | None) -> bool:
    """Return whether ``key`` is in the range from ``start`` to before ``end`` (None: no end)."""
    return key >= start and (end is None or key < end)


def prefix_end(prefix: str) -> str | None:
    """Return the first key after all keys with ``prefix``; None for the empty prefix.

    Keys are ASCII, so incrementing the last character is sufficient.
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else None
