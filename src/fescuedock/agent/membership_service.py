"""The I/O of membership: datagrams, the VM list, and the view that this VM's programs poll."""

from typing import Protocol

import msgspec
import trio
from result import Ok, Result

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.agent.programs import LocalPrograms
from fescuedock.agent.view_history import ViewHistory
from fescuedock.backing.vm_list import VmList
from fescuedock.clock import now_ms
from fescuedock.core.membership import (
    Action,
    Candidate,
    Membership,
    PeerVersion,
    Send,
    is_membership_message,
)
from fescuedock.errors import log_internal_error
from fescuedock.faults import Fault
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.net.codec import BadMessageError, Codec, log_unreadable_message
from fescuedock.net.udp import UdpSocket
from fescuedock.schema.config import Configuration
from fescuedock.schema.view import (
    Acknowledgement,
    Hello,
    HelloReply,
    LeaveRequest,
    UpstreamRecord,
    ViewReply,
    ViewRequest,
    VmRecord,
)
from fescuedock.settings import Settings

__all__ = ["ConfigSource", "MembershipService", "VmListSource"]

_MAX_DATAGRAM_BYTES = 1200
_PUBLISH_INTERVAL_MS = 100.0
_PROFILE_INTERVAL_MS = 250.0
_MAX_POLL_MS = 30000
# Longest sleep of the tick loop, since a change of the configuration does not wake it: a tenth of
# the 2 s within which a change must be in force.
_MAX_SLEEP_MS = 200.0


class ConfigSource(Protocol):
    """The part of the configuration service that membership uses."""

    @property
    def current_version(self) -> int:
        """The version in force on this VM."""

    @property
    def document(self) -> bytes:
        """The configuration in force, as JSON."""

    @property
    def confirmed_age_ms(self) -> float:
        """Time since the version was known to be the newest."""

    @property
    def unconfirmed(self) -> bool:
        """Whether ``confirmed_age_ms`` is too long."""

    @property
    def serving(self) -> bool:
        """Whether the entry of this VM may accept new requests even so."""

    @property
    def kv_away(self) -> bool:
        """Whether the key-value service appears to be unavailable to the entire fleet."""

    def on_peer_version(self, vm: VmRecord, version: int) -> None:
        """Handle the version that a datagram of ``vm`` carried."""


class VmListSource(Protocol):
    """A source of the VM list."""

    async def read(self) -> Result[VmList, Fault]:
        """Return the list; the same object as the last read if nothing has changed."""

    async def wait_due(self) -> None:
        """Wait until the next read is due."""


class MembershipService:
    """Runs ``Membership`` over one UDP socket and keeps ``view`` current.

    ``programs`` stores the announcements of the VM's programs; ``configuration`` provides the
    version in force here.  ``first_version`` must increase with each start of the agent, faster
    than view versions do while it runs.
    """

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        udp: UdpSocket,
        codec: Codec,
        vm_list: VmListSource,
        programs: LocalPrograms,
        configuration: ConfigSource,
        view: FleetView,
        first_version: int,
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._udp = udp
        self._codec = codec
        self._vm_list = vm_list
        self._programs = programs
        self._configuration = configuration
        self._view = view
        self._history = ViewHistory()
        self._first_version = first_version
        self._upstreams: tuple[UpstreamRecord, ...] = ()
        self._read_list: VmList | None = None
        self._upstreams_changed = True
        self._profile_due_ms = float("-inf")
        self._published_revision = -1
        self._published_at_ms = float("-inf")
        # When the tick loop wakes by itself, and the event that wakes it earlier.
        self._wake_ms = float("-inf")
        self._wake_event = trio.Event()

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Handlers by message type, to be merged with those of the agent's other services."""
        return {
            Hello: self._on_hello,
            ViewRequest: self._on_view_request,
            LeaveRequest: self._on_leave_request,
        }

    def vms(self) -> list[VmRecord]:
        """Return every VM that membership knows, including gone ones."""
        return self._membership.records(with_gone=True)

    async def run(self) -> None:
        """Run membership until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_forever)
            nursery.start_soon(self._tick_forever)
            nursery.start_soon(self._poll_list)

    def leave(self) -> None:
        """Announce that this VM accepts no new work."""
        self._perform(self._membership.leave(now_ms()))
        self._publish(now_ms())

    def finish(self) -> None:
        """Announce that this VM is gone."""
        self._perform(self._membership.finish(now_ms()))

    # --- loops ---------------------------------------------------------------------------------

    async def _receive_forever(self) -> None:
        while True:
            for data, source in await self._udp.receive():
                try:
                    self._handle_datagram(data, source)
                except Exception as error:
                    log_internal_error(error, "datagram", source=str(source))
            self._wake_if_due_earlier()

    async def _tick_forever(self) -> None:
        while True:
            self._tick(now_ms())
            at_ms = now_ms()
            latest_ms = min(at_ms + _MAX_SLEEP_MS, self._publish_due_ms())
            self._wake_ms = self._membership.schedule(at_ms, latest_ms)
            self._wake_event = trio.Event()
            with trio.move_on_at(self._wake_ms / 1000):
                await self._wake_event.wait()

    async def _poll_list(self) -> None:
        while True:
            match await self._vm_list.read():
                case Ok(VmList() as listed):
                    self._apply_list(listed)
            await self._vm_list.wait_due()

    def _tick(self, at_ms: float) -> None:
        source = self._configuration
        if at_ms >= self._profile_due_ms:
            self._profile_due_ms = at_ms + _PROFILE_INTERVAL_MS
            profile = self._programs.profile(
                at_ms, source.current_version, not source.unconfirmed, source.serving
            )
            self._membership.set_profile(profile, at_ms)
        self._perform(self._membership.tick(at_ms))
        if at_ms >= self._publish_due_ms():
            self._publish(at_ms)

    def _publish_due_ms(self) -> float:
        """Return when to replace the view; infinite while it is current."""
        changed = self._upstreams_changed or self._membership.revision != self._published_revision
        changed = changed or self._configuration.current_version != self._view.config_version
        return self._published_at_ms + _PUBLISH_INTERVAL_MS if changed else float("inf")

    def _wake_if_due_earlier(self) -> None:
        """Wake the tick loop if something is due before it wakes by itself."""
        due_ms = min(self._membership.next_due_ms(now_ms()), self._publish_due_ms())
        if due_ms < self._wake_ms:
            self._wake_event.set()

    def _handle_datagram(self, data: bytes, source: Address) -> None:
        if len(data) > _MAX_DATAGRAM_BYTES:
            return
        try:
            message = self._codec.decode(data)
        except BadMessageError as error:
            log_unreadable_message(error)
            return
        if is_membership_message(message):
            self._perform(self._membership.receive(message, source, now_ms()))

    def _apply_list(self, listed: VmList) -> None:
        if listed is not self._read_list:
            self._read_list = listed
            self._upstreams = listed.upstreams
            self._upstreams_changed = True
            candidates = [
                Candidate(vm.vm_id, Address(vm.host, vm.port), vm.is_leaving)
                for vm in listed.system
            ]
            self._membership.replace_list(candidates, now_ms())
            self._wake_if_due_earlier()
        else:
            self._membership.record_list_read(now_ms())
        self._view.record_list_age(now_ms() - self._membership.list_read_at_ms)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(address, message):
                    self._udp.send(self._codec.encode(message), address)
                case PeerVersion(vm_id, version):
                    vm = self._view.vms.get(vm_id)
                    if vm is not None:
                        self._configuration.on_peer_version(vm, version)

    # --- the view ------------------------------------------------------------------------------

    def _publish(self, at_ms: float) -> None:
        """Replace the view with the current state, which wakes the tasks that wait for it."""
        self._upstreams_changed = False
        self._published_at_ms = at_ms
        self._published_revision = self._membership.revision
        self._apply_configuration()
        view = self._view
        vms, upstreams = view.vms, view.upstreams
        # Above the versions of earlier processes of this agent, which programs may still have.
        version = max(view.version, self._first_version) + 1
        age_ms = at_ms - self._membership.list_read_at_ms
        view.replace(version, self._membership.records(), self._published_upstreams(), age_ms)
        self._history.record(version, (vms, view.vms), (upstreams, view.upstreams))

    def _published_upstreams(self) -> list[UpstreamRecord]:
        """Return the listed upstreams; those that an operator drains are marked as leaving."""
        drained = _drained_upstreams(self._view.configuration)
        return [
            msgspec.structs.replace(item, leaving=True) if item.upstream_id in drained else item
            for item in self._upstreams
        ]

    def _apply_configuration(self) -> None:
        source = self._configuration
        configuration = self._view.configuration
        if source.current_version != self._view.config_version:
            configuration = msgspec.json.decode(source.document, type=Configuration)
        self._view.replace_configuration(
            self._view.version, source.current_version, configuration, source.confirmed_age_ms
        )

    # --- handlers ------------------------------------------------------------------------------

    async def _on_hello(self, message: Hello, _peer: ServerPeer) -> HelloReply:
        self._programs.record_hello(message, now_ms())
        self._profile_due_ms = float("-inf")
        return HelloReply(self._settings.vm.vm_id)

    async def _on_leave_request(self, _message: LeaveRequest, _peer: ServerPeer) -> Acknowledgement:
        self.leave()
        return Acknowledgement()

    async def _on_view_request(self, message: ViewRequest, _peer: ServerPeer) -> ViewReply:
        with trio.move_on_after(min(message.wait_ms, _MAX_POLL_MS) / 1000):
            await self._view.wait_changed(message.seen_version)
        return self._reply(message)

    def _reply(self, message: ViewRequest) -> ViewReply:
        view = self._view
        source = self._configuration
        newer = view.config_version > message.seen_config_version
        reply = ViewReply(
            view_version=view.version,
            vms=[],
            upstreams=[],
            membership_age_ms=_to_integer_ms(view.membership_age_ms),
            config_version=view.config_version,
            config_age_ms=_to_integer_ms(source.confirmed_age_ms),
            config_document=source.document if newer else b"",
            kv_away=source.kv_away,
            unchanged=view.version == message.seen_version,
        )
        if not reply.unchanged:
            self._fill(reply, message.seen_version)
        return reply

    def _fill(self, reply: ViewReply, seen_version: int) -> None:
        """Add what changed since ``seen_version``, or everything when that is not known."""
        view = self._view
        changes = self._history.since(seen_version)
        if changes is None:
            reply.vms = list(view.vms.values())
            reply.upstreams = list(view.upstreams.values())
            return
        reply.since_version = seen_version
        reply.vms = [view.vms[name] for name in changes.vm_ids & view.vms.keys()]
        reply.gone_vms = sorted(changes.vm_ids - view.vms.keys())
        reply.upstreams = [
            view.upstreams[name] for name in changes.upstream_ids & view.upstreams.keys()
        ]
        reply.gone_upstreams = sorted(changes.upstream_ids - view.upstreams.keys())


def _drained_upstreams(configuration: Configuration) -> set[str]:
    return {name for name, policy in configuration.upstreams.items() if policy.drain}


def _to_integer_ms(age_ms: float) -> int:
    """Return an age as an integer for a message; infinity becomes a very long time."""
    return int(min(age_ms, 2**53))
