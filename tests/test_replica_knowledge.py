"""The age of a node's knowledge of the store, by each path and with any delay of messages."""

import random
import unittest
from collections.abc import Callable

import msgspec
import trio
import trio.testing
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.faults import Fault
from fescuedock.kv import KvChanges, KvEntry, KvEvent, KvPage
from fescuedock.node.replicas import Replicas, WatchedPrefix
from fescuedock.schema.replicas import ReplicaNews, ReplicaReply, ReplicaRequest, ReplicaSnapshot
from fescuedock.schema.result_codes import ResultCode

PREFIX = "live/"
WAIT_MS = 900
ENTRY = KvEntry("live/a", b"x", 7)
NEIGHBOUR = Address("10.0.0.2", 7000)
UNAVAILABLE = Err(Fault(ResultCode.KV_UNAVAILABLE, "no answer"))


class FakeStore:
    """Answers each watch with ``changes`` after ``answer_ms``; a complete read is empty."""

    def __init__(self, answer_ms: float, changes: Result[KvChanges, Fault]) -> None:
        self.answer_ms = answer_ms
        self.answer = changes
        self.watches = 0

    async def get_range(self, _prefix: str, **_options: object) -> Result[KvPage, Fault]:
        return Ok(KvPage((), 5, False))

    async def changes(self, _prefix: str, _after: int, _wait_ms: int) -> Result[KvChanges, Fault]:
        self.watches += 1
        await trio.sleep(self.answer_ms / 1000)
        return self.answer


class FakeBroadcaster:
    """Lets the node watch the store itself, and records the messages it broadcasts."""

    vm_id = "n-1"

    def __init__(self) -> None:
        self.sent: list[msgspec.Struct] = []

    def address_of(self, vm_id: str) -> Address | None:
        return NEIGHBOUR if vm_id == "n-2" else None

    def watches(self, _prefix: str) -> bool:
        return True

    async def broadcast(self, message: msgspec.Struct) -> None:
        self.sent.append(message)


async def _silent(*_call: object) -> Result[msgspec.Struct, Fault]:
    return Err(Fault(ResultCode.PEER_UNREACHABLE, "silent"))


class KnowledgeTest(unittest.TestCase):
    def replicas(
        self,
        store: FakeStore,
        broadcaster: FakeBroadcaster | None = None,
        call: Callable = _silent,
        neighbours: tuple[Address, ...] = (),
    ) -> Replicas:
        return Replicas(
            store,
            [WatchedPrefix(PREFIX, WAIT_MS, 300)],
            call,
            lambda: neighbours,
            broadcaster or FakeBroadcaster(),
            random.Random(1),
        )

    def run_for(self, replicas: Replicas, run_s: float, check: Callable[[], None]) -> None:
        async def run() -> None:
            with trio.move_on_after(run_s):
                await replicas.run()
            check()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_changes_that_are_read_late_are_as_old_as_their_watch(self) -> None:
        event = KvEvent(ENTRY.key, 7, ENTRY)
        replicas = self.replicas(FakeStore(5000.0, Ok(KvChanges((event,), 7))))
        table = replicas.tables[PREFIX]

        def check() -> None:
            # Read completely at 0, watched from 300 ms on, answered at 5300 ms.
            self.assertIn(ENTRY.key, table.entries)
            self.assertAlmostEqual(table.age_ms(now_ms()), 100, delta=5)
            self.assertAlmostEqual(table.as_of_age_ms(now_ms()), 5100, delta=5)

        self.run_for(replicas, 5.4, check)

    def test_no_changes_that_are_read_late_are_as_old_as_the_end_of_their_watch(self) -> None:
        replicas = self.replicas(FakeStore(5000.0, Ok(KvChanges((), 7))))
        table = replicas.tables[PREFIX]

        def check() -> None:
            self.assertAlmostEqual(table.as_of_age_ms(now_ms()), 5100 - WAIT_MS, delta=5)

        self.run_for(replicas, 5.4, check)

    def test_a_held_watch_without_changes_is_good_up_to_its_answer(self) -> None:
        replicas = self.replicas(FakeStore(WAIT_MS, Ok(KvChanges((), 7))))
        table = replicas.tables[PREFIX]

        def check() -> None:
            self.assertAlmostEqual(table.as_of_age_ms(now_ms()), 100, delta=5)

        self.run_for(replicas, (300 + WAIT_MS + 100) / 1000, check)

    def test_updates_are_as_old_for_receivers_as_for_their_sender(self) -> None:
        broadcaster = FakeBroadcaster()
        event = KvEvent(ENTRY.key, 7, ENTRY)
        self.run_for(
            self.replicas(FakeStore(800.0, Ok(KvChanges((event,), 7))), broadcaster),
            1.2,
            lambda: None,
        )
        [news] = [message for message in broadcaster.sent if isinstance(message, ReplicaNews)]
        self.assertAlmostEqual(news.as_of_age_ms, 800, delta=5)

        async def receive() -> None:
            other = self.replicas(FakeStore(0.0, UNAVAILABLE))
            table = other.tables[PREFIX]
            table.replace([], 5, now_ms() - 3000)
            other._clocks.record_reply(news.sender, now_ms(), news.sent_ms)
            await other.handlers()[ReplicaNews](news, None)
            self.assertIn(ENTRY.key, table.entries)
            self.assertAlmostEqual(table.as_of_age_ms(now_ms()), 800, delta=5)

        trio.run(receive, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_neighbour_that_knows_the_same_reports_its_age(self) -> None:
        requests: list[ReplicaRequest] = []
        known = ReplicaTable(PREFIX)

        async def neighbour(
            _address: Address, message: ReplicaRequest, _timeout_ms: float
        ) -> Result[ReplicaReply, Fault]:
            if now_ms() < 1000:
                # Queried before the store was read; a complete snapshot is not tested here.
                return UNAVAILABLE
            requests.append(message)
            answering = self.replicas(FakeStore(0.0, UNAVAILABLE))
            answering.tables[PREFIX].replace([], 5, known.as_of_ms)
            return Ok(await answering.handlers()[ReplicaRequest](message, None))

        replicas = self.replicas(
            FakeStore(0.0, UNAVAILABLE), call=neighbour, neighbours=(NEIGHBOUR,)
        )
        table = replicas.tables[PREFIX]

        def check() -> None:
            self.assertTrue(requests)
            self.assertAlmostEqual(table.as_of_ms, 700, delta=5)
            self.assertLess(replicas.agreed_age_ms(PREFIX), 500)

        known.replace([], 5, 700.0)
        self.run_for(replicas, 2.5, check)

    def test_updates_older_than_the_table_confirm_nothing(self) -> None:
        async def run() -> None:
            replicas = self.replicas(FakeStore(0.0, UNAVAILABLE))
            table = replicas.tables[PREFIX]
            table.replace([], 10, 0.0)
            await trio.sleep(1.0)
            await replicas.handlers()[ReplicaNews](ReplicaNews(PREFIX, 5, 7, [], {}), None)
            self.assertEqual((table.confirmed_ms, table.as_of_ms), (0.0, 0.0))

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def news(self, sent_ms: int) -> ReplicaNews:
        return ReplicaNews(PREFIX, 5, 6, [], {}, 100, sender="n-2/1", sent_ms=sent_ms)

    def test_delayed_updates_are_as_old_as_their_delay(self) -> None:
        async def run() -> None:
            replicas = self.replicas(FakeStore(0.0, UNAVAILABLE))
            table = replicas.tables[PREFIX]
            table.replace([], 5, 0.0)
            replicas._clocks.record_reply("n-2/1", 0.0, 70_000.0)
            await trio.sleep(6.0)
            await replicas.handlers()[ReplicaNews](self.news(71_000), None)
            self.assertAlmostEqual(table.age_ms(now_ms()), 5000, delta=10)
            self.assertAlmostEqual(table.as_of_age_ms(now_ms()), 5100, delta=10)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_updates_of_an_unknown_sender_become_certain_once_it_was_queried(self) -> None:
        requests: list[ReplicaRequest] = []

        async def neighbour(
            _address: Address, message: ReplicaRequest, _timeout_ms: float
        ) -> Result[ReplicaReply, Fault]:
            requests.append(message)
            return Ok(ReplicaReply([], sender="n-2/1", sent_ms=int(70_000 + now_ms())))

        async def run() -> None:
            replicas = self.replicas(FakeStore(0.0, UNAVAILABLE), call=neighbour)
            table = replicas.tables[PREFIX]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(replicas.run)
                await trio.sleep(3.0)
                receive = replicas.handlers()[ReplicaNews]
                await receive(self.news(73_000), None)
                self.assertAlmostEqual(table.age_ms(now_ms()), 0, delta=5)
                self.assertGreater(table.as_of_age_ms(now_ms()), 2900)
                await trio.sleep(0.5)
                self.assertEqual(requests, [ReplicaRequest({})])
                await receive(self.news(73_500), None)
                self.assertAlmostEqual(table.as_of_age_ms(now_ms()), 100, delta=10)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_node_with_updates_of_unknown_age_queries_the_store(self) -> None:
        store = FakeStore(0.0, Ok(KvChanges((), 6)))
        broadcaster = FakeBroadcaster()
        broadcaster.watches = lambda _prefix: False
        replicas = self.replicas(store, broadcaster)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(replicas.run)
                for _ in range(20):
                    await trio.sleep(0.2)
                    # From a sender that cannot be queried.
                    news = ReplicaNews(PREFIX, 5, 6, [], {}, 100, sender="n-9/1")
                    await replicas.handlers()[ReplicaNews](news, None)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertGreater(store.watches, 0)
        self.assertLess(store.watches, 4)

    def test_a_neighbour_that_knows_less_confirms_nothing(self) -> None:
        async def run() -> None:
            replicas = self.replicas(FakeStore(0.0, UNAVAILABLE))
            replicas.tables[PREFIX].replace([], 5, 0.0)
            for revision, wanted in ((5, [PREFIX]), (6, []), (4, [])):
                request = ReplicaRequest({PREFIX: revision})
                reply = await replicas.handlers()[ReplicaRequest](request, None)
                self.assertEqual(list(reply.ages_ms), wanted)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_entries_written_by_a_node_are_sent_to_nodes_that_query_it(self) -> None:
        async def run() -> None:
            sender, requester = (self.replicas(FakeStore(0.0, UNAVAILABLE)) for _ in range(2))
            for replicas in (sender, requester):
                replicas.tables[PREFIX].replace([], 5, 0.0)
            sender.record_entry(PREFIX, ENTRY)

            async def call(
                _address: Address, message: msgspec.Struct, _timeout_ms: float
            ) -> Result:
                return Ok(await sender.handlers()[ReplicaRequest](message, None))

            requester._call_neighbour = call
            await requester._query(NEIGHBOUR)
            self.assertIn(ENTRY.key, requester.tables[PREFIX].entries)
            # Once a watch has reported the entry, it is not sent any more.
            sender.tables[PREFIX].apply([KvEvent(ENTRY.key, 7, ENTRY)], 7, 1.0)
            reply = await sender.handlers()[ReplicaRequest](ReplicaRequest({PREFIX: 5}), None)
            self.assertEqual(reply.noted, [])

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_snapshot_carries_its_age_and_the_time_of_certainty(self) -> None:
        async def run() -> None:
            await trio.sleep(2.0)
            sender, receiver = (self.replicas(FakeStore(0.0, UNAVAILABLE)) for _ in range(2))
            table = sender.tables[PREFIX]
            table.replace([ENTRY], 7, 100.0)
            table.apply([], 9, now_ms() - 100, now_ms() - 800)
            request = ReplicaRequest({PREFIX: 5})
            [snapshot] = (await sender.handlers()[ReplicaRequest](request, None)).snapshots
            receiver._clocks.record_reply(snapshot.sender, now_ms(), snapshot.sent_ms)
            await receiver.handlers()[ReplicaSnapshot](snapshot, None)
            received = receiver.tables[PREFIX]
            self.assertIn(ENTRY.key, received.entries)
            self.assertAlmostEqual(received.age_ms(now_ms()), 100, delta=5)
            self.assertAlmostEqual(received.as_of_age_ms(now_ms()), 800, delta=5)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_neighbour_is_queried_as_soon_as_a_table_is_stale(self) -> None:
        requested_ms: list[float] = []

        async def neighbour(*_call: object) -> Result[msgspec.Struct, Fault]:
            requested_ms.append(now_ms())
            return Err(Fault(ResultCode.PEER_UNREACHABLE, "silent"))

        replicas = self.replicas(
            FakeStore(0.0, UNAVAILABLE), call=neighbour, neighbours=(NEIGHBOUR,)
        )

        def check() -> None:
            # At the start, before the store was read, the neighbour may be queried as well.
            stale_ms = next(at_ms for at_ms in requested_ms if at_ms > 0)
            self.assertAlmostEqual(stale_ms, WAIT_MS + 700, delta=50)
            self.assertEqual(replicas.agreed_age_ms(PREFIX), float("inf"))

        self.run_for(replicas, 2.5, check)

    def test_a_node_without_neighbours_counts_as_agreed(self) -> None:
        replicas = self.replicas(FakeStore(0.0, UNAVAILABLE))

        def check() -> None:
            self.assertEqual(replicas.agreed_age_ms(PREFIX), 0.0)

        self.run_for(replicas, 2.5, check)


if __name__ == "__main__":
    unittest.main()
