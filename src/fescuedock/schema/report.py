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


class CodeCount(Struct):
    service: str
    code: Annotated[int, Meta(description="A ResultCode.")]
    count: int


class ServiceSlots(Struct):
    service: str
    slots: list[SlotCounts] = field(default_factory=list)


class MetricsSnapshot(Struct):
    process: Annotated[
        str, Meta(description="VM and program; snapshots of one process replace each other.")
    ]
    taken_at_s: Annotated[int, Meta(description="Unix time.")]
    services: list[ServiceSlots] = field(default_factory=list)
    histograms: list[LatencyHistogram] = field(default_factory=list)
    codes: list[CodeCount] = field(default_factory=list)
