"""Bodies of the metadata store's calls; ``rename`` defines the field names on the wire."""

import msgspec

from fescuedock.platform.fields import Count, StoreCount

__all__ = [
    "Expectation",
    "Item",
    "LeaseAnswer",
    "LeaseRequest",
    "RangeAnswer",
    "TxnAnswer",
    "TxnRequest",
    "WatchAnswer",
    "Write",
]


class Item(msgspec.Struct, rename="camel"):
    """One key with its value, or in a watch possibly its removal."""

    key: str
    # Revision of the key's last change, not that of the store.
    revision: StoreCount
    # In base64.
    value: str = ""
    # 0 if the key is attached to no lease.
    lease: StoreCount = 0
    removed: bool = False


class RangeAnswer(msgspec.Struct, rename="camel"):
    """A page of keys; the next one begins after its last key."""

    items: list[Item]
    truncated: bool
    # Revision of the store when the page was read.
    as_of: StoreCount


class WatchAnswer(msgspec.Struct, rename="camel"):
    """All changes up to revision ``as_of``."""

    events: list[Item]
    as_of: StoreCount


class Expectation(msgspec.Struct):
    """The condition that a key has this revision; with 0, that it does not exist."""

    key: str
    revision: int


class Write(msgspec.Struct):
    """A key to write with its value in base64; ``lease`` is 0 for none."""

    key: str
    value: str
    lease: int = 0


class TxnRequest(msgspec.Struct, rename={"expect": "expectRev"}):
    """An atomic transaction: if all expectations hold, all writes and removals are executed."""

    expect: list[Expectation]
    writes: list[Write]
    remove: list[str]


class TxnAnswer(msgspec.Struct):
    """The revision of the transaction's changes."""

    revision: StoreCount


class LeaseRequest(msgspec.Struct, rename="camel"):
    """A request for a lease that lapses after ``ttl_ms`` without renewal."""

    ttl_ms: int


class LeaseAnswer(msgspec.Struct, rename="camel"):
    """A lease and its remaining time; the answer to a renewal has no ``lease``."""

    ttl_ms: Count
    lease: StoreCount = 0
