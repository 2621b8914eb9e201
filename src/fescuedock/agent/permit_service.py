"""Handles permit requests, renewals and ends for the upstreams that the agent owns."""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio
from result import Err, Result

from fescuedock.agent.upstream_checks import UpstreamChecks
from fescuedock.clock import now_ms
from fescuedock.core.permits.actions import Action, Granted, Refused, Revoked
from fescuedock.core.permits.holder import validity_ms
from fescuedock.core.permits.owner import OwnedUpstream, PermitOwner
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.core.permits.waiting import MemberShares
from fescuedock.errors import run_contained
from fescuedock.faults import Fault
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.schema.config import Configuration, Objectives
from fescuedock.schema.permits import (
    AttemptOutcome,
    LoadSnapshot,
    PermitAsk,
    PermitRenew,
    PermitRenewReply,
    PermitReply,
    PermitsEnded,
    PermitsRevoked,
    WorkClass,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamKind, UpstreamRecord
from fescuedock.settings import Settings

if TYPE_CHECKING:
    from fescuedock.agent.link import FleetView
    from fescuedock.backing.engine_wire import EngineLoad

__all__ = ["PermitService"]

# Tick intervals.  Requests and ends are handled as they arrive; a tick only expires waits and
# permits, and adjusts limits.  Online requests wait for 150 ms at a time, so 10 ms matter to them.
# Batch requests wait for a second and their holders allow 300 ms more; as some are nearly always
# waiting, ticking every 10 ms for them too takes 10% of a loaded node's processor time.
_ONLINE_TICK_S = 0.01
_IDLE_TICK_S = 0.1


class PermitService:
    """Soft state of each upstream that this VM owns according to ``view``.

    ``is_loading`` returns whether an upstream lacks a model and so must not get work yet.
    """

    def __init__(
        self,
        settings: Settings,
        view: "FleetView",
        checks: UpstreamChecks,
        rng: random.Random,
        is_loading: Callable[[str], bool] = lambda _upstream_id: False,
    ) -> None:
        self._settings = settings
        self._view = view
        self._checks = checks
        self._rng = rng
        self._is_loading = is_loading
        self._owner = PermitOwner(settings.permits, settings.agent.permit_valid_ms)
        self._waiters: dict[str, list[_Waiter]] = defaultdict(list)
        self._peers: dict[str, ServerPeer] = {}
        self._applied_version = 0
        # Wakes the ticks.
        self._wake = trio.Event()

    def handlers(self) -> dict[type, CallHandler]:
        """Handlers by message type, to be merged with those of the agent's other services."""
        return {
            PermitAsk: self._handle_request,
            PermitRenew: self._handle_renewal,
            PermitsEnded: self._handle_ends,
        }

    async def run(self) -> None:
        """Follow ownership, expire permits, poll engines and push revocations; never returns."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_view)
            nursery.start_soon(self._tick_forever)
            nursery.start_soon(self._poll_forever)

    def load(self, upstream_id: str) -> LoadSnapshot:
        """Return the load of an upstream as counted by this agent."""
        return self._owner.load(upstream_id, now_ms())

    async def _handle_request(self, request: PermitAsk, peer: ServerPeer) -> PermitReply:
        self._peers[request.holder_id] = peer
        waiter = _Waiter()
        self._waiters[request.attempt_id].append(waiter)
        try:
            self._perform(self._current_owner().submit(request, now_ms()))
            if request.work_class is WorkClass.ONLINE and not waiter.settled:
                # It may expire before the current tick interval ends.
                self._wake.set()
            action = await waiter.wait()
        finally:
            self._remove_waiter(request.attempt_id, waiter)
        return self._reply(action)

    async def _handle_renewal(self, message: PermitRenew, peer: ServerPeer) -> PermitRenewReply:
        self._peers[message.holder_id] = peer
        renewal = self._current_owner().renew(message, now_ms())
        self._perform(renewal.actions)
        return renewal.reply

    async def _handle_ends(self, message: PermitsEnded, _peer: ServerPeer) -> None:
        self._perform(self._current_owner().end(message, now_ms()))

    def _remove_waiter(self, attempt_id: str, waiter: "_Waiter") -> None:
        waiters = self._waiters[attempt_id]
        waiters.remove(waiter)
        if not waiters:
            del self._waiters[attempt_id]

    def _reply(self, action: Granted | Refused) -> PermitReply:
        load = self._owner.load(action.request.upstream_id, now_ms())
        match action:
            case Granted():
                return PermitReply(ResultCode.OK, load, action.permit_id, action.valid_ms)
            case Refused():
                return PermitReply(action.code, load, retry_after_ms=action.retry_after_ms)

    def _perform(self, actions: Iterable[Action]) -> None:
        revoked: dict[str, list[str]] = defaultdict(list)
        for action in actions:
            match action:
                case Revoked():
                    revoked[action.holder_id].append(action.permit_id)
                case Granted() | Refused():
                    for waiter in self._waiters.get(action.request.attempt_id, ()):
                        waiter.settle(action)
        for holder_id, permit_ids in revoked.items():
            peer = self._peers.get(holder_id)
            # The reply to the holder's next renewal makes up for a lost push.
            if peer is None or not peer.push(PermitsRevoked(permit_ids)):
                self._peers.pop(holder_id, None)

    async def _follow_view(self) -> None:
        while True:
            self._apply_view()
            await self._view.wait_changed(self._applied_version)

    def reapply_view(self) -> None:
        """Apply the view again after ``is_loading`` has changed."""
        self._applied_version = -1
        self._apply_view()

    def _current_owner(self) -> PermitOwner:
        """Return the owner after applying the newest view; every decision must go through here.

        The task that follows the view may not have run since a change.  An end handled before it
        would grant the freed slot of an upstream that is leaving.
        """
        self._apply_view()
        return self._owner

    def _apply_view(self) -> None:
        if self._view.version == self._applied_version:
            return
        self._applied_version = self._view.version
        self._owner.set_validity(validity_ms(self._settings.agent, len(self._view.vms)))
        counts = Counter(item.service for item in self._view.upstreams.values())
        owned = {
            upstream_id: OwnedUpstream(upstream.service, self._terms(upstream))
            for upstream_id, upstream in self._view.upstreams.items()
            if self._is_owned_here(upstream_id)
        }
        self._perform(self._owner.set_upstreams(owned, counts, now_ms()))
        self._wake.set()

    def _terms(self, upstream: UpstreamRecord) -> UpstreamTerms:
        terms = _terms(self._view.configuration, upstream)
        if self._is_loading(upstream.upstream_id):
            return msgspec.structs.replace(terms, admitting=False)
        return terms

    def _is_owned_here(self, upstream_id: str) -> bool:
        owner = self._view.owner_of(upstream_id)
        return owner is not None and owner.vm_id == self._settings.vm.vm_id

    async def _tick_forever(self) -> None:
        while True:
            self._perform(self._current_owner().tick(now_ms()))
            self._wake = trio.Event()
            with trio.move_on_after(self._tick_s()):
                await self._wake.wait()

    def _tick_s(self) -> float:
        if self._owner.has_waiting(WorkClass.ONLINE):
            return _ONLINE_TICK_S
        # With 165 nodes and 50 upstreams, two thirds of the nodes own none and need no ticks.
        return _IDLE_TICK_S if self._owner.owns_any else math.inf

    async def _poll_forever(self) -> None:
        """Read the loads of all engines that this VM owns, one round at a time."""
        while True:
            interval_s = self._settings.permits.load_poll_ms / 1000
            if not self._current_owner().owns_any:
                await self._view.wait_changed(self._applied_version)
                continue
            await trio.sleep(interval_s * self._rng.uniform(0.8, 1.2))
            async with trio.open_nursery() as nursery:
                for upstream_id in self._owner.owned():
                    upstream = self._view.upstreams.get(upstream_id)
                    if upstream is not None:
                        nursery.start_soon(
                            partial(
                                run_contained,
                                "upstream",
                                self._poll,
                                upstream,
                                upstream_id=upstream_id,
                            )
                        )

    async def _poll(self, upstream: UpstreamRecord) -> None:
        if self._owner.start_trial(upstream.upstream_id, now_ms()):
            outcome = await self._checks.probe(upstream, self._view.configuration)
            self._perform(self._current_owner().observe(upstream.upstream_id, outcome, now_ms()))
        elif upstream.kind is UpstreamKind.ENGINE and self._checks.load is not None:
            self._apply_load(upstream.upstream_id, await self._checks.load(upstream))

    def _apply_load(self, upstream_id: str, result: Result["EngineLoad", Fault]) -> None:
        if isinstance(result, Err):
            # A lost answer proves little; a refused connection means that the process has ended.
            if result.err_value.code is ResultCode.PEER_UNREACHABLE:
                refused = AttemptOutcome.CONNECT_REFUSED
                self._perform(self._current_owner().observe(upstream_id, refused, now_ms()))
            return
        load = result.ok_value
        self._owner.observe_load(upstream_id, load.running, load.waiting, now_ms())


class _Waiter:
    """A handler's wait for the decision on its request."""

    __slots__ = ("_action", "_settled")

    def __init__(self) -> None:
        self._settled = trio.Event()
        self._action: Granted | Refused | None = None

    @property
    def settled(self) -> bool:
        return self._settled.is_set()

    def settle(self, action: Granted | Refused) -> None:
        if self._action is None:
            self._action = action
            self._settled.set()

    async def wait(self) -> Granted | Refused:
        await self._settled.wait()
        return self._action


def _terms(configuration: Configuration, upstream: UpstreamRecord) -> UpstreamTerms:
    service = configuration.services.get(upstream.service)
    policy = configuration.upstreams.get(upstream.upstream_id)
    members = configuration.members.items()
    return UpstreamTerms(
        objectives=service.objectives if service else Objectives(),
        shares=MemberShares({name: member.share for name, member in members}),
        max_in_flight=policy.max_in_flight if policy else 0,
        slots=upstream.slots,
        admitting=not upstream.leaving and not (policy and policy.drain),
    )
