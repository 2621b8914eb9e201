"""The configuration at one VM's agent: confirms, spreads and changes the version in force."""

from collections.abc import Awaitable, Callable, Sequence
from math import inf
from random import Random
from typing import Protocol

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.clock import UnixClock, now_ms
from fescuedock.core.config.node import Action, ConfigNode, Pull, PushTo, ReadRecord, ReadRevision
from fescuedock.core.config.record import Refusal
from fescuedock.core.config.republish import plan_republish
from fescuedock.core.config.spread import ConfirmationState, is_serving
from fescuedock.core.config.writer import Accepted, PatchWriter, Put, Read, WriterStep
from fescuedock.faults import Fault
from fescuedock.kv import KvStore
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.schema.config import (
    ConfigPull,
    ConfigPush,
    RepublishConfig,
    SubmitPatch,
    SubmitPatchReply,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import Acknowledgement, VmRecord
from fescuedock.settings import Settings

__all__ = ["CONFIG_KEY", "CallPeer", "ConfigService", "VmSource"]

CONFIG_KEY = "config"
# How long an uncertain write is resolved before its outcome is reported as unknown.
_MAX_RESOLVE_MS = 4000
_FIRST_PAUSE_MS = 50
_PUSH_TIMEOUT_MS = 1000
# A patch is acknowledged when another VM has it too, or after this time.
_MAX_COPY_WAIT_MS = 300

# Calls the agent of another VM.  Arguments: the VM, the message, the timeout in milliseconds.
CallPeer = Callable[[VmRecord, msgspec.Struct, float], Awaitable[Result[msgspec.Struct, Fault]]]


class VmSource(Protocol):
    """The part of membership that the service uses."""

    def vms(self) -> Sequence[VmRecord]:
        """Return every VM that membership knows, including this one and gone ones."""


class ConfigService:
    """Created once by the agent, which runs ``run`` and merges ``handlers`` into its own."""

    def __init__(
        self,
        settings: Settings,
        kv: KvStore,
        vms: VmSource,
        call_peer: CallPeer,
        rng: Random,
        unix_clock: UnixClock,
    ) -> None:
        self._settings = settings
        self._key = settings.platform.key_prefix + CONFIG_KEY
        self._kv = kv
        self._call_peer = call_peer
        self._unix_clock = unix_clock
        self._node = ConfigNode(
            settings.vm.vm_id,
            settings.vm.failure_domain,
            settings.agent.config_confirm_ms,
            vms.vms,
            rng,
        )
        self._wake = trio.Event()
        self._changed = trio.Event()
        self._copied = trio.Event()
        self._published_version = 0
        self._published_state = ConfirmationState.EMPTY

    @property
    def current_version(self) -> int:
        """The version in force on this VM; 0 if none was ever accepted."""
        return self._node.version

    @property
    def document(self) -> bytes:
        """The ``Configuration`` in force, as JSON."""
        return self._node.replica.record.document

    @property
    def confirmed_age_ms(self) -> float:
        """Time since the version in force was known to be the newest; infinite if it never was."""
        return now_ms() - self._node.replica.confirmed_at_ms

    @property
    def unconfirmed(self) -> bool:
        """Whether ``confirmed_age_ms`` exceeds ``config_confirm_ms``."""
        return self._node.confirmation_state(now_ms()) is not ConfirmationState.CONFIRMED

    @property
    def serving(self) -> bool:
        """Whether the cut-off policy lets the entry of this VM accept new requests."""
        return is_serving(
            self._node.confirmation_state(now_ms()), self._settings.agent.config_cut_off
        )

    @property
    def kv_away(self) -> bool:
        """Whether the key-value service appears to be unavailable to the entire fleet."""
        return self._node.kv_away(now_ms())

    @property
    def alarm(self) -> str:
        """A rejected version that an operator must inspect, in one line; empty without one."""
        alarm = self._node.replica.alarm
        if alarm is None:
            return ""
        return (
            f"{alarm.kind.value}: {alarm.source} shows version {alarm.offered_version}, "
            f"version {alarm.own_version} is in force here"
        )

    def on_peer_version(self, vm: VmRecord, version: int) -> None:
        """Handle the version that a membership message of ``vm`` carried."""
        if version > self._node.version:
            self._node.on_peer_version(vm, version, now_ms())
            self._wake.set()
        else:
            self._node.replica.record_peer_version(version, now_ms())

    async def wait_changed(self, seen_version: int) -> None:
        """Wait until the version in force is above ``seen_version``."""
        while self._node.version <= seen_version:
            await self._changed.wait()

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Return the handlers of this service's messages by message type."""
        return {
            ConfigPull: self._on_pull,
            ConfigPush: self._on_push,
            SubmitPatch: self._on_submit,
            RepublishConfig: self._on_republish,
        }

    async def run(self) -> None:
        """Keep the version confirmed and spread it; runs until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for action in self._node.tick(now_ms()):
                    nursery.start_soon(self._perform, action)
                self._publish_changes()
                self._wake = trio.Event()
                due_ms = self._node.next_due_ms()
                with trio.move_on_at(due_ms / 1000 if due_ms < inf else inf):
                    await self._wake.wait()

    async def _perform(self, action: Action) -> None:
        match action:
            case ReadRevision():
                await self._read_revision()
            case ReadRecord():
                await self._read_record()
            case Pull(vm, message):
                await self._pull(vm, message)
            case PushTo(vms, message):
                async with trio.open_nursery() as nursery:
                    for vm in vms:
                        nursery.start_soon(self._push, vm, message)
        self._publish_changes()
        self._wake_if_due()

    async def _read_revision(self) -> None:
        requested_at_ms = now_ms()
        revision = None
        match await self._kv.get_range(self._key, limit=1, keys_only=True):
            case Ok(page):
                found = [entry for entry in page.entries if entry.key == self._key]
                revision = found[0].mod_revision if found else 0
        for action in self._node.on_revision(revision, requested_at_ms):
            await self._perform(action)

    async def _read_record(self) -> None:
        requested_at_ms = now_ms()
        match await self._kv.get(self._key):
            case Ok(None):
                self._node.on_record(None, 0, requested_at_ms)
            case Ok(entry):
                self._node.on_record(entry.value, entry.mod_revision, requested_at_ms)

    async def _pull(self, vm: VmRecord, message: ConfigPull) -> None:
        requested_at_ms = now_ms()
        match await self._call_peer(vm, message, self._node.limits.pull_timeout_ms):
            case Ok(ConfigPush() as answer):
                self._node.on_push(answer, requested_at_ms, now_ms())
            case _:
                self._node.on_pull_failed(vm)

    async def _push(self, vm: VmRecord, message: ConfigPush) -> None:
        if (await self._call_peer(vm, message, _PUSH_TIMEOUT_MS)).is_ok():
            self._copied.set()

    def _publish_changes(self) -> None:
        """Wake the tasks that wait for a new version, and log changes of version and state."""
        if self._node.version != self._published_version:
            self._published_version = self._node.version
            self._changed.set()
            self._changed = trio.Event()
            self._wake.set()
            log_event("config_in_force", version=self._published_version)
        state = self._node.confirmation_state(now_ms())
        if state is not self._published_state:
            self._published_state = state
            log_event("config_standing", standing=state.value, alarm=self.alarm)

    def _wake_if_due(self) -> None:
        if self._node.next_due_ms() <= now_ms():
            self._wake.set()

    async def _on_pull(self, message: ConfigPull, _peer: ServerPeer) -> ConfigPush:
        answer = self._node.on_pull(message, now_ms())
        self._wake_if_due()
        return answer

    async def _on_push(self, message: ConfigPush, _peer: ServerPeer) -> Acknowledgement:
        self._node.on_push(message, -inf, now_ms())
        self._publish_changes()
        return Acknowledgement()

    async def _on_submit(self, message: SubmitPatch, _peer: ServerPeer) -> SubmitPatchReply:
        writer = PatchWriter(message.request, self._node.replica, self._unix_clock())
        step = await self._write(writer)
        if not isinstance(step, Accepted):
            return SubmitPatchReply(step.code.value, step.version, list(step.problems))
        self._copied = trio.Event()
        # A read in progress may still return the previous version.
        self._node.replica.record_peer_version(self._node.version, now_ms())
        self._publish_changes()
        with trio.move_on_after(_MAX_COPY_WAIT_MS / 1000):
            await self._copied.wait()
        return SubmitPatchReply(ResultCode.OK.value, step.version)

    async def _on_republish(self, message: RepublishConfig, _peer: ServerPeer) -> SubmitPatchReply:
        requested_at_ms = now_ms()
        code = ResultCode.KV_UNAVAILABLE
        found = await self._kv.get(self._key)
        if isinstance(found, Ok):
            entry = found.ok_value
            value, revision = (entry.value, entry.mod_revision) if entry else (None, 0)
            code = await self._republish(plan_republish(self._node.replica, value, revision))
        if code is ResultCode.OK:
            self._node.replica.alarm = None
            self._node.replica.confirm(requested_at_ms)
        version = self._node.version
        log_event("config_republished", actor=message.actor, version=version, code=code.name)
        return SubmitPatchReply(code.value, version)

    async def _republish(self, step: Put | Accepted | Refusal) -> ResultCode:
        if isinstance(step, Refusal):
            return step.code
        if isinstance(step, Accepted):
            return ResultCode.OK
        match await self._kv.put_if(self._key, step.value, step.expected_revision):
            case Ok(revision):
                self._node.replica.kv_revision = revision
                return ResultCode.OK
            case Err(fault):
                return fault.code

    async def _write(self, writer: PatchWriter) -> Accepted | Refusal:
        """Carry out the writer's steps until the outcome of the patch is known."""
        deadline_ms = now_ms() + _MAX_RESOLVE_MS
        pause_ms = _FIRST_PAUSE_MS
        step: WriterStep | None = Read()
        while not isinstance(step, Accepted | Refusal):
            if step is None:
                if not writer.uncertain or now_ms() >= deadline_ms:
                    return writer.give_up()
                await trio.sleep(pause_ms / 1000)
                pause_ms *= 2
                step = Read()
            step = await self._write_step(writer, step)
        return step

    async def _write_step(self, writer: PatchWriter, step: Read | Put) -> WriterStep | None:
        requested_at_ms = now_ms()
        if isinstance(step, Put):
            outcome = await self._kv.put_if(self._key, step.value, step.expected_revision)
            return writer.on_put(outcome, requested_at_ms)
        match await self._kv.get(self._key):
            case Ok(None):
                return writer.on_read(None, 0, requested_at_ms)
            case Ok(entry):
                return writer.on_read(entry.value, entry.mod_revision, requested_at_ms)
            case Err(_):
                return None
