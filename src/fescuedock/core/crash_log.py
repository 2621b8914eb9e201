"""What an agent has learned of upstreams that ended, in the order in which it tells its programs.

Pure.
"""

import msgspec

from fescuedock.core.quarantine import Quarantine
from fescuedock.schema.crashes import CrashesReply, CrashReport, WorkCleared

__all__ = ["CrashFact", "CrashLog"]

CrashFact = CrashReport | WorkCleared

# Kept for programs that start or were away: about 500 bytes each.
_MOST_FACTS = 4096


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

    def note(self, fact: CrashFact) -> bool:
        """Take a fact; False for one that is known already."""
        match fact:
            case CrashReport():
                is_new = self.quarantine.note_crash(fact)
            case WorkCleared():
                is_new = self.quarantine.note_cleared(fact)
        if is_new:
            self._facts.append(fact)
            if len(self._facts) > _MOST_FACTS:
                self._dropped += len(self._facts) // 2
                del self._facts[: len(self._facts) // 2]
        return is_new

    def seen_of(self, boot: int, seen: int) -> int:
        """Return how much a program has of this log that had ``seen`` of the one of ``boot``."""
        return min(max(seen, 0), self.length) if boot == self.boot else 0

    def reply_after(self, seen: int) -> CrashesReply:
        """Return what comes after the first ``seen`` facts."""
        facts = self._facts[max(seen - self._dropped, 0) :]
        return CrashesReply(
            agent_boot=self.boot,
            seen=self.length,
            crashes=[fact for fact in facts if isinstance(fact, CrashReport)],
            cleared=[fact for fact in facts if isinstance(fact, WorkCleared)],
        )
