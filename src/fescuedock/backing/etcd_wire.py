"""The JSON messages of etcd v3's HTTP gateway, limited to the messages and fields in use.

Keys and values are base64, as msgspec encodes ``bytes``; 64-bit integers may be sent as strings, so
answers are decoded with ``strict=False``.
"""

import msgspec

__all__ = [
    "Compare",
    "DeleteRequest",
    "Empty",
    "ErrorAnswer",
    "Event",
    "GrantAnswer",
    "GrantRequest",
    "Header",
    "KeepAnswer",
    "KeyValue",
    "LeaseRequest",
    "LeaseState",
    "Operation",
    "PutRequest",
    "RangeAnswer",
    "RangeRequest",
    "TxnAnswer",
    "TxnRequest",
    "WatchAnswer",
    "WatchCreate",
    "WatchRequest",
    "WatchResult",
    "prefix_end",
]

# A range end that means "up to and including the last key".
_LAST_KEY_END = b"\0"
DELETE = "DELETE"


class Header(msgspec.Struct):
    revision: int = 0


class Empty(msgspec.Struct):
    """An answer whose content is not used."""

    header: Header = msgspec.field(default_factory=Header)


class KeyValue(msgspec.Struct):
    key: bytes = b""
    value: bytes = b""
    mod_revision: int = 0
    lease: int = 0


class RangeRequest(msgspec.Struct, omit_defaults=True):
    key: bytes
    range_end: bytes = b""
    limit: int = 0
    revision: int = 0
    keys_only: bool = False


class RangeAnswer(msgspec.Struct):
    header: Header = msgspec.field(default_factory=Header)
    kvs: list[KeyValue] = []
    more: bool = False
    count: int = 0


class Compare(msgspec.Struct):
    """The condition that a key's mod revision is the given one."""

    key: bytes
    mod_revision: int
    target: str = "MOD"
    result: str = "EQUAL"


class PutRequest(msgspec.Struct, omit_defaults=True):
    key: bytes
    value: bytes
    lease: int = 0


class DeleteRequest(msgspec.Struct):
    key: bytes


class Operation(msgspec.Struct, omit_defaults=True):
    """Either a put or a delete; exactly one field is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None


class TxnRequest(msgspec.Struct):
    compare: list[Compare]
    success: list[Operation]


class TxnAnswer(msgspec.Struct):
    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False


class GrantRequest(msgspec.Struct):
    ttl: int = msgspec.field(name="TTL")


class GrantAnswer(msgspec.Struct):
    lease_id: int = msgspec.field(name="ID")
    ttl: int = msgspec.field(name="TTL")


class LeaseRequest(msgspec.Struct):
    lease_id: int = msgspec.field(name="ID")


class LeaseState(msgspec.Struct):
    """The state of a lease; a missing or zero TTL means that it has expired."""

    ttl: int = msgspec.field(name="TTL", default=0)


class KeepAnswer(msgspec.Struct):
    result: LeaseState


class WatchCreate(msgspec.Struct, omit_defaults=True):
    key: bytes
    range_end: bytes = b""
    start_revision: int = 0
    progress_notify: bool = False


class WatchRequest(msgspec.Struct):
    create_request: WatchCreate


class Event(msgspec.Struct):
    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """One message of a watch; one without events only reports the revision."""

    header: Header = msgspec.field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: list[Event] = []


class WatchAnswer(msgspec.Struct):
    result: WatchResult


class ErrorAnswer(msgspec.Struct):
    code: int = 0
    message: str = ""


def prefix_end(prefix: str) -> bytes:
    """Return the end of the range of all keys that begin with ``prefix``."""
    prefix_bytes = prefix.encode().rstrip(b"\xff")
    return prefix_bytes[:-1] + bytes([prefix_bytes[-1] + 1]) if prefix_bytes else _LAST_KEY_END
