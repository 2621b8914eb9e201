"""The reads of the key-value service by which a resumed stream's origin is known."""

import unittest
from dataclasses import dataclass

import trio
import trio.testing
from result import Result

from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvStore
from fescuedock.standin.kv_faults import CallKind
from tests.builders.origin_nodes import OriginNodes
from tests.builders.standins import run_async

KEY = "stream"
SLOW_S = 0.35
CLIENT_TRIES_S = 4.0


@dataclass(frozen=True, slots=True)
class SlowKv:
    """Answers each read late."""

    kv: KvStore

    async def get(self, key: str) -> Result[KvEntry | None, Fault]:
        await trio.sleep(SLOW_S)
        return await self.kv.get(key)


class SlowStoreTest(unittest.TestCase):
    def test_a_store_that_answers_late_does_not_keep_every_stream_from_being_resumed(self) -> None:
        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(nodes=4)
                fleet.list_versions("v1")
                fleet.record_versions("v1")
                await fleet.run(nursery)
                await fleet.start_stream("n-0", KEY, "v1")
                fleet.silent.add("n-0")
                reader = fleet.origins["n-1"]
                reader._kv = SlowKv(reader._kv)
                with trio.fail_after(CLIENT_TRIES_S):
                    while (await fleet.resume("n-1", KEY)).is_err():  # noqa: ASYNC110
                        await trio.sleep(0.1)
                nursery.cancel_scope.cancel()

        run_async(test, trio.testing.MockClock(autojump_threshold=0))


class SharedReadsTest(unittest.TestCase):
    """Many streams that are resumed at once cost few reads."""

    async def reads_of(self, fleet: OriginNodes, calls: int) -> int:
        before = fleet.kv.faults.calls[CallKind.GET]
        async with trio.open_nursery() as nursery:
            for number in range(calls):
                nursery.start_soon(fleet.resume, "n-1", f"stream-{number}")
        return fleet.kv.faults.calls[CallKind.GET] - before

    def play(self, *versions: str, is_down: bool = False) -> int:
        found: list[int] = []

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(nodes=4)
                fleet.list_versions(*versions)
                fleet.record_versions(*versions)
                await fleet.run(nursery)
                fleet.kv.faults.down = is_down
                found.append(await self.reads_of(fleet, 200))
                nursery.cancel_scope.cancel()

        run_async(test, trio.testing.MockClock(autojump_threshold=0))
        return found[0]

    def test_calls_share_the_reads_of_the_records(self) -> None:
        self.assertLessEqual(self.play("v1"), 8)

    def test_calls_share_the_reads_that_the_store_refuses(self) -> None:
        self.assertLessEqual(self.play("v1", is_down=True), 24)

    def test_records_of_several_versions_are_not_read(self) -> None:
        self.assertEqual(self.play("v1", "v2"), 0)

    def test_a_cancelled_call_does_not_keep_others_from_reading(self) -> None:
        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(nodes=4)
                fleet.list_versions("v1")
                fleet.record_versions("v1")
                await fleet.run(nursery)
                fleet.origins["n-1"]._kv = SlowKv(fleet.kv)
                async with trio.open_nursery() as calls:
                    for _ in range(3):
                        with trio.move_on_after(0.01):
                            await fleet.resume("n-1", KEY)
                    calls.start_soon(fleet.resume, "n-1", KEY)
                    found = await fleet.resume("n-1", KEY)
                self.assertTrue(found.is_ok(), found)
                nursery.cancel_scope.cancel()

        run_async(test, trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
