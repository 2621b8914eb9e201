"""How nodes keep one limit of a customer over all of them.

Generated from ``source/quotas.yaml``; do not edit.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from fescuedock.schema.wire import WireStruct


class QuotaAsk(WireStruct):
    """
    Ask the node that keeps a customer's limit for one call.
    """

    customer: str
    stands_in: Annotated[
        bool, Meta(description="Another node, which is asked first, did not answer.")
    ] = False


class QuotaReply(WireStruct):
    code: Annotated[
        int,
        Meta(
            description="A ResultCode: OK, OVER_LIMIT, or NOT_OWNER where this node cannot speak for the fleet."
        ),
    ]
    retry_after_ms: Annotated[int, Meta(description="When a refused caller may come back.")] = 0
