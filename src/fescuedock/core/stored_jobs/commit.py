"""Finds out what became of a change of a job's record whose answer was lost or refused."""

import enum

from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["CommitState", "check_commit"]


class CommitState(enum.Enum):
    """What a record that was read again says of a commit."""

    # The commit is there.
    DONE = enum.auto()
    # It is not, and may be tried again on the record as it is now.
    RETRY = enum.auto()
    # The job was ended or has another owner: nothing of ours is to be written any more.
    LOST = enum.auto()


def check_commit(wanted: StoredJobRecord, found: StoredJobRecord | None) -> CommitState:
    """Compare the record that a commit was to write with the one that is there."""
    if found is None or found.ended:
        return CommitState.LOST
    same_owner = (found.owner_id, found.owner_boot, found.epoch) == (
        wanted.owner_id,
        wanted.owner_boot,
        wanted.epoch,
    )
    if not same_owner:
        return CommitState.LOST
    return CommitState.DONE if found.listed >= wanted.listed else CommitState.RETRY
