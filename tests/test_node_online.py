"""Online calls through complete nodes: relayed unchanged, resumed, refused, never run twice."""

import json
import unittest

import eliot
import trio

from fescuedock.platform.standin.event_upstream import UpstreamFault, event_bytes
from tests.builders.node import (
    SLOTS,
    NodeFleet,
    config_document,
    running_fleet,
    worker_entry,
)
from tests.builders.online import long_permit_timeout, wait_until
from tests.builders.standins import run_async


def full_stream(path: str, body: bytes, count: int = 5) -> bytes:
    return b"".join(event_bytes(number, path, len(body)) for number in range(count))


class NodeOnlineTest(unittest.TestCase):
    def run_fleet(self, test, **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                async with running_fleet(**options) as fleet:
                    await test(fleet)

        run_async(run)

    def test_a_stream_is_relayed_with_its_seal(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            headers = {"X-Request-Id": "r-one", "X-Model": "m", "X-Deadline-Ms": "3000"}
            answer = await fleet.call(
                fleet.nodes[0].front, "POST", "/check/7?x=1", b"case", headers
            )
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.body, full_stream("/check/7", b"case"))
            self.assertRegex(answer.headers["x-response-seal"], r"seal\.i-\d\.r-one")
            [seen] = [found for item in fleet.upstreams for found in item.seen]
            self.assertEqual((seen["x-model"], seen["host"]), ("m", "desk.example"))
            self.assertLessEqual(int(seen["x-deadline-ms"]), 3000)

        self.run_fleet(test)

    def test_a_resumable_stream_continues_elsewhere_after_its_last_complete_event(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.faults.append(UpstreamFault(cut_after=3))
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/check/7", b"case")
            # Both upstreams cut off their first run, and the route allows only two runs.
            self.assertFalse(answer.complete)
            for upstream in fleet.upstreams:
                upstream.faults.clear()
            fleet.upstreams[0].faults.append(UpstreamFault(cut_after=3))
            fleet.upstreams[1].faults.append(UpstreamFault())
            for _ in range(4):
                answer = await fleet.call(fleet.nodes[0].front, "POST", "/check/8", b"case")
                self.assertEqual(answer.body, full_stream("/check/8", b"case"))
                self.assertTrue(answer.complete)

        self.run_fleet(test)

    def test_a_restarted_upstream_is_not_treated_as_its_former_incarnation(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream], [node] = fleet.upstreams, fleet.nodes
            fleet.register(upstream, born=1_000)
            await trio.sleep(0.5)
            upstream.faults += [UpstreamFault(hang_after=2) for _ in range(SLOTS)]
            async with trio.open_nursery() as nursery:
                for number in range(SLOTS):
                    nursery.start_soon(fleet.call, node.front, "POST", f"/check/{number}", b"a")
                await wait_until(lambda: upstream.running == SLOTS)
                fleet.register(upstream, born=2_000)
                with trio.fail_after(0.7):
                    answer = await fleet.call(node.front, "POST", "/check/9", b"case")
                self.assertEqual(answer.body, full_stream("/check/9", b"case"))
                nursery.cancel_scope.cancel()

        with long_permit_timeout():
            self.run_fleet(test, upstreams=1)

    def test_an_unreadable_entry_does_not_affect_the_others(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            odd = (b"\xff\x00", b"{}", json.dumps(worker_entry("x", state="resting")).encode())
            for number, value in enumerate(odd):
                fleet.store.state.put(f"servers/odd-{number}", value)
            await trio.sleep(0.5)
            for number in range(8):
                answer = await fleet.call(fleet.nodes[0].front, "POST", f"/check/{number}", b"a")
                self.assertEqual(answer.status, 200)
            self.assertEqual(sum(len(item.seen) for item in fleet.upstreams), 8)

        self.run_fleet(test)

    def test_a_stream_that_may_run_once_is_cut_off_visibly_and_runs_once(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.faults.append(UpstreamFault(cut_after=2))
            headers = {"X-Request-Id": "r-once"}
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/rights/1", b"case", headers)
            self.assertFalse(answer.complete)
            self.assertEqual(fleet.upstream_runs("r-once"), 1)

        self.run_fleet(test)

    def test_a_lost_answer_of_a_call_that_may_run_once_leaves_the_outcome_open(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.faults.append(UpstreamFault(lose=True))
            headers = {"X-Request-Id": "r-lost"}
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/rights/1", b"case", headers)
            self.assertIn(answer.status, (502, 504))
            self.assertNotIn("x-response-seal", answer.headers)
            self.assertEqual(fleet.upstream_runs("r-lost"), 1)

        self.run_fleet(test)

    def test_a_success_without_a_seal_is_not_relayed(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.faults.append(UpstreamFault(unsealed=True))
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/rights/1", b"case")
            self.assertEqual(answer.status, 502)
            self.assertNotIn(b"word", answer.body)

        self.run_fleet(test)

    def test_a_rejected_call_is_tried_elsewhere_though_it_may_run_once(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.faults.append(UpstreamFault(reject=1))
            headers = {"X-Request-Id": "r-rejected"}
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/rights/1", b"case", headers)
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(fleet.upstream_runs("r-rejected"), 1)

        self.run_fleet(test)

    def test_an_upstream_failure_is_relayed_unchanged(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.failing.add("/rights/1")
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/rights/1", b"case")
            self.assertEqual((answer.status, answer.body), (500, b"it failed"))
            self.assertIn("x-response-seal", answer.headers)

        self.run_fleet(test)

    def test_the_connection_stays_open_after_a_relayed_failure(self) -> None:
        lines: list[dict] = []

        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.failing.add("/rights/1")
            front = fleet.nodes[0].front
            head = b"POST %b HTTP/1.1\r\nhost: desk.example\r\nx-request-id: %b\r\n"
            stream = await trio.open_tcp_stream(front.host, front.port)
            answers = b""
            for path, request_id in ((b"/rights/1", b"failing"), (b"/rights/2", b"sound")):
                await stream.send_all(head % (path, request_id) + b"content-length: 0\r\n\r\n")
                await trio.sleep(0.3)
                answers += await stream.receive_some(65536)
            self.assertEqual(answers.count(b"HTTP/1.1 500"), 1)
            self.assertEqual(answers.count(b"HTTP/1.1 200"), 1)
            await stream.aclose()

        eliot.add_destinations(lines.append)
        try:
            self.run_fleet(test)
        finally:
            eliot.remove_destination(lines.append)
        # The first destination also gets what was logged before it.
        ours = [line for line in lines if line.get("request_id") in ("failing", "sound")]
        self.assertNotIn("call_given_up", [line["message_type"] for line in ours])
        [passed_on] = [line for line in ours if line["message_type"] == "call_failure_passed_on"]
        self.assertEqual((passed_on["request_id"], passed_on["status"]), ("failing", 500))

    def test_a_long_answer_that_is_cut_off_is_not_run_again(self) -> None:
        """The client has received part of the answer, which no other run can continue."""

        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.event_count, upstream.event_interval_ms = 300, 0.0
                # Events of 5 KB: 250 of them exceed the buffer.
                upstream.faults.append(UpstreamFault(cut_after=250))
            headers = {"X-Request-Id": "r-long"}
            target = "/safe/" + "x" * 5000
            answer = await fleet.call(fleet.nodes[0].front, "GET", target, headers=headers)
            self.assertEqual((answer.status, answer.complete), (200, False))
            self.assertEqual(fleet.upstream_runs("r-long"), 1)

        self.run_fleet(test)

    def test_a_call_moves_from_a_silent_upstream_to_another_one(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            fleet.upstreams[0].faults += [UpstreamFault(hang_after=2)] * 3
            for number in range(6):
                answer = await fleet.call(fleet.nodes[0].front, "POST", f"/check/{number}", b"case")
                self.assertEqual(answer.body, full_stream(f"/check/{number}", b"case"))

        self.run_fleet(test)

    def test_an_upstream_stops_soon_after_the_client_has_left(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.faults.append(UpstreamFault(hang_after=2))
            with trio.move_on_after(0.3):
                await fleet.call(fleet.nodes[0].front, "POST", "/rights/1", b"case")
            await trio.sleep(0.4)
            self.assertEqual(sum(upstream.running for upstream in fleet.upstreams), 0)

        self.run_fleet(test)

    def test_a_call_that_waits_for_a_slot_is_not_sent_once_its_client_has_left(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream], [node] = fleet.upstreams, fleet.nodes
            async with trio.open_nursery() as nursery:
                await self.fill_slots(fleet, nursery)
                with trio.move_on_after(0.3):
                    headers = {"X-Request-Id": "r-left"}
                    await fleet.call(node.front, "POST", "/check/9", b"a", headers)
                self.assertEqual(upstream.running, SLOTS)
            # All slots are free by now, and no other call requests one.
            await trio.sleep(0.3)
            self.assertEqual(fleet.upstream_runs("r-left"), 0)
            self.assertEqual((await fleet.call(node.front, "POST", "/check/9", b"a")).status, 200)

        with long_permit_timeout():
            self.run_fleet(test, upstreams=1)

    def test_a_call_that_waits_for_a_slot_goes_elsewhere_when_the_upstream_leaves(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream], [node] = fleet.upstreams, fleet.nodes
            answers: list[int] = []

            async def call() -> None:
                headers = {"X-Request-Id": "r-waits"}
                answer = await fleet.call(node.front, "POST", "/check/9", b"a", headers)
                answers.append(answer.status)

            async with trio.open_nursery() as nursery:
                await self.fill_slots(fleet, nursery)
                nursery.start_soon(call)
                await trio.sleep(0.1)
                other = await fleet.start_upstream("i-other")
                fleet.register(upstream, state="draining")
            self.assertEqual(answers, [200])
            self.assertEqual((upstream.runs["r-waits"], other.runs["r-waits"]), (0, 1))

        with long_permit_timeout():
            self.run_fleet(test, upstreams=1)

    async def fill_slots(self, fleet: NodeFleet, nursery: trio.Nursery) -> None:
        """Occupy every slot of the only upstream for two seconds."""
        [upstream], [node] = fleet.upstreams, fleet.nodes
        upstream.event_interval_ms = 400.0
        for number in range(SLOTS):
            nursery.start_soon(fleet.call, node.front, "POST", f"/check/{number}", b"a")
        await wait_until(lambda: upstream.running == SLOTS)

    def test_a_call_is_ended_at_its_route_s_timeout(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            document = config_document(2)
            for item in document["routes"]:
                item["timeoutMs"] = 300
            fleet.configure(document)
            await trio.sleep(0.3)
            for upstream in fleet.upstreams:
                upstream.faults.append(UpstreamFault(hang_after=0))
            began = trio.current_time()
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/rights/1", b"case")
            self.assertTrue(answer.status == 504 or not answer.complete)
            self.assertLess(trio.current_time() - began, 0.7)

        self.run_fleet(test)

    def test_a_chunked_body_reaches_the_upstream_completely(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            front = fleet.nodes[0].front
            async with await trio.open_tcp_stream(front.host, front.port) as stream:
                head = b"POST /check/1 HTTP/1.1\r\nhost: desk.example\r\nx-request-id: r-chunks\r\n"
                await stream.send_all(
                    head + b"transfer-encoding: chunked\r\nconnection: close\r\n\r\n"
                )
                for part in (b"5\r\nfirst\r\n", b"6\r\nsecond\r\n", b"0\r\n\r\n"):
                    await stream.send_all(part)
                    await trio.sleep(0.01)
                answer = b""
                while data := await stream.receive_some(65536):
                    answer += data
            self.assertIn(event_bytes(4, "/check/1", len(b"firstsecond")), answer)
            self.assertTrue(answer.endswith(b"0\r\n\r\n"))
            [seen] = [found for item in fleet.upstreams for found in item.seen]
            self.assertEqual(seen["content-length"], "11")

        self.run_fleet(test)

    def test_a_request_hidden_in_another_one_does_not_run(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            front = fleet.nodes[0].front
            hidden = b"POST /rights/9 HTTP/1.1\r\nhost: desk.example\r\nx-request-id: hid\r\n\r\n"
            head = b"POST /check/1 HTTP/1.1\r\nhost: desk.example\r\nx-request-id: r\r\n"
            both = b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            async with await trio.open_tcp_stream(front.host, front.port) as stream:
                await stream.send_all(head + both + hidden)
                with trio.move_on_after(1.0):
                    while await stream.receive_some(65536):
                        pass
            self.assertEqual(fleet.upstream_runs("hid"), 0)

        self.run_fleet(test)

    def test_calls_without_a_route_and_too_long_bodies_are_refused(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            front = fleet.nodes[0].front
            self.assertEqual((await fleet.call(front, "POST", "/none/1")).status, 404)
            long = await fleet.call(front, "POST", "/check/1", bytes(200_000))
            self.assertEqual(long.status, 413)

        self.run_fleet(test)

    def test_without_upstreams_a_call_is_refused_at_once_with_a_retry_time(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                fleet.register(upstream, state="draining")
            await trio.sleep(0.5)
            began = trio.current_time()
            answer = await fleet.call(fleet.nodes[0].front, "POST", "/check/1", b"case")
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["retry-after"]), 0)
            self.assertLess(trio.current_time() - began, 0.5)

        self.run_fleet(test)

    def test_a_leaving_upstream_gets_no_more_calls(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            fleet.register(fleet.upstreams[0], state="draining")
            await trio.sleep(0.5)
            before = fleet.upstreams[0].runs.total()
            for number in range(6):
                await fleet.call(fleet.nodes[0].front, "POST", f"/check/{number}", b"case")
            self.assertEqual(fleet.upstreams[0].runs.total(), before)

        self.run_fleet(test)

    def test_a_stopping_node_withdraws_first_and_serves_to_the_end(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            leaving, staying = fleet.nodes
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 100.0
            answers = []

            async def call() -> None:
                answers.append(await fleet.call(leaving.front, "POST", "/rights/1", b"case"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(0.1)
                leaving.stop.request()
                await trio.sleep(0.05)
                ready = await fleet.call(leaving.ready, "GET", "/api/ready")
                self.assertEqual(ready.status, 503)
                nursery.start_soon(call)
                with trio.fail_after(2):
                    await self.wait_unnamed(fleet, staying, leaving)
            self.assertEqual([(item.status, item.complete) for item in answers], [(200, True)] * 2)
            await leaving.ended.wait()

        # On a busy machine one check of the readiness takes longer than the 150 ms of other tests.
        self.run_fleet(test, nodes=2, directory_leave_ms=1000)

    async def wait_unnamed(self, fleet: NodeFleet, resolver, leaving) -> None:
        """Wait until the directory of ``resolver`` no longer names ``leaving``."""
        while True:
            answer = await fleet.call(resolver.directory, "GET", "/api/resolve?name=x")
            if str(leaving.front) not in answer.json()["addresses"]:
                return
            await trio.sleep(0.02)

    def test_a_node_started_during_an_outage_learns_from_a_neighbour(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            second = fleet.nodes[1]
            second.kill()
            fleet.store.refuse_status = 503
            again = await fleet.restart(second)
            with trio.fail_after(4):
                await fleet.wait_status(again.ready, "/api/ready", 200)
            answer = await fleet.call(again.front, "POST", "/check/1", b"case")
            self.assertEqual(answer.status, 200)

        self.run_fleet(test, nodes=2)


if __name__ == "__main__":
    unittest.main()
