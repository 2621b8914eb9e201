"""Batch runs are cut off only for a call that needs their slot, and not for ever."""

import unittest

from fescuedock.core.permits.actions import Granted, Revoked
from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.schema.permits import AttemptOutcome, PermitAsk, WorkClass
from fescuedock.schema.settings import PermitSettings
from tests.builders.permits import ask_for, end_of, new_queue

SLOTS = 4


def slots_queue() -> UpstreamQueue:
    return new_queue(PermitSettings(quiet_ms=0), UpstreamTerms(slots=SLOTS))


def ask_online(queue: UpstreamQueue, now_ms: float, wait_ms: int = 0) -> PermitAsk:
    ask = ask_for(wait_ms=wait_ms)
    queue.ask(ask, now_ms)
    return ask


class PeakTest(unittest.TestCase):
    """After a peak of online its slots are kept from batch for a moment."""

    def test_a_peak_that_is_over_cuts_off_no_run_while_slots_are_free(self) -> None:
        """Guards against runs that were cut off though their slots were wanted by nobody."""
        queue = slots_queue()
        calls = [ask_online(queue, 0.0) for _ in range(SLOTS)]
        for call in calls[1:]:
            queue.end(end_of(call, AttemptOutcome.COMPLETED), 10.0)
        # With one call left the peak does not count, and batch begins.
        run = ask_for(WorkClass.BATCH)
        self.assertIsInstance(queue.ask(run, 20.0)[0], Granted)
        actions = queue.ask(ask_for(), 30.0)
        self.assertEqual([item for item in actions if isinstance(item, Revoked)], [])

    def test_a_peak_still_keeps_batch_from_beginning(self) -> None:
        queue = slots_queue()
        calls = [ask_online(queue, 0.0) for _ in range(SLOTS)]
        queue.end(end_of(calls[0], AttemptOutcome.COMPLETED), 10.0)
        self.assertEqual(queue.ask(ask_for(WorkClass.BATCH), 20.0), [])


if __name__ == "__main__":
    unittest.main()
