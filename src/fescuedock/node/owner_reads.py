"""Reads of a job's results from the node that owns the job, in place of the store.

Committed results never change, so whatever the owner has may be shown.  That there are no more can
only be said by a node that would have heard if another one had taken the job over.
"""

from collections.abc import Callable

import msgspec
from result import Err

from fescuedock.address import Address
from fescuedock.core.stored_jobs.cache import CachedJob, JobCache
from fescuedock.core.stored_jobs.ownership import VOUCH_AGE_MS, OwnerIdentity
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

# The most bytes of results in one answer.  An owner that has more sends none: readers may only keep
# whole groups of results, as the store can be read on from the end of a group and nowhere else.
_MAX_REPLY_BYTES = 700_000
# An owner answers in 1 to 7 ms; after that long the store is asked.
_REPLY_TIMEOUT_MS = 120.0


class OwnerReads(msgspec.Struct):
    """``address_of`` gives the address of a live node.

    ``listed_of`` gives how many results are listed of a job that this node runs, None for others.
    The cache alone cannot tell: it forgets jobs when it is full.

    Before, each read that found nothing new was a call of the store: 349 of the 800 calls that were
    paid for on a calm day.
    """

    cache: JobCache
    replicas: Replicas
    live_prefix: str
    owner: OwnerIdentity
    call_neighbour: CallNeighbour
    address_of: Callable[[str], Address | None]
    listed_count: Callable[[str], int | None]

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Handlers by message type, to be merged with those of other services."""
        return {ReadResults: self._on_read}

    async def read(self, record: StoredJobRecord, known: int) -> ReadResultsReply | None:
        """Return what the owner of ``record`` has beyond ``known``; None when it does not say."""
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
        """Whether the cache holds all that is listed of a job that this node still owns."""
        age_ms = self.replicas.update_age_ms(self.live_prefix)
        return age_ms <= VOUCH_AGE_MS and self.listed_count(job_id) == len(job.results)
