"""Calls that crash each upstream that starts them, and are retried at any node."""

import itertools
import unittest

import trio
from msgspec import msgpack
from msgspec.structs import fields

from fescuedock.core.quarantine import QuarantinePolicy
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.core.work_identity import work_identity
from fescuedock.platform.standin.event_upstream import UpstreamFault
from fescuedock.schema.crashes import CrashedRun, CrashNews, CrashReport
from fescuedock.schema.settings import NodeSettings
from tests.builders.jobs_calls import read_page, submit
from tests.builders.node import HOST, Answer, NodeFleet, running_fleet
from tests.builders.online import wait_until
from tests.builders.standins import run_async

HARMFUL = "/rights/harmful"
# Three crashes restrict a unit of work.
MAX_CRASHES = 3
# Pause between the tries of a client, long enough for nodes to exchange crash reports.
PAUSE_S = 0.4
KEYS = JobKeys(next(field.default for field in fields(NodeSettings) if field.name == "key_prefix"))


def crash_count(fleet: NodeFleet) -> int:
    return sum(len(upstream.crashes) for upstream in fleet.upstreams)


def stored_crash_news(fleet: NodeFleet) -> list[CrashNews]:
    """Return the crash reports that nodes have written to the store."""
    entries = fleet.store.state.page("", None, 10_000).entries
    found = [entry.value for entry in entries if entry.key.startswith(KEYS.crashes)]
    return [msgpack.decode(value, type=CrashNews) for value in found]


def stored_reports(fleet: NodeFleet) -> list[CrashReport]:
    return [report for news in stored_crash_news(fleet) for report in news.crashes]


class HarmfulCallsTest(unittest.TestCase):
    """Guards against one request that ends an upstream with each retry of its client.

    A call to a stream route crashed the upstream that started it, with all runs there.  The client
    retried it as a new call at another node, which knew nothing of the crash and sent it to another
    upstream: twelve ended on one day.  Only the path and the body identify such retries, and a
    restriction must outlive its call.
    """

    def run_fleet(self, test, **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(**options) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.harmful.add(HARMFUL)
                    await test(fleet)

        run_async(run)

    async def send_harmful(self, fleet: NodeFleet, number: int) -> Answer | None:
        """Make one try of the harmful call; None when its connection was lost before an answer."""
        node = fleet.nodes[number % len(fleet.nodes)]
        headers = {"X-Request-Id": f"try-{number}", "X-Deadline-Ms": "3000"}
        return await fleet.call(node.front, "POST", HARMFUL, b"case", headers)

    async def send_to_all(self, fleet: NodeFleet, first: int) -> list[Answer]:
        """Make one try at each node at the same time."""
        answers: list[Answer] = []

        async def send_one(number: int) -> None:
            answers.append(await self.send_harmful(fleet, number))

        async with trio.open_nursery() as nursery:
            for number in range(len(fleet.nodes)):
                nursery.start_soon(send_one, first + number)
        return answers

    async def send_until_refused(self, fleet: NodeFleet) -> None:
        for number in range(20):
            answer = await self.send_harmful(fleet, number)
            if answer.status == 503 and b"WORK_HARMFUL" in answer.body:
                return
            await trio.sleep(PAUSE_S)
        self.fail("it was never refused")

    def test_a_call_retried_at_any_node_ends_at_most_three_upstreams(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for number in range(8):
                answer = await self.send_harmful(fleet, number)
                self.assertNotEqual(answer.status, 200)
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(crash_count(fleet), MAX_CRASHES)
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/rights/other", b"case")
            self.assertEqual((answer.status, answer.complete), (200, True))

        self.run_fleet(test, nodes=3, upstreams=4)

    def test_concurrent_tries_end_at_most_one_more_upstream(self) -> None:
        """Tries started before the call is suspected cannot be stopped; then it runs isolated."""

        async def test(fleet: NodeFleet) -> None:
            before_suspected = 0
            while before_suspected < 2:
                await self.send_to_all(fleet, 3 * crash_count(fleet))
                await trio.sleep(PAUSE_S)
                # A single crash raises no suspicion, so the next round runs like the first.
                before_suspected = crash_count(fleet)
            for number in range(5):
                await self.send_to_all(fleet, 100 + 3 * number)
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(crash_count(fleet), before_suspected + 1)

        self.run_fleet(test, nodes=3, upstreams=6)

    def test_restrictions_outlive_all_nodes(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await self.send_until_refused(fleet)
            before = crash_count(fleet)
            for node in fleet.nodes:
                node.kill()
            for node in list(fleet.nodes):
                await fleet.restart(node)
            await fleet.wait_ready()
            for answer in await self.send_to_all(fleet, 100):
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.headers["retry-after"]), 60.0)
            self.assertEqual(crash_count(fleet), before)

        self.run_fleet(test, nodes=3, upstreams=4)

    def test_restrictions_spread_during_an_outage_and_are_stored_later(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            fleet.store.refuse_status = 503
            for number in range(8):
                await self.send_harmful(fleet, number)
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(crash_count(fleet), MAX_CRASHES)
            fleet.store.refuse_status = 0
            with trio.fail_after(5):
                await wait_until(lambda: len(stored_reports(fleet)) >= MAX_CRASHES)

        self.run_fleet(test, nodes=3, upstreams=6)

    def test_an_innocent_call_that_ran_beside_ten_crashes_is_served(self) -> None:
        """Each crash has another cause, and only the innocent call is common to all of them."""

        async def test(fleet: NodeFleet) -> None:
            first, second = fleet.nodes
            innocent = work_identity("POST", HOST, "/rights/innocent", "", b"case")
            for number in range(10):
                runs = [CrashedRun(innocent), CrashedRun(f"cause-{number}")]
                report = CrashReport(f"report-{number}", f"i-gone-{number}", 0, runs)
                key = f"{KEYS.crashes}{report.report_id}"
                fleet.store.state.put(key, msgpack.encode(CrashNews(crashes=[report])))
            await trio.sleep(0.6)
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 30.0
            async with trio.open_nursery() as nursery:
                for number in range(6):
                    path = f"/check/{number}"
                    nursery.start_soon(fleet.call, first.front, "POST", path, b"other")
                await trio.sleep(0.05)
                answer = await fleet.call(second.front, "POST", "/rights/innocent", b"case")
            self.assertEqual((answer.status, answer.complete), (200, True))
            # A completed run clears it for good.
            with trio.fail_after(3):
                await wait_until(lambda: any(news.cleared for news in stored_crash_news(fleet)))

        self.run_fleet(test, nodes=2, upstreams=2)

    def test_a_call_whose_client_leaves_before_the_crash_is_still_found(self) -> None:
        """An abandoned run continues at its upstream for a while, and no node sees its end."""

        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.crash_after_ms = 120.0
                upstream.crashes_without_caller = True
            for number in range(8):
                with trio.move_on_after(0.08):
                    await self.send_harmful(fleet, number)
                # Other calls find the upstream gone, and report it to its owner.
                await trio.sleep(0.1)
                for node in fleet.nodes:
                    headers = {"X-Deadline-Ms": "200"}
                    await fleet.call(node.front, "POST", f"/check/{number}", b"other", headers)
                await wait_until(lambda: fleet.upstreams[0].listener.is_up)
                await trio.sleep(PAUSE_S)
            self.assertLessEqual(crash_count(fleet), MAX_CRASHES)

        self.run_fleet(test, nodes=2, upstreams=1)

    def test_answers_cut_off_by_live_upstreams_count_for_nothing(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [node] = fleet.nodes
            for _ in range(4):
                for upstream in fleet.upstreams:
                    upstream.faults = [UpstreamFault(cut_after=1)]
                answer = await fleet.call(node.front, "POST", "/rights/1", b"case")
                self.assertFalse(answer.complete)
            for upstream in fleet.upstreams:
                upstream.faults.clear()
            answer = await fleet.call(node.front, "POST", "/rights/1", b"case")
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(stored_crash_news(fleet), [])

        self.run_fleet(test)


class HarmfulItemsTest(unittest.TestCase):
    """Guards against items that crash one upstream after the other at once.

    Such a run counted as interrupted, which does not count against an item, so it started again
    elsewhere within 0.2 s, for the entire retention of its job.
    """

    def test_an_item_under_which_upstreams_crash_runs_isolated_and_rarely(self) -> None:
        async def test() -> None:
            with trio.fail_after(30):
                async with running_fleet(nodes=2, upstreams=4) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.harmful.add("/letters/harmful")
                    names = ("a", "harmful", "b", "c")
                    front = fleet.nodes[0].front
                    self.assertEqual((await submit(fleet, front, *names)).status, 202)
                    done: set[str] = set()
                    while len(done) < 3:
                        page = (await read_page(fleet, front, wait_ms=500)).json()
                        done = {item["id"] for item in page["results"]}
                    self.assertEqual(done, {"a", "b", "c"})
                    await trio.sleep(4.0)
                    await wait_until(lambda: crash_count(fleet) > MAX_CRASHES)
                    crashes = sorted(
                        (crash for item in fleet.upstreams for crash in item.crashes),
                        key=lambda crash: crash.at_s,
                    )
                    self.assertEqual({item.request_ids for item in crashes[2:]}, {("harmful",)})
                    pauses_s = [ms / 1000 for ms in QuarantinePolicy().owed_retry_pauses_ms]
                    for number, (former, later) in enumerate(itertools.pairwise(crashes[2:])):
                        pause_s = pauses_s[min(number, len(pauses_s) - 1)]
                        self.assertGreaterEqual(later.at_s - former.at_s, pause_s)
                    # A sound item is listed once upstreams do not crash any more.
                    for upstream in fleet.upstreams:
                        upstream.harmful.clear()
                    with trio.fail_after(18):
                        while len(done) < 4:
                            page = (await read_page(fleet, front, after=3, wait_ms=500)).json()
                            done |= {item["id"] for item in page["results"]}
                    self.assertIn("harmful", done)

        run_async(test)

    def test_a_restriction_of_an_item_applies_to_the_same_call(self) -> None:
        async def test() -> None:
            with trio.fail_after(30):
                async with running_fleet(nodes=2, upstreams=4) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.harmful.add("/letters/harmful")
                    await submit(fleet, fleet.nodes[0].front, "harmful")
                    work_id = work_identity("POST", HOST, "/letters/harmful", "", b"harmful")
                    await wait_until(lambda: crash_count(fleet) >= MAX_CRASHES)
                    await trio.sleep(1.0)
                    reports = stored_reports(fleet)
                    works = {run.work_id for report in reports for run in report.runs}
                    self.assertEqual(works, {work_id})

        run_async(test)


if __name__ == "__main__":
    unittest.main()
