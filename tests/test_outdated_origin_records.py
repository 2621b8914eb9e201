"""The records of the key-value service decide no origin that they cannot prove."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing
from result import Result

from fescuedock.schema.result_codes import ResultCode
from tests.builders.origin_nodes import OriginNodes
from tests.builders.standins import run_async

OTHER_SERVICE = "desk-b"
KEY = "stream"


class OutdatedRecordTest(unittest.TestCase):
    def play(self, test: Callable[[], Awaitable[None]]) -> None:
        run_async(test, trio.testing.MockClock(autojump_threshold=0))

    def check_unknown(self, found: Result) -> None:
        self.assertTrue(found.is_err(), found)
        self.assertEqual(found.err_value.code, ResultCode.ORIGIN_UNKNOWN)

    def test_a_node_that_is_cut_off_resumes_no_stream_by_its_outdated_record(self) -> None:
        async def test() -> None:
            for cut_s in (0.0, 0.3, 1.0, 2.0):
                async with trio.open_nursery() as nursery:
                    fleet = OriginNodes(nodes=4, spools=2)
                    fleet.list_versions("v1")
                    fleet.record_versions("v1")
                    await fleet.run(nursery)
                    fleet.cut_off.add("n-3")
                    fleet.list_versions("v1", "v2")
                    await trio.sleep(0.5)
                    await fleet.start_stream("n-0", KEY, "v2")
                    await trio.sleep(cut_s)
                    with self.subTest(cut_s=cut_s):
                        self.check_unknown(await fleet.resume("n-3", KEY))
                    nursery.cancel_scope.cancel()

        self.play(test)

    def test_a_stream_of_a_moved_route_does_not_continue_at_the_other_service(self) -> None:
        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(nodes=4, spools=2)
                fleet.list_versions("v1")
                fleet.record_versions("v1")
                fleet.record_versions("v1", service=OTHER_SERVICE)
                await fleet.run(nursery)
                await fleet.start_stream("n-0", KEY, "v1")
                fleet.cut_off.add("n-0")
                fleet.move_route(OTHER_SERVICE)
                for pause_s in (0.0, 0.05, 1.0):
                    await trio.sleep(pause_s)
                    with self.subTest(pause_s=pause_s):
                        self.check_unknown(await fleet.resume("n-1", KEY))
                nursery.cancel_scope.cancel()

        self.play(test)

    def test_a_node_without_a_readable_record_starts_no_stream(self) -> None:
        async def test() -> None:
            fleet = OriginNodes(nodes=1)
            self.assertEqual(fleet.startable("n-0"), frozenset())
            fleet.write_record(b"\xc1")
            self.assertEqual(fleet.startable("n-0"), frozenset())

        self.play(test)


if __name__ == "__main__":
    unittest.main()
