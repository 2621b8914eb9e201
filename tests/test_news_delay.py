"""How long messages were on their way, between clocks that have nothing to do with each other."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.news_delay import NewsDelays

OFFSET_MS = 123_456.0


class NewsDelaysTest(unittest.TestCase):
    def test_what_took_longer_than_the_fastest_is_late_by_the_difference(self) -> None:
        delays = NewsDelays()
        self.assertEqual(delays.observe("a", 0.0, OFFSET_MS + 2), 0.0)
        self.assertAlmostEqual(delays.observe("a", 1000.0, OFFSET_MS + 5002), 4000, delta=6)
        self.assertEqual(delays.observe("a", 6000.0, OFFSET_MS + 6001), 0.0)

    def test_a_sender_s_clock_says_nothing_of_another_s(self) -> None:
        delays = NewsDelays()
        delays.observe("a", 0.0, OFFSET_MS)
        self.assertEqual(delays.observe("b", 0.0, OFFSET_MS + 9000), 0.0)

    def test_clocks_that_drift_apart_are_no_delay(self) -> None:
        delays = NewsDelays()
        for second in range(100_000):
            late_ms = delays.observe("a", second * 1000.0, OFFSET_MS + second * 1000.1)
            self.assertLess(late_ms, 1.0)

    def test_a_delay_that_stays_counts_for_minutes(self) -> None:
        delays = NewsDelays()
        delays.observe("a", 0.0, OFFSET_MS)
        for second in range(1, 600):
            late_ms = delays.observe("a", second * 1000.0, OFFSET_MS + second * 1000 + 4000)
        self.assertGreater(late_ms, 3000)

    def test_the_sender_that_was_silent_longest_is_forgotten(self) -> None:
        delays = NewsDelays()
        for number in range(300):
            delays.observe(str(number), 0.0, OFFSET_MS + number)
        self.assertGreater(delays.observe("299", 0.0, OFFSET_MS + 1299), 900)
        self.assertEqual(delays.observe("0", 0.0, OFFSET_MS + 9000), 0.0)

    @given(st.lists(st.floats(0, 10_000), min_size=1), st.floats(-1e9, 1e9))
    def test_a_delay_is_never_more_than_the_message_really_took(
        self, ways_ms: list[float], offset_ms: float
    ) -> None:
        delays = NewsDelays()
        for number, way_ms in enumerate(ways_ms):
            sent_ms = number * 20_000.0
            late_ms = delays.observe("a", sent_ms, sent_ms + offset_ms + way_ms)
            self.assertLessEqual(late_ms, way_ms + 1e-3)


if __name__ == "__main__":
    unittest.main()
