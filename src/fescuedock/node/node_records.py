"""Reads the records that nodes and spools write of themselves in the key-value service."""

from ipaddress import ip_address

from result import Err, Result

from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, decode_value
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import NodeRecord

__all__ = ["read_node_record"]


def read_node_record(entry: KvEntry) -> Result[NodeRecord, Fault]:
    """Decode a record; ``VALUE_UNREADABLE`` if it is damaged or of another version."""
    decoded = decode_value(entry.key, entry.value, NodeRecord)
    if isinstance(decoded, Err):
        return decoded
    try:
        ip_address(decoded.ok_value.host)
    except ValueError as error:
        return Err(Fault(ResultCode.VALUE_UNREADABLE, f"{entry.key} cannot be read: {error}"))
    return decoded
