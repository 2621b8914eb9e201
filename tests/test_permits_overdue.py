"""Late batch work is not passed over indefinitely in the queue of an upstream."""

import unittest

from fescuedock.core.permits.actions import Granted, Revoked
from fescuedock.core.permits.holder import HeldGrant
from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.queued import OVERDUE_GRANT_INTERVAL
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.schema.permits import AttemptOutcome, BatchStage, PermitAsk, WorkClass
from fescuedock.schema.settings import PermitSettings
from tests.builders.permits import ask_for, end_of, new_queue

LATE = {"stage": BatchStage.LATE, "slack_ms": -10_000, "left_ms": 500}
FRESH = {"stage": BatchStage.FRESH, "slack_ms": 9000, "left_ms": 500}


class OverdueTest(unittest.TestCase):
    """One slot, and always more waiting work than it can run."""

    def setUp(self) -> None:
        self.queue: UpstreamQueue = new_queue(PermitSettings(quiet_ms=0), UpstreamTerms(slots=1))
        self.now_ms = 0.0
        self.running = self.ask(**FRESH)

    def ask(self, **changes: object) -> PermitAsk:
        ask = ask_for(WorkClass.BATCH, **changes)
        self.queue.submit(ask, self.now_ms)
        return ask

    def granted(self, count: int, **other: object) -> list[PermitAsk]:
        """End one run after another while work like ``other`` is added; return the grants."""
        granted = []
        for _ in range(count):
            self.ask(**(other or FRESH))
            self.ask(**(other or FRESH))
            self.now_ms += 100.0
            end = end_of(self.running, AttemptOutcome.COMPLETED)
            [grant] = [
                item for item in self.queue.end(end, self.now_ms) if isinstance(item, Granted)
            ]
            self.running = grant.request
            granted.append(grant.request)
        return granted

    def test_late_work_is_granted_however_much_other_work_arrives(self) -> None:
        """Guards against late items that waited as long as more recent ones kept arriving."""
        late = self.ask(**LATE)
        self.assertIn(late, self.granted(OVERDUE_GRANT_INTERVAL))

    def test_all_late_work_is_served_the_longest_overdue_first(self) -> None:
        late = [self.ask(**LATE | {"slack_ms": -slack_ms}) for slack_ms in (7000, 9000, 8000)]
        granted = [ask for ask in self.granted(3 * OVERDUE_GRANT_INTERVAL) if ask in late]
        self.assertEqual(granted, [late[1], late[2], late[0]])

    def test_overdue_work_gets_no_more_than_its_share_of_the_grants(self) -> None:
        for _ in range(30):
            self.ask(**LATE)
        granted = self.granted(10 * OVERDUE_GRANT_INTERVAL)
        self.assertLessEqual(sum(ask.stage is BatchStage.LATE for ask in granted), 10)

    def test_it_holds_with_customers_and_priorities(self) -> None:
        for priority in (0, 3):
            with self.subTest(priority=priority):
                late = self.ask(**LATE, member="small", priority=priority)
                granted = self.granted(OVERDUE_GRANT_INTERVAL, **FRESH, member="big", priority=0)
                self.assertIn(late, granted)

    def test_work_that_has_just_become_late_waits_for_work_that_can_be_on_time(self) -> None:
        late = self.ask(**LATE | {"slack_ms": -100})
        self.assertNotIn(late, self.granted(2 * OVERDUE_GRANT_INTERVAL))

    def test_an_unused_overdue_grant_remains_due(self) -> None:
        self.granted(2 * OVERDUE_GRANT_INTERVAL)
        late = self.ask(**LATE)
        self.assertEqual(self.granted(1), [late])


class OverdueGrantTest(unittest.TestCase):
    """A run granted from the share of overdue work is not the first to be revoked."""

    def setUp(self) -> None:
        self.queue = new_queue(
            PermitSettings(quiet_ms=0), UpstreamTerms(slots=OVERDUE_GRANT_INTERVAL)
        )
        self.fresh = [ask_for(WorkClass.BATCH, **FRESH) for _ in range(OVERDUE_GRANT_INTERVAL - 1)]
        self.late = ask_for(WorkClass.BATCH, **LATE)
        for ask in (*self.fresh, self.late):
            self.queue.submit(ask, 0.0)

    def test_a_run_granted_as_overdue_is_revoked_like_one_that_has_begun(self) -> None:
        # Its first event came at once, so the run is no longer protected.
        held = HeldGrant(self.late, 0.0, 1000.0, first_token_ms=10.0, generated_tokens=5)
        self.queue.renew("h1", held.as_held(100.0), 100.0)
        revoked = [item.permit_id for item in self.queue.submit(ask_for(), 100.0)[1:]]
        self.assertEqual(len(revoked), 1)
        self.assertNotEqual(revoked, [self.late.attempt_id])

    def test_calls_with_other_upstreams_do_not_cut_it_off_before_its_first_event(self) -> None:
        """Guards against runs of overdue work that the next call cut off."""
        revoked = [
            item.permit_id
            for _ in range(OVERDUE_GRANT_INTERVAL)
            for item in self.queue.submit(ask_for(), 1.0)
            if isinstance(item, Revoked)
        ]
        self.assertEqual(set(revoked), {ask.attempt_id for ask in self.fresh})


if __name__ == "__main__":
    unittest.main()
