"""Whether an item of a job may begin now: the one place that decides it.

A job comes to a runner by several ways: pushed, found by a scanner, handed over, claimed again
after a restart.  Whatever was read on the way may have been overtaken since, so each beginning is
judged by the newest record that the runner knows, and by how long ago that was known to be current.

Pure: the caller passes what it knows and what time it is.
"""

import enum

import msgspec

from fescuedock.core.batch.record import is_final
from fescuedock.schema.batch import JobRecord, JobState

__all__ = ["KnownRecord", "StartRefusal", "next_read_ms", "refusal_of"]

# Share of the largest age at which a record in use is read again; the rest is for a second try.
_READ_SHARE = 2 / 3


class StartRefusal(enum.Enum):
    """Why no item of a job may begin."""

    NOT_OWNED = "this runner does not own the job"
    ENDED = "the job was cancelled or is final"
    MAYBE_STALE = "the record was changed, or is said to be, and was not read since"
    UNCONFIRMED = "the record was not confirmed for too long"


class KnownRecord(msgspec.Struct, frozen=True):
    """What a runner knows of a job.

    ``confirmed_at_ms`` is when the last call was sent whose answer showed ``record`` as current;
    ``maybe_stale`` says that something points to a newer one.
    """

    record: JobRecord | None
    owned: bool
    confirmed_at_ms: float
    maybe_stale: bool


def refusal_of(
    known: KnownRecord, now_ms: float, *, max_age_ms: float, kv_away: bool
) -> StartRefusal | None:
    """Return why no item of the job may begin, or None when one may.

    ``kv_away`` says that the key-value service answers nobody.  Then no cancel is acknowledged and
    no job is claimed either, so work goes on: stopping would cost all jobs the length of an outage.
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
    """Return when the record of a job in work is to be read, unless a commit confirms it before."""
    return known.confirmed_at_ms + max_age_ms * _READ_SHARE
