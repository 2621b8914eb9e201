"""What an owner of a job says to readers, and when it does not vouch that there is no more."""

import unittest
from types import SimpleNamespace

import eliot
from result import Err

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.stored_jobs.cache import JobCache
from fescuedock.core.stored_jobs.ownership import VOUCH_AGE_MS, OwnerIdentity
from fescuedock.faults import Fault
from fescuedock.node.owner_reads import OwnerReads
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import ReadResultsReply, ResultGroup, StoredResult
from tests.builders.forwarding import job_record
from tests.builders.standins import run_async

PREFIX = "live/"
RECORD = job_record(total=3, owner_id="n-1", owner_boot=1)


class OwnerReadsTest(unittest.TestCase):
    def ask(self, listed: int | None, cached: int, known: int = 0, age_ms: float = 0.0):
        """Ask an owner that has ``listed`` results and ``cached`` of them in its cache."""
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

    def test_the_owner_tells_what_it_has_and_that_there_is_no_more(self) -> None:
        reply = self.ask(listed=2, cached=2, known=1)
        self.assertEqual([result.item_id for result in reply.group.results], ["1"])
        self.assertTrue(reply.current)

    def test_an_owner_that_is_silent_is_logged_and_says_nothing(self) -> None:
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

    def test_a_cache_that_forgot_results_vouches_for_nothing(self) -> None:
        reply = self.ask(listed=2, cached=0)
        self.assertEqual((reply.group.results, reply.current), ([], False))

    def test_old_knowledge_of_the_records_vouches_for_nothing(self) -> None:
        reply = self.ask(listed=2, cached=2, age_ms=VOUCH_AGE_MS + 1)
        self.assertEqual((len(reply.group.results), reply.current), (2, False))

    def test_a_job_that_runs_here_no_more_is_vouched_for_only_when_it_is_complete(self) -> None:
        self.assertFalse(self.ask(listed=None, cached=2).current)
        self.assertTrue(self.ask(listed=None, cached=3).current)


if __name__ == "__main__":
    unittest.main()
