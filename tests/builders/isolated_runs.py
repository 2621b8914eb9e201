"""Owners' real queues, and one node that requests isolated runs, for trio's mock clock."""

import itertools
from dataclasses import dataclass, field

import trio
from msgspec.structs import replace
from result import Err, Ok, Result

from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import TimedLoad
from fescuedock.clock import now_ms
from fescuedock.core.permits.actions import Action, Granted, Refused
from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.faults import Fault
from fescuedock.schema.crashes import CrashedRun, CrashReport
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, PermitAsk, WorkClass
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import PermitSettings
from fescuedock.schema.view import Program, UpstreamKind, UpstreamRecord, VmRecord, VmState

__all__ = ["SERVICE", "IsolationFleet", "SimulatedGrant", "SimulatedPermits"]

SERVICE = "desk-llm"
_SLOTS = 4
_TICK_S = 0.05
_CALL_WAIT_MS = 60_000
# Permits are not renewed here.
_VALID_MS = 1_000_000_000


@dataclass(slots=True)
class SimulatedGrant:
    """A permit that an owner granted."""

    request: PermitAsk

    @property
    def upstream_id(self) -> str:
        return self.request.upstream_id


@dataclass(slots=True)
class _Owner:
    queue: UpstreamQueue
    silent: bool = False
    # Set with the answer to a queued request.
    answers: dict[str, Result[SimulatedGrant, Fault]] = field(default_factory=dict)
    changed: trio.Event = field(default_factory=trio.Event)

    def apply(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Granted(request):
                    self.answers[request.attempt_id] = Ok(SimulatedGrant(request))
                case Refused(request, code):
                    self.answers[request.attempt_id] = Err(Fault(code, "refused"))
        self.changed.set()
        self.changed = trio.Event()


class IsolationFleet:
    """Three upstreams of each of ``services``, each owned by a VM of its failure domain."""

    def __init__(self, *services: str) -> None:
        self.view = FleetView("vm-0")
        names = [f"{name}/u{number}" for name in dict.fromkeys(services) for number in range(3)]
        domains = {name: f"d-{name}" for name in names}
        vms = [
            VmRecord(
                f"vm-{name}",
                "r",
                domain,
                "127.0.0.1",
                1,
                VmState.ALIVE,
                0,
                7,
                ready=[Program.AGENT],
            )
            for name, domain in domains.items()
        ]
        upstreams = [
            UpstreamRecord(
                name, "r", domain, "127.0.0.1", 1, UpstreamKind.ENGINE, name.partition("/")[0]
            )
            for name, domain in domains.items()
        ]
        self.view.replace(1, vms, upstreams, 0.0)
        self.view.quarantine.record(CrashReport("r", "u", 0, [CrashedRun("w")]), 0.0)
        self.owners = {
            name: _Owner(
                UpstreamQueue(
                    name, PermitSettings(), UpstreamTerms(slots=_SLOTS), _VALID_MS, 0.0, now_ms()
                )
            )
            for name in names
        }

    async def run(self) -> None:
        """Let owners answer requests whose time has come; never returns."""
        while True:
            await trio.sleep(_TICK_S)
            for owner in self.owners.values():
                owner.apply(owner.queue.tick(now_ms()))

    async def call_forever(
        self,
        name: str,
        upstream_id: str,
        run_s: float,
        first_s: float = 0.0,
        *,
        isolated: bool = False,
    ) -> None:
        """Run online calls of ``run_s`` at an upstream from ``first_s`` on, one after the other."""
        permits = SimulatedPermits(self, name)
        await trio.sleep(first_s)
        for number in itertools.count():
            call = PermitAsk(
                upstream_id=upstream_id,
                attempt_id=f"{name}-{number}",
                holder_id=name,
                service=upstream_id.partition("/")[0],
                member="",
                work_class=WorkClass.ONLINE,
                slack_ms=_CALL_WAIT_MS,
                wait_ms=_CALL_WAIT_MS,
                alone=isolated,
            )
            granted = await permits.request(call, 2 * _CALL_WAIT_MS)
            if isinstance(granted, Ok):
                await trio.sleep(run_s)
                permits.return_unused(granted.ok_value)


class SimulatedPermits:
    """The permit client of one node."""

    def __init__(self, fleet: IsolationFleet, holder_id: str = "node") -> None:
        self.holder_id = holder_id
        self.loads: dict[str, TimedLoad] = {}
        self._fleet = fleet

    async def request(
        self, ask: PermitAsk, timeout_ms: float, _parts: object = ()
    ) -> Result[SimulatedGrant, Fault]:
        owner = self._fleet.owners[ask.upstream_id]
        ask = replace(ask, holder_id=self.holder_id)
        if owner.silent:
            await trio.sleep(timeout_ms / 1000)
            return Err(Fault(ResultCode.PEER_UNKNOWN, "no answer"))
        try:
            with trio.move_on_after(timeout_ms / 1000):
                owner.apply(owner.queue.submit(ask, now_ms()))
                while ask.attempt_id not in owner.answers:
                    await owner.changed.wait()
                load = owner.queue.load(now_ms())
                self.loads = {**self.loads, ask.upstream_id: TimedLoad(load, now_ms())}
                await trio.sleep(0.002)
                return owner.answers[ask.attempt_id]
            return Err(Fault(ResultCode.PEER_UNKNOWN, "no answer"))
        finally:
            if ask.attempt_id not in owner.answers:
                self._end(ask, owner)

    def return_unused(self, grant: SimulatedGrant) -> None:
        """End the permit."""
        self._end(grant.request, self._fleet.owners[grant.upstream_id])

    def _end(self, ask: PermitAsk, owner: _Owner) -> None:
        ended = EndedPermit(
            ask.attempt_id, ask.upstream_id, AttemptOutcome.COMPLETED, ask.work_class
        )
        owner.apply(owner.queue.end(ended, now_ms()))
