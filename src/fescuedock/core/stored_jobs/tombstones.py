"""Records of ends that found no job: what was submitted before is not to run when it gets there.

A client may leave before its submission is answered and end the job at another node, while the
write that stores it is still on its way.  The record of the end takes the job's place, so that the
write fails, and an acceptance that finds it stores the job as ended.

Pure: the caller passes the time.
"""

import msgspec

from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["behind_tombstone", "is_tombstone", "tombstone"]

# Clocks of two nodes differ by less.  A client that submits so soon after an end which found
# nothing most likely repeats a submission from before it.
_CLOCKS_APART_MS = 500.0


def tombstone(job_id: str, ended_at_ms: float) -> StoredJobRecord:
    """Return the record of an end that found no job, at ``ended_at_ms`` of Unix time."""
    return StoredJobRecord(
        job_id=job_id,
        host="",
        path="",
        submitted_at_ms=int(ended_at_ms),
        due_in_ms=0,
        retention_ms=0,
        total=0,
        ended=True,
        spec_parts=0,
    )


def is_tombstone(record: StoredJobRecord) -> bool:
    """Whether there is no job behind the record; one that was submitted has items."""
    return record.ended and not record.total


def behind_tombstone(record: StoredJobRecord, found: StoredJobRecord) -> StoredJobRecord:
    """Return how a job is stored in the place of the tombstone ``found``.

    One that was submitted before the end, as far as clocks tell, was ended by it.
    """
    if record.submitted_at_ms > found.submitted_at_ms + _CLOCKS_APART_MS:
        return record
    return msgspec.structs.replace(record, ended=True, owner_id="", owner_boot=0)
