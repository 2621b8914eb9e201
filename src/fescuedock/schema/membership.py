"""Datagrams between agents, by which each VM learns which others are there.

Generated from ``source/membership.yaml``; do not edit.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, TypeAlias

from msgspec import Meta, field

from fescuedock.schema.wire import WireStruct


class ProfileProgram(StrEnum):
    ENTRY = "entry"
    AGENT = "agent"
    BATCH = "batch"
    STORE = "store"


class MemberState(StrEnum):
    """
    In rising order of precedence within one incarnation.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class DatagramHead(WireStruct):
    sender: Annotated[str, Meta(max_length=64, min_length=1)]
    receiver: Annotated[str, Meta(max_length=64, min_length=1)]
    boot: Annotated[
        int, Meta(description="Set when the sending process started.", ge=0, le=9007199254740991)
    ]
    sequence: Annotated[
        int,
        Meta(description="Rises by one with each datagram of a boot.", ge=1, le=9007199254740991),
    ]
    config_version: Annotated[int, Meta(ge=0, le=9007199254740991)]


class VmProfile(WireStruct):
    """
    What a VM says of itself.
    """

    region: Annotated[str, Meta(max_length=64)]
    failure_domain: Annotated[str, Meta(max_length=64)]
    host: Annotated[str, Meta(description="IP number.", max_length=45)]
    agent_port: Annotated[int, Meta(ge=0, le=65535)]
    entry_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    batch_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    store_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    ready: Annotated[list[ProfileProgram], Meta(max_length=4)] = field(default_factory=list)
    entry_load: Annotated[
        int, Meta(description="Requests in flight at the entry, as a power of two.", ge=0, le=64)
    ] = 0
    config_version: Annotated[int, Meta(ge=0, le=9007199254740991)] = 0
    config_confirmed: bool = False


Accuser: TypeAlias = Annotated[str, Meta(max_length=64)]


class VmUpdate(WireStruct):
    """
    What the sender knows of one VM. The profile is left out where only the state is news.
    """

    vm_id: Annotated[str, Meta(max_length=64, min_length=1)]
    incarnation: Annotated[
        int,
        Meta(
            description="Raised by the VM itself with each change and to refute a suspicion.",
            ge=0,
            le=9007199254740991,
        ),
    ]
    state: MemberState
    accusers: Annotated[
        list[Accuser], Meta(description="VMs that could not reach it.", max_length=4)
    ] = field(default_factory=list)
    profile: VmProfile | None = None


class Probe(WireStruct):
    """
    Asks the receiver to prove that it lives.
    """

    head: DatagramHead
    nonce: Annotated[int, Meta(ge=0, le=9007199254740991)]
    updates: list[VmUpdate] = field(default_factory=list)


class ProbeAck(WireStruct):
    head: DatagramHead
    nonce: Annotated[int, Meta(description="That of the probe.", ge=0, le=9007199254740991)]
    updates: list[VmUpdate] = field(default_factory=list)


class ProbeRequest(WireStruct):
    """
    Asks the receiver to probe another VM, which did not answer the sender.
    """

    head: DatagramHead
    nonce: Annotated[int, Meta(ge=0, le=9007199254740991)]
    target: Annotated[str, Meta(max_length=64, min_length=1)]
    updates: list[VmUpdate] = field(default_factory=list)


class ProbeReport(WireStruct):
    """
    Answers a ProbeRequest.
    """

    head: DatagramHead
    nonce: Annotated[int, Meta(ge=0, le=9007199254740991)]
    reached: bool
    updates: list[VmUpdate] = field(default_factory=list)


class Gossip(WireStruct):
    """
    News that should not wait for the next probe.
    """

    head: DatagramHead
    updates: list[VmUpdate] = field(default_factory=list)


BucketHash: TypeAlias = Annotated[int, Meta(ge=0, le=4294967295)]


class SyncRequest(WireStruct):
    """
    Asks for what the receiver knows in the buckets whose hashes differ from its own.
    """

    head: DatagramHead
    bucket_hashes: Annotated[list[BucketHash], Meta(max_length=32, min_length=32)]


class SyncReply(WireStruct):
    head: DatagramHead
    more: Annotated[
        bool, Meta(description="Whether other datagrams' worth of differences are left.")
    ]
    updates: list[VmUpdate] = field(default_factory=list)
