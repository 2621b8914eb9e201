"""Keys removed before a node read the store stay removed, however late old updates arrive."""

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
    """A node that was paused reports a key from before the pause that has been removed meanwhile.

    A node started in between has read the store without that key and has no record of its removal.
    If it accepts the key as a new one, no later update removes it again.
    """

    def test_a_single_key_older_than_the_table_is_no_new_key(self) -> None:
        table = ReplicaTable(PREFIX)
        table.replace([], 20, 0.0)
        table.record_entry(KvEntry("live/a", b"x", 7))
        self.assertNotIn("live/a", table.entries)

    def test_an_update_older_than_the_table_restores_no_key(self) -> None:
        async def run() -> None:
            replicas = self.started_node()
            entry = ReplicaEntry("live/a", 7, b"x")
            update = ReplicaNews(PREFIX, 5, 8, [entry], {}, sender="n-2/1", sent_ms=int(now_ms()))
            await replicas.handlers()[ReplicaNews](update, None)
            self.assertNotIn("live/a", replicas.tables[PREFIX].entries)

        trio.run(run, clock=trio.testing.MockClock())

    def test_an_old_entry_that_another_node_recorded_restores_no_key(self) -> None:
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
