"""What is known of upstreams that ended while they ran work.

Generated from ``source/crashes.yaml``; do not edit.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from fescuedock.schema.wire import WireStruct


class BrokenRun(WireStruct):
    """
    A program tells its agent that a run of a piece of work was broken off, or that an upstream refused a connection.
    """

    upstream_id: str
    work_id: Annotated[str, Meta(description="Empty where nothing was running.")]
    alone: Annotated[bool, Meta(description="Nothing else ran at the upstream.")] = False
    begun: Annotated[bool, Meta(description="Something of an answer had come.")] = False
    given_up: Annotated[
        bool, Meta(description="It was over shortly before, and its permit returned.")
    ] = False
    parts: Annotated[
        list[str],
        Meta(description="Identities of the parts of its prompt that are not known to be sound."),
    ] = field(default_factory=list)
    looks_whole: Annotated[
        bool,
        Meta(
            description="Its answer ended with the connection as a whole one may; it is broken off only if the upstream has ended."
        ),
    ] = False
    owed: Annotated[
        bool,
        Meta(
            description="A batch item, which is run again however often upstreams ended under it."
        ),
    ] = False


class WholeRun(WireStruct):
    """
    A program tells its agent that a run with a trait against which something is known has become whole.
    """

    work_id: Annotated[str, Meta(description="Of the work or of a part of its prompt.")]


class CrashedRun(WireStruct):
    work_id: str
    alone: Annotated[bool, Meta(description="Nothing else ran at the upstream.")] = False
    begun: Annotated[bool, Meta(description="Something of an answer had come.")] = False
    given_up: Annotated[
        bool, Meta(description="It was over shortly before, and its permit returned.")
    ] = False
    parts: Annotated[
        list[str],
        Meta(
            description="Identities of the parts of its prompt that its VM does not know to be sound."
        ),
    ] = field(default_factory=list)
    owed: Annotated[
        bool,
        Meta(
            description="A batch item, which is run again however often upstreams ended under it."
        ),
    ] = False


class CrashReport(WireStruct):
    """
    An upstream ended; what one VM had running there.
    """

    report_id: Annotated[str, Meta(description="Unique for each report.")]
    upstream_id: str
    at_ms: Annotated[
        int,
        Meta(
            description="Unix time by the clock of the VM that reports it, for people; not compared."
        ),
    ]
    runs: list[CrashedRun]
    crash_number: Annotated[
        int,
        Meta(
            description="Counts the crashes of the upstream, from 1, as far as the reporter knew of them; 0 where it does not say."
        ),
    ] = 0
    age_ms: Annotated[
        int,
        Meta(
            description="Time since the crash as this was sent or written, by a clock that does not jump; it may be older."
        ),
    ] = 0


class WorkCleared(WireStruct):
    """
    A run with the trait became whole, so it was not the cause of the ends that these reports tell of.
    """

    report_id: Annotated[str, Meta(description="Unique for each report.")]
    work_id: Annotated[str, Meta(description="Of the work or of a part of its prompt.")]
    void_report_ids: list[str]
    at_ms: Annotated[
        int,
        Meta(
            description="Unix time by the clock of the VM that reports it, for people; not compared."
        ),
    ]
    age_ms: Annotated[
        int,
        Meta(
            description="Time since the run as this was sent or written, by a clock that does not jump; it may be older."
        ),
    ] = 0


class CrashNews(WireStruct):
    """
    What an agent has found out, one-way to others and as kept in the key-value service.
    """

    crashes: list[CrashReport] = field(default_factory=list)
    cleared: list[WorkCleared] = field(default_factory=list)
    relay: Annotated[
        bool, Meta(description="The receiver tells the other VMs of its failure domain.")
    ] = False


class CrashesRequest(WireStruct):
    """
    A program asks its agent for what it has not been told yet.
    """

    agent_boot: Annotated[
        int, Meta(description="The agent's incarnation that the program last heard from.")
    ] = 0
    seen: Annotated[
        int, Meta(description="How much of that incarnation's knowledge the program has.")
    ] = 0
    wait_ms: int = 0


class CrashesReply(WireStruct):
    agent_boot: int
    seen: int
    news: CrashNews
