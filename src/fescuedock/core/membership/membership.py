"""Membership of one VM: processes datagrams, the VM list and time; returns what to send."""

from collections.abc import Sequence
from random import Random

import msgspec

from fescuedock.address import Address
from fescuedock.core.membership.actions import Action, PeerVersion
from fescuedock.core.membership.anti_entropy import TableSync
from fescuedock.core.membership.composer import Composer
from fescuedock.core.membership.detection import FailureDetector
from fescuedock.core.membership.freshness import Freshness, ReplayWindows
from fescuedock.core.membership.gossip import GossipQueue
from fescuedock.core.membership.health import LocalHealth
from fescuedock.core.membership.listing import Candidate, VmListing
from fescuedock.core.membership.suspicion import enough_evidence
from fescuedock.core.membership.table import Member, MemberTable
from fescuedock.core.membership.view import vm_records
from fescuedock.schema.membership import (
    Gossip,
    MemberState,
    Probe,
    ProbeAck,
    ProbeReport,
    ProbeRequest,
    SyncReply,
    SyncRequest,
    VmProfile,
    VmUpdate,
)
from fescuedock.schema.settings import AgentSettings
from fescuedock.schema.view import VmRecord, VmState

__all__ = ["Membership", "is_membership_message"]

_MESSAGES = (Probe, ProbeAck, ProbeRequest, ProbeReport, Gossip, SyncRequest, SyncReply)
_MAX_INCARNATION = 2**53 - 1
_TICKS_PER_INTERVAL = 20
_MIN_TICK_MS = 5.0
_MAX_TICK_MS = 50.0
# Interval between gossip rounds, as a share of the probe interval.
_GOSSIP_SHARE = 0.25
_GOSSIP_FANOUT = 2
_ANNOUNCE_FANOUT = 6
# Profile fields whose changes may be announced late, so that a fleet-wide change does not make all
# VMs announce at once.
_DEFERRABLE_FIELDS = ("entry_load", "config_version")
_MAX_DEFERRAL_MS_PER_VM = 300.0
# How long the record of a gone member is retained.
_TOMBSTONE_RETENTION_MS = 600000.0


def is_membership_message(message: msgspec.Struct) -> bool:
    """Whether a decoded message is one that ``Membership.receive`` handles."""
    return isinstance(message, _MESSAGES)


class Membership:
    """The membership state machine of one VM.

    Call ``tick`` at the time that ``schedule`` returns, or simply every ``tick_ms``, and
    ``receive`` for each datagram that the codec accepted; carry out the actions they return.
    ``boot`` must increase with each start of the process, as Unix time in milliseconds does.
    ``revision`` changes whenever ``records`` may.
    """

    def __init__(
        self,
        settings: AgentSettings,
        vm_id: str,
        profile: VmProfile,
        boot: int,
        rng: Random,
        now_ms: float,
        *,
        health_aware: bool = True,
    ) -> None:
        interval_ms = settings.probe_interval_ms
        self.vm_id = vm_id
        self.tick_ms = min(max(interval_ms / _TICKS_PER_INTERVAL, _MIN_TICK_MS), _MAX_TICK_MS)
        self._rng = rng
        self._health_aware = health_aware
        self._table = MemberTable()
        self._table.apply(VmUpdate(vm_id, boot, MemberState.ALIVE, [], profile), now_ms)
        self._listing = VmListing()
        self._listing_revision = 0
        self._queue = GossipQueue()
        self._queue.add(vm_id)
        self._windows = ReplayWindows()
        self._health = LocalHealth(interval_ms, health_aware)
        self._composer = Composer(vm_id, boot, self._table, self._queue)
        self._detector = FailureDetector(
            settings,
            vm_id,
            self._table,
            self._listing,
            self._queue,
            self._windows,
            self._composer,
            self._health,
            rng,
            now_ms,
        )
        self._sync = TableSync(vm_id, self._table, self._windows, self._composer, rng, now_ms)
        self._records: list[VmRecord] = []
        self._records_revision = -1
        self._profile = profile
        self._profile_due_ms = float("inf")
        self._leave_requested = False
        self._gossip_ms = _GOSSIP_SHARE * interval_ms
        self._gossip_due_ms = now_ms
        self._prune_due_ms = now_ms + _TOMBSTONE_RETENTION_MS
        self._expected_wake_ms = now_ms + self.tick_ms

    # --- state -------------------------------------------------------------------------------

    @property
    def revision(self) -> int:
        return self._table.revision + self._listing_revision

    @property
    def list_read_at_ms(self) -> float:
        """Time of the last read of the VM list; minus infinity before the first."""
        return self._listing.read_at_ms

    @property
    def health_score(self) -> int:
        """From 0, when this VM trusts its own timeouts, to 8, when it does not."""
        return self._health.score

    def records(self, *, with_gone: bool = False) -> list[VmRecord]:
        """Return the known VMs, including this one."""
        if self._records_revision != self.revision:
            self._records_revision = self.revision
            self._records = vm_records(self._table, self._listing)
        if with_gone:
            return self._records
        return [record for record in self._records if record.state is not VmState.GONE]

    # --- inputs ------------------------------------------------------------------------------

    def set_profile(self, profile: VmProfile, now_ms: float) -> None:
        """Change this VM's profile; changes of load and version may be announced later."""
        self._composer.config_version = profile.config_version
        if profile == self._profile:
            return
        without_deferrable = msgspec.structs.replace(
            profile, **{name: getattr(self._profile, name) for name in _DEFERRABLE_FIELDS}
        )
        urgent = without_deferrable != self._profile
        self._profile = profile
        if urgent:
            self._profile_due_ms = now_ms
        elif self._profile_due_ms == float("inf"):
            delay_ms = _MAX_DEFERRAL_MS_PER_VM * self._table.present_count
            self._profile_due_ms = now_ms + self._rng.uniform(0, delay_ms)

    def replace_list(self, candidates: Sequence[Candidate], now_ms: float) -> None:
        """Apply a VM list that was read now."""
        self._listing_revision += self._listing.replace(candidates, now_ms)
        self._update_own_state(now_ms)

    def record_list_read(self, now_ms: float) -> None:
        """Record that the VM list was read now and has not changed."""
        self._listing.read_at_ms = now_ms

    def leave(self, now_ms: float) -> list[Action]:
        """Announce immediately that this VM accepts no new work."""
        self._leave_requested = True
        self._update_own_state(now_ms)
        return self._announce()

    def finish(self, now_ms: float) -> list[Action]:
        """Announce that this VM is gone; called just before its agent exits."""
        own = self._own_member()
        self._table.set_state(own, MemberState.GONE, now_ms, local_only=False)
        self._table.add_accusers(own, [self.vm_id])
        return self._announce()

    def next_due_ms(self, now_ms: float) -> float:
        """Return when ``tick`` next has something to do; a datagram may make it earlier."""
        due_ms = min(self._profile_due_ms, self._sync.due_ms, self._prune_due_ms)
        due_ms = min(due_ms, self._detector.next_due_ms(now_ms))
        if self._queue:
            due_ms = min(due_ms, self._gossip_due_ms)
        return max(due_ms, now_ms + self.tick_ms)

    def schedule(self, now_ms: float, latest_ms: float) -> float:
        """Return when to call ``tick`` next, at most ``latest_ms``; a later call counts as lag.

        Ticking every ``tick_ms`` instead costs 66 of the 220 wake-ups per second of an idle node.
        """
        self._expected_wake_ms = max(min(self.next_due_ms(now_ms), latest_ms), now_ms)
        return self._expected_wake_ms

    def tick(self, now_ms: float) -> list[Action]:
        """Do what is due: announce the profile, probe, gossip, compare tables and prune."""
        self._observe_clock(now_ms)
        self._expected_wake_ms = now_ms + self.tick_ms
        if now_ms >= self._profile_due_ms:
            self._raise_incarnation(self._own_member().state, now_ms)
        actions = self._detector.tick(now_ms)
        actions += self._gossip(now_ms)
        actions += self._sync.tick(now_ms)
        self._prune(now_ms)
        return actions

    def receive(self, message: msgspec.Struct, source: Address, now_ms: float) -> list[Action]:
        """Handle a decoded datagram; one for another VM, or a replayed one, changes nothing."""
        head = message.head
        if head.receiver != self.vm_id or head.sender == self.vm_id:
            return []
        freshness = self._windows.check(head)
        if freshness is Freshness.REPLAYED:
            return []
        self._observe_clock(now_ms)
        if freshness is Freshness.UNPROVEN and not self._proves(message):
            return self._exchange_proofs(message, source, now_ms)
        actions: list[Action] = [PeerVersion(head.sender, head.config_version)]
        self._clear_local_suspicion(head.sender, now_ms)
        for update in getattr(message, "updates", ()):
            # Unknown members in a table copied from another VM are not spread: others have them.
            copied = isinstance(message, SyncReply) and self._table.get(update.vm_id) is None
            actions += self._apply_update(update, now_ms, spread=not copied)
        actions += self._request_record(head.sender, source, now_ms)
        return actions + self._dispatch(message, source, now_ms)

    # --- datagrams -----------------------------------------------------------------------------

    def _proves(self, message: msgspec.Struct) -> bool:
        if not isinstance(message, ProbeAck) or not self._detector.is_answer_to_probe(message):
            return False
        self._windows.prove(message.head)
        return True

    def _exchange_proofs(
        self, message: msgspec.Struct, source: Address, now_ms: float
    ) -> list[Action]:
        """Make an unproven sender prove its boot, and prove this VM's boot to it."""
        # The acknowledgement goes first: it opens this VM's window at the sender, which drops
        # whatever arrives before it.
        actions = [self._ack(message, source)] if isinstance(message, Probe) else []
        own = [self._own_member().update()]
        return actions + self._detector.probe_contact(message.head.sender, source, own, now_ms)

    def _ack(self, message: Probe, source: Address) -> Action:
        # Includes this VM's record: the sender may lack it, or hold a suspicion that it refutes.
        own = [self._own_member().update()]
        return self._composer.ack(message.head.sender, source, message.nonce, own)

    def _dispatch(self, message: msgspec.Struct, source: Address, now_ms: float) -> list[Action]:
        sender = message.head.sender
        member = self._table.get(sender)
        match message:
            case Probe():
                return [self._ack(message, source)]
            case ProbeAck():
                return self._detector.handle_ack(message)
            case ProbeRequest():
                return self._detector.handle_probe_request(message, now_ms)
            case ProbeReport():
                self._detector.handle_report(message)
            case SyncRequest() if member is not None:
                return self._sync.serve(member, message, now_ms)
            case SyncReply():
                self._sync.record_reply(message, now_ms)
        return []

    def _clear_local_suspicion(self, vm_id: str, now_ms: float) -> None:
        """Drop a suspicion that only this VM holds when the suspect has just sent a datagram."""
        member = self._table.get(vm_id)
        if member is not None and member.local_only:
            self._table.set_state(member, MemberState.ALIVE, now_ms, local_only=False)

    def _request_record(self, vm_id: str, source: Address, now_ms: float) -> list[Action]:
        """Probe a sender that is no member, whose acknowledgement brings its record."""
        member = self._table.get(vm_id)
        if member is not None and not member.gone:
            return []
        first_updates = [self._own_member().update()] if member is None else [member.update()]
        return self._detector.probe_contact(vm_id, source, first_updates, now_ms)

    # --- updates -------------------------------------------------------------------------------

    def _apply_update(self, update: VmUpdate, now_ms: float, *, spread: bool) -> list[Action]:
        if update.vm_id == self.vm_id:
            self._handle_own_update(update, now_ms)
            return []
        gone = update.state is MemberState.GONE
        if gone and not enough_evidence(update.vm_id, update.accusers, self._table):
            # The sender may be cut off itself, so suspect and verify instead of removing.
            update = msgspec.structs.replace(update, state=MemberState.SUSPECT)
        if not self._table.apply(update, now_ms):
            return []
        if spread:
            self._queue.add(update.vm_id)
        member = self._table.get(update.vm_id)
        if member.state is not MemberState.SUSPECT:
            return []
        self._detector.start_suspicion(member, now_ms)
        return self._detector.verify_suspicion(member, now_ms)

    def _handle_own_update(self, update: VmUpdate, now_ms: float) -> None:
        own = self._own_member()
        if own.gone or update.incarnation < own.incarnation:
            return
        accused = update.state in (MemberState.SUSPECT, MemberState.GONE)
        if update.incarnation == own.incarnation and not accused:
            return
        if accused:
            self._health.record_accusation()
        self._raise_incarnation(own.state, now_ms, above=update.incarnation)

    def _raise_incarnation(self, state: MemberState, now_ms: float, above: int = 0) -> None:
        """Set a higher incarnation with the current profile, and spread it."""
        incarnation = min(max(self._own_member().incarnation, above) + 1, _MAX_INCARNATION)
        update = VmUpdate(self.vm_id, incarnation, state, [], self._profile)
        self._table.apply(update, now_ms)
        self._queue.add(self.vm_id)
        self._profile_due_ms = float("inf")

    def _update_own_state(self, now_ms: float) -> None:
        leaving = self._leave_requested or self._listing.lists_as_leaving(self.vm_id)
        wanted = MemberState.LEAVING if leaving else MemberState.ALIVE
        if not self._own_member().gone and self._own_member().state is not wanted:
            self._raise_incarnation(wanted, now_ms)

    def _announce(self) -> list[Action]:
        """Send this VM's record to several members immediately; they spread it."""
        others = self._other_members()
        chosen = self._rng.sample(others, min(_ANNOUNCE_FANOUT, len(others)))
        first_updates = [self._own_member().update()]
        return [self._composer.gossip(member, first_updates) for member in chosen]

    def _gossip(self, now_ms: float) -> list[Action]:
        if not self._queue or now_ms < self._gossip_due_ms:
            return []
        self._gossip_due_ms = now_ms + self._gossip_ms
        others = self._other_members()
        chosen = self._rng.sample(others, min(_GOSSIP_FANOUT, len(others)))
        sends = [self._composer.gossip(member) for member in chosen]
        return [send for send in sends if send is not None]

    # --- maintenance ---------------------------------------------------------------------------

    def _observe_clock(self, now_ms: float) -> None:
        """Account for lag if the event loop woke later than scheduled."""
        lag_ms = now_ms - self._expected_wake_ms
        if lag_ms <= 0 or not self._health_aware:
            return
        self._expected_wake_ms = now_ms + self.tick_ms
        self._detector.resume(lag_ms, self._health.record_lag(lag_ms))

    def _prune(self, now_ms: float) -> None:
        if now_ms < self._prune_due_ms:
            return
        self._prune_due_ms = now_ms + _TOMBSTONE_RETENTION_MS / 10
        old_ms = now_ms - _TOMBSTONE_RETENTION_MS
        for member in list(self._table):
            unlisted = self._listing.get(member.vm_id) is None
            if member.gone and unlisted and member.changed_at_ms < old_ms:
                self._table.forget(member.vm_id)
                self._windows.forget(member.vm_id)
                self._queue.discard(member.vm_id)

    def _own_member(self) -> Member:
        return self._table.get(self.vm_id)

    def _other_members(self) -> list[Member]:
        return [member for member in self._table.present() if member.vm_id != self.vm_id]
