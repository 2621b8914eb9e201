"""What a VM's agent tells the other programs of its VM about the fleet.

Generated from ``source/view.yaml``; do not edit.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, field

from fescuedock.schema.wire import WireStruct


class Program(StrEnum):
    ENTRY = "entry"
    AGENT = "agent"
    BATCH = "batch"
    STORE = "store"


class VmState(StrEnum):
    """
    State of a VM or upstream as membership sees it; suspect ones still get work.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class UpstreamKind(StrEnum):
    ENGINE = "engine"
    PLAIN = "plain"


class VmRecord(WireStruct):
    """
    One VM of ours. A port of 0 says that the program does not run there; ready names those that want new work.
    """

    vm_id: str
    region: str
    failure_domain: str
    host: Annotated[str, Meta(description="IP number.")]
    incarnation: Annotated[int, Meta(description="Raised by the VM itself to refute a suspicion.")]
    state: VmState
    entry_port: int = 0
    agent_port: int = 0
    batch_port: int = 0
    store_port: int = 0
    ready: list[Program] = field(default_factory=list)
    entry_load: Annotated[
        int, Meta(description="Requests in flight at the entry, as a power of two (0: none).")
    ] = 0
    config_version: int = 0
    config_confirmed: Annotated[
        bool, Meta(description="Whether the VM knew the version to be current within its bound.")
    ] = False


class UpstreamRecord(WireStruct):
    """
    One upstream, as the VM list shows it.
    """

    upstream_id: str
    region: str
    failure_domain: str
    host: Annotated[str, Meta(description="IP number.")]
    port: int
    kind: UpstreamKind
    service: Annotated[str, Meta(description="Service of the configuration that it belongs to.")]
    leaving: bool = False
    slots: Annotated[
        int, Meta(description="Requests that it declares to run at once; 0 when it does not say.")
    ] = 0
    software_version: Annotated[
        str,
        Meta(
            description="Of its software; what two versions write of one answer does not fit together."
        ),
    ] = ""


class Hello(WireStruct):
    """
    A program tells its VM's agent, every second, that it runs and whether it is ready.
    """

    program: Program
    port: int
    ready: bool
    in_flight: Annotated[int, Meta(description="Requests in progress.")] = 0


class HelloReply(WireStruct):
    vm_id: str


class ViewRequest(WireStruct):
    """
    Long poll for the fleet view; answered at once when it is newer than seen_version.
    """

    seen_version: int = 0
    seen_config_version: int = 0
    wait_ms: int = 0


class ViewReply(WireStruct):
    """
    The fleet as this VM sees it now, or what changed in it. The configuration is empty when not newer.
    """

    view_version: int
    vms: list[VmRecord]
    upstreams: list[UpstreamRecord]
    membership_age_ms: Annotated[int, Meta(description="Time since the VM list was last read.")]
    config_version: int
    config_age_ms: Annotated[int, Meta(description="Time since the version was last confirmed.")]
    config_document: Annotated[bytes, Meta(description="Configuration as JSON.")]
    unchanged: Annotated[
        bool,
        Meta(
            description="The view is the one that the caller has; vms and upstreams are left out."
        ),
    ] = False
    since_version: Annotated[
        int,
        Meta(
            description="Above 0: vms and upstreams hold only what was added or changed since this version."
        ),
    ] = 0
    gone_vms: list[str] = field(default_factory=list)
    gone_upstreams: list[str] = field(default_factory=list)
    kv_away: Annotated[
        bool,
        Meta(
            description="Most VMs are within reach and for a while none that was asked had an answer of the key-value service."
        ),
    ] = False


class LeaveRequest(WireStruct):
    """
    Announce a planned stop of this VM.
    """

    reason: str = ""


class Acknowledgement(WireStruct):
    code: Annotated[int, Meta(description="A ResultCode.")] = 0
    message: str = ""
