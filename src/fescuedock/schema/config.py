"""The operators' configuration, its record in the key-value service, and messages that spread it.

Generated from ``source/config.yaml``; do not edit.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Any, TypeAlias

from msgspec import Meta, Struct, convert, field


class ServiceKind(StrEnum):
    MODEL = "model"
    PLAIN = "plain"


class OrderCheck(StrEnum):
    """
    Whether the engines of a service refuse an order with an old fencing number.
    """

    FENCED = "fenced"
    IGNORED = "ignored"


class Objectives(Struct):
    """
    What the users of a service were promised; the policy trades by these.
    """

    first_token_ms: Annotated[float, Meta(gt=0.0)] = 1000
    inter_token_ms: Annotated[float, Meta(gt=0.0)] = 31
    online_share: Annotated[
        float,
        Meta(description="Share of online answers that must keep the times above.", ge=0.0, le=1.0),
    ] = 0.95
    online_weight: Annotated[
        float,
        Meta(description="1 guards the online tail only; 0 batch throughput only.", ge=0.0, le=1.0),
    ] = 0.5
    batch_share: Annotated[
        float,
        Meta(description="Share of jobs that must be whole by their deadline.", ge=0.0, le=1.0),
    ] = 0.99


class ModelSpec(Struct):
    version: Annotated[str, Meta(min_length=1)]
    adapters: list[str] = field(default_factory=list)
    weights_bytes: Annotated[
        int, Meta(description="An upstream loads the smaller models of its service first.", ge=0)
    ] = 0


class ServiceSpec(Struct):
    kind: ServiceKind
    models: dict[str, ModelSpec] = field(default_factory=dict)
    objectives: Objectives = field(default_factory=lambda: convert({}, type=Objectives))
    order_check: OrderCheck = OrderCheck.IGNORED
    non_idempotent: Annotated[
        list[str], Meta(description='Calls that may not be repeated, as "METHOD /path-prefix".')
    ] = field(default_factory=list)
    request_timeout_ms: Annotated[int, Meta(ge=1)] = 60000


KeyHash: TypeAlias = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class MemberSpec(Struct):
    """
    A customer. Keys are kept as SHA-256 in hex, never in clear.
    """

    key_hashes: list[KeyHash] = field(default_factory=list)
    share: Annotated[float, Meta(gt=0.0)] = 1


class EngineRole(StrEnum):
    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class UpstreamPolicy(Struct):
    drain: bool = False
    max_in_flight: Annotated[int, Meta(description="0 lets the policy find the limit.", ge=0)] = 0
    models: Annotated[
        list[str], Meta(description="Models that are loaded here before the others of the service.")
    ] = field(default_factory=list)
    role: EngineRole = EngineRole.BOTH


class Configuration(Struct):
    services: dict[str, ServiceSpec] = field(default_factory=dict)
    members: dict[str, MemberSpec] = field(default_factory=dict)
    upstreams: dict[str, UpstreamPolicy] = field(default_factory=dict)


class AppliedPatch(Struct):
    patch_id: str
    patch_hash: Annotated[str, Meta(description="SHA-256 over base version and patch.")]
    version: Annotated[int, Meta(description="The version that the patch made.")]
    actor: str = ""
    accepted_at_s: Annotated[int, Meta(description="Unix time.")] = 0
    chain_hash: Annotated[str, Meta(description="The record's chained hash at that version.")] = ""


class ConfigRecord(Struct):
    """
    The one record; its chained hash covers the former one, the patch's identity and this document.
    """

    version: int
    chain_hash: str
    document: Annotated[bytes, Meta(description="Configuration as JSON.")]
    last_patch: Annotated[
        bytes, Meta(description="The newest merge patch as JSON; empty when it is long.")
    ]
    patches: Annotated[list[AppliedPatch], Meta(description="The newest ones, oldest first.")] = (
        field(default_factory=list)
    )


class ConfigDelta(Struct):
    """
    What makes a replica of one version into the next without the whole record.
    """

    patch: Annotated[bytes, Meta(description="The merge patch as JSON.")]
    applied: AppliedPatch
    kv_revision: Annotated[int, Meta(description="Revision of the record's key at this version.")]


class PatchRequest(Struct):
    """
    Body of POST /admin/config/patches.
    """

    base_version: Annotated[int, Meta(ge=0)]
    patch_id: Annotated[str, Meta(max_length=200, min_length=1)]
    patch: Annotated[dict[str, Any], Meta(description="JSON merge patch (RFC 7396).")]
    actor: str = ""


class ConfigPush(Struct):
    """
    Answer to a pull, or unasked. Deltas when they begin at the receiver's version, else the record.
    """

    vm_id: Annotated[str, Meta(description="The sender.")]
    version: int
    chain_hash: str
    record: Annotated[
        bytes,
        Meta(description="Encoded ConfigRecord; empty when deltas do or there is nothing newer."),
    ]
    confirmed_age_ms: Annotated[
        int,
        Meta(
            description="Since the sender's version was last known to be the newest; below 0 when never."
        ),
    ] = -1
    kv_revision: Annotated[
        int, Meta(description="Revision of the record's key at this version; 0 when not known.")
    ] = 0
    deltas: list[ConfigDelta] = field(default_factory=list)


class ConfigPull(Struct):
    have_version: int
    chain_hash: str = ""
    whole_record: Annotated[
        bool, Meta(description="Send the record even when it is not newer.")
    ] = False
    answered_age_ms: Annotated[
        int,
        Meta(
            description="Since the key-value service answered any VM that the sender knows of; below 0 when never."
        ),
    ] = -1


class SubmitPatch(Struct):
    """
    An entry hands a patch to its VM's agent, which alone writes the record.
    """

    request: PatchRequest


class RepublishConfig(Struct):
    """
    Put the configuration in force back into a key-value service that was restored.
    """

    actor: str = ""


class SubmitPatchReply(Struct):
    code: Annotated[int, Meta(description="A ResultCode.")]
    version: Annotated[int, Meta(description="The version made")]
    problems: list[str] = field(default_factory=list)
