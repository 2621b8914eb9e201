"""Isolated runs of batch items: which upstream they get, and when it is their turn."""

import random
import unittest
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from itertools import pairwise
from types import SimpleNamespace

import trio
import trio.testing
from result import Result

from fescuedock.batch.dispatch import Dispatcher
from fescuedock.clock import now_ms
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.core.quarantine import Quarantine
from fescuedock.core.rendezvous import rank_names
from fescuedock.node.item_isolation import IsolatedItem, IsolatedRuns
from fescuedock.schema.permits import PermitAsk
from fescuedock.schema.view import UpstreamRecord
from tests.builders.isolated_runs import (
    SERVICE,
    IsolationFleet,
    SimulatedGrant,
    SimulatedPermits,
)

# The rule for batch jobs allows this long for what is left at the end.
_LISTED_WITHIN_S = 18.0
_RUN_S = 1.0
# Time at which the item begins to wait.
_BEGIN_S = 20.0
# Comes after ``SERVICE`` in the order of names.
_OTHER_SERVICE = "other-llm"


def run_one_item(
    disturb: Callable[[IsolationFleet, trio.Nursery], None], *, other_service_waits: bool = False
) -> tuple[float, str]:
    """Return how long one item waited for an isolated run in seconds, and its upstream.

    With ``other_service_waits`` its service is another one than ``SERVICE``, where an item waits.
    """
    started: list[tuple[float, str]] = []
    service = _OTHER_SERVICE if other_service_waits else SERVICE

    async def test() -> None:
        has_started = trio.Event()
        fleet = IsolationFleet(SERVICE, service)
        permits = SimulatedPermits(fleet)

        def use_grant(upstream: UpstreamRecord, grant: SimulatedGrant) -> None:
            permits.return_unused(grant)
            if upstream.service == service:
                started.append((trio.current_time() - since_s, upstream.upstream_id))
                has_started.set()

        def next_item(wanted: str) -> IsolatedItem | None:
            return IsolatedItem() if wanted == service or other_service_waits else None

        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run)
            disturb(fleet, nursery)
            await trio.sleep(_BEGIN_S)
            since_s = trio.current_time()
            runs = IsolatedRuns(fleet.view, permits, next_item, use_grant)
            nursery.start_soon(runs.run)
            with trio.move_on_after(60.0):
                await has_started.wait()
            nursery.cancel_scope.cancel()

    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))
    return started[0] if started else (float("inf"), "")


def wait_for_job_with_files(disturb: Callable[[IsolationFleet, trio.Nursery], None]) -> float:
    """Return how long an item of a job with files waited for an isolated run in seconds."""
    waits_s: list[float] = []

    async def test() -> None:
        fleet = IsolationFleet(SERVICE)
        context = SimpleNamespace(
            view=fleet.view, permits=SimulatedPermits(fleet), random=random.Random(1)
        )
        run = SimpleNamespace(job_id="j", record=SimpleNamespace(member=""))
        item = SimpleNamespace(number=0, deaths=2)
        assignment = SimpleNamespace(service=SERVICE, item=item, run=run)
        work = SimpleNamespace(work_id="w", parts=())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run)
            disturb(fleet, nursery)
            await trio.sleep(_BEGIN_S)
            since_s = trio.current_time()
            with trio.move_on_after(120.0):
                await Dispatcher(context, lambda _job_id: None)._acquire_isolated(assignment, work)
                waits_s.append(trio.current_time() - since_s)
            nursery.cancel_scope.cancel()

    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))
    return waits_s[0] if waits_s else float("inf")


def first_choice(fleet: IsolationFleet) -> str:
    return rank_names(SERVICE, [name for name in fleet.owners if name.startswith(SERVICE)])[0]


class UpstreamChoiceTest(unittest.TestCase):
    """The upstream that all nodes choose first takes no work, and others do."""

    def test_an_item_runs_though_the_first_choice_is_drained(self) -> None:
        def drain(fleet: IsolationFleet, _nursery: trio.Nursery) -> None:
            queue = fleet.owners[first_choice(fleet)].queue
            queue.set_terms(UpstreamTerms(slots=4, admitting=False), now_ms())

        self.assertLess(run_one_item(drain)[0], _LISTED_WITHIN_S)

    def test_an_item_runs_though_the_first_choice_is_unhealthy(self) -> None:
        def fail(fleet: IsolationFleet, _nursery: trio.Nursery) -> None:
            fleet.owners[first_choice(fleet)].queue.set_healthy(False, now_ms())

        self.assertLess(run_one_item(fail)[0], _LISTED_WITHIN_S)

    def test_an_item_runs_though_the_owner_of_the_first_choice_is_silent(self) -> None:
        def silence(fleet: IsolationFleet, _nursery: trio.Nursery) -> None:
            fleet.owners[first_choice(fleet)].silent = True

        self.assertLess(run_one_item(silence)[0], _LISTED_WITHIN_S)

    def test_the_first_choice_is_used_while_it_takes_work(self) -> None:
        expected: list[str] = []
        _, upstream_id = run_one_item(lambda fleet, _nursery: expected.append(first_choice(fleet)))
        self.assertEqual([upstream_id], expected)

    def test_an_item_of_a_job_with_files_gets_a_permit_though_the_first_choice_is_drained(
        self,
    ) -> None:
        def drain(fleet: IsolationFleet, _nursery: trio.Nursery) -> None:
            queue = fleet.owners[first_choice(fleet)].queue
            queue.set_terms(UpstreamTerms(admitting=False), now_ms())

        self.assertLess(wait_for_job_with_files(drain), _LISTED_WITHIN_S)


class TurnTest(unittest.TestCase):
    """Other work never leaves the upstream that all nodes choose."""

    def test_an_item_gets_its_turn_beside_suspected_calls_that_never_stop(self) -> None:
        def call(fleet: IsolationFleet, nursery: trio.Nursery) -> None:
            for number in range(2):
                nursery.start_soon(
                    partial(
                        fleet.call_forever,
                        f"caller-{number}",
                        first_choice(fleet),
                        _RUN_S,
                        isolated=True,
                    )
                )

        self.assertLess(run_one_item(call)[0], _LISTED_WITHIN_S)

    def test_an_item_gets_an_upstream_whose_calls_take_longer_than_its_request_waits(self) -> None:
        def call(fleet: IsolationFleet, nursery: trio.Nursery) -> None:
            for number in range(8):
                nursery.start_soon(
                    fleet.call_forever, f"caller-{number}", first_choice(fleet), 16.0, 2.0 * number
                )

        self.assertLess(run_one_item(call)[0], _LISTED_WITHIN_S)

    def test_an_item_of_a_job_with_files_gets_an_upstream_with_such_calls(self) -> None:
        def call(fleet: IsolationFleet, nursery: trio.Nursery) -> None:
            for number in range(8):
                nursery.start_soon(
                    fleet.call_forever, f"caller-{number}", first_choice(fleet), 40.0, 5.0 * number
                )

        # No longer than the longest call.
        self.assertLess(wait_for_job_with_files(call), 42.0)

    def test_an_item_does_not_wait_for_the_upstreams_of_other_services(self) -> None:
        def call(fleet: IsolationFleet, nursery: trio.Nursery) -> None:
            nursery.start_soon(fleet.call_forever, "caller", first_choice(fleet), 60.0)

        self.assertLess(run_one_item(call, other_service_waits=True)[0], 2.0)

    def test_each_node_gets_its_turn_while_items_wait_at_all_nodes(self) -> None:
        nodes, run_s = 7, 3.0
        started: defaultdict[str, list[float]] = defaultdict(list)

        async def test() -> None:
            fleet = IsolationFleet(SERVICE)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.run)
                for number in range(nodes):
                    name = f"node-{number}"
                    permits = SimulatedPermits(fleet, name)

                    async def hold(permits: SimulatedPermits, grant: SimulatedGrant) -> None:
                        started[permits.holder_id].append(trio.current_time())
                        await trio.sleep(run_s)
                        permits.return_unused(grant)

                    def use_grant(
                        _upstream: UpstreamRecord,
                        grant: SimulatedGrant,
                        permits: SimulatedPermits = permits,
                    ) -> None:
                        nursery.start_soon(hold, permits, grant)

                    runs = IsolatedRuns(
                        fleet.view, permits, lambda _service: IsolatedItem(), use_grant
                    )
                    nursery.start_soon(runs.run)
                await trio.sleep(_LISTED_WITHIN_S * 10)
                nursery.cancel_scope.cancel()

        trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(len(started), nodes)
        for times in started.values():
            gaps_s = [later - earlier for earlier, later in pairwise(times)]
            self.assertLess(max(gaps_s), nodes * run_s + 2.0)

    def test_a_wait_ends_once_nothing_is_suspected_any_more(self) -> None:
        waited_ms: list[int] = []

        class RecordingPermits(SimulatedPermits):
            async def request(self, ask: PermitAsk, *args: object) -> Result:
                waited_ms.append(ask.waited_ms)
                return await super().request(ask, *args)

        async def test() -> None:
            fleet = IsolationFleet(SERVICE)
            suspected, fleet.view.quarantine = fleet.view.quarantine, Quarantine()
            permits = RecordingPermits(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.run)
                nursery.start_soon(fleet.call_forever, "caller", first_choice(fleet), 60.0)
                runs = IsolatedRuns(
                    fleet.view,
                    permits,
                    lambda _service: IsolatedItem(),
                    lambda _upstream, grant: permits.return_unused(grant),
                )
                nursery.start_soon(runs.run)
                for quarantine in (suspected, Quarantine(), suspected):
                    await trio.sleep(15.0)
                    fleet.view.quarantine = quarantine
                    fleet.view.notify_quarantine_changed()
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()

        trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(waited_ms, [0, waited_ms[1], 0])
        self.assertGreater(waited_ms[1], 0)


if __name__ == "__main__":
    unittest.main()
