"""Resends of a call at one entry while its claim is pending: only one of them may send it."""

import random
import unittest
from types import SimpleNamespace

import trio
import trio.testing
from result import Ok, Result

from fescuedock.clock import now_ms
from fescuedock.core.claims import Claim
from fescuedock.entry.claiming import ClaimManager
from fescuedock.entry.service_call import ServiceCall
from fescuedock.faults import Fault
from fescuedock.schema.claims import RecordedAnswer
from fescuedock.schema.config import ServiceKind, ServiceSpec
from fescuedock.schema.result_codes import ResultCode
from tests.builders.kv import MemoryKv

_REPLY_DELAY_S = 0.5


class LateReplyKv(MemoryKv):
    """Replies to the first write half a second after it took effect."""

    def __init__(self) -> None:
        super().__init__()
        self._writes = 0

    async def put_if(self, *arguments: object, **options: object) -> Result[int, Fault]:
        self._writes += 1
        is_first = self._writes == 1
        written = await super().put_if(*arguments, **options)
        if is_first:
            await trio.sleep(_REPLY_DELAY_S)
        return written


def service_call(left_ms: float = 3000.0) -> ServiceCall:
    """Return a call that may run once, with ``left_ms`` until its deadline."""
    return ServiceCall(
        request_id="r-1",
        service="bookings",
        spec=ServiceSpec(ServiceKind.PLAIN),
        member="manizales",
        method="POST",
        target="/bookings",
        headers=[],
        body=b"{}",
        deadline_ms=now_ms() + left_ms,
        repeatable=False,
        idempotency_key="k",
    )


class PendingClaimTest(unittest.TestCase):
    def resend(self, first_left_ms: float) -> list[Result[Claim | RecordedAnswer, Fault]]:
        """Return the results of a call and of its resend 0.2 s later."""
        results: dict[int, Result] = {}

        async def run() -> None:
            platform = SimpleNamespace(key_prefix="/p/")
            context = SimpleNamespace(
                kv=LateReplyKv(),
                settings=SimpleNamespace(platform=platform),
                unix_clock=lambda: 1_000_000,
            )
            claims = ClaimManager(context, random.Random(1))

            async def claim(number: int, left_ms: float) -> None:
                results[number] = await claims.claim_call(service_call(left_ms))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(claim, 0, first_left_ms)
                await trio.sleep(0.2)
                nursery.start_soon(claim, 1, 3000.0)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return [results[0], results[1]]

    def test_a_pending_claim_is_not_taken_over(self) -> None:
        first, second = self.resend(3000.0)
        self.assertIsInstance(first, Ok)
        self.assertIs(second.err_value.code, ResultCode.ALREADY_CLAIMED)

    def test_a_claim_abandoned_before_sending_is_taken_over(self) -> None:
        first, second = self.resend(100.0)
        self.assertIs(first.err_value.code, ResultCode.CLAIM_UNAVAILABLE)
        self.assertIsInstance(second, Ok)


if __name__ == "__main__":
    unittest.main()
