"""Several changes of one key in one answer of the store, and which are forwarded to other nodes."""

import unittest

import trio

from fescuedock.core.replica_table import ReplicaTable
from fescuedock.kv import KvEntry, KvEvent
from tests.builders.node import running_fleet
from tests.builders.standins import run_async

KEY = "servers/w"


def differs_only_in_number(before: bytes, after: bytes) -> bool:
    return before[:-1] == after[:-1]


class ChangesOfOneAnswerTest(unittest.TestCase):
    """A worker's entry lapses and returns within the pause between two watches.

    If the watching node compares both changes with the table before them, the second looks like a
    heartbeat and only the removal is forwarded.  The other nodes then lack the worker until its
    entry changes by more than a heartbeat, while the watching node has it all the time.
    """

    def setUp(self) -> None:
        self.watching = ReplicaTable("servers/", differs_only_in_number)
        self.receiving = ReplicaTable("servers/", differs_only_in_number)

    def start(self, value: bytes) -> None:
        for table in (self.watching, self.receiving):
            table.replace([KvEntry(KEY, value, 5)], 5, 0.0)

    def apply_answer(self, *values: bytes | None) -> None:
        """Apply an answer with changes of the key, and forward them to the other node."""
        revision = self.watching.revision
        events = [
            KvEvent(KEY, number, None if value is None else KvEntry(KEY, value, number))
            for number, value in enumerate(values, start=revision + 1)
        ]
        revision += len(values)
        reported = self.watching.apply(events, revision, 1.0)
        self.receiving.apply(reported, revision, 1.0)

    def value_at(self, table: ReplicaTable) -> bytes | None:
        entry = table.entries.get(KEY)
        return None if entry is None else entry.value[:-1]

    def check(self) -> None:
        self.assertEqual(self.value_at(self.receiving), self.value_at(self.watching))

    def test_a_key_that_is_removed_and_written_again_unchanged_exists_everywhere(self) -> None:
        self.start(b"ready1")
        self.apply_answer(None, b"ready2")
        self.check()

    def test_it_exists_everywhere_after_further_heartbeats_too(self) -> None:
        self.start(b"ready1")
        self.apply_answer(None, b"ready2")
        self.apply_answer(b"ready3")
        self.check()

    def test_a_key_that_changes_and_changes_back_is_the_same_everywhere(self) -> None:
        self.start(b"draining1")
        self.apply_answer(b"ready2", b"draining3")
        self.check()

    def test_a_key_that_is_written_once_more_before_it_changes_is_the_same_everywhere(self) -> None:
        self.start(b"ready1")
        self.apply_answer(b"ready2", b"draining3")
        self.check()


class LapsedWorkerTest(unittest.TestCase):
    def test_a_worker_that_is_listed_again_at_once_serves_at_every_node(self) -> None:
        answers: list[int] = []

        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(nodes=3, upstreams=1) as fleet:
                    [worker] = fleet.upstreams
                    fleet.store.state.delete(f"servers/{worker.upstream_id}")
                    fleet.register(worker, sequence=2)
                    await trio.sleep(1.0)
                    # Its heartbeats continue.
                    fleet.register(worker, sequence=3)
                    await trio.sleep(2.0)
                    for node in fleet.nodes:
                        answer = await fleet.call(node.front, "GET", "/safe/1")
                        answers.append(answer.status)

        run_async(run)
        self.assertEqual(answers, [200, 200, 200])


if __name__ == "__main__":
    unittest.main()
