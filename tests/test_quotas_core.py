"""One limit over all nodes in shares: buckets, changes of share owners, and start credits."""

import random
import unittest
from collections import deque

from hypothesis import given, settings
from hypothesis import strategies as st

from fescuedock.core.customers import Customer
from fescuedock.core.quotas import (
    OwnedShare,
    QuotaOwner,
    QuotaPolicy,
    Roster,
    ShareDirectory,
    query_order,
)
from fescuedock.core.token_bucket import Bucket, BucketTerms, SendBucket
from tests.builders.quota_fleet import BucketFleet, Change, FleetSimulation

WINDOW_MS = 5000.0
SLACK = 20.0
OVER_SHARE = 0.1


def max_allowed(customer: Customer) -> float:
    """Return how many calls of a customer may run in any window, as the platform judges it."""
    in_window = customer.rate_per_s * WINDOW_MS / 1000 + customer.burst
    return in_window * (1 + OVER_SHARE) + SLACK


class WindowCounter:
    """Counts grants, and their maximum in any window."""

    def __init__(self) -> None:
        self._at_ms: deque[float] = deque()
        self.max_in_window = 0

    def add(self, now_ms: float) -> None:
        self._at_ms.append(now_ms)
        while self._at_ms[0] <= now_ms - WINDOW_MS:
            self._at_ms.popleft()
        self.max_in_window = max(self.max_in_window, len(self._at_ms))


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
        bucket, now_ms, acquired = Bucket(size, 0.0), 0.0, []
        for gap_ms in gaps_ms:
            now_ms += gap_ms
            while bucket.try_acquire(terms, now_ms):
                acquired.append(now_ms)
        for first, at_ms in enumerate(acquired):
            count = len([other for other in acquired[first:] if other <= at_ms + WINDOW_MS])
            self.assertLessEqual(count, size + rate_per_s * WINDOW_MS / 1000 + 1e-6)

    def test_refused_callers_get_different_retry_times(self) -> None:
        terms = BucketTerms(10.0, 1.0, 1.0)
        bucket = Bucket(0.0, 0.0)
        waits_ms = [bucket.wait_ms(terms, 0.0, 2000.0) for _ in range(30)]
        self.assertEqual(waits_ms[:3], [100.0, 200.0, 300.0])
        self.assertEqual(waits_ms[-1], 2000.0)
        # A customer without any rate gets the longest time.
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
                    if bucket.try_reacquire(terms, granted_ms, due_ms):
                        sent.append(due_ms)
            if bucket.try_acquire(terms, now_ms):
                if waits_ms:
                    waiting.append((now_ms + waits_ms, now_ms))
                else:
                    sent.append(now_ms)
        sent.sort()
        for first, since_ms in enumerate(sent):
            count = sum(other <= since_ms + WINDOW_MS for other in sent[first:])
            self.assertLessEqual(count, size + rate_per_s * WINDOW_MS / 1000 + 1e-6)

    def test_a_call_that_waited_acquires_a_token_at_the_time_it_is_sent(self) -> None:
        bucket = SendBucket(Bucket(5.0, 0.0))
        granted = [bucket.try_acquire(self.TERMS, 0.0) for _ in range(6)]
        self.assertEqual(granted, [True] * 5 + [False])
        # A second later the bucket is full again; five calls may be sent, including those that
        # waited.
        sent = [bucket.try_reacquire(self.TERMS, 0.0, 1000.0) for _ in range(5)]
        self.assertEqual(sent, [True] * 5)
        self.assertFalse(bucket.try_acquire(self.TERMS, 1000.0))

    def test_an_unknown_grant_needs_another_token(self) -> None:
        bucket = SendBucket(Bucket(2.0, 0.0))
        self.assertTrue(bucket.try_acquire(self.TERMS, 0.0))
        self.assertTrue(bucket.try_reacquire(self.TERMS, -1.0, 0.0))
        self.assertFalse(bucket.try_reacquire(self.TERMS, -1.0, 0.0))


OWNED = OwnedShare("caldas", 0, 0.0, since_start=True)
# A single share, which is the entire limit.
SINGLE_SHARE = QuotaPolicy(max_shares=1)


class OwnerTest(unittest.TestCase):
    def test_a_customer_within_its_limit_is_never_refused(self) -> None:
        owner, rng, now_ms, refused = QuotaOwner(SINGLE_SHARE), random.Random(1), 0.0, 0
        customer = Customer("caldas", rate_per_s=16.0, burst=16.0)
        for _ in range(5000):
            now_ms += rng.expovariate(10.0) * 1000
            refused += owner.request(customer, OWNED, now_ms, start_credit=True) is not None
        self.assertEqual(refused, 0)

    def test_excess_calls_are_refused_and_the_rate_is_served(self) -> None:
        owner, counter, granted = QuotaOwner(SINGLE_SHARE), WindowCounter(), 0
        customer = Customer("caldas", rate_per_s=16.0, burst=16.0)
        for step in range(12_000):
            now_ms = step * 5.0
            if owner.request(customer, OWNED, now_ms, start_credit=True) is None:
                counter.add(now_ms)
                granted += 1
        self.assertLessEqual(counter.max_in_window, max_allowed(customer))
        self.assertGreaterEqual(granted, 16 * 60)

    def test_calls_that_waited_and_new_ones_share_one_bucket(self) -> None:
        """Guards against calls that are granted over seconds and sent at once."""
        owner, customer = QuotaOwner(SINGLE_SHARE), Customer("caldas", rate_per_s=10.0, burst=10.0)
        size = SINGLE_SHARE.share_terms(customer).size
        waiting = sum(owner.request(customer, OWNED, 10_000.0) is None for _ in range(8))
        sent = sum(
            owner.request(customer, OWNED, 16_000.0, waited_ms=6000.0) is None for _ in range(8)
        )
        self.assertEqual((waiting, sent), (8, 8))
        while owner.request(customer, OWNED, 16_000.0) is None:
            sent += 1
        self.assertEqual(sent, int(size))

    def test_an_owner_starts_with_one_call_after_a_process_start_and_otherwise_with_none(
        self,
    ) -> None:
        customer = Customer("caldas", rate_per_s=0.001, burst=8.0)
        acquired = OwnedShare("caldas", 0, 0.0, since_start=False)
        for owned, start_credit, granted in (
            (OWNED, True, True),
            (OWNED, False, False),
            (acquired, True, False),
        ):
            owner = QuotaOwner()
            first = owner.request(customer, owned, 0.0, start_credit=start_credit)
            self.assertEqual(first is None, granted)
            self.assertIsNotNone(owner.request(customer, owned, 0.0, start_credit=start_credit))

    def test_an_owner_that_learns_late_of_its_start_credit_gets_it_once(self) -> None:
        """Guards against a share that stayed empty as its first request preceded the record."""
        owner, customer = QuotaOwner(), Customer("caldas", rate_per_s=0.001, burst=8.0)
        self.assertIsNotNone(owner.request(customer, OWNED, 0.0, start_credit=False))
        granted = [owner.request(customer, OWNED, 1.0, start_credit=True) is None for _ in range(3)]
        self.assertEqual(granted, [True, False, False])

    def test_a_process_that_follows_another_at_once_gets_no_start_credit(self) -> None:
        policy = QuotaPolicy()
        for since_previous_ms, start_credit in (
            (None, False),
            (policy.window_ms - 1.0, False),
            (policy.window_ms, True),
            (float("inf"), True),
        ):
            self.assertEqual(policy.has_start_credit(since_previous_ms), start_credit)

    def test_removed_customers_are_forgotten(self) -> None:
        owner = QuotaOwner()
        customer = Customer("caldas", rate_per_s=0.001, burst=1.0)
        self.assertIsNone(owner.request(customer, OWNED, 0.0, start_credit=True))
        self.assertIsNotNone(owner.request(customer, OWNED, 0.0, start_credit=True))
        owner.retain(["gent"])
        self.assertIsNone(owner.request(customer, OWNED, 0.0, start_credit=True))


class PolicyTest(unittest.TestCase):
    @given(
        st.floats(0.01, 100.0),
        st.floats(0.0, 5.0),
        st.floats(0.0, 60.0),
        st.floats(0.0, 0.3),
        st.floats(1.0, 10.0),
    )
    def test_all_shares_and_their_start_credits_fit_into_the_bound(
        self, rate_per_s: float, burst_s: float, slack: float, over: float, bound_s: float
    ) -> None:
        """Checks the sum of the owners' grants, which nothing else bounds."""
        policy = QuotaPolicy(slack, over, bound_s * 1000)
        customer = Customer("caldas", rate_per_s, rate_per_s * burst_s)
        count, terms = policy.share_count(customer), policy.share_terms(customer)
        limit = rate_per_s * bound_s + customer.burst
        max_in_window = count * (
            terms.size + terms.rate_per_s * (bound_s + policy.max_unsent_ms / 1000)
        )
        starts = count * terms.start_tokens
        late_s = policy.start_period_s + 0.2
        spare = slack + over * limit - count - late_s * rate_per_s
        # With less room a share still grants one call at a time.
        if spare >= 0.0 and customer.burst + spare >= 1.0:
            self.assertLessEqual(max_in_window + starts, limit * (1 + over) + slack + 1e-6)
        self.assertGreaterEqual(terms.size, 1.0)


class ShareDirectoryTest(unittest.TestCase):
    """Guards against two nodes that grant the same share."""

    NAMES = tuple(f"node-{number}" for number in range(20))

    def route(
        self, vm_id: str, names: tuple[str, ...] = NAMES, now_ms: float = 0.0
    ) -> ShareDirectory:
        route = ShareDirectory(Roster(vm_id), now_ms - 500.0)
        route.update(names, now_ms)
        return route

    def test_each_share_has_one_owner_and_shares_of_a_customer_have_different_ones(self) -> None:
        owned = [
            (number, name)
            for name in self.NAMES
            for number in range(4)
            if self.route(name).owned("caldas", number) is not None
        ]
        self.assertEqual(sorted(number for number, _ in owned), [0, 1, 2, 3])
        self.assertEqual(len({name for _, name in owned}), 4)

    def test_in_a_small_fleet_every_share_has_an_owner(self) -> None:
        route = self.route("node-0", ("node-0",))
        self.assertEqual([route.owner_of("caldas", number) for number in range(4)], ["node-0"] * 4)

    def test_a_node_that_is_lost_for_a_while_still_owns_its_shares(self) -> None:
        route = self.route("node-0")
        lost = route.owner_of("caldas", 1)
        rest = [name for name in self.NAMES if name != lost]
        route.update(rest, 59_000.0)
        self.assertEqual(route.owner_of("caldas", 1), lost)
        route.update(rest, 61_000.0)
        self.assertNotEqual(route.owner_of("caldas", 1), lost)

    def test_a_share_taken_over_from_another_node_is_not_owned_since_the_start(self) -> None:
        owner = self.route("node-0").owner_of("caldas", 1)
        route = self.route(owner)
        owned = route.owned("caldas", 1)
        self.assertEqual((owned.since_ms, owned.since_start), (-500.0, True))
        others = tuple(name for name in self.NAMES if name != owner)
        follower = self.route("node-0", others).owner_of("caldas", 1)
        route = self.route(follower)
        self.assertIsNone(route.owned("caldas", 1))
        route.update(others, 61_000.0)
        owned = route.owned("caldas", 1)
        self.assertEqual((owned.since_ms, owned.since_start), (61_000.0, False))

    def test_a_node_that_is_not_registered_owns_no_share(self) -> None:
        route = self.route("node-20")
        self.assertEqual([route.owned("caldas", number) for number in range(4)], [None] * 4)
        self.assertIsNone(ShareDirectory(Roster("node-0"), 0.0).owned("caldas", 0))

    def test_the_share_of_the_last_grant_is_queried_first_and_own_shares_before_others(
        self,
    ) -> None:
        owners = ["node-1", "node-0", "node-2", "node-3"]
        for seed in range(20):
            rng = random.Random(seed)
            self.assertEqual(query_order(owners, "node-0", rng)[0], 1)
            self.assertEqual(query_order(owners, "node-0", rng, last=2)[:2], [2, 1])


class FleetTest(unittest.TestCase):
    """A customer over its limit, at nodes that are cut off, restart, and disagree on the owner."""

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
        """``cut_off`` nodes are isolated from the start; all share owners restart once."""
        rng = random.Random(seed)
        customer = Customer("caldas", rate_per_s, burst=rate_per_s)
        cut_off_groups = {node: node + 1 for node in rng.sample(range(self.NODES), cut_off)}
        owners = BucketFleet(FleetSimulation(self.NODES, (), rng)).share_owners(customer)
        change_ms = 4000.0 + rng.random() * 2000
        trace = [Change(0.0, cut_off_groups)]
        if changes:
            trace += [
                Change(change_ms, cut_off_groups, frozenset(owners)),
                Change(change_ms + 1.0, cut_off_groups),
            ]
        simulation = FleetSimulation(self.NODES, trace, rng)
        fleet, counter, now_ms = BucketFleet(simulation), WindowCounter(), 0.0
        while now_ms < 12_000.0:
            now_ms += rng.expovariate(rate_per_s / 1.6 * times) * 1000
            simulation.advance(now_ms)
            node = rng.randrange(self.NODES)
            if simulation.is_up(node) and fleet.admit(customer, node, now_ms).admitted:
                counter.add(now_ms)
        self.assertLessEqual(counter.max_in_window, max_allowed(customer))


if __name__ == "__main__":
    unittest.main()
