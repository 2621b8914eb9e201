"""The error value that all modules share: a numbered result code with an explanation."""

import msgspec

from fescuedock.schema.result_codes import HTTP_STATUS, OUTCOME, Outcome, ResultCode

__all__ = ["Fault"]


class Fault(msgspec.Struct, frozen=True):
    """The reason of a refusal or failure, used as the ``Err`` value of results.

    ``retry_after_ms`` is 0 if a retry without another change is pointless.
    """

    code: ResultCode
    message: str
    retry_after_ms: int = 0

    @property
    def outcome(self) -> Outcome:
        """What the receiver may conclude about whether the work ran."""
        return OUTCOME[self.code]

    @property
    def http_status(self) -> int:
        return HTTP_STATUS[self.code]

    def __str__(self) -> str:
        return f"{self.code.name} ({self.code.value}): {self.message}"
