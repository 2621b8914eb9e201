"""Restricts the paths under ``/admin/`` to requests with an operator key."""

import hmac
from collections.abc import Mapping
from hashlib import sha256

from fescuedock.entry.members import bearer_key
from fescuedock.faults import Fault
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import EntrySettings

__all__ = ["is_operators_path", "operator_refusal"]

_OPERATORS_PREFIX = "/admin/"


def is_operators_path(path: str) -> bool:
    return path.startswith(_OPERATORS_PREFIX)


def operator_refusal(settings: EntrySettings, headers: Mapping[str, str]) -> Fault | None:
    """Return why a request with ``headers`` may not use an operator path, None if it may.

    ``operator_key_hash`` lists the hashes of valid keys; if it is empty, no key is required.
    """
    hashes = [item.strip() for item in settings.operator_key_hash.split(",") if item.strip()]
    if not hashes:
        return None
    key = bearer_key(headers)
    found = sha256(key.encode()).hexdigest()
    if key and any(hmac.compare_digest(found, item) for item in hashes):
        return None
    message = "the key is not an operator key" if key else "an operator key is required"
    return Fault(ResultCode.UNAUTHORIZED, message)
