"""Jobs accepted through neighbours at a node that has lost its path to the store."""

import random
import types
import unittest

import trio
import trio.testing
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.faults import Fault
from fescuedock.node.job_acceptance import JobAcceptance
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import AcceptJobReply, StoredJobRecord

NEIGHBOURS = [Address(f"127.0.0.{number}", 7) for number in range(1, 4)]
RECORD = StoredJobRecord("job", "desk.example", "/letters/new", 0, 18_000, 60_000, 1)


class JobAcceptanceTest(unittest.TestCase):
    def accept(self, answers: list[tuple[float, ResultCode]]) -> tuple[Result[None, Fault], float]:
        """Accept a job while the store and spools are silent; return the result and the time.

        The neighbours, in the order of their calls, answer after seconds with a code.
        """
        called: list[Address] = []

        async def never(*_arguments: object, **_options: object) -> None:
            await trio.sleep_forever()

        async def call_neighbour(address: Address, _message, _timeout_ms: float):
            called.append(address)
            delay_s, code = answers[len(called) - 1]
            await trio.sleep(delay_s)
            return Ok(AcceptJobReply(code))

        available = types.SimpleNamespace(is_unavailable=lambda _now_ms: False)
        acceptance = JobAcceptance(
            store=types.SimpleNamespace(accept=never),
            replicas=types.SimpleNamespace(kv_availability=available),
            owner=None,
            call_neighbour=call_neighbour,
            neighbours=lambda: NEIGHBOURS,
            on_accepted=lambda *_accepted: None,
            rng=random.Random(1),
            spools=types.SimpleNamespace(store_copies=never),
            is_leaving=lambda: False,
        )

        async def run() -> tuple[Result[None, Fault], float]:
            return await acceptance.accept(RECORD, [], 1000.0), trio.current_time()

        return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_neighbour_without_a_path_to_the_store_does_not_delay_a_job(self) -> None:
        """Guards against answers later than the usual latency target of 400 ms."""
        for silent in (1, 2):
            answers = [(0.5, ResultCode.KV_UNAVAILABLE)] * silent + [(0.02, ResultCode.OK)]
            result, took_s = self.accept(answers)
            self.assertEqual(result, Ok(None))
            self.assertLess(took_s, 0.4)

    def test_a_job_may_be_stored_while_any_neighbour_has_not_answered(self) -> None:
        answers = [(0.3, ResultCode.KV_UNAVAILABLE), (5.0, ResultCode.OK)]
        result, _ = self.accept([*answers, (0.1, ResultCode.KV_UNAVAILABLE)])
        self.assertIsInstance(result, Err)
        self.assertEqual(result.err_value.code, ResultCode.EXECUTION_UNKNOWN)

    def test_a_neighbour_that_knows_other_items_of_the_job_ends_the_attempt(self) -> None:
        result, took_s = self.accept([(0.5, ResultCode.OK), (0.05, ResultCode.KEY_REUSED)])
        self.assertEqual(result.err_value.code, ResultCode.KEY_REUSED)
        self.assertLess(took_s, 0.4)


if __name__ == "__main__":
    unittest.main()
