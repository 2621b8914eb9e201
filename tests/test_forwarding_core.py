"""Tests the decisions of forwarding: routes, event splitting, retries and stall limits."""

import random
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.forwarding.calls import AnswerHead, CallHead
from fescuedock.core.forwarding.event_stream import MAX_EVENT_BYTES, EventSplitter, SplitEvent
from fescuedock.core.forwarding.progress import AttemptEnd, CallProgress
from fescuedock.core.forwarding.route_table import RouteKind
from fescuedock.core.forwarding.stalls import StallLimits
from tests.builders.forwarding import event, route, route_table


class RouteTableTest(unittest.TestCase):
    def test_the_longest_prefix_wins(self) -> None:
        short, long = route("/check/"), route("/check/rights/")
        table = route_table(short, long)
        self.assertIs(table.find("desk.example", "/check/rights/7"), long)
        self.assertIs(table.find("desk.example", "/check/right"), short)
        self.assertIs(table.find("desk.example", "/check/rights/"), long)

    def test_an_unknown_path_or_host_has_no_route(self) -> None:
        table = route_table(route("/check/"))
        for host, path in (
            ("desk.example", "/check"),
            ("desk.example", "/chec/1"),
            ("desk.example", "/"),
            ("desk.example", "check"),
            ("other.example", "/check/1"),
        ):
            with self.subTest(host=host, path=path):
                self.assertIsNone(table.find(host, path))

    def test_a_host_is_compared_without_port_and_case(self) -> None:
        table = route_table(route("/check/"))
        self.assertIsNotNone(table.find("Desk.Example:8080", "/check/1"))

    def test_services_are_drawn_by_weight(self) -> None:
        split = route("/check/")
        split = type(split)(
            "split", "desk.example", "/check/", RouteKind.SAFE, (("a", 90.0), ("b", 10.0), ("c", 0))
        )
        rng = random.Random(1)
        drawn = [split.choose_service(rng) for _ in range(2000)]
        self.assertNotIn("c", drawn)
        self.assertAlmostEqual(drawn.count("a") / 2000, 0.9, delta=0.03)
        self.assertFalse(split.allows("c"))

    def test_only_requests_that_may_run_twice_are_idempotent(self) -> None:
        kinds = {
            (RouteKind.SAFE, False): True,
            (RouteKind.UNSAFE, False): False,
            (RouteKind.UNSAFE, True): False,
            (RouteKind.STREAM, False): False,
            (RouteKind.STREAM, True): True,
        }
        for (kind, resumable), wanted in kinds.items():
            with self.subTest(kind=kind, resumable=resumable):
                self.assertEqual(route(kind=kind, resumable=resumable).idempotent, wanted)


class EventSplitterTest(unittest.TestCase):
    @given(st.lists(st.integers(1, 40), max_size=20))
    def test_events_are_complete_however_the_bytes_are_split(self, sizes: list[int]) -> None:
        data = b"".join(event(number) for number in range(5))
        splitter = EventSplitter()
        found = []
        for size in [*sizes, len(data)]:
            found += splitter.feed(data[:size])
            data = data[size:]
        self.assertEqual([item.number for item in found], [0, 1, 2, 3, 4])
        self.assertEqual(b"".join(item.raw for item in found), b"".join(map(event, range(5))))
        self.assertFalse(splitter.has_partial_event)

    def test_a_partial_event_is_never_returned(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 3\ndata: half a w"), [])
        self.assertTrue(splitter.has_partial_event)

    def test_data_lines_are_joined_and_other_lines_left_out(self) -> None:
        splitter = EventSplitter()
        [found] = splitter.feed(b"x-weights: 2\nid: 7\ndata: one\ndata:two\n\n")
        self.assertEqual((found.number, found.data()), (7, "one\ntwo"))

    def test_an_event_without_a_numeric_id_gets_number_minus_1(self) -> None:
        [found] = EventSplitter().feed(b"id: x1\r\ndata: a\r\n\r\n")
        self.assertEqual(found.number, -1)

    # Bytes without end that are no new event must be noticed, whatever they are.
    def test_bytes_without_progress_are_overlong(self) -> None:
        fillers = (b"x", b"\n", b"\r\n", b": ping\n\n", b"data: x\n", b"id: 1\ndata: x\n\n")
        for filler in fillers:
            with self.subTest(filler=filler):
                splitter = EventSplitter()
                splitter.feed(event(0) + event(1))
                fed_bytes = 0
                while not splitter.is_overlong:
                    splitter.feed(filler * 100)
                    fed_bytes += len(filler) * 100
                    self.assertLessEqual(fed_bytes, MAX_EVENT_BYTES + len(filler) * 100)
                self.assertGreater(fed_bytes, MAX_EVENT_BYTES)
                self.assertEqual(splitter.progress_count, 2)

    # Each event scanned all bytes behind it, so the loop stood still while short events came.
    def test_the_time_for_events_is_proportional_to_their_bytes(self) -> None:
        def best_s(count: int) -> float:
            times: list[float] = []
            for _ in range(3):
                splitter, data = EventSplitter(), b": ping\n\n" * count
                began_s = time.perf_counter()
                splitter.feed(data)
                times.append(time.perf_counter() - began_s)
            return min(times)

        # Quadratic time is 256 times as long.
        self.assertLess(best_s(16_000), 64 * best_s(1000))

    def test_a_long_stream_of_new_events_is_not_overlong(self) -> None:
        splitter = EventSplitter()
        for number in range(4000):
            splitter.feed(event(number))
            self.assertFalse(splitter.is_overlong)
        self.assertEqual(splitter.progress_count, 4000)


class CallProgressTest(unittest.TestCase):
    def test_a_call_that_did_not_run_may_always_be_retried(self) -> None:
        progress = CallProgress(idempotent=False, max_runs=1)
        for end in (AttemptEnd.NOT_SENT, AttemptEnd.REJECTED, AttemptEnd.NOT_SENT):
            progress.record_end(end)
        self.assertTrue(progress.may_retry())
        self.assertFalse(progress.may_have_run)

    def test_a_client_gets_each_event_once_and_none_after_a_gap(self) -> None:
        def events(*numbers: int) -> list[SplitEvent]:
            return EventSplitter().feed(b"".join(event(number) for number in numbers))

        progress = CallProgress(idempotent=True, max_runs=2)
        self.assertEqual(progress.take_new_events(events(0, 1)), event(0) + event(1))
        # A resumed stream repeats an event and adds one.
        self.assertEqual(progress.take_new_events(events(1, 2)), event(2))
        self.assertEqual(progress.take_new_events(events(2)), b"")
        self.assertIsNone(progress.take_new_events(events(4)))
        self.assertEqual(progress.last_event, 2)

    def test_a_call_that_is_not_idempotent_never_runs_twice(self) -> None:
        for end in (AttemptEnd.LOST, AttemptEnd.FAILED, AttemptEnd.STALLED):
            with self.subTest(end=end):
                progress = CallProgress(idempotent=False, max_runs=3)
                self.assertTrue(progress.is_last_run())
                progress.record_end(end)
                self.assertFalse(progress.may_retry())

    def test_an_idempotent_call_runs_as_often_as_its_route_allows(self) -> None:
        progress = CallProgress(idempotent=True, max_runs=2)
        self.assertFalse(progress.is_last_run())
        progress.record_end(AttemptEnd.LOST)
        self.assertTrue(progress.may_retry())
        self.assertTrue(progress.is_last_run())
        progress.record_end(AttemptEnd.STALLED)
        self.assertFalse(progress.may_retry())


class AttemptPausesTest(unittest.TestCase):
    def test_refused_connections_are_tried_less_and_less_often(self) -> None:
        progress = CallProgress(idempotent=False, max_runs=1)
        pauses_ms = []
        for _ in range(12):
            progress.record_end(AttemptEnd.NOT_SENT)
            pauses_ms.append(progress.pause_ms(AttemptEnd.NOT_SENT))
        self.assertEqual(pauses_ms[0], 0.0, "another upstream is tried at once")
        self.assertEqual(pauses_ms[1:4], [10.0, 20.0, 40.0])
        self.assertEqual(pauses_ms[-1], 160.0)
        progress.record_end(AttemptEnd.REJECTED)
        self.assertGreater(progress.pause_ms(AttemptEnd.REJECTED), 0.0)
        progress.record_end(AttemptEnd.NOT_SENT)
        self.assertEqual(progress.pause_ms(AttemptEnd.NOT_SENT), 0.0)


class StallLimitsTest(unittest.TestCase):
    def test_waits_are_a_share_of_the_route_s_targets(self) -> None:
        limits = StallLimits(target_share=0.5, min_ms=10.0, max_ms=1000.0)
        item = route(target_latency_ms=300.0, gap_target_ms=100.0)
        self.assertEqual((limits.first_event_ms(item), limits.gap_ms(item)), (150.0, 50.0))

    def test_extreme_targets_are_bounded(self) -> None:
        limits = StallLimits(target_share=0.5, min_ms=100.0, max_ms=1000.0)
        item = route(target_latency_ms=10.0, gap_target_ms=60_000.0)
        self.assertEqual((limits.first_event_ms(item), limits.gap_ms(item)), (100.0, 1000.0))


class HeadsTest(unittest.TestCase):
    def test_the_last_part_of_a_prompt_is_not_shared(self) -> None:
        head = CallHead("r", prompt_parts=(("a", 100), ("b", 50), ("own", 7)))
        self.assertEqual((head.shared_parts, head.shared_tokens), ((("a", 100), ("b", 50)), 150))

    def test_an_answer_belongs_to_the_request_that_it_names(self) -> None:
        head = AnswerHead(200, "r-1", not_run=False, sealed=True)
        self.assertTrue(head.answers("r-1"))
        self.assertFalse(head.answers("r-2"))

    def test_a_success_without_a_seal_is_forged(self) -> None:
        self.assertTrue(AnswerHead(200, "r-1", not_run=False, sealed=False).is_forged)
        self.assertFalse(AnswerHead(500, "r-1", not_run=False, sealed=False).is_forged)
        self.assertFalse(AnswerHead(200, "r-1", not_run=False, sealed=True).is_forged)


if __name__ == "__main__":
    unittest.main()
