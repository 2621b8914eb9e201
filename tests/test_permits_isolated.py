"""Permits for isolated runs: the upstream is drained first, and no other run starts meanwhile."""

import unittest

from fescuedock.core.permits.actions import Granted, Refused, Revoked
from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.schema.permits import (
    AttemptOutcome,
    EndedPermit,
    HeldPermit,
    PermitAsk,
    WorkClass,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import PermitSettings

SLOTS = 4
VALID_MS = 2000
WAIT_MS = 1000


class IsolatedRunTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = UpstreamQueue(
            "u", PermitSettings(), UpstreamTerms(slots=SLOTS), VALID_MS, 0.0, 0.0
        )

    def ask(self, name: str, *, alone: bool = False, batch: bool = False, now_ms: float = 0.0):
        work_class = WorkClass.BATCH if batch else WorkClass.ONLINE
        ask = PermitAsk("u", name, "h", "s", "", work_class, 5000, wait_ms=WAIT_MS, alone=alone)
        return self.queue.submit(ask, now_ms)

    def end(self, name: str, now_ms: float = 0.0):
        ended = EndedPermit(name, "u", AttemptOutcome.COMPLETED, WorkClass.ONLINE)
        return self.queue.end(ended, now_ms)

    def granted(self, actions) -> list[str]:
        return [item.request.attempt_id for item in actions if isinstance(item, Granted)]

    def test_an_empty_upstream_is_granted_at_once_and_excludes_others(self) -> None:
        self.assertEqual(self.granted(self.ask("isolated", alone=True)), ["isolated"])
        self.assertEqual(self.ask("other"), [])
        self.assertEqual(self.ask("item", batch=True), [])
        self.assertEqual(self.queue.load(0.0).limit, 0)
        self.assertEqual(self.granted(self.end("isolated")), ["other", "item"])
        self.assertEqual(self.queue.load(0.0).limit, SLOTS)

    def test_it_waits_for_online_work_to_end_and_revokes_batch_work(self) -> None:
        self.assertEqual(self.granted(self.ask("call")), ["call"])
        self.assertEqual(self.granted(self.ask("item", batch=True)), ["item"])
        actions = self.ask("isolated", alone=True)
        self.assertEqual([item.permit_id for item in actions], ["item"])
        self.assertIsInstance(actions[0], Revoked)
        self.assertEqual(self.ask("late call"), [])
        self.assertEqual(self.end("item"), [])
        self.assertEqual(self.granted(self.end("call")), ["isolated"])

    def test_two_isolated_runs_are_granted_one_after_the_other(self) -> None:
        self.assertEqual(self.granted(self.ask("one", alone=True)), ["one"])
        self.assertEqual(self.ask("two", alone=True), [])
        self.assertEqual(self.granted(self.end("one")), ["two"])

    def test_a_batch_item_gets_one_in_four_isolated_runs_before_calls(self) -> None:
        order = self.granted(self.ask("call-0", alone=True))
        for number in range(1, 8):
            self.ask(f"call-{number}", alone=True)
        self.ask("item-0", alone=True, batch=True)
        self.ask("item-1", alone=True, batch=True)
        for _ in range(7):
            order += self.granted(self.end(order[-1]))
        calls = [f"call-{number}" for number in range(6)]
        self.assertEqual(order, [*calls[:3], "item-0", *calls[3:], "item-1"])

    def test_one_that_waits_too_long_is_refused_and_other_work_continues(self) -> None:
        self.ask("call")
        self.ask("isolated", alone=True)
        self.ask("other", now_ms=100.0)
        actions = self.queue.tick(WAIT_MS)
        self.assertIn(
            ResultCode.NO_CAPACITY, [item.code for item in actions if isinstance(item, Refused)]
        )
        actions += self.queue.tick(WAIT_MS + 1)
        self.assertEqual(self.granted(actions), ["other"])

    def test_the_upstream_stays_reserved_until_a_node_can_repeat_the_request_of_an_item(
        self,
    ) -> None:
        self.ask("call")
        self.ask("isolated", alone=True, batch=True)
        self.ask("other", now_ms=WAIT_MS - 1)
        self.assertEqual(self.granted(self.queue.tick(WAIT_MS)), [])
        self.assertEqual(self.granted(self.queue.tick(WAIT_MS + 400)), [])
        self.assertEqual(self.granted(self.queue.tick(WAIT_MS + 600)), ["other"])

    def test_other_waiting_requests_are_refused_at_their_own_timeout(self) -> None:
        self.ask("isolated", alone=True)
        self.ask("other")
        [refused] = self.queue.tick(WAIT_MS)
        self.assertEqual(
            (refused.request.attempt_id, refused.code), ("other", ResultCode.NO_CAPACITY)
        )

    def test_a_new_owner_waits_until_running_attempts_are_reported(self) -> None:
        queue = UpstreamQueue(
            "u", PermitSettings(), UpstreamTerms(slots=SLOTS), VALID_MS, 500.0, 0.0
        )
        ask = PermitAsk(
            "u", "isolated", "h", "s", "", WorkClass.ONLINE, 5000, wait_ms=2000, alone=True
        )
        self.assertEqual(queue.submit(ask, 0.0), [])
        held = HeldPermit("call", "u", "call", "s", "", WorkClass.ONLINE)
        queue.renew("h2", held, 400.0)
        self.assertEqual(queue.tick(600.0), [])

    def test_a_new_owner_adopts_an_isolated_run_from_its_renewal(self) -> None:
        held = HeldPermit("isolated", "u", "isolated", "s", "", WorkClass.ONLINE, alone=True)
        self.queue.renew("h2", held, 0.0)
        self.assertEqual(self.ask("other"), [])


if __name__ == "__main__":
    unittest.main()
