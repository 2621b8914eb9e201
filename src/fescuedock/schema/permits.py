"""Messages between those who send work to upstreams and the agent that owns each upstream.

Generated from ``source/permits.yaml``; do not edit.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from fescuedock.schema.wire import WireStruct


class WorkClass(StrEnum):
    ONLINE = "online"
    BATCH = "batch"


class BatchStage(StrEnum):
    """
    How batch work stands against the time when it is due; stages run in this order.
    """

    ENDANGERED = "endangered"
    BEGUN = "begun"
    FRESH = "fresh"
    DOUBTFUL = "doubtful"
    LATE = "late"


class AttemptOutcome(StrEnum):
    """
    How an attempt ended, as evidence about the upstream.
    """

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    REVOKED = "revoked"
    CONNECT_REFUSED = "connect_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    RESPONSE_TIMEOUT = "response_timeout"
    TRUNCATED = "truncated"
    SERVER_ERROR = "server_error"
    CLIENT_ERROR = "client_error"


class PermitAsk(WireStruct):
    """
    Ask the owner of an upstream for one permit. Asking again with the same attempt_id gives the same permit.
    """

    upstream_id: str
    attempt_id: Annotated[str, Meta(description="Unguessable")]
    holder_id: Annotated[str, Meta(description="The asking process's incarnation.")]
    service: str
    member: str
    work_class: WorkClass
    slack_ms: Annotated[int, Meta(description="Time left until the work is due")]
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hash: Annotated[str, Meta(description="Hash of the leading part of the prompt.")] = ""
    wait_ms: Annotated[int, Meta(description="How long the owner may keep the ask queued.")] = 0
    target_ms: Annotated[
        int,
        Meta(
            description="Of an online ask: time left in which its start still makes the answer good in time; below 0 it is late anyway, 0 says nothing."
        ),
    ] = 0
    stage: BatchStage = BatchStage.FRESH
    left_ms: Annotated[
        int, Meta(description="Of a batch ask: how long its run will still take; 0 says nothing.")
    ] = 0
    work_id: Annotated[
        str, Meta(description="The same for each try of the work; empty while it is not chosen.")
    ] = ""
    alone: Annotated[bool, Meta(description="Nothing else may run at the upstream meanwhile.")] = (
        False
    )
    queues: Annotated[
        int,
        Meta(
            description="How many owners queue the same work at once; it will start at one of them."
        ),
    ] = 1
    priority: Annotated[int, Meta(description="Of the work; 0 is the most urgent.")] = 0
    waited_ms: Annotated[
        int,
        Meta(
            description="How long the work had waited when it was asked for, at other owners too; only sent with a priority above 0, or for an isolated run."
        ),
    ] = 0
    barren_runs: Annotated[
        int,
        Meta(
            description="Of a batch ask: how many runs of the work in a row were cut off before their first event."
        ),
    ] = 0


class LoadSnapshot(WireStruct):
    """
    Fresh load of one upstream, piggybacked on each reply of its owner.
    """

    upstream_id: str
    in_flight_online: int
    in_flight_batch: int
    queued_online: int
    limit: Annotated[int, Meta(description="Attempts that the owner lets run at once now.")]
    first_token_ms: Annotated[
        float, Meta(description="Predicted for an online request that came now.")
    ]
    accepting: Annotated[bool, Meta(description="False for a leaving or unhealthy upstream.")]
    wait_ms: Annotated[
        float,
        Meta(
            description="The part of first_token_ms that is waiting for a slot and for other prompts."
        ),
    ] = 0
    start_ms: Annotated[
        float,
        Meta(
            description="Lasting time from a grant to a first event, less that of the prompt; 0 says nothing."
        ),
    ] = 0
    prompt_token_ms: Annotated[float, Meta(description="Lasting time for each prompt token.")] = 0
    event_ms: Annotated[
        float,
        Meta(
            description="Lasting time between events, for one more attempt beside those that run; 0 says nothing."
        ),
    ] = 0
    run_ms: Annotated[
        float,
        Meta(
            description="Lasting time from the first to the last event of a usual online call; 0 says nothing."
        ),
    ] = 0
    slowness: Annotated[
        float,
        Meta(description="How many times as long as its lasting times things take at the moment."),
    ] = 1
    speed_age_ms: Annotated[
        float, Meta(description="Age of the newest evidence of speed; below 0 there is none.")
    ] = -1


class PermitReply(WireStruct):
    """
    Grant (code 0) or refusal; a refusal means that nothing was started.
    """

    code: Annotated[int, Meta(description="A ResultCode.")]
    load: LoadSnapshot
    permit_id: str = ""
    valid_ms: Annotated[int, Meta(description="Renew before this has passed.")] = 0
    retry_after_ms: int = 0


class HeldPermit(WireStruct):
    """
    What a new owner needs to rebuild its queue from a holder's renewal.
    """

    permit_id: str
    upstream_id: str
    attempt_id: str
    service: str
    member: str
    work_class: WorkClass
    slack_ms: Annotated[int, Meta(description="As in the ask")] = 0
    stage: BatchStage = BatchStage.FRESH
    left_ms: Annotated[int, Meta(description="As in the ask, less the time since.")] = 0
    prompt_tokens: int = 0
    generated_tokens: Annotated[int, Meta(description="So far")] = 0
    alone: Annotated[bool, Meta(description="As in the ask.")] = False
    priority: Annotated[int, Meta(description="As in the ask.")] = 0
    first_token_ms: Annotated[float, Meta(description="Below 0 while there is none.")] = -1
    barren_runs: Annotated[int, Meta(description="As in the ask.")] = 0


class PermitRenew(WireStruct):
    holder_id: str
    permits: list[HeldPermit]


class PermitRenewReply(WireStruct):
    valid_ms: int
    revoked: Annotated[list[str], Meta(description="Permits that are no longer good.")]
    loads: list[LoadSnapshot]


class EndedPermit(WireStruct):
    permit_id: str
    upstream_id: str
    outcome: AttemptOutcome
    work_class: WorkClass
    first_token_ms: Annotated[float, Meta(description="Below 0 when there was none.")] = -1
    inter_token_ms: Annotated[
        float, Meta(description="Mean between tokens; below 0 when unknown.")
    ] = -1
    prompt_tokens: int = 0
    generated_tokens: int = 0
    recent_token_ms: Annotated[
        float, Meta(description="Time between the last few tokens; below 0 when unknown.")
    ] = -1


class PermitsEnded(WireStruct):
    """
    One-way, batched.
    """

    holder_id: str
    ended: list[EndedPermit]


class PermitsRevoked(WireStruct):
    """
    Push from the owner; the holder cancels these attempts at once and ends their permits.
    """

    permit_ids: list[str]


class QuotaAsk(WireStruct):
    """
    Ask a node that keeps a customer's limit, or a share of it, for one call.
    """

    customer: str
    stands_in: Annotated[
        bool, Meta(description="Another node, which is asked first, did not answer.")
    ] = False
    waited_ms: Annotated[
        float,
        Meta(
            description="How long ago the call was granted, if it was and has not been sent; 0 for a new call."
        ),
    ] = 0
    node: Annotated[
        str,
        Meta(description="Who asks; an ask without a customer only asks whether a node is there."),
    ] = ""
    share: Annotated[int, Meta(description="Which share of the limit is meant, from 0 on.")] = 0


class QuotaReply(WireStruct):
    code: Annotated[
        int,
        Meta(
            description="A ResultCode: OK, OVER_LIMIT, or NOT_OWNER where this node does not keep the share."
        ),
    ]
    retry_after_ms: Annotated[int, Meta(description="When a refused caller may come back.")] = 0
