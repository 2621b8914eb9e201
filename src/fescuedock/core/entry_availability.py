"""Decides whether an entry accepts new work, by whether its own VM's agent lists it.

An agent stops listing its entry when the configuration cannot be confirmed and the cut-off policy
forbids serving.  Callers that received the entry's address before are still served until their
answers have expired; later requests are refused and sent to another entry.

Pure: the caller passes the time.
"""

import msgspec

from fescuedock.faults import Fault
from fescuedock.schema.result_codes import ResultCode

__all__ = ["EntryAvailability"]

_RETRY_AFTER_MS = 1000


class EntryAvailability(msgspec.Struct):
    """Tracks whether the entry is listed; answers that list it are valid for ``grace_ms``."""

    grace_ms: float
    _listed: bool = False
    _unlisted_since_ms: float = float("-inf")

    def record_listing(self, named: bool, now_ms: float) -> None:
        """Record whether the fleet's answers may list the entry now."""
        if self._listed and not named:
            self._unlisted_since_ms = now_ms
        self._listed = named

    def refusal(self, config_version: int, now_ms: float) -> Fault | None:
        """Return why new work is refused; None if it is accepted.

        Without any configuration an unlisted entry refuses at once, because it cannot know whether
        a model exists.
        """
        if self._listed:
            return None
        if config_version and now_ms - self._unlisted_since_ms <= self.grace_ms:
            return None
        message = "this entry cannot confirm its configuration; ask /v1/entries for another"
        return Fault(ResultCode.CONFIG_UNCONFIRMED, message, _RETRY_AFTER_MS)
