"""A stream continues only on the software version that started it, at any upstream or node."""

import unittest

import trio

from fescuedock.platform.standin.event_upstream import UpstreamFault
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.online import wait_until
from tests.builders.standins import run_async
from tests.builders.versions import ResumedStream, event_numbers, resume_stream, versions_of

TWO_RELEASES = ("v1", "v1", "v1.1", "v1.1")


class StreamVersionsTest(unittest.TestCase):
    def run_fleet(self, test, versions=TWO_RELEASES, **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                async with running_fleet(versions=versions, **options) as fleet:
                    await test(fleet)

        run_async(run)

    def test_the_next_attempt_of_a_call_uses_the_version_of_the_first(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            broken = 0
            for number in range(40):
                chosen = fleet.upstreams[number % len(fleet.upstreams)]
                chosen.faults = [UpstreamFault(cut_after=2)]
                target = f"/check/{number}"
                answer = await fleet.call(fleet.nodes[0].front, "POST", target, b"case")
                broken += not chosen.faults
                chosen.faults = []
                self.assertEqual(len(versions_of(answer.body)), 1, answer.body)
                self.assertTrue(answer.complete)
                self.assertEqual(event_numbers(answer.body), list(range(5)))
            self.assertGreater(broken, 0)

        self.run_fleet(test)

    def test_a_client_that_resumes_at_another_node_gets_the_original_version(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            resumed: list[ResumedStream] = []
            doomed = fleet.nodes[0]
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 150
            firsts = []

            async def begin(number: int) -> None:
                headers = {"x-request-id": f"first-{number}"}
                answer = await fleet.call(
                    doomed.front, "POST", f"/check/{number}", b"case", headers
                )
                firsts.append((number, answer))

            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(begin, number)
                await wait_until(lambda: sum(item.running for item in fleet.upstreams) == 8)
                await trio.sleep(0.4)
                doomed.kill()
            for upstream in fleet.upstreams:
                upstream.event_interval_ms = 1
            for number, first in firsts:
                self.assertFalse(first.complete)
                target, name = f"/check/{number}", f"first-{number}"
                other = fleet.nodes[1 + number % 3].front
                resumed.append(await resume_stream(fleet, other, target, b"case", first, name))
            for stream in resumed:
                self.assertEqual(len(stream.versions), 1, stream.second.body)
                self.assertEqual((stream.second.status, stream.second.complete), (200, True))
                self.assertEqual(stream.numbers, list(range(5)))

        self.run_fleet(test, nodes=4)


if __name__ == "__main__":
    unittest.main()
