"""Pending probes, the rotation of probe targets, and the choice of helpers."""

from collections.abc import Iterable, Sequence
from enum import Enum, auto
from random import Random

import msgspec

from fescuedock.core.membership.table import Member
from fescuedock.schema.membership import MemberState

__all__ = ["PendingProbe", "ProbePurpose", "ProbeRotation", "Probing", "choose_helpers"]

_MAX_HELPERS = 3
_MAX_NONCE = 2**53 - 1


class ProbePurpose(Enum):
    """Why a probe was sent.

    ``MEMBER``: the next member in rotation, or one under suspicion.  ``HELP``: on request of
    another VM.  ``CONTACT``: a VM that is no member, or whose boot is unproven; no answer proves
    nothing.
    """

    MEMBER = auto()
    HELP = auto()
    CONTACT = auto()


class PendingProbe(msgspec.Struct):
    """A probe that has not been answered yet.

    At ``helpers_due_ms`` helpers are requested, at ``due_ms`` it counts as unanswered.
    """

    nonce: int
    target: str
    purpose: ProbePurpose
    helpers_due_ms: float
    due_ms: float
    helpers_requested: bool = False
    # Helpers that could not reach the target either.
    witnesses: list[str] = msgspec.field(default_factory=list)
    # For HELP: the VM that requested it, and the nonce of its own probe.
    requester: str = ""
    requester_nonce: int = 0

    @property
    def next_due_ms(self) -> float:
        """Time of the next step if no answer arrives."""
        needs_helpers = self.purpose is ProbePurpose.MEMBER and not self.helpers_requested
        return min(self.helpers_due_ms, self.due_ms) if needs_helpers else self.due_ms


class Probing:
    """The pending probes by nonce."""

    __slots__ = ("_pending", "_rng")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._pending: dict[int, PendingProbe] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def start(
        self, target: str, purpose: ProbePurpose, helpers_due_ms: float, due_ms: float
    ) -> PendingProbe:
        """Register a probe under a nonce that cannot be guessed."""
        probe = PendingProbe(
            nonce=self._rng.randint(0, _MAX_NONCE),
            target=target,
            purpose=purpose,
            helpers_due_ms=helpers_due_ms,
            due_ms=due_ms,
        )
        self._pending[probe.nonce] = probe
        return probe

    def get(self, nonce: int) -> PendingProbe | None:
        return self._pending.get(nonce)

    def finish(self, nonce: int) -> None:
        self._pending.pop(nonce, None)

    def targets(self, target: str, purpose: ProbePurpose) -> bool:
        """Whether a probe to ``target`` for ``purpose`` is pending."""
        return any(
            probe.target == target and probe.purpose is purpose for probe in self._pending.values()
        )

    def needing_helpers(self, now_ms: float) -> list[PendingProbe]:
        """Return the member probes that became late since the last call."""
        late = [
            probe
            for probe in self._pending.values()
            if probe.purpose is ProbePurpose.MEMBER
            and not probe.helpers_requested
            and probe.helpers_due_ms <= now_ms
        ]
        for probe in late:
            probe.helpers_requested = True
        return late

    def next_due_ms(self) -> float:
        """Return when the next probe needs helpers or expires; infinite without pending ones."""
        return min((probe.next_due_ms for probe in self._pending.values()), default=float("inf"))

    def pop_due(self, now_ms: float) -> list[PendingProbe]:
        """Remove and return the probes that count as unanswered by now."""
        due = [probe for probe in self._pending.values() if probe.due_ms <= now_ms]
        for probe in due:
            del self._pending[probe.nonce]
        return due

    def clear(self) -> None:
        """Drop every probe without drawing a conclusion."""
        self._pending.clear()


class ProbeRotation:
    """Returns each name once in random order, then reshuffles.

    This bounds the time between two probes of the same name.
    """

    __slots__ = ("_remaining", "_rng")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._remaining: list[str] = []

    def next(self, names: Iterable[str]) -> str | None:
        """Return the next of ``names``, or None when there are none."""
        present = set(names)
        if not present:
            return None
        while self._remaining:
            name = self._remaining.pop()
            if name in present:
                return name
        self._remaining = sorted(present)
        self._rng.shuffle(self._remaining)
        return self._remaining.pop()


def choose_helpers(
    target: Member, own_domain: str, members: Sequence[Member], rng: Random
) -> list[Member]:
    """Return up to ``_MAX_HELPERS`` members to probe ``target``, from distinct domains if possible.

    One is of this VM's own failure domain: its answer distinguishes a dead target from a failure
    of this VM.
    """
    others = [
        member
        for member in members
        if member.vm_id != target.vm_id and member.state is not MemberState.SUSPECT
    ]
    rng.shuffle(others)
    near = [member for member in others if member.failure_domain == own_domain][:1]
    far_by_domain: dict[str, Member] = {}
    for member in others:
        if member.failure_domain != own_domain:
            far_by_domain.setdefault(member.failure_domain, member)
    chosen = [*list(far_by_domain.values())[: _MAX_HELPERS - len(near)], *near]
    spare = [member for member in others if member not in chosen]
    return [*chosen, *spare][:_MAX_HELPERS]
