"""Upstreams that restart under their ID at another software version, with entries that are late.

Until its entry is updated, a restarted upstream looks like its former process.
"""

import unittest
from collections.abc import Awaitable, Callable

import msgspec
import trio

from fescuedock.core.work_identity import work_identity
from fescuedock.platform.standin.event_upstream import EventUpstream, UpstreamFault
from fescuedock.schema.crashes import CrashNews, CrashReport
from fescuedock.standin.kv_state import prefix_end
from tests.builders.node import HOST, Answer, NodeFleet, running_fleet
from tests.builders.online import wait_until
from tests.builders.standins import run_async
from tests.builders.versions import (
    ResumedStream,
    event_numbers,
    resume_stream,
    versions_of,
)

STARTED_MS = 1_790_000_000_000
NEVER_S = 3600.0
STREAMS = 24
CRASHES = "fescuedock/live/crash/"


class FleetTestCase(unittest.TestCase):
    def run_fleet(
        self,
        test: Callable[[NodeFleet], Awaitable[None]],
        versions: tuple[str, ...] = ("v1", "v1"),
        nodes: int = 2,
        started_ms: int = STARTED_MS,
    ) -> None:
        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(nodes=nodes, versions=versions) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.born = started_ms
                        fleet.register(upstream)
                    if started_ms:
                        # Nodes know the entries by now.
                        await trio.sleep(0.4)
                    await test(fleet)

        run_async(run)


class RestartedUpstreamsTest(FleetTestCase):
    async def cut_streams(self, fleet: NodeFleet, cut: Callable[[int], EventUpstream]) -> int:
        """Have clients call while an upstream cuts off its runs; count the whole answers."""
        whole = 0
        for number in range(STREAMS):
            upstream = cut(number)
            upstream.faults = [UpstreamFault(cut_after=2)]
            front = fleet.nodes[number % len(fleet.nodes)].front
            answer = await fleet.call(front, "POST", f"/check/{number}", b"case")
            upstream.faults = []
            self.assertLessEqual(len(versions_of(answer.body)), 1, answer.body)
            whole += answer.complete and answer.status == 200
        return whole

    def test_a_stream_does_not_go_on_at_an_upstream_that_restarted_at_another_version(self) -> None:
        for entry_after_s in (0.05, 0.3, NEVER_S):
            with self.subTest(entry_after_s=entry_after_s):

                async def test(fleet: NodeFleet, entry_after_s: float = entry_after_s) -> None:
                    first, second = fleet.upstreams
                    await fleet.restart_upstream(second, "v1.1", entry_after_s)
                    await self.cut_streams(fleet, lambda _number: first)

                self.run_fleet(test)

    def test_a_stream_that_began_at_a_restarted_upstream_goes_on_at_its_version(self) -> None:
        for entry_after_s in (0.05, 0.3, NEVER_S):
            with self.subTest(entry_after_s=entry_after_s):

                async def test(fleet: NodeFleet, entry_after_s: float = entry_after_s) -> None:
                    _, second = fleet.upstreams
                    await fleet.restart_upstream(second, "v1.1", entry_after_s)
                    await self.cut_streams(fleet, lambda _number: second)

                self.run_fleet(test)

    def test_a_client_that_resumes_gets_one_version_while_upstreams_restart_in_turn(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            resumed: list[ResumedStream] = []
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 30

            async def stream(number: int) -> None:
                await trio.sleep(number * 0.02)
                name, path = f"first-{number}", f"/check/{number}"
                fronts = [node.front for node in fleet.nodes]
                headers = {"x-request-id": name}
                first = await fleet.call(
                    fronts[number % len(fronts)], "POST", path, b"case", headers
                )
                if first.complete or first.status != 200 or not event_numbers(first.body):
                    resumed.append(ResumedStream(first, first))
                    return
                for attempt in range(1, 4):
                    other = fronts[(number + attempt) % len(fronts)]
                    found = await resume_stream(fleet, other, path, b"case", first, name)
                    if found.second.status == 200:
                        break
                    await trio.sleep(0.1)
                resumed.append(found)

            async with trio.open_nursery() as nursery:
                for number in range(90):
                    nursery.start_soon(stream, number)
                for upstream in list(fleet.upstreams):
                    await trio.sleep(0.4)
                    await fleet.restart_upstream(upstream, "v1.1", 0.15)
            self.assertEqual(len(resumed), 90)
            joined = [
                item for item in resumed if item.second.status == 200 and len(item.versions) > 1
            ]
            self.assertEqual(joined, [])

        self.run_fleet(test, versions=("v1",) * 4, nodes=3)

    def test_no_stream_is_joined_where_all_nodes_restart_before_the_entries_change(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            resumed: list[ResumedStream] = []
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 200
            firsts: dict[int, Answer] = {}

            async def begin(number: int) -> None:
                front = fleet.nodes[number % 2].front
                headers = {"x-request-id": f"first-{number}"}
                path = f"/check/{number}"
                firsts[number] = await fleet.call(front, "POST", path, b"case", headers)

            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(begin, number)
                await trio.sleep(0.5)
                for node in fleet.nodes:
                    node.kill()
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 1
                await fleet.restart_upstream(upstream, "v1.1", 1.5)
            for node in list(fleet.nodes):
                await fleet.restart(node)
            for number, first in firsts.items():
                if event_numbers(first.body):
                    front = fleet.nodes[number % 2].front
                    path, name = f"/check/{number}", f"first-{number}"
                    resumed.append(await resume_stream(fleet, front, path, b"case", first, name))
            self.assertGreater(len(resumed), 0)
            joined = [
                item for item in resumed if item.second.status == 200 and len(item.versions) > 1
            ]
            self.assertEqual(joined, [])

        self.run_fleet(test, versions=("v1",) * 3)

    def test_an_entry_that_changes_before_the_first_event_discards_the_attempt(self) -> None:
        for joins in ("begins", "goes on"):
            with self.subTest(joins=joins):

                async def test(fleet: NodeFleet, joins: str = joins) -> None:
                    first, second = fleet.upstreams
                    second.reports_born = False
                    second.event_interval_ms = 150
                    cut = first if joins == "goes on" else second
                    cut.faults = [UpstreamFault(cut_after=2)]
                    await fleet.restart_upstream(second, "v1.1", 0.1)
                    async with trio.open_nursery() as nursery:
                        for number in range(6):
                            nursery.start_soon(self.check_one_version, fleet, number)

                self.run_fleet(test, nodes=1)

    async def check_one_version(self, fleet: NodeFleet, number: int) -> None:
        answer = await fleet.call(fleet.nodes[0].front, "POST", f"/check/{number}", b"case")
        self.assertLessEqual(len(versions_of(answer.body)), 1, answer.body)


class BrokenRunsTest(FleetTestCase):
    """Runs that upstreams break off, checked with connections to them."""

    async def break_run(self, fleet: NodeFleet, *, restarts: bool = False) -> list[str]:
        """Cut a run off; return the units of work that are reported as crashed then."""
        [upstream] = fleet.upstreams
        upstream.event_interval_ms = 50
        upstream.faults = [UpstreamFault(cut_after=1)]
        fields = {"x-deadline-ms": "1500"}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.call, fleet.nodes[0].front, "POST", "/rights/1", b"a", fields)
            await wait_until(lambda: upstream.running)
            # From here on another process answers, which accepts connections at once.
            upstream.born += restarts
        await trio.sleep(0.7)
        return [run.work_id for report in self.reports_with_runs(fleet) for run in report.runs]

    def reports_with_runs(self, fleet: NodeFleet) -> list[CrashReport]:
        """Return the stored crash reports that name runs."""
        entries = fleet.store.state.page(CRASHES, prefix_end(CRASHES), 100).entries
        return [
            report
            for entry in entries
            for report in msgspec.msgpack.decode(entry.value, type=CrashNews).crashes
            if report.runs
        ]

    def test_a_crash_is_reported_though_the_upstream_is_back_before_the_first_connection(
        self,
    ) -> None:
        async def test(fleet: NodeFleet) -> None:
            work = work_identity("POST", HOST, "/rights/1", "", b"a")
            self.assertEqual(await self.break_run(fleet, restarts=True), [work])

        self.run_fleet(test, versions=("v1",), nodes=1)

    # One crash was reported of two processes, so that an innocent run seemed isolated in it.
    def test_a_crash_is_reported_of_the_process_that_answered(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream] = fleet.upstreams
            upstream.unframed, upstream.event_interval_ms = True, 100.0
            # Its entry names the former process when the call is sent.
            await upstream.restart()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.call, fleet.nodes[0].front, "POST", "/rights/1", b"a")
                await wait_until(lambda: upstream.running)
                await trio.sleep(0.1)
                fleet.register(upstream)
                await trio.sleep(0.2)
                upstream.crash()
            await trio.sleep(0.7)
            [report] = self.reports_with_runs(fleet)
            self.assertEqual(report.upstream_id, f"i-0@{STARTED_MS + 1}")

        self.run_fleet(test, versions=("v1",), nodes=1)

    def test_a_run_that_breaks_off_alone_costs_one_report_where_entries_name_starts(self) -> None:
        for started_ms, asked in ((STARTED_MS, 1), (0, 0)):
            with self.subTest(started_ms=started_ms):

                async def test(fleet: NodeFleet, asked: int = asked) -> None:
                    self.assertEqual(await self.break_run(fleet), [])
                    self.assertEqual(fleet.upstreams[0].reports, asked)

                self.run_fleet(test, versions=("v1",), nodes=1, started_ms=started_ms)


class IdentificationTest(FleetTestCase):
    """The cost of telling processes apart, and what happens where that fails."""

    def test_streams_on_an_open_connection_ask_for_no_further_report(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for number in range(STREAMS):
                answer = await fleet.call(fleet.nodes[0].front, "POST", f"/check/{number}", b"a")
                self.assertEqual((answer.status, answer.complete), (200, True))
            asked = sum(upstream.reports for upstream in fleet.upstreams)
            self.assertLessEqual(asked, len(fleet.upstreams))
            self.assertGreater(asked, 0)

        self.run_fleet(test, nodes=1)

    def test_entries_without_a_start_time_and_calls_of_one_run_ask_for_no_report(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for number in range(8):
                await fleet.call(fleet.nodes[0].front, "POST", f"/check/{number}", b"a")
            self.assertEqual(sum(upstream.reports for upstream in fleet.upstreams), 0)

        async def test_single_run(fleet: NodeFleet) -> None:
            for number in range(8):
                await fleet.call(fleet.nodes[0].front, "POST", f"/rights/{number}", b"a")
                await fleet.call(fleet.nodes[0].front, "GET", f"/safe/{number}")
            self.assertEqual(sum(upstream.reports for upstream in fleet.upstreams), 0)

        self.run_fleet(test, started_ms=0)
        self.run_fleet(test_single_run)

    def test_calls_are_answered_elsewhere_if_an_upstream_gives_no_report(self) -> None:
        faults = (
            UpstreamFault(lose=True),
            UpstreamFault(hang_after=0),
            UpstreamFault(fail_status=500),
        )
        for fault in faults:
            with self.subTest(fault=fault):

                async def test(fleet: NodeFleet, fault: UpstreamFault = fault) -> None:
                    broken, _ = fleet.upstreams
                    broken.report_faults = [fault] * 100
                    for number in range(8):
                        answer = await fleet.call(
                            fleet.nodes[0].front, "POST", f"/check/{number}", b"a"
                        )
                        self.assertEqual((answer.status, answer.complete), (200, True))
                    self.assertEqual(broken.seen, [])

                self.run_fleet(test)

    def test_upstreams_whose_reports_are_slow_serve(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.report_delay_ms = 300
            for number in range(5):
                answer = await fleet.call(fleet.nodes[0].front, "POST", f"/check/{number}", b"a")
                self.assertEqual((answer.status, answer.complete), (200, True))

        self.run_fleet(test, nodes=1)

    def test_a_call_that_only_awaited_a_report_is_answered_as_not_run(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream] = fleet.upstreams
            upstream.report_faults = [UpstreamFault(hang_after=0)] * 100
            headers = {"x-deadline-ms": "300"}
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/check/1", b"a", headers)
            self.assertEqual((answer.status, upstream.seen), (503, []))

        self.run_fleet(test, versions=("v1",), nodes=1)

    def test_a_hung_report_uses_up_no_run_and_little_time(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            hung, cutting, _ = fleet.upstreams
            hung.report_faults = [UpstreamFault(hang_after=0)] * 100
            for number in range(12):
                cutting.faults = [UpstreamFault(cut_after=2)]
                started_s = trio.current_time()
                answer = await fleet.call(fleet.nodes[0].front, "POST", f"/check/{number}", b"a")
                self.assertLess(trio.current_time() - started_s, 2.0)
                self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(hung.seen, [])

        self.run_fleet(test, versions=("v1",) * 3, nodes=1)

    def test_a_sound_answer_is_relayed_while_its_upstream_is_listed_anew(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream] = fleet.upstreams
            upstream.event_interval_ms = 250
            # A stream of one run, and one at an identified process whose old entry comes again.
            await fleet.restart_upstream(upstream, "", 0.15)
            answers = [await fleet.call(fleet.nodes[0].front, "POST", "/rights/1", b"a")]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.register_later, fleet, upstream)
                answers += [await fleet.call(fleet.nodes[0].front, "POST", "/check/1", b"a")]
            self.assertEqual(upstream.runs.total(), 2)
            for answer in answers:
                self.assertEqual((answer.status, answer.complete), (200, True))

        self.run_fleet(test, versions=("v1",), nodes=1)

    async def register_later(self, fleet: NodeFleet, upstream: EventUpstream) -> None:
        await trio.sleep(0.1)
        fleet.register(upstream, born=STARTED_MS)

    def test_an_upstream_whose_report_names_no_start_serves(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream] = fleet.upstreams
            upstream.reports_born = False
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/check/1", b"a")
            self.assertEqual((answer.status, answer.complete), (200, True))

        self.run_fleet(test, versions=("v1",))

    def test_a_restarted_upstream_serves_once_its_entry_is_updated(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream] = fleet.upstreams
            await fleet.call(fleet.nodes[0].front, "POST", "/check/1", b"a")
            await fleet.restart_upstream(upstream, "v1.1", 0.5)
            refused = await fleet.call(
                fleet.nodes[0].front, "POST", "/check/2", b"a", {"x-deadline-ms": "300"}
            )
            self.assertEqual(refused.status, 503)
            fleet.register(upstream)

            # Refused until the record of the service names the new version.
            for _ in range(40):
                answer = await fleet.call(fleet.nodes[0].front, "POST", "/check/3", b"a")
                if answer.status != 503:
                    break
                await trio.sleep(0.05)
            self.assertEqual((answer.status, versions_of(answer.body)), (200, {"v1.1"}))

        self.run_fleet(test, versions=("v1",), nodes=1)


if __name__ == "__main__":
    unittest.main()
