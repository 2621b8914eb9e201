"""Records of calls that may not be repeated, in the key-value service.

Generated from ``source/claims.yaml``; do not edit.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct


class ClaimState(StrEnum):
    """
    dispatched says that the call may have run; not_sent that it cannot have.
    """

    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    NOT_SENT = "not_sent"


class RecordedAnswer(Struct):
    status: Annotated[int, Meta(description="HTTP status.")]
    content_type: str
    body: bytes


class ClaimRecord(Struct):
    """
    Created before the call is dispatched; one for each member, service and Idempotency-Key.
    """

    token: Annotated[str, Meta(description="Of the writer; unguessable and new for each dispatch.")]
    request_hash: Annotated[
        str, Meta(description="SHA-256 of the call; the key with other content is refused.")
    ]
    state: ClaimState
    created_at_s: Annotated[int, Meta(description="Unix time by the writer.")]
    answer: Annotated[bytes, Meta(description="RecordedAnswer as JSON; empty when there is none.")]
