"""How old a node's knowledge of the store may be, whatever way it came by and however late."""

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
AWAY = Err(Fault(ResultCode.KV_UNAVAILABLE, "no answer"))


class FakeStore:
    """Answers each watch with ``changes`` after ``answer_ms``; what it reads whole is empty."""

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


class FakeSpread:
    """Watches by itself, and keeps what it would tell."""

    vm_id = "n-1"

    def __init__(self) -> None:
        self.told: list[msgspec.Struct] = []

    def address_of(self, vm_id: str) -> Address | None:
        return NEIGHBOUR if vm_id == "n-2" else None

    def watches(self, _prefix: str) -> bool:
        return True

    async def broadcast(self, message: msgspec.Struct) -> None:
        self.told.append(message)


async def _silent(*_call: object) -> Result[msgspec.Struct, Fault]:
    return Err(Fault(ResultCode.PEER_UNREACHABLE, "silent"))


class KnowledgeTest(unittest.TestCase):
    def replicas(
        self,
        store: FakeStore,
        spread: FakeSpread | None = None,
        call: Callable = _silent,
        neighbours: tuple[Address, ...] = (),
    ) -> Replicas:
        return Replicas(
            store,
            [WatchedPrefix(PREFIX, WAIT_MS, 300)],
            call,
            lambda: neighbours,
            spread or FakeSpread(),
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
            # Read whole at 0, watched from 300 ms on, answered at 5300 ms.
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

    def test_news_are_as_old_for_others_as_for_the_node_that_tells_them(self) -> None:
        spread = FakeSpread()
        event = KvEvent(ENTRY.key, 7, ENTRY)
        self.run_for(
            self.replicas(FakeStore(800.0, Ok(KvChanges((event,), 7))), spread), 1.2, lambda: None
        )
        [news] = [message for message in spread.told if isinstance(message, ReplicaNews)]
        self.assertAlmostEqual(news.as_of_age_ms, 800, delta=5)

        async def hear() -> None:
            other = self.replicas(FakeStore(0.0, AWAY))
            table = other.tables[PREFIX]
            table.replace([], 5, now_ms() - 3000)
            other._clocks.note_answer(news.sender, now_ms(), news.sent_ms)
            await other.handlers()[ReplicaNews](news, None)
            self.assertIn(ENTRY.key, table.entries)
            self.assertAlmostEqual(table.as_of_age_ms(now_ms()), 800, delta=5)

        trio.run(hear, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_neighbour_that_knows_the_same_says_how_old_that_is(self) -> None:
        asked: list[ReplicaRequest] = []
        known = ReplicaTable(PREFIX)

        async def neighbour(
            _address: Address, message: ReplicaRequest, _timeout_ms: float
        ) -> Result[ReplicaReply, Fault]:
            if now_ms() < 1000:
                # Asked before the store was read; a whole snapshot is another matter.
                return AWAY
            asked.append(message)
            answering = self.replicas(FakeStore(0.0, AWAY))
            answering.tables[PREFIX].replace([], 5, known.as_of_ms)
            return Ok(await answering.handlers()[ReplicaRequest](message, None))

        replicas = self.replicas(FakeStore(0.0, AWAY), call=neighbour, neighbours=(NEIGHBOUR,))
        table = replicas.tables[PREFIX]

        def check() -> None:
            self.assertTrue(asked)
            self.assertAlmostEqual(table.as_of_ms, 700, delta=5)
            self.assertLess(replicas.agreed_age_ms(PREFIX), 500)

        known.replace([], 5, 700.0)
        self.run_for(replicas, 2.5, check)

    def test_news_older_than_what_is_known_confirm_nothing(self) -> None:
        async def run() -> None:
            replicas = self.replicas(FakeStore(0.0, AWAY))
            table = replicas.tables[PREFIX]
            table.replace([], 10, 0.0)
            await trio.sleep(1.0)
            await replicas.handlers()[ReplicaNews](ReplicaNews(PREFIX, 5, 7, [], {}), None)
            self.assertEqual((table.confirmed_ms, table.as_of_ms), (0.0, 0.0))

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def news(self, sent_ms: int) -> ReplicaNews:
        return ReplicaNews(PREFIX, 5, 6, [], {}, 100, sender="n-2/1", sent_ms=sent_ms)

    def test_news_that_were_long_on_their_way_are_as_old_as_that(self) -> None:
        async def run() -> None:
            replicas = self.replicas(FakeStore(0.0, AWAY))
            table = replicas.tables[PREFIX]
            table.replace([], 5, 0.0)
            replicas._clocks.note_answer("n-2/1", 0.0, 70_000.0)
            await trio.sleep(6.0)
            await replicas.handlers()[ReplicaNews](self.news(71_000), None)
            self.assertAlmostEqual(table.age_ms(now_ms()), 5000, delta=10)
            self.assertAlmostEqual(table.as_of_age_ms(now_ms()), 5100, delta=10)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_news_of_an_unknown_sender_are_heard_and_certain_once_it_was_asked(self) -> None:
        asked: list[ReplicaRequest] = []

        async def neighbour(
            _address: Address, message: ReplicaRequest, _timeout_ms: float
        ) -> Result[ReplicaReply, Fault]:
            asked.append(message)
            return Ok(ReplicaReply([], sender="n-2/1", sent_ms=int(70_000 + now_ms())))

        async def run() -> None:
            replicas = self.replicas(FakeStore(0.0, AWAY), call=neighbour)
            table = replicas.tables[PREFIX]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(replicas.run)
                await trio.sleep(3.0)
                hear = replicas.handlers()[ReplicaNews]
                await hear(self.news(73_000), None)
                self.assertAlmostEqual(table.age_ms(now_ms()), 0, delta=5)
                self.assertGreater(table.as_of_age_ms(now_ms()), 2900)
                await trio.sleep(0.5)
                self.assertEqual(asked, [ReplicaRequest({})])
                await hear(self.news(73_500), None)
                self.assertAlmostEqual(table.as_of_age_ms(now_ms()), 100, delta=10)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_who_hears_but_knows_nothing_for_certain_asks_the_store(self) -> None:
        store = FakeStore(0.0, Ok(KvChanges((), 6)))
        spread = FakeSpread()
        spread.watches = lambda _prefix: False
        replicas = self.replicas(store, spread)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(replicas.run)
                for _ in range(20):
                    await trio.sleep(0.2)
                    # From a sender that nobody can ask.
                    news = ReplicaNews(PREFIX, 5, 6, [], {}, 100, sender="n-9/1")
                    await replicas.handlers()[ReplicaNews](news, None)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertGreater(store.watches, 0)
        self.assertLess(store.watches, 4)

    def test_a_neighbour_that_knows_less_vouches_for_nothing(self) -> None:
        async def run() -> None:
            replicas = self.replicas(FakeStore(0.0, AWAY))
            replicas.tables[PREFIX].replace([], 5, 0.0)
            for revision, wanted in ((5, [PREFIX]), (6, []), (4, [])):
                request = ReplicaRequest({PREFIX: revision})
                reply = await replicas.handlers()[ReplicaRequest](request, None)
                self.assertEqual(list(reply.ages_ms), wanted)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_what_a_node_has_itself_written_is_told_to_who_asks(self) -> None:
        async def run() -> None:
            telling, asking = (self.replicas(FakeStore(0.0, AWAY)) for _ in range(2))
            for replicas in (telling, asking):
                replicas.tables[PREFIX].replace([], 5, 0.0)
            telling.record_entry(PREFIX, ENTRY)

            async def call(
                _address: Address, message: msgspec.Struct, _timeout_ms: float
            ) -> Result:
                return Ok(await telling.handlers()[ReplicaRequest](message, None))

            asking._call_neighbour = call
            await asking._query(NEIGHBOUR)
            self.assertIn(ENTRY.key, asking.tables[PREFIX].entries)
            # Once a watch has told of it, there is nothing left to tell.
            telling.tables[PREFIX].apply([KvEvent(ENTRY.key, 7, ENTRY)], 7, 1.0)
            reply = await telling.handlers()[ReplicaRequest](ReplicaRequest({PREFIX: 5}), None)
            self.assertEqual(reply.noted, [])

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_snapshot_tells_what_was_heard_and_as_of_when_it_is_certain(self) -> None:
        async def run() -> None:
            await trio.sleep(2.0)
            telling, taking = (self.replicas(FakeStore(0.0, AWAY)) for _ in range(2))
            table = telling.tables[PREFIX]
            table.replace([ENTRY], 7, 100.0)
            table.apply([], 9, now_ms() - 100, now_ms() - 800)
            request = ReplicaRequest({PREFIX: 5})
            [snapshot] = (await telling.handlers()[ReplicaRequest](request, None)).snapshots
            taking._clocks.note_answer(snapshot.sender, now_ms(), snapshot.sent_ms)
            await taking.handlers()[ReplicaSnapshot](snapshot, None)
            taken = taking.tables[PREFIX]
            self.assertIn(ENTRY.key, taken.entries)
            self.assertAlmostEqual(taken.age_ms(now_ms()), 100, delta=5)
            self.assertAlmostEqual(taken.as_of_age_ms(now_ms()), 800, delta=5)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_neighbour_is_asked_as_soon_as_a_table_is_stale(self) -> None:
        asked_ms: list[float] = []

        async def neighbour(*_call: object) -> Result[msgspec.Struct, Fault]:
            asked_ms.append(now_ms())
            return Err(Fault(ResultCode.PEER_UNREACHABLE, "silent"))

        replicas = self.replicas(FakeStore(0.0, AWAY), call=neighbour, neighbours=(NEIGHBOUR,))

        def check() -> None:
            # At the start, before the store was read, it may be asked as well.
            stale_ms = next(at_ms for at_ms in asked_ms if at_ms > 0)
            self.assertAlmostEqual(stale_ms, WAIT_MS + 700, delta=50)
            self.assertEqual(replicas.agreed_age_ms(PREFIX), float("inf"))

        self.run_for(replicas, 2.5, check)

    def test_a_node_without_neighbours_has_nobody_who_could_know_more(self) -> None:
        replicas = self.replicas(FakeStore(0.0, AWAY))

        def check() -> None:
            self.assertEqual(replicas.agreed_age_ms(PREFIX), 0.0)

        self.run_for(replicas, 2.5, check)


if __name__ == "__main__":
    unittest.main()
