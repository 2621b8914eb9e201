"""When a suspected VM counts as gone: after time to refute, and on evidence of enough others."""

import math
from collections.abc import Callable, Iterable

import msgspec

from fescuedock.core.membership.table import Member, MemberTable
from fescuedock.schema.membership import MemberState
from fescuedock.schema.settings import AgentSettings

__all__ = ["Suspicions", "enough_evidence", "max_weak_removals", "suspicion_ms"]

# With too little evidence a suspicion lasts longer, for others to look for themselves.
_WEAK_DURATION_FACTOR = 3
_MIN_ACCUSERS = 2
_MIN_ACCUSER_DOMAINS = 2


def suspicion_ms(settings: AgentSettings, fleet_size: int) -> float:
    """Return how long a suspected VM may refute; news needs more rounds in a large fleet."""
    return settings.suspicion_ms * max(1.0, math.log10(max(1, fleet_size)))


def enough_evidence(vm_id: str, accusers: Iterable[str], table: MemberTable) -> bool:
    """Whether ``accusers`` may remove ``vm_id`` for everybody.

    Two VMs of two failure domains, or as many as the rest of the fleet can give.  A VM's own word
    is enough.
    """
    named = set(accusers)
    if vm_id in named:
        return True
    members = [table.get(name) for name in named]
    known = [member for member in members if member is not None and not member.gone]
    domains = {member.failure_domain for member in known}
    subject = table.get(vm_id)
    others = table.present_count - (subject is not None and not subject.gone)
    return len(known) >= min(_MIN_ACCUSERS, others) and len(domains) >= min(
        _MIN_ACCUSER_DOMAINS, table.count_domains(vm_id)
    )


class _Suspicion(msgspec.Struct):
    incarnation: int
    due_ms: float
    weak_due_ms: float


class Suspicions:
    """The time that each suspected member has left."""

    __slots__ = ("_by_vm",)

    def __init__(self) -> None:
        self._by_vm: dict[str, _Suspicion] = {}

    def __len__(self) -> int:
        return len(self._by_vm)

    def start(self, member: Member, duration_ms: float, now_ms: float) -> bool:
        """Begin to count for a suspected member; False when that was done before."""
        known = self._by_vm.get(member.vm_id)
        if known is not None and known.incarnation == member.incarnation:
            return False
        self._by_vm[member.vm_id] = _Suspicion(
            member.incarnation, now_ms + duration_ms, now_ms + _WEAK_DURATION_FACTOR * duration_ms
        )
        return True

    def postpone(self, by_ms: float) -> None:
        """Add the time in which this VM could not have heard a refutation."""
        for suspicion in self._by_vm.values():
            suspicion.due_ms += by_ms
            suspicion.weak_due_ms += by_ms

    def pop_due(
        self, table: MemberTable, now_ms: float, has_list_support: Callable[[str], bool]
    ) -> tuple[list[Member], list[Member]]:
        """Return the members to remove now: on enough evidence, and on too little.

        ``has_list_support`` says whether other evidence than probes speaks for a removal.
        """
        strong: list[Member] = []
        weak: list[Member] = []
        for vm_id, suspicion in list(self._by_vm.items()):
            member = table.get(vm_id)
            if not _still_suspected(member, suspicion):
                del self._by_vm[vm_id]
            elif suspicion.due_ms <= now_ms and (
                has_list_support(vm_id) or enough_evidence(vm_id, member.accusers, table)
            ):
                strong.append(member)
            elif suspicion.weak_due_ms <= now_ms:
                weak.append(member)
        return strong, weak


def max_weak_removals(table: MemberTable, share: float) -> int:
    """Return how many more members may be dropped on weak evidence at the same time."""
    dropped = sum(member.gone and member.local_only for member in table)
    present = table.present_count
    return max(0, math.floor(share * (present + dropped)) - dropped)


def _still_suspected(member: Member | None, suspicion: _Suspicion) -> bool:
    return (
        member is not None
        and member.incarnation == suspicion.incarnation
        and member.state in (MemberState.SUSPECT, MemberState.LEAVING)
    )
