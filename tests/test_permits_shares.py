"""Priorities and fair shares of customers in one upstream's queue."""

import unittest

from fescuedock.core.customers import Customer, index_of
from fescuedock.core.forwarding.route_table import Route, RouteKind, RouteTable
from fescuedock.core.permits.actions import Granted, Refused
from fescuedock.core.permits.fair_shares import USE_RETENTION_MS, FairShares
from fescuedock.core.permits.holder import HeldGrant
from fescuedock.core.permits.priority import OVERDUE_MS, BoundedPreference
from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.refusals import RefusedWork, RetryTimes
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.platform.records import read_route_table
from fescuedock.schema.config import Objectives
from fescuedock.schema.permits import AttemptOutcome, BatchStage, PermitAsk, WorkClass
from tests.builders.permits import ask_for, end_of, new_queue

SLOTS = 4


class FullUpstream:
    """An upstream with ``SLOTS`` slots that become free one at a time."""

    def __init__(self, member: str = "first", work_class: WorkClass = WorkClass.ONLINE) -> None:
        self.queue: UpstreamQueue = new_queue(
            terms=UpstreamTerms(Objectives(online_weight=0.0), slots=SLOTS)
        )
        self.now_ms = 1.0
        self.running = [ask_for(work_class, member=member) for _ in range(SLOTS)]
        for ask in self.running:
            self.queue.submit(ask, 0.0)

    def wait(self, work_class: WorkClass = WorkClass.ONLINE, **changes: object) -> PermitAsk:
        """Queue a request that may wait for long and could not start on time at first."""
        fields = {"wait_ms": 60_000, "slack_ms": 60_000, "target_ms": 50_000, **changes}
        ask = ask_for(work_class, **fields)
        self.queue.submit(ask, self.now_ms)
        self.now_ms += 1.0
        return ask

    def next_granted(self) -> PermitAsk | None:
        """End the oldest run and return the request granted in its place."""
        self.now_ms += 1.0
        ended = end_of(self.running.pop(0), AttemptOutcome.COMPLETED)
        actions = self.queue.end(ended, self.now_ms)
        granted = [item.request for item in actions if isinstance(item, Granted)]
        self.running += granted
        return granted[0] if granted else None


class PriorityTest(unittest.TestCase):
    """More urgent work goes first, but less urgent work does not wait indefinitely."""

    def test_the_more_urgent_goes_first_within_each_class(self) -> None:
        for work_class in WorkClass:
            with self.subTest(work_class=work_class):
                full = FullUpstream(work_class=work_class)
                full.wait(work_class, priority=2)
                urgent = full.wait(work_class, priority=1)
                self.assertEqual(full.next_granted(), urgent)

    def test_the_more_urgent_goes_first_whichever_customer_used_more(self) -> None:
        """Uses two customers, as the order within one customer would hide a missing priority."""
        for work_class in WorkClass:
            with self.subTest(work_class=work_class):
                full = FullUpstream("big", work_class)
                full.wait(work_class, member="small", priority=1)
                urgent = full.wait(work_class, member="big", priority=0)
                self.assertEqual(full.next_granted(), urgent)

    def test_urgent_items_stay_behind_calls(self) -> None:
        full = FullUpstream()
        full.wait(WorkClass.BATCH, priority=0)
        call = full.wait(priority=5)
        self.assertEqual(full.next_granted(), call)

    def test_work_that_has_waited_too_long_gets_one_grant_in_eight(self) -> None:
        """Without the bound, less urgent work waited as long as more urgent work arrived."""
        full = FullUpstream()
        low = full.wait(priority=3, waited_ms=int(OVERDUE_MS))
        for _ in range(20):
            full.wait(priority=0)
        granted = [full.next_granted() for _ in range(9)]
        self.assertIn(low, granted)
        self.assertGreater(granted.index(low), 5)

    def test_work_of_one_priority_keeps_its_order_however_long_it_waits(self) -> None:
        """Guards against items of a low-priority route that were granted by wait, one in eight."""
        full = FullUpstream(work_class=WorkClass.BATCH)
        late = full.wait(
            WorkClass.BATCH, priority=2, waited_ms=int(OVERDUE_MS), stage=BatchStage.LATE
        )
        for _ in range(20):
            full.wait(WorkClass.BATCH, priority=2, stage=BatchStage.FRESH)
        self.assertNotIn(late, [full.next_granted() for _ in range(16)])

    def test_an_unused_preference_does_not_accumulate(self) -> None:
        preference = BoundedPreference(4)
        for _ in range(20):
            preference.record_grant(preferred=False)
        preference.record_grant(preferred=True)
        self.assertFalse(preference.is_due)

    def test_renewals_carry_the_priority(self) -> None:
        held = HeldGrant(ask_for(priority=3), 0.0, 1000.0).as_held(1.0)
        self.assertEqual(held.priority, 3)


class ConfiguredPriorityTest(unittest.TestCase):
    """The sources of a priority."""

    CONFIG = (
        b'{"version": 2, "routes": [{"name": "desk", "host": "desk.example", "prefix": "/",'
        b' "kind": "safe", "service": "s", "priority": 2}], "tenants": [{"name": "anna",'
        b' "apiKeys": ["k1"], "priority": 0}, {"name": "bo", "apiKeys": ["k2"]}]}'
    )

    def test_a_customers_priority_overrides_the_routes(self) -> None:
        table = read_route_table(self.CONFIG).unwrap()
        (route,) = table.routes
        self.assertEqual(table.priority_of(route, "anna"), 0)
        self.assertEqual(table.priority_of(route, "bo"), 2)
        self.assertEqual(table.priority_of(route, "nobody"), 2)

    def test_a_change_applies_to_calls_of_an_older_version(self) -> None:
        old = Route("desk", "desk.example", "/", RouteKind.SAFE, (("s", 1.0),))
        table = read_route_table(self.CONFIG).unwrap()
        self.assertEqual(table.priority_of(old, None), 2)
        customers = index_of([(Customer("bo", priority=4), ["digest"])])
        self.assertEqual(RouteTable(3, (old,), customers=customers).priority_of(old, "bo"), 4)

    def test_a_negative_priority_is_refused(self) -> None:
        self.assertTrue(read_route_table(self.CONFIG.replace(b": 2}]", b": -1}]")).is_err())
        self.assertTrue(read_route_table(self.CONFIG.replace(b": 0}", b": -1}")).is_err())


class FairSharesTest(unittest.TestCase):
    """Fair queueing of customers by the cost of their work."""

    def test_a_backlog_does_not_hold_up_another_customer(self) -> None:
        full = FullUpstream("big")
        for _ in range(10):
            full.wait(member="big")
        small = full.wait(member="small")
        self.assertEqual(full.next_granted(), small)

    def test_waiting_customers_are_served_round_robin(self) -> None:
        full = FullUpstream()
        for name in "aaaaaabbb":
            full.wait(member=name)
        names = "".join(full.next_granted().member for _ in range(9))
        self.assertEqual(sorted(names[:6]), list("aaabbb"))
        self.assertEqual(names[6:], "aaa")

    def test_endangered_work_goes_first_and_late_work_last(self) -> None:
        """Guards against fair queueing that made another customer's items late."""
        full = FullUpstream(work_class=WorkClass.BATCH)
        stages = {"a": (BatchStage.ENDANGERED,) * 2, "b": (BatchStage.LATE, BatchStage.FRESH)}
        for member, waiting in stages.items():
            for stage in waiting:
                full.wait(WorkClass.BATCH, member=member, stage=stage)
        granted = [full.next_granted().stage for _ in range(4)]
        expected = [BatchStage.ENDANGERED] * 2 + [BatchStage.FRESH, BatchStage.LATE]
        self.assertEqual(granted, expected)

    def test_work_that_costs_twice_as_much_gets_half_as_many_grants(self) -> None:
        full = FullUpstream()
        for _ in range(12):
            full.wait(member="long", prompt_tokens=32 * 256)
            full.wait(member="short", prompt_tokens=0)
        names = [full.next_granted().member for _ in range(9)]
        self.assertIn(names.count("short"), (6, 7))

    def test_use_of_spare_capacity_is_not_charged(self) -> None:
        full = FullUpstream("big")
        for _ in range(30):
            full.running.append(ask_for(member="big"))
            full.queue.end(end_of(full.running.pop(0), AttemptOutcome.COMPLETED), full.now_ms)
            full.queue.submit(full.running[-1], full.now_ms)
        full.wait(member="small")
        big = full.wait(member="big")
        full.wait(member="small")
        full.next_granted()
        self.assertEqual(full.next_granted(), big)

    def test_use_is_forgotten_in_seconds(self) -> None:
        shares = FairShares()
        for _ in range(100):
            shares.charge("big", 100.0, 1.0, 0.0)
        shares.charge("other", 1.0, 1.0, 0.0)
        shares.forget(USE_RETENTION_MS - 1, {}, has_waiting=True)
        self.assertEqual(len(shares), 2)
        shares.forget(USE_RETENTION_MS, {}, has_waiting=True)
        self.assertEqual(len(shares), 0)

    def test_no_state_is_retained_once_no_request_waits(self) -> None:
        shares = FairShares()
        shares.charge("big", 100.0, 1.0, 0.0)
        shares.forget(0.0, {"big": 1}, has_waiting=False)
        self.assertEqual(len(shares), 0)

    def test_a_customer_is_charged_the_actual_cost_of_its_work(self) -> None:
        shares = FairShares()
        shares.charge("a", 32.0, 1.0, 0.0)
        shares.correct("a", -30.0, 1.0, 1.0)
        self.assertEqual(shares.start("a"), 2.0)


class RefusalTest(unittest.TestCase):
    """Work that cannot be served in time is refused at once, with its own retry time."""

    def test_calls_that_cannot_be_on_time_are_refused_at_once_with_spread_retry_times(self) -> None:
        full = FullUpstream("big")
        refused: list[Refused] = []
        for _ in range(40):
            ask = ask_for(member="big", wait_ms=150, slack_ms=2000, target_ms=250)
            refused += full.queue.submit(ask, full.now_ms)
        self.assertGreater(len(refused), 10)
        times = [item.retry_after_ms for item in refused]
        self.assertGreater(len(set(times)), 0.8 * len(times))
        self.assertLess(max(times), 3000)

    def test_a_customer_below_its_share_is_not_refused_for_anothers_backlog(self) -> None:
        full = FullUpstream("big")
        for _ in range(40):
            full.queue.submit(ask_for(member="big", wait_ms=150, slack_ms=2000, target_ms=250), 1.0)
        ask = ask_for(member="small", wait_ms=150, slack_ms=2000, target_ms=250)
        refused = [item.request.member for item in full.queue.submit(ask, 1.0)]
        self.assertNotIn("small", refused)

    def test_retried_work_goes_before_new_work_every_other_time(self) -> None:
        full = FullUpstream()
        hopeless = {"wait_ms": 60_000, "slack_ms": 1, "target_ms": -1}
        for number in range(2):
            ask = ask_for(member="a", work_id=f"w{number}", **hopeless)
            (refused,) = full.queue.submit(ask, full.now_ms)
            self.assertIsInstance(refused, Refused)
        full.wait(member="z")
        for number in range(4):
            full.wait(member=f"m{number}", work_id=f"first-{number}")
        returned = [full.wait(member=f"a{number}", work_id=f"w{number}") for number in range(2)]
        granted = [full.next_granted() for _ in range(4)]
        self.assertEqual([granted.index(ask) for ask in returned], [1, 3])

    def test_retry_times_start_another_round_before_callers_stop_waiting(self) -> None:
        times = RetryTimes()
        promised = [times.assign_delay_ms(0.0, 100.0, 90.0) for _ in range(100)]
        self.assertGreaterEqual(min(promised), 100.0)
        self.assertLessEqual(max(promised), 2500.0)

    def test_refused_work_is_forgotten(self) -> None:
        refused = RefusedWork()
        for number in range(2000):
            refused.add(f"w{number}", 0.0)
        self.assertLess(len(refused), 1000)
        refused.forget(10_000.0)
        self.assertEqual(len(refused), 0)


if __name__ == "__main__":
    unittest.main()
