"""What the holder of an upstream's orders asks its shell to do, and how an order ended."""

from enum import StrEnum

import msgspec

from fescuedock.schema.orders import OrderRecord, PlannedOrder

__all__ = ["SendOrder", "SendOutcome", "ReadRecord", "Step", "Wait", "Write"]


class SendOutcome(StrEnum):
    """How an order that was given ended."""

    DONE = "done"
    # It did not reach the engine.
    NOT_SENT = "not_sent"
    # It may be carried out, now or later.
    UNKNOWN = "unknown"
    # The engine says that it can never carry it out.
    REJECTED = "rejected"
    # The engine has seen a higher fencing number.
    SUPERSEDED = "superseded"


class ReadRecord(msgspec.Struct, frozen=True):
    """Read the upstream's record."""


class Write(msgspec.Struct, frozen=True):
    """Write the record if its key is still at ``expected_revision``."""

    record: OrderRecord
    expected_revision: int


class SendOrder(msgspec.Struct, frozen=True):
    """Give ``order``.  It must leave before ``until_ms``, or not at all."""

    order: PlannedOrder
    fencing: int
    until_ms: float


class Wait(msgspec.Struct, frozen=True):
    """Do nothing before ``until_ms``."""

    until_ms: float


Step = ReadRecord | Write | SendOrder | Wait
