"""put_resolved: what it says about a write is true, whatever answers are lost."""

import unittest
from dataclasses import dataclass, field

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from fescuedock.backing.kv_writes import put_resolved
from fescuedock.faults import Fault
from fescuedock.kv import KvStore
from fescuedock.schema.result_codes import ResultCode
from fescuedock.standin.kv_faults import KvFaults, LostAnswer
from fescuedock.standin.kv_state import KvState
from tests.builders.kv import MemoryKv
from tests.builders.standins import run_async, running_kv

KEY = "record"
LATE_LANDING_MS = 70
NOT_WRITTEN = (ResultCode.KV_CONFLICT, ResultCode.KV_UNAVAILABLE)

# Which of the first writes lose their answer, and how.
lost_answers = st.dictionaries(
    st.integers(min_value=1, max_value=12), st.sampled_from(LostAnswer), max_size=8
)
# Times from one outage's beginning or end to the next.
outages_ms = st.lists(st.integers(min_value=1, max_value=400), max_size=4)


@dataclass(slots=True)
class Oracle:
    """Every value that was ever written, in order, and what the writers were told."""

    written: list[tuple[int, bytes]] = field(default_factory=list)
    told: list[tuple[bytes, Result[int, Fault]]] = field(default_factory=list)

    def follow(self, state: KvState) -> None:
        state.listeners.append(
            lambda event: self.written.append((event.revision, event.entry.value))
        )

    def check(self, test: unittest.TestCase) -> None:
        """What was said to be written is there; what was said not to be is not, nor twice."""
        values = [value for _, value in self.written]
        test.assertEqual(len(values), len(set(values)))
        for value, result in self.told:
            match result:
                case Ok(revision):
                    test.assertIn((revision, value), self.written)
                case Err(fault) if fault.code in NOT_WRITTEN:
                    test.assertNotIn(value, values)
                case Err(fault):
                    test.assertEqual(fault.code, ResultCode.KV_UNKNOWN)


async def write_some(kv: KvStore, name: str, count: int, oracle: Oracle) -> None:
    """Write ``count`` values, each on top of what is read before."""
    for number in range(count):
        found = await kv.get(KEY)
        if isinstance(found, Err):
            await trio.sleep(0.05)
            continue
        revision = found.ok_value.mod_revision if found.ok_value else 0
        value = f"{name}{number}".encode()
        result = await put_resolved(kv, KEY, value, revision, lambda there, v=value: there == v)
        oracle.told.append((value, result))


async def break_service(faults: KvFaults, outages: list[int]) -> None:
    for outage_ms in outages:
        await trio.sleep(outage_ms / 1000)
        faults.down = not faults.down
    faults.down = False


async def land_late(kv: MemoryKv) -> None:
    while True:
        await trio.sleep(LATE_LANDING_MS / 1000)
        kv.apply_late_writes()


class PutResolvedTest(unittest.TestCase):
    @settings(max_examples=400)
    @given(lost_answers, outages_ms, st.integers(min_value=0, max_value=30))
    def test_two_writers_are_told_the_truth(self, lost, outages, delay_ms):
        kv = MemoryKv()
        kv.faults.delay_ms = delay_ms
        for nth, when in lost.items():
            kv.faults.lose_answer(when, nth)
        oracle = Oracle()
        oracle.follow(kv.state)

        async def run() -> None:
            async with trio.open_nursery() as background:
                background.start_soon(land_late, kv)
                async with trio.open_nursery() as writers:
                    writers.start_soon(break_service, kv.faults, outages)
                    for name in ("a", "b", "c"):
                        writers.start_soon(write_some, kv, name, 3, oracle)
                background.cancel_scope.cancel()
            kv.apply_late_writes()

        run_async(run, trio.testing.MockClock(autojump_threshold=0))
        oracle.check(self)

    @settings(max_examples=25)
    @given(lost_answers)
    def test_writers_over_http_are_told_the_truth(self, lost):
        oracle = Oracle()

        async def run() -> None:
            async with running_kv() as (service, kv):
                service.faults.late_effect_ms = LATE_LANDING_MS
                for nth, when in lost.items():
                    service.faults.lose_answer(when, nth)
                oracle.follow(service.state)
                async with trio.open_nursery() as writers:
                    for name in ("a", "b"):
                        writers.start_soon(write_some, kv, name, 3, oracle)
                await trio.sleep(LATE_LANDING_MS / 1000)

        # Twenty seconds of the test's time pass in one.
        run_async(run, trio.testing.MockClock(rate=20))
        oracle.check(self)

    def test_a_lost_write_that_was_overwritten_is_still_found(self):
        async def run() -> None:
            kv = MemoryKv()
            kv.faults.lose_answer(LostAnswer.AFTER_EFFECT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._overwrite, kv)
                result = await put_resolved(kv, KEY, b"ours", 0, lambda value: value == b"ours")
            self.assertEqual(result, Ok(2))
            self.assertEqual(kv.state.get(KEY).value, b"theirs")

        run_async(run, trio.testing.MockClock(autojump_threshold=0))

    async def _overwrite(self, kv: MemoryKv) -> None:
        await trio.sleep(0.01)
        kv.state.put(KEY, b"theirs")

    def test_history_that_is_gone_leaves_it_unknown(self):
        async def run() -> None:
            kv = MemoryKv()
            kv.faults.lose_answer(LostAnswer.AFTER_EFFECT)

            async def overwrite_and_compact() -> None:
                await self._overwrite(kv)
                kv.state.compact(kv.state.revision)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(overwrite_and_compact)
                result = await put_resolved(kv, KEY, b"ours", 0, lambda value: value == b"ours")
            self.assertEqual(result.err_value.code, ResultCode.KV_UNKNOWN)

        run_async(run, trio.testing.MockClock(autojump_threshold=0))

    def test_an_outage_before_anything_was_sent_is_reported_at_once(self):
        async def run() -> None:
            kv = MemoryKv()
            kv.faults.down = True
            result = await put_resolved(kv, KEY, b"ours", 0, lambda value: True)
            self.assertEqual(result.err_value.code, ResultCode.KV_UNAVAILABLE)
            self.assertEqual(kv.faults.total_calls, 1)

        run_async(run, trio.testing.MockClock(autojump_threshold=0))

    def test_an_outage_after_a_lost_answer_is_unknown(self):
        async def run() -> None:
            kv = MemoryKv()
            kv.faults.lose_answer(LostAnswer.AFTER_EFFECT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(break_service, kv.faults, [20, 60_000])
                result = await put_resolved(kv, KEY, b"ours", 0, lambda value: value == b"ours")
                nursery.cancel_scope.cancel()
            self.assertEqual(result.err_value.code, ResultCode.KV_UNKNOWN)

        run_async(run, trio.testing.MockClock(autojump_threshold=0))

    def test_a_lapsed_lease_is_a_conflict(self):
        async def run() -> None:
            kv = MemoryKv()
            lease_id = (await kv.grant_lease(5)).ok_value
            kv.lapse_lease(lease_id)
            result = await put_resolved(kv, KEY, b"ours", 0, lambda value: True, lease_id)
            self.assertEqual(result.err_value.code, ResultCode.KV_CONFLICT)

        run_async(run, trio.testing.MockClock(autojump_threshold=0))
