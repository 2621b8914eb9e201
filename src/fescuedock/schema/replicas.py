"""How nodes hand each other what they know of the key-value service.

Generated from ``source/replicas.yaml``; do not edit.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from fescuedock.schema.wire import WireStruct


class ReplicaEntry(WireStruct):
    key: str
    revision: Annotated[int, Meta(description="Of the entry's last change.")]
    value: bytes


class ReplicaRequest(WireStruct):
    """
    Ask a node for what it knows; it answers with the prefixes of which it knows more.
    """

    revisions: Annotated[
        dict[str, int],
        Meta(
            description="Prefix to the revision up to which the caller knows it; below 0: nothing."
        ),
    ]


class ReplicaSnapshot(WireStruct):
    """
    All entries below one prefix as of one revision.
    """

    prefix: str
    revision: int
    age_ms: Annotated[int, Meta(description="Since the sender heard that this is current.")]
    entries: list[ReplicaEntry]
    as_of_age_ms: Annotated[
        int,
        Meta(
            description="Since a time at which this certainly was all there was; older than the age, as news take time."
        ),
    ] = 2147483647
    sender: Annotated[
        str, Meta(description="Names one process of one node: its VM, / and a number.")
    ] = ""
    sent_ms: Annotated[int, Meta(description="By the clock of that process.")] = 0


class ReplicaNoted(WireStruct):
    """
    Keys that the sender has itself written or read; says nothing of others. Sent by itself, it is answered.
    """

    prefix: str
    entries: list[ReplicaEntry]


class ReplicaNotedReply(WireStruct):
    pass


class ReplicaNews(WireStruct):
    """
    One-way. What changed below one prefix, and that nothing else did; without changes it says so.
    """

    prefix: str
    from_revision: Annotated[int, Meta(description="The changes lead on from here.")]
    revision: int
    entries: Annotated[list[ReplicaEntry], Meta(description="Keys that were written.")]
    removed: Annotated[
        dict[str, int], Meta(description="Keys that were removed and the revisions of that.")
    ]
    as_of_age_ms: Annotated[
        int,
        Meta(
            description="When it was sent: since a time at which this certainly was all there was."
        ),
    ] = 0
    sender: Annotated[
        str, Meta(description="Names one process of one node: its VM, / and a number.")
    ] = ""
    sent_ms: Annotated[int, Meta(description="By the clock of that process.")] = 0


class ReplicaReply(WireStruct):
    snapshots: list[ReplicaSnapshot]
    ages_ms: Annotated[
        dict[str, int],
        Meta(
            description="Of the prefixes that the caller knows as well as the sender: since a time at which that certainly was all there was."
        ),
    ] = field(default_factory=dict)
    sender: Annotated[str, Meta(description="As of news.")] = ""
    sent_ms: Annotated[int, Meta(description="By the clock of that process.")] = 0
    noted: Annotated[
        list[ReplicaNoted],
        Meta(
            description="What the sender has itself written or read, and no news have told of yet."
        ),
    ] = field(default_factory=list)
