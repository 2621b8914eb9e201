"""Probes in flight: whom to probe next, through whom else, and what came of it."""

from collections.abc import Iterable, Sequence
from enum import Enum, auto
from random import Random

import msgspec

from fescuedock.core.membership.table import Member
from fescuedock.schema.membership import MemberState

__all__ = ["PendingProbe", "ProbePurpose", "ProbeRotation", "Probing", "choose_helpers"]

HELPERS = 3
_MAX_NONCE = 2**53 - 1


class ProbePurpose(Enum):
    """Why a probe was sent.

    ``MEMBER``: its turn has come, or a suspicion asks for it.  ``HELP``: another VM asked.
    ``CONTACT``: a VM that is no member, or whose boot is unproven; silence proves nothing.
    """

    MEMBER = auto()
    HELP = auto()
    CONTACT = auto()


class PendingProbe(msgspec.Struct):
    """A probe that was not answered yet.

    ``helpers_due_ms`` is when helpers are asked, ``due_ms`` when it counts as unanswered.
    """

    nonce: int
    target: str
    purpose: ProbePurpose
    helpers_due_ms: float
    due_ms: float
    helped: bool = False
    # Helpers that could not reach the target either.
    witnesses: list[str] = msgspec.field(default_factory=list)
    # For HELP: who asked, and the nonce of the asker.
    asker: str = ""
    asker_nonce: int = 0

    @property
    def next_due_ms(self) -> float:
        """When something is to be done about it, if no answer comes."""
        asks_helpers = self.purpose is ProbePurpose.MEMBER and not self.helped
        return min(self.helpers_due_ms, self.due_ms) if asks_helpers else self.due_ms


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
        """Return member probes whose target is late, each once."""
        late = [
            probe
            for probe in self._pending.values()
            if probe.purpose is ProbePurpose.MEMBER
            and not probe.helped
            and probe.helpers_due_ms <= now_ms
        ]
        for probe in late:
            probe.helped = True
        return late

    def next_due_ms(self) -> float:
        """Return when helpers or a verdict are due next; infinite without a pending probe."""
        return min((probe.next_due_ms for probe in self._pending.values()), default=float("inf"))

    def take_due(self, now_ms: float) -> list[PendingProbe]:
        """Remove and return the probes that count as unanswered now."""
        due = [probe for probe in self._pending.values() if probe.due_ms <= now_ms]
        for probe in due:
            del self._pending[probe.nonce]
        return due

    def clear(self) -> None:
        """Forget every probe, without any conclusion."""
        self._pending.clear()


class ProbeRotation:
    """Each name once in random order, then again in another: bounded time between two turns."""

    __slots__ = ("_left", "_rng")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._left: list[str] = []

    def next(self, names: Iterable[str]) -> str | None:
        """Return the next of ``names``, or None when there are none."""
        present = set(names)
        if not present:
            return None
        while self._left:
            name = self._left.pop()
            if name in present:
                return name
        self._left = sorted(present)
        self._rng.shuffle(self._left)
        return self._left.pop()


def choose_helpers(
    target: Member, own_domain: str, members: Sequence[Member], rng: Random
) -> list[Member]:
    """Return a few members to probe ``target``, each from another failure domain if possible.

    One of them is of this VM's own domain, whose answer tells a dead target from our own failure.
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
    chosen = [*list(far_by_domain.values())[: HELPERS - len(near)], *near]
    spare = [member for member in others if member not in chosen]
    return [*chosen, *spare][:HELPERS]
