"""Isolated runs of batch items: which upstream they get, and when it is their turn."""

import random
import unittest
from collections.abc import Callable
from types import SimpleNamespace

import trio
import trio.testing

from fescuedock.batch.dispatch import Dispatcher
from fescuedock.clock import now_ms
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.core.rendezvous import rank_names
from fescuedock.node.item_isolation import IsolatedItem, IsolatedRuns
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


def run_one_item(
    disturb: Callable[[IsolationFleet, trio.Nursery], None], service: str = SERVICE
) -> tuple[float, str]:
    """Return when one item that waits for an isolated run started, and the upstream."""
    started: list[tuple[float, str]] = []

    async def test() -> None:
        has_started = trio.Event()
        services = tuple(sorted({SERVICE, service}))
        fleet = IsolationFleet(services)
        permits = SimulatedPermits(fleet)

        def use_grant(upstream: UpstreamRecord, grant: SimulatedGrant) -> None:
            started.append((now_ms() / 1000, upstream.upstream_id))
            has_started.set()
            permits.return_unused(grant)

        def next_item(wanted: str) -> IsolatedItem | None:
            return IsolatedItem() if wanted == service and not started else None

        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run)
            disturb(fleet, nursery)
            await trio.sleep(1.0)
            runs = IsolatedRuns(fleet.view, permits, next_item, use_grant)
            nursery.start_soon(runs.run)
            with trio.move_on_after(60.0):
                await has_started.wait()
            nursery.cancel_scope.cancel()

    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))
    return started[0] if started else (float("inf"), "")


def first_choice(fleet: IsolationFleet) -> str:
    return rank_names(SERVICE, fleet.owners)[0]


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
        granted: list[tuple[UpstreamRecord, SimulatedGrant]] = []

        async def test() -> None:
            fleet = IsolationFleet()
            fleet.owners[first_choice(fleet)].queue.set_terms(
                UpstreamTerms(admitting=False), now_ms()
            )
            context = SimpleNamespace(
                view=fleet.view, permits=SimulatedPermits(fleet), random=random.Random(1)
            )
            item = SimpleNamespace(number=0, deaths=2)
            run = SimpleNamespace(job_id="j", record=SimpleNamespace(member=""))
            assignment = SimpleNamespace(service=SERVICE, item=item, run=run)
            work = SimpleNamespace(work_id="w", parts=())
            with trio.move_on_after(_LISTED_WITHIN_S):
                dispatcher = Dispatcher(context, lambda _job_id: None)
                granted.append(await dispatcher._acquire_isolated(assignment, work))

        trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(len(granted), 1)


if __name__ == "__main__":
    unittest.main()
