"""Metrics of one process, in a form that can be merged across VMs without loss.

Generated from ``source/report.yaml``; do not edit.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field


class SlotCounts(Struct):
    """
    Counts of one stretch of time. Online queries in time kept the objectives of their service; a job in time was whole by its deadline.
    """

    start_s: Annotated[int, Meta(description="Unix time.")]
    length_s: int
    online: Annotated[
        int,
        Meta(
            description="Online queries answered or failed; refusals of the caller's own making do not count."
        ),
    ] = 0
    online_in_time: int = 0
    online_failed: int = 0
    jobs: int = 0
    jobs_in_time: int = 0


class LatencyHistogram(Struct):
    """
    An hdrhistogram of microseconds in its own compressed encoding.
    """

    service: str
    work_class: str
    member_group: str
    measure: Annotated[str, Meta(description="first_token, inter_token or item.")]
    encoded: str


class LatencyBuckets(Struct):
    """
    Latencies of all members of a service, counted by the bounds of report.metrics.BUCKET_BOUNDS_MS; the last count is of those above all bounds.
    """

    service: str
    work_class: str
    measure: str
    counts: list[int]
    sum_ms: float = 0


class CodeCount(Struct):
    service: str
    code: Annotated[int, Meta(description="A ResultCode.")]
    count: int


class ServiceSlots(Struct):
    service: str
    total: Annotated[SlotCounts, Meta(description="Since the process began; length_s is 0.")]
    slots: list[SlotCounts] = field(default_factory=list)


class MetricsSnapshot(Struct):
    process: Annotated[
        str,
        Meta(
            description="VM/PROGRAM/INCARNATION; a newer snapshot replaces an older one of the same process."
        ),
    ]
    taken_at_s: Annotated[int, Meta(description="Unix time.")]
    services: list[ServiceSlots] = field(default_factory=list)
    histograms: list[LatencyHistogram] = field(default_factory=list)
    codes: list[CodeCount] = field(default_factory=list)
    buckets: list[LatencyBuckets] = field(default_factory=list)


class MetricsRequest(Struct):
    """
    Ask a program of the same VM for its metrics.
    """

    totals_only: Annotated[bool, Meta(description="Without slots and histograms")] = False


class ServiceObjectives(Struct):
    first_token_ms: float
    inter_token_ms: float
    online_share: float
    batch_share: float


class VmStatus(Struct):
    vm_id: str
    region: str
    failure_domain: str
    host: str
    state: str
    ready: Annotated[list[str], Meta(description="Programs that are ready.")]
    entry_port: int = 0
    config_version: int = 0


class UpstreamStatus(Struct):
    """
    One upstream as one entry sees it. Counts are -1 while it has no fresh load answer.
    """

    upstream_id: str
    service: str
    kind: str
    failure_domain: str
    leaving: bool
    drain: bool
    owner: Annotated[
        str, Meta(description="VM whose agent grants its permits; empty when there is none.")
    ]
    in_flight_online: int = -1
    in_flight_batch: int = -1
    limit: int = -1
    load_age_ms: int = -1


class CustomerStatus(Struct):
    """
    A customer's limit, and what became of its calls at one node since that started.
    """

    customer: str
    rate_per_s: Annotated[float, Meta(description="0 sets no limit.")] = 0
    burst: float = 0
    admitted: int = 0
    refused: int = 0
    owner: Annotated[
        str,
        Meta(
            description="Node that keeps the limit, or those that keep shares of it, with spaces between; empty when none is known."
        ),
    ] = ""


class FleetStatus(Struct):
    """
    Body of GET /admin/status; the fleet as the answering VM sees it.
    """

    vm_id: str
    config_version: int
    config_age_ms: Annotated[int, Meta(description="Time since the version was last confirmed.")]
    membership_age_ms: Annotated[int, Meta(description="Time since the VM list was last read.")]
    vms: list[VmStatus]
    upstreams: list[UpstreamStatus]
    customers: Annotated[
        list[CustomerStatus], Meta(description="Those that the configuration in force names.")
    ] = field(default_factory=list)
    restricted_items: Annotated[
        int, Meta(description="Items of batch jobs at this node that may run only in isolation.")
    ] = 0
    held_items: Annotated[
        dict[str, int],
        Meta(
            description="Items without a listed result in jobs of this node, or of no node, by what they wait for."
        ),
    ] = field(default_factory=dict)
    longest_holds_ms: Annotated[
        dict[str, float],
        Meta(description="Longest time since one of them last ran, by what it waits for now."),
    ] = field(default_factory=dict)
    held_bytes: Annotated[
        int,
        Meta(
            description="Held for slow clients, responses as well as requests that have not come whole."
        ),
    ] = 0
    cut_off_callers: Annotated[
        int, Meta(description="Slow clients that were cut off since the start.")
    ] = 0
    internal_errors: Annotated[
        dict[str, int],
        Meta(
            description="Units of work that an unexpected exception has ended since the start, by kind."
        ),
    ] = field(default_factory=dict)
    suspected_traits: Annotated[
        int, Meta(description="Works and parts of prompts that were at an upstream as it ended.")
    ] = 0
    harmful_traits: Annotated[
        int, Meta(description="Those of them that are known to end upstreams.")
    ] = 0
    cleared_traits: Annotated[
        int, Meta(description="Those that a whole run showed to be sound.")
    ] = 0


class MetricsReport(Struct):
    """
    Body of GET /admin/metrics; the programs of one VM that keep metrics.
    """

    snapshots: list[MetricsSnapshot] = field(default_factory=list)
    objectives: Annotated[
        dict[str, ServiceObjectives], Meta(description="Of each service of the configuration.")
    ] = field(default_factory=dict)
    config_version: int = 0
