"""A call gets a permit whose reply shows that the upstream is in a slow period."""

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from msgspec.structs import replace
from result import Err, Ok, Result

from fescuedock.agent.permit_client import TimedLoad
from fescuedock.clock import now_ms
from fescuedock.core.placement import choose_by_prediction
from fescuedock.core.routing import RoutingPolicy
from fescuedock.entry.online_permits import find_permit
from fescuedock.faults import Fault
from fescuedock.schema.permits import LoadSnapshot, PermitAsk
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import Program, VmRecord, VmState
from tests.builders.standins import run_async
from tests.test_permit_search import StubCall, StubSearch

_QUICK = LoadSnapshot(
    "quick", 0, 0, 0, 8, 0.0, True, start_ms=30.0, event_ms=20.0, run_ms=400.0, speed_age_ms=0.0
)
_OTHER = replace(_QUICK, upstream_id="other", start_ms=60.0, event_ms=30.0)


@dataclass
class SpeedPermits:
    """Two upstreams with room, of which the faster one turns out to be slow on request.

    ``other_answers`` gives the answer of the other upstream's owner.
    """

    other_answers: Callable[[PermitAsk], Awaitable[Result[PermitAsk, Fault]]]
    slowness: float = 8.0
    holder_id: str = "holder"
    returned: list[str] = field(default_factory=list)
    loads: dict[str, TimedLoad] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.loads = {load.upstream_id: TimedLoad(load, now_ms()) for load in (_QUICK, _OTHER)}

    async def request(
        self, ask: PermitAsk, _timeout_ms: float, _parts: object = ()
    ) -> Result[PermitAsk, Fault]:
        if ask.upstream_id == "other":
            return await self.other_answers(ask)
        load = replace(_QUICK, slowness=self.slowness)
        self.loads = {**self.loads, "quick": TimedLoad(load, now_ms())}
        return Ok(ask)

    def return_unused(self, grant: PermitAsk) -> None:
        self.returned.append(grant.upstream_id)


async def _grant(ask: PermitAsk) -> Result[PermitAsk, Fault]:
    return Ok(ask)


async def _refuse(_ask: PermitAsk) -> Result[PermitAsk, Fault]:
    return Err(Fault(ResultCode.NO_CAPACITY, "full"))


async def _hang(_ask: PermitAsk) -> Result[PermitAsk, Fault]:
    await trio.sleep_forever()


def _search() -> StubSearch:
    state = StubSearch()
    state.routing = RoutingPolicy(rank=choose_by_prediction)
    record = next(iter(state.view.upstreams.values()))
    owner = VmRecord("node-2", "r", "d", "127.0.0.1", 1, VmState.ALIVE, agent_port=1)
    owner.ready = [Program.AGENT]
    records = [replace(record, upstream_id=name) for name in ("quick", "other")]
    state.view.replace(2, [owner], records, 0.0)
    return state


class PermitMoveTest(unittest.TestCase):
    """Which permit the call uses, and which one it returns."""

    def find(self, permits: Callable[[], SpeedPermits]) -> tuple[str, list[str]]:
        """Return the upstream of the permit, "" without one, and those of returned permits."""
        found: list[str] = []
        used: list[SpeedPermits] = []

        async def run() -> None:
            state = _search()
            state.permits = permits()
            used.append(state.permits)
            with trio.move_on_after(0.3):
                granted = await find_permit(state, StubCall(target_ms=500))
                found.append(granted.ok_value.upstream_id)

        run_async(run)
        return (found or [""])[0], used[0].returned

    def test_the_call_moves_to_the_upstream_where_it_starts_sooner(self) -> None:
        self.assertEqual(self.find(lambda: SpeedPermits(_grant)), ("other", ["quick"]))

    def test_a_permit_of_a_fast_upstream_is_used(self) -> None:
        self.assertEqual(self.find(lambda: SpeedPermits(_grant, slowness=1.0)), ("quick", []))

    def test_the_first_permit_is_used_when_the_other_owner_refuses(self) -> None:
        self.assertEqual(self.find(lambda: SpeedPermits(_refuse)), ("quick", []))

    def test_a_cancelled_call_leaves_no_permit_behind(self) -> None:
        """Guards against an unused permit that holds its slot until it expires."""
        self.assertEqual(self.find(lambda: SpeedPermits(_hang)), ("", ["quick"]))


if __name__ == "__main__":
    unittest.main()
