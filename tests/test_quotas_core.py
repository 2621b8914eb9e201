"""One limit over all nodes in shares: buckets, keepers that change, and who begins with what."""

import random
import unittest
from collections import deque

from hypothesis import given, settings
from hypothesis import strategies as st

from fescuedock.core.customers import Customer
from fescuedock.core.quotas import (
    KeptShare,
    QuotaOwner,
    QuotaPolicy,
    Roster,
    ShareRoute,
    ask_order,
)
from fescuedock.core.token_bucket import Bucket, BucketTerms, SendBucket
from tests.builders.quota_fleet import BucketFleet, Change, World

WINDOW_MS = 5000.0
SLACK = 20.0
OVER = 0.1


def most_allowed(customer: Customer) -> float:
    """Return what may run of a customer in any window, as the platform judges it."""
    in_window = customer.rate_per_s * WINDOW_MS / 1000 + customer.burst
    return in_window * (1 + OVER) + SLACK


class Windows:
    """Counts grants, and the most of any window."""

    def __init__(self) -> None:
        self._at_ms: deque[float] = deque()
        self.most = 0

    def add(self, now_ms: float) -> None:
        self._at_ms.append(now_ms)
        while self._at_ms[0] <= now_ms - WINDOW_MS:
            self._at_ms.popleft()
        self.most = max(self.most, len(self._at_ms))


class BucketTest(unittest.TestCase):
    @given(
        st.floats(0.5, 50),
        st.floats(1, 50),
        st.lists(st.floats(0, 900), min_size=1, max_size=200),
    )
    def test_no_span_holds_more_than_the_size_and_the_rate(
        self, rate_per_s: float, size: float, gaps_ms: list[float]
    ) -> None:
        terms = BucketTerms(rate_per_s, size, size)
        bucket, now_ms, taken = Bucket(size, 0.0), 0.0, []
        for gap_ms in gaps_ms:
            now_ms += gap_ms
            while bucket.take(terms, now_ms):
                taken.append(now_ms)
        for first, at_ms in enumerate(taken):
            count = len([other for other in taken[first:] if other <= at_ms + WINDOW_MS])
            self.assertLessEqual(count, size + rate_per_s * WINDOW_MS / 1000 + 1e-6)

    def test_refused_callers_are_told_different_times(self) -> None:
        terms = BucketTerms(10.0, 1.0, 1.0)
        bucket = Bucket(0.0, 0.0)
        waits_ms = [bucket.wait_ms(terms, 0.0, 2000.0) for _ in range(30)]
        self.assertEqual(waits_ms[:3], [100.0, 200.0, 300.0])
        self.assertEqual(waits_ms[-1], 2000.0)
        # A customer that may call never is told the longest time.
        self.assertEqual(bucket.wait_ms(BucketTerms(0.0, 1.0, 1.0), 0.0, 2000.0), 2000.0)


class SendBucketTest(unittest.TestCase):
    """Guards against calls that are granted over seconds and sent at once."""

    TERMS = BucketTerms(10.0, 5.0, 0.0)

    @given(
        st.floats(0.5, 50),
        st.floats(1, 50),
        st.lists(st.tuples(st.floats(0, 900), st.sampled_from([0.0, 300.0, 2400.0])), max_size=120),
    )
    def test_no_span_holds_more_calls_sent_than_the_size_and_the_rate(
        self, rate_per_s: float, size: float, calls: list[tuple[float, float]]
    ) -> None:
        terms = BucketTerms(rate_per_s, size, size)
        bucket, at_ms, sent = SendBucket(Bucket(size, 0.0)), 0.0, []
        events: list[tuple[float, float]] = []
        for gap_ms, waits_ms in calls:
            at_ms += gap_ms
            events.append((at_ms, waits_ms))
        waiting: list[tuple[float, float]] = []
        for now_ms, waits_ms in sorted(events):
            for due_ms, granted_ms in sorted(waiting):
                if due_ms <= now_ms:
                    waiting.remove((due_ms, granted_ms))
                    if bucket.move(terms, granted_ms, due_ms):
                        sent.append(due_ms)
            if bucket.take(terms, now_ms):
                if waits_ms:
                    waiting.append((now_ms + waits_ms, now_ms))
                else:
                    sent.append(now_ms)
        sent.sort()
        for first, since_ms in enumerate(sent):
            count = sum(other <= since_ms + WINDOW_MS for other in sent[first:])
            self.assertLessEqual(count, size + rate_per_s * WINDOW_MS / 1000 + 1e-6)

    def test_a_call_that_waited_takes_the_token_of_the_time_at_which_it_is_sent(self) -> None:
        bucket = SendBucket(Bucket(5.0, 0.0))
        granted = [bucket.take(self.TERMS, 0.0) for _ in range(6)]
        self.assertEqual(granted, [True] * 5 + [False])
        # A second later the bucket is full again; five may be sent, those that waited among them.
        sent = [bucket.move(self.TERMS, 0.0, 1000.0) for _ in range(5)]
        self.assertEqual(sent, [True] * 5)
        self.assertFalse(bucket.take(self.TERMS, 1000.0))

    def test_a_grant_that_is_not_known_needs_another_token(self) -> None:
        bucket = SendBucket(Bucket(2.0, 0.0))
        self.assertTrue(bucket.take(self.TERMS, 0.0))
        self.assertTrue(bucket.move(self.TERMS, -1.0, 0.0))
        self.assertFalse(bucket.move(self.TERMS, -1.0, 0.0))


KEPT = KeptShare("caldas", 0, 0.0, since_start=True)
# One share, which is the whole limit.
WHOLE = QuotaPolicy(most_shares=1)


class OwnerTest(unittest.TestCase):
    def test_a_customer_within_its_limit_is_never_refused(self) -> None:
        owner, rng, now_ms, refused = QuotaOwner(WHOLE), random.Random(1), 0.0, 0
        customer = Customer("caldas", rate_per_s=16.0, burst=16.0)
        for _ in range(5000):
            now_ms += rng.expovariate(10.0) * 1000
            refused += owner.ask(customer, KEPT, now_ms, may_start=True) is not None
        self.assertEqual(refused, 0)

    def test_most_of_a_hot_customer_is_refused_and_its_rate_served(self) -> None:
        owner, windows, granted = QuotaOwner(WHOLE), Windows(), 0
        customer = Customer("caldas", rate_per_s=16.0, burst=16.0)
        for step in range(12_000):
            now_ms = step * 5.0
            if owner.ask(customer, KEPT, now_ms, may_start=True) is None:
                windows.add(now_ms)
                granted += 1
        self.assertLessEqual(windows.most, most_allowed(customer))
        self.assertGreaterEqual(granted, 16 * 60)

    def test_calls_that_waited_and_new_ones_share_one_bucket(self) -> None:
        """Guards against calls that are granted over seconds and sent at once."""
        owner, customer = QuotaOwner(WHOLE), Customer("caldas", rate_per_s=10.0, burst=10.0)
        size = WHOLE.share_terms(customer).size
        waiting = sum(owner.ask(customer, KEPT, 10_000.0) is None for _ in range(8))
        sent = sum(owner.ask(customer, KEPT, 16_000.0, waited_ms=6000.0) is None for _ in range(8))
        self.assertEqual((waiting, sent), (8, 8))
        while owner.ask(customer, KEPT, 16_000.0) is None:
            sent += 1
        self.assertEqual(sent, int(size))

    def test_a_keeper_begins_with_one_call_after_a_start_and_else_with_none(self) -> None:
        customer = Customer("caldas", rate_per_s=0.001, burst=8.0)
        taken = KeptShare("caldas", 0, 0.0, since_start=False)
        for kept, may_start, granted in (
            (KEPT, True, True),
            (KEPT, False, False),
            (taken, True, False),
        ):
            owner = QuotaOwner()
            first = owner.ask(customer, kept, 0.0, may_start=may_start)
            self.assertEqual(first is None, granted)
            self.assertIsNotNone(owner.ask(customer, kept, 0.0, may_start=may_start))

    def test_a_keeper_that_learns_late_that_it_may_begins_with_one_call_once(self) -> None:
        """Guards against a share that stayed empty as its first ask came before the record."""
        owner, customer = QuotaOwner(), Customer("caldas", rate_per_s=0.001, burst=8.0)
        self.assertIsNotNone(owner.ask(customer, KEPT, 0.0, may_start=False))
        granted = [owner.ask(customer, KEPT, 1.0, may_start=True) is None for _ in range(3)]
        self.assertEqual(granted, [True, False, False])

    def test_a_process_that_follows_another_at_once_begins_with_nothing(self) -> None:
        policy = QuotaPolicy()
        for since_previous_ms, may_start in (
            (None, False),
            (policy.bound_ms - 1.0, False),
            (policy.bound_ms, True),
            (float("inf"), True),
        ):
            self.assertEqual(policy.may_start(since_previous_ms), may_start)

    def test_customers_that_went_are_forgotten(self) -> None:
        owner = QuotaOwner()
        customer = Customer("caldas", rate_per_s=0.001, burst=1.0)
        self.assertIsNone(owner.ask(customer, KEPT, 0.0, may_start=True))
        self.assertIsNotNone(owner.ask(customer, KEPT, 0.0, may_start=True))
        owner.keep(["gent"])
        self.assertIsNone(owner.ask(customer, KEPT, 0.0, may_start=True))


class PolicyTest(unittest.TestCase):
    @given(
        st.floats(0.01, 100.0),
        st.floats(0.0, 5.0),
        st.floats(0.0, 60.0),
        st.floats(0.0, 0.3),
        st.floats(1.0, 10.0),
    )
    def test_all_shares_and_a_start_of_each_fit_into_the_bound(
        self, rate_per_s: float, burst_s: float, slack: float, over: float, bound_s: float
    ) -> None:
        """Guards the sum of what keepers grant, which nothing else bounds."""
        policy = QuotaPolicy(slack, over, bound_s * 1000)
        customer = Customer("caldas", rate_per_s, rate_per_s * burst_s)
        count, terms = policy.share_count(customer), policy.share_terms(customer)
        limit = rate_per_s * bound_s + customer.burst
        most = count * (terms.size + terms.rate_per_s * (bound_s + policy.unsent_ms / 1000))
        starts = count * terms.start
        late_s = policy.start_rate_s + 0.2
        spare = slack + over * limit - count - late_s * rate_per_s
        # With less room a share still grants a call at a time.
        if spare >= 0.0 and customer.burst + spare >= 1.0:
            self.assertLessEqual(most + starts, limit * (1 + over) + slack + 1e-6)
        self.assertGreaterEqual(terms.size, 1.0)


class ShareRouteTest(unittest.TestCase):
    """Guards against two nodes that grant the same share."""

    NAMES = tuple(f"node-{number}" for number in range(20))

    def route(self, vm_id: str, names: tuple[str, ...] = NAMES, now_ms: float = 0.0) -> ShareRoute:
        route = ShareRoute(Roster(vm_id), now_ms - 500.0)
        route.note(names, now_ms)
        return route

    def test_each_share_has_one_keeper_and_shares_of_a_customer_have_different_ones(self) -> None:
        kept = [
            (number, name)
            for name in self.NAMES
            for number in range(4)
            if self.route(name).kept("caldas", number) is not None
        ]
        self.assertEqual(sorted(number for number, _ in kept), [0, 1, 2, 3])
        self.assertEqual(len({name for _, name in kept}), 4)

    def test_in_a_small_fleet_every_share_has_a_keeper(self) -> None:
        route = self.route("node-0", ("node-0",))
        self.assertEqual([route.keeper("caldas", number) for number in range(4)], ["node-0"] * 4)

    def test_a_node_that_is_lost_for_a_while_still_keeps_its_shares(self) -> None:
        route = self.route("node-0")
        lost = route.keeper("caldas", 1)
        rest = [name for name in self.NAMES if name != lost]
        route.note(rest, 59_000.0)
        self.assertEqual(route.keeper("caldas", 1), lost)
        route.note(rest, 61_000.0)
        self.assertNotEqual(route.keeper("caldas", 1), lost)

    def test_a_share_that_another_node_kept_is_not_one_since_the_start(self) -> None:
        keeper = self.route("node-0").keeper("caldas", 1)
        route = self.route(keeper)
        kept = route.kept("caldas", 1)
        self.assertEqual((kept.since_ms, kept.since_start), (-500.0, True))
        others = tuple(name for name in self.NAMES if name != keeper)
        follower = self.route("node-0", others).keeper("caldas", 1)
        route = self.route(follower)
        self.assertIsNone(route.kept("caldas", 1))
        route.note(others, 61_000.0)
        kept = route.kept("caldas", 1)
        self.assertEqual((kept.since_ms, kept.since_start), (61_000.0, False))

    def test_a_node_that_is_not_registered_keeps_nothing(self) -> None:
        route = self.route("node-20")
        self.assertEqual([route.kept("caldas", number) for number in range(4)], [None] * 4)
        self.assertIsNone(ShareRoute(Roster("node-0"), 0.0).kept("caldas", 0))

    def test_the_last_grant_is_asked_about_first_and_own_shares_before_others(self) -> None:
        keepers = ["node-1", "node-0", "node-2", "node-3"]
        for seed in range(20):
            rng = random.Random(seed)
            self.assertEqual(ask_order(keepers, "node-0", rng)[0], 1)
            self.assertEqual(ask_order(keepers, "node-0", rng, last=2)[:2], [2, 1])


class FleetTest(unittest.TestCase):
    """A hot customer's calls at nodes that are cut off, restart, and disagree on the owner."""

    NODES = 54

    @settings(max_examples=60, deadline=None)
    @given(
        st.integers(0, 2**32),
        st.sampled_from([1.0, 4.0, 16.0, 32.0]),
        st.floats(4.0, 12.0),
        st.integers(0, 54),
        st.integers(0, 1),
    )
    def test_the_limit_holds_in_every_window(
        self, seed: int, rate_per_s: float, times: float, cut_off: int, changes: int
    ) -> None:
        """``cut_off`` nodes reach nobody from the beginning on; all keepers start anew once."""
        rng = random.Random(seed)
        customer = Customer("caldas", rate_per_s, burst=rate_per_s)
        alone = {node: node + 1 for node in rng.sample(range(self.NODES), cut_off)}
        keepers = BucketFleet(World(self.NODES, (), rng)).keepers(customer)
        change_ms = 4000.0 + rng.random() * 2000
        course = [Change(0.0, alone)]
        if changes:
            course += [Change(change_ms, alone, frozenset(keepers)), Change(change_ms + 1.0, alone)]
        world = World(self.NODES, course, rng)
        fleet, windows, now_ms = BucketFleet(world), Windows(), 0.0
        while now_ms < 12_000.0:
            now_ms += rng.expovariate(rate_per_s / 1.6 * times) * 1000
            world.advance(now_ms)
            node = rng.randrange(self.NODES)
            if world.is_up(node) and fleet.admit(customer, node, now_ms).admitted:
                windows.add(now_ms)
        self.assertLessEqual(windows.most, most_allowed(customer))


if __name__ == "__main__":
    unittest.main()
