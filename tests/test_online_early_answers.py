"""Engines and plain services that answer long uploads early: no part may look complete."""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.backing.engine import EngineClient
from fescuedock.batch.attempts import Attempt, UpstreamClients, run_attempt
from fescuedock.core.batch.items import AttemptEnd, EndKind, Item
from fescuedock.net.http_client import ResponseLostError, unchecked
from fescuedock.schema.view import UpstreamKind, UpstreamRecord
from tests.builders.early_answers import NO_STATUSES, EarlyServer, End
from tests.builders.online import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    OnlineFleet,
    chat_body,
    open_fleet,
    record,
    run,
)
from tests.builders.standins import open_http, run_async

BOOKINGS = "/services/demo-plain/bookings"
QUERIES = "/services/demo-plain/queries"
CHAT = "/v1/chat/completions"
LONG_TEXT = "x" * 2_000_000
BUFFERED_TEXT = "x" * 20_000
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
# How answers end, how long after they began, and the texts of their requests.
ENDS = [
    (End.RESET, 0.0, LONG_TEXT),
    (End.RESET, 0.05, LONG_TEXT),
    (End.FIN, 0.0, LONG_TEXT),
    (End.FIN, 0.0, BUFFERED_TEXT),
    (End.FIN, 0.05, BUFFERED_TEXT),
]
_STALL_MS = 2000.0


def event(text: str) -> bytes:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    chunk = {"id": "a", "object": "chat.completion.chunk", "created": 1, "model": "m"}
    return b"data: " + msgspec.json.encode({**chunk, "choices": [choice]}) + b"\n\n"


# The beginning of a stream of an engine.
EVENTS = event("one ") + event("two")
# An answer in one piece of which the end is missing.
PIECE = msgspec.json.encode({"choices": [{"message": {"content": "one two"}}]})[:-3]


@dataclass(slots=True)
class Grant:
    permit_id: str = "attempt-1"
    revoked: trio.Event = field(default_factory=trio.Event)

    def count_tokens(self, count: int = 1) -> None:
        pass

    def end(self, ended: object) -> None:
        pass


class EarlyAnswerTest(unittest.TestCase):
    def check_ends(self, answer: bytes, check: Callable[[EarlyServer, str], None]) -> None:
        """Run ``check`` with a server for each way in which ``answer`` ends early, and a text."""
        for end, pause_s, text in ENDS:
            with self.subTest(end=end, pause_s=pause_s, characters=len(text)):
                check(EarlyServer(lambda _: answer, end, pause_s), text)

    def check_statuses(self, check: Callable[[EarlyServer, str], None]) -> None:
        for status in NO_STATUSES:
            with self.subTest(status=status):
                head = f"HTTP/1.1 {status}\r\ncontent-length: 4\r\n\r\n".encode()
                check(EarlyServer(lambda _, sent=head: sent + b"part", End.STAY), "x")

    def call(
        self, server: EarlyServer, kind: UpstreamKind, path: str, body: object, **headers: str
    ) -> tuple[int, bytes, bool]:
        """Return status, body and completeness of an answer whose only upstream is ``server``."""
        answers: list[tuple[int, bytes, bool]] = []
        service = PLAIN_SERVICE if kind is UpstreamKind.PLAIN else MODEL_SERVICE

        async def post(fleet: OnlineFleet) -> None:
            parts: list[bytes] = []
            is_complete = True
            data = body if isinstance(body, bytes) else msgspec.json.encode(body)
            fields = [("x-deadline-ms", "3000"), *headers.items()]
            async with fleet.http.request(fleet.entry, "POST", path, fields, data) as response:
                try:
                    async for part in response.chunks():
                        parts.append(part)
                except ResponseLostError:
                    is_complete = False
                answers.append((response.status, b"".join(parts), is_complete))

        async def test() -> None:
            async with open_fleet(engines=0, plain_services=0) as fleet, trio.open_nursery() as own:
                address = await server.listen(own)
                fleet.update_view(record("early", address, kind, service))
                try:
                    await post(fleet)
                except ResponseLostError:
                    answers.append((0, b"", False))
                own.cancel_scope.cancel()

        run(test)
        self.assertTrue(server.heads, "no request went there")
        return answers[0]

    def run_item(self, server: EarlyServer, kind: UpstreamKind, url: str, body: dict) -> AttemptEnd:
        """Return how an attempt of a batch item at ``server`` ends."""
        ends: list[AttemptEnd] = []
        line = {"custom_id": "c", "method": "POST", "url": url, "body": body}

        async def attempt(address: Address) -> None:
            async with open_http() as http:
                upstream = UpstreamRecord("u", "r", "d", address.host, address.port, kind, "s")
                item = Item(0, msgspec.json.encode(line))
                tried = Attempt(item, upstream, Grant(), _STALL_MS, unchecked)
                ends.append(await run_attempt(UpstreamClients(EngineClient(http), http), tried))

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                await attempt(await server.listen(nursery))
                nursery.cancel_scope.cancel()

        run_async(test)
        return ends[0]

    # --- plain services --------------------------------------------------------------------------

    def check_service(self, server: EarlyServer, text: str) -> None:
        for path in (BOOKINGS, QUERIES):
            status, body, _ = self.call(server, UpstreamKind.PLAIN, path, text.encode())
            self.assertIn(status, (502, 504), (path, body))
            self.assertNotIn(b'"outcome":"not_run"', body)

    # The service's part was passed on as its whole answer.
    def test_a_services_answer_cut_off_during_the_upload_is_a_failure(self) -> None:
        self.check_ends(HEAD + b"part", self.check_service)

    def test_a_services_answer_with_a_status_that_is_none_is_a_failure(self) -> None:
        self.check_statuses(self.check_service)

    def test_a_services_events_cut_off_during_the_upload_never_look_whole(self) -> None:
        def check(server: EarlyServer, text: str) -> None:
            got = self.call(server, UpstreamKind.PLAIN, BOOKINGS, text.encode())
            self.assertEqual((got[0], got[2]), (200, False), got)

        head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
        self.check_ends(head + b"data: one\n\n", check)

    # --- engines ---------------------------------------------------------------------------------

    def test_an_engines_stream_cut_off_during_the_upload_never_looks_whole(self) -> None:
        def check(server: EarlyServer, text: str) -> None:
            got = self.call(server, UpstreamKind.ENGINE, CHAT, chat_body(text))
            self.assertNotIn(b"data: [DONE]", got[1])
            self.assertTrue(not got[2] or got[0] >= 500, got)

        self.check_ends(HEAD + EVENTS, check)
        self.check_statuses(check)

    def test_an_engines_answer_cut_off_during_the_upload_is_a_failure(self) -> None:
        def check(server: EarlyServer, text: str) -> None:
            for changes in ({}, {"n": 2}):
                body = chat_body(text, stream=False, **changes)
                status, answer, _ = self.call(server, UpstreamKind.ENGINE, CHAT, body)
                self.assertGreaterEqual(status, 500, answer)

        self.check_ends(HEAD + PIECE, check)
        self.check_ends(HEAD + EVENTS, check)
        self.check_statuses(check)

    # --- batch items -----------------------------------------------------------------------------

    def test_an_items_answer_of_a_service_cut_off_during_the_upload_is_lost(self) -> None:
        def check(server: EarlyServer, text: str) -> None:
            end = self.run_item(server, UpstreamKind.PLAIN, BOOKINGS, {"text": text})
            self.assertIs(end.kind, EndKind.DIED, end)

        self.check_ends(HEAD + b'{"part": 1}', check)
        self.check_statuses(check)

    def test_an_items_answer_of_an_engine_cut_off_during_the_upload_is_lost(self) -> None:
        def check(server: EarlyServer, text: str) -> None:
            for changes in ({}, {"n": 2}):
                body = chat_body(text, stream=False, **changes)
                end = self.run_item(server, UpstreamKind.ENGINE, CHAT, body)
                self.assertIs(end.kind, EndKind.DIED, end)

        self.check_ends(HEAD + PIECE, check)
        self.check_ends(HEAD + EVENTS, check)
        self.check_statuses(check)


if __name__ == "__main__":
    unittest.main()
