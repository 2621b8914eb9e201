"""The platform's VM list.  It lags, so it only names candidates and supports evidence of probes."""

from collections.abc import Iterable

import msgspec

from fescuedock.address import Address

__all__ = ["Candidate", "VmListing"]


class Candidate(msgspec.Struct, frozen=True):
    """A VM of this fleet as the platform's list has it."""

    vm_id: str
    address: Address
    leaving: bool = False


class VmListing(msgspec.Struct):
    """The list as last read; ``read_at_ms`` is minus infinity before the first read."""

    read_at_ms: float = float("-inf")
    _candidates: dict[str, Candidate] = msgspec.field(default_factory=dict)

    def replace(self, candidates: Iterable[Candidate], now_ms: float) -> bool:
        """Store a list that was read now; return whether it differs from the previous one."""
        self.read_at_ms = now_ms
        listed = {candidate.vm_id: candidate for candidate in candidates}
        changed = listed != self._candidates
        self._candidates = listed
        return changed

    def get(self, vm_id: str) -> Candidate | None:
        return self._candidates.get(vm_id)

    def all(self) -> list[Candidate]:
        return list(self._candidates.values())

    def supports_removal(self, vm_id: str, now_ms: float, max_age_ms: float) -> bool:
        """Whether a list of at most ``max_age_ms`` shows ``vm_id`` as leaving or not at all."""
        if now_ms - self.read_at_ms > max_age_ms:
            return False
        candidate = self._candidates.get(vm_id)
        return candidate is None or candidate.leaving

    def lists_as_leaving(self, vm_id: str) -> bool:
        """Whether the list shows ``vm_id`` as leaving; an absent VM may not be listed yet."""
        candidate = self._candidates.get(vm_id)
        return candidate is not None and candidate.leaving
