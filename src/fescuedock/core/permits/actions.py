"""Decisions of an upstream's owner, which its daemon carries out."""

import msgspec

from fescuedock.schema.permits import PermitAsk
from fescuedock.schema.result_codes import ResultCode

__all__ = ["Action", "Granted", "Refused", "Revoked"]


class Granted(msgspec.Struct, frozen=True):
    """The attempt may start now; its permit must be renewed within ``valid_ms``."""

    request: PermitAsk
    permit_id: str
    valid_ms: int


class Refused(msgspec.Struct, frozen=True):
    """The attempt must not start; a request after ``retry_after_ms`` may succeed."""

    request: PermitAsk
    code: ResultCode
    retry_after_ms: int


class Revoked(msgspec.Struct, frozen=True):
    """The holder must cancel this attempt at once."""

    upstream_id: str
    holder_id: str
    permit_id: str


Action = Granted | Refused | Revoked
