"""Gets permits for an entry or a batch runner from the agents that own upstreams.

async with open_permit_client(settings, codec, view, holder_id) as permits:
    match await permits.request(PermitAsk(...), timeout_ms=20):
        case Ok(grant): ...      # run the attempt, watch grant.revoked, then grant.end(...)
        case Err(fault): ...     # refused (see retry_after_ms), or a silent owner
"""

import random
from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.agent.peers import PeerChannels
from fescuedock.clock import now_ms
from fescuedock.core.permits.holder import GrantRegistry, HeldGrant, LocalLimit, lapsed_by_ms
from fescuedock.core.permits.queued import is_overdue
from fescuedock.core.recent_runs import AbandonedRuns
from fescuedock.core.route_learning import UnansweredRequests
from fescuedock.errors import run_contained
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ChannelClient, PushHandler
from fescuedock.net.codec import Codec
from fescuedock.schema.crashes import BrokenRun, WholeRun
from fescuedock.schema.permits import (
    AttemptOutcome,
    BatchStage,
    EndedPermit,
    LoadSnapshot,
    PermitAsk,
    PermitRenew,
    PermitReply,
    PermitsEnded,
    PermitsRevoked,
    WorkClass,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.settings import Settings

if TYPE_CHECKING:
    from fescuedock.agent.link import FleetView

__all__ = ["Grant", "PermitClient", "TimedLoad", "open_permit_client"]

_DEFAULT_VALID_MS = 2000
# Outcomes after which the upstream may have ended too.
_BROKEN_OUTCOMES = (AttemptOutcome.TRUNCATED, AttemptOutcome.RESPONSE_TIMEOUT)
# Outcomes caused by the holder itself, after which the upstream may still process the attempt.
_ABANDONED_OUTCOMES = (AttemptOutcome.CANCELLED, AttemptOutcome.REVOKED)
# Longest time to hold the permit of an isolated run after an answer that ended with its connection.
_MAX_ISOLATED_HOLD_S = 1.5
# Pause per VM of the fleet: over the total, the first VM that can confirm a part as sound does so
# before the others.
_CONFIRM_PAUSE_PER_VM_S = 0.002
# Added to the time for which a request may be queued when the owner is in the same process.
_LOCAL_OWNER_TIMEOUT_MS = 2000
# Three renewals per validity, so that two may be lost.
_RENEWALS_PER_VALIDITY = 3


class TimedLoad(msgspec.Struct, frozen=True):
    """A load snapshot and its time of arrival by ``clock.now_ms``."""

    load: LoadSnapshot
    at_ms: float


class Grant(msgspec.Struct, eq=False):
    """A permit to run one attempt.  ``end`` must be called once, whatever the outcome.

    When ``revoked`` is set, the holder must cancel the attempt at once and end the permit.
    """

    _held: HeldGrant
    _end: Callable[[EndedPermit], None]
    revoked: trio.Event = msgspec.field(default_factory=trio.Event)

    @property
    def permit_id(self) -> str:
        return self._held.request.attempt_id

    @property
    def upstream_id(self) -> str:
        return self._held.request.upstream_id

    @property
    def work_class(self) -> WorkClass:
        return self._held.request.work_class

    @property
    def member(self) -> str:
        """The member from whose share it was granted."""
        return self._held.request.member

    @property
    def is_overdue(self) -> bool:
        """Whether it was requested for overdue batch work."""
        return is_overdue(self._held.request.stage, self._held.request.slack_ms)

    @property
    def is_owed(self) -> bool:
        """Whether it is for batch items, which are run again however often upstreams crashed."""
        return self.work_class is WorkClass.BATCH

    @property
    def work_id(self) -> str:
        """The identity of the unit of work that runs under it; empty while none is assigned."""
        return self._held.request.work_id

    @property
    def parts(self) -> tuple[str, ...]:
        """Identities of the parts that the work's prompt may share with other work."""
        return self._held.parts

    @property
    def isolated(self) -> bool:
        """Whether its owner lets nothing else run at the upstream at the same time."""
        return self._held.request.alone

    @property
    def sendable_until_ms(self) -> float:
        """The time by ``clock.now_ms`` from which no attempt may begin under it.

        Infinite for a local permit.
        """
        return self._held.sendable_until_ms

    @property
    def local(self) -> bool:
        """Whether it was granted without an owner (see ``PermitClient.request_local``)."""
        return self._held.local

    def count_tokens(self, count: int = 1) -> None:
        """Count generated tokens for the next renewal; optional, improves the owner's decisions.

        The first token reports the time to first token seconds before the attempt ends.
        """
        if not self._held.generated_tokens:
            self._held.first_token_ms = now_ms() - self._held.granted_ms
        self._held.generated_tokens += count

    def record_sent(self) -> None:
        """Record that the attempt's request is written."""
        self._held.sent = True

    def record_unframed(self) -> None:
        """Record that the attempt's answer has no framing and ends with its connection."""
        self._held.unframed = True

    def record_answered_by(self, upstream_id: str) -> None:
        """Record which incarnation of the upstream answered."""
        self._held.answered_by = upstream_id

    def assign_work(self, work_id: str, parts: tuple[str, ...] = ()) -> None:
        """Assign the work to a permit that was requested before the work was chosen."""
        self._held.request = msgspec.structs.replace(self._held.request, work_id=work_id)
        self._held.parts = parts

    def update_work_state(
        self, stage: BatchStage, slack_ms: float, left_ms: float, barren_runs: int
    ) -> None:
        """Set the urgency and progress of the assigned work, sent with the next renewal.

        ``barren_runs`` is the number of its previous runs without output.
        """
        self._held.request = msgspec.structs.replace(
            self._held.request,
            stage=stage,
            slack_ms=int(slack_ms),
            left_ms=int(left_ms),
            barren_runs=barren_runs,
        )

    def end(self, ended: EndedPermit) -> None:
        """End the permit with the attempt's outcome; further calls do nothing.

        Ends are sent to the owner in batches.
        """
        self._end(ended)


class _LocalPeer(msgspec.Struct, frozen=True):
    """The caller as seen by an owner in the same process."""

    handle_push: PushHandler

    def push(self, message: msgspec.Struct) -> bool:
        self.handle_push(message)
        return True


class PermitClient:
    """Requests permits from owners, renews held ones, and stores the owners' load snapshots."""

    def __init__(
        self,
        settings: Settings,
        view: "FleetView",
        channels: PeerChannels,
        holder_id: str,
        handlers: Mapping[type[msgspec.Struct], CallHandler],
    ) -> None:
        self.holder_id = holder_id
        self.loads: Mapping[str, TimedLoad] = {}
        self.local_limit = LocalLimit(settings.permits.local_limit)
        self._settings = settings.permits
        self._view = view
        self._channels = channels
        self._handlers = handlers
        self._registry = GrantRegistry()
        self._grants: dict[str, Grant] = {}
        self._valid_ms = settings.agent.permit_valid_ms if settings.agent else _DEFAULT_VALID_MS
        self._permit_ended = trio.Event()
        self._own_agent = Address(settings.vm.host, settings.agent.port) if settings.agent else None
        # Reports on runs to send to this VM's agent, in order.
        self._unsent_reports: list[BrokenRun | WholeRun] = []
        self._abandoned_runs = AbandonedRuns()
        self._unanswered = UnansweredRequests()
        self._rng = random.Random(holder_id)
        self._nursery: trio.Nursery | None = None
        # Attempts with a request in progress; True if a revocation arrived before the grant.
        self._pending_requests: dict[str, bool] = {}

    @property
    def no_owner_answers(self) -> bool:
        """Whether no owner has answered this client for seconds; other nodes may be unaffected."""
        return self._unanswered.is_persistent(now_ms())

    async def request(
        self, request: PermitAsk, timeout_ms: float, parts: tuple[str, ...] = ()
    ) -> Result[Grant, Fault]:
        """Request a permit from the owner of ``request.upstream_id``; wait at most ``timeout_ms``.

        ``parts`` are the identities of the parts that the work's prompt may share with other work.

        ``timeout_ms`` should exceed ``request.wait_ms``, the time for which the owner may queue the
        request.  If this process is the owner itself, the wait is longer, since a late answer is
        then no sign of a silent owner.

        ``PEER_UNREACHABLE`` and ``PEER_UNKNOWN`` mean a silent owner: an online attempt may then
        use ``request_local`` or another upstream, batch work waits.  ``NOT_OWNER`` means that the
        views of the two nodes differ temporarily, or that the upstream has gone or is leaving by
        the time of the grant.  Any other fault is the owner's refusal.  The client itself returns a
        permit that is granted too late.
        """
        sent_ms = now_ms()
        answered = False
        self._pending_requests[request.attempt_id] = False
        own = self._own_handler(request.upstream_id)
        if own is not None:
            timeout_ms = max(timeout_ms, request.wait_ms + _LOCAL_OWNER_TIMEOUT_MS)
        try:
            with trio.move_on_after(timeout_ms / 1000):
                if own is not None:
                    reply = Ok(await own(request, _LocalPeer(self.handle_push)))
                else:
                    channel = await self._channel_of(request.upstream_id)
                    if channel is None:
                        answered = True
                        return Err(self._no_owner(request.upstream_id))
                    reply = await channel.call(request, timeout_ms)
                answered = reply.is_ok()
                if answered:
                    self._unanswered.record_answer()
                else:
                    self._unanswered.record_silence(now_ms())
                return reply.and_then(
                    lambda found: self._handle_reply(request, found, sent_ms, parts)
                )
            self._unanswered.record_silence(now_ms())
            return Err(Fault(ResultCode.PEER_UNKNOWN, f"no answer for {request.upstream_id}"))
        finally:
            self._pending_requests.pop(request.attempt_id, None)
            if not answered:
                self._abandon_request(request)

    def request_local(
        self, request: PermitAsk, parts: tuple[str, ...] = ()
    ) -> Result[Grant, Fault]:
        """Grant one online attempt without its owner, under the conservative local limit.

        Return ``NO_CAPACITY`` when the local limit is used up, and for batch work, which must wait;
        ``NOT_OWNER`` when the upstream has gone or is leaving.
        """
        if request.work_class is not WorkClass.ONLINE or not self.local_limit.try_acquire(
            request.upstream_id
        ):
            message = f"no local capacity at {request.upstream_id}"
            return Err(Fault(ResultCode.NO_CAPACITY, message, self._settings.adjust_ms))
        return self._grant(HeldGrant(request, now_ms(), float("inf"), local=True, parts=parts))

    def return_unused(self, grant: Grant) -> None:
        """Return a permit under which nothing was sent."""
        outcome = AttemptOutcome.CANCELLED
        work_class = grant.work_class
        grant.end(EndedPermit(grant.permit_id, grant.upstream_id, outcome, work_class))

    async def run(self) -> None:
        """Renew permits, report ended ones and revoke lapsed ones; never returns."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._renew_forever)
            nursery.start_soon(self._report_ends_forever)
            nursery.start_soon(self._report_abandoned_runs)

    def handle_push(self, message: msgspec.Struct) -> None:
        """Handle a message that an owner pushed."""
        if isinstance(message, PermitsRevoked):
            self._revoke(message.permit_ids)

    def _own_handler(self, upstream_id: str) -> CallHandler | None:
        """Return the handler of permit requests if the upstream's owner is in this process.

        Over a channel, a busy process reads even its own answers late and would consider itself
        silent.
        """
        owner = self._view.owner_of(upstream_id)
        if owner is None or Address(owner.host, owner.agent_port) != self._own_agent:
            return None
        return self._handlers.get(PermitAsk)

    async def _channel_of(self, upstream_id: str) -> ChannelClient | None:
        owner = self._view.owner_of(upstream_id)
        if owner is None:
            return None
        return await self._channels.get(Address(owner.host, owner.agent_port))

    def _no_owner(self, upstream_id: str) -> Fault:
        # An upstream that has gone since it was chosen is no sign of a silent owner.
        known = upstream_id in self._view.upstreams
        if known:
            self._unanswered.record_silence(now_ms())
        code = ResultCode.PEER_UNREACHABLE if known else ResultCode.NOT_OWNER
        return Fault(code, f"no owner is known for {upstream_id!r}")

    def _handle_reply(
        self, request: PermitAsk, reply: PermitReply, sent_ms: float, parts: tuple[str, ...]
    ) -> Result[Grant, Fault]:
        code = ResultCode(reply.code)
        if code is not ResultCode.NOT_OWNER:
            self._record_loads([reply.load])
        if code is ResultCode.OK:
            renew_at_ms = sent_ms + reply.valid_ms / _RENEWALS_PER_VALIDITY
            held = HeldGrant(request, now_ms(), sent_ms + reply.valid_ms, renew_at_ms)
            held.parts = parts
            held.lapsed_by_ms = lapsed_by_ms(sent_ms, now_ms(), request.wait_ms, reply.valid_ms)
            return self._grant(held)
        return Err(Fault(code, f"refused at {request.upstream_id}", reply.retry_after_ms))

    def _grant(self, held: HeldGrant) -> Result[Grant, Fault]:
        """Return a grant, unless by now the upstream accepts no more work.

        A request may wait at its owner for a second, and the owner may know less than this node
        when it grants.  All permits pass through this check, so that none is used on the owner's
        view alone.
        """
        grant = self._register(held)
        fault = self._refusal_by_view(grant.upstream_id)
        if fault is None:
            return Ok(grant)
        self.return_unused(grant)
        return Err(fault)

    def _refusal_by_view(self, upstream_id: str) -> Fault | None:
        """Return why, by this node's view, no attempt may begin at an upstream; None if it may."""
        upstream = self._view.upstreams.get(upstream_id)
        if upstream is None:
            return Fault(ResultCode.NOT_OWNER, f"{upstream_id!r} has gone")
        if upstream.leaving:
            # Not a lack of capacity: the requester must choose another upstream at once.
            return Fault(ResultCode.NOT_OWNER, f"{upstream_id!r} is leaving")
        return None

    def _register(self, held: HeldGrant) -> Grant:
        self._registry.add(held)
        grant = Grant(held, self._end)
        self._grants[grant.permit_id] = grant
        if self._pending_requests.get(grant.permit_id):
            grant.revoked.set()
        return grant

    def _end(self, ended: EndedPermit) -> None:
        held = self._registry.get(ended.permit_id)
        if held is None or self._grants.pop(ended.permit_id, None) is None:
            return
        ran_at = held.answered_by if held.answered_by in self._view.upstreams else ended.upstream_id
        self._record_run(held, ended, ran_at)
        if held.request.alone and held.unframed and self._nursery is not None:
            self._nursery.start_soon(self._return_when_settled, held, ended, ran_at)
        else:
            self._return(held, ended)

    def _return(self, held: HeldGrant, ended: EndedPermit) -> None:
        self._registry.end(ended)
        if held.local:
            self.local_limit.release(ended.upstream_id)
        self._permit_ended.set()

    async def _return_when_settled(
        self, held: HeldGrant, ended: EndedPermit, upstream_id: str
    ) -> None:
        """Return the permit of an isolated run once its work is no longer under suspicion.

        Until then, for at most ``_MAX_ISOLATED_HOLD_S``, this keeps other work off an upstream that
        may be about to end because of the run.
        """
        self._permit_ended.set()
        work_id = held.request.work_id
        with trio.move_on_after(_MAX_ISOLATED_HOLD_S):
            while any(map(self._view.quarantine.is_suspected, (work_id, *held.parts))):
                await self._view.wait_quarantine_changed()
        self._unsent_reports.append(
            BrokenRun(upstream_id, work_id, given_up=True, looks_whole=True)
        )
        self._return(held, ended)

    def _record_run(self, held: HeldGrant, ended: EndedPermit, upstream_id: str) -> None:
        """Record what a run's end implies for its work; every run ends here, so none is missed."""
        work_id = held.request.work_id
        begun = ended.generated_tokens > 0
        unknown = self._view.sound_parts.unknown_among(held.parts, now_ms())
        run = BrokenRun(
            upstream_id,
            work_id,
            alone=held.request.alone,
            begun=begun,
            parts=list(unknown),
            owed=held.request.work_class is WorkClass.BATCH,
        )
        if ended.outcome in (*_BROKEN_OUTCOMES, AttemptOutcome.CONNECT_REFUSED):
            # A run abandoned shortly before may have ended the upstream, and only this node can
            # report it.
            self._unsent_reports += self._abandoned_runs.pop_suspects(upstream_id, now_ms())
        if ended.outcome is AttemptOutcome.CONNECT_REFUSED:
            self._report_refused_connect(upstream_id)
        if not work_id:
            return
        if ended.outcome in _ABANDONED_OUTCOMES and held.sent:
            run = msgspec.structs.replace(run, given_up=True)
            self._abandoned_runs.record(run, now_ms())
        elif ended.outcome in _BROKEN_OUTCOMES:
            self._unsent_reports.append(run)
        elif ended.outcome is AttemptOutcome.COMPLETED:
            self._record_completed_run(held, run)

    def _record_completed_run(self, held: HeldGrant, run: BrokenRun) -> None:
        """Record that a run completed, or looks complete although its upstream may have ended."""
        quarantine = self._view.quarantine
        traits = (run.work_id, *held.parts)
        suspected = [trait for trait in traits if quarantine.is_suspected(trait)]
        if held.unframed:
            if run.parts or suspected:
                self._unsent_reports.append(msgspec.structs.replace(run, looks_whole=True))
            return
        self._view.sound_parts.record(held.parts, now_ms())
        self._unsent_reports += [WholeRun(trait) for trait in suspected]

    def _abandon_request(self, request: PermitAsk) -> None:
        outcome = AttemptOutcome.CANCELLED
        self._registry.abandon(
            EndedPermit(request.attempt_id, request.upstream_id, outcome, request.work_class)
        )
        self._permit_ended.set()

    def _revoke(self, permit_ids: Iterable[str]) -> None:
        for permit_id in permit_ids:
            grant = self._grants.get(permit_id)
            if grant is not None:
                grant.revoked.set()
            elif permit_id in self._pending_requests:
                self._pending_requests[permit_id] = True

    def _record_loads(self, loads: Iterable[LoadSnapshot]) -> None:
        at_ms = now_ms()
        self.loads = {**self.loads, **{load.upstream_id: TimedLoad(load, at_ms) for load in loads}}

    async def _renew_forever(self) -> None:
        while True:
            await trio.sleep(self._valid_ms / _RENEWALS_PER_VALIDITY / 1000)
            if not len(self._registry):
                continue
            async with trio.open_nursery() as nursery:
                for address, group in self._held_by_owner().items():
                    if any(held.renew_at_ms <= now_ms() for held in group):
                        nursery.start_soon(run_contained, "message", self._renew, address, group)
            self._revoke(self._registry.lapsed(now_ms()))

    def _held_by_owner(self) -> dict[Address, list[HeldGrant]]:
        by_owner: dict[Address, list[HeldGrant]] = defaultdict(list)
        for held in self._registry:
            owner = self._view.owner_of(held.request.upstream_id)
            if owner is not None and not held.local:
                by_owner[Address(owner.host, owner.agent_port)].append(held)
        return by_owner

    async def _renew(self, address: Address, group: list[HeldGrant]) -> None:
        sent_ms = now_ms()
        timeout_ms = self._valid_ms / _RENEWALS_PER_VALIDITY
        channel = await self._channels.get(address)
        message = PermitRenew(self.holder_id, [held.as_held(sent_ms) for held in group])
        reply = await channel.call(message, timeout_ms)
        if reply.is_err():
            return
        renewed = reply.unwrap()
        self._record_loads(renewed.loads)
        self._revoke(renewed.revoked)
        owned_ids = {load.upstream_id for load in renewed.loads}
        renewed_ids = [
            held.request.attempt_id for held in group if held.request.upstream_id in owned_ids
        ]
        renew_at_ms = sent_ms + renewed.valid_ms / _RENEWALS_PER_VALIDITY
        self._registry.record_renewal(renewed_ids, sent_ms + renewed.valid_ms, renew_at_ms)

    async def _report_ends_forever(self) -> None:
        while True:
            await self._permit_ended.wait()
            self._permit_ended = trio.Event()
            await self._send_reports()
            await trio.sleep(self._settings.ended_batch_ms / 1000)
            by_owner: dict[Address, list[EndedPermit]] = defaultdict(list)
            for ended in self._registry.drain_ended():
                owner = self._view.owner_of(ended.upstream_id)
                if owner is not None:
                    by_owner[Address(owner.host, owner.agent_port)].append(ended)
            for address, group in by_owner.items():
                channel = await self._channels.get(address)
                channel.push(PermitsEnded(self.holder_id, group))

    def _report_refused_connect(self, upstream_id: str) -> None:
        """Make the agent check whether an upstream ended: others may have abandoned runs there."""
        if not self._view.has_just_ended(upstream_id):
            self._unsent_reports.append(BrokenRun(upstream_id, ""))

    async def _report_abandoned_runs(self) -> None:
        """Report abandoned runs at upstreams that other VMs report as ended; never returns."""
        while True:
            await self._view.wait_quarantine_changed()
            for upstream_id in self._abandoned_runs.upstream_ids(now_ms()):
                if self._view.has_just_ended(upstream_id):
                    self._unsent_reports += self._abandoned_runs.pop_suspects(upstream_id, now_ms())
            await self._send_reports()
            await self._confirm_sound_parts()

    async def _confirm_sound_parts(self) -> None:
        """Report suspected parts with which runs of this process have completed.

        Many nodes can confirm a frequent part; the first report makes the others unnecessary.
        """
        sound = self._view.sound_parts
        suspected = self._view.quarantine.suspected_among
        if not sound.sound_among(suspected(sound.parts), now_ms()):
            return
        await trio.sleep(_CONFIRM_PAUSE_PER_VM_S * len(self._view.vms) * self._rng.random())
        found = sound.sound_among(suspected(sound.parts), now_ms())
        self._unsent_reports += [WholeRun(part) for part in sorted(found)]
        await self._send_reports()

    async def _send_reports(self) -> None:
        """Send reports to this VM's agent at once: the next attempt of the work may be imminent."""
        messages, self._unsent_reports = self._unsent_reports, []
        if not messages or self._own_agent is None:
            return
        for message in messages:
            handler = self._handlers.get(type(message))
            if handler is not None:
                await handler(message, _LocalPeer(self.handle_push))
                continue
            channel = await self._channels.get(self._own_agent)
            if not channel.push(message):
                log_event(
                    "run_not_reported", work_id=message.work_id, reason="it could not be sent"
                )


@asynccontextmanager
async def open_permit_client(
    settings: Settings,
    codec: Codec,
    view: "FleetView",
    holder_id: str,
    handlers: Mapping[type[msgspec.Struct], CallHandler] | None = None,
) -> AsyncIterator[PermitClient]:
    """Run a client's background tasks until the block is left.

    ``handlers`` are those of this VM's agent if it runs in the same process.
    """
    async with trio.open_nursery() as nursery:
        channels = PeerChannels(codec, nursery, lambda message: client.handle_push(message))
        client = PermitClient(settings, view, channels, holder_id, handlers or {})
        nursery.start_soon(client.run)
        try:
            yield client
        finally:
            nursery.cancel_scope.cancel()
