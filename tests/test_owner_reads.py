"""Replies of a job's owner to readers, and when it does not confirm that they are current."""

import unittest
from types import SimpleNamespace

import eliot
from result import Err

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.stored_jobs.cache import JobCache
from fescuedock.core.stored_jobs.ownership import MAX_CONFIRM_AGE_MS, OwnerIdentity
from fescuedock.faults import Fault
from fescuedock.node.owner_reads import OwnerReads
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import ReadResultsReply, ResultGroup, StoredResult
from tests.builders.forwarding import job_record
from tests.builders.standins import run_async

PREFIX = "live/"
RECORD = job_record(total=3, owner_id="n-1", owner_boot=1)


class OwnerReadsTest(unittest.TestCase):
    def read(self, listed: int | None, cached: int, known: int = 0, age_ms: float = 0.0):
        """Read from an owner that has listed ``listed`` results and cached ``cached`` of them."""
        replies: list[ReadResultsReply] = []

        async def run() -> None:
            cache = JobCache(1000)
            results = [StoredResult(str(number), True, "x") for number in range(cached)]
            cache.open(RECORD).add(ResultGroup(0, results))
            table = ReplicaTable(PREFIX, confirmed_ms=now_ms() - age_ms)
            reads = OwnerReads(
                cache,
                SimpleNamespace(update_age_ms=lambda _prefix: table.age_ms(now_ms())),
                PREFIX,
                OwnerIdentity("n-1", 1),
                call_neighbour=None,
                address_of=lambda _vm_id: None,
                listed_count=lambda _job_id: listed,
            )
            replies.append(await reads.read(RECORD, known))

        run_async(run)
        return replies[0]

    def test_the_owner_returns_its_results_and_confirms_that_they_are_current(self) -> None:
        reply = self.read(listed=2, cached=2, known=1)
        self.assertEqual([result.item_id for result in reply.group.results], ["1"])
        self.assertTrue(reply.current)

    def test_a_silent_owner_is_logged_and_gives_no_reply(self) -> None:
        lines: list[dict] = []
        replies: list[ReadResultsReply | None] = []

        async def silent(*_args: object) -> Err:
            return Err(Fault(ResultCode.PEER_UNKNOWN, "no answer"))

        async def run() -> None:
            reads = OwnerReads(
                JobCache(1000),
                SimpleNamespace(tables={}),
                PREFIX,
                OwnerIdentity("n-2", 1),
                call_neighbour=silent,
                address_of=lambda _vm_id: Address("127.0.0.1", 1),
                listed_count=lambda _job_id: None,
            )
            replies.append(await reads.read(RECORD, 0))

        eliot.add_destinations(lines.append)
        try:
            run_async(run)
        finally:
            eliot.remove_destination(lines.append)
        self.assertEqual(replies, [None])
        [line] = [line for line in lines if line["message_type"] == "job_owner_silent"]
        self.assertEqual((line["owner"], line["reason"]), ("n-1", "no answer"))

    def test_an_owner_with_evicted_results_confirms_nothing(self) -> None:
        reply = self.read(listed=2, cached=0)
        self.assertEqual((reply.group.results, reply.current), ([], False))

    def test_an_owner_with_old_records_confirms_nothing(self) -> None:
        reply = self.read(listed=2, cached=2, age_ms=MAX_CONFIRM_AGE_MS + 1)
        self.assertEqual((len(reply.group.results), reply.current), (2, False))

    def test_a_job_that_no_longer_runs_here_is_confirmed_only_when_complete(self) -> None:
        self.assertFalse(self.read(listed=None, cached=2).current)
        self.assertTrue(self.read(listed=None, cached=3).current)


if __name__ == "__main__":
    unittest.main()
