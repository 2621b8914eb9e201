"""An item's text is of one software version, however often and wherever it runs again."""

import unittest

import trio

from fescuedock.core.forwarding.event_stream import EventSplitter
from fescuedock.core.stored_jobs.job import StoredJob
from fescuedock.core.stored_jobs.pool import ItemPool, UpstreamVersions
from fescuedock.platform.standin.event_upstream import UpstreamFault, event_bytes, versions_in
from fescuedock.schema.stored_jobs import StoredItem, StoredJobRecord
from tests.builders.jobs_calls import JOB, read_page, submit
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.online import wait_until
from tests.builders.standins import run_async

NAMES = tuple(f"letter-{number}" for number in range(8))
EVENTS = 5
BOTH = frozenset(("v1", "v1.1"))


def events_of(first: int, count: int, version: str) -> list:
    data = b"".join(event_bytes(number, "/x", 1, version) for number in range(first, count))
    return EventSplitter().feed(data)


def new_job(*names: str) -> StoredJob:
    record = StoredJobRecord("job", "desk.example", "/letters/new", 0, 18_000, 60_000, len(names))
    items = [StoredItem(name, f"/letters/{name}", [], b"x", 1) for name in names]
    return StoredJob(record, items, [], due_ms=18_000, give_up_ms=60_000)


class ItemVersionsTest(unittest.TestCase):
    def run_fleet(self, test, **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                async with running_fleet(**options) as fleet:
                    await test(fleet)

        run_async(run)

    async def results_of(self, fleet: NodeFleet, front) -> dict[str, str]:
        while True:
            answer = await read_page(fleet, front, wait_ms=200)
            page = answer.json() if answer.status == 200 else {"results": []}
            if len(page["results"]) == len(NAMES):
                return {item["id"]: item["text"] for item in page["results"]}
            await trio.sleep(0.05)

    def check(self, results: dict[str, str]) -> None:
        for name, text in results.items():
            lines = text.split("\n")
            self.assertEqual(len(versions_in(lines)), 1, text)
            self.assertEqual([line.split()[2] for line in lines], list("01234"), name)

    def test_an_item_that_was_cut_has_no_text_of_another_version(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 20
                upstream.faults = [UpstreamFault(cut_after=2) for _ in range(8)]
            await submit(fleet, fleet.nodes[0].front, *NAMES)
            self.check(await self.results_of(fleet, fleet.nodes[0].front))

        self.run_fleet(test, versions=("v1", "v1.1"))

    def test_an_item_begins_anew_where_its_version_has_gone_with_the_node_that_ran_it(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            old, *_ = fleet.upstreams
            old.event_interval_ms = 150
            await submit(fleet, fleet.nodes[0].front, *NAMES)
            await wait_until(lambda: old.running == 4)
            progress = f"fescuedock/data/{JOB}/progress"
            await wait_until(lambda: fleet.store.state.get(progress) is not None)
            await fleet.start_upstream("i-new", version="v1.1", event_interval_ms=1)
            fleet.store.state.delete(f"servers/{old.upstream_id}")
            fleet.nodes[0].kill()
            self.check(await self.results_of(fleet, fleet.nodes[1].front))

        options = {"progress_interval_ms": 100, "progress_events": 1}
        self.run_fleet(test, nodes=2, versions=("v1",), **options)


class ItemChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.job = new_job("begun", "fresh")
        self.pool = ItemPool(lambda: [self.job], lambda _record, _service: True)
        [self.begun, self.fresh] = self.job.ready_items(0.0)
        self.begun.add_events(events_of(0, 100, "v1"), "v1")
        self.begun.ended_ms = 1000.0

    def choose(self, version: str, served: frozenset[str], at_ms: float):
        choice = self.pool.choose("i", "s", at_ms, versions=UpstreamVersions(version, served))
        return None if choice is None else choice.run

    def test_begun_items_go_on_at_their_version_and_others_begin_elsewhere(self) -> None:
        self.assertIs(self.choose("v1", BOTH, 1100.0), self.begun)
        self.assertIs(self.choose("v1.1", BOTH, 1100.0), self.fresh)

    def test_an_item_waits_for_its_version_as_long_as_its_events_took(self) -> None:
        self.fresh.running = True
        self.assertIsNone(self.choose("v1.1", BOTH, 1100.0))
        self.assertIs(self.choose("v1.1", BOTH, 1000.0 + 100 * 20.0), self.begun)

    def test_an_item_does_not_wait_for_a_version_that_is_not_served(self) -> None:
        self.fresh.running = True
        self.assertIs(self.choose("v1.1", frozenset(("v1.1",)), 1001.0), self.begun)

    def test_an_item_whose_version_has_gone_keeps_its_place_among_others(self) -> None:
        """Guards against an item that came after all that came later, for ever."""
        self.job.due_ms = 60_000.0
        younger = new_job("younger")
        younger.due_ms = 90_000.0
        self.fresh.running = True
        self.pool = ItemPool(lambda: [younger, self.job], lambda _record, _service: True)
        self.assertIs(self.choose("v1.1", frozenset(("v1.1",)), 1100.0), self.begun)

    def test_what_begins_anew_has_all_of_its_run_left(self) -> None:
        left_ms = [
            self.pool.choose(
                "i", "s", 9000.0, versions=UpstreamVersions(version, frozenset((version,)))
            ).left_ms
            for version in ("v1", "v1.1")
        ]
        self.fresh.running = True
        anew = self.pool.choose(
            "i", "s", 9000.0, versions=UpstreamVersions("v1.1", frozenset(("v1.1",)))
        )
        self.assertGreater(anew.left_ms, left_ms[0])

    def test_events_of_another_version_take_the_place_of_those_before(self) -> None:
        self.assertEqual(self.begun.resume_after("v1.1"), -1)
        self.assertEqual(self.begun.resume_after("v1"), 99)
        self.assertTrue(self.begun.add_events(events_of(0, 2, "v1.1"), "v1.1"))
        self.assertEqual(versions_in(self.begun.texts), {"v1.1"})
        self.assertEqual((self.begun.last_event, len(self.begun.texts)), (1, 2))

    def test_progress_names_the_version_that_wrote_it(self) -> None:
        other = new_job("begun", "fresh")
        other.resume(self.job.progress())
        [begun, _] = other.ready_items(0.0)
        self.assertEqual((begun.software_version, begun.resume_after("v1.1")), ("v1", -1))


if __name__ == "__main__":
    unittest.main()
