"""Batch jobs whose items and results lie in the key-value service.

Generated from ``source/stored_jobs.yaml``; do not edit.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from fescuedock.schema.wire import WireStruct


class StoredJobRecord(WireStruct):
    """
    The small record of a job, changed only by compare-and-swap.
    """

    job_id: str
    host: Annotated[str, Meta(description="Host of the route that took the job.")]
    path: Annotated[
        str,
        Meta(description="Path at which the job was submitted; selects the route of its items."),
    ]
    submitted_at_ms: Annotated[
        int, Meta(description="Unix time by the clock of the node that accepted the job")
    ]
    due_in_ms: Annotated[int, Meta(description="From submission until all results are wanted.")]
    retention_ms: Annotated[int, Meta(description="From submission until items may be given up.")]
    total: Annotated[int, Meta(description="Number of items.")]
    listed: Annotated[int, Meta(description="Results that have a position; never goes down.")] = 0
    ended: Annotated[bool, Meta(description="A client ended the job; no further item runs.")] = (
        False
    )
    owner_id: Annotated[
        str, Meta(description="Node that runs the items; empty when it gave the job up.")
    ] = ""
    owner_boot: Annotated[int, Meta(description="Start of the owner's process.")] = 0
    epoch: Annotated[
        int, Meta(description="Raised by each claim; a commit under an older one fails.")
    ] = 0
    spec_parts: Annotated[int, Meta(description="Values that hold the items.", ge=1, le=1000)] = 1
    customer: (
        Annotated[
            str,
            Meta(
                description="Whom the job belongs to, empty for nobody; null where no customers are configured."
            ),
        ]
        | None
    ) = None
    items_digest: Annotated[
        str,
        Meta(
            description="Of the items as they were submitted; empty in records of an earlier version."
        ),
    ] = ""
    age_ms: Annotated[
        int,
        Meta(
            description="Time since the submission as this record was written, or less, by a clock that does not jump."
        ),
    ] = 0


class StoredItem(WireStruct):
    item_id: str
    path: str
    headers: Annotated[list[list[str]], Meta(description="Name and value of each header.")]
    body: bytes
    tokens: Annotated[
        int, Meta(description="Tokens of the prompt and the longest output together.")
    ]


class StoredResult(WireStruct):
    """
    The final outcome of one item.
    """

    item_id: str
    completed: Annotated[bool, Meta(description="False for an item that was given up.")]
    text: Annotated[str, Meta(description="Data of all events in order.")]


class ResultGroup(WireStruct):
    """
    Results that got their positions in one commit.
    """

    first_position: int
    results: list[StoredResult]


class ItemProgress(WireStruct):
    """
    What runs of an item have given so far, so that another node goes on from there.
    """

    item_id: str
    last_event: Annotated[int, Meta(description="Number of the last event; below 0 for none.")]
    texts: Annotated[list[str], Meta(description="Data of each event.")]
    failures: Annotated[int, Meta(description="Runs that the upstream said had failed.")]
    software_version: Annotated[str, Meta(description="Of the upstreams that wrote the texts.")] = (
        ""
    )


class NodeRecord(WireStruct):
    """
    What a node writes of itself, under a lease.
    """

    vm_id: str
    region: str
    failure_domain: str
    host: Annotated[str, Meta(description="IP number.", max_length=45)]
    port: Annotated[int, Meta(description="TCP and UDP port of the agent.", ge=0, le=65535)]
    started_unix_ms: Annotated[
        int, Meta(description="When its process started; 0 where it does not say.")
    ] = 0


class AcceptJob(WireStruct):
    """
    A node that waits for the store asks another one to accept a job, and to own it.
    """

    record: StoredJobRecord
    items: list[StoredItem]


class AcceptJobReply(WireStruct):
    code: Annotated[int, Meta(description="A ResultCode; OK when the job is stored.")]


class JobAgesRequest(WireStruct):
    """
    A node that starts asks another one how old the open jobs are.
    """


class JobAgesReply(WireStruct):
    ages_ms: Annotated[
        dict[str, int], Meta(description="By job, the time since its submission, or less.")
    ] = field(default_factory=dict)


class ReadResults(WireStruct):
    """
    A node that a client reads a job at asks the job's owner for results that it lacks.
    """

    job_id: str
    known: Annotated[int, Meta(description="Positions that the asking node has.")]


class ReadResultsReply(WireStruct):
    group: Annotated[
        ResultGroup,
        Meta(
            description="Committed results from the first position that was asked for; empty when none is known."
        ),
    ]
    current: Annotated[
        bool, Meta(description="Whether the owner is sure that no more was committed.")
    ]


class SpoolJob(WireStruct):
    """
    A node that cannot reach the store asks for a durable copy of a job, to be stored later.
    """

    record: StoredJobRecord
    items: list[StoredItem]


class SpoolJobReply(WireStruct):
    code: Annotated[
        int, Meta(description="A ResultCode; OK when the copy survives a loss of power.")
    ]


class FindSpooled(WireStruct):
    """
    A node that finds no such job in the store asks whether a copy waits to be stored.
    """

    job_id: str


class FindSpooledReply(WireStruct):
    held: bool


class EndSpooled(WireStruct):
    """
    A node that could not record the end of a job tells it to the disks that keep the job.
    """

    job_id: str


class EndSpooledReply(WireStruct):
    held: Annotated[bool, Meta(description="Whether a copy waits to be stored.")]
    code: Annotated[
        int,
        Meta(description="A ResultCode; OK when the end of a held copy survives a loss of power."),
    ]


class EmptySpool(WireStruct):
    """
    Take no further job, since the machine is to be removed.
    """

    reason: str = ""


class EmptySpoolReply(WireStruct):
    pending: Annotated[int, Meta(description="Jobs that are not in the store yet.")]
    code: Annotated[
        int,
        Meta(
            description="A ResultCode; OK when a restart or a loss of power does not let it take jobs again."
        ),
    ] = 0
