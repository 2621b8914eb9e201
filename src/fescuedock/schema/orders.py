"""Records of orders to engines in the key-value service.

Generated from ``source/orders.yaml``; do not edit.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct, convert, field


class OrderKind(StrEnum):
    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


class PlannedOrder(Struct):
    """
    What an engine is told to do; which fields count depends on the kind.
    """

    kind: OrderKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class EngineState(Struct):
    """
    What an engine has after the orders that it carried out.
    """

    models: Annotated[dict[str, str], Meta(description="Version by model.")] = field(
        default_factory=dict
    )
    adapters: Annotated[dict[str, str], Meta(description='"MODEL@VERSION" by adapter.')] = field(
        default_factory=dict
    )
    role: str = "both"


class OrderRecord(Struct):
    """
    Who may give orders to one upstream and how far they got; changed only by compare-and-swap.
    """

    fencing: Annotated[int, Meta(description="Raised by each new holder; every order carries it.")]
    holder: Annotated[str, Meta(description="Agent incarnation; empty when nobody holds it.")]
    lease_ms: Annotated[
        int,
        Meta(description="How long the holder may give orders after it began to send this write."),
    ]
    beat: Annotated[int, Meta(description="Raised by each write")]
    sequence: Annotated[int, Meta(description="Number of the last order begun.")] = 0
    current: Annotated[
        list[PlannedOrder],
        Meta(description="The order begun and not known to be done; at most one."),
    ] = field(default_factory=list)
    state: EngineState = field(default_factory=lambda: convert({}, type=EngineState))


class LoadSlot(Struct):
    """
    A claim to load weights now; there are as many as the weight store feeds at once.
    """

    holder: str
    upstream_id: str
    model: str
