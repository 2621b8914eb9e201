"""Determines whether a write of a job's record took effect when its answer was lost or refused."""

import enum

from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["CommitState", "check_commit"]


class CommitState(enum.Enum):
    """Outcome of a commit according to the record as read again."""

    # The record contains the commit, if the stored group at its position is the committed one.
    DONE = enum.auto()
    # The record does not contain it; the commit may be retried on the current record.
    RETRY = enum.auto()
    # The job was ended, has another owner, or has other results at the position of the commit.
    LOST = enum.auto()


def check_commit(
    wanted: StoredJobRecord, found: StoredJobRecord | None, first_position: int
) -> CommitState:
    """Compare the record that a commit tried to write with the stored one.

    ``first_position`` is that of the group of results; a listed position is never written again.
    """
    if found is None or found.ended:
        return CommitState.LOST
    same_owner = (found.owner_id, found.owner_boot, found.epoch) == (
        wanted.owner_id,
        wanted.owner_boot,
        wanted.epoch,
    )
    if not same_owner:
        return CommitState.LOST
    if found.listed == first_position:
        return CommitState.RETRY
    return CommitState.DONE if found.listed >= wanted.listed else CommitState.LOST
