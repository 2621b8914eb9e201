"""Decides which node runs the items of a job.

Membership only selects the node that tries: a claim takes effect by a compare-and-swap of the job's
record, and the epoch in the record makes commits of a former owner fail.
"""

import enum
from collections.abc import Collection

import msgspec

from fescuedock.core.rendezvous import choose_name
from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = [
    "IDLE_OWNER_GRACE_MS",
    "MAX_CONFIRM_AGE_MS",
    "Duty",
    "MissingOwners",
    "OwnerIdentity",
    "StorePath",
    "duty_of",
    "is_open",
]

# Largest age of an owner's copy of the records at which it may confirm that no more results are
# listed.  Less than the 1.5 s that an owner must be missing before another node claims its jobs.
MAX_CONFIRM_AGE_MS = 1400.0

# An owner that is present and says for this long that it runs no jobs loses those that it has not
# given away by itself.
IDLE_OWNER_GRACE_MS = 4000.0
# Calls about jobs have failed for this long when the path to the key-value service counts as lost.
_PATH_LOST_AFTER_MS = 6000.0
# Without a further call the path counts as usable again, so that one is tried.
_PATH_RETRY_MS = 5000.0


class Duty(enum.Enum):
    """What a node must do for a job."""

    NONE = "none"
    RUN = "resumed"
    CLAIM = "claimed"


class OwnerIdentity(msgspec.Struct, frozen=True):
    """A node and the incarnation of its process."""

    node_id: str
    boot: int

    def owns(self, record: StoredJobRecord) -> bool:
        return record.owner_id == self.node_id and record.owner_boot == self.boot


def is_open(record: StoredJobRecord) -> bool:
    """Whether further results may still be added to the job."""
    return not record.ended and record.listed < record.total


class MissingOwners(msgspec.Struct):
    """Tracks since when owners of jobs have been missing from the membership view.

    An owner that has been missing for less than ``grace_ms`` may not be in this node's view yet,
    which fills in the first second after its start, or may be restarting, which takes less than a
    second.
    """

    grace_ms: float = 1500.0
    _since_ms: dict[str, float] = msgspec.field(default_factory=dict)

    def record_present(self, present: Collection[str], now_ms: float) -> None:
        """Forget missing owners that are among the present nodes, which include leaving ones."""
        for node_id in [name for name in self._since_ms if name in present]:
            del self._since_ms[node_id]

    def is_gone(self, node_id: str, present: Collection[str], now_ms: float) -> bool:
        """Whether ``node_id`` has been missing for ``grace_ms``; records when it went missing."""
        if node_id in present:
            return False
        since_ms = self._since_ms.setdefault(node_id, now_ms)
        return now_ms - since_ms >= self.grace_ms


class StorePath(msgspec.Struct):
    """Whether this node's own calls about jobs reach the key-value service."""

    _failing_since_ms: float | None = None
    _last_failure_ms: float = float("-inf")

    def record(self, *, answered: bool, now_ms: float) -> None:
        """Record the outcome of a call."""
        if answered:
            self._failing_since_ms = None
            return
        self._last_failure_ms = now_ms
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms

    def is_lost(self, now_ms: float) -> bool:
        """Whether all calls have failed for long, the last one recently."""
        since_ms = self._failing_since_ms
        return (
            since_ms is not None
            and now_ms - since_ms >= _PATH_LOST_AFTER_MS
            and now_ms - self._last_failure_ms < _PATH_RETRY_MS
        )


def duty_of(
    record: StoredJobRecord,
    own: OwnerIdentity,
    accepting_nodes: Collection[str],
    *,
    owner_gone: bool,
    leaving: bool,
) -> Duty:
    """Return what this node must do for a job.

    ``accepting_nodes`` are the nodes that accept jobs, including this one unless it is ``leaving``.
    A restarted node claims its own jobs again; other nodes do so only once it is gone.
    """
    if leaving or not is_open(record):
        return Duty.NONE
    if own.owns(record):
        return Duty.RUN
    if record.owner_id == own.node_id:
        return Duty.CLAIM
    if record.owner_id and not owner_gone:
        return Duty.NONE
    chosen = choose_name(record.job_id, accepting_nodes)
    return Duty.CLAIM if chosen == own.node_id else Duty.NONE
