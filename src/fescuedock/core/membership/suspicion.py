"""Decides when a suspected VM counts as gone: after time to refute, and on enough evidence."""

import math
from collections.abc import Callable, Iterable

import msgspec

from fescuedock.core.membership.table import Member, MemberTable
from fescuedock.schema.membership import MemberState
from fescuedock.schema.settings import AgentSettings

__all__ = ["Suspicions", "enough_evidence", "max_weak_removals", "suspicion_ms"]

# With too little evidence a suspicion lasts this much longer, so that others can probe themselves.
_WEAK_DURATION_FACTOR = 3
_MIN_ACCUSERS = 2
_MIN_ACCUSER_DOMAINS = 2


def suspicion_ms(settings: AgentSettings, fleet_size: int) -> float:
    """Return how long a suspected VM may refute; gossip takes more rounds in a large fleet."""
    return settings.suspicion_ms * max(1.0, math.log10(max(1, fleet_size)))


def enough_evidence(vm_id: str, accusers: Iterable[str], table: MemberTable) -> bool:
    """Whether the evidence of ``accusers`` removes ``vm_id`` for the entire fleet.

    This takes two VMs of two failure domains, or as many as the rest of the fleet has.  A VM's own
    statement is enough.
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
        """Start the time of a suspected member; False if it was already started."""
        known = self._by_vm.get(member.vm_id)
        if known is not None and known.incarnation == member.incarnation:
            return False
        self._by_vm[member.vm_id] = _Suspicion(
            member.incarnation, now_ms + duration_ms, now_ms + _WEAK_DURATION_FACTOR * duration_ms
        )
        return True

    def postpone(self, by_ms: float) -> None:
        """Extend all suspicions by time in which this VM could not receive a refutation."""
        for suspicion in self._by_vm.values():
            suspicion.due_ms += by_ms
            suspicion.weak_due_ms += by_ms

    def pop_due(
        self, table: MemberTable, now_ms: float, has_list_support: Callable[[str], bool]
    ) -> tuple[list[Member], list[Member]]:
        """Return the members to remove now: those with enough evidence, and those with too little.

        ``has_list_support`` says whether the VM list, evidence other than probes, supports a
        removal.
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
    """Return how many more members may be removed on weak evidence.

    ``share`` bounds those removed so at the same time, as a share of them and the members present.
    """
    dropped = sum(member.gone and member.local_only for member in table)
    present = table.present_count
    return max(0, math.floor(share * (present + dropped)) - dropped)


def _still_suspected(member: Member | None, suspicion: _Suspicion) -> bool:
    return (
        member is not None
        and member.incarnation == suspicion.incarnation
        and member.state in (MemberState.SUSPECT, MemberState.LEAVING)
    )
