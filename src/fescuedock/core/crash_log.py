"""What an agent has learned of upstreams that ended, and whom it tells.

Pure.
"""

from collections.abc import Iterable, Sequence

import msgspec

from fescuedock.core.quarantine import Quarantine
from fescuedock.core.rendezvous import rank_names
from fescuedock.schema.crashes import CrashesReply, CrashNews, CrashReport, WorkCleared
from fescuedock.schema.view import VmRecord

__all__ = ["CrashFact", "CrashLog", "Receivers", "facts_of", "message_of", "receivers_of"]

CrashFact = CrashReport | WorkCleared

# Kept for programs that start or were away: about 500 bytes each.
_MAX_FACTS = 4096
# VMs that one tells by itself.  A channel to each of several hundred would take tens of megabytes.
_MAX_DIRECT_RECEIVERS = 64
# Of each other failure domain, as one may have gone.
_RELAYS_PER_DOMAIN = 2


def message_of(facts: Iterable[CrashFact], *, relay: bool = False) -> CrashNews:
    """Return facts as one message."""
    found = list(facts)
    return CrashNews(
        crashes=[fact for fact in found if isinstance(fact, CrashReport)],
        cleared=[fact for fact in found if isinstance(fact, WorkCleared)],
        relay=relay,
    )


def facts_of(news: CrashNews) -> list[CrashFact]:
    """Return the facts that a message tells."""
    return [*news.crashes, *news.cleared]


class Receivers(msgspec.Struct, frozen=True):
    """VMs to be told, and those of them that tell others of their failure domain."""

    direct: Sequence[VmRecord]
    relays: Sequence[VmRecord] = ()


def receivers_of(own_id: str, key: str, vms: Iterable[VmRecord]) -> Receivers:
    """Return whom a VM tells: all in a small fleet, else its failure domain and relays of others.

    ``key`` spreads the work of relaying.
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
    """The facts of one agent's incarnation, each once; they are what ``quarantine`` knows."""

    quarantine: Quarantine
    boot: int
    _facts: list[CrashFact] = msgspec.field(default_factory=list)
    _dropped: int = 0

    @property
    def length(self) -> int:
        """How many facts there have been."""
        return self._dropped + len(self._facts)

    def record(self, fact: CrashFact) -> bool:
        """Take a fact; False for one that is known already."""
        is_new = self.quarantine.record(fact)
        if is_new:
            self._facts.append(fact)
            if len(self._facts) > _MAX_FACTS:
                self._dropped += len(self._facts) // 2
                del self._facts[: len(self._facts) // 2]
        return is_new

    def known_count(self, boot: int, seen: int) -> int:
        """Return how much a program has of this log that had ``seen`` of the one of ``boot``."""
        return min(max(seen, 0), self.length) if boot == self.boot else 0

    def reply_after(self, seen: int) -> CrashesReply:
        """Return what comes after the first ``seen`` facts."""
        facts = self._facts[max(seen - self._dropped, 0) :]
        return CrashesReply(agent_boot=self.boot, seen=self.length, news=message_of(facts))
