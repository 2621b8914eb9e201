"""An owner must not confirm its results as current from updates of unknown age."""

import random
import unittest

import trio
import trio.testing

from fescuedock.clock import now_ms
from fescuedock.core.stored_jobs.cache import JobCache
from fescuedock.core.stored_jobs.ownership import OwnerIdentity
from fescuedock.node.owner_reads import OwnerReads
from fescuedock.node.replicas import Replicas, WatchedPrefix
from fescuedock.schema.replicas import ReplicaNews
from fescuedock.schema.stored_jobs import ResultGroup, StoredResult
from tests.builders.forwarding import job_record
from tests.test_replica_knowledge import UNAVAILABLE, FakeBroadcaster, FakeStore

PREFIX = "live/"
RECORD = job_record(total=3, owner_id="n-1", owner_boot=1)
LATE_S = 5.0


class StaleUpdateTest(unittest.TestCase):
    """A paused owner whose job another node has taken over and listed further results of.

    After the pause the owner reads old updates from its socket.  Their sender may have begun to
    watch during the pause, so that the owner has never compared clocks with it.  If such updates
    counted as current, the owner would confirm that no more results exist, and a reader would miss
    results that it had seen before.
    """

    def confirms(self, *, known_sender: bool) -> bool:
        found: list[bool] = []

        async def run() -> None:
            replicas = Replicas(
                FakeStore(0.0, UNAVAILABLE),
                [WatchedPrefix(PREFIX, 900, 300)],
                self.silent,
                lambda: (),
                FakeBroadcaster(),
                random.Random(1),
            )
            replicas.tables[PREFIX].replace([], 5, now_ms())
            update = ReplicaNews(PREFIX, 5, 6, [], {}, 0, "n-2/1", int(now_ms()))
            if known_sender:
                replicas._clocks.record_reply("n-2/1", now_ms(), now_ms())
            await trio.sleep(LATE_S)
            await replicas.handlers()[ReplicaNews](update, None)
            cache = JobCache(1000)
            results = [StoredResult(str(number), True, "x") for number in range(2)]
            cache.open(RECORD).add(ResultGroup(0, results))
            reads = OwnerReads(
                cache,
                replicas,
                PREFIX,
                OwnerIdentity("n-1", 1),
                call_neighbour=self.silent,
                address_of=lambda _vm_id: None,
                listed_count=lambda _job_id: 2,
            )
            found.append((await reads.read(RECORD, 2)).current)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return found[0]

    async def silent(self, *_call: object) -> object:
        return UNAVAILABLE

    def test_late_updates_of_a_known_sender_confirm_nothing(self) -> None:
        self.assertFalse(self.confirms(known_sender=True))

    def test_late_updates_of_an_unknown_sender_confirm_nothing(self) -> None:
        self.assertFalse(self.confirms(known_sender=False))


if __name__ == "__main__":
    unittest.main()
