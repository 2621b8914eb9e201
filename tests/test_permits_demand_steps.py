"""The forecast of steps of online demand, and which batch work begins by it."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.permits.actions import Granted
from fescuedock.core.permits.batch_start import BatchStart
from fescuedock.core.permits.demand_steps import DemandSteps
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.core.permits.waiting import Waiting
from fescuedock.schema.config import Objectives
from fescuedock.schema.permits import AttemptOutcome, BatchStage, PermitAsk, WorkClass
from fescuedock.schema.settings import PermitSettings
from tests.builders.permits import ask_for, end_of, new_queue

SLOTS = 8
LOW_MS, PERIOD_MS = 3600.0, 6000.0


def play_steps(learner: DemandSteps | BatchStart, until_ms: float, seed: int = 1) -> None:
    """Let a noisy count follow the steps up to ``until_ms``, seen each 50 ms."""
    rng = random.Random(seed)
    for at_ms in range(0, int(until_ms) + 1, 50):
        middle = 1.5 if at_ms % PERIOD_MS < LOW_MS else 7.0
        learner.observe(min(max(round(rng.gauss(middle, 1.0)), 0), SLOTS), float(at_ms))


def batch_ask(left_ms: int, slack_ms: int = 60_000) -> Waiting:
    ask = ask_for(WorkClass.BATCH, left_ms=left_ms, slack_ms=slack_ms)
    return Waiting(ask, 0.0, 0.0, 10 * PERIOD_MS + 3000.0 + slack_ms)


class ForecastTest(unittest.TestCase):
    """The next rise is known where rises keep to a period, and only there."""

    def test_a_steady_rhythm_is_learned_from_a_noisy_count(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                steps = DemandSteps(SLOTS)
                now_ms = 5 * PERIOD_MS + 1000.0
                play_steps(steps, now_ms, seed)
                to_rise_ms = steps.to_rise_ms(now_ms)
                self.assertIsNotNone(to_rise_ms)
                self.assertAlmostEqual(to_rise_ms, LOW_MS - 1000.0, delta=400.0)

    def test_a_rhythm_that_ended_is_no_longer_expected(self) -> None:
        """Items would else be kept back for a peak that does not come."""
        steps = DemandSteps(SLOTS)
        end_ms = 5 * PERIOD_MS + 1000.0
        play_steps(steps, end_ms)
        for at_ms in range(int(end_ms), int(end_ms + 2 * PERIOD_MS), 50):
            steps.observe(1, float(at_ms))
        self.assertIsNone(steps.to_rise_ms(end_ms + 2 * PERIOD_MS))

    def test_rises_at_unequal_distances_give_no_forecast(self) -> None:
        steps = DemandSteps(SLOTS)
        at_ms = 0.0
        for length_ms in (2000, 900, 5000, 1500, 700, 3000, 8000, 600, 2500, 4000):
            for count in (1, 8):
                for _ in range(length_ms // 100):
                    steps.observe(count, at_ms)
                    at_ms += 50.0
        self.assertIsNone(steps.to_rise_ms(at_ms))

    @given(st.lists(st.tuples(st.integers(0, SLOTS), st.integers(0, 20_000)), max_size=200))
    def test_any_count_gives_a_rise_within_one_period_or_none(
        self, seen: list[tuple[int, int]]
    ) -> None:
        steps = DemandSteps(SLOTS)
        now_ms = 0.0
        for online, after_ms in seen:
            now_ms += after_ms
            steps.observe(online, now_ms)
            to_rise_ms = steps.to_rise_ms(now_ms)
            if to_rise_ms is not None:
                self.assertTrue(0.0 <= to_rise_ms <= steps.period_ms)


class BatchStartTest(unittest.TestCase):
    """Five periods were seen; what waits is not urgent unless said."""

    def at(self, phase_ms: float) -> tuple[BatchStart, float]:
        start = BatchStart(SLOTS)
        now_ms = 10 * PERIOD_MS + phase_ms
        play_steps(start, now_ms)
        return start, now_ms

    def test_an_item_that_fits_before_the_rise_begins(self) -> None:
        start, now_ms = self.at(1500.0)
        self.assertTrue(start.may_begin(batch_ask(1200), 0, now_ms))

    def test_an_item_that_the_rise_would_cut_once_more_waits(self) -> None:
        start, now_ms = self.at(2800.0)
        self.assertFalse(start.may_begin(batch_ask(3000), 0, now_ms))

    def test_an_item_that_needs_two_runs_anyway_begins(self) -> None:
        """Left to wait it would be cut as often, and be done a period later."""
        start, now_ms = self.at(1500.0)
        self.assertTrue(start.may_begin(batch_ask(4500), 0, now_ms))

    def test_an_urgent_item_takes_any_free_slot(self) -> None:
        start, now_ms = self.at(2800.0)
        self.assertTrue(start.may_begin(batch_ask(3000, slack_ms=1000), 0, now_ms))

    def test_batch_counts_as_short_of_time_for_a_while_after_some_was(self) -> None:
        """Held back again at once, more items are late where more come than fit."""
        start = BatchStart(SLOTS)
        fresh = batch_ask(3000)
        late = Waiting(ask_for(WorkClass.BATCH, stage=BatchStage.LATE), 0.0, 0.0, 0.0)
        self.assertFalse(start.is_short([fresh], 0.0))
        self.assertTrue(start.is_short([fresh, late], 1.0))
        self.assertTrue(start.is_short([fresh], 5000.0))
        self.assertFalse(start.is_short([fresh], 20_000.0))

    def test_a_slot_that_online_left_within_a_peak_is_kept_for_it(self) -> None:
        start, now_ms = self.at(LOW_MS + 1200.0)
        start.observe(SLOTS, now_ms)
        start.observe(SLOTS - 2, now_ms + 1.0)
        self.assertFalse(start.may_begin(batch_ask(1000), 0, now_ms + 400.0))


class QueueHoldTest(unittest.TestCase):
    """Online fills the declared slots of an upstream each 6 s, and leaves one for a moment."""

    def granted_batch(self, ask: PermitAsk, periods: int = 6) -> bool:
        terms = UpstreamTerms(Objectives(online_weight=0.0), slots=SLOTS)
        queue = new_queue(PermitSettings(), terms)
        for period in range(periods):
            rise_ms = int((period + 1) * PERIOD_MS)
            for at_ms in range(int(period * PERIOD_MS), rise_ms, 50):
                queue.tick(float(at_ms))
            # Their permits lapse after 600 ms, which ends the peak.
            online = [ask_for() for _ in range(SLOTS)]
            for item in online:
                queue.ask(item, float(rise_ms))
        for at_ms in range(rise_ms, rise_ms + 200, 10):
            queue.tick(float(at_ms))
        queue.end(end_of(online[0], AttemptOutcome.COMPLETED), rise_ms + 200.0)
        queue.ask(ask, rise_ms + 201.0)
        # Past the hold of the limit itself.
        return any(isinstance(action, Granted) for action in queue.tick(rise_ms + 370.0))

    def test_without_a_rhythm_batch_begins_in_any_slot(self) -> None:
        """Held back there as well, items were late on an even load."""
        self.assertTrue(self.granted_batch(ask_for(WorkClass.BATCH, left_ms=4500), periods=1))

    def test_batch_with_time_leaves_the_slot_to_the_next_call(self) -> None:
        self.assertFalse(self.granted_batch(ask_for(WorkClass.BATCH, left_ms=4500)))

    def test_batch_that_is_short_of_time_takes_it(self) -> None:
        ask = ask_for(WorkClass.BATCH, left_ms=4500, stage=BatchStage.ENDANGERED)
        self.assertTrue(self.granted_batch(ask))


if __name__ == "__main__":
    unittest.main()
