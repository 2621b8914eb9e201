"""Which node runs the items of a job.

Membership only decides who tries: a claim counts by the swap of the job's record, and the epoch in
it makes the commits of a former owner fail.
"""

import enum
from collections.abc import Collection

import msgspec

from fescuedock.core.rendezvous import choose_name
from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["MAX_CONFIRM_AGE_MS", "Duty", "MissingOwners", "OwnerIdentity", "duty_of", "is_open"]

# What an owner knows of the records may be this old while it says that nothing more is listed.
# Less than the 1.5 s that an owner has to be missing before another node takes its jobs over.
MAX_CONFIRM_AGE_MS = 1400.0


class Duty(enum.Enum):
    """What a node has to do for a job."""

    NONE = "none"
    RUN = "resumed"
    CLAIM = "claimed"


class OwnerIdentity(msgspec.Struct, frozen=True):
    """A node and the start of its process."""

    node_id: str
    boot: int

    def owns(self, record: StoredJobRecord) -> bool:
        return record.owner_id == self.node_id and record.owner_boot == self.boot


def is_open(record: StoredJobRecord) -> bool:
    """Whether items of the job may still get results."""
    return not record.ended and record.listed < record.total


class MissingOwners(msgspec.Struct):
    """Since when owners of jobs are not among the nodes that membership shows.

    An owner that is missing for less than ``grace_ms`` may only be new to this node, whose own
    view fills in the first second after its start, or be restarting, which takes under a second.
    """

    grace_ms: float = 1500.0
    _since_ms: dict[str, float] = msgspec.field(default_factory=dict)

    def record_present(self, present: Collection[str], now_ms: float) -> None:
        """Take the nodes that are there now, leaving ones included."""
        for node_id in [name for name in self._since_ms if name in present]:
            del self._since_ms[node_id]

    def is_gone(self, node_id: str, present: Collection[str], now_ms: float) -> bool:
        """Whether ``node_id`` has been missing for long enough; notes it as missing if it is."""
        if node_id in present:
            return False
        since_ms = self._since_ms.setdefault(node_id, now_ms)
        return now_ms - since_ms >= self.grace_ms


def duty_of(
    record: StoredJobRecord,
    own: OwnerIdentity,
    accepting_nodes: Collection[str],
    *,
    owner_gone: bool,
    leaving: bool,
) -> Duty:
    """Return this node's part in a job.

    ``accepting_nodes`` are the nodes that take jobs, this one included unless it is ``leaving``.
    A node that was restarted claims its own jobs anew; others leave them to it unless it is gone.
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
