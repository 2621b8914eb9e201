"""Records facts about crashes as a process does that received each when it happened."""

from fescuedock.core.crash_log import CrashFact
from fescuedock.core.quarantine import Quarantine

__all__ = ["record"]


def record(quarantine: Quarantine, fact: CrashFact) -> bool:
    """Record a fact as of its own time; return False if it is already known."""
    return quarantine.record(fact, fact.at_ms)
