"""Failure detector: probes members and removes those that enough others cannot reach either."""

from collections.abc import Iterable, Sequence
from random import Random

from fescuedock.address import Address
from fescuedock.core.membership.actions import Action
from fescuedock.core.membership.composer import Composer, address_of
from fescuedock.core.membership.freshness import ReplayWindows
from fescuedock.core.membership.gossip import GossipQueue
from fescuedock.core.membership.health import LocalHealth
from fescuedock.core.membership.listing import VmListing
from fescuedock.core.membership.probing import (
    PendingProbe,
    ProbePurpose,
    ProbeRotation,
    Probing,
    choose_helpers,
)
from fescuedock.core.membership.suspicion import (
    Suspicions,
    enough_evidence,
    max_weak_removals,
    suspicion_ms,
)
from fescuedock.core.membership.table import Member, MemberTable
from fescuedock.core.rendezvous import rank_names
from fescuedock.schema.membership import (
    MemberState,
    ProbeAck,
    ProbeReport,
    ProbeRequest,
    VmUpdate,
)
from fescuedock.schema.settings import AgentSettings

__all__ = ["FailureDetector"]

# As shares of the probe interval: when helpers are requested, and how long a helper waits.
_HELP_AFTER_SHARE = 0.4
_HELPER_WAIT_SHARE = 0.4
# Members that probe a suspect themselves when the suspicion has too little evidence.
_VERIFIERS = 3
_MAX_PENDING_PROBES = 32
_BOOTSTRAP_PROBES = 3
# Consecutive probes without an answer from target or helpers before this VM suspects on its own.
_MIN_SILENT_PROBES = 3
_MAX_LIST_AGE_MS = 30000
# Interval at which open suspicions are checked, a twentieth of the shortest one: evidence may
# arrive at any time.
_SUSPICION_POLL_MS = 50.0


class FailureDetector:
    """Probes one member and one candidate of the VM list per interval, at any size of the fleet."""

    def __init__(
        self,
        settings: AgentSettings,
        vm_id: str,
        table: MemberTable,
        listing: VmListing,
        queue: GossipQueue,
        windows: ReplayWindows,
        composer: Composer,
        health: LocalHealth,
        rng: Random,
        now_ms: float,
    ) -> None:
        self._settings = settings
        self._vm_id = vm_id
        self._table = table
        self._listing = listing
        self._queue = queue
        self._windows = windows
        self._composer = composer
        self._health = health
        self._rng = rng
        self._probing = Probing(rng)
        self._members = ProbeRotation(rng)
        self._candidates = ProbeRotation(rng)
        self._suspicions = Suspicions()
        self._silent_probes: dict[str, int] = {}
        # A random start keeps the VMs of a fleet from probing at the same moments.
        self._probe_due_ms = now_ms + rng.uniform(0, settings.probe_interval_ms)
        self._bootstrap_due_ms = now_ms

    # --- time -------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[Action]:
        """Do what is due: judge late probes, request helpers, probe, and end suspicions."""
        actions: list[Action] = []
        for probe in self._probing.pop_due(now_ms):
            actions += self._handle_unanswered(probe, now_ms)
        for probe in self._probing.needing_helpers(now_ms):
            actions += self._request_helpers(probe)
        if now_ms >= self._probe_due_ms:
            self._probe_due_ms = now_ms + self._settings.probe_interval_ms
            actions += self._probe_next(now_ms)
        if now_ms >= self._bootstrap_due_ms and self._table.present_count == 1:
            self._bootstrap_due_ms = now_ms + self._settings.probe_interval_ms / 5
            for _ in range(_BOOTSTRAP_PROBES):
                actions += self._probe_candidate(now_ms)
        self._end_suspicions(now_ms)
        return actions

    def next_due_ms(self, now_ms: float) -> float:
        """Return the time at which ``tick`` next has something to do."""
        due_ms = min(self._probe_due_ms, self._probing.next_due_ms())
        if self._suspicions:
            due_ms = min(due_ms, now_ms + _SUSPICION_POLL_MS)
        if self._table.present_count == 1:
            due_ms = min(due_ms, self._bootstrap_due_ms)
        return due_ms

    def resume(self, lag_ms: float, paused: bool) -> None:
        """Extend deadlines by the time in which this VM could not receive."""
        self._suspicions.postpone(lag_ms)
        if paused:
            self._probing.clear()

    # --- probes -----------------------------------------------------------------------------

    def probe_member(self, member: Member, now_ms: float) -> list[Action]:
        """Probe a member now."""
        if self._probing.targets(member.vm_id, ProbePurpose.MEMBER):
            return []
        interval_ms = self._settings.probe_interval_ms * self._health.multiplier
        probe = self._probing.start(
            member.vm_id,
            ProbePurpose.MEMBER,
            now_ms + _HELP_AFTER_SHARE * interval_ms,
            now_ms + interval_ms,
        )
        return [self._probe(member, probe)]

    def probe_contact(
        self, vm_id: str, address: Address, first_updates: Sequence[VmUpdate], now_ms: float
    ) -> list[Action]:
        """Probe a VM that is no member or has not proved its boot.

        A missing answer is no evidence against the VM.
        """
        if (
            self._probing.targets(vm_id, ProbePurpose.CONTACT)
            or len(self._probing) >= _MAX_PENDING_PROBES
        ):
            return []
        due_ms = now_ms + self._settings.probe_interval_ms
        probe = self._probing.start(vm_id, ProbePurpose.CONTACT, due_ms, due_ms)
        return [self._composer.probe(vm_id, address, probe.nonce, first_updates)]

    def handle_probe_request(self, message: ProbeRequest, now_ms: float) -> list[Action]:
        """Probe a VM on behalf of the sender of ``message``, which could not reach it."""
        target = self._table.get(message.target)
        if target is None or target.gone or len(self._probing) >= _MAX_PENDING_PROBES:
            return []
        due_ms = now_ms + _HELPER_WAIT_SHARE * self._settings.probe_interval_ms
        probe = self._probing.start(target.vm_id, ProbePurpose.HELP, due_ms, due_ms)
        probe.requester = message.head.sender
        probe.requester_nonce = message.nonce
        return [self._probe(target, probe)]

    def is_answer_to_probe(self, message: ProbeAck) -> bool:
        """Whether ``message`` answers a pending probe to its sender."""
        probe = self._probing.get(message.nonce)
        return probe is not None and probe.target == message.head.sender

    def handle_ack(self, message: ProbeAck) -> list[Action]:
        """Finish the probe that ``message`` answers, if any."""
        if not self.is_answer_to_probe(message):
            return []
        probe = self._probing.get(message.nonce)
        self._probing.finish(probe.nonce)
        if probe.purpose is ProbePurpose.HELP:
            return self._report(probe, reached=True)
        if probe.purpose is ProbePurpose.MEMBER:
            self._health.record_answered()
            self._silent_probes.pop(probe.target, None)
        return []

    def handle_report(self, message: ProbeReport) -> None:
        """Apply a helper's report on a probe."""
        probe = self._probing.get(message.nonce)
        if probe is None or not probe.helpers_requested:
            return
        if message.reached:
            self._probing.finish(probe.nonce)
            self._silent_probes.pop(probe.target, None)
        elif message.head.sender not in probe.witnesses:
            probe.witnesses.append(message.head.sender)

    def _probe_next(self, now_ms: float) -> list[Action]:
        others = [item.vm_id for item in self._table.present() if item.vm_id != self._vm_id]
        name = self._members.next(others)
        actions = [] if name is None else self.probe_member(self._table.get(name), now_ms)
        return actions + self._probe_candidate(now_ms)

    def _probe_candidate(self, now_ms: float) -> list[Action]:
        """Probe one VM that the VM list has but that is not among the members."""
        absent = [item for item in self._listing.all() if self._is_absent(item.vm_id)]
        name = self._candidates.next(item.vm_id for item in absent)
        if name is None:
            return []
        own = self._table.get(self._vm_id)
        known = self._table.get(name)
        first_updates = [own.update()] if known is None else [known.update(), own.update()]
        return self.probe_contact(name, self._listing.get(name).address, first_updates, now_ms)

    def _is_absent(self, vm_id: str) -> bool:
        member = self._table.get(vm_id)
        return member is None or member.gone

    def _probe(self, member: Member, probe: PendingProbe) -> Action:
        # An accused VM has to know about the accusation to refute it.
        first_updates = [] if member.state is MemberState.ALIVE else [member.update()]
        return self._composer.probe(member.vm_id, address_of(member), probe.nonce, first_updates)

    def _request_helpers(self, probe: PendingProbe) -> list[Action]:
        target = self._table.get(probe.target)
        if target is None:
            return []
        others = [item for item in self._table.present() if item.vm_id != self._vm_id]
        # A helper to which this VM is unproven would first request proof and answer too late.
        proven = [item for item in others if self._windows.has_proved(item.vm_id)]
        own_domain = self._table.get(self._vm_id).failure_domain
        helpers = choose_helpers(target, own_domain, proven or others, self._rng)
        return [self._composer.request(helper, probe.nonce, probe.target) for helper in helpers]

    # --- verdicts ---------------------------------------------------------------------------

    def _handle_unanswered(self, probe: PendingProbe, now_ms: float) -> list[Action]:
        if probe.purpose is ProbePurpose.HELP and self._health.may_accuse:
            return self._report(probe, reached=False)
        member = self._table.get(probe.target)
        if probe.purpose is ProbePurpose.MEMBER and member is not None and not member.gone:
            self._evaluate_silence(member, probe.witnesses, now_ms)
        return []

    def _evaluate_silence(self, member: Member, witnesses: Sequence[str], now_ms: float) -> None:
        no_helpers = self._table.present_count <= 2
        if witnesses or no_helpers:
            if self._health.may_accuse:
                self.accuse(member, [self._vm_id, *witnesses], now_ms)
            return
        # Neither the target nor any helper answered: more likely this VM is cut off.
        self._health.record_unanswered()
        self._silent_probes[member.vm_id] = self._silent_probes.get(member.vm_id, 0) + 1
        if self._silent_probes[member.vm_id] >= _MIN_SILENT_PROBES:
            self.accuse(member, [self._vm_id], now_ms)

    def accuse(self, member: Member, accusers: Iterable[str], now_ms: float) -> None:
        """Suspect a member; spread that once there are two accusers or enough evidence."""
        is_new = self._table.add_accusers(member, accusers)
        strong = len(member.accusers) > 1 or enough_evidence(
            member.vm_id, member.accusers, self._table
        )
        if member.state is MemberState.ALIVE:
            self._table.set_state(member, MemberState.SUSPECT, now_ms, local_only=not strong)
        if strong and (is_new or member.local_only):
            member.local_only = False
            self._queue.add(member.vm_id)
        self.start_suspicion(member, now_ms)

    def start_suspicion(self, member: Member, now_ms: float) -> bool:
        """Start the time that a suspected member has to refute; False if already started."""
        duration_ms = suspicion_ms(self._settings, self._table.present_count)
        return self._suspicions.start(member, duration_ms, now_ms)

    def verify_suspicion(self, member: Member, now_ms: float) -> list[Action]:
        """Probe a member suspected on too little evidence if this VM is one of its verifiers."""
        if enough_evidence(member.vm_id, member.accusers, self._table):
            return []
        names = [item.vm_id for item in self._table.present() if item.vm_id != member.vm_id]
        if self._vm_id not in rank_names(member.vm_id, names)[:_VERIFIERS]:
            return []
        return self.probe_member(member, now_ms)

    def _end_suspicions(self, now_ms: float) -> None:
        def has_list_support(vm_id: str) -> bool:
            return self._listing.supports_removal(vm_id, now_ms, _MAX_LIST_AGE_MS)

        strong, weak = self._suspicions.pop_due(self._table, now_ms, has_list_support)
        for member in strong:
            self._table.set_state(member, MemberState.GONE, now_ms, local_only=False)
            self._queue.add(member.vm_id)
        allowed = max_weak_removals(self._table, self._settings.removal_share) if weak else 0
        for member in weak[:allowed]:
            self._table.set_state(member, MemberState.GONE, now_ms, local_only=True)

    def _report(self, probe: PendingProbe, reached: bool) -> list[Action]:
        requester = self._table.get(probe.requester)
        if requester is None or requester.gone:
            return []
        return [self._composer.report(requester, probe.requester_nonce, reached)]
