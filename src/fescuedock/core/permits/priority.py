"""Strict priority with a bound on waiting, and other preferences that hold for a share of grants.

Pure: the caller passes the time.
"""

import msgspec

__all__ = ["OVERDUE_MS", "URGENT", "BoundedPreference", "urgency_of"]

# How long work of a lower priority waits before it gets its turns: a third of the 2.4 s and more
# that callers wait for a first event, so that it can still start for them.
OVERDUE_MS = 800.0
# Before every priority.
URGENT = -1


class BoundedPreference(msgspec.Struct):
    """A preference that decides one grant in ``every``, so that it cannot crowd out the rest."""

    interval: int
    _grants_since: int = 0

    @property
    def is_due(self) -> bool:
        """Whether the next grant may go by the preference."""
        return self._grants_since >= self.interval - 1

    def record_grant(self, *, preferred: bool) -> None:
        """Take in a grant, and whether it went to work that is preferred when its turn is due."""
        self._grants_since = 0 if preferred and self.is_due else self._grants_since + 1


def urgency_of(priority: int, waited_ms: float, *, overdue_first: bool) -> int:
    """Return what work is ordered by before anything else; the lower goes first.

    Work that is not of the highest priority and has waited for ``OVERDUE_MS`` goes before all other
    when its turn has come.
    """
    if overdue_first and priority > 0 and waited_ms >= OVERDUE_MS:
        return URGENT
    return priority
