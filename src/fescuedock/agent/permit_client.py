"""How an entry or a batch runner gets permits from the agents that own upstreams.

async with open_permit_client(settings, codec, view, holder_id) as permits:
    match await permits.ask(PermitAsk(...), timeout_ms=20):
        case Ok(grant): ...      # run the attempt, watch grant.revoked, then grant.end(...)
        case Err(fault): ...     # refused (retry_after_ms is truthful) or a silent owner
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
from fescuedock.core.permits.holder import HeldGrant, HolderBook, LocalLimit, lapsed_by_ms
from fescuedock.core.permits.queued import is_overdue
from fescuedock.core.recent_runs import RecentRuns
from fescuedock.core.route_learning import UnansweredAsks
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
# Ends by which an upstream may have ended as well.
_BROKEN_OFF = (AttemptOutcome.TRUNCATED, AttemptOutcome.RESPONSE_TIMEOUT)
# Ends of our own making, after which an upstream may still be at work.
_GIVEN_UP = (AttemptOutcome.CANCELLED, AttemptOutcome.REVOKED)
# How long a permit for a run alone is kept after an answer that ended with its connection, at most.
_LONE_PAUSE_S = 1.5
# For each VM, in which one of those that know a part to be sound says so before the others.
_VOUCH_PAUSE_S = 0.002
# Beyond the time that an ask may be queued, for an owner in the same process.
_OWN_TIMEOUT_MS = 2000
# Three renewals fit into the validity, so that two may be lost.
_RENEWALS_PER_VALIDITY = 3


class TimedLoad(msgspec.Struct, frozen=True):
    """A load snapshot and when it arrived, by ``clock.now_ms``."""

    load: LoadSnapshot
    at_ms: float


class Grant(msgspec.Struct, eq=False):
    """Leave to run one attempt.  ``end`` must be called once, however the attempt went.

    When ``revoked`` is set, the holder cancels the attempt at once and ends the permit.
    """

    _held: HeldGrant
    _end: Callable[[EndedPermit], None]
    revoked: trio.Event = msgspec.field(default_factory=trio.Event)

    @property
    def permit_id(self) -> str:
        return self._held.ask.attempt_id

    @property
    def upstream_id(self) -> str:
        return self._held.ask.upstream_id

    @property
    def work_class(self) -> WorkClass:
        return self._held.ask.work_class

    @property
    def member(self) -> str:
        """Whose share it was granted from."""
        return self._held.ask.member

    @property
    def is_overdue(self) -> bool:
        """Whether it was asked for on behalf of overdue batch work."""
        return is_overdue(self._held.ask.stage, self._held.ask.slack_ms)

    @property
    def work_id(self) -> str:
        """The identity of the work that runs under it; empty while none is chosen."""
        return self._held.ask.work_id

    @property
    def parts(self) -> tuple[str, ...]:
        """Identities of the parts that the work's prompt may share with others."""
        return self._held.parts

    @property
    def alone(self) -> bool:
        """Whether its owner lets nothing else run at the upstream meanwhile."""
        return self._held.ask.alone

    @property
    def sendable_until_ms(self) -> float:
        """When no attempt may begin under it any more, by ``clock.now_ms``.

        Infinite for a local one.
        """
        return self._held.sendable_until_ms

    @property
    def local(self) -> bool:
        """Whether no owner gave it (see ``PermitClient.ask_local``)."""
        return self._held.local

    def count_tokens(self, count: int = 1) -> None:
        """Note more tokens, for the next renewal; optional, but lets the owner choose better.

        The first one gives the time to the first token seconds before the attempt ends.
        """
        if not self._held.generated_tokens:
            self._held.first_token_ms = now_ms() - self._held.granted_ms
        self._held.generated_tokens += count

    def note_sent(self) -> None:
        """Note that the attempt's request is written."""
        self._held.sent = True

    def note_unframed(self) -> None:
        """Note that the attempt's answer ends with its connection."""
        self._held.unframed = True

    def choose(self, work_id: str, parts: tuple[str, ...] = ()) -> None:
        """Note which work runs under a permit that was asked for before it was chosen."""
        self._held.ask = msgspec.structs.replace(self._held.ask, work_id=work_id)
        self._held.parts = parts

    def describe(
        self, stage: BatchStage, slack_ms: float, left_ms: float, barren_runs: int
    ) -> None:
        """Tell the owner, with the next renewal, how the work stands that was chosen to run."""
        self._held.ask = msgspec.structs.replace(
            self._held.ask,
            stage=stage,
            slack_ms=int(slack_ms),
            left_ms=int(left_ms),
            barren_runs=barren_runs,
        )

    def end(self, ended: EndedPermit) -> None:
        """Report how the attempt went; sent to the owner with others.  Further calls do nothing."""
        self._end(ended)


class _OwnPeer(msgspec.Struct, frozen=True):
    """This process as an owner in it sees its caller."""

    take_push: PushHandler

    def push(self, message: msgspec.Struct) -> bool:
        self.take_push(message)
        return True


class PermitClient:
    """Asks owners for permits, renews what is held, and keeps their load snapshots."""

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
        self._book = HolderBook()
        self._grants: dict[str, Grant] = {}
        self._valid_ms = settings.agent.permit_valid_ms if settings.agent else _DEFAULT_VALID_MS
        self._something_ended = trio.Event()
        self._own_agent = Address(settings.vm.host, settings.agent.port) if settings.agent else None
        # What this VM's agent is to be told of works, in order.
        self._to_tell: list[BrokenRun | WholeRun] = []
        self._given_up = RecentRuns()
        self._unanswered = UnansweredAsks()
        self._rng = random.Random(holder_id)
        self._nursery: trio.Nursery | None = None
        # Attempts whose ask is under way; True once a revocation has overtaken the grant.
        self._asking: dict[str, bool] = {}

    @property
    def is_unanswered(self) -> bool:
        """Whether no owner has answered any ask for seconds; nobody else's may be concerned."""
        return self._unanswered.is_long(now_ms())

    async def ask(
        self, ask: PermitAsk, timeout_ms: float, parts: tuple[str, ...] = ()
    ) -> Result[Grant, Fault]:
        """Ask the owner of ``ask.upstream_id``; wait ``timeout_ms`` at most for its answer.

        ``parts`` are the identities of those that the work's prompt may share with others.

        ``timeout_ms`` should exceed ``ask.wait_ms``, the time the owner may queue the ask.  Where
        this process is the owner itself it is waited for longer: late is not silent then.
        ``PEER_UNREACHABLE`` and ``PEER_UNKNOWN`` mean a silent owner: an online attempt may then
        use ``ask_local`` or another upstream, batch waits.  ``NOT_OWNER`` means that the views of
        the two nodes differ for a moment.  Any other fault is the owner's refusal.
        ``NOT_OWNER`` also tells that the upstream has gone or is leaving by the time of the grant.
        A late grant is given back by the client itself.
        """
        sent_ms = now_ms()
        answered = False
        self._asking[ask.attempt_id] = False
        own = self._own_handler(ask.upstream_id)
        if own is not None:
            timeout_ms = max(timeout_ms, ask.wait_ms + _OWN_TIMEOUT_MS)
        try:
            with trio.move_on_after(timeout_ms / 1000):
                if own is not None:
                    reply = Ok(await own(ask, _OwnPeer(self.take_push)))
                else:
                    channel = await self._channel_of(ask.upstream_id)
                    if channel is None:
                        answered = True
                        return Err(self._no_owner(ask.upstream_id))
                    reply = await channel.call(ask, timeout_ms)
                answered = reply.is_ok()
                if answered:
                    self._unanswered.note_answer()
                else:
                    self._unanswered.note_silence(now_ms())
                return reply.and_then(lambda found: self._settle(ask, found, sent_ms, parts))
            self._unanswered.note_silence(now_ms())
            return Err(Fault(ResultCode.PEER_UNKNOWN, f"no answer for {ask.upstream_id}"))
        finally:
            self._asking.pop(ask.attempt_id, None)
            if not answered:
                self._give_up(ask)

    def ask_local(self, ask: PermitAsk, parts: tuple[str, ...] = ()) -> Result[Grant, Fault]:
        """Grant one online attempt without its owner, under the conservative local limit.

        ``NO_CAPACITY`` when the local limit is used up, or for batch work, which must wait;
        ``NOT_OWNER`` when the upstream has gone or is leaving.
        """
        if ask.work_class is not WorkClass.ONLINE or not self.local_limit.try_take(ask.upstream_id):
            message = f"no local room at {ask.upstream_id}"
            return Err(Fault(ResultCode.NO_CAPACITY, message, self._settings.adjust_ms))
        return self._grant(HeldGrant(ask, now_ms(), float("inf"), local=True, parts=parts))

    def give_back(self, grant: Grant) -> None:
        """Give a permit back that nothing was done with."""
        outcome = AttemptOutcome.CANCELLED
        work_class = grant.work_class
        grant.end(EndedPermit(grant.permit_id, grant.upstream_id, outcome, work_class))

    async def run(self) -> None:
        """Renew, report ends and revoke what lapses; never returns."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._renew_forever)
            nursery.start_soon(self._report_forever)
            nursery.start_soon(self._follow_ends)

    def take_push(self, message: msgspec.Struct) -> None:
        """Take a message that an owner sent of its own accord."""
        if isinstance(message, PermitsRevoked):
            self._revoke(message.permit_ids)

    def _own_handler(self, upstream_id: str) -> CallHandler | None:
        """Return what answers asks if the owner of an upstream is in this process.

        A busy process reads answers late, also its own, and took itself for silent.
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
        # One that has gone since it was chosen says nothing against the node that owned it.
        known = upstream_id in self._view.upstreams
        if known:
            self._unanswered.note_silence(now_ms())
        code = ResultCode.PEER_UNREACHABLE if known else ResultCode.NOT_OWNER
        return Fault(code, f"no owner is known for {upstream_id!r}")

    def _settle(
        self, ask: PermitAsk, reply: PermitReply, sent_ms: float, parts: tuple[str, ...]
    ) -> Result[Grant, Fault]:
        code = ResultCode(reply.code)
        if code is not ResultCode.NOT_OWNER:
            self._note_loads([reply.load])
        if code is ResultCode.OK:
            renew_at_ms = sent_ms + reply.valid_ms / _RENEWALS_PER_VALIDITY
            held = HeldGrant(ask, now_ms(), sent_ms + reply.valid_ms, renew_at_ms)
            held.parts = parts
            held.lapsed_by_ms = lapsed_by_ms(sent_ms, now_ms(), ask.wait_ms, reply.valid_ms)
            return self._grant(held)
        return Err(Fault(code, f"refused at {ask.upstream_id}", reply.retry_after_ms))

    def _grant(self, held: HeldGrant) -> Result[Grant, Fault]:
        """Hand out a permit; one for an upstream that takes no more work by now is given back.

        An ask may wait at its owner for a second, and the owner may know less than this node by the
        time it grants.  All permits pass through here, so that none is used on its word alone.
        """
        grant = self._take(held)
        fault = self._overtaken(grant.upstream_id)
        if fault is None:
            return Ok(grant)
        self.give_back(grant)
        return Err(fault)

    def _overtaken(self, upstream_id: str) -> Fault | None:
        """Return why no attempt may begin at an upstream by what this node knows now, if so."""
        upstream = self._view.upstreams.get(upstream_id)
        if upstream is None:
            return Fault(ResultCode.NOT_OWNER, f"{upstream_id!r} has gone")
        if upstream.leaving:
            # Not a lack of room: whoever asked has to choose another upstream at once.
            return Fault(ResultCode.NOT_OWNER, f"{upstream_id!r} is leaving")
        return None

    def _take(self, held: HeldGrant) -> Grant:
        self._book.add(held)
        grant = Grant(held, self._end)
        self._grants[grant.permit_id] = grant
        if self._asking.get(grant.permit_id):
            grant.revoked.set()
        return grant

    def _end(self, ended: EndedPermit) -> None:
        held = self._book.get(ended.permit_id)
        if held is None or self._grants.pop(ended.permit_id, None) is None:
            return
        self._note_run(held, ended)
        if held.ask.alone and held.unframed and self._nursery is not None:
            self._nursery.start_soon(self._return_later, held, ended)
        else:
            self._return(held, ended)

    def _return(self, held: HeldGrant, ended: EndedPermit) -> None:
        self._book.end(ended)
        if held.local:
            self.local_limit.give_back(ended.upstream_id)
        self._something_ended.set()

    async def _return_later(self, held: HeldGrant, ended: EndedPermit) -> None:
        """Keep other work off an upstream that may be about to end under a run alone."""
        self._something_ended.set()
        work_id = held.ask.work_id
        with trio.move_on_after(_LONE_PAUSE_S):
            while any(map(self._view.quarantine.suspects, (work_id, *held.parts))):
                await self._view.wait_quarantine()
        self._to_tell.append(BrokenRun(ended.upstream_id, work_id, given_up=True, looks_whole=True))
        self._return(held, ended)

    def _note_run(self, held: HeldGrant, ended: EndedPermit) -> None:
        """Note what a run says of the work; all runs end here, so that none is missed."""
        work_id = held.ask.work_id
        upstream_id = ended.upstream_id
        begun = ended.generated_tokens > 0
        unknown = self._view.sound_parts.unknown_among(held.parts, now_ms())
        run = BrokenRun(
            upstream_id, work_id, alone=held.ask.alone, begun=begun, parts=list(unknown)
        )
        if ended.outcome in (*_BROKEN_OFF, AttemptOutcome.CONNECT_REFUSED):
            # What was given up just before may be what ended it, and nobody else would tell.
            self._to_tell += self._given_up.take(upstream_id, now_ms())
        if ended.outcome is AttemptOutcome.CONNECT_REFUSED:
            self._note_refused(upstream_id)
        if not work_id:
            return
        if ended.outcome in _GIVEN_UP and held.sent:
            run = msgspec.structs.replace(run, given_up=True)
            self._given_up.note(run, now_ms())
        elif ended.outcome in _BROKEN_OFF:
            self._to_tell.append(run)
        elif ended.outcome is AttemptOutcome.COMPLETED:
            self._note_whole(held, run)

    def _note_whole(self, held: HeldGrant, run: BrokenRun) -> None:
        """Note that a run became whole, or that it looks so and its upstream may have ended."""
        quarantine = self._view.quarantine
        traits = (run.work_id, *held.parts)
        suspected = [trait for trait in traits if quarantine.suspects(trait)]
        if held.unframed:
            if run.parts or suspected:
                self._to_tell.append(msgspec.structs.replace(run, looks_whole=True))
            return
        self._view.sound_parts.note(held.parts, now_ms())
        self._to_tell += [WholeRun(trait) for trait in suspected]

    def _give_up(self, ask: PermitAsk) -> None:
        outcome = AttemptOutcome.CANCELLED
        self._book.give_up(EndedPermit(ask.attempt_id, ask.upstream_id, outcome, ask.work_class))
        self._something_ended.set()

    def _revoke(self, permit_ids: Iterable[str]) -> None:
        for permit_id in permit_ids:
            grant = self._grants.get(permit_id)
            if grant is not None:
                grant.revoked.set()
            elif permit_id in self._asking:
                self._asking[permit_id] = True

    def _note_loads(self, loads: Iterable[LoadSnapshot]) -> None:
        at_ms = now_ms()
        self.loads = {**self.loads, **{load.upstream_id: TimedLoad(load, at_ms) for load in loads}}

    async def _renew_forever(self) -> None:
        while True:
            await trio.sleep(self._valid_ms / _RENEWALS_PER_VALIDITY / 1000)
            if not len(self._book):
                continue
            async with trio.open_nursery() as nursery:
                for address, group in self._held_by_owner().items():
                    if any(held.renew_at_ms <= now_ms() for held in group):
                        nursery.start_soon(self._renew, address, group)
            self._revoke(self._book.lapsed(now_ms()))

    def _held_by_owner(self) -> dict[Address, list[HeldGrant]]:
        by_owner: dict[Address, list[HeldGrant]] = defaultdict(list)
        for held in self._book:
            owner = self._view.owner_of(held.ask.upstream_id)
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
        self._note_loads(renewed.loads)
        self._revoke(renewed.revoked)
        known = {load.upstream_id for load in renewed.loads}
        good = [held.ask.attempt_id for held in group if held.ask.upstream_id in known]
        renew_at_ms = sent_ms + renewed.valid_ms / _RENEWALS_PER_VALIDITY
        self._book.renewed(good, sent_ms + renewed.valid_ms, renew_at_ms)

    async def _report_forever(self) -> None:
        while True:
            await self._something_ended.wait()
            self._something_ended = trio.Event()
            await self._tell_agent()
            await trio.sleep(self._settings.ended_batch_ms / 1000)
            by_owner: dict[Address, list[EndedPermit]] = defaultdict(list)
            for ended in self._book.take_ended():
                owner = self._view.owner_of(ended.upstream_id)
                if owner is not None:
                    by_owner[Address(owner.host, owner.agent_port)].append(ended)
            for address, group in by_owner.items():
                channel = await self._channels.get(address)
                channel.push(PermitsEnded(self.holder_id, group))

    def _note_refused(self, upstream_id: str) -> None:
        """Have it found out whether an upstream has ended: others may have given runs up there."""
        if not self._view.has_just_ended(upstream_id):
            self._to_tell.append(BrokenRun(upstream_id, ""))

    async def _follow_ends(self) -> None:
        """Tell of runs that were given up at upstreams which other VMs have found to have ended."""
        while True:
            await self._view.wait_quarantine()
            for upstream_id in self._given_up.upstream_ids(now_ms()):
                if self._view.has_just_ended(upstream_id):
                    self._to_tell += self._given_up.take(upstream_id, now_ms())
            await self._tell_agent()
            await self._vouch()

    async def _vouch(self) -> None:
        """Tell of parts under suspicion that runs of this process have become whole with.

        One that is popular is known to many nodes; whoever comes first spares the others.
        """
        sound = self._view.sound_parts
        suspected = self._view.quarantine.suspected_among
        if not sound.sound_among(suspected(sound.parts), now_ms()):
            return
        await trio.sleep(_VOUCH_PAUSE_S * len(self._view.vms) * self._rng.random())
        found = sound.sound_among(suspected(sound.parts), now_ms())
        self._to_tell += [WholeRun(part) for part in sorted(found)]
        await self._tell_agent()

    async def _tell_agent(self) -> None:
        """Tell this VM's agent of works at once: the next try of one may be on its way."""
        messages, self._to_tell = self._to_tell, []
        if not messages or self._own_agent is None:
            return
        for message in messages:
            handler = self._handlers.get(type(message))
            if handler is not None:
                await handler(message, _OwnPeer(self.take_push))
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
    """Run a client's background work until the block is left.

    ``handlers`` are those of this VM's agent, where it runs in the same process.
    """
    async with trio.open_nursery() as nursery:
        channels = PeerChannels(codec, nursery, lambda message: client.take_push(message))
        client = PermitClient(settings, view, channels, holder_id, handlers or {})
        nursery.start_soon(client.run)
        try:
            yield client
        finally:
            nursery.cancel_scope.cancel()
