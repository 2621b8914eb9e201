"""Which bytes may be held for slow clients, and which clients are cut off."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fescuedock.core.slow_peers import HeldBounds, HeldBytes, SlowPeer

BOUND_BYTES = 1000
_NAMES = st.integers(0, 5)


class HeldBytesMachine(RuleBasedStateMachine):
    """Clients hold, read, send and leave at any time; ``expected`` models their bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.held = HeldBytes(HeldBounds(100, BOUND_BYTES))
        self.expected: dict[int, int] = {}

    @rule(passed_ms=st.sampled_from([0.0, 1.0, 100.0, 249.0, 999.0, 5000.0]))
    def wait(self, passed_ms: float) -> None:
        self.now_ms += passed_ms

    @rule(name=_NAMES, size_bytes=st.integers(1, 1200))
    def hold(self, name: int, size_bytes: int) -> None:
        self._add(name, size_bytes, self.held.hold)

    @rule(name=_NAMES, size_bytes=st.integers(1, 300))
    def receive(self, name: int, size_bytes: int) -> None:
        self._add(name, size_bytes, self.held.record_received)

    def _add(self, name: int, size_bytes: int, add) -> None:
        expected = self.expected | {name: self.expected.get(name, 0) + size_bytes}
        rates = {key: peer.rate(self.now_ms) for key, peer in self.held.peers.items()}
        rates.setdefault(name, SlowPeer(self.now_ms).rate(self.now_ms))
        cut_off = add(name, size_bytes, self.now_ms)
        self.assert_cuts_are_needed_and_slowest(expected, cut_off, rates, name)
        self.expected = {key: size for key, size in expected.items() if key not in cut_off}

    def assert_cuts_are_needed_and_slowest(self, expected, cut_off, rates, name) -> None:
        left_bytes = sum(expected.values())
        remaining = expected.keys() - set(cut_off)
        for key in cut_off:
            assert left_bytes > BOUND_BYTES, "cut off although all bytes would fit"
            left_bytes -= expected[key]
            is_oversized = key == name and expected[name] > BOUND_BYTES
            assert is_oversized or all(rates[key] <= rates[other] for other in remaining)

    @rule(name=_NAMES, size_bytes=st.integers(1, 300))
    def take(self, name: int, size_bytes: int) -> None:
        self.held.record_released(name, size_bytes, self.now_ms)
        if name in self.expected:
            self.expected[name] -= min(size_bytes, self.expected[name])
            if not self.expected[name]:
                del self.expected[name]

    @rule(name=_NAMES)
    def leave(self, name: int) -> None:
        self.held.forget(name)
        self.expected.pop(name, None)

    @invariant()
    def bytes_are_bounded_and_other_clients_are_forgotten(self) -> None:
        assert self.held.total_bytes == sum(self.expected.values()) <= BOUND_BYTES
        known = {key: peer.held_bytes for key, peer in self.held.peers.items()}
        assert known == self.expected


HeldBytesMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)


class HeldBytesStateful(HeldBytesMachine.TestCase):
    """Guards against bytes that are counted twice or never freed, and cuts of the wrong client."""


class HeldBytesTest(unittest.TestCase):
    def test_a_stalled_client_is_cut_off_before_one_that_continues_to_read(self) -> None:
        """Guards against rating by the whole time, over which the stalled client was faster."""
        held = HeldBytes(HeldBounds(100, BOUND_BYTES))
        held.hold("stalled", 500, 0.0)
        held.hold("steady", 400, 0.0)
        held.record_released("stalled", 100, 1.0)
        for at_ms in range(0, 3000, 100):
            held.record_released("steady", 1, float(at_ms))
        self.assertEqual(held.hold("steady", 300, 3000.0), ["stalled"])

    def test_a_new_client_is_not_rated_before_bytes_can_have_moved(self) -> None:
        held = HeldBytes(HeldBounds(100, BOUND_BYTES))
        held.hold("slow", 100, 0.0)
        held.record_released("slow", 1, 1000.0)
        self.assertEqual(held.hold("new", 950, 1000.0), ["slow"])

    def test_a_client_beyond_the_bound_cuts_off_no_other_client(self) -> None:
        held = HeldBytes(HeldBounds(100, BOUND_BYTES))
        held.hold("slow", 100, 0.0)
        self.assertEqual(held.hold("large", BOUND_BYTES + 1, 1000.0), ["large"])

    @given(st.integers(0, BOUND_BYTES), st.integers(1, 1_000_000))
    def test_a_page_is_never_empty_and_never_larger_than_requested(
        self, held_bytes: int, wanted_bytes: int
    ) -> None:
        held = HeldBytes(HeldBounds(100, BOUND_BYTES))
        held.hold("slow", held_bytes, 0.0)
        self.assertTrue(0 < held.page_bytes(wanted_bytes) <= wanted_bytes)


if __name__ == "__main__":
    unittest.main()
