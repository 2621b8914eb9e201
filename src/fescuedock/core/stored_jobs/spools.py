"""Chooses the spools that store a job while the metadata store is unavailable.

A job counts as accepted once one more disk holds it than may be lost at once, each in a failure
domain of its own as far as there are enough domains.  Until the job is in the store, no node may
answer that it does not exist.

Pure: the caller passes the time.
"""

from collections.abc import Collection, Iterable

import msgspec

from fescuedock.core.rendezvous import rank_names
from fescuedock.schema.stored_jobs import NodeRecord

__all__ = ["SilentSpools", "choose_spools"]


def choose_spools(job_id: str, spools: Iterable[NodeRecord]) -> list[NodeRecord]:
    """Return the spools in the order in which they are requested to store a job.

    The order for a job is the same at every node, so that a resubmitted job goes to the same
    spools.  The first spool of each failure domain precedes all further spools of any domain.
    """
    by_id = {spool.vm_id: spool for spool in spools}
    first: list[NodeRecord] = []
    others: list[NodeRecord] = []
    domains: set[str] = set()
    for name in rank_names(job_id, by_id):
        spool = by_id[name]
        (others if spool.failure_domain in domains else first).append(spool)
        domains.add(spool.failure_domain)
    return first + others


class SilentSpools(msgspec.Struct):
    """Tracks the spools that do not answer, and since when.

    A spool that has been silent for ``lost_after_ms`` is considered lost with its disk: its jobs
    have other copies, which have been written to the store by then.  Otherwise a removed machine
    would leave every query about an unknown job unanswered forever.
    """

    lost_after_ms: float = 60_000.0
    _silent_since_ms: dict[str, float] = msgspec.field(default_factory=dict)

    def record_answer(self, vm_id: str) -> None:
        self._silent_since_ms.pop(vm_id, None)

    def record_silence(self, vm_id: str, now_ms: float) -> None:
        self._silent_since_ms.setdefault(vm_id, now_ms)

    def is_silent(self, vm_id: str) -> bool:
        return vm_id in self._silent_since_ms

    def is_lost(self, vm_id: str, now_ms: float) -> bool:
        """Whether a spool has been silent for so long that its answer is no longer awaited."""
        since_ms = self._silent_since_ms.get(vm_id, now_ms)
        return now_ms - since_ms >= self.lost_after_ms

    def may_hold(self, queried: Collection[str], denied: Collection[str], now_ms: float) -> bool:
        """Whether any of the ``queried`` spools may hold a job, apart from those in ``denied``."""
        return any(vm_id not in denied and not self.is_lost(vm_id, now_ms) for vm_id in queried)
