"""How an agent detects ended upstreams, and sends, stores and expires reports on them."""

import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
import trio.testing
from msgspec import msgpack
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.agent.crash_service import CrashService
from fescuedock.agent.link import FleetView
from fescuedock.clock import now_ms
from fescuedock.core.quarantine import QuarantinePolicy
from fescuedock.core.rendezvous import choose_name
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvPage
from fescuedock.net.http_client import ConnectResult, PeerQuery
from fescuedock.schema.crashes import (
    BrokenRun,
    CrashedRun,
    CrashesReply,
    CrashesRequest,
    CrashNews,
    CrashReport,
    WholeRun,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamKind, UpstreamRecord, VmRecord, VmState
from fescuedock.standin.kv_state import KvState, prefix_end

START_S = 1_800_000_000
PREFIX = "p/crashes/"
DAY_S = 24 * 3600


@dataclass(slots=True)
class StubKv:
    """A key-value service in memory that can be made unavailable."""

    state: KvState = field(default_factory=lambda: KvState())
    unavailable: bool = False
    max_value_bytes: int = 1 << 20

    async def put_if(self, key: str, value: bytes, expected: int) -> Result[int, Fault]:
        await trio.sleep(0.001)
        if self.unavailable:
            return Err(Fault(ResultCode.KV_UNAVAILABLE, "away"))
        if len(value) > self.max_value_bytes:
            return Err(Fault(ResultCode.KV_VALUE_TOO_LARGE, "too large"))
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
    """The result of connection attempts to all upstreams, and the process that accepts them.

    ``process`` is None if it does not tell its identity; ``is_mute`` if it answers no queries.
    """

    acceptance: ConnectResult = ConnectResult.REFUSED
    process: str | None = None
    is_mute: bool = False
    queries: int = 0

    async def try_connect(
        self, _address: Address, peer_query: PeerQuery | None = None
    ) -> ConnectResult:
        await trio.sleep(0.001)
        if peer_query is None or self.acceptance is not ConnectResult.ACCEPTED:
            return self.acceptance
        self.queries += 1
        if self.is_mute:
            return ConnectResult.UNKNOWN
        found = peer_query.read_peer(200, (self.process or "").encode())
        if found is None:
            return ConnectResult.ACCEPTED
        is_expected = found == peer_query.expected
        return ConnectResult.EXPECTED_PEER if is_expected else ConnectResult.OTHER_PEER


def query_of(upstream_id: str) -> PeerQuery | None:
    """Return a query for the process that an ID names after ``@``."""
    expected = upstream_id.partition("@")[2]
    if not expected:
        return None
    return PeerQuery("/", lambda _status, body: body.decode() or None, expected)


@dataclass(slots=True)
class StubPool:
    """Records the messages pushed to other agents, and answers requests with ``known``."""

    pushed: list[tuple[str, CrashNews]] = field(default_factory=list)
    known: CrashNews = field(default_factory=CrashNews)

    async def client(self, address: Address) -> "StubPool.Client":
        return StubPool.Client(self, address.host)

    @dataclass(slots=True)
    class Client:
        """One channel of the pool."""

        pool: "StubPool"
        host: str

        def push(self, message: CrashNews) -> None:
            self.pool.pushed.append((self.host, message))

        async def call(self, _message: CrashesRequest, _timeout_ms: float) -> Ok[CrashesReply]:
            await trio.sleep(0.001)
            return Ok(CrashesReply(1, 1, self.pool.known))


class Agent:
    """One agent's crash service with stubs of its dependencies."""

    def __init__(self, kv: StubKv, vm_id: str = "vm-0") -> None:
        self.kv = kv
        self.http = StubUpstreams()
        self.pool = StubPool()
        self.view = FleetView(vm_id)
        # Parts that a test found to be sound.
        self.known_sound: list[str] = []
        vms = [
            VmRecord(f"vm-{n}", "r", "d", f"10.0.0.{n}", 1, VmState.ALIVE, agent_port=7)
            for n in range(2)
        ]
        self.set_view(vms, "u")
        self.service = CrashService(
            self.view,
            self.http,
            self.pool,
            kv,
            PREFIX,
            random.Random(1),
            lambda: int(START_S + trio.current_time()),
            query_of,
        )

    def set_view(
        self,
        vms: list[VmRecord],
        *upstreams: str,
        leaving: bool = False,
        address: str = "10.0.1.1",
    ) -> None:
        records = [
            UpstreamRecord(name, "r", "d", address, 1, UpstreamKind.ENGINE, "s", leaving=leaving)
            for name in upstreams
        ]
        self.view.replace(self.view.version + 1, vms, records, 0.0)

    async def send(self, message: BrokenRun | WholeRun) -> None:
        await self.service.handlers()[type(message)](message, None)

    def list_only(self, *upstream_ids: str, **fields: object) -> None:
        """Replace the listed upstreams, at the same address unless ``fields`` say otherwise."""
        self.set_view(list(self.view.vms.values()), *upstream_ids, **fields)

    def serve(self, process: str | None) -> None:
        """Let a process accept the connections to all upstreams."""
        self.http.acceptance, self.http.process = ConnectResult.ACCEPTED, process

    def reported(self) -> list[tuple[str, bool, bool]]:
        """Return the runs that were reported as crashed: work, whether isolated, given up."""
        return [
            (run.work_id, run.alone, run.given_up)
            for _, news in self.pool.pushed
            for report in news.crashes
            for run in report.runs
        ]

    def is_sound(self, part: str) -> bool:
        return bool(self.view.sound_parts.sound_among([part], now_ms()))


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

    def test_runs_broken_off_by_one_crash_are_sent_to_others_and_written_once(self) -> None:
        async def test(agent: Agent) -> None:
            for name in ("a", "b"):
                await agent.send(BrokenRun("u", name))
            await trio.sleep(0.1)
            [(host, news)] = agent.pool.pushed
            self.assertEqual(host, "10.0.0.1")
            [report] = news.crashes
            self.assertEqual([run.work_id for run in report.runs], ["a", "b"])
            [entry] = agent.kv.entries()
            self.assertEqual(msgpack.decode(entry.value, type=CrashNews), news)

        self.run_agent(test)

    def test_an_isolated_run_whose_permit_was_returned_is_reported_as_ended(self) -> None:
        """Otherwise it counts as concurrent with the next isolated run, or as the isolated one."""

        async def test(agent: Agent) -> None:
            agent.http.acceptance = ConnectResult.ACCEPTED
            await agent.send(BrokenRun("u", "first", alone=True, looks_whole=True))
            await trio.sleep(0.2)
            await agent.send(BrokenRun("u", "first", given_up=True, looks_whole=True))
            await agent.send(BrokenRun("u", "second", alone=True, looks_whole=True))
            agent.http.acceptance = ConnectResult.REFUSED
            await trio.sleep(0.5)
            [(_, news)] = agent.pool.pushed
            [report] = news.crashes
            found = [(run.work_id, run.alone, run.given_up) for run in report.runs]
            self.assertEqual(found, [("first", False, True), ("second", True, False)])

        self.run_agent(test)

    def test_an_upstream_that_keeps_accepting_connections_has_not_ended(self) -> None:
        async def test(agent: Agent) -> None:
            agent.http.acceptance = ConnectResult.ACCEPTED
            await agent.send(BrokenRun("u", "a"))
            await trio.sleep(10.0)
            self.assertEqual((agent.pool.pushed, agent.kv.entries()), ([], ()))

        self.run_agent(test)

    def test_an_unresponsive_upstream_has_ended_once_it_leaves_the_list(self) -> None:
        async def test(agent: Agent) -> None:
            agent.http.acceptance = ConnectResult.UNKNOWN
            await agent.send(BrokenRun("u", "a"))
            await trio.sleep(2.0)
            self.assertEqual(agent.pool.pushed, [])
            agent.set_view(list(agent.view.vms.values()))
            await trio.sleep(0.1)
            self.assertEqual(len(agent.pool.pushed), 1)

        self.run_agent(test)

    def test_a_leaving_upstream_has_ended_as_planned(self) -> None:
        async def test(agent: Agent) -> None:
            agent.set_view(list(agent.view.vms.values()), "u", leaving=True)
            await agent.send(BrokenRun("u", "a"))
            await trio.sleep(1.0)
            self.assertEqual(agent.pool.pushed, [])

        self.run_agent(test)

    def test_a_report_that_cannot_be_written_is_sent_at_once_and_written_later(self) -> None:
        async def test(agent: Agent) -> None:
            agent.kv.unavailable = True
            await agent.send(BrokenRun("u", "a"))
            await trio.sleep(5.0)
            self.assertEqual((len(agent.pool.pushed), agent.kv.entries()), (1, ()))
            agent.kv.unavailable = False
            await trio.sleep(3.0)
            self.assertEqual(len(agent.kv.entries()), 1)

        self.run_agent(test)

    # A refused value that is written again unchanged blocks all later reports.
    def test_reports_too_large_for_one_value_are_written_in_parts(self) -> None:
        async def test(agent: Agent) -> None:
            agent.kv.max_value_bytes = 400
            agent.kv.unavailable = True
            for number in range(6):
                agent.set_view([], f"u{number}")
                await agent.send(BrokenRun(f"u{number}", f"work {number} " + "x" * 100))
                await trio.sleep(2.0)
            agent.kv.unavailable = False
            await trio.sleep(10.0)
            written = [
                run.work_id[:6]
                for entry in agent.kv.entries()
                for report in msgpack.decode(entry.value, type=CrashNews).crashes
                for run in report.runs
            ]
            self.assertEqual(sorted(written), [f"work {number}" for number in range(6)])

        self.run_agent(test)

    def test_a_completed_run_is_sent_only_for_suspected_work(self) -> None:
        async def test(agent: Agent) -> None:
            await agent.send(BrokenRun("u", "a"))
            await trio.sleep(1.0)
            await agent.send(WholeRun("b"))
            await agent.send(WholeRun("a"))
            await trio.sleep(1.0)
            self.assertEqual(len(agent.pool.pushed), 2)
            self.assertTrue(agent.view.quarantine.is_empty)

        self.run_agent(test)

    def stored_reports(self, *names: str) -> StubKv:
        """Return a store with a report of each name, written by clocks that are far apart."""
        kv = StubKv()
        for number, name in enumerate(names):
            at_ms = (START_S + (number - 3) * DAY_S) * 1000
            report = CrashReport(name, f"gone-{name}", at_ms, [CrashedRun(name)])
            kv.state.put(PREFIX + name, msgpack.encode(CrashNews(crashes=[report])))
        kv.state.put(PREFIX + "odd", b"\xc1")
        return kv

    def test_stored_reports_expire_a_day_after_an_agent_has_read_them(self) -> None:
        names = [f"report-{number}" for number in range(6)]
        kv = self.stored_reports(*names)

        async def test(agent: Agent) -> None:
            quarantine = agent.view.quarantine
            self.assertTrue(all(map(quarantine.is_suspected, names)))
            await trio.sleep(QuarantinePolicy().retention_ms / 1000 - 60)
            self.assertTrue(all(map(quarantine.is_suspected, names)))
            await trio.sleep(1860)
            self.assertTrue(quarantine.is_empty)
            remaining = {entry.key.removeprefix(PREFIX) for entry in kv.entries()}
            # All agents choose the same one to remove a key.
            vms = agent.view.vms
            others = {name for name in names if choose_name(PREFIX + name, vms) != "vm-0"}
            self.assertEqual(remaining, {"odd"} | others)
            self.assertLess(len(others), len(names))
            # Keys that another agent removes later do not bring the reports back.
            await trio.sleep(1800)
            self.assertTrue(quarantine.is_empty)

        self.run_agent(test, kv=kv)

    def test_a_starting_agent_learns_from_another_one_how_old_stored_reports_are(self) -> None:
        names = [f"report-{number}" for number in range(6)]
        kv = self.stored_reports(*names)
        old, young = (int(QuarantinePolicy().retention_ms) + extra for extra in (60_000, -60_000))
        ages_ms = {name: young if name == names[0] else old for name in names}

        async def test(agent: Agent) -> None:
            quarantine = agent.view.quarantine
            agent.pool.known = CrashNews(
                crashes=[
                    CrashReport(name, f"gone-{name}", 0, [CrashedRun(name)], age_ms=age_ms)
                    for name, age_ms in ages_ms.items()
                ]
            )
            await trio.sleep(2.0)
            self.assertEqual(quarantine.age_ms(names[0], now_ms()) // 10_000, young // 10_000)
            await trio.sleep(630.0)
            self.assertTrue(quarantine.is_empty)
            remaining = {entry.key.removeprefix(PREFIX) for entry in kv.entries()}
            vms = agent.view.vms
            others = {name for name in names if choose_name(PREFIX + name, vms) != "vm-0"}
            self.assertEqual(remaining, {"odd"} | others)

        self.run_agent(test, kv=kv)

    # A pause was counted from the time of day of the reporter.
    def test_the_age_of_a_report_counts_and_not_its_time_of_day(self) -> None:
        async def test(agent: Agent) -> None:
            quarantine = agent.view.quarantine
            for name, ahead_s in (("ahead", 3600), ("behind", -3600)):
                at_ms = (START_S + ahead_s) * 1000
                report = CrashReport(name, name, at_ms, [CrashedRun(name)], age_ms=1500)
                news = CrashNews(crashes=[report])
                await agent.service.handlers()[CrashNews](news, None)
                self.assertEqual(round(quarantine.age_ms(name, now_ms())), 1500)
            # A sender's age of less than nothing, and an older copy.
            for age_ms, known_ms in ((-(10**9), 1500), (9000, 9000)):
                report = CrashReport("ahead", "ahead", 0, [CrashedRun("ahead")], age_ms=age_ms)
                await agent.service.handlers()[CrashNews](CrashNews(crashes=[report]), None)
                self.assertEqual(round(quarantine.age_ms("ahead", now_ms())), known_ms)

        self.run_agent(test)

    def test_a_broken_run_is_reported_though_another_process_accepts_connections(self) -> None:
        async def test(agent: Agent) -> None:
            agent.list_only("u@1")
            agent.serve("2")
            await agent.send(BrokenRun("u@1", "a", alone=True))
            await trio.sleep(0.2)
            self.assertEqual(agent.reported(), [("a", True, False)])

        self.run_agent(test)

    def test_a_run_that_looks_whole_is_no_proof_where_another_process_accepts(self) -> None:
        """Given up, as the other process may have completed it."""

        async def test(agent: Agent) -> None:
            agent.list_only("u@1")
            agent.serve("2")
            run = BrokenRun("u@1", "a", alone=True, parts=["part"], looks_whole=True)
            await agent.send(run)
            await trio.sleep(6.0)
            self.assertFalse(agent.is_sound("part"))
            self.assertEqual(agent.reported(), [("a", False, True)])

        self.run_agent(test)

    def test_a_process_that_is_replaced_within_a_second_crashed_under_a_run_that_looks_whole(
        self,
    ) -> None:
        async def test(agent: Agent) -> None:
            agent.list_only("u@1")
            agent.serve("1")
            run = BrokenRun("u@1", "a", alone=True, parts=["part"], looks_whole=True)
            await agent.send(run)
            await trio.sleep(0.5)
            agent.serve("2")
            await trio.sleep(2.0)
            self.assertFalse(agent.is_sound("part"))
            self.assertEqual(agent.reported(), [("a", True, False)])

        self.run_agent(test)

    def test_a_process_that_does_not_identify_itself_in_time_proves_nothing(self) -> None:
        async def test(agent: Agent) -> None:
            agent.list_only("u@1")
            agent.serve("1")
            agent.http.is_mute = True
            await agent.send(BrokenRun("u@1", "a", parts=["part"], looks_whole=True))
            await trio.sleep(6.0)
            self.assertEqual((agent.reported(), agent.is_sound("part")), ([], False))

        self.run_agent(test)

    def test_the_expected_process_has_not_ended_and_is_asked_once_for_a_broken_run(self) -> None:
        async def test(agent: Agent) -> None:
            agent.list_only("u@1")
            agent.serve("1")
            await agent.send(BrokenRun("u@1", "a"))
            await trio.sleep(20.0)
            self.assertEqual((agent.reported(), agent.http.queries), ([], 1))
            await agent.send(BrokenRun("u@1", "b", parts=["part"], looks_whole=True))
            await trio.sleep(20.0)
            self.assertEqual((agent.reported(), agent.is_sound("part")), ([], True))

        self.run_agent(test)

    def test_an_upstream_whose_entry_names_no_process_is_not_asked(self) -> None:
        async def test(agent: Agent) -> None:
            agent.serve("2")
            await agent.send(BrokenRun("u", "a"))
            await trio.sleep(10.0)
            self.assertEqual((agent.reported(), agent.http.queries), ([], 0))

        self.run_agent(test)

    def test_sound_runs_at_a_process_whose_entry_is_late_are_not_reported(self) -> None:
        """Each would count as evidence of a crash until the entry is known."""

        async def test(agent: Agent) -> None:
            agent.list_only("u@1")
            agent.serve("2")
            await agent.send(BrokenRun("u@1", "first"))
            await trio.sleep(1.0)
            for number in range(5):
                await agent.send(BrokenRun("u@1", "cut"))
                run = BrokenRun("u@1", "whole", parts=[f"part-{number}"], looks_whole=True)
                await agent.send(run)
                await trio.sleep(0.7)
            await trio.sleep(1.0)
            await agent.send(BrokenRun("u@1", "cut"))
            await trio.sleep(0.5)
            agent.list_only("u@2")
            await trio.sleep(10.0)
            self.assertEqual([name for name, _, _ in agent.reported()], ["first"])
            self.assertTrue(all(agent.is_sound(f"part-{number}") for number in range(5)))

        self.run_agent(test)

    def test_a_late_entry_of_the_former_process_is_no_evidence_of_a_crash(self) -> None:
        async def test(agent: Agent) -> None:
            agent.list_only("u@2")
            agent.serve("2")
            await agent.send(BrokenRun("u@2", "a"))
            await trio.sleep(1.0)
            agent.list_only("u@1")
            await trio.sleep(10.0)
            self.assertEqual(agent.reported(), [])

        self.run_agent(test)

    def test_an_entry_that_changes_to_another_process_is_evidence_if_it_cannot_be_asked(
        self,
    ) -> None:
        for process, is_mute in ((None, False), ("2", True)):
            with self.subTest(process=process, is_mute=is_mute):

                async def test(
                    agent: Agent, process: str | None = process, is_mute: bool = is_mute
                ) -> None:
                    agent.list_only("u@1")
                    agent.serve(process)
                    agent.http.is_mute = is_mute
                    await agent.send(BrokenRun("u@1", "a"))
                    await trio.sleep(1.0)
                    agent.list_only("u@2")
                    await trio.sleep(1.0)
                    self.assertEqual(agent.reported(), [("a", False, False)])

                self.run_agent(test)

    def test_a_process_whose_entry_is_late_crashes_under_later_runs(self) -> None:
        async def test(agent: Agent) -> None:
            agent.list_only("u@1")
            for process in ("2", "3"):
                agent.serve(process)
                await agent.send(BrokenRun("u@1", f"before {process}"))
                await trio.sleep(1.0)
            agent.http.acceptance = ConnectResult.REFUSED
            await agent.send(BrokenRun("u@1", "last"))
            await trio.sleep(1.0)
            names = [name for name, _, _ in agent.reported()]
            self.assertEqual(names, ["before 2", "before 3", "last"])
            numbers = [news.crashes[0].crash_number for _, news in agent.pool.pushed]
            self.assertEqual(numbers, [1, 2, 3])

        self.run_agent(test)

    def test_a_crash_that_another_agent_reported_earlier_is_not_counted_again(self) -> None:
        async def test(agent: Agent) -> None:
            agent.list_only("u@1")
            agent.serve("2")
            report = CrashReport("other", "u@1", 0, [CrashedRun("b")], crash_number=1)
            await agent.service.handlers()[CrashNews](CrashNews(crashes=[report]), None)
            await trio.sleep(2.0)
            await agent.send(BrokenRun("u@1", "a"))
            await trio.sleep(1.0)
            [(_, news)] = agent.pool.pushed
            self.assertEqual([item.crash_number for item in news.crashes], [1])

        self.run_agent(test)

    def play_late_entry(
        self,
        run: BrokenRun,
        at_s: float,
        *,
        process: str | None = None,
        upstream_id: str = "u@1",
        change: Callable[[Agent], object] = lambda agent: agent.list_only("u@2"),
        meanwhile: Callable[[Agent], object] = lambda agent: None,
    ) -> Agent:
        """Report a run as broken, and change the entries so much later; return the agent."""
        agents: list[Agent] = []

        async def test(agent: Agent) -> None:
            agents.append(agent)
            agent.list_only(upstream_id)
            agent.serve(process)
            await agent.send(run)
            await trio.sleep(at_s - 0.3)
            meanwhile(agent)
            await trio.sleep(0.3)
            change(agent)
            await trio.sleep(0.7)
            for name in (*run.parts, "other"):
                if agent.is_sound(name):
                    agent.known_sound.append(name)

        self.run_agent(test)
        return agents[0]

    def test_a_crash_is_found_by_an_entry_that_is_later_than_the_watch(self) -> None:
        for upstream_id in ("u", "u@1"):
            with self.subTest(upstream_id=upstream_id):
                run = BrokenRun(upstream_id, "a", alone=True)
                agent = self.play_late_entry(run, 6.0, upstream_id=upstream_id)
                # Given up, as it may have been over before the process ended.
                self.assertEqual(agent.reported(), [("a", False, True)])

    def test_an_entry_that_changes_later_says_nothing_of_a_process_that_was_identified(
        self,
    ) -> None:
        agent = self.play_late_entry(BrokenRun("u@1", "a"), 6.0, process="1")
        self.assertEqual(agent.reported(), [])

    def test_entries_that_do_not_show_a_crash_after_the_watch(self) -> None:
        cases: dict[str, dict] = {
            "removed": {"change": lambda agent: agent.list_only()},
            "another address": {"change": lambda agent: agent.list_only("u@2", address="10.0.1.2")},
            "planned": {"meanwhile": lambda agent: agent.list_only("u@1", leaving=True)},
            "much later": {"at_s": 12.0},
        }
        for name, case in cases.items():
            with self.subTest(name):
                agent = self.play_late_entry(BrokenRun("u@1", "a"), **({"at_s": 6.0} | case))
                self.assertEqual(agent.reported(), [])

    def test_an_entry_that_is_removed_first_and_then_replaced_shows_a_crash(self) -> None:
        agent = self.play_late_entry(
            BrokenRun("u@1", "a"), 7.0, meanwhile=lambda agent: agent.list_only()
        )
        self.assertEqual(agent.reported(), [("a", False, True)])

    def test_a_proof_is_withdrawn_if_the_entry_then_shows_another_process(self) -> None:
        """The process that accepted connections had replaced the one that crashed."""
        for upstream_id in ("u", "u@1"):
            with self.subTest(upstream_id=upstream_id):
                run = BrokenRun(upstream_id, "a", alone=True, parts=["part"], looks_whole=True)
                agent = self.play_late_entry(run, 1.5, upstream_id=upstream_id)
                self.assertEqual(agent.reported(), [("a", False, True)])
                self.assertEqual(agent.known_sound, [])

    def test_a_proof_by_an_identified_process_is_not_withdrawn(self) -> None:
        run = BrokenRun("u@1", "a", parts=["part"], looks_whole=True)
        agent = self.play_late_entry(run, 1.5, process="1")
        self.assertEqual((agent.reported(), agent.known_sound), ([], ["part"]))

    def test_parts_that_other_runs_have_proven_are_not_reported_with_a_withdrawn_proof(
        self,
    ) -> None:
        def prove(agent: Agent) -> None:
            agent.view.sound_parts.record(["part", "other"], now_ms())

        run = BrokenRun("u@1", "a", parts=["part", "rare"], looks_whole=True)
        agent = self.play_late_entry(run, 1.5, meanwhile=prove)
        self.assertEqual(agent.known_sound, ["part", "other"])
        [(_, news)] = agent.pool.pushed
        self.assertEqual([run.parts for run in news.crashes[0].runs], [["rare"]])


if __name__ == "__main__":
    unittest.main()
