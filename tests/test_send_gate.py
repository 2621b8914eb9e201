"""The one place that decides whether a request may be written to an upstream."""

import unittest

from fescuedock.core.permits.holder import GrantRegistry, HeldGrant, lapsed_by_ms
from fescuedock.core.quarantine import Restriction, Verdict
from fescuedock.core.send_gate import PermitStanding, SendRefusal, refusal_of
from fescuedock.schema.permits import WorkClass
from fescuedock.schema.view import UpstreamRecord
from tests.builders.permits import ask_for, upstream_record

NOW_MS = 5000.0
GOOD = PermitStanding(revoked=False, valid_until_ms=NOW_MS + 1)
CHOSEN = upstream_record(9)


def judge(
    current: UpstreamRecord | None = CHOSEN,
    permit: PermitStanding = GOOD,
    deadline_ms: float = float("inf"),
    key_holds: bool = True,
    standing: Restriction = Restriction.FREE,
) -> SendRefusal | None:
    return refusal_of(
        CHOSEN,
        current,
        permit,
        deadline_ms=deadline_ms,
        now_ms=NOW_MS,
        verdict=Verdict(standing),
        key_holds=key_holds,
    )


class SendGateTest(unittest.TestCase):
    def test_what_still_holds_may_be_sent(self) -> None:
        self.assertIsNone(judge())
        self.assertIsNone(judge(permit=PermitStanding(False, float("inf"))))
        self.assertIsNone(judge(deadline_ms=NOW_MS + 1))
        # A change that does not concern the sending.
        self.assertIsNone(judge(upstream_record(9, slots=3)))

    def test_work_under_suspicion_runs_alone_if_at_all(self) -> None:
        lone = PermitStanding(False, NOW_MS + 1, alone=True)
        for standing, beside, by_itself in (
            (Restriction.FREE, None, None),
            (Restriction.ALONE, SendRefusal.NOT_ALONE, None),
            (Restriction.UNSETTLED, SendRefusal.NOT_ALONE, SendRefusal.NOT_ALONE),
            (Restriction.REFUSED, SendRefusal.HARMFUL, SendRefusal.HARMFUL),
        ):
            with self.subTest(standing=standing):
                self.assertIs(judge(standing=standing), beside)
                self.assertIs(judge(permit=lone, standing=standing), by_itself)

    def test_each_reason_is_told(self) -> None:
        cases = [
            (SendRefusal.GONE, judge(None)),
            (SendRefusal.MOVED, judge(upstream_record(10))),
            (SendRefusal.MOVED, judge(upstream_record(9, host="127.0.0.2"))),
            (SendRefusal.REPLACED, judge(upstream_record(9, software_version="v2"))),
            (SendRefusal.LEAVING, judge(upstream_record(9, leaving=True))),
            (SendRefusal.REVOKED, judge(permit=PermitStanding(True, NOW_MS + 1))),
            (SendRefusal.LAPSED, judge(permit=PermitStanding(False, NOW_MS))),
            (SendRefusal.LATE, judge(deadline_ms=NOW_MS)),
            (SendRefusal.KEY_GONE, judge(key_holds=False)),
        ]
        for wanted, found in cases:
            with self.subTest(wanted=wanted):
                self.assertIs(found, wanted)


class PermitTimeTest(unittest.TestCase):
    def held(self, arrived_ms: float) -> HeldGrant:
        """Return a permit good for 300 ms, asked for at 1000 ms, by an ask that may wait 1 s."""
        ask = ask_for(WorkClass.BATCH)
        by_ms = lapsed_by_ms(1000.0, arrived_ms, 1000.0, 300.0)
        return HeldGrant(ask, arrived_ms, 1000.0 + 300.0, lapsed_by_ms=by_ms)

    def test_a_permit_that_was_queued_for_longer_than_it_is_good_can_be_used(self) -> None:
        self.assertEqual(self.held(1900.0).sendable_until_ms, 2200.0)

    def test_a_permit_whose_answer_lay_unread_for_long_cannot(self) -> None:
        self.assertEqual(self.held(6000.0).sendable_until_ms, 2300.0)

    def test_a_renewal_counts(self) -> None:
        held = self.held(1900.0)
        book = GrantRegistry()
        book.add(held)
        book.record_renewal([held.request.attempt_id], 2600.0)
        self.assertEqual(held.sendable_until_ms, 2600.0)


if __name__ == "__main__":
    unittest.main()
