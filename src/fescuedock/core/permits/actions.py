"""What the owner of an upstream decides; its daemon carries these out."""

import msgspec

from fescuedock.schema.permits import PermitAsk
from fescuedock.schema.result_codes import ResultCode

__all__ = ["Action", "Granted", "Refused", "Revoked"]


class Granted(msgspec.Struct, frozen=True):
    """The ask may start now; its permit must be renewed before ``valid_ms`` has passed."""

    ask: PermitAsk
    permit_id: str
    valid_ms: int


class Refused(msgspec.Struct, frozen=True):
    """The ask will not start; ``retry_after_ms`` is when asking again has a chance."""

    ask: PermitAsk
    code: ResultCode
    retry_after_ms: int


class Revoked(msgspec.Struct, frozen=True):
    """The holder must cancel this attempt at once."""

    upstream_id: str
    holder_id: str
    permit_id: str


Action = Granted | Refused | Revoked
