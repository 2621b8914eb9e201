"""What one VM knows of the others: merging of news by precedence, and hashes to compare tables."""

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
    """One VM.  ``profile`` is the one of ``profile_incarnation``, which may be behind.

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
    # The record of the fleet view, kept until something changes.
    record: VmRecord | None = None

    @property
    def failure_domain(self) -> str:
        return self.profile.failure_domain

    @property
    def gone(self) -> bool:
        return self.state is MemberState.GONE

    def update(self) -> VmUpdate:
        """Return what others may hear: a suspicion of this VM alone is no news for them."""
        state = MemberState.ALIVE if self.local_only else self.state
        accusers = [] if self.local_only else list(self.accusers)
        known = self.profile_incarnation == self.incarnation
        profile = self.profile if known else None
        return VmUpdate(self.vm_id, self.incarnation, state, accusers, profile)


def bucket_of(vm_id: str) -> int:
    """Return the bucket in which tables compare ``vm_id``."""
    return blake2b(vm_id.encode(), digest_size=1).digest()[0] % BUCKETS


class MemberTable:
    """Members by identity.  ``revision`` rises with every change of one."""

    __slots__ = ("_domains", "_hashes", "_members", "_present", "revision")

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        # Totals over the members that are not gone, kept up as these change.
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
        """Return in how many failure domains there are members besides ``without``."""
        excluded = self._present.get(without)
        alone = excluded is not None and self._domains[excluded.failure_domain] == 1
        return len(self._domains) - alone

    def forget(self, vm_id: str) -> None:
        """Drop a member and its history."""
        self._remove_from_totals(self._members.pop(vm_id))
        self.revision += 1

    def apply(self, update: VmUpdate, now_ms: float) -> bool:
        """Merge ``update``; return whether it was news, which others should hear too."""
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
        """Change a member's state on this VM's own evidence, within its incarnation."""
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
        """Return one 32-bit hash for each bucket, the same for tables that agree.

        Suspicions do not count: they come and go faster than tables are compared.
        """
        return list(self._hashes)

    def _add(self, update: VmUpdate, now_ms: float) -> bool:
        if update.profile is None or update.state is MemberState.GONE:
            # Nothing could be done with it, and whoever has the profile will send it.
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
        """Count a member in the totals, unless it is gone."""
        member.record = None
        if member.gone:
            return
        self._present[member.vm_id] = member
        self._domains[member.failure_domain] += 1
        self._flip_hash(member)

    def _remove_from_totals(self, member: Member) -> None:
        """Take a member out of the totals before it changes."""
        if member.gone:
            return
        del self._present[member.vm_id]
        self._domains[member.failure_domain] -= 1
        if not self._domains[member.failure_domain]:
            del self._domains[member.failure_domain]
        self._flip_hash(member)

    def _flip_hash(self, member: Member) -> None:
        """Add a member's hash to its bucket, or take it out again."""
        leaving = member.state is MemberState.LEAVING
        text = f"{member.vm_id}\0{member.profile_incarnation}\0{leaving:d}"
        digest = blake2b(text.encode(), digest_size=4).digest()
        self._hashes[bucket_of(member.vm_id)] ^= int.from_bytes(digest, "big")


def _is_outdated(member: Member, update: VmUpdate) -> bool:
    """Whether ``update`` cannot be news, as most that come are not."""
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
