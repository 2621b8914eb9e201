"""Decides when one agent confirms, pushes and pulls the configuration, without I/O.

The caller executes the actions that ``tick`` and the message methods return, and reports their
outcome to ``on_revision``, ``on_record`` or ``on_push``.
"""

from collections.abc import Callable, Sequence
from math import inf
from random import Random

import msgspec

from fescuedock.core.config.record import (
    BadRecordError,
    decode_record,
    empty_record,
    encode_record,
)
from fescuedock.core.config.replica import AlarmKind, OfferResult, Replica
from fescuedock.core.config.spread import (
    ConfirmationState,
    SpreadLimits,
    confirmation_state,
    live_vms,
    pick_targets,
    watchers_of,
)
from fescuedock.schema.config import ConfigDelta, ConfigPull, ConfigPush
from fescuedock.schema.view import VmRecord

__all__ = ["Action", "ConfigNode", "Pull", "PushTo", "ReadRecord", "ReadRevision"]

# In a push: the sender's version was never confirmed.  In a pull: reports no answer of the service.
_UNKNOWN_AGE = -1


class ReadRevision(msgspec.Struct, frozen=True):
    """Request the revision of the record's key from the key-value service, without its value."""


class ReadRecord(msgspec.Struct, frozen=True):
    """Read the record from the key-value service."""


class Pull(msgspec.Struct, frozen=True):
    """Send ``message`` to ``vm`` and pass its answer to ``on_push``."""

    vm: VmRecord
    message: ConfigPull


class PushTo(msgspec.Struct, frozen=True):
    """Send ``message`` to each of ``vms``."""

    vms: tuple[VmRecord, ...]
    message: ConfigPush


Action = ReadRevision | ReadRecord | Pull | PushTo


class ConfigNode(msgspec.Struct):
    """The state of the configuration on one VM; ``vms`` returns all VMs known to membership."""

    vm_id: str
    failure_domain: str
    confirm_limit_ms: float
    vms: Callable[[], Sequence[VmRecord]]
    random: Random
    limits: SpreadLimits = msgspec.field(default_factory=SpreadLimits)
    replica: Replica = msgspec.field(default_factory=Replica)
    _newest_peer: tuple[int, VmRecord] | None = None
    _pull_due_ms: float = inf
    _confirm_due_ms: float = -inf
    _pushed_version: int = 0
    _confirm_failures: int = 0
    # Latest known time at which the service answered any VM.
    _kv_answered_at_ms: float = -inf
    _notify_due: bool = False

    @property
    def version(self) -> int:
        return self.replica.version

    def confirmation_state(self, now_ms: float) -> ConfirmationState:
        """Return how well the version in force is confirmed."""
        known = self.vms()
        return confirmation_state(
            now_ms - self.replica.confirmed_at_ms,
            self.confirm_limit_ms,
            self.version,
            len(live_vms(known)),
            len(known),
        )

    def kv_away(self, now_ms: float) -> bool:
        """Whether the service answers no VM: this VM reaches most others, and none had an answer.

        Decided after half of the limit.  By then this VM has queried the service itself, and any
        VM that received an answer has notified this one.
        """
        known = self.vms()
        age_ms = now_ms - max(self.replica.confirmed_at_ms, self._kv_answered_at_ms)
        limit_ms = self.confirm_limit_ms / 2
        state = confirmation_state(age_ms, limit_ms, self.version, len(live_vms(known)), len(known))
        return state is ConfirmationState.UNCONFIRMED

    def next_due_ms(self) -> float:
        """Return the latest time for the next call of ``tick``."""
        return -inf if self._notify_due else min(self._pull_due_ms, self._confirm_due_ms)

    def on_peer_version(self, vm: VmRecord, version: int, now_ms: float) -> None:
        """Handle the version in a membership message from ``vm``."""
        self.replica.record_peer_version(version, now_ms)
        if version <= self.version or (self._newest_peer and version < self._newest_peer[0]):
            return
        # The most recent sender is the most likely to answer.
        self._newest_peer = (version, vm)
        # A push is probably in transit; an immediate pull would transfer the bytes twice.
        delay_ms = self.limits.pull_delay_ms * (0.5 + self.random.random())
        self._pull_due_ms = min(self._pull_due_ms, now_ms + delay_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Return the actions that are due now."""
        actions: list[Action] = self.next_pushes(now_ms)
        if now_ms >= self._pull_due_ms:
            actions += self._pull_newest(now_ms)
        if now_ms >= self._confirm_due_ms:
            actions += self._confirm(now_ms)
        if self._notify_due:
            actions += self._notify_kv_answer(now_ms)
        return actions

    def next_pushes(self, now_ms: float) -> list[Action]:
        """Return the pushes for a new version, once per version."""
        if self.version <= self._pushed_version:
            return []
        deltas = self.replica.deltas_after(max(self._pushed_version, self.version - 1))
        self._pushed_version = self.version
        if self._newest_peer and self._newest_peer[0] <= self.version:
            self._newest_peer, self._pull_due_ms = None, inf
        targets = pick_targets(self.vms(), self.vm_id, self.limits.push_targets, self.random)
        if not targets:
            return []
        # Without deltas the push carries only the version, and VMs that lack it pull the record.
        return [PushTo(tuple(targets), self._push(now_ms, deltas))]

    def on_pull(self, message: ConfigPull, now_ms: float) -> ConfigPush:
        """Return the answer to the pull of another VM."""
        if message.answered_age_ms >= 0:
            self._record_kv_answer(now_ms - message.answered_age_ms)
        if message.whole_record:
            return self._push(now_ms, (), full=True)
        if message.have_version >= self.version:
            return self._push(now_ms, ())
        deltas = self.replica.deltas_after(message.have_version)
        return self._push(now_ms, deltas, full=not deltas)

    def on_push(self, message: ConfigPush, requested_at_ms: float, now_ms: float) -> OfferResult:
        """Handle a push, or the answer to a pull that was sent at ``requested_at_ms``.

        The confirmation age is counted from that time; an unsolicited push confirms nothing.
        """
        source = message.vm_id
        for delta in message.deltas:
            self.replica.offer_delta(delta)
        if message.record:
            self._offer_bytes(message.record, source, message.kv_revision)
        # A read in progress may still return the previous version.
        self.replica.record_peer_version(self.version, now_ms)
        if message.version > self.version:
            self._record_peer_version(source, message.version, now_ms)
            return OfferResult.GAP
        if message.version < self.version:
            return OfferResult.KNOWN
        if message.chain_hash != self.replica.record.chain_hash:
            self.replica.raise_alarm(AlarmKind.FORKED, source, message.version)
            return OfferResult.REFUSED
        if message.confirmed_age_ms != _UNKNOWN_AGE:
            self.replica.confirm(requested_at_ms - message.confirmed_age_ms)
            # Watchers answer many such pulls; their domain already knows of the answer.
            self._record_kv_answer(now_ms - message.confirmed_age_ms, notify=False)
        return OfferResult.APPLIED

    def on_pull_failed(self, vm: VmRecord) -> None:
        """Record that ``vm`` did not answer, so that the next pull goes to another VM.

        Other VMs with the version announce it in their next membership message.
        """
        self._confirm_failures += 1
        if self._newest_peer and self._newest_peer[1].vm_id == vm.vm_id:
            self._newest_peer, self._pull_due_ms = None, inf

    def on_revision(self, revision: int | None, requested_at_ms: float) -> list[Action]:
        """Handle the revision of the record's key (0: no such key; None: service unavailable)."""
        if revision is None:
            return self._pull_from_peer()
        self._record_kv_answer(requested_at_ms)
        if revision == self.replica.kv_revision and revision:
            self.replica.confirm(requested_at_ms)
            return []
        return [ReadRecord()]

    def on_record(self, value: bytes | None, revision: int, requested_at_ms: float) -> None:
        """Handle the record's bytes, None when there is no record."""
        try:
            record = empty_record() if value is None else decode_record(value)
        except BadRecordError:
            self.replica.raise_alarm(AlarmKind.CORRUPT, "key-value service", 0)
            return
        self.replica.observe_kv(record, revision, requested_at_ms)

    def _record_peer_version(self, vm_id: str, version: int, now_ms: float) -> None:
        for vm in self.vms():
            if vm.vm_id == vm_id:
                self.on_peer_version(vm, version, now_ms)

    def _offer_bytes(self, data: bytes, source: str, kv_revision: int) -> None:
        try:
            self.replica.offer_record(decode_record(data), source, kv_revision)
        except BadRecordError:
            self.replica.raise_alarm(AlarmKind.CORRUPT, source, 0)

    def _push(
        self, now_ms: float, deltas: Sequence[ConfigDelta], *, full: bool = False
    ) -> ConfigPush:
        age_ms = now_ms - self.replica.confirmed_at_ms
        return ConfigPush(
            vm_id=self.vm_id,
            version=self.version,
            chain_hash=self.replica.record.chain_hash,
            confirmed_age_ms=_UNKNOWN_AGE if age_ms == inf else int(age_ms) + 1,
            kv_revision=self.replica.kv_revision,
            deltas=list(deltas),
            record=encode_record(self.replica.record) if full else b"",
        )

    def _pull_newest(self, now_ms: float) -> list[Action]:
        self._pull_due_ms = inf
        if self._newest_peer is None:
            return []
        # Retried after a timeout in case the answer is lost.
        self._pull_due_ms = now_ms + self.limits.pull_timeout_ms
        return [Pull(self._newest_peer[1], self._pull_message())]

    def _confirm(self, now_ms: float) -> list[Action]:
        """Return the actions that confirm the version in force.

        Watchers query the key-value service, other VMs a watcher of their failure domain.  A VM
        without a confirmation for half of the limit queries the service as well.
        """
        watchers = watchers_of(self.vms(), self.failure_domain, self.limits.watchers_per_domain)
        jitter = 0.75 + 0.5 * self.random.random()
        if self.vm_id in watchers or not watchers:
            self._confirm_due_ms = now_ms + self.limits.watch_interval_ms * jitter
            return [ReadRevision()]
        self._confirm_due_ms = now_ms + self.confirm_limit_ms / 4 * jitter
        by_id = {vm.vm_id: vm for vm in self.vms()}
        chosen = watchers[self._confirm_failures % len(watchers)]
        actions: list[Action] = [Pull(by_id[chosen], self._pull_message())]
        if now_ms - self.replica.confirmed_at_ms > self.confirm_limit_ms / 2 and self.version:
            actions.append(ReadRevision())
        return actions

    def _pull_from_peer(self) -> list[Action]:
        """Return a pull from a random peer, which may have a newer version or confirmation."""
        targets = pick_targets(self.vms(), self.vm_id, 1, self.random)
        return [Pull(vm, self._pull_message()) for vm in targets]

    def _record_kv_answer(self, at_ms: float, *, notify: bool = True) -> None:
        """Record that the service answered some VM; notify others if it is new information."""
        if notify and at_ms - self._kv_answered_at_ms >= self.confirm_limit_ms / 4:
            self._notify_due = True
        self._kv_answered_at_ms = max(self._kv_answered_at_ms, at_ms)

    def _notify_kv_answer(self, now_ms: float) -> list[Action]:
        """Notify a few VMs that the service answers; those that did not know forward it."""
        self._notify_due = False
        message = self._pull_message(int(now_ms - self._kv_answered_at_ms))
        targets = pick_targets(self.vms(), self.vm_id, self.limits.push_targets, self.random)
        return [Pull(vm, message) for vm in targets]

    def _pull_message(self, answered_age_ms: int = _UNKNOWN_AGE) -> ConfigPull:
        chain_hash = self.replica.record.chain_hash
        return ConfigPull(self.version, chain_hash, answered_age_ms=answered_age_ms)
