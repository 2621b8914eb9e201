"""The member table of one VM: merges updates by precedence, and hashes members for comparison."""

from collections import Counter
from collections.abc import Iterable, Iterator
from hashlib import blake2b

import msgspec

from fescuedock.schema.membership import MemberState, VmProfile, VmUpdate
from fescuedock.schema.view import VmRecord

__all__ = ["BUCKETS", "MAX_ACCUSERS", "Member", "MemberTable", "bucket_of"]

BUCKETS = 32
MAX_ACCUSERS = 4
_RANK = {state: rank for rank, state in enumerate(MemberState)}


class Member(msgspec.Struct):
    """One VM.  ``profile`` belongs to ``profile_incarnation``, which may be an earlier one.

    ``local_only`` marks a suspicion or removal that only this VM holds and does not spread.
    """

    vm_id: str
    incarnation: int
    state: MemberState
    profile: VmProfile
    profile_incarnation: int
    accusers: tuple[str, ...] = ()
    changed_at_ms: float = 0.0
    local_only: bool = False
    # Cached record for the fleet view; None after a change.
    record: VmRecord | None = None

    @property
    def failure_domain(self) -> str:
        return self.profile.failure_domain

    @property
    def gone(self) -> bool:
        return self.state is MemberState.GONE

    def update(self) -> VmUpdate:
        """Return the update to send to others; it omits a suspicion that only this VM holds."""
        state = MemberState.ALIVE if self.local_only else self.state
        accusers = [] if self.local_only else list(self.accusers)
        known = self.profile_incarnation == self.incarnation
        profile = self.profile if known else None
        return VmUpdate(self.vm_id, self.incarnation, state, accusers, profile)


def bucket_of(vm_id: str) -> int:
    """Return the bucket under which tables compare ``vm_id``."""
    return blake2b(vm_id.encode(), digest_size=1).digest()[0] % BUCKETS


class MemberTable:
    """Members by identity.  ``revision`` increases with every change of a member."""

    __slots__ = ("_domains", "_hashes", "_members", "_present", "revision")

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        # Totals over the members that are not gone, updated with every change.
        self._present: dict[str, Member] = {}
        self._domains: Counter[str] = Counter()
        self._hashes = [0] * BUCKETS
        self.revision = 0

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, vm_id: str) -> Member | None:
        return self._members.get(vm_id)

    def present(self) -> list[Member]:
        """Return the members that are not gone."""
        return list(self._present.values())

    @property
    def present_count(self) -> int:
        return len(self._present)

    def count_domains(self, without: str) -> int:
        """Return the number of failure domains that have members other than ``without``."""
        excluded = self._present.get(without)
        is_last_in_domain = excluded is not None and self._domains[excluded.failure_domain] == 1
        return len(self._domains) - is_last_in_domain

    def forget(self, vm_id: str) -> None:
        """Remove a member from the table."""
        self._remove_from_totals(self._members.pop(vm_id))
        self.revision += 1

    def apply(self, update: VmUpdate, now_ms: float) -> bool:
        """Merge ``update``; return whether it changed the table and so should be spread."""
        member = self._members.get(update.vm_id)
        if member is None:
            return self._add(update, now_ms)
        if _is_outdated(member, update):
            return False
        self._remove_from_totals(member)
        changed = _merge(member, update, now_ms)
        self._add_to_totals(member)
        self.revision += changed
        return changed

    def set_state(
        self, member: Member, state: MemberState, now_ms: float, *, local_only: bool
    ) -> None:
        """Change a member's state on evidence of this VM, within the member's incarnation."""
        self._remove_from_totals(member)
        member.state = state
        member.local_only = local_only
        member.changed_at_ms = now_ms
        if state is MemberState.ALIVE:
            member.accusers = ()
        self._add_to_totals(member)
        self.revision += 1

    def add_accusers(self, member: Member, vm_ids: Iterable[str]) -> bool:
        """Add evidence against a member; return whether any was new."""
        before = member.accusers
        member.accusers = _merge_accusers(before, vm_ids)
        return member.accusers != before

    def bucket_hashes(self) -> list[int]:
        """Return one 32-bit hash per bucket; tables that agree have the same.

        Suspicions are not hashed: they change faster than tables are compared.
        """
        return list(self._hashes)

    def _add(self, update: VmUpdate, now_ms: float) -> bool:
        if update.profile is None or update.state is MemberState.GONE:
            # Useless without a profile, which a VM that has it will send.
            return False
        member = Member(
            vm_id=update.vm_id,
            incarnation=update.incarnation,
            state=update.state,
            profile=update.profile,
            profile_incarnation=update.incarnation,
            accusers=tuple(update.accusers),
            changed_at_ms=now_ms,
        )
        self._members[update.vm_id] = member
        self._add_to_totals(member)
        self.revision += 1
        return True

    def _add_to_totals(self, member: Member) -> None:
        """Add a member to the totals, unless it is gone."""
        member.record = None
        if member.gone:
            return
        self._present[member.vm_id] = member
        self._domains[member.failure_domain] += 1
        self._flip_hash(member)

    def _remove_from_totals(self, member: Member) -> None:
        """Remove a member from the totals before it changes."""
        if member.gone:
            return
        del self._present[member.vm_id]
        self._domains[member.failure_domain] -= 1
        if not self._domains[member.failure_domain]:
            del self._domains[member.failure_domain]
        self._flip_hash(member)

    def _flip_hash(self, member: Member) -> None:
        """Add a member's hash to its bucket, or remove it: XOR does both."""
        leaving = member.state is MemberState.LEAVING
        text = f"{member.vm_id}\0{member.profile_incarnation}\0{leaving:d}"
        digest = blake2b(text.encode(), digest_size=4).digest()
        self._hashes[bucket_of(member.vm_id)] ^= int.from_bytes(digest, "big")


def _is_outdated(member: Member, update: VmUpdate) -> bool:
    """Whether ``update`` cannot change ``member``, as most received updates cannot."""
    if update.profile is not None and update.incarnation > member.profile_incarnation:
        return False
    known = (member.incarnation, _RANK[member.state])
    offered = (update.incarnation, _RANK[update.state])
    accused = update.state in (MemberState.SUSPECT, MemberState.GONE)
    return offered < known or (offered == known and not accused)


def _merge(member: Member, update: VmUpdate, now_ms: float) -> bool:
    changed = _merge_profile(member, update)
    known = (member.incarnation, _RANK[member.state])
    offered = (update.incarnation, _RANK[update.state])
    if offered > known:
        member.incarnation = update.incarnation
        member.state = update.state
        member.accusers = tuple(update.accusers)
        member.changed_at_ms = now_ms
        member.local_only = False
        return True
    if offered == known and update.state in (MemberState.SUSPECT, MemberState.GONE):
        joined = _merge_accusers(member.accusers, update.accusers)
        changed = changed or member.local_only or joined != member.accusers
        member.accusers = joined
        member.local_only = False
    return changed


def _merge_profile(member: Member, update: VmUpdate) -> bool:
    if update.profile is None or update.incarnation <= member.profile_incarnation:
        return False
    member.profile = update.profile
    member.profile_incarnation = update.incarnation
    return True


def _merge_accusers(known: tuple[str, ...], more: Iterable[str]) -> tuple[str, ...]:
    return tuple(dict.fromkeys((*known, *more)))[:MAX_ACCUSERS]
