"""An agent's facts about crashed upstreams, and the VMs it sends them to.

Pure: the caller passes the time.
"""

from collections.abc import Iterable, Sequence

import msgspec

from fescuedock.core.quarantine import Quarantine
from fescuedock.core.rendezvous import rank_names
from fescuedock.schema.crashes import CrashesReply, CrashNews, CrashReport, WorkCleared
from fescuedock.schema.view import VmRecord

__all__ = ["CrashFact", "CrashLog", "Receivers", "facts_of", "message_of", "receivers_of"]

CrashFact = CrashReport | WorkCleared

# Stored for programs that start or were disconnected: about 500 bytes each.
_MAX_FACTS = 4096
# Maximum number of VMs that a VM notifies directly.  A channel to each of several hundred would use
# tens of megabytes.
_MAX_DIRECT_RECEIVERS = 64
# Relays in each other failure domain; more than one, as one may have failed.
_RELAYS_PER_DOMAIN = 2


def message_of(
    facts: Iterable[CrashFact], quarantine: Quarantine, now_ms: float, *, relay: bool = False
) -> CrashNews:
    """Return facts that ``quarantine`` knows as one message, with their ages."""
    found = [
        msgspec.structs.replace(fact, age_ms=int(quarantine.age_ms(fact.report_id, now_ms)))
        for fact in facts
    ]
    return CrashNews(
        crashes=[fact for fact in found if isinstance(fact, CrashReport)],
        cleared=[fact for fact in found if isinstance(fact, WorkCleared)],
        relay=relay,
    )


def facts_of(message: CrashNews) -> list[CrashFact]:
    """Return the facts in a message."""
    return [*message.crashes, *message.cleared]


class Receivers(msgspec.Struct, frozen=True):
    """VMs to notify directly, and relays that notify the others of their failure domain."""

    direct: Sequence[VmRecord]
    relays: Sequence[VmRecord] = ()


def receivers_of(own_id: str, key: str, vms: Iterable[VmRecord]) -> Receivers:
    """Return the VMs that a VM notifies.

    They are all VMs in a small fleet, else those of its failure domain and relays in the others.
    ``key`` distributes the work of relaying.
    """
    known = {vm.vm_id: vm for vm in vms if vm.agent_port}
    own = known.pop(own_id, None)
    if len(known) <= _MAX_DIRECT_RECEIVERS or own is None:
        return Receivers(list(known.values()))
    by_domain: dict[str, list[str]] = {}
    for vm in known.values():
        by_domain.setdefault(vm.failure_domain, []).append(vm.vm_id)
    near = by_domain.pop(own.failure_domain, [])
    relays = [
        name for names in by_domain.values() for name in rank_names(key, names)[:_RELAYS_PER_DOMAIN]
    ]
    return Receivers([known[name] for name in near], [known[name] for name in relays])


class CrashLog(msgspec.Struct):
    """The facts of one incarnation of an agent, each once; ``quarantine`` has the same facts."""

    quarantine: Quarantine
    boot: int
    _facts: list[CrashFact] = msgspec.field(default_factory=list)
    _dropped: int = 0

    @property
    def length(self) -> int:
        """Total number of facts recorded."""
        return self._dropped + len(self._facts)

    def record(self, fact: CrashFact, now_ms: float) -> bool:
        """Record a fact received now; return False if it is already known."""
        is_new = self.quarantine.record(fact, now_ms - max(fact.age_ms, 0))
        if is_new:
            self._facts.append(fact)
            if len(self._facts) > _MAX_FACTS:
                self._dropped += len(self._facts) // 2
                del self._facts[: len(self._facts) // 2]
        return is_new

    def known_count(self, boot: int, seen: int) -> int:
        """Return how many facts a program has that received ``seen`` of the log of ``boot``."""
        return min(max(seen, 0), self.length) if boot == self.boot else 0

    def reply_after(self, seen: int, now_ms: float) -> CrashesReply:
        """Return the facts after the first ``seen``."""
        facts = self._facts[max(seen - self._dropped, 0) :]
        return CrashesReply(
            agent_boot=self.boot, seen=self.length, news=message_of(facts, self.quarantine, now_ms)
        )
