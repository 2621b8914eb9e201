"""Contents of a node's permit requests: what they report to owners about their items."""

import random
import unittest
from collections import Counter

import trio
from result import Err
from trio.testing import MockClock

from fescuedock.agent.link import FleetView
from fescuedock.core.permits.holder import HeldGrant
from fescuedock.core.stored_jobs.job import ItemEnd, StoredJob
from fescuedock.core.stored_jobs.pool import ItemPool
from fescuedock.faults import Fault
from fescuedock.node.item_permits import ItemPermitRequester
from fescuedock.schema.permits import BatchStage, PermitAsk, WorkClass
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import NodeSettings
from tests.builders.forwarding import job_record, stored_item
from tests.builders.permits import SERVICE, ask_for, upstream_record

SETTINGS = NodeSettings("0.0.0.0:1", "0.0.0.0:1", "0.0.0.0:1", "0.0.0.0:1")


class RefusingPermits:
    """Refuses every permit request and records it."""

    holder_id = "h1"

    def __init__(self) -> None:
        self.loads: dict = {}
        self.requests: list[PermitAsk] = []

    async def request(self, request: PermitAsk, _timeout_ms: float) -> Err[Fault]:
        self.requests.append(request)
        return Err(Fault(ResultCode.NO_CAPACITY, "full", 5000))


class ItemPermitRequestTest(unittest.TestCase):
    def requests_for(self, *jobs: StoredJob) -> list[PermitAsk]:
        """Return the permit requests sent to an upstream while items of ``jobs`` wait."""
        pool = ItemPool(lambda: jobs, lambda _record, _service: True)
        permits = RefusingPermits()
        view = FleetView("vm1")
        asker = ItemPermitRequester(
            SETTINGS,
            view,
            permits,
            random.Random(1),
            lambda: Counter(pool.waiting([SERVICE], 0.0)),
            lambda _upstream, position: pool.choose("u1", SERVICE, 0.0, position),
            lambda _upstream_id, _grant: None,
            lambda _upstream: pool.choose_overdue("u1", SERVICE, 0.0),
            lambda: pool.any_overdue(0.0),
        )

        async def run() -> None:
            view.replace(1, [], [upstream_record()], 0.0)
            with trio.move_on_after(1.0):
                await asker.run(lambda: 0.1)

        trio.run(run, clock=MockClock(autojump_threshold=0))
        return permits.requests

    def job(self, name: str, due_ms: float) -> StoredJob:
        return StoredJob(job_record(name), [stored_item(name)], [], due_ms, 60_000.0)

    def test_a_request_reports_the_runs_of_the_item_without_output(self) -> None:
        job = self.job("a", 60_000.0)
        [run] = job.ready_items(0.0)
        for at_ms in (-9000.0, -8000.0, -7000.0):
            run.start(at_ms)
            job.finish(run, ItemEnd.INTERRUPTED, "u1", 3, at_ms)
        [request] = self.requests_for(job)
        self.assertEqual(request.barren_runs, 3)

    def test_an_overdue_item_is_requested_along_with_items_that_can_be_on_time(self) -> None:
        """Guards against late items for which no owner ever received a request."""
        jobs = [self.job(f"fresh-{number}", 60_000.0) for number in range(9)]
        requests = self.requests_for(*jobs, self.job("late", -9000.0))
        self.assertEqual(
            sorted(request.stage for request in requests),
            sorted((BatchStage.FRESH, BatchStage.LATE)),
        )

    def test_a_renewal_reports_the_runs_without_output(self) -> None:
        held = HeldGrant(ask_for(WorkClass.BATCH, barren_runs=2), 0.0, 1000.0)
        self.assertEqual(held.as_held(10.0).barren_runs, 2)


if __name__ == "__main__":
    unittest.main()
