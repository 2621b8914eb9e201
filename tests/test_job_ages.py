"""How long ago jobs were submitted, by one process's clock and what others have told it."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fescuedock.core.stored_jobs.job_ages import JobAges
from fescuedock.schema.stored_jobs import StoredJobRecord
from tests.builders.forwarding import job_record

_NODES = 3


def record(age_ms: int = 0, **changes: object) -> StoredJobRecord:
    return job_record(**({"job_id": "j", "age_ms": age_ms, "total": 2} | changes))


class JobAgesTest(unittest.TestCase):
    def test_the_age_in_the_record_and_the_time_since_it_was_first_seen_count(self) -> None:
        ages = JobAges()
        self.assertEqual(ages.observe(record(400), 1000.0), 600.0)
        # Written by a node that knew less, and later by one that knows more.
        self.assertEqual(ages.observe(record(0), 2000.0), 600.0)
        self.assertEqual(ages.observe(record(3000), 3000.0), 0.0)
        self.assertEqual(ages.with_age(record(), 3500.0).age_ms, 3500)

    def test_an_age_below_zero_counts_as_zero(self) -> None:
        ages = JobAges()
        ages.observe(record(-5000), 1000.0)
        ages.learn({"j": -9000}, 1000.0)
        self.assertEqual(ages.ages_ms(1500.0), {"j": 500})

    def test_only_open_jobs_in_the_records_are_kept(self) -> None:
        ages = JobAges()
        ages.observe_all([record(), record(job_id="k"), record(job_id="l", ended=True)], 0.0)
        self.assertEqual(ages.ages_ms(1.0), {"j": 1, "k": 1})
        ages.observe_all([record(job_id="k")], 2.0)
        ages.learn({"j": 50, "k": 20}, 10.0)
        self.assertEqual(ages.ages_ms(10.0), {"k": 20})

    @given(st.integers(0, 2**32), st.lists(st.integers(0, 20_000), min_size=1, max_size=30))
    @settings(max_examples=100)
    def test_no_node_takes_a_job_for_older_than_it_is_whatever_its_clock_shows(
        self, seed: int, steps_ms: list[int]
    ) -> None:
        """While one node lives through each change, none takes it for younger either."""
        rng = random.Random(seed)
        offsets_ms = [rng.uniform(-1e9, 1e9) for _ in range(_NODES)]
        nodes = [JobAges() for _ in range(_NODES)]
        stored, true_ms = record(), 0.0
        for ages, offset_ms in zip(nodes, offsets_ms, strict=True):
            ages.observe_all([stored], offset_ms)
        for step_ms in steps_ms:
            true_ms += step_ms
            number = rng.randrange(_NODES)
            now_ms = true_ms + offsets_ms[number]
            match rng.randrange(3):
                case 0:
                    stored = nodes[number].with_age(stored, now_ms)
                case 1:
                    other = (number + 1) % _NODES
                    told = nodes[other].ages_ms(true_ms + offsets_ms[other])
                    offsets_ms[number] = rng.uniform(-1e9, 1e9)
                    now_ms = true_ms + offsets_ms[number]
                    nodes[number] = JobAges()
                    nodes[number].observe_all([stored], now_ms)
                    nodes[number].learn(told, now_ms)
                case _:
                    nodes[number].observe_all([stored], now_ms)
            known_ms = nodes[number].ages_ms(now_ms)["j"]
            self.assertLessEqual(known_ms, true_ms + 1)
            self.assertGreaterEqual(known_ms, true_ms - 2 * len(steps_ms))


if __name__ == "__main__":
    unittest.main()
