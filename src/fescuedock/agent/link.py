"""The link of a program to its VM's agent, and the view of the fleet that it keeps current."""

from collections.abc import AsyncIterator, Callable, Collection, Sequence
from contextlib import asynccontextmanager

import msgspec
import trio
from result import Ok, Result

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.crash_log import facts_of
from fescuedock.core.quarantine import FREE, Quarantine, Verdict
from fescuedock.core.recent_runs import SoundParts
from fescuedock.core.rendezvous import OwnerIndex
from fescuedock.net.channel import ChannelClient
from fescuedock.net.codec import Codec
from fescuedock.schema.config import Configuration
from fescuedock.schema.crashes import CrashesReply, CrashesRequest
from fescuedock.schema.view import (
    Hello,
    Program,
    UpstreamRecord,
    ViewReply,
    ViewRequest,
    VmRecord,
    VmState,
)
from fescuedock.settings import Settings

__all__ = ["AgentLink", "FleetView", "open_agent_link", "port_of"]

_HELLO_INTERVAL_S = 1
_POLL_WAIT_MS = 2000
_CALL_TIMEOUT_MS = 3000
_RETRY_S = 0.2
# How long an upstream's end counts as recent; covers the delays of reports.
_RECENT_END_MS = 3000.0
# The agent's report on the key-value service stays valid over one poll without an answer.
_KV_AWAY_VALIDITY_MS = _POLL_WAIT_MS + _CALL_TIMEOUT_MS
_PORT_FIELDS = {program: f"{program.value}_port" for program in Program}


def port_of(vm: VmRecord, program: Program) -> int:
    """Return the port of ``program`` on ``vm``; 0 if it does not run there."""
    return getattr(vm, _PORT_FIELDS[program])


class FleetView:
    """The fleet as known to this VM: always a complete snapshot, replaced atomically.

    ``vms`` and ``upstreams`` are keyed by identity and exclude gone ones.  ``version`` is 0 until
    the first snapshot; versions may only be compared for equality.
    """

    __slots__ = (
        "_changed",
        "_confirmed_at_ms",
        "_kv_away_until_ms",
        "_listed_at_ms",
        "_owners",
        "_quarantine_changed",
        "config_version",
        "configuration",
        "quarantine",
        "sound_parts",
        "upstreams",
        "version",
        "vm_id",
        "vms",
    )

    def __init__(self, vm_id: str) -> None:
        self.vm_id = vm_id
        self.version = 0
        self.vms: dict[str, VmRecord] = {}
        self.upstreams: dict[str, UpstreamRecord] = {}
        self.configuration = Configuration()
        self.config_version = 0
        self._listed_at_ms = float("-inf")
        self._confirmed_at_ms = float("-inf")
        self._kv_away_until_ms = float("-inf")
        self._owners = OwnerIndex()
        self._changed = trio.Event()
        # Facts on units of work that were running when upstreams ended.
        self.quarantine = Quarantine()
        # Parts of prompts with which runs of this process have completed.
        self.sound_parts = SoundParts()
        self._quarantine_changed = trio.Event()

    @property
    def membership_age_ms(self) -> float:
        """Time since this VM's agent last read the VM list; infinite before the first read."""
        return now_ms() - self._listed_at_ms

    @property
    def config_age_ms(self) -> float:
        """Time since the configuration's version was last known to be current."""
        return now_ms() - self._confirmed_at_ms

    @property
    def kv_away(self) -> bool:
        """Whether this VM's agent reports the key-value service as unavailable to all."""
        return now_ms() < self._kv_away_until_ms

    def live_vms(self, program: Program | None = None) -> list[VmRecord]:
        """Return the VMs that may get new work; with ``program``, those where it is ready.

        Suspected VMs count as live, leaving ones do not.
        """
        live = (VmState.ALIVE, VmState.SUSPECT)
        vms = [vm for vm in self.vms.values() if vm.state in live]
        if program is None:
            return vms
        return [vm for vm in vms if program in vm.ready and port_of(vm, program)]

    def upstreams_of(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams of ``service``, including leaving ones."""
        return [item for item in self.upstreams.values() if item.service == service]

    def is_replaced(self, chosen: UpstreamRecord) -> bool:
        """Whether an upstream is now listed with another version than when it was chosen.

        A restarted upstream may be listed under another ID, at the same address.
        """
        address = (chosen.host, chosen.port)
        return any(
            item.software_version != chosen.software_version
            for item in self.upstreams_of(chosen.service)
            if (item.host, item.port) == address
        )

    def owner_of(self, upstream_id: str) -> VmRecord | None:
        """Return the VM whose agent owns the upstream; None if that is unknown or no VM is live."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is None:
            return None
        return self.vms.get(self._owners.owner_id(upstream) or "")

    def verdict_on(
        self, work_id: str, parts: Collection[str] = (), *, owed: bool = False
    ) -> Verdict:
        """Return the current verdict on a unit of work with ``parts`` in its prompt.

        ``owed`` is true for batch items.
        """
        if self.quarantine.is_empty:
            return FREE
        return self.quarantine.verdict(work_id, now_ms(), parts, owed=owed)

    def has_just_ended(self, upstream_id: str) -> bool:
        """Whether an upstream may have ended in the last ``_RECENT_END_MS``, by reports."""
        return self.quarantine.has_crashed_since(upstream_id, now_ms() - _RECENT_END_MS)

    def notify_quarantine_changed(self) -> None:
        """Wake the tasks that wait for a change of ``quarantine``."""
        self._quarantine_changed.set()
        self._quarantine_changed = trio.Event()

    async def wait_quarantine_changed(self) -> None:
        """Wait for the next change of ``quarantine``."""
        await self._quarantine_changed.wait()

    async def wait_changed(self, seen_version: int) -> int:
        """Wait until the version differs from ``seen_version`` and return it."""
        while self.version == seen_version:
            await self._changed.wait()
        return self.version

    def replace(
        self,
        version: int,
        vms: Sequence[VmRecord],
        upstreams: Sequence[UpstreamRecord],
        membership_age_ms: float,
    ) -> None:
        """Set a new snapshot of VMs and upstreams, and wake the tasks that wait for a change."""
        self.vms = {vm.vm_id: vm for vm in vms}
        self.upstreams = {item.upstream_id: item for item in upstreams}
        self.record_list_age(membership_age_ms)
        agents = self.live_vms(Program.AGENT)
        if not self._owners.matches(agents):
            self._owners = OwnerIndex(agents)
        self._advance(version)

    def record_list_age(self, age_ms: float) -> None:
        """Record the time since the VM list was last read."""
        self._listed_at_ms = now_ms() - age_ms

    def record_kv_state(self, away: bool) -> None:
        """Record whether the key-value service is reported as unavailable to all."""
        self._kv_away_until_ms = now_ms() + _KV_AWAY_VALIDITY_MS if away else float("-inf")

    def replace_configuration(
        self, view_version: int, config_version: int, configuration: Configuration, age_ms: float
    ) -> None:
        """Set the configuration, or confirm the one in force as ``age_ms`` old."""
        self._confirmed_at_ms = now_ms() - age_ms
        self.configuration = configuration
        self.config_version = config_version
        self._advance(view_version)

    def _advance(self, version: int) -> None:
        if version == self.version:
            return
        self.version = version
        self._changed.set()
        self._changed = trio.Event()


class AgentLink:
    """Calls the agent of this VM."""

    __slots__ = ("_client", "_hello")

    def __init__(self, client: ChannelClient, hello: Callable[[], Hello]) -> None:
        self._client = client
        self._hello = hello

    async def call(
        self, message: msgspec.Struct, timeout_ms: float = _CALL_TIMEOUT_MS
    ) -> Result[msgspec.Struct, object]:
        """Return ``Ok(answer)`` or ``Err(Fault)`` as ``ChannelClient.call`` does."""
        return await self._client.call(message, timeout_ms)

    async def hello(self) -> bool:
        """Send the periodic announcement now; return False when the agent does not answer.

        For a change of readiness that should take effect at once.
        """
        return (await self.call(self._hello())).is_ok()


@asynccontextmanager
async def open_agent_link(
    settings: Settings,
    codec: Codec,
    program: Program,
    port: int,
    ready: Callable[[], bool],
    in_flight: Callable[[], int] = lambda: 0,
) -> AsyncIterator[tuple[AgentLink, FleetView]]:
    """Connect to this VM's agent, announce ``program`` every second and keep a view fresh.

    The view is empty (version 0) until the agent has answered once.
    """
    if settings.agent is None:
        raise ValueError("the settings lack section [agent], which has the port of this VM's agent")

    def hello() -> Hello:
        return Hello(program=program, port=port, ready=ready(), in_flight=in_flight())

    view = FleetView(settings.vm.vm_id)
    address = Address(settings.vm.host, settings.agent.port)
    async with ChannelClient.open(address, codec) as client, trio.open_nursery() as nursery:
        link = AgentLink(client, hello)
        nursery.start_soon(_announce, link)
        nursery.start_soon(_poll_view, link, view)
        nursery.start_soon(_poll_crashes, link, view)
        yield link, view
        nursery.cancel_scope.cancel()


async def _announce(link: AgentLink) -> None:
    while True:
        await link.hello()
        await trio.sleep(_HELLO_INTERVAL_S)


async def _poll_view(link: AgentLink, view: FleetView) -> None:
    while True:
        request = ViewRequest(
            seen_version=view.version,
            seen_config_version=view.config_version,
            wait_ms=_POLL_WAIT_MS if view.version else 0,
        )
        match await link.call(request, request.wait_ms + _CALL_TIMEOUT_MS):
            case Ok(ViewReply() as reply):
                _apply_reply(view, reply)
            case _:
                await trio.sleep(_RETRY_S)


async def _poll_crashes(link: AgentLink, view: FleetView) -> None:
    request = CrashesRequest()
    while True:
        match await link.call(request, request.wait_ms + _CALL_TIMEOUT_MS):
            case Ok(CrashesReply() as reply):
                for fact in facts_of(reply.news):
                    view.quarantine.record(fact, now_ms() - max(fact.age_ms, 0))
                view.notify_quarantine_changed()
                request = CrashesRequest(reply.agent_boot, reply.seen, _POLL_WAIT_MS)
            case _:
                await trio.sleep(_RETRY_S)


def _apply_reply(view: FleetView, reply: ViewReply) -> None:
    view.record_list_age(reply.membership_age_ms)
    view.record_kv_state(reply.kv_away)
    configuration = view.configuration
    config_version = view.config_version
    if reply.config_document and reply.config_version > view.config_version:
        configuration = msgspec.json.decode(reply.config_document, type=Configuration)
        config_version = reply.config_version
    if reply.config_version == config_version:
        view.replace_configuration(view.version, config_version, configuration, reply.config_age_ms)
    if reply.unchanged:
        return
    vms = {vm.vm_id: vm for vm in reply.vms}
    upstreams = {item.upstream_id: item for item in reply.upstreams}
    if reply.since_version:
        vms = _without(view.vms | vms, reply.gone_vms)
        upstreams = _without(view.upstreams | upstreams, reply.gone_upstreams)
    view.replace(
        reply.view_version,
        list(vms.values()),
        list(upstreams.values()),
        reply.membership_age_ms,
    )


def _without(items: dict, names: Sequence[str]) -> dict:
    dropped = set(names)
    return {name: item for name, item in items.items() if name not in dropped}
