"""When messages were sent, for senders with unrelated clocks."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.sender_clocks import SenderClocks

# The receiver's clock minus the sender's.
AHEAD_MS = 123_456.0


class SenderClocksTest(unittest.TestCase):
    def test_a_message_of_an_unknown_sender_may_have_any_age(self) -> None:
        clocks = SenderClocks()
        self.assertEqual(clocks.earliest_sent_ms("a", 0.0, AHEAD_MS), float("-inf"))
        clocks.record_reply("b", AHEAD_MS, 1.0)
        self.assertEqual(clocks.earliest_sent_ms("a", 0.0, AHEAD_MS), float("-inf"))

    def test_the_age_of_a_message_is_its_transmission_time(self) -> None:
        clocks = SenderClocks()
        clocks.record_reply("a", requested_ms=AHEAD_MS, sent_ms=2.0)
        sent_ms = clocks.earliest_sent_ms("a", 1000.0, AHEAD_MS + 5000)
        self.assertAlmostEqual(sent_ms, AHEAD_MS + 1000, delta=8)

    def test_a_slow_reply_does_not_weaken_the_bound_of_a_fast_one(self) -> None:
        clocks = SenderClocks()
        clocks.record_reply("a", AHEAD_MS, 2.0)
        clocks.record_reply("a", AHEAD_MS + 1000, 1400.0)
        sent_ms = clocks.earliest_sent_ms("a", 2000.0, AHEAD_MS + 2000)
        self.assertAlmostEqual(sent_ms, AHEAD_MS + 2000, delta=5)

    def test_a_bound_is_renewed_each_minute(self) -> None:
        clocks = SenderClocks()
        self.assertFalse(clocks.is_known("a", 0.0))
        clocks.record_reply("a", 0.0, 0.0)
        self.assertTrue(clocks.is_known("a", 59_000.0))
        self.assertFalse(clocks.is_known("a", 61_000.0))

    def test_the_least_recently_queried_sender_is_forgotten(self) -> None:
        clocks = SenderClocks()
        for number in range(257):
            clocks.record_reply(str(number), AHEAD_MS + number, 0.0)
        self.assertFalse(clocks.is_known("0", AHEAD_MS))
        self.assertTrue(clocks.is_known("1", AHEAD_MS))
        self.assertTrue(clocks.is_known("256", AHEAD_MS + 300))

    @given(
        st.lists(st.tuples(st.floats(0, 3000), st.floats(0, 3000)), min_size=1),
        st.floats(0, 10_000),
        st.floats(-1e7, 1e7),
        st.floats(-1e-4, 1e-4),
    )
    def test_the_age_of_a_message_is_never_underestimated(
        self, delays_ms: list[tuple[float, float]], delay_ms: float, ahead_ms: float, drift: float
    ) -> None:
        clocks = SenderClocks()

        def by_sender(at_ms: float) -> float:
            return at_ms * (1 + drift) - ahead_ms

        at_ms = 0.0
        for there_ms, back_ms in delays_ms:
            at_ms += 10_000
            clocks.record_reply("a", at_ms, by_sender(at_ms + there_ms))
            at_ms += there_ms + back_ms
        sent_ms = clocks.earliest_sent_ms("a", by_sender(at_ms), at_ms + delay_ms)
        self.assertLessEqual(sent_ms, at_ms + 1e-3)


if __name__ == "__main__":
    unittest.main()
