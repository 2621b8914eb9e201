"""One VM's copy of the configuration, whose version never decreases.

A higher version is applied when its chained hash matches; a lower one, or a different one of the
same number, is refused and stored as an alarm.  Only the key-value service knows the newest
version, so each confirmation carries the time at which that service was queried.
"""

from collections import deque
from collections.abc import Sequence
from enum import StrEnum
from math import inf

import msgspec

from fescuedock.core.config.record import apply_delta, chain_agrees, empty_record, last_delta
from fescuedock.schema.config import ConfigDelta, ConfigRecord

__all__ = ["Alarm", "AlarmKind", "OfferResult", "Replica"]

# Enough for peers that missed a few messages; peers that missed more get the full record.
_MAX_DELTAS = 32


class AlarmKind(StrEnum):
    """Kind of a problem that requires an operator."""

    REVERTED = "reverted"
    FORKED = "forked"
    CORRUPT = "corrupt"


class Alarm(msgspec.Struct, frozen=True):
    """A configuration offered by the service or a peer was refused."""

    kind: AlarmKind
    source: str
    offered_version: int
    own_version: int


class OfferResult(StrEnum):
    """Result of offering a record or delta to the replica."""

    APPLIED = "applied"
    KNOWN = "known"
    GAP = "gap"
    REFUSED = "refused"
    # Read before a version that is now known was written.
    OVERTAKEN = "overtaken"


class Replica(msgspec.Struct):
    """The record in force; ``kv_revision`` is its key's revision, 0 when unknown."""

    record: ConfigRecord = msgspec.field(default_factory=empty_record)
    kv_revision: int = 0
    confirmed_at_ms: float = -inf
    # The highest version announced by any peer, and when it was first received.
    highest_seen_version: int = 0
    highest_seen_at_ms: float = -inf
    alarm: Alarm | None = None
    _deltas: deque[ConfigDelta] = msgspec.field(default_factory=lambda: deque(maxlen=_MAX_DELTAS))

    @property
    def version(self) -> int:
        return self.record.version

    @property
    def ever_confirmed(self) -> bool:
        """Whether a version in force was ever confirmed as the newest."""
        return self.confirmed_at_ms > -inf

    def record_peer_version(self, version: int, now_ms: float) -> None:
        """Record a version that a peer has, whether or not this replica has it."""
        if version > self.highest_seen_version:
            self.highest_seen_version = version
            self.highest_seen_at_ms = now_ms

    def offer_record(self, record: ConfigRecord, source: str, kv_revision: int = 0) -> OfferResult:
        """Apply a full record from ``source`` if it is a later version of the same chain."""
        if record.version < self.version:
            return OfferResult.KNOWN
        if not chain_agrees(self.record, record):
            return self._refuse(AlarmKind.FORKED, source, record.version)
        if record.version == self.version:
            self.kv_revision = kv_revision or self.kv_revision
            return OfferResult.KNOWN
        self._deltas.clear()
        self._apply(record, kv_revision)
        delta = last_delta(record, kv_revision)
        if delta is not None:
            self._deltas.append(delta)
        return OfferResult.APPLIED

    def offer_delta(self, delta: ConfigDelta) -> OfferResult:
        """Apply the delta of the next version; ``GAP`` when the full record is needed."""
        if delta.applied.version <= self.version:
            return OfferResult.KNOWN
        successor = apply_delta(self.record, delta)
        if successor is None:
            return OfferResult.GAP
        self._apply(successor, delta.kv_revision)
        self._deltas.append(delta)
        return OfferResult.APPLIED

    def accept(self, record: ConfigRecord, delta: ConfigDelta) -> None:
        """Apply a version that this VM itself wrote."""
        if (
            delta.applied.version == self.version + 1
            and self.offer_delta(delta) is OfferResult.APPLIED
        ):
            return
        self.offer_record(record, "own write", delta.kv_revision)

    def observe_kv(
        self, record: ConfigRecord, kv_revision: int, requested_at_ms: float
    ) -> OfferResult:
        """Handle the record that the key-value service held at or after ``requested_at_ms``.

        A record older than any version announced before that time means that the service was
        restored from a backup, and is refused.  A read that was in progress while the version in
        force was written proves nothing.
        """
        if record.version < self.version and self._first_seen_after(requested_at_ms):
            return OfferResult.OVERTAKEN
        lowest = self.highest_seen_version if self.highest_seen_at_ms <= requested_at_ms else 0
        if record.version < max(self.version, lowest):
            return self._refuse(AlarmKind.REVERTED, "key-value service", record.version)
        offer = self.offer_record(record, "key-value service", kv_revision)
        if offer is not OfferResult.REFUSED:
            self.confirm(requested_at_ms)
            self.alarm = None
        return offer

    def _first_seen_after(self, requested_at_ms: float) -> bool:
        """Whether the version in force was first received after ``requested_at_ms``."""
        return (
            self.highest_seen_version >= self.version and self.highest_seen_at_ms > requested_at_ms
        )

    def confirm(self, requested_at_ms: float) -> None:
        """Record that the version in force was the newest at or after ``requested_at_ms``."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, requested_at_ms)

    def raise_alarm(self, kind: AlarmKind, source: str, offered_version: int) -> None:
        self.alarm = Alarm(kind, source, offered_version, self.version)

    def deltas_after(self, version: int) -> Sequence[ConfigDelta]:
        """Return the deltas from ``version`` to the one in force; empty when one is missing."""
        deltas = [delta for delta in self._deltas if delta.applied.version > version]
        return deltas if len(deltas) == self.version - version else ()

    def _apply(self, record: ConfigRecord, kv_revision: int) -> None:
        self.record = record
        self.kv_revision = kv_revision

    def _refuse(self, kind: AlarmKind, source: str, offered_version: int) -> OfferResult:
        self.raise_alarm(kind, source, offered_version)
        return OfferResult.REFUSED
