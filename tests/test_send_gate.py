"""The check that decides whether a request may be written to an upstream."""

import unittest

from fescuedock.core.permits.holder import GrantRegistry, HeldGrant, lapsed_by_ms
from fescuedock.core.quarantine import Restriction, Verdict
from fescuedock.core.send_gate import PermitStatus, SendRefusal, refusal_of
from fescuedock.schema.permits import WorkClass
from fescuedock.schema.view import UpstreamRecord
from tests.builders.permits import ask_for, upstream_record

NOW_MS = 5000.0
VALID_PERMIT = PermitStatus(revoked=False, valid_until_ms=NOW_MS + 1)
CHOSEN = upstream_record(9)


def check_send(
    current: UpstreamRecord | None = CHOSEN,
    permit: PermitStatus = VALID_PERMIT,
    deadline_ms: float = float("inf"),
    key_is_valid: bool = True,
    standing: Restriction = Restriction.FREE,
) -> SendRefusal | None:
    return refusal_of(
        CHOSEN,
        current,
        permit,
        deadline_ms=deadline_ms,
        now_ms=NOW_MS,
        verdict=Verdict(standing),
        key_is_valid=key_is_valid,
    )


class SendGateTest(unittest.TestCase):
    def test_a_valid_request_may_be_sent(self) -> None:
        self.assertIsNone(check_send())
        self.assertIsNone(check_send(permit=PermitStatus(False, float("inf"))))
        self.assertIsNone(check_send(deadline_ms=NOW_MS + 1))
        # A change that is irrelevant to sending.
        self.assertIsNone(check_send(upstream_record(9, slots=3)))

    def test_suspected_work_runs_only_in_isolation(self) -> None:
        isolated_permit = PermitStatus(False, NOW_MS + 1, isolated=True)
        for standing, concurrently, in_isolation in (
            (Restriction.FREE, None, None),
            (Restriction.ALONE, SendRefusal.NOT_ISOLATED, None),
            (Restriction.UNSETTLED, SendRefusal.NOT_ISOLATED, SendRefusal.NOT_ISOLATED),
            (Restriction.REFUSED, SendRefusal.HARMFUL, SendRefusal.HARMFUL),
        ):
            with self.subTest(standing=standing):
                self.assertIs(check_send(standing=standing), concurrently)
                self.assertIs(check_send(permit=isolated_permit, standing=standing), in_isolation)

    def test_each_reason_is_returned(self) -> None:
        cases = [
            (SendRefusal.GONE, check_send(None)),
            (SendRefusal.MOVED, check_send(upstream_record(10))),
            (SendRefusal.MOVED, check_send(upstream_record(9, host="127.0.0.2"))),
            (SendRefusal.REPLACED, check_send(upstream_record(9, software_version="v2"))),
            (SendRefusal.LEAVING, check_send(upstream_record(9, leaving=True))),
            (SendRefusal.REVOKED, check_send(permit=PermitStatus(True, NOW_MS + 1))),
            (SendRefusal.LAPSED, check_send(permit=PermitStatus(False, NOW_MS))),
            (SendRefusal.LATE, check_send(deadline_ms=NOW_MS)),
            (SendRefusal.KEY_GONE, check_send(key_is_valid=False)),
        ]
        for wanted, found in cases:
            with self.subTest(wanted=wanted):
                self.assertIs(found, wanted)


class PermitTimeTest(unittest.TestCase):
    def held(self, arrived_ms: float) -> HeldGrant:
        """Return a permit valid for 300 ms, requested at 1000 ms with a maximum wait of 1 s."""
        ask = ask_for(WorkClass.BATCH)
        by_ms = lapsed_by_ms(1000.0, arrived_ms, 1000.0, 300.0)
        return HeldGrant(ask, arrived_ms, 1000.0 + 300.0, lapsed_by_ms=by_ms)

    def test_a_permit_that_was_queued_for_longer_than_its_validity_can_be_used(self) -> None:
        self.assertEqual(self.held(1900.0).sendable_until_ms, 2200.0)

    def test_a_permit_whose_answer_was_read_late_cannot_be_used(self) -> None:
        self.assertEqual(self.held(6000.0).sendable_until_ms, 2300.0)

    def test_a_renewal_counts(self) -> None:
        held = self.held(1900.0)
        book = GrantRegistry()
        book.add(held)
        book.record_renewal([held.request.attempt_id], 2600.0)
        self.assertEqual(held.sendable_until_ms, 2600.0)


if __name__ == "__main__":
    unittest.main()
