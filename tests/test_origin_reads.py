"""The reads of the key-value service by which a resumed stream's origin is known."""

import unittest
from dataclasses import dataclass

import trio
import trio.testing
from result import Result

from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvStore
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


if __name__ == "__main__":
    unittest.main()
