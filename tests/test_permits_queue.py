"""The rules of one upstream's queue."""

import unittest

from fescuedock.core.permits.actions import Granted, Refused, Revoked
from fescuedock.core.permits.limits import AttemptSample, UpstreamLimits
from fescuedock.core.permits.outstanding import Concurrency
from fescuedock.core.permits.prediction import FirstTokenModel
from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.core.permits.waiting import MemberShares
from fescuedock.schema.config import Objectives
from fescuedock.schema.permits import AttemptOutcome, BatchStage, HeldPermit, PermitAsk, WorkClass
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import PermitSettings
from tests.builders.permits import VALID_MS, ask_for, end_of, new_queue

LIMIT = 4


def full_queue(**terms: object) -> UpstreamQueue:
    """Return a queue with a configured limit of ``LIMIT`` concurrent attempts."""
    settings = PermitSettings(start_limit=LIMIT, quiet_ms=0)
    fields = {"objectives": Objectives(online_weight=0.0), "max_in_flight": LIMIT, **terms}
    return new_queue(settings, UpstreamTerms(**fields))


def held_permit(ask: PermitAsk, **changes: object) -> HeldPermit:
    fields: dict = {
        "permit_id": ask.attempt_id,
        "upstream_id": ask.upstream_id,
        "attempt_id": ask.attempt_id,
        "service": ask.service,
        "member": ask.member,
        "work_class": ask.work_class,
    }
    return HeldPermit(**{**fields, **changes})


class QueueTest(unittest.TestCase):
    """Which requests are granted, which wait, and which runs are revoked."""

    def test_online_revokes_the_batch_run_with_the_least_lost_work(self) -> None:
        queue = full_queue()
        asks = [ask_for(WorkClass.BATCH, prompt_tokens=tokens) for tokens in (300, 100, 200, 400)]
        for ask in asks:
            self.assertIsInstance(queue.submit(ask, 0.0)[0], Granted)
        actions = queue.submit(ask_for(), 1.0)
        revoked = [item.permit_id for item in actions if isinstance(item, Revoked)]
        self.assertEqual(revoked, [asks[1].attempt_id])

    def test_the_batch_run_with_the_longest_remaining_time_is_revoked_first(self) -> None:
        queue = full_queue()
        asks = [ask_for(WorkClass.BATCH, left_ms=left_ms) for left_ms in (500, 4000, 900, 2000)]
        self.assertEqual(self.first_revoked(queue, asks), asks[1].attempt_id)

    def test_late_batch_is_revoked_before_work_that_can_be_on_time(self) -> None:
        queue = full_queue()
        stages = (BatchStage.ENDANGERED, BatchStage.BEGUN, BatchStage.LATE, BatchStage.FRESH)
        asks = [ask_for(WorkClass.BATCH, left_ms=1000, stage=stage) for stage in stages]
        self.assertEqual(self.first_revoked(queue, asks), asks[2].attempt_id)

    def first_revoked(self, queue: UpstreamQueue, asks: list[PermitAsk]) -> str:
        for ask in asks:
            self.assertIsInstance(queue.submit(ask, 0.0)[0], Granted)
        actions = queue.submit(ask_for(), 1.0)
        return next(item.permit_id for item in actions if isinstance(item, Revoked))

    def test_a_request_that_waits_in_several_queues_counts_for_its_share(self) -> None:
        def predicted_ms(queues: int) -> float:
            queue = full_queue()
            for _ in range(LIMIT):
                queue.submit(ask_for(), 0.0)
            for _ in range(3):
                queue.submit(ask_for(wait_ms=60_000, target_ms=60_000, queues=queues), 1.0)
            return queue.load(2.0).first_token_ms

        self.assertGreater(predicted_ms(1), 1.5 * predicted_ms(3))

    def test_batch_that_is_due_soon_is_revoked_last(self) -> None:
        queue = full_queue()
        urgent = ask_for(WorkClass.BATCH, prompt_tokens=1, slack_ms=1000)
        others = [ask_for(WorkClass.BATCH, prompt_tokens=500) for _ in range(LIMIT - 1)]
        for ask in (urgent, *others):
            queue.submit(ask, 0.0)
        revoked = [
            action.permit_id
            for _ in range(LIMIT - 1)
            for action in queue.submit(ask_for(), 1.0)
            if isinstance(action, Revoked)
        ]
        self.assertNotIn(urgent.attempt_id, revoked)
        self.assertEqual(len(revoked), LIMIT - 1)

    def test_a_member_below_its_share_goes_before_one_above(self) -> None:
        queue = full_queue(shares=MemberShares({"m1": 1.0, "m2": 1.0}))
        running = [ask_for(member="m1") for _ in range(LIMIT)]
        for ask in running:
            queue.submit(ask, 0.0)
        queue.submit(ask_for(member="m1", wait_ms=60_000, slack_ms=60_000), 1.0)
        late = ask_for(member="m2", wait_ms=60_000, slack_ms=60_000)
        queue.submit(late, 2.0)
        actions = queue.end(end_of(running[0], AttemptOutcome.COMPLETED), 3.0)
        self.assertEqual([item.request.attempt_id for item in actions], [late.attempt_id])

    def test_a_refusal_is_immediate_and_gives_a_retry_time(self) -> None:
        queue = full_queue()
        running = [ask_for() for _ in range(2 * LIMIT)]
        for ask in running[:LIMIT]:
            queue.submit(ask, 0.0)
        for ended, started in zip(running[:LIMIT], running[LIMIT:], strict=True):
            queue.end(end_of(ended, AttemptOutcome.COMPLETED), 400.0)
            queue.submit(started, 400.0)
        (refused,) = queue.submit(ask_for(wait_ms=50), 400.0)
        self.assertIsInstance(refused, Refused)
        self.assertEqual(refused.retry_after_ms, 400 // LIMIT)

    def test_a_repeated_request_gets_the_same_permit_and_counts_once(self) -> None:
        queue = full_queue()
        ask = ask_for()
        first, again = queue.submit(ask, 0.0) + queue.submit(ask, 1.0)
        self.assertEqual(first.permit_id, again.permit_id)
        self.assertEqual(queue.load(1.0).in_flight_online, 1)

    def test_a_request_overtaken_by_its_end_is_refused(self) -> None:
        queue = full_queue()
        ask = ask_for()
        queue.end(end_of(ask, AttemptOutcome.CANCELLED), 0.0)
        (refused,) = queue.submit(ask, 1.0)
        self.assertEqual(refused.code, ResultCode.REVOKED)
        self.assertEqual(queue.load(1.0).in_flight_online, 0)

    def test_a_new_owner_admits_online_at_once_and_batch_after_a_renewal_period(self) -> None:
        queue = new_queue(rebuild_ms=VALID_MS)
        self.assertIsInstance(queue.submit(ask_for(), 1.0)[0], Granted)
        self.assertEqual(queue.submit(ask_for(WorkClass.BATCH), 1.0), [])
        self.assertEqual(queue.tick(VALID_MS - 1.0), [])
        self.assertIsInstance(queue.tick(VALID_MS + 1.0)[0], Granted)

    def test_a_new_owner_adopts_running_attempts_and_revokes_those_beyond_the_limit(self) -> None:
        queue = full_queue()
        asks = [ask_for(WorkClass.BATCH) for _ in range(LIMIT + 2)]
        for ask in asks:
            self.assertTrue(queue.renew("h1", held_permit(ask), 1.0))
        revoked = [item for item in queue.trim(1.0) if isinstance(item, Revoked)]
        self.assertEqual(len(revoked), 2)
        self.assertFalse(queue.renew("h1", held_permit(asks[0]), 2.0))

    def test_an_owner_that_was_paused_does_not_expire_permits(self) -> None:
        queue = full_queue()
        queue.submit(ask_for(), 0.0)
        queue.tick(10 * VALID_MS)
        self.assertEqual(queue.load(10 * VALID_MS).in_flight_online, 1)
        queue.tick(10 * VALID_MS + VALID_MS * 0.4)
        queue.tick(10 * VALID_MS + VALID_MS * 0.8)
        queue.tick(10 * VALID_MS + VALID_MS * 1.2)
        self.assertEqual(queue.load(11.2 * VALID_MS).in_flight_online, 0)

    def test_a_leaving_upstream_lets_running_work_finish(self) -> None:
        queue = full_queue()
        held = ask_for(WorkClass.BATCH)
        queue.submit(held, 0.0)
        queue.set_terms(UpstreamTerms(admitting=False), 1.0)
        self.assertIsInstance(queue.submit(ask_for(), 2.0)[0], Refused)
        self.assertTrue(queue.renew("h1", held_permit(held), 3.0))

    def test_with_a_weight_of_one_online_revokes_batch_with_unprocessed_prompts(self) -> None:
        terms = UpstreamTerms(Objectives(online_weight=1.0), max_in_flight=64)
        queue = new_queue(PermitSettings(start_limit=64, quiet_ms=0, revocation_ms=1), terms)
        for number in range(20):
            ask = ask_for(prompt_tokens=100 + 100 * number)
            queue.submit(ask, number * 1000.0)
            first_ms = 10.0 + 0.05 * ask.prompt_tokens
            ended = end_of(ask, AttemptOutcome.COMPLETED, first_token_ms=first_ms)
            queue.end(ended, number * 1000.0 + 500)
        batch = ask_for(WorkClass.BATCH, prompt_tokens=2000)
        self.assertIsInstance(queue.submit(batch, 30_000.0)[0], Granted)
        revoked = [item for item in queue.submit(ask_for(), 30_001.0) if isinstance(item, Revoked)]
        self.assertEqual([item.permit_id for item in revoked], [batch.attempt_id])


class LimitsTest(unittest.TestCase):
    """How the limits follow the measured latency."""

    def new_limits(self, **objectives: object) -> UpstreamLimits:
        fields = {"online_weight": 0.0, "online_share": 0.95, **objectives}
        return UpstreamLimits(PermitSettings(start_limit=8), Objectives(**fields), 0.0)

    def run_attempts(self, limits: UpstreamLimits, gap_ms: float, count: int = 40) -> None:
        for number in range(count):
            now_ms = 1000.0 * (number + 1)
            concurrency = Concurrency(in_flight=limits.mixed(now_ms), batch_share=0.9)
            limits.observe_attempt(AttemptSample(-1.0, gap_ms, now_ms - 500, concurrency), now_ms)
            limits.adjust(1, limits.mixed(now_ms), now_ms)

    def test_the_mixed_limit_rises_while_online_keeps_its_objectives(self) -> None:
        limits = self.new_limits(inter_token_ms=31)
        self.run_attempts(limits, gap_ms=20)
        self.assertGreater(limits.mixed(40_000.0), 40)

    def test_misses_with_concurrent_batch_cut_the_mixed_limit_and_not_the_hard_one(self) -> None:
        limits = self.new_limits(inter_token_ms=31)
        hard = limits.hard
        self.run_attempts(limits, gap_ms=40)
        self.assertLess(limits.mixed(40_000.0), 4)
        self.assertEqual(limits.hard, hard)

    def test_a_queueing_engine_sets_the_hard_limit_but_not_again_within_the_lag(self) -> None:
        limits = self.new_limits()
        limits.observe_load(64, 10, 2000.0)
        self.assertEqual(limits.hard, 64)
        limits.observe_load(32, 10, 2500.0)
        self.assertEqual(limits.hard, 64)

    def test_online_weight_moves_the_limit_to_the_peak_of_online_by_itself(self) -> None:
        limits = self.new_limits(online_weight=1.0, inter_token_ms=31)
        limits.observe_online_start(3, 0.0)
        self.run_attempts(limits, gap_ms=20)
        self.assertLessEqual(limits.mixed(40_000.0), 4)


class FirstTokenModelTest(unittest.TestCase):
    """The prediction by which entries choose upstreams."""

    def test_overestimated_prefill_does_not_accumulate(self) -> None:
        model = FirstTokenModel(30_000.0)
        for number in range(20):
            start = model.record_start(100 * (number + 1), 1, number * 100.0)
            model.observe(start, 10.0 + 5.0 * number, number * 100.0 + 90)
        for _ in range(1000):
            model.record_start(1000, 1, 2000.0)
        self.assertLess(model.prefill_ahead_ms(2000.0), 200)


if __name__ == "__main__":
    unittest.main()
