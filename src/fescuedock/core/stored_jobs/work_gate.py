"""Whether a node may begin work of a job now: the one place that decides it.

A job comes to a node by several ways: submitted, passed on by a neighbour, claimed, resumed after a
restart.  What was read on the way may have been overtaken before an item begins, so each beginning
is judged by the newest record that the node knows, and by how long nobody has confirmed it.

Pure: the caller passes the record and what it knows of its age.
"""

import enum

import msgspec

from fescuedock.core.stored_jobs.ownership import OwnerIdentity
from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["RecordFreshness", "WorkRefusal", "refusal_of"]

# Of the time in which an item may still begin after an acknowledged end, what its own way takes:
# half for a connection to the upstream (250 ms at the most), half for news that were on their way.
_START_LATENCY_MS = 600.0


class WorkRefusal(enum.Enum):
    """Why no work of a job may begin."""

    UNKNOWN = "its record is not there"
    ENDED = "its client ended it"
    LISTED = "all its results are listed"
    NOT_OWNED = "another node owns it"
    LEAVING = "this node leaves"
    END_WANTED = "its client wants its end, which is not recorded yet"
    UNCONFIRMED = "its record was not confirmed for too long"

    @property
    def is_final(self) -> bool:
        """Whether this node can never again begin work of the job, unless it claims it anew."""
        return self not in (
            WorkRefusal.LEAVING,
            WorkRefusal.END_WANTED,
            WorkRefusal.UNCONFIRMED,
        )


class RecordFreshness(msgspec.Struct, frozen=True):
    """How good a node's knowledge of all records is; ages in milliseconds.

    ``age_ms`` is the time since they were known to be current, ``agreed_age_ms`` the time since a
    neighbour that was asked knew as much, and nothing newer.
    """

    age_ms: float
    store_unavailable: bool = False
    agreed_age_ms: float = float("inf")

    def is_usable(self, max_age_ms: float) -> bool:
        """Whether a record may be acted upon.

        While the store answers nobody no end is acknowledged either, so work goes on: stopping
        would cost all jobs the length of an outage.  That it answers nobody is what neighbours say;
        a node that hears from none of them may be the only one that is cut off.
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

    ``record`` is the newest that the node knows, None when there is none; ``end_bound_ms`` is how
    long after an acknowledged end an item may still begin; ``end_pending`` says that a client asked
    this node for an end which could not be recorded so far.
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
        return WorkRefusal.END_WANTED
    if not known.is_usable(end_bound_ms - _START_LATENCY_MS):
        return WorkRefusal.UNCONFIRMED
    return None
