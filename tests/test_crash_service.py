"""What an agent finds out about ended upstreams, shares, keeps and forgets."""

import random
import unittest
from dataclasses import dataclass, field

import trio
import trio.testing
from msgspec import msgpack
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.agent.crash_service import CrashService
from fescuedock.agent.link import FleetView
from fescuedock.core.quarantine import QuarantinePolicy
from fescuedock.core.rendezvous import choose_name
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvPage
from fescuedock.net.http_client import ConnectResult
from fescuedock.schema.crashes import BrokenRun, CrashedRun, CrashNews, CrashReport, WholeRun
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamKind, UpstreamRecord, VmRecord, VmState
from fescuedock.standin.kv_state import KvState, prefix_end

START_S = 1_800_000_000
PREFIX = "p/crashes/"
DAY_S = 24 * 3600


@dataclass(slots=True)
class StubKv:
    """A key-value service in memory that may be away."""

    state: KvState = field(default_factory=lambda: KvState())
    away: bool = False

    async def put_if(self, key: str, value: bytes, expected: int) -> Result[int, Fault]:
        await trio.sleep(0.001)
        if self.away:
            return Err(Fault(ResultCode.KV_UNAVAILABLE, "away"))
        return Ok(self.state.put_if(key, value, expected))

    async def get(self, key: str) -> Result[KvEntry | None, Fault]:
        await trio.sleep(0.001)
        return Ok(self.state.get(key))

    async def delete_if(self, key: str, expected: int) -> Result[None, Fault]:
        await trio.sleep(0.001)
        self.state.delete_if(key, expected)
        return Ok(None)

    def entries(self) -> tuple[KvEntry, ...]:
        return self.state.page(PREFIX, prefix_end(PREFIX), 1000).entries

    async def get_range(self, prefix: str, *, start_after: str = "") -> Result[KvPage, Fault]:
        await trio.sleep(0.001)
        start = max(prefix, start_after + "\0") if start_after else prefix
        return Ok(self.state.page(start, prefix_end(prefix), 1))


@dataclass(slots=True)
class StubUpstreams:
    """What becomes of connections to all upstreams."""

    acceptance: ConnectResult = ConnectResult.REFUSED

    async def try_connect(self, _address: Address) -> ConnectResult:
        await trio.sleep(0.001)
        return self.acceptance


@dataclass(slots=True)
class StubPool:
    """Takes what is pushed to other agents."""

    told: list[tuple[str, CrashNews]] = field(default_factory=list)

    async def client(self, address: Address) -> "StubPool.Client":
        return StubPool.Client(self, address.host)

    @dataclass(slots=True)
    class Client:
        """One channel of the pool."""

        pool: "StubPool"
        host: str

        def push(self, message: CrashNews) -> None:
            self.pool.told.append((self.host, message))


class Agent:
    """One agent's service with what it stands on."""

    def __init__(self, kv: StubKv, vm_id: str = "vm-0") -> None:
        self.kv = kv
        self.http = StubUpstreams()
        self.pool = StubPool()
        self.view = FleetView(vm_id)
        vms = [
            VmRecord(f"vm-{n}", "r", "d", f"10.0.0.{n}", 1, VmState.ALIVE, agent_port=7)
            for n in range(2)
        ]
        self.show(vms, "u")
        self.view.unix_clock = lambda: int(START_S + trio.current_time())
        self.service = CrashService(
            self.view, self.http, self.pool, kv, PREFIX, random.Random(1), self.view.unix_clock
        )

    def show(self, vms: list[VmRecord], *upstreams: str, leaving: bool = False) -> None:
        records = [
            UpstreamRecord(name, "r", "d", "10.0.1.1", 1, UpstreamKind.ENGINE, "s", leaving=leaving)
            for name in upstreams
        ]
        self.view.replace(self.view.version + 1, vms, records, 0.0)

    async def tell(self, message: BrokenRun | WholeRun) -> None:
        await self.service.handlers()[type(message)](message, None)


class CrashServiceTest(unittest.TestCase):
    def run_agent(self, test, *, kv: StubKv | None = None) -> None:
        async def run() -> None:
            agent = Agent(kv or StubKv())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(agent.service.run)
                nursery.start_soon(agent.service.read_forever)
                await trio.sleep(0.1)
                await test(agent)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_runs_that_one_end_broke_off_are_told_to_others_and_written_once(self) -> None:
        async def test(agent: Agent) -> None:
            for name in ("a", "b"):
                await agent.tell(BrokenRun("u", name))
            await trio.sleep(0.1)
            [(host, news)] = agent.pool.told
            self.assertEqual(host, "10.0.0.1")
            [report] = news.crashes
            self.assertEqual([run.work_id for run in report.runs], ["a", "b"])
            [entry] = agent.kv.entries()
            self.assertEqual(msgpack.decode(entry.value, type=CrashNews), news)

        self.run_agent(test)

    def test_a_run_alone_whose_permit_was_returned_is_reported_as_over(self) -> None:
        """The next run alone had company by it, or it seemed to have been alone in its place."""

        async def test(agent: Agent) -> None:
            agent.http.acceptance = ConnectResult.ACCEPTED
            await agent.tell(BrokenRun("u", "first", alone=True, looks_whole=True))
            await trio.sleep(0.2)
            await agent.tell(BrokenRun("u", "first", given_up=True, looks_whole=True))
            await agent.tell(BrokenRun("u", "second", alone=True, looks_whole=True))
            agent.http.acceptance = ConnectResult.REFUSED
            await trio.sleep(0.5)
            [(_, news)] = agent.pool.told
            [report] = news.crashes
            found = [(run.work_id, run.alone, run.given_up) for run in report.runs]
            self.assertEqual(found, [("first", False, True), ("second", True, False)])

        self.run_agent(test)

    def test_an_upstream_that_takes_connections_and_stays_has_not_ended(self) -> None:
        async def test(agent: Agent) -> None:
            agent.http.acceptance = ConnectResult.ACCEPTED
            await agent.tell(BrokenRun("u", "a"))
            await trio.sleep(10.0)
            self.assertEqual((agent.pool.told, agent.kv.entries()), ([], ()))

        self.run_agent(test)

    def test_one_that_answers_nobody_has_ended_when_it_goes_from_the_list(self) -> None:
        async def test(agent: Agent) -> None:
            agent.http.acceptance = ConnectResult.UNKNOWN
            await agent.tell(BrokenRun("u", "a"))
            await trio.sleep(2.0)
            self.assertEqual(agent.pool.told, [])
            agent.show(list(agent.view.vms.values()))
            await trio.sleep(0.1)
            self.assertEqual(len(agent.pool.told), 1)

        self.run_agent(test)

    def test_one_that_was_to_leave_has_ended_as_planned(self) -> None:
        async def test(agent: Agent) -> None:
            agent.show(list(agent.view.vms.values()), "u", leaving=True)
            await agent.tell(BrokenRun("u", "a"))
            await trio.sleep(1.0)
            self.assertEqual(agent.pool.told, [])

        self.run_agent(test)

    def test_what_cannot_be_written_is_told_at_once_and_written_later(self) -> None:
        async def test(agent: Agent) -> None:
            agent.kv.away = True
            await agent.tell(BrokenRun("u", "a"))
            await trio.sleep(5.0)
            self.assertEqual((len(agent.pool.told), agent.kv.entries()), (1, ()))
            agent.kv.away = False
            await trio.sleep(3.0)
            self.assertEqual(len(agent.kv.entries()), 1)

        self.run_agent(test)

    def test_a_whole_run_of_a_suspect_is_told_and_one_of_others_is_not(self) -> None:
        async def test(agent: Agent) -> None:
            await agent.tell(BrokenRun("u", "a"))
            await trio.sleep(1.0)
            await agent.tell(WholeRun("b"))
            await agent.tell(WholeRun("a"))
            await trio.sleep(1.0)
            self.assertEqual(len(agent.pool.told), 2)
            self.assertTrue(agent.view.quarantine.is_empty)

        self.run_agent(test)

    def test_an_agent_that_starts_knows_what_was_written_but_for_what_is_old(self) -> None:
        kv = StubKv()
        names = [f"old-{number}" for number in range(6)]
        for name, age_s in (("young", 60), *((name, 2 * DAY_S) for name in names)):
            report = CrashReport(name, "gone", (START_S - age_s) * 1000, [CrashedRun(name)])
            kv.state.put(PREFIX + name, msgpack.encode(CrashNews(crashes=[report])))
        kv.state.put(PREFIX + "odd", b"\xc1")

        async def test(agent: Agent) -> None:
            quarantine = agent.view.quarantine
            self.assertEqual([quarantine.suspects(n) for n in ("young", "old-1")], [True, False])
            await trio.sleep(QuarantinePolicy().kept_ms / 1000 + 1800)
            self.assertTrue(quarantine.is_empty)
            kept = {entry.key.removeprefix(PREFIX) for entry in kv.entries()}
            # Each key is removed by the one agent that all choose.
            vms = agent.view.vms
            others = {n for n in (*names, "young") if choose_name(PREFIX + n, vms) != "vm-0"}
            self.assertEqual(kept, {"odd"} | others)
            self.assertLess(len(others), len(names))

        self.run_agent(test, kv=kv)


if __name__ == "__main__":
    unittest.main()
