"""A node's replica of the keys below one prefix of the key-value service.

It never moves backwards: an older state of a key is ignored, whether it comes from a stale read, a
lagging neighbour or a reply that a newer one overtook.

Pure: the caller passes the time.
"""

from collections.abc import Callable, Iterable

import msgspec

from fescuedock.kv import KvEntry, KvEvent

__all__ = ["IsHeartbeat", "ReplicaTable", "no_heartbeat"]

# Whether a key's new value (second argument) changes nothing against its previous one (first).
# Most writes of 45 upstreams that each write every 2 s are such heartbeats; handled as changes,
# each makes every node process its entire fleet, 27 times in the 14 s around the start of light
# traffic.
IsHeartbeat = Callable[[bytes, bytes], bool]


def no_heartbeat(_before: bytes, _after: bytes) -> bool:
    """Treat every value as a change: its revision may matter even if the value is the same."""
    return False


# Revision of a table that was never filled; the first revision of a service is 1 or more.
UNKNOWN_REVISION = -1


class ReplicaTable(msgspec.Struct):
    """The keys below ``prefix`` as of ``revision``.

    ``version`` increases whenever ``entries`` change, except by heartbeats.  ``confirmed_ms`` is
    when this node last received confirmation that the table is complete.  As messages may be
    delayed, ``as_of_ms`` is a time at which the table certainly was complete and current.
    """

    prefix: str
    is_heartbeat: IsHeartbeat = no_heartbeat
    revision: int = UNKNOWN_REVISION
    version: int = 0
    confirmed_ms: float = float("-inf")
    as_of_ms: float = float("-inf")
    entries: dict[str, KvEntry] = msgspec.field(default_factory=dict)
    # The newest of all entries.  It exceeds ``revision`` while an entry recorded by this node
    # itself has not arrived as a change yet.
    _newest_revision: int = UNKNOWN_REVISION
    # Revisions of removals, so that an older state does not restore a key.
    _removed: dict[str, int] = msgspec.field(default_factory=dict)

    @property
    def is_known(self) -> bool:
        return self.revision != UNKNOWN_REVISION

    def age_ms(self, now_ms: float) -> float:
        """Return the time since this node last received confirmation that the table is current."""
        return now_ms - self.confirmed_ms

    def as_of_age_ms(self, now_ms: float) -> float:
        """Return the longest time for which changes may be missing from the table."""
        return now_ms - self.as_of_ms

    def replace(self, entries: Iterable[KvEntry], revision: int, confirmed_ms: float) -> None:
        """Apply a snapshot of all keys as of ``revision``; keys missing from it were removed.

        ``confirmed_ms`` must not be later than the time of the read.
        """
        if revision < self.revision:
            return
        found = {entry.key: entry for entry in entries}
        for entry in found.values():
            self._store_entry(entry)
        for key in [key for key in self.entries if key not in found]:
            self._remove_entry(key, revision)
        self._advance(revision, confirmed_ms, confirmed_ms)

    def apply(
        self,
        events: Iterable[KvEvent],
        revision: int,
        confirmed_ms: float,
        as_of_ms: float = float("-inf"),
    ) -> list[KvEvent]:
        """Apply the changes that lead from this table's revision to ``revision``.

        ``confirmed_ms`` is when they were received; ``as_of_ms`` is a time no later than the one at
        which they were all the changes.  Return the changes to send to other nodes, which excludes
        heartbeats.
        """
        relevant_events: list[KvEvent] = []
        for event in events:
            # Compare each change with the state after the previous ones: a key may have been
            # removed and then written again with the same value.
            if not self._is_heartbeat(event):
                relevant_events.append(event)
            if event.entry is None:
                self._remove_entry(event.key, event.revision)
            else:
                self._apply_entry(event.entry)
        self._advance(revision, confirmed_ms, as_of_ms)
        return relevant_events

    def _is_heartbeat(self, event: KvEvent) -> bool:
        known = self.entries.get(event.key)
        if known is None or event.entry is None or event.revision <= known.mod_revision:
            return False
        return self.is_heartbeat(known.value, event.entry.value)

    def confirm(self, as_of_ms: float) -> None:
        """Record that this table was complete and current at ``as_of_ms``."""
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)
        self.as_of_ms = max(self.as_of_ms, as_of_ms)

    def record_entry(self, entry: KvEntry) -> None:
        """Apply a single entry that this node has itself written or read."""
        self._apply_entry(entry)

    def own_entries(self) -> list[KvEntry]:
        """Return the entries newer than ``revision``, which this node recorded itself."""
        if self._newest_revision <= self.revision:
            return []
        return [entry for entry in self.entries.values() if entry.mod_revision > self.revision]

    def _advance(self, revision: int, confirmed_ms: float, as_of_ms: float) -> None:
        self.revision = max(self.revision, revision)
        self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)
        self.as_of_ms = max(self.as_of_ms, as_of_ms)
        if len(self._removed) > len(self.entries) + _MAX_EXTRA_REMOVALS:
            self._drop_oldest_removals()

    def _apply_entry(self, entry: KvEntry) -> None:
        # An unknown key that is no newer than the table has been removed, possibly before this node
        # started, in which case ``_removed`` does not have it.
        if entry.key in self.entries or entry.mod_revision > self.revision:
            self._store_entry(entry)

    def _store_entry(self, entry: KvEntry) -> None:
        known = self.entries.get(entry.key)
        newest = known.mod_revision if known else self._removed.get(entry.key, -1)
        if entry.mod_revision <= newest:
            return
        self._removed.pop(entry.key, None)
        self.entries[entry.key] = entry
        self._newest_revision = max(self._newest_revision, entry.mod_revision)
        if known is None or not self.is_heartbeat(known.value, entry.value):
            self.version += 1

    def _remove_entry(self, key: str, revision: int) -> None:
        known = self.entries.get(key)
        if known is None or known.mod_revision > revision:
            return
        del self.entries[key]
        self._removed[key] = revision
        self.version += 1

    def _drop_oldest_removals(self) -> None:
        """Drop the older half; entries no newer than the table's revision are ignored anyway."""
        oldest = sorted(self._removed, key=self._removed.__getitem__)
        for key in oldest[: len(oldest) // 2]:
            del self._removed[key]


# Removals stored in addition to the number of keys, about 60 bytes each.
_MAX_EXTRA_REMOVALS = 1000
