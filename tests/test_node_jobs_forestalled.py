"""A job that is ended before its write has reached the store."""

import unittest

import trio

from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.node.job_store import JobStore
from fescuedock.schema.result_codes import ResultCode
from fescuedock.standin.kv_faults import LostAnswer
from tests.builders.forwarding import job_record
from tests.builders.jobs_calls import JOB, submit
from tests.builders.metadata_store import open_store, running_store
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.standins import run_async

LATE_S = 1.5
KEYS = JobKeys("p/")


class EndBeforeAcceptanceTest(unittest.TestCase):
    """A client disconnected before its submission was answered, and ended the job at another node.

    The store executed the submission's write a second later.  No node had retained the end, so the
    entire job ran.
    """

    def test_a_job_that_was_ended_does_not_run_though_it_is_stored_later(self) -> None:
        ran: list[int] = []
        answers: list[int] = []

        async def test(fleet: NodeFleet) -> None:
            first, other = fleet.nodes
            fleet.store.faults.late_effect_ms = LATE_S * 1000
            for nth in range(1, 4):
                fleet.store.faults.lose_answer(LostAnswer.LATE_EFFECT, nth)
            with trio.move_on_after(0.09):
                await submit(fleet, first.front, "a", "b", "c")
            # No further answers are lost, so that the end meets a store without faults.
            fleet.store.faults.stop_losing_answers()
            answer = await fleet.call(other.front, "DELETE", f"/api/lots/{JOB}")
            answers.append(answer.status)
            await trio.sleep(LATE_S + 2.0)
            ran.append(sum(upstream.runs.total() for upstream in fleet.upstreams))

        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(nodes=2) as fleet:
                    await test(fleet)

        run_async(run)
        self.assertIn(answers[0], (200, 404))
        self.assertEqual(ran[0], 0)

    def test_a_write_from_before_the_end_fails_and_a_later_submission_succeeds(self) -> None:
        async def test() -> None:
            async with running_store() as service, open_store(service) as kv:
                store = JobStore(kv, KEYS, 100_000)
                job = job_record()
                self.assertTrue(await store.mark_ended(job.job_id))
                refused = await store.accept(job, [], after_end=False)
                self.assertIs(refused.err_value.code, ResultCode.KV_UNAVAILABLE)
                self.assertIsNone(service.state.get(KEYS.record(job.job_id)))
                stored = await store.accept(job, [])
                self.assertFalse(stored.ok_value.record.ended)
                self.assertFalse(await store.mark_ended(job.job_id))

        run_async(test)


if __name__ == "__main__":
    unittest.main()
