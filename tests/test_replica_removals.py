"""Keys that were removed before a node read the store stay removed, however late old news come."""

import random
import unittest

import trio
import trio.testing

from fescuedock.clock import now_ms
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.kv import KvEntry
from fescuedock.node.replicas import Replicas, WatchedPrefix
from fescuedock.schema.replicas import ReplicaEntry, ReplicaNews, ReplicaNoted
from tests.test_replica_knowledge import UNAVAILABLE, FakeBroadcaster, FakeStore

PREFIX = "live/"


class RemovedBeforeTheStartTest(unittest.TestCase):
    """A node that had stood still told of a key from before it did; the key had gone meanwhile.

    A node that was started in between had read the store without that key, and had no memory of its
    removal.  It took the key for a new one, and no later news took it away again.
    """

    def test_a_single_key_older_than_the_table_is_no_new_key(self) -> None:
        table = ReplicaTable(PREFIX)
        table.replace([], 20, 0.0)
        table.note(KvEntry("live/a", b"x", 7))
        self.assertNotIn("live/a", table.entries)

    def test_news_older_than_the_table_bring_no_key_back(self) -> None:
        async def run() -> None:
            replicas = self.started_node()
            entry = ReplicaEntry("live/a", 7, b"x")
            news = ReplicaNews(PREFIX, 5, 8, [entry], {}, sender="n-2/1", sent_ms=int(now_ms()))
            await replicas.handlers()[ReplicaNews](news, None)
            self.assertNotIn("live/a", replicas.tables[PREFIX].entries)

        trio.run(run, clock=trio.testing.MockClock())

    def test_what_another_node_noted_long_ago_brings_no_key_back(self) -> None:
        async def run() -> None:
            replicas = self.started_node()
            noted = ReplicaNoted(PREFIX, [ReplicaEntry("live/a", 7, b"x")])
            await replicas.handlers()[ReplicaNoted](noted, None)
            self.assertNotIn("live/a", replicas.tables[PREFIX].entries)

        trio.run(run, clock=trio.testing.MockClock())

    def started_node(self) -> Replicas:
        """Return the replicas of a node that has just read the store, as of revision 20."""
        replicas = Replicas(
            FakeStore(0.0, UNAVAILABLE),
            [WatchedPrefix(PREFIX, 900, 300)],
            self.silent,
            lambda: (),
            FakeBroadcaster(),
            random.Random(1),
        )
        replicas.tables[PREFIX].replace([], 20, now_ms())
        return replicas

    async def silent(self, *_call: object) -> object:
        return UNAVAILABLE


if __name__ == "__main__":
    unittest.main()
