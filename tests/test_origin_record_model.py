"""Tests in a model that no stream continues at another origin than its own."""

import unittest

from tests.builders.origin_record_model import COPY, COURSES, play

_SEEDS = 500


class RecordModelTest(unittest.TestCase):
    def test_no_stream_continues_at_another_service_or_version(self) -> None:
        for course in COURSES:
            joined = {}
            for seed in range(_SEEDS):
                outcome = play(COPY, course, seed)
                if outcome.misjudged:
                    joined[seed] = dict(outcome.ways)
            with self.subTest(course=course.__name__):
                self.assertEqual(joined, {})


if __name__ == "__main__":
    unittest.main()
