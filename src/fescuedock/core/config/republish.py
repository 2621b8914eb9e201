"""Writes the configuration in force to a key-value service that was restored to an older one.

Requested by an operator.  Overwrites only an ancestor of the record in force, and only with the
highest version that any VM is known to have.
"""

from fescuedock.core.config.record import (
    BadRecordError,
    Refusal,
    chain_agrees,
    decode_record,
    empty_record,
    encode_record,
)
from fescuedock.core.config.replica import Replica
from fescuedock.core.config.writer import Accepted, Put
from fescuedock.schema.result_codes import ResultCode

__all__ = ["plan_republish"]


def plan_republish(
    replica: Replica, value: bytes | None, revision: int
) -> Put | Accepted | Refusal:
    """Decide what to write, given the record's bytes (None: there is none) and its revision.

    Return ``Accepted`` if there is nothing to do.  A record that cannot be decoded is overwritten.
    """
    try:
        stored = empty_record() if value is None else decode_record(value)
    except BadRecordError:
        stored = empty_record()
    own = replica.record
    if own.version < replica.highest_seen_version:
        # Another VM has a later version, which must be written instead.
        return Refusal(ResultCode.CONFIG_UNCONFIRMED, own.version)
    if stored.version > own.version or not chain_agrees(stored, own):
        return Refusal(ResultCode.CONFIG_REVERTED, own.version)
    if stored.version == own.version:
        return Accepted(own.version)
    return Put(encode_record(own), revision)
