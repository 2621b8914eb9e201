"""Steps that the holder of an upstream's orders requests from its caller, and order outcomes."""

from enum import StrEnum

import msgspec

from fescuedock.schema.orders import OrderRecord, PlannedOrder

__all__ = ["ReadRecord", "SendOrder", "SendOutcome", "Step", "Wait", "Write"]


class SendOutcome(StrEnum):
    """Outcome of sending an order."""

    DONE = "done"
    # The order did not reach the engine.
    NOT_SENT = "not_sent"
    # The order may be executed, now or later.
    UNKNOWN = "unknown"
    # The engine reports that it can never execute the order.
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
    """Send ``order`` before ``until_ms``, or not at all."""

    order: PlannedOrder
    fencing: int
    until_ms: float


class Wait(msgspec.Struct, frozen=True):
    """Do nothing before ``until_ms``."""

    until_ms: float


Step = ReadRecord | Write | SendOrder | Wait
