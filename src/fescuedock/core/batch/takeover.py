"""Decides when a runner claims a job that was pushed to it or found by a scan.

A wrong claim costs duplicate work but never a wrong result, as the epoch decides whose commits take
effect.  Therefore silence and membership are sufficient evidence that an owner has failed.
"""

from enum import StrEnum, auto

import msgspec

from fescuedock.core.rendezvous import choose_name, rank_names
from fescuedock.schema.view import VmRecord

__all__ = [
    "OwnerAnswer",
    "RunnerName",
    "SilentOwners",
    "TakeoverDecision",
    "decide_takeover",
    "is_scanner",
    "preferred_runner",
]


class TakeoverDecision(StrEnum):
    """What to do about a job that another runner may own."""

    CLAIM = auto()
    QUERY_OWNER = auto()
    LEAVE = auto()


class OwnerAnswer(StrEnum):
    """Answer of the recorded owner to the query whether it runs the job."""

    RUNNING = auto()
    NOT_RUNNING = auto()
    SILENT = auto()


class RunnerName(msgspec.Struct, frozen=True):
    """The name under which a runner claims jobs: its VM and the incarnation of its process."""

    vm_id: str
    incarnation: str

    @classmethod
    def parse(cls, text: str) -> "RunnerName":
        vm_id, _, incarnation = text.rpartition("/")
        return cls(vm_id, incarnation)

    def __str__(self) -> str:
        return f"{self.vm_id}/{self.incarnation}"


class SilentOwners:
    """Tracks since when the owner of each job has not answered."""

    __slots__ = ("_since_ms",)

    def __init__(self) -> None:
        self._since_ms: dict[str, float] = {}

    def record_silence(self, job_id: str, now_ms: float) -> float:
        """Record that the owner is silent; return for how long it has been."""
        return now_ms - self._since_ms.setdefault(job_id, now_ms)

    def is_silent(self, job_id: str) -> bool:
        """Return whether the job's owner was silent at the last query."""
        return job_id in self._since_ms

    def clear(self, job_id: str) -> None:
        self._since_ms.pop(job_id, None)


def decide_takeover(
    owner: str,
    me: RunnerName,
    owner_vm: VmRecord | None,
    answer: OwnerAnswer | None,
    silent_ms: float,
    takeover_silence_ms: float,
) -> TakeoverDecision:
    """Decide about a job that ``me`` does not run; ``answer`` is None before the owner is queried.

    ``owner_vm`` is None when the owner's VM is not in the view.
    """
    if not owner or owner_vm is None or owner_vm.vm_id == me.vm_id:
        return TakeoverDecision.CLAIM
    if answer is None:
        return TakeoverDecision.QUERY_OWNER
    if answer is OwnerAnswer.NOT_RUNNING:
        return TakeoverDecision.CLAIM
    if answer is OwnerAnswer.SILENT and silent_ms >= takeover_silence_ms:
        return TakeoverDecision.CLAIM
    return TakeoverDecision.LEAVE


def preferred_runner(job_id: str, vms: list[VmRecord]) -> VmRecord | None:
    """Return the VM of ``vms`` whose runner should own the job."""
    by_id = {vm.vm_id: vm for vm in vms}
    return by_id.get(choose_name(job_id, by_id))


def is_scanner(vm_id: str, vms: list[VmRecord], scanners_per_domain: int) -> bool:
    """Return whether ``vm_id`` is one of the VMs that scan open jobs for its failure domain."""
    domain = next((vm.failure_domain for vm in vms if vm.vm_id == vm_id), None)
    names = [vm.vm_id for vm in vms if vm.failure_domain == domain]
    return vm_id in rank_names(f"scanner/{domain}", names)[:scanners_per_domain]
