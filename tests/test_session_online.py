"""Whole sessions: online requests through entry, permit, engine and back."""

import unittest

from fescuedock.cli.local import LocalSystem
from fescuedock.cli.local_setup import CHAT_MODEL, TRIP_MODEL
from tests.builders.golden import GoldenSession, check_golden
from tests.builders.local import run_session

QUESTION = [{"role": "user", "content": "May I apply without an address?"}]


class OnlineSessionTest(unittest.TestCase):
    def test_sessions_of_online_requests(self) -> None:
        async def sessions(system: LocalSystem) -> None:
            check_golden(self, "online", await models_and_completions(system))
            check_golden(self, "refusals", await refusals(system))
            check_golden(self, "plain_service", await bookings(system))
            executions = system.standins.plain["booking-1"].executions
            self.assertEqual(executions.total(), 2, "one read and one booking")

        run_session(sessions)


async def models_and_completions(system: LocalSystem) -> list[dict]:
    golden = GoldenSession(system)
    chat = {"model": CHAT_MODEL, "messages": QUESTION, "max_tokens": 5}
    text = {"model": TRIP_MODEL, "prompt": "Dear parents", "max_tokens": 4}
    await golden.send("models", "GET", "/v1/models")
    await golden.send("chat", "POST", "/v1/chat/completions", chat)
    streamed = {**chat, "stream": True}
    await golden.send("chat, streamed", "POST", "/v1/chat/completions", streamed)
    await golden.send("text", "POST", "/v1/completions", text)
    streamed = {**text, "stream": True}
    await golden.send("text, streamed", "POST", "/v1/completions", streamed)
    return golden.steps


async def refusals(system: LocalSystem) -> list[dict]:
    golden = GoldenSession(system)
    path = "/v1/completions"
    await golden.send("no such path", "GET", "/v2/models")
    await golden.send("wrong method", "DELETE", "/v1/models")
    await golden.send("not JSON", "POST", path, b"{")
    await golden.send("unknown model", "POST", path, {"model": "gpt-0", "prompt": "x"})
    impossible = {"model": TRIP_MODEL, "prompt": "[[impossible]]"}
    await golden.send("impossible", "POST", path, impossible)
    await golden.send("unknown service", "GET", "/services/none/x")
    return golden.steps


async def bookings(system: LocalSystem) -> list[dict]:
    golden = GoldenSession(system)
    path = "/services/coach-booking/bookings"
    key = (("idempotency-key", "class-6b"), ("content-type", "application/json"))
    booking = {"class": "6b", "seats": 24}
    await golden.send("read", "GET", "/services/coach-booking/coaches?seats=24")
    await golden.send("book", "POST", path, booking, headers=key)
    await golden.send("book again", "POST", path, booking, headers=key)
    second = list(system.vms.values())[1].entry_address
    await golden.send("book again elsewhere", "POST", path, booking, headers=key, entry=second)
    return golden.steps


if __name__ == "__main__":
    unittest.main()
