"""Batch jobs through complete nodes: accepted once, run, read, ended, taken over."""

import unittest
from unittest import mock

import eliot
import trio

from fescuedock.address import Address
from fescuedock.node.configuration import NodeConfiguration
from fescuedock.platform.standin.event_upstream import EventUpstream, UpstreamFault
from fescuedock.platform.standin.metadata_store import MetadataStoreService
from fescuedock.standin.kv_faults import CallKind, LostAnswer
from tests.builders.jobs_calls import JOB, job_body, read_page, submit, wanted_text
from tests.builders.net import LOOPBACK
from tests.builders.node import NodeFleet, config_document, running_fleet
from tests.builders.online import wait_until
from tests.builders.standins import run_async


async def read_all(
    fleet: NodeFleet, front: Address, count: int, job_id: str = JOB, after: int = 0
) -> list[dict]:
    """Read a job's results after position ``after`` until there are ``count`` of them."""
    found: list[dict] = []
    while len(found) < count:
        answer = await read_page(fleet, front, job_id, after + len(found), wait_ms=500)
        if answer.status == 503:
            await trio.sleep(0.05)
            continue
        assert answer.status == 200, answer
        page = answer.json()
        assert page["nextToken"] == after + len(found) + len(page["results"])
        found += page["results"]
    return found


class NodeJobsTest(unittest.TestCase):
    def run_fleet(self, test, **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(**options) as fleet:
                    await test(fleet)

        run_async(run)

    def test_an_unframed_answer_without_events_does_not_complete_an_item(self) -> None:
        """Guards against an empty text after the end of a connection, which may be a crash's."""

        async def test(fleet: NodeFleet) -> None:
            [upstream] = fleet.upstreams
            upstream.unframed, upstream.event_count = True, 0
            front = fleet.nodes[0].front
            await submit(fleet, front, "a")
            with trio.move_on_after(3):
                await wait_until(lambda: upstream.runs["a"] >= 2)
            upstream.event_count = 5
            [item] = await read_all(fleet, front, 1)
            self.assertEqual(item["text"], wanted_text("a"))

        self.run_fleet(test, upstreams=1)

    def test_a_job_is_accepted_run_and_read_at_any_node(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first, second = (node.front for node in fleet.nodes)
            self.assertEqual((await submit(fleet, first, "a", "b", "c")).status, 202)
            results = await read_all(fleet, second, 3)
            self.assertEqual({item["id"] for item in results}, {"a", "b", "c"})
            for item in results:
                self.assertEqual(
                    (item["state"], item["text"]), ("completed", wanted_text(item["id"]))
                )
            self.assertEqual(await read_all(fleet, first, 3), results)
            self.assertEqual(await read_all(fleet, second, 1, after=2), results[2:])

        self.run_fleet(test, nodes=2)

    def test_reads_that_find_nothing_new_cost_no_call_of_the_store(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 300.0
            first, second = (node.front for node in fleet.nodes)
            self.assertEqual((await submit(fleet, first, "a", "b")).status, 202)
            await trio.sleep(0.3)
            calls = fleet.store.faults.calls
            before = calls[CallKind.RANGE] + calls[CallKind.GET]
            for _ in range(5):
                for front in (first, second):
                    answer = await read_page(fleet, front)
                    self.assertEqual((answer.status, answer.json()["results"]), (200, []))
            results = await read_all(fleet, second, 2)
            self.assertEqual(await read_all(fleet, first, 2), results)
            self.assertEqual(calls[CallKind.RANGE] + calls[CallKind.GET], before)

        self.run_fleet(test, nodes=2)

    def test_listed_results_are_read_while_the_store_is_unreachable(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first, second = (node.front for node in fleet.nodes)
            self.assertEqual((await submit(fleet, first, "a", "b")).status, 202)
            results = await read_all(fleet, first, 2)
            fleet.store.refuse_status = 503
            await trio.sleep(1.0)
            self.assertEqual(await read_all(fleet, second, 2), results)

        self.run_fleet(test, nodes=2)

    def test_an_owner_with_more_than_fits_leaves_its_readers_to_the_store(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first, second = (node.front for node in fleet.nodes)
            names = [f"item-{number}" for number in range(12)]
            self.assertEqual((await submit(fleet, first, *names)).status, 202)
            await read_all(fleet, first, len(names))
            # If it held part of a group, the second node could not continue at the store.
            self.assertEqual((await read_page(fleet, second)).status, 200)
            fleet.nodes[0].kill()
            with trio.fail_after(10):
                results = await read_all(fleet, second, len(names))
            self.assertEqual({item["id"] for item in results}, set(names))

        with mock.patch("fescuedock.node.owner_reads._MAX_REPLY_BYTES", 300):
            self.run_fleet(test, nodes=2)

    def test_an_interrupted_item_runs_again_when_its_pause_is_over(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream] = fleet.upstreams
            upstream.faults.append(UpstreamFault(cut_after=2))
            front = fleet.nodes[0].front
            self.assertEqual((await submit(fleet, front, "a")).status, 202)
            await read_all(fleet, front, 1)
            first_s, second_s = (at_s for _, at_s in upstream.started)
            # A pause of 25 ms, a permit request and a connection.
            self.assertLess(second_s - first_s, 0.5)

        with mock.patch("fescuedock.node.job_runner._IDLE_POLL_S", 2.0):
            self.run_fleet(test, nodes=1, upstreams=1)

    def test_an_owner_whose_cache_evicted_a_job_confirms_no_results(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first, second = (node.front for node in fleet.nodes)
            fleet.upstreams[0].event_interval_ms = 1.0
            self.assertEqual((await submit(fleet, first, "a", "b", "c")).status, 202)
            await read_all(fleet, first, 3)
            # The cache holds at most one job, so this one evicts the other.
            self.assertEqual((await submit(fleet, first, "d", job_id="other")).status, 202)
            await read_all(fleet, first, 1, job_id="other")
            self.assertEqual(len(await read_all(fleet, second, 3)), 3)
            self.assertEqual(len(await read_all(fleet, first, 3)), 3)

        self.run_fleet(test, nodes=2, job_cache_bytes=1)

    def test_a_submission_whose_client_leaves_is_logged(self) -> None:
        lines: list[dict] = []

        async def test(fleet: NodeFleet) -> None:
            fleet.store.faults.delay_ms = 200.0
            with trio.move_on_after(0.05):
                await submit(fleet, fleet.nodes[0].front, "a", job_id="left-early")
            await trio.sleep(0.3)

        eliot.add_destinations(lines.append)
        try:
            self.run_fleet(test)
        finally:
            eliot.remove_destination(lines.append)
        [line] = [
            line
            for line in lines
            if line["message_type"] == "job_submitted" and line["job_id"] == "left-early"
        ]
        self.assertEqual(line["outcome"], "EXECUTION_UNKNOWN")

    def test_an_owner_without_recent_records_confirms_nothing(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 2000.0
            first, second = (node.front for node in fleet.nodes)
            self.assertEqual((await submit(fleet, first, "a")).status, 202)
            fleet.store.refuse_status = 503
            await trio.sleep(2.0)
            for front in (first, second):
                self.assertEqual((await read_page(fleet, front)).status, 503)

        self.run_fleet(test, nodes=2)

    def test_a_job_submitted_again_is_accepted_once(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for node in fleet.nodes:
                for _ in range(2):
                    self.assertEqual((await submit(fleet, node.front, "a", "b")).status, 202)
            await read_all(fleet, fleet.nodes[1].front, 2)
            self.assertEqual(fleet.upstream_runs("a"), 1)

        self.run_fleet(test, nodes=2)

    def test_another_job_under_the_same_id_is_refused_and_changes_nothing(self) -> None:
        """Guards against reads of never accepted item bodies under an accepted job."""

        async def test(fleet: NodeFleet) -> None:
            first, second = (node.front for node in fleet.nodes)
            self.assertEqual((await submit(fleet, first, "a", "b")).status, 202)
            for front in (first, second):
                for names in (("a", "c"), ("a", "b", "c")):
                    refused = await submit(fleet, front, *names)
                    self.assertEqual((refused.status, refused.json()["error"]["code"]), (409, 3004))
                answer = await fleet.call(front, "GET", f"/api/items/{JOB}?id=b")
                self.assertEqual((answer.status, answer.body), (200, b"b"))
                missing = await fleet.call(front, "GET", f"/api/items/{JOB}?id=c")
                self.assertEqual(missing.status, 404)
            self.assertEqual(len(await read_all(fleet, second, 2)), 2)
            self.assertEqual(fleet.upstream_runs("c"), 0)

        self.run_fleet(test, nodes=2)

    def test_a_lost_answer_of_the_store_accepts_once_too(self) -> None:
        for when in LostAnswer:
            with self.subTest(when=when):

                async def test(fleet: NodeFleet, when=when) -> None:
                    # The writes of leases are over by now, so the next write is the job's.
                    fleet.store.faults.lose_answer(when)
                    answer = await submit(fleet, fleet.nodes[0].front, "a")
                    self.assertEqual(answer.status, 202)
                    [result] = await read_all(fleet, fleet.nodes[0].front, 1)
                    self.assertEqual(result["text"], wanted_text("a"))

                self.run_fleet(test)

    def test_during_an_outage_a_job_is_refused_and_none_of_its_items_runs(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            fleet.store.refuse_status = 503
            await trio.sleep(1.2)
            answer = await submit(fleet, fleet.nodes[0].front, "a")
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["retry-after"]), 0)
            fleet.store.refuse_status = 0
            await trio.sleep(0.5)
            self.assertEqual(fleet.upstream_runs("a"), 0)

        self.run_fleet(test)

    def test_a_node_that_the_store_refuses_has_a_neighbour_accept(self) -> None:
        for silent in (False, True):
            with self.subTest(silent=silent):

                async def test(fleet: NodeFleet, silent=silent) -> None:
                    # The same store at another address, which only the second node uses.
                    endpoint = MetadataStoreService(state=fleet.store.state)
                    await fleet.nursery.start(endpoint.run, LOOPBACK)
                    second = await fleet.start_node(1, store_address=str(endpoint.address))
                    await fleet.wait_ready()
                    if silent:
                        endpoint.faults.silent = True
                    else:
                        endpoint.refuse_status = 429
                    began = trio.current_time()
                    answer = await submit(fleet, second.front, "a", "b")
                    self.assertEqual(answer.status, 202)
                    self.assertLess(trio.current_time() - began, 0.4)
                    results = await read_all(fleet, fleet.nodes[0].front, 2)
                    self.assertEqual({item["id"] for item in results}, {"a", "b"})
                    self.assertEqual(fleet.upstream_runs("a"), 1)

                self.run_fleet(test)

    def test_a_job_of_unknown_outcome_is_answered_without_a_promise(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            fleet.store.faults.silent = True
            headers = {"X-Request-Id": JOB, "X-Deadline-Ms": "600"}
            answer = await fleet.call(
                fleet.nodes[0].front, "POST", "/letters/new", job_body("a"), headers
            )
            self.assertEqual(answer.status, 504)

        self.run_fleet(test)

    def test_impossible_items_are_given_up_and_delay_no_others(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.failing.add("/letters/bad")
                upstream.unprocessable.add("/letters/never")
            await submit(fleet, fleet.nodes[0].front, "bad", "a", "never", "b")
            results = await read_all(fleet, fleet.nodes[0].front, 4)
            states = {item["id"]: item["state"] for item in results}
            self.assertEqual(
                states,
                {"a": "completed", "b": "completed", "bad": "dead_letter", "never": "dead_letter"},
            )
            self.assertEqual(fleet.upstream_runs("bad"), 3)
            self.assertEqual(fleet.upstream_runs("never"), 1)

        self.run_fleet(test)

    def test_an_item_resumes_after_its_last_event_when_a_run_is_interrupted(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.faults.append(UpstreamFault(cut_after=3))
            await submit(fleet, fleet.nodes[0].front, "a")
            [result] = await read_all(fleet, fleet.nodes[0].front, 1)
            self.assertEqual(result["text"], wanted_text("a"))

        self.run_fleet(test)

    def test_an_ended_job_starts_no_more_items_and_can_be_ended_again(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 100.0
            first, second = (node.front for node in fleet.nodes)
            names = [f"item-{number}" for number in range(30)]
            await submit(fleet, first, *names)
            await trio.sleep(0.3)
            for front in (second, first, second):
                ended = await fleet.call(front, "DELETE", f"/api/lots/{JOB}")
                self.assertEqual(ended.status, 200)
            await trio.sleep(0.6)
            begun = sum(upstream.runs.total() for upstream in fleet.upstreams)
            await trio.sleep(0.8)
            self.assertEqual(sum(item.runs.total() for item in fleet.upstreams), begun)
            self.assertLess(begun, len(names))

        self.run_fleet(test, nodes=2)

    def test_bodies_of_items_are_returned(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first, second = (node.front for node in fleet.nodes)
            await submit(fleet, first, "a", "b")
            answer = await fleet.call(second, "GET", f"/api/items/{JOB}?id=b")
            self.assertEqual((answer.status, answer.body), (200, b"b"))
            self.assertEqual(
                (await fleet.call(second, "GET", f"/api/items/{JOB}?id=x")).status, 404
            )

        self.run_fleet(test, nodes=2)

    def test_a_missing_job_is_not_found_and_an_unreadable_one_is_unavailable(
        self,
    ) -> None:
        async def test(fleet: NodeFleet) -> None:
            front = fleet.nodes[0].front
            for method, target in (("GET", "/api/lots/none?after=0"), ("DELETE", "/api/lots/none")):
                self.assertEqual((await fleet.call(front, method, target)).status, 404)
            fleet.store.refuse_status = 503
            self.assertEqual((await fleet.call(front, "GET", "/api/lots/none?after=0")).status, 503)

        self.run_fleet(test)

    def test_bad_jobs_and_bad_reads_are_refused_by_number(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            front = fleet.nodes[0].front
            for body in (
                b"{",
                b'{"items":[]}',
                job_body("a", "a"),
                job_body(*map(str, range(201))),
            ):
                with self.subTest(body=body[:20]):
                    answer = await fleet.call(front, "POST", "/letters/new", body)
                    self.assertEqual(answer.status, 400)
                    self.assertEqual(answer.json()["error"]["code"], 1000)
            bad = await fleet.call(front, "GET", f"/api/lots/{JOB}?after=x")
            self.assertEqual(bad.status, 400)

        self.run_fleet(test)

    def test_jobs_of_a_killed_node_are_taken_over_and_keep_their_positions(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 30.0
            first, second = fleet.nodes
            names = [f"item-{number}" for number in range(24)]
            await submit(fleet, first.front, *names)
            early = await read_all(fleet, second.front, 4)
            first.kill()
            results = await read_all(fleet, second.front, len(names))
            self.assertEqual(results[: len(early)], early)
            self.assertEqual(sorted(item["id"] for item in results), sorted(names))
            for item in results:
                self.assertEqual(item["text"], wanted_text(item["id"]))

        self.run_fleet(test, nodes=2)

    def test_a_stopping_node_transfers_its_jobs_with_their_progress(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.event_count, upstream.event_interval_ms = 40, 25.0
            first, second = fleet.nodes
            await submit(fleet, first.front, "a", "b")
            await trio.sleep(0.5)
            first.stop.request()
            results = await read_all(fleet, second.front, 2)
            for item in results:
                self.assertEqual(item["text"], wanted_text(item["id"], 40))
            seen = [found for item in fleet.upstreams for found in item.seen]
            resumed = [int(found["last-event-id"]) for found in seen if "last-event-id" in found]
            self.assertEqual(len(resumed), 2)
            self.assertGreater(min(resumed), 3)

        self.run_fleet(test, nodes=2)

    def test_a_restarted_node_continues_its_own_jobs(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            slow(fleet.upstreams)
            [node] = fleet.nodes
            await submit(fleet, node.front, "a", "b", "c")
            await trio.sleep(0.2)
            node.kill()
            again = await fleet.restart(node)
            results = await read_all(fleet, again.front, 3)
            self.assertEqual({item["text"] for item in results}, set(map(wanted_text, "abc")))

        self.run_fleet(test)

    def test_a_node_without_configuration_gives_up_no_items(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [node] = fleet.nodes
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 300.0
            await submit(fleet, node.front, "a", "b")
            await trio.sleep(0.2)
            node.kill()
            with mock.patch.object(NodeConfiguration, "refresh", return_value=False):
                again = await fleet.restart(node)
                # Longer than it takes until a missing route counts as removed.
                await trio.sleep(3.5)
            fleet.configure(config_document(version=2))
            results = await read_all(fleet, again.front, 2)
            self.assertEqual({item["state"] for item in results}, {"completed"})

        self.run_fleet(test)

    def test_results_are_listed_once_after_an_outage(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            slow(fleet.upstreams)
            front = fleet.nodes[0].front
            await submit(fleet, front, "a", "b", "c")
            fleet.store.refuse_status = 503
            await trio.sleep(1.0)
            fleet.store.refuse_status = 0
            results = await read_all(fleet, front, 3)
            self.assertEqual(sorted(item["id"] for item in results), ["a", "b", "c"])

        self.run_fleet(test)


def slow(upstreams: list[EventUpstream]) -> None:
    for upstream in upstreams:
        upstream.event_interval_ms = 50.0


if __name__ == "__main__":
    unittest.main()
