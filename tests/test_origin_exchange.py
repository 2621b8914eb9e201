"""Nodes and spools that exchange the origins of streams, and maintain the record of a service."""

import random
import unittest
from collections.abc import Awaitable, Callable, Collection
from functools import partial
from unittest import mock

import trio
import trio.testing
from result import Result

from fescuedock.core.stream_origins import KnownBy, OriginPolicy
from fescuedock.node import stream_origins
from fescuedock.schema.origins import StreamOrigin
from fescuedock.schema.result_codes import ResultCode
from tests.builders.kv import LostAnswer
from tests.builders.online import wait_until
from tests.builders.origin_nodes import SERVICE, OriginNodes
from tests.builders.standins import run_async

OLD, NEW = StreamOrigin(SERVICE, "v1"), StreamOrigin(SERVICE, "v2")
KEY = "stream"


class ExchangeTest(unittest.TestCase):
    def play(self, test: Callable[[], Awaitable[None]]) -> None:
        run_async(test, trio.testing.MockClock(autojump_threshold=0))

    def check_unknown(self, found: Result) -> None:
        self.assertTrue(found.is_err(), found)
        self.assertEqual(found.err_value.code, ResultCode.ORIGIN_UNKNOWN)

    def check_origin(self, found: Result, origin: StreamOrigin) -> None:
        known = found.ok_value
        self.assertEqual(StreamOrigin(known.service, known.software_version), origin)


class ConflictTest(ExchangeTest):
    """Two runs that began under one identity, at two versions: none of them may go on."""

    async def begin_twice(self, fleet: OriginNodes, nursery: trio.Nursery) -> None:
        fleet.list_versions("v1", "v2")
        fleet.record_versions("v1", "v2")
        await fleet.run(nursery)
        await fleet.start_stream("n-0", KEY, "v1")
        await fleet.start_stream("n-1", KEY, "v2")
        await trio.sleep(0.1)

    def test_no_node_resumes_a_stream_that_began_at_two_versions(self) -> None:
        async def test() -> None:
            for first in (*(f"n-{number}" for number in range(6)), "s-0", "s-1"):
                for name in (f"n-{number}" for number in range(6)):
                    async with trio.open_nursery() as nursery:
                        fleet = OriginNodes(spools=2)
                        await self.begin_twice(fleet, nursery)
                        fleet.delays_ms.default_factory = lambda: 6.0
                        fleet.delays_ms.clear()
                        fleet.delays_ms[first] = 1.0
                        with self.subTest(first_reply=first, asked=name):
                            self.check_unknown(await fleet.resume(name, KEY))
                        nursery.cancel_scope.cancel()

        self.play(test)

    def test_a_conflict_that_only_a_spool_knows_refuses_the_stream(self) -> None:
        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(spools=1)
                await self.begin_twice(fleet, nursery)
                for name in fleet.node_names[1:]:
                    fleet.start_node(name)
                fleet.start_spool("s-0")
                fleet.delays_ms["s-0"] = 6.0
                for name in fleet.node_names:
                    self.check_unknown(await fleet.resume(name, KEY))
                nursery.cancel_scope.cancel()

        self.play(test)

    def test_a_known_conflict_is_not_settled_by_a_node_that_knows_one_version(self) -> None:
        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes()
                await self.begin_twice(fleet, nursery)
                asked = next(
                    name
                    for name in fleet.node_names[2:]
                    if fleet.origins[name].memory.find(KEY, trio.current_time() * 1000) is None
                    and len(fleet.origins[name].memory)
                )
                fleet.messages.clear()
                fleet.silent.update(set(fleet.node_names) - {"n-0", asked})
                self.check_unknown(await fleet.resume(asked, KEY))
                self.assertEqual(fleet.messages.total(), 0)
                nursery.cancel_scope.cancel()

        self.play(test)

    def test_a_node_that_leaves_hands_over_a_conflict(self) -> None:
        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes()
                fleet.list_versions("v1", "v2")
                fleet.record_versions("v1", "v2")
                await fleet.run(nursery)
                for origin in (OLD, NEW):
                    fleet.origins["n-0"].memory.record(KEY, origin, 0.0)
                await fleet.origins["n-0"].leave()
                # One more node knows one of the two runs, and answers first.
                fleet.origins["n-1"].memory.record(KEY, OLD, 0.0)
                fleet.delays_ms["n-1"] = 0.5
                fleet.silent.add("n-0")
                for name in fleet.node_names[1:]:
                    self.check_unknown(await fleet.resume(name, KEY))
                nursery.cancel_scope.cancel()

        self.play(test)

    def test_replies_that_agree_are_not_waited_for_any_longer(self) -> None:
        async def waited_ms(silent: int) -> float:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(nodes=8, spools=2)
                fleet.list_versions("v1", "v2")
                fleet.record_versions("v1", "v2")
                await fleet.run(nursery)
                await fleet.start_stream("n-0", KEY, "v1")
                await trio.sleep(0.1)
                for number, name in enumerate(fleet.node_names):
                    fleet.delays_ms[name] = 1.0 + number % 7
                fleet.silent.update(fleet.node_names[-silent:] if silent else ())
                started_s = trio.current_time()
                self.check_origin(await fleet.resume("n-1", KEY), OLD)
                took_ms = (trio.current_time() - started_s) * 1000
                nursery.cancel_scope.cancel()
            return took_ms

        async def test() -> None:
            self.assertLessEqual(await waited_ms(silent=0), 8.0)
            self.assertLessEqual(await waited_ms(silent=3), 40.0)

        self.play(test)


class UnreadableRecordTest(ExchangeTest):
    """A record that cannot be decoded may have named any version, so none is concluded from it."""

    POLICY = OriginPolicy(retire_after_ms=5_000.0, retention_ms=2_000.0)

    def test_no_version_is_concluded_while_streams_of_an_unreadable_record_may_go_on(self) -> None:
        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(policy=self.POLICY)
                fleet.write_record(b"\xc1")
                fleet.list_versions("v2")
                await fleet.run(nursery)
                await trio.sleep(2.0)
                self.assertIn("v2", fleet.recorded)
                self.assertIn("v2", fleet.startable("n-0"))
                for name in fleet.node_names:
                    self.check_unknown(await fleet.resume(name, KEY))
                # All that it may have named is over by then.
                await trio.sleep(2 * self.POLICY.retire_after_ms / 1000 + 3.0)
                self.assertEqual(fleet.recorded, {"v2"})
                self.check_origin(await fleet.resume("n-0", KEY), NEW)
                nursery.cancel_scope.cancel()

        self.play(test)

    def test_an_unreadable_record_stays_until_a_version_is_listed(self) -> None:
        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(policy=self.POLICY)
                fleet.write_record(b"\xc1")
                await fleet.run(nursery)
                await trio.sleep(1.0)
                writes = fleet.kv.faults.writes_seen
                self.check_unknown(await fleet.resume("n-0", KEY))
                nursery.cancel_scope.cancel()
            self.assertEqual(writes, 0)

        self.play(test)

    def test_an_unreadable_record_is_logged_once_and_not_with_each_stream(self) -> None:
        async def test() -> None:
            fleet = OriginNodes(nodes=1)
            fleet.write_record(b"\xc1")
            with mock.patch.object(stream_origins, "log_event") as log:
                for _ in range(50):
                    fleet.startable("n-0")
            self.assertEqual(log.call_count, 1)

        self.play(test)


class RetirementTest(ExchangeTest):
    """The record may name a single version only if no stream of another one can go on."""

    POLICY = OriginPolicy(retire_after_ms=3_000.0, retention_ms=1_000.0)

    def test_a_retirement_that_lands_late_hides_no_version_that_has_returned(self) -> None:
        async def test(lost_write: int) -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(nodes=3, policy=self.POLICY)
                fleet.list_versions("v1", "v2")
                fleet.record_versions("v1", "v2")
                await fleet.run(nursery)
                fleet.kv.faults.lose_answer(LostAnswer.LATE_EFFECT, lost_write)
                fleet.list_versions("v2")
                await wait_until(lambda: fleet.kv.faults.writes_seen >= lost_write)
                fleet.kv.faults.down = True
                fleet.list_versions("v1", "v2")
                await trio.sleep(0.5)
                fleet.kv.faults.down = False
                await wait_until(lambda: "v1" in fleet.startable("n-0"))
                fleet.silent.update(fleet.node_names)
                await fleet.start_stream("n-0", KEY, "v1")
                fleet.kv.apply_late_writes()
                self.check_unknown(await fleet.resume("n-1", KEY))
                nursery.cancel_scope.cancel()

        for lost_write in (1, 2):
            with self.subTest(lost_write=lost_write):
                self.play(partial(test, lost_write))

    def test_the_record_decides_no_wrong_version_through_late_writes_and_stale_replicas(
        self,
    ) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self.play(partial(self.check_record, random.Random(seed)))

    async def check_record(self, rng: random.Random) -> None:
        """Let versions come and go while writes land late and nodes have stale replicas."""
        async with trio.open_nursery() as nursery:
            fleet = OriginNodes(nodes=3, policy=self.POLICY)
            fleet.list_versions("v1")
            fleet.record_versions("v1")
            await fleet.run(nursery)
            started: list[tuple[float, str]] = []
            stale_until_s = 0.0
            for _ in range(300):
                await trio.sleep(0.1)
                now_s = trio.current_time()
                if rng.random() < 0.04:
                    fleet.list_versions(*rng.choice((["v1"], ["v2"], ["v1", "v2"])))
                if rng.random() < 0.05:
                    fleet.kv.faults.lose_answer(LostAnswer.LATE_EFFECT)
                if rng.random() < 0.1:
                    fleet.kv.apply_late_writes()
                if not fleet.stale and rng.random() < 0.1:
                    fleet.stale.add(rng.choice(fleet.node_names))
                    stale_until_s = now_s + 1.5
                elif now_s >= stale_until_s:
                    for name in set(fleet.stale):
                        fleet.catch_up(name)
                started = [item for item in started if now_s - item[0] < 1.0]
                if len(fleet.recorded) == 1:
                    self.assertEqual({version for _, version in started} - fleet.recorded, set())
                for name in fleet.node_names:
                    startable = fleet.startable(name)
                    started += [
                        (now_s, item.software_version)
                        for item in fleet.views[name].upstreams.values()
                        if item.software_version in startable
                    ]
            nursery.cancel_scope.cancel()

    def test_a_version_that_has_gone_leaves_the_record_with_two_writes(self) -> None:
        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(nodes=3, policy=self.POLICY)
                fleet.list_versions("v1", "v2")
                fleet.record_versions("v1", "v2")
                await fleet.run(nursery)
                fleet.list_versions("v2")
                await trio.sleep(30.0)
                self.assertEqual(fleet.recorded, {"v2"})
                self.assertEqual(fleet.kv.faults.writes_seen, 2)
                self.check_origin(await fleet.resume("n-1", KEY), NEW)
                nursery.cancel_scope.cancel()

        self.play(test)

    def test_a_service_without_upstreams_keeps_its_versions_without_a_write(self) -> None:
        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(nodes=3, policy=self.POLICY)
                fleet.list_versions("v1")
                fleet.record_versions("v1", "v2")
                fleet.list_versions()
                await fleet.run(nursery)
                await trio.sleep(30.0)
                self.assertEqual(fleet.recorded, {"v1", "v2"})
                self.assertEqual(fleet.kv.faults.writes_seen, 0)
                nursery.cancel_scope.cancel()

        self.play(test)


class DiskTest(ExchangeTest):
    """Streams whose nodes are all lost, with the spools, right after their first events."""

    STREAMS = 20

    def prepared(self, **delays_ms: float) -> OriginNodes:
        fleet = OriginNodes(spools=2)
        fleet.list_versions("v1", "v2")
        fleet.record_versions("v1", "v2")
        fleet.delays_ms |= {name.replace("_", "-"): value for name, value in delays_ms.items()}
        return fleet

    async def known_after_loss(self, fleet: OriginNodes, silent: Collection[str] = ()) -> int:
        """Return how many of ``STREAMS`` are known when all lose power after each first event."""
        known = 0
        for number in range(self.STREAMS):
            async with trio.open_nursery() as nursery:
                await fleet.run(nursery)
                fleet.silent.update(silent)
                await fleet.start_stream(f"n-{number % 6}", f"{KEY}-{number}", "v1")
                nursery.cancel_scope.cancel()
            fleet.lose_power()
            fleet.silent.clear()
            found = await fleet.resume(f"n-{(number + 1) % 6}", f"{KEY}-{number}")
            known += found.is_ok()
        return known

    def test_a_stream_goes_on_after_all_lost_power_right_after_its_first_event(self) -> None:
        async def test() -> None:
            fleet = self.prepared(s_0=6.0, s_1=6.0)
            self.assertEqual(await self.known_after_loss(fleet), self.STREAMS)

        self.play(test)

    def test_another_spool_stores_the_origin_while_one_does_not_answer(self) -> None:
        async def test() -> None:
            fleet = self.prepared(s_1=6.0)
            self.assertEqual(await self.known_after_loss(fleet, silent=["s-0"]), self.STREAMS)

        self.play(test)

    def test_spools_that_do_not_answer_delay_few_streams_and_none_by_more_than_a_round(
        self,
    ) -> None:
        async def test() -> None:
            fleet = self.prepared()
            async with trio.open_nursery() as nursery:
                await fleet.run(nursery)
                fleet.silent.update(fleet.spool_names)
                waits_ms = []
                for number in range(100):
                    waits_ms.append(await fleet.start_stream("n-0", f"{KEY}-{number}", "v1"))
                    await trio.sleep(0.02)
                fleet.silent.update(fleet.node_names)
                alone_ms = await fleet.start_stream("n-0", KEY, "v1")
                nursery.cancel_scope.cancel()
            self.assertLessEqual(max(waits_ms), 61.0)
            self.assertLessEqual(sum(wait_ms > 5.0 for wait_ms in waits_ms), 8)
            self.assertLessEqual(alone_ms, 91.0)

        self.play(test)


class KnownByTest(ExchangeTest):
    """What is logged of a stream that is taken up tells how its version was determined."""

    def test_an_origin_tells_by_what_it_is_known(self) -> None:
        async def test() -> None:
            async with trio.open_nursery() as nursery:
                fleet = OriginNodes(spools=1)
                fleet.list_versions("v1", "v2")
                fleet.record_versions("v1", "v2")
                await fleet.run(nursery)
                await fleet.start_stream("n-0", KEY, "v1")
                await trio.sleep(0.1)
                found = (await fleet.resume("n-0", KEY)).ok_value
                self.assertEqual(found.known_by, KnownBy.MEMORY)
                unaware = next(
                    name for name in fleet.node_names if not len(fleet.origins[name].memory)
                )
                found = (await fleet.resume(unaware, KEY)).ok_value
                self.assertEqual(found.known_by, KnownBy.NODES)
                self.assertLessEqual({"n-0", "s-0"}, set(found.named_by))
                fleet.silent.update(fleet.node_names)
                found = (await fleet.resume(unaware, KEY)).ok_value
                self.assertEqual((found.known_by, found.named_by), (KnownBy.SPOOL, ("s-0",)))
                fleet.record_versions("v1")
                found = (await fleet.resume(unaware, "unknown")).ok_value
                self.assertEqual((found.known_by, found.named_by), (KnownBy.RECORD, ()))
                nursery.cancel_scope.cancel()

        self.play(test)

    def test_a_conflict_is_logged_with_its_versions(self) -> None:
        async def test() -> None:
            fleet = OriginNodes(nodes=1)
            for origin in (OLD, NEW):
                fleet.origins["n-0"].memory.record(KEY, origin, 0.0)
            with mock.patch.object(stream_origins, "log_event") as log:
                self.check_unknown(await fleet.resume("n-0", KEY))
            log.assert_called_once_with(
                "stream_origins_differ",
                stream_key=KEY,
                origins=["desk v1", "desk v2"],
                named_by=[],
            )

        self.play(test)


if __name__ == "__main__":
    unittest.main()
