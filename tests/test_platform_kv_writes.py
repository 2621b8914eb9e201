"""put_resolved: its result for a write is correct, whichever answers are lost."""

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
LATE_EFFECT_MS = 70
NOT_WRITTEN = (ResultCode.KV_CONFLICT, ResultCode.KV_UNAVAILABLE)

# Numbers of the writes whose answers are lost, and whether the write takes effect.
lost_answers = st.dictionaries(
    st.integers(min_value=1, max_value=12), st.sampled_from(LostAnswer), max_size=8
)
# Durations that alternate between available and unavailable.
outages_ms = st.lists(st.integers(min_value=1, max_value=400), max_size=4)


@dataclass(slots=True)
class Oracle:
    """Every value that was written, in order, and the results that the writers got."""

    written: list[tuple[int, bytes]] = field(default_factory=list)
    results: list[tuple[bytes, Result[int, Fault]]] = field(default_factory=list)

    def record_writes(self, state: KvState) -> None:
        state.listeners.append(
            lambda event: self.written.append((event.revision, event.entry.value))
        )

    def check(self, test: unittest.TestCase) -> None:
        """Check that each reported write exists, no write reported as failed does, none twice."""
        values = [value for _, value in self.written]
        test.assertEqual(len(values), len(set(values)))
        for value, result in self.results:
            match result:
                case Ok(revision):
                    test.assertIn((revision, value), self.written)
                case Err(fault) if fault.code in NOT_WRITTEN:
                    test.assertNotIn(value, values)
                case Err(fault):
                    test.assertEqual(fault.code, ResultCode.KV_UNKNOWN)


async def write_values(kv: KvStore, name: str, count: int, oracle: Oracle) -> None:
    """Write ``count`` values, each on the revision that is read before it."""
    for number in range(count):
        found = await kv.get(KEY)
        if isinstance(found, Err):
            await trio.sleep(0.05)
            continue
        revision = found.ok_value.mod_revision if found.ok_value else 0
        value = f"{name}{number}".encode()
        result = await put_resolved(kv, KEY, value, revision, lambda current, v=value: current == v)
        oracle.results.append((value, result))


async def cause_outages(faults: KvFaults, outages: list[int]) -> None:
    for outage_ms in outages:
        await trio.sleep(outage_ms / 1000)
        faults.down = not faults.down
    faults.down = False


async def apply_late_writes(kv: MemoryKv) -> None:
    while True:
        await trio.sleep(LATE_EFFECT_MS / 1000)
        kv.apply_late_writes()


class PutResolvedTest(unittest.TestCase):
    @settings(max_examples=400)
    @given(lost_answers, outages_ms, st.integers(min_value=0, max_value=30))
    def test_concurrent_writers_get_correct_results(self, lost, outages, delay_ms):
        kv = MemoryKv()
        kv.faults.delay_ms = delay_ms
        for call_number, effect in lost.items():
            kv.faults.lose_answer(effect, call_number)
        oracle = Oracle()
        oracle.record_writes(kv.state)

        async def run() -> None:
            async with trio.open_nursery() as background:
                background.start_soon(apply_late_writes, kv)
                async with trio.open_nursery() as writers:
                    writers.start_soon(cause_outages, kv.faults, outages)
                    for name in ("a", "b", "c"):
                        writers.start_soon(write_values, kv, name, 3, oracle)
                background.cancel_scope.cancel()
            kv.apply_late_writes()

        run_async(run, trio.testing.MockClock(autojump_threshold=0))
        oracle.check(self)

    @settings(max_examples=25)
    @given(lost_answers)
    def test_writers_over_http_get_correct_results(self, lost):
        oracle = Oracle()

        async def run() -> None:
            async with running_kv() as (service, kv):
                service.faults.late_effect_ms = LATE_EFFECT_MS
                for call_number, effect in lost.items():
                    service.faults.lose_answer(effect, call_number)
                oracle.record_writes(service.state)
                async with trio.open_nursery() as writers:
                    for name in ("a", "b"):
                        writers.start_soon(write_values, kv, name, 3, oracle)
                await trio.sleep(LATE_EFFECT_MS / 1000)

        # The test's clock runs 20 times as fast as real time.
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

    def test_compacted_history_leaves_the_outcome_unknown(self):
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
                nursery.start_soon(cause_outages, kv.faults, [20, 60_000])
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
