"""Reads a job's results from the node that owns the job, instead of from the store.

Committed results never change, so any results that the owner has may be returned.  Only a node
whose replica is recent enough to show a takeover of the job can confirm that there are no more.
"""

from collections.abc import Callable

import msgspec
from result import Err

from fescuedock.address import Address
from fescuedock.core.stored_jobs.cache import CachedJob, JobCache
from fescuedock.core.stored_jobs.ownership import MAX_CONFIRM_AGE_MS, OwnerIdentity
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.node.replicas import CallNeighbour, Replicas
from fescuedock.schema.stored_jobs import (
    ReadResults,
    ReadResultsReply,
    ResultGroup,
    StoredJobRecord,
)

__all__ = ["OwnerReads"]

# Largest size of the results in one answer.  An owner that has more sends none: readers may hold
# only complete groups of results, as a read of the store can only continue at the end of a group.
_MAX_REPLY_BYTES = 700_000
# An owner answers in 1 to 7 ms; after this timeout the store is read.
_REPLY_TIMEOUT_MS = 120.0


class OwnerReads(msgspec.Struct):
    """Reads results from owners, and answers such reads of other nodes.

    ``address_of`` returns the address of a live node.  ``listed_count`` returns how many results
    of a job are listed if this node runs the job, else None.  The cache alone does not show that,
    since it evicts jobs when it is full.

    Without it each read that finds nothing new is a call of the store, which is billed: 349 of 800
    calls on a day with little load.
    """

    cache: JobCache
    replicas: Replicas
    live_prefix: str
    owner: OwnerIdentity
    call_neighbour: CallNeighbour
    address_of: Callable[[str], Address | None]
    listed_count: Callable[[str], int | None]

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Return the handlers by message type, to be merged with those of other services."""
        return {ReadResults: self._on_read}

    async def read(self, record: StoredJobRecord, known: int) -> ReadResultsReply | None:
        """Return the owner's results after the first ``known``; None when it does not answer."""
        if self.owner.owns(record):
            return self._reply(record.job_id, known)
        address = self.address_of(record.owner_id)
        if address is None:
            return None
        message = ReadResults(record.job_id, known)
        answer = await self.call_neighbour(address, message, _REPLY_TIMEOUT_MS)
        if isinstance(answer, Err):
            log_event(
                "job_owner_silent",
                job_id=record.job_id,
                owner=record.owner_id,
                epoch=record.epoch,
                reason=answer.err_value.message,
            )
            return None
        return answer.ok_value

    async def _on_read(self, message: ReadResults, _peer: ServerPeer) -> ReadResultsReply:
        return self._reply(message.job_id, message.known)

    def _reply(self, job_id: str, known: int) -> ReadResultsReply:
        job = self.cache.get(job_id)
        if job is None:
            return ReadResultsReply(ResultGroup(known, []), False)
        results = job.page(known, _MAX_REPLY_BYTES)
        if known + len(results) < len(job.results):
            return ReadResultsReply(ResultGroup(known, []), False)
        is_current = job.is_complete or self._has_all_listed(job_id, job)
        return ReadResultsReply(ResultGroup(known, results), is_current)

    def _has_all_listed(self, job_id: str, job: CachedJob) -> bool:
        """Whether the cache holds all listed results of a job that this node still owns."""
        age_ms = self.replicas.update_age_ms(self.live_prefix)
        return age_ms <= MAX_CONFIRM_AGE_MS and self.listed_count(job_id) == len(job.results)
