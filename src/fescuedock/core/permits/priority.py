"""Strict priority with a bounded wait, and preferences that decide a fixed share of grants.

Pure: the caller passes the time.
"""

import msgspec

__all__ = ["OVERDUE_MS", "URGENT", "BoundedPreference", "urgency_of"]

# Wait after which work of a lower priority gets a share of the grants: a third of the 2.4 s and
# more for which callers wait for a first event, so that the work can still start in time for them.
OVERDUE_MS = 800.0
# Sorts before every configured priority.
URGENT = -1


class BoundedPreference(msgspec.Struct):
    """A preference that decides one grant in ``interval``, so that other work is still served."""

    interval: int
    _grants_since: int = 0

    @property
    def is_due(self) -> bool:
        """Whether the preference may decide the next grant."""
        return self._grants_since >= self.interval - 1

    def record_grant(self, *, preferred: bool) -> None:
        """Record a grant, and whether it went to preferred work."""
        self._grants_since = 0 if preferred and self.is_due else self._grants_since + 1


def urgency_of(priority: int, waited_ms: float, *, overdue_first: bool) -> int:
    """Return the first sort key of a request; lower values go first.

    With ``overdue_first``, work below the highest priority that has waited for ``OVERDUE_MS`` goes
    before all other work.
    """
    if overdue_first and priority > 0 and waited_ms >= OVERDUE_MS:
        return URGENT
    return priority
