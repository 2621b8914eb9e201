"""Whether an entry may take new work, by what its own VM's agent makes known of it.

An agent stops naming its entry when the configuration cannot be confirmed and the cut-off policy
says not to serve.  Callers who were given the entry's address before are still served until their
answers have expired; whoever comes later is sent elsewhere.

Pure: the caller passes the time.
"""

import msgspec

from fescuedock.faults import Fault
from fescuedock.schema.result_codes import ResultCode

__all__ = ["EntryAvailability"]

_RETRY_AFTER_MS = 1000


class EntryAvailability(msgspec.Struct):
    """Follows whether the entry is named; ``grace_ms`` is how long answers naming it may live."""

    grace_ms: float
    _listed: bool = False
    _unlisted_since_ms: float = float("-inf")

    def record_listing(self, named: bool, now_ms: float) -> None:
        """Take in whether the fleet's answers may name the entry now."""
        if self._listed and not named:
            self._unlisted_since_ms = now_ms
        self._listed = named

    def refusal(self, config_version: int, now_ms: float) -> Fault | None:
        """Return why new work is refused; None when it is taken.

        Without any configuration an entry that is not named refuses at once: it cannot say that a
        model does not exist.
        """
        if self._listed:
            return None
        if config_version and now_ms - self._unlisted_since_ms <= self.grace_ms:
            return None
        message = "this entry cannot confirm its configuration; ask /v1/entries for another"
        return Fault(ResultCode.CONFIG_UNCONFIRMED, message, _RETRY_AFTER_MS)
