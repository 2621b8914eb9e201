"""The single decision whether an item of a job may begin now.

A job reaches a runner in several ways: pushed, found by a scanner, transferred, or claimed again
after a restart.  The record read at that time may be outdated, so each start is checked against the
newest record known to the runner and the time since it was confirmed to be current.

Pure: the caller passes the known record and the time.
"""

import enum

import msgspec

from fescuedock.core.batch.record import is_final
from fescuedock.schema.batch import JobRecord, JobState

__all__ = ["KnownRecord", "StartRefusal", "next_read_ms", "refusal_of"]

# Share of the maximum age at which a record in use is read again; the rest allows a second try.
_READ_SHARE = 2 / 3


class StartRefusal(enum.Enum):
    """Why no item of a job may begin."""

    NOT_OWNED = "this runner does not own the job"
    ENDED = "the job was cancelled or is final"
    MAYBE_STALE = "the record was changed, or is said to be, and was not read since"
    UNCONFIRMED = "the record was not confirmed for too long"


class KnownRecord(msgspec.Struct, frozen=True):
    """A runner's knowledge of a job's record.

    ``confirmed_at_ms`` is the sending time of the last call whose answer showed ``record`` as
    current; ``maybe_stale`` is set when a notification or conflict indicates a newer record.
    """

    record: JobRecord | None
    owned: bool
    confirmed_at_ms: float
    maybe_stale: bool


def refusal_of(
    known: KnownRecord, now_ms: float, *, max_age_ms: float, kv_away: bool
) -> StartRefusal | None:
    """Return why no item of the job may begin, or None when one may.

    ``kv_away`` is set while the key-value service is unavailable to all VMs.  Then no cancel is
    acknowledged and no job is claimed either, so work continues: stopping would delay all jobs by
    the length of the outage.
    """
    if known.record is None or not known.owned:
        return StartRefusal.NOT_OWNED
    if known.record.state is JobState.CANCELLING or is_final(known.record):
        return StartRefusal.ENDED
    if known.maybe_stale:
        return StartRefusal.MAYBE_STALE
    if now_ms - known.confirmed_at_ms > max_age_ms and not kv_away:
        return StartRefusal.UNCONFIRMED
    return None


def next_read_ms(known: KnownRecord, max_age_ms: float) -> float:
    """Return when to read the record of a running job, unless a commit confirms it before."""
    return known.confirmed_at_ms + max_age_ms * _READ_SHARE
