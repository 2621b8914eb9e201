"""The decision whether a node may begin work of a job."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.stored_jobs.ownership import OwnerIdentity
from fescuedock.core.stored_jobs.work_gate import RecordFreshness, WorkRefusal, refusal_of
from fescuedock.schema.stored_jobs import StoredJobRecord

OWN = OwnerIdentity("n-1", 7)
END_BOUND_MS = 3000.0
FRESH = RecordFreshness(100.0)
ages_ms = st.floats(0, 20_000)
records = st.builds(
    StoredJobRecord,
    job_id=st.just("j"),
    host=st.just("h"),
    path=st.just("/letters/new"),
    submitted_at_ms=st.just(0),
    due_in_ms=st.just(18_000),
    retention_ms=st.just(60_000),
    total=st.just(3),
    listed=st.integers(0, 3),
    ended=st.booleans(),
    owner_id=st.sampled_from(["n-1", "n-2", ""]),
    owner_boot=st.sampled_from([0, 6, 7]),
)


def record(**changes: object) -> StoredJobRecord:
    fields = {"job_id": "j", "host": "h", "path": "/letters/new", "submitted_at_ms": 0}
    fields |= {"due_in_ms": 18_000, "retention_ms": 60_000, "total": 3}
    fields |= {"owner_id": OWN.node_id, "owner_boot": OWN.boot}
    return StoredJobRecord(**(fields | changes))


def judge(
    found: StoredJobRecord | None,
    known: RecordFreshness = FRESH,
    *,
    leaving: bool = False,
    end_pending: bool = False,
) -> WorkRefusal | None:
    return refusal_of(
        found, OWN, known, end_bound_ms=END_BOUND_MS, leaving=leaving, end_pending=end_pending
    )


class WorkGateTest(unittest.TestCase):
    def test_an_open_job_of_this_process_may_begin(self) -> None:
        self.assertIsNone(judge(record()))

    def test_each_refusal_has_its_reason(self) -> None:
        cases = [
            (None, WorkRefusal.UNKNOWN),
            (record(ended=True), WorkRefusal.ENDED),
            (record(listed=3), WorkRefusal.LISTED),
            (record(owner_id="n-2"), WorkRefusal.NOT_OWNED),
            (record(owner_boot=6), WorkRefusal.NOT_OWNED),
            (record(owner_id="n-2", listed=3), WorkRefusal.NOT_OWNED),
            (record(owner_id="", owner_boot=0), WorkRefusal.NOT_OWNED),
        ]
        for found, wanted in cases:
            with self.subTest(wanted=wanted):
                self.assertIs(judge(found), wanted)
                self.assertTrue(wanted.is_final)
        self.assertIs(judge(record(), leaving=True), WorkRefusal.LEAVING)
        self.assertFalse(WorkRefusal.LEAVING.is_final)

    def test_an_unconfirmed_record_holds_work_until_it_is_confirmed(self) -> None:
        self.assertIs(judge(record(), RecordFreshness(2401.0)), WorkRefusal.UNCONFIRMED)
        self.assertFalse(WorkRefusal.UNCONFIRMED.is_final)
        self.assertIsNone(judge(record(), RecordFreshness(2400.0)))

    def test_a_pending_end_holds_work_until_it_is_resolved(self) -> None:
        for known in (FRESH, RecordFreshness(9000.0), RecordFreshness(9000.0, True, 400.0)):
            with self.subTest(known=known):
                self.assertIs(judge(record(), known, end_pending=True), WorkRefusal.END_PENDING)
        # The job is not dropped, as the pending end may expire without taking effect.
        self.assertFalse(WorkRefusal.END_PENDING.is_final)
        self.assertIs(judge(record(ended=True), end_pending=True), WorkRefusal.ENDED)

    def test_an_outage_confirmed_by_neighbours_holds_no_work(self) -> None:
        self.assertIsNone(judge(record(), RecordFreshness(9000.0, True, 400.0)))
        for known in (RecordFreshness(9000.0, True, 2401.0), RecordFreshness(9000.0, False, 400.0)):
            with self.subTest(known=known):
                self.assertIs(judge(record(), known), WorkRefusal.UNCONFIRMED)

    @given(records, ages_ms, st.booleans(), ages_ms, st.booleans(), st.booleans())
    def test_work_begins_only_for_an_open_owned_job_with_a_fresh_record(
        self,
        found: StoredJobRecord,
        age_ms: float,
        away: bool,
        agreed_age_ms: float,
        leaving: bool,
        end_pending: bool,
    ) -> None:
        known = RecordFreshness(age_ms, away, agreed_age_ms)
        if judge(found, known, leaving=leaving, end_pending=end_pending) is not None:
            return
        self.assertFalse(found.ended or leaving or end_pending)
        self.assertLess(found.listed, found.total)
        self.assertEqual((found.owner_id, found.owner_boot), (OWN.node_id, OWN.boot))
        self.assertLess(min(age_ms, agreed_age_ms if away else age_ms), END_BOUND_MS)


if __name__ == "__main__":
    unittest.main()
