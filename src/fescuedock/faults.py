"""The one error value that crosses module boundaries: a numbered code with its explanation."""

import msgspec

from fescuedock.schema.result_codes import HTTP_STATUS, OUTCOME, Outcome, ResultCode

__all__ = ["Fault"]


class Fault(msgspec.Struct, frozen=True):
    """Why something was refused or failed; the ``Err`` side of results across the package.

    ``retry_after_ms`` is 0 when there is no point in coming back by itself.
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
