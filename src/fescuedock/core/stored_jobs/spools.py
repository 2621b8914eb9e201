"""Which disks keep a job while the metadata store is away, and what their answers mean.

A job counts as accepted once as many disks hold it as may be lost at once, and one more, each in a
failure domain of its own as far as there are enough.  Until it is in the store no node may say that
there is no such job.

Pure: the caller passes the time.
"""

from collections.abc import Collection, Iterable

import msgspec

from fescuedock.core.rendezvous import rank_names
from fescuedock.schema.stored_jobs import NodeRecord

__all__ = ["SilentSpools", "choose_spools"]


def choose_spools(job_id: str, spools: Iterable[NodeRecord]) -> list[NodeRecord]:
    """Return the spools in the order in which they are queried to keep a job.

    Every node has the same order for a job, so that one which comes again is written nowhere else;
    spools of failure domains that come first again go behind those of new ones.
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
    """Which spools do not answer, and since when.

    One that has been silent for ``lost_after_ms`` is taken for lost with its disk: jobs that it
    held have other copies, which were stored long since.  A machine that was taken away would
    otherwise leave every question about an unknown job open for good.
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
        """Whether a spool has been silent for so long that its answer is not waited for."""
        since_ms = self._silent_since_ms.get(vm_id, now_ms)
        return now_ms - since_ms >= self.lost_after_ms

    def may_hold(self, queried: Collection[str], denied: Collection[str], now_ms: float) -> bool:
        """Whether any of the spools ``queried``, of which some have denied it, may hold a job."""
        return any(vm_id not in denied and not self.is_lost(vm_id, now_ms) for vm_id in queried)
