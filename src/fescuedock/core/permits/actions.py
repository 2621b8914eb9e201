"""What the owner of an upstream decides; its daemon carries these out."""

from dataclasses import dataclass

from fescuedock.schema.permits import PermitAsk
from fescuedock.schema.result_codes import ResultCode

__all__ = ["Action", "Granted", "Refused", "Revoked"]


@dataclass(frozen=True, slots=True)
class Granted:
    """The ask may start now; its permit must be renewed before ``valid_ms`` has passed."""

    ask: PermitAsk
    permit_id: str
    valid_ms: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The ask will not start; ``retry_after_ms`` is when asking again has a chance."""

    ask: PermitAsk
    code: ResultCode
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Revoked:
    """The holder must cancel this attempt at once."""

    upstream_id: str
    holder_id: str
    permit_id: str


Action = Granted | Refused | Revoked
