"""Limits by a sliding window: the hard bound whatever is lost or cut off, and what is served."""

import heapq
import random
import unittest
from collections.abc import Callable

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from fescuedock.core.customers import Customer
from fescuedock.core.quota_windows import (
    Contacts,
    Leadership,
    NodeParts,
    Outcome,
    Records,
    Roster,
    WindowOwner,
    WindowPolicy,
)
from fescuedock.core.quotas import QuotaRoute
from fescuedock.core.token_bucket import Bucket
from tests.builders.quota_fleet import BucketFleet, Change, WindowFleet, World, fullest_ms

WINDOW_MS = 5000.0
NODES = 54
# That of the recorded course: 336 calls in any window, of which 390 may run.
RECORDED = Customer("caldas", rate_per_s=56.0, burst=56.0)


def most_allowed(customer: Customer) -> float:
    """Return what may run of a customer in any window."""
    return 1.1 * (customer.rate_per_s * WINDOW_MS / 1000 + customer.burst) + 20


def recorded_course(seed: int, *, owner_is_cut_off: bool) -> tuple[World, list[float]]:
    """16 of 54 nodes are each cut off from all others from 5 to 10 s; 8 times the usual from 3 s.

    They still serve their clients, and reach their upstreams.
    """
    rng = random.Random(seed)
    everybody = World(NODES, (), rng)
    owner = everybody.names.index(WindowFleet(everybody).owner_of(RECORDED.name))
    others = [node for node in range(NODES) if node != owner]
    cut_off = rng.sample(others, 16 - owner_is_cut_off) + [owner] * owner_is_cut_off
    groups = {node: number + 1 for number, node in enumerate(cut_off)}
    world = World(NODES, [Change(5000.0, groups), Change(10_000.0)], rng)
    calls_ms, now_ms = [], 0.0
    while now_ms < 14_000.0:
        usual_per_s = RECORDED.rate_per_s / 1.6
        now_ms += rng.expovariate(usual_per_s * (8.0 if now_ms >= 3000.0 else 1.0)) * 1000
        calls_ms.append(now_ms)
    return world, calls_ms


def ran_ms(world: World, fleet: BucketFleet | WindowFleet, calls_ms: list[float]) -> list[float]:
    """Return when those calls ran that the fleet let in."""
    ran = []
    for now_ms in calls_ms:
        world.advance(now_ms)
        if fleet.admit(RECORDED, world.rng.randrange(NODES), now_ms).admitted:
            ran.append(now_ms)
    return ran


class RecordedCourseTest(unittest.TestCase):
    """Guards against the limit that was exceeded while 16 nodes were cut off."""

    def test_a_hot_customer_at_cut_off_nodes_stays_within_the_bound(self) -> None:
        for seed in range(6):
            for owner_is_cut_off in (False, True):
                with self.subTest(seed=seed, owner_is_cut_off=owner_is_cut_off):
                    world, calls_ms = recorded_course(seed, owner_is_cut_off=owner_is_cut_off)
                    most, _ = fullest_ms(ran_ms(world, WindowFleet(world), calls_ms), WINDOW_MS)
                    self.assertLessEqual(most, most_allowed(RECORDED))
                    # A fleet that lets nobody in keeps any bound.
                    self.assertGreaterEqual(most, 0.8 * RECORDED.rate_per_s * 6)

    def check_buckets(self, seeds: range, *, owner_is_cut_off: bool) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                world, calls_ms = recorded_course(seed, owner_is_cut_off=owner_is_cut_off)
                most, _ = fullest_ms(ran_ms(world, BucketFleet(world), calls_ms), WINDOW_MS)
                self.assertLessEqual(most, most_allowed(RECORDED))

    def test_buckets_keep_the_bound_while_the_owner_is_in_contact(self) -> None:
        """Guards against allowances of cut-off nodes that add up: 394 calls ran of 389."""
        self.check_buckets(range(8), owner_is_cut_off=False)

    def test_buckets_keep_the_bound_while_the_owner_is_cut_off(self) -> None:
        """A new owner does not know what the former one, now cut off, has granted and grants."""
        self.check_buckets(range(8), owner_is_cut_off=True)


class DirectedCourseTest(unittest.TestCase):
    """Guards rules that random courses seldom meet."""

    LARGE = Customer("caldas", rate_per_s=200.0, burst=200.0)

    def most(self, seed: int, others: int, healed_ms: float, hot_ms: float) -> int:
        """Cut the leader off with ``others`` from 6 s on; calls at 5 times the rate from then."""
        rng = random.Random(seed)
        names = World(NODES, (), rng).names
        leader = names.index(QuotaRoute().owners("caldas", names)[0])
        beside = rng.sample([node for node in range(NODES) if node != leader], others)
        # Without the key-value service, buckets alone keep the bound.
        cut = dict.fromkeys([leader, *beside], 1)
        changes = [Change(6000.0, cut, cut_from_store=frozenset(cut)), Change(healed_ms)]
        world = World(NODES, changes, rng)
        fleet, ran, now_ms = WindowFleet(world), [], hot_ms
        while now_ms < 16_000.0:
            now_ms += rng.expovariate(5 * self.LARGE.rate_per_s) * 1000
            world.advance(now_ms)
            if fleet.admit(self.LARGE, rng.randrange(NODES), now_ms).admitted:
                ran.append(now_ms)
        return fullest_ms(ran, WINDOW_MS)[0]

    def test_a_leader_that_is_cut_off_with_many_has_noticed_before_another_one_begins(self) -> None:
        for seed in range(4):
            most = self.most(seed, others=25, healed_ms=15_000.0, hot_ms=6000.0)
            self.assertLessEqual(most, most_allowed(self.LARGE), seed)

    def test_a_leader_that_was_cut_off_alone_does_not_go_on_as_if_it_had_led(self) -> None:
        for seed in range(4):
            most = self.most(seed, others=0, healed_ms=11_500.0, hot_ms=9500.0)
            self.assertLessEqual(most, most_allowed(self.LARGE), seed)


class Course(msgspec.Struct, frozen=True):
    """A fleet's course, drawn by hypothesis; ``phases`` are of demand: times of the rate, and ms.

    ``wait_share`` of the calls wait for a slot, up to 2.4 s as clients do, and ask again.
    """

    seed: int
    size: int
    rate_per_s: float
    burst_s: float
    changes: list[Change]
    phases: list[tuple[float, float]]
    wait_share: float


@st.composite
def courses(draw: st.DrawFn) -> Course:
    """Draw losses at least a second apart: a node's power is away for about that long."""
    size = draw(st.integers(3, 24))
    nodes = st.integers(0, size - 1)
    changes, at_ms = [], 6000.0
    for _ in range(draw(st.integers(0, 7))):
        kind = draw(st.sampled_from(["groups", "split", "alone", "down", "all down", "calm"]))
        groups, down, cut = {}, frozenset(), frozenset()
        if kind == "groups":
            groups = draw(st.dictionaries(nodes, st.integers(0, 3), max_size=size))
        elif kind == "split":
            small = draw(st.sets(nodes, max_size=(size - 1) // 2))
            groups = dict.fromkeys(small, 1)
        elif kind == "alone":
            groups = {node: node + 1 for node in draw(st.sets(nodes))}
        elif kind == "down":
            down = draw(st.frozensets(nodes))
        elif kind == "all down":
            down = frozenset(range(size))
        if draw(st.booleans()):
            cut = draw(st.frozensets(nodes))
        changes.append(Change(at_ms, groups, down, cut))
        at_ms += draw(st.floats(1000.0, 4000.0))
    changes.append(Change(at_ms))
    phases = st.tuples(st.sampled_from([0.3, 0.6, 1.0, 1.3, 3.0, 8.0]), st.floats(300.0, 4000.0))
    return Course(
        draw(st.integers(0, 2**32)),
        size,
        draw(st.sampled_from([0.5, 2.0, 8.0, 32.0])),
        draw(st.sampled_from([0.0, 0.5, 1.0, 3.0])),
        changes,
        draw(st.one_of(st.just([(8.0, 4000.0)]), st.lists(phases, min_size=1, max_size=8))),
        draw(st.sampled_from([0.0, 0.3, 1.0])),
    )


def sends_ms(
    course: Course,
    customer: Customer,
    make_fleet: Callable[[World], BucketFleet | WindowFleet] = WindowFleet,
) -> list[float]:
    """Play a course; return when the calls were sent that the fleet let in."""
    rng = random.Random(course.seed)
    world = World(course.size, course.changes, rng)
    fleet = make_fleet(world)
    end_ms = course.changes[-1].at_ms + 4000.0
    calls: list[tuple[float, int, float]] = []
    now_ms, phase, phase_end_ms = 0.0, 0, course.phases[0][1]
    while now_ms < end_ms:
        now_ms += rng.expovariate(customer.rate_per_s * course.phases[phase][0]) * 1000
        if now_ms > phase_end_ms:
            phase = (phase + 1) % len(course.phases)
            phase_end_ms = now_ms + course.phases[phase][1]
        calls.append((now_ms, rng.randrange(course.size), 0.0))
    heapq.heapify(calls)
    sent: list[float] = []
    while calls:
        now_ms, node, waited_ms = heapq.heappop(calls)
        world.advance(now_ms)
        if not world.is_up(node) or (waited_ms and world.started_ms[node] > now_ms - waited_ms):
            continue
        if not fleet.admit(customer, node, now_ms, waited_ms).admitted:
            continue
        if not waited_ms and rng.random() < course.wait_share:
            waited_ms = rng.uniform(fleet.policy.unsent_ms, 2400.0)
            heapq.heappush(calls, (now_ms + waited_ms, node, waited_ms))
        else:
            sent.append(now_ms + rng.uniform(0.0, fleet.policy.unsent_ms))
    return sent


class BoundTest(unittest.TestCase):
    """Guards the hard bound: any partitions and deaths, loss of all nodes at once, any demand."""

    @settings(max_examples=120, deadline=None)
    @given(courses())
    def test_no_window_holds_more_than_the_bound(self, course: Course) -> None:
        customer = Customer("caldas", course.rate_per_s, course.rate_per_s * course.burst_s)
        most, _ = fullest_ms(sends_ms(course, customer), WINDOW_MS)
        self.assertLessEqual(most, most_allowed(customer))


NOW_MS = 1e6
KNOWN = Records(float("inf"))
CUSTOMER = Customer("caldas", rate_per_s=10.0, burst=10.0)


class OwnerTest(unittest.TestCase):
    """A leader's answers: what it may grant, and since when."""

    def setUp(self) -> None:
        self.policy = WindowPolicy()
        self.owner = WindowOwner(self.policy)
        self.begin_ms = NOW_MS + self.policy.settle_ms

    def ask(self, now_ms: float, records: Records = KNOWN, **terms: object) -> Outcome:
        return self.owner.ask(CUSTOMER, NOW_MS, records, now_ms, **terms).outcome

    def granted(self, now_ms: float, records: Records = KNOWN, **terms: object) -> int:
        """Ask until a call is refused; return how many were granted."""
        count = 0
        while self.ask(now_ms, records, **terms) is Outcome.GRANTED:
            count += 1
        return count

    def cover(self, now_ms: float) -> None:
        self.assertTrue(self.owner.record_due("caldas", now_ms))
        self.owner.note_record("caldas", NOW_MS, now_ms)

    def test_a_new_leader_waits_for_one_that_was_cut_off_and_begins_empty(self) -> None:
        self.assertIs(self.ask(self.begin_ms - 1.0), Outcome.UNSETTLED)
        # It does not say that a customer is over its limit before it has seen a whole window.
        self.assertIs(self.ask(self.begin_ms), Outcome.UNSETTLED)
        self.assertEqual(self.granted(self.begin_ms + 500.0), 5)
        self.assertIs(self.ask(self.begin_ms + 500.0), Outcome.UNSETTLED)
        passed_ms = self.begin_ms + self.policy.span_ms
        self.assertGreater(self.granted(passed_ms), 0)
        self.assertIs(self.ask(passed_ms), Outcome.OVER_LIMIT)

    def test_most_of_a_fleet_that_has_just_started_need_not_wait(self) -> None:
        self.assertEqual(self.granted(NOW_MS, restarted=True), 6)
        # Two that lead one after the other then have one bucket at the most.
        steady = Customer("caldas", rate_per_s=100.0)
        terms = self.policy.leader_terms(steady, restarted=True)
        self.assertLessEqual(2 * terms.start, terms.size)

    def test_the_whole_window_is_granted_under_a_record_and_no_more(self) -> None:
        now_ms = self.begin_ms + 10_000.0
        by_bucket = self.granted(now_ms)
        self.assertLess(by_bucket, 20)
        self.cover(now_ms)
        # 60 within the limit, and 0.15 of the spare 26.
        self.assertEqual(by_bucket + self.granted(now_ms), 63)
        self.assertFalse(self.owner.record_due("caldas", now_ms))
        self.assertEqual(self.granted(now_ms + self.policy.window_ms), 0)
        self.assertGreater(self.granted(now_ms + self.policy.span_ms), 0)

    def test_a_leader_that_does_not_know_the_window_asks_for_no_record(self) -> None:
        now_ms = self.begin_ms + self.policy.span_ms - 1.0
        self.granted(now_ms)
        self.assertFalse(self.owner.record_due("caldas", now_ms))

    def test_a_record_that_lapses_leaves_the_bucket_alone(self) -> None:
        now_ms = self.begin_ms + 10_000.0
        self.granted(now_ms)
        self.cover(now_ms - self.policy.record_ms)
        self.assertEqual(self.granted(now_ms), 0)

    def test_a_new_leader_waits_while_the_window_may_be_used_up(self) -> None:
        until_ms = self.begin_ms + 3000.0
        records = Records(float("inf"), until_ms)
        self.assertIs(self.ask(until_ms - 1.0, records), Outcome.UNSETTLED)
        self.assertGreater(self.granted(until_ms, records), 0)

    def test_without_news_of_records_a_new_leader_waits_one_window_at_most(self) -> None:
        records = Records(self.begin_ms - 1.0)
        passed_ms = self.begin_ms + self.policy.span_ms
        self.assertIs(self.ask(passed_ms - 1.0, records), Outcome.UNSETTLED)
        self.assertTrue(self.owner.lookup_due("caldas", passed_ms - 1.0))
        self.assertGreater(self.granted(passed_ms, records), 0)

    def test_a_call_that_waited_counts_when_it_is_sent_and_once(self) -> None:
        now_ms = self.begin_ms + 10_000.0
        count = self.granted(now_ms)
        self.cover(now_ms)
        count += self.granted(now_ms)
        sent_ms = now_ms + 2000.0
        self.cover_again(sent_ms)
        for _ in range(count):
            self.assertIs(self.ask(sent_ms, waited_ms=2000.0), Outcome.GRANTED)
        self.assertIs(self.ask(sent_ms), Outcome.OVER_LIMIT)
        # Counted at their grants they would have left the window by now.
        later_ms = now_ms + self.policy.span_ms + 1.0
        self.assertIs(self.ask(later_ms), Outcome.OVER_LIMIT)

    def cover_again(self, now_ms: float) -> None:
        self.owner.note_record("caldas", NOW_MS, now_ms)

    def test_a_lower_limit_holds_at_once_and_in_whole_after_a_window(self) -> None:
        now_ms = self.begin_ms + 10_000.0
        self.granted(now_ms)
        lower = Customer("caldas", rate_per_s=1.0, burst=1.0)
        answer = self.owner.ask(lower, NOW_MS, KNOWN, now_ms + 1000.0)
        self.assertIs(answer.outcome, Outcome.OVER_LIMIT)
        later_ms, count = now_ms + self.policy.span_ms, 0
        while self.owner.ask(lower, NOW_MS, KNOWN, later_ms).outcome is Outcome.GRANTED:
            count += 1
        self.assertLessEqual(count, 4)

    def test_another_time_of_leading_begins_anew(self) -> None:
        self.assertGreater(self.granted(self.begin_ms + 5000.0), 0)
        again = self.owner.ask(CUSTOMER, self.begin_ms + 6000.0, KNOWN, self.begin_ms + 6500.0)
        self.assertIs(again.outcome, Outcome.UNSETTLED)


class LeadershipTest(unittest.TestCase):
    """Guards against two nodes that lead, and against one that led while it could not look."""

    NAMES = tuple(f"node-{number}" for number in range(20))

    def leader(self) -> Leadership:
        return Leadership(QuotaRoute().owners("caldas", self.NAMES)[0])

    def test_a_node_leads_with_more_than_half_of_the_fleet_and_contact(self) -> None:
        leadership = self.leader()
        half = [leadership.vm_id, *[n for n in self.NAMES if n != leadership.vm_id][:9]]
        for names, heard, leads in (
            (self.NAMES, 5, True),
            (half, 5, False),
            (self.NAMES, 4, False),
        ):
            leadership.note(names, len(self.NAMES), heard, NOW_MS)
            self.assertEqual(leadership.since_ms("caldas") is not None, leads, (len(names), heard))

    def test_leading_anew_counts_from_then(self) -> None:
        leadership = self.leader()
        for heard, now_ms in ((5, 0.0), (4, 1000.0), (5, 1100.0)):
            leadership.note(self.NAMES, len(self.NAMES), heard, now_ms)
        self.assertEqual(leadership.since_ms("caldas"), 1100.0)
        # Changes among others leave it.
        leadership.note(self.NAMES[:-1], len(self.NAMES), 5, 2000.0)
        self.assertIn(leadership.since_ms("caldas"), (1100.0, None))
        leadership.interrupt(3000.0)
        self.assertIn(leadership.since_ms("caldas"), (3000.0, None))

    def test_others_that_were_heard_of_are_counted_once(self) -> None:
        contacts = Contacts()
        for now_ms, node in enumerate(("a", "b", "a", "a", "c")):
            contacts.note(node, float(now_ms))
        self.assertEqual(contacts.count(0.0), 3)
        self.assertEqual(contacts.count(3.0), 2)
        contacts.keep(3.0)
        self.assertEqual(contacts.count(0.0), 2)


class PartsTest(unittest.TestCase):
    """Guards the sum of what nodes serve by themselves, which is what exceeded a limit."""

    @given(st.integers(1, 400), st.floats(0.1, 100.0), st.floats(0.0, 5.0), st.floats(0.0, 60.0))
    def test_the_parts_of_all_nodes_fit_into_what_may_run_beyond_the_limit(
        self, size: int, rate_per_s: float, burst_s: float, slack_calls: float
    ) -> None:
        policy = WindowPolicy(slack_calls=slack_calls)
        customer = Customer("caldas", rate_per_s, rate_per_s * burst_s)
        parts = sum(policy.part_calls(customer, rank, size) for rank in range(size))
        shared = policy.leader_share + 2 * policy.pair_share + policy.others_share
        self.assertLessEqual(shared, 0.85 + 1e-9)
        self.assertLessEqual(
            parts, (2 * policy.pair_share + policy.others_share) * policy.spare_calls(customer)
        )

    @given(st.integers(1, 60), st.lists(st.floats(0.0, 700.0), max_size=300))
    def test_a_part_serves_no_more_than_its_calls_in_any_span(
        self, calls: int, gaps_ms: list[float]
    ) -> None:
        policy, now_ms, taken = WindowPolicy(), 0.0, []
        terms = policy.part_terms(calls)
        bucket = Bucket(0.0, -1e6)
        for gap_ms in gaps_ms:
            now_ms += gap_ms
            while bucket.take(terms, now_ms):
                taken.append(now_ms)
        self.assertLessEqual(fullest_ms(taken, policy.span_ms)[0], calls)

    def test_a_node_that_gets_a_larger_part_begins_empty(self) -> None:
        parts = NodeParts(WindowPolicy(), 0.0)
        self.assertFalse(parts.take(CUSTOMER, None, 54, 1e6))
        self.assertFalse(parts.take(CUSTOMER, 0, 54, 1e6))
        self.assertTrue(parts.take(CUSTOMER, 0, 54, 1e6 + 5000.0))

    def test_a_node_that_was_registered_counts_on_for_a_minute(self) -> None:
        names = [f"node-{number}" for number in range(9)]
        roster = Roster("node-0")
        self.assertIsNone(roster.rank("caldas"))
        roster.note(names, 0.0)
        rank = roster.rank("caldas")
        roster.note(names[:4], 59_000.0)
        self.assertEqual((roster.size, roster.rank("caldas")), (9, rank))
        roster.note(names[:4], 61_000.0)
        self.assertEqual(roster.size, 4)


if __name__ == "__main__":
    unittest.main()
