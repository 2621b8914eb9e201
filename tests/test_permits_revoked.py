"""Batch runs are cut off only for a call that needs their slot, and not indefinitely."""

import unittest

from fescuedock.core.permits.actions import Granted, Refused, Revoked
from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.schema.permits import AttemptOutcome, HeldPermit, PermitAsk, WorkClass
from fescuedock.schema.settings import PermitSettings
from tests.builders.permits import ask_for, end_of, new_queue

SLOTS = 4
PROTECTED_BARREN_RUNS = 2


def slots_queue() -> UpstreamQueue:
    return new_queue(PermitSettings(quiet_ms=0), UpstreamTerms(slots=SLOTS))


def ask_online(queue: UpstreamQueue, now_ms: float, wait_ms: int = 0) -> PermitAsk:
    ask = ask_for(wait_ms=wait_ms)
    queue.submit(ask, now_ms)
    return ask


class PeakTest(unittest.TestCase):
    """After a peak of online calls their slots are withheld from batch for a moment."""

    def test_a_peak_that_is_over_cuts_off_no_run_while_slots_are_free(self) -> None:
        """Guards against runs that were cut off although no call needed their slots."""
        queue = slots_queue()
        calls = [ask_online(queue, 0.0) for _ in range(SLOTS)]
        for call in calls[1:]:
            queue.end(end_of(call, AttemptOutcome.COMPLETED), 10.0)
        # With one call left the peak does not count, so batch starts.
        run = ask_for(WorkClass.BATCH)
        self.assertIsInstance(queue.submit(run, 20.0)[0], Granted)
        actions = queue.submit(ask_for(), 30.0)
        self.assertEqual([item for item in actions if isinstance(item, Revoked)], [])

    def test_a_peak_still_keeps_batch_from_starting(self) -> None:
        queue = slots_queue()
        calls = [ask_online(queue, 0.0) for _ in range(SLOTS)]
        queue.end(end_of(calls[0], AttemptOutcome.COMPLETED), 10.0)
        self.assertEqual(queue.submit(ask_for(WorkClass.BATCH), 20.0), [])


class ProtectedRunTest(unittest.TestCase):
    """A run whose work was repeatedly cut off before its first event."""

    def setUp(self) -> None:
        self.queue = slots_queue()
        self.run_of_item = ask_for(WorkClass.BATCH, barren_runs=PROTECTED_BARREN_RUNS)
        self.queue.submit(self.run_of_item, 0.0)

    def fill(self) -> None:
        """Occupy all slots but the one of the run with online calls."""
        for _ in range(SLOTS - 1):
            ask_online(self.queue, 1.0)

    def revoked(self, actions: list) -> list[str]:
        return [item.permit_id for item in actions if isinstance(item, Revoked)]

    def test_a_call_that_can_go_elsewhere_does_not_cut_it_off(self) -> None:
        """Guards against items whose every run was cut off before its first event."""
        self.fill()
        [refused] = self.queue.submit(ask_for(), 2.0)
        self.assertIsInstance(refused, Refused)

    def test_a_call_that_found_no_room_elsewhere_cuts_it_off(self) -> None:
        self.fill()
        self.assertEqual(self.queue.submit(ask_for(wait_ms=150), 2.0), [])
        actions = self.queue.tick(13.0)
        self.assertIsInstance(actions[0], Granted)
        self.assertEqual(self.revoked(actions), [self.run_of_item.attempt_id])

    def test_other_batch_is_revoked_before_it(self) -> None:
        other = ask_for(WorkClass.BATCH, left_ms=10)
        self.queue.submit(other, 0.0)
        ask_online(self.queue, 1.0)
        ask_online(self.queue, 1.0)
        actions = self.queue.submit(ask_for(), 2.0)
        self.assertEqual(self.revoked(actions), [other.attempt_id])

    def test_no_more_than_a_quarter_of_the_slots_is_withheld_from_calls(self) -> None:
        self.queue.submit(ask_for(WorkClass.BATCH, barren_runs=PROTECTED_BARREN_RUNS), 0.0)
        self.assertEqual(self.queue.load(1.0).in_flight_online, 1)
        calls = [ask_for() for _ in range(SLOTS)]
        granted = [isinstance(self.queue.submit(call, 2.0)[0], Granted) for call in calls]
        self.assertEqual(granted, [True] * (SLOTS - 1) + [False])

    def test_it_lasts_until_events_arrived_for_as_long_as_the_first_one_took(self) -> None:
        self.queue.renew("h1", self.renewal(first_token_ms=600.0, generated_tokens=1), 620.0)
        self.fill()
        self.assertIsInstance(self.queue.submit(ask_for(), 1100.0)[0], Refused)
        self.assertIsInstance(self.queue.submit(ask_for(), 1300.0)[0], Granted)

    def test_work_that_was_cut_off_once_is_not_protected(self) -> None:
        queue = slots_queue()
        run = ask_for(WorkClass.BATCH, barren_runs=PROTECTED_BARREN_RUNS - 1)
        queue.submit(run, 0.0)
        for _ in range(SLOTS - 1):
            ask_online(queue, 1.0)
        self.assertEqual(self.revoked(queue.submit(ask_for(), 2.0)), [run.attempt_id])

    def test_a_new_owner_learns_it_from_the_holder(self) -> None:
        queue = slots_queue()
        queue.renew("h1", self.renewal(barren_runs=PROTECTED_BARREN_RUNS), 0.0)
        for _ in range(SLOTS - 1):
            ask_online(queue, 1.0)
        self.assertIsInstance(queue.submit(ask_for(), 2.0)[0], Refused)

    def renewal(self, **changes: object) -> HeldPermit:
        ask = self.run_of_item
        fields: dict = {
            "permit_id": ask.attempt_id,
            "upstream_id": ask.upstream_id,
            "attempt_id": ask.attempt_id,
            "service": ask.service,
            "member": ask.member,
            "work_class": ask.work_class,
            "barren_runs": PROTECTED_BARREN_RUNS,
        }
        return HeldPermit(**{**fields, **changes})


if __name__ == "__main__":
    unittest.main()
