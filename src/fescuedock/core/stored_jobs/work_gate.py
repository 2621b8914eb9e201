"""The single decision whether a node may begin work of a job now.

A job reaches a node in several ways: submitted, forwarded by a neighbour, claimed, or resumed after
a restart.  The record read at that time may be outdated when an item begins, so each start is
checked against the newest record known to the node and the time since it was confirmed.

Pure: the caller passes the record and its age.
"""

import enum

import msgspec

from fescuedock.core.stored_jobs.ownership import OwnerIdentity
from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["RecordFreshness", "WorkRefusal", "refusal_of"]

# An item may still begin for a bounded time after an acknowledged end.  This part of it is reserved
# for the start itself: half for a connection to the upstream (at most 250 ms), half for updates in
# transit.
_START_LATENCY_MS = 600.0


class WorkRefusal(enum.Enum):
    """Why no work of a job may begin."""

    UNKNOWN = "its record is not there"
    ENDED = "its client ended it"
    LISTED = "all its results are listed"
    NOT_OWNED = "another node owns it"
    LEAVING = "this node leaves"
    END_PENDING = "its client wants its end, which is not recorded yet"
    UNCONFIRMED = "its record was not confirmed for too long"

    @property
    def is_final(self) -> bool:
        """Whether this node can never begin work of the job unless it claims the job again."""
        return self not in (
            WorkRefusal.LEAVING,
            WorkRefusal.END_PENDING,
            WorkRefusal.UNCONFIRMED,
        )


class RecordFreshness(msgspec.Struct, frozen=True):
    """How current a node's copy of the job records is.

    ``age_ms`` is the time since the copy was known to be current, ``agreed_age_ms`` the time since
    a queried neighbour had the same records and no newer ones.
    """

    age_ms: float
    store_unavailable: bool = False
    agreed_age_ms: float = float("inf")

    def is_usable(self, max_age_ms: float) -> bool:
        """Whether the node may act on a record.

        While the store answers no node, no end is acknowledged either, so work continues: stopping
        would delay all jobs by the length of the outage.  Neighbours must confirm that the store
        answers no node, as a node that receives no answer from them may be
        the only one that is partitioned.
        """
        if self.age_ms <= max_age_ms:
            return True
        return self.store_unavailable and self.agreed_age_ms <= max_age_ms


def refusal_of(
    record: StoredJobRecord | None,
    own: OwnerIdentity,
    known: RecordFreshness,
    *,
    end_bound_ms: float,
    leaving: bool,
    end_pending: bool = False,
) -> WorkRefusal | None:
    """Return why no item of the job may begin at this node, or None when one may.

    ``record`` is the newest one known to the node, None when there is none; ``end_bound_ms`` is how
    long after an acknowledged end an item may still begin; ``end_pending`` is set when a client
    requested an end from this node that is not recorded yet.
    """
    if record is None:
        return WorkRefusal.UNKNOWN
    if record.ended:
        return WorkRefusal.ENDED
    if not own.owns(record):
        return WorkRefusal.NOT_OWNED
    if record.listed >= record.total:
        return WorkRefusal.LISTED
    if leaving:
        return WorkRefusal.LEAVING
    if end_pending:
        return WorkRefusal.END_PENDING
    if not known.is_usable(end_bound_ms - _START_LATENCY_MS):
        return WorkRefusal.UNCONFIRMED
    return None
