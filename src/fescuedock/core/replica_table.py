"""A node's copy of the keys below one prefix of the key-value service.

It never goes back: a key's older state is ignored wherever it comes from, be it a stale read, a
neighbour that lags, or an answer that was overtaken.

Pure: the caller passes the time.
"""

from collections.abc import Callable, Iterable

import msgspec

from fescuedock.kv import KvEntry, KvEvent

__all__ = ["IsHeartbeat", "ReplicaTable", "no_heartbeat"]

# Whether the second value of a key says nothing that the first, an earlier one, did not.  Of 45
# upstreams that write every 2 s nearly all say nothing new, and each made every node go through its
# fleet: 27 times in the 14 s around the start of a calm day's traffic.
IsHeartbeat = Callable[[bytes, bytes], bool]


def no_heartbeat(_before: bytes, _after: bytes) -> bool:
    """Take every value for news: its revision may be needed, even if it is the same."""
    return False


# Revision of a table that holds nothing yet; the first revision of a service is 1 or more.
UNKNOWN_REVISION = -1


class ReplicaTable(msgspec.Struct):
    """The keys below ``prefix`` as of ``revision``.

    ``version`` rises whenever ``entries`` change, but for heartbeats.  ``confirmed_ms`` is when
    this node last heard that this is all there is.  What it heard may have been long on its way:
    ``as_of_ms`` is a time at which this certainly was all there was.
    """

    prefix: str
    is_heartbeat: IsHeartbeat = no_heartbeat
    revision: int = UNKNOWN_REVISION
    version: int = 0
    confirmed_ms: float = float("-inf")
    as_of_ms: float = float("-inf")
    entries: dict[str, KvEntry] = msgspec.field(default_factory=dict)
    # The newest of all entries; beyond ``revision`` while one was noted that no news have told of.
    _newest_revision: int = UNKNOWN_REVISION
    # For each key, a time at which it certainly was not there yet.
    _absent_ms: dict[str, float] = msgspec.field(default_factory=dict)
    # Revisions of removals, so that an older state does not bring a key back.
    _removed: dict[str, int] = msgspec.field(default_factory=dict)

    @property
    def is_known(self) -> bool:
        return self.revision != UNKNOWN_REVISION

    def age_ms(self, now_ms: float) -> float:
        """Return the time since this node last heard that the table is current."""
        return now_ms - self.confirmed_ms

    def as_of_age_ms(self, now_ms: float) -> float:
        """Return the longest time for which there may have been changes that are not here."""
        return now_ms - self.as_of_ms

    def absent_as_of_ms(self, key: str) -> float:
        """Return a time at which ``key`` certainly was not there yet, by this node's own clock.

        Infinitely long ago for a key that was there when this node first heard of the prefix.
        """
        return self._absent_ms.get(key, float("-inf"))

    def replace(self, entries: Iterable[KvEntry], revision: int, confirmed_ms: float) -> None:
        """Take all keys as of ``revision``; those that are missing have gone by then.

        ``confirmed_ms`` is no later than when that was read.
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
        """Take the changes that lead from this table's revision to ``revision``.

        ``confirmed_ms`` is when they were heard of, ``as_of_ms`` no later than when they were all.
        Returns those that others have to hear of, which heartbeats are not.
        """
        relevant_events: list[KvEvent] = []
        for event in events:
            # Each against what those before it have left: a key may have gone and come back alike.
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
        """Take word that what this table holds was all there was at ``as_of_ms``."""
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)
        self.as_of_ms = max(self.as_of_ms, as_of_ms)

    def record_entry(self, entry: KvEntry) -> None:
        """Take a single key that this node has itself written or read."""
        self._apply_entry(entry)

    def own_entries(self) -> list[KvEntry]:
        """Return the entries that this node knows of by itself alone, beyond ``revision``."""
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
        # A key that is not here though it is no newer than the table has been removed: by then, or
        # before this node started, of which it remembers nothing.
        if entry.key in self.entries or entry.mod_revision > self.revision:
            self._store_entry(entry)

    def _store_entry(self, entry: KvEntry) -> None:
        known = self.entries.get(entry.key)
        newest = known.mod_revision if known else self._removed.get(entry.key, -1)
        if entry.mod_revision <= newest:
            return
        self._removed.pop(entry.key, None)
        self.entries[entry.key] = entry
        if known is None:
            self._absent_ms[entry.key] = self.as_of_ms
        self._newest_revision = max(self._newest_revision, entry.mod_revision)
        if known is None or not self.is_heartbeat(known.value, entry.value):
            self.version += 1

    def _remove_entry(self, key: str, revision: int) -> None:
        known = self.entries.get(key)
        if known is None or known.mod_revision > revision:
            return
        del self.entries[key]
        del self._absent_ms[key]
        self._removed[key] = revision
        self.version += 1

    def _drop_oldest_removals(self) -> None:
        """Drop the oldest half; what is older than the table's revision is ignored anyway."""
        oldest = sorted(self._removed, key=self._removed.__getitem__)
        for key in oldest[: len(oldest) // 2]:
            del self._removed[key]


# Removals remembered beyond the number of keys, about 60 bytes each.
_MAX_EXTRA_REMOVALS = 1000
