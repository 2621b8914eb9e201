"""Anti-entropy: compares complete member tables with one member at a time.

This finds the updates that gossip has not delivered.
"""

from random import Random

from fescuedock.core.membership.actions import Action
from fescuedock.core.membership.composer import Composer
from fescuedock.core.membership.freshness import ReplayWindows
from fescuedock.core.membership.table import BUCKETS, Member, MemberTable, bucket_of
from fescuedock.schema.membership import SyncReply, SyncRequest

__all__ = ["TableSync"]

_INTERVAL_MS = 10000
_RETRY_MS = 500
_MAX_REPLY_DATAGRAMS = 8
# Limits the requests that one VM serves: when a fleet starts, all VMs first query the same one.
_MAX_SERVED_PER_S = 5


class TableSync:
    """Queries one random member about every ten seconds, sooner while it has more to send."""

    __slots__ = (
        "_composer",
        "_due_ms",
        "_rng",
        "_served",
        "_served_since_ms",
        "_table",
        "_vm_id",
        "_windows",
    )

    def __init__(
        self,
        vm_id: str,
        table: MemberTable,
        windows: ReplayWindows,
        composer: Composer,
        rng: Random,
        now_ms: float,
    ) -> None:
        self._vm_id = vm_id
        self._table = table
        self._windows = windows
        self._composer = composer
        self._rng = rng
        self._due_ms = now_ms
        self._served = 0
        self._served_since_ms = now_ms

    @property
    def due_ms(self) -> float:
        """Time of the next comparison."""
        return self._due_ms

    def tick(self, now_ms: float) -> list[Action]:
        """Return a request to a random member when a comparison is due."""
        if now_ms < self._due_ms:
            return []
        # Replies of members that have not proved their boot would be dropped.
        known = [
            item
            for item in self._table.present()
            if item.vm_id != self._vm_id and self._windows.has_proved(item.vm_id)
        ]
        if not known:
            return []
        # Retry soon unless a reply arrives, since request or reply may be lost.
        self._due_ms = now_ms + _RETRY_MS
        return [self._composer.sync_request(self._rng.choice(known))]

    def serve(self, sender: Member, message: SyncRequest, now_ms: float) -> list[Action]:
        """Return replies with every member in the buckets whose hashes differ."""
        if not self._may_serve(now_ms):
            return []
        own = self._table.bucket_hashes()
        differing = {
            bucket for bucket in range(BUCKETS) if own[bucket] != message.bucket_hashes[bucket]
        }
        members = [item for item in self._table if bucket_of(item.vm_id) in differing]
        self._rng.shuffle(members)
        updates = [item.update() for item in members]
        return list(self._composer.sync_replies(sender, updates, _MAX_REPLY_DATAGRAMS))

    def record_reply(self, message: SyncReply, now_ms: float) -> None:
        """Schedule the next comparison, unless the sender has more to send."""
        if not message.more:
            self._due_ms = now_ms + _INTERVAL_MS * self._rng.uniform(0.5, 1.5)

    def _may_serve(self, now_ms: float) -> bool:
        if now_ms - self._served_since_ms >= 1000:
            self._served_since_ms = now_ms
            self._served = 0
        self._served += 1
        return self._served <= _MAX_SERVED_PER_S
