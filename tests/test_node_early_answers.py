"""Upstreams that answer long uploads early and end the connection: no part may look complete."""

import json
import unittest
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from fescuedock.platform.standin.event_upstream import DEFAULT_VERSION, event_bytes
from tests.builders.clocks import virtual_clock
from tests.builders.early_answers import NO_STATUSES, EarlyServer, End, fields_of
from tests.builders.jobs_calls import JOB, item_entry, read_page, submission_of
from tests.builders.node import (
    Answer,
    NodeFleet,
    config_document,
    running_fleet,
    worker_entry,
)
from tests.builders.standins import run_async
from tests.builders.versions import event_numbers

EVENTS = 5
ALL = list(range(EVENTS))
LONG_BODY = b"x" * 2_000_000
# The kernel takes all of it, but not that of an upstream that does not read it.
BUFFERED_BODY = b"x" * 20_000
_LIMITS = {"maxHeaderBytes": 8192, "maxBodyBytes": 8_000_000}
_LIMITS |= {"headerTimeoutMs": 1000, "idleTimeoutMs": 5000}
_EARLY_ID = "early"
# How answers end, how long after they began, and the bodies of their requests.
_ENDS = [
    (End.RESET, 0.0, LONG_BODY),
    (End.RESET, 0.05, LONG_BODY),
    (End.FIN, 0.0, LONG_BODY),
    (End.FIN, 0.0, BUFFERED_BODY),
    (End.FIN, 0.05, BUFFERED_BODY),
]


def answer_of(head: str, status: str = "200 OK", fields: str = "", body: bytes = b"") -> bytes:
    """Return the beginning of an answer to the request with this head."""
    request_id = fields_of(head)["x-request-id"]
    identity = f"X-Request-Id: {request_id}\r\nX-Response-Seal: seal.early\r\n"
    return f"HTTP/1.1 {status}\r\n{identity}{fields}\r\n".encode() + body


def first_events(head: str, count: int = 2) -> bytes:
    """Return an answer without framing with the first events of a stream to this request."""
    path = head.split(" ", 2)[1]
    length_bytes = int(fields_of(head)["content-length"])
    events = [event_bytes(number, path, length_bytes, DEFAULT_VERSION) for number in range(count)]
    return answer_of(head, fields="content-type: text/event-stream\r\n", body=b"".join(events))


class EarlyAnswersTest(unittest.TestCase):
    def play(
        self,
        server: EarlyServer,
        test: Callable[[NodeFleet], Awaitable[None]],
        *,
        has_other: bool = True,
    ) -> None:
        """Run ``test`` in a fleet whose only upstream is ``server`` until it has a request.

        From then on there is another one too, if ``has_other``.
        """

        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(upstreams=1) as fleet:
                    fleet.configure(config_document(2, limits=_LIMITS))
                    [other] = fleet.upstreams
                    other.event_count = EVENTS
                    fleet.store.state.delete(f"servers/{other.upstream_id}")

                    if has_other:
                        server.on_request = partial(fleet.register, other)
                    # So that the node knows the other one when the answer comes.
                    server.delay_s = 0.2
                    entry = worker_entry(str(await server.listen(fleet.nursery)))
                    entry["version"] = DEFAULT_VERSION
                    fleet.store.state.put(f"servers/{_EARLY_ID}", json.dumps(entry).encode())
                    await trio.sleep(0.5)
                    await test(fleet)
                    self.assertTrue(server.heads, "no request went there")

        run_async(run, virtual_clock())

    def call(
        self, server: EarlyServer, prefix: str, body: bytes = LONG_BODY, *, has_other: bool = True
    ) -> Answer:
        """Return the answer to a call that ``server`` gets first."""
        answers: list[Answer] = []

        async def test(fleet: NodeFleet) -> None:
            front = fleet.nodes[0].front
            answers.append(await fleet.call(front, "POST", f"{prefix}case", body))

        self.play(server, test, has_other=has_other)
        return answers[0]

    def run_item(self, server: EarlyServer, body: bytes = LONG_BODY) -> dict:
        """Return the result of an item that ``server`` gets first."""
        results: list[dict] = []

        async def test(fleet: NodeFleet) -> None:
            front = fleet.nodes[0].front
            headers = {"X-Request-Id": JOB, "X-Deadline-Ms": "3000"}
            job = submission_of([item_entry("case", body)])
            accepted = await fleet.call(front, "POST", "/letters/new", job, headers)
            self.assertEqual(accepted.status, 202, accepted)
            with trio.fail_after(18):
                while not results:
                    page = await read_page(fleet, front, wait_ms=500)
                    results.extend(page.json()["results"])

        self.play(server, test)
        return results[0]

    def check_ends(self, check: Callable[[EarlyServer, bytes], None]) -> None:
        """Run ``check`` with a server for each way in which answers end early, and a body."""
        for end, pause_s, body in _ENDS:
            with self.subTest(end=end, pause_s=pause_s, body_bytes=len(body)):
                check(EarlyServer(first_events, end, pause_s), body)

    # In all of these the part that had arrived counted as the whole answer.
    def test_a_resumable_stream_cut_off_during_the_upload_continues_at_another(self) -> None:
        def check(server: EarlyServer, body: bytes) -> None:
            answer = self.call(server, "/check/", body)
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(event_numbers(answer.body), ALL)

        self.check_ends(check)

    def test_another_stream_cut_off_during_the_upload_never_looks_whole(self) -> None:
        def check(server: EarlyServer, body: bytes) -> None:
            answer = self.call(server, "/rights/", body)
            self.assertEqual((answer.status, answer.complete), (200, False))

        self.check_ends(check)

    def test_a_body_cut_off_during_the_upload_is_requested_again(self) -> None:
        def check(server: EarlyServer, body: bytes) -> None:
            answer = self.call(server, "/safe/", body)
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(event_numbers(answer.body), ALL)

        self.check_ends(check)

    def test_a_body_cut_off_during_the_upload_is_a_failure_without_another_upstream(self) -> None:
        def check(server: EarlyServer, body: bytes) -> None:
            answer = self.call(server, "/safe/", body, has_other=False)
            self.assertEqual((answer.status, answer.complete), (502, True))

        self.check_ends(check)

    def test_an_item_cut_off_during_the_upload_is_listed_with_its_whole_text(self) -> None:
        def check(server: EarlyServer, body: bytes) -> None:
            result = self.run_item(server, body)
            wanted = [f"/letters/case {len(body)} {number}" for number in ALL]
            self.assertEqual(result["text"].split("\n"), wanted)

        self.check_ends(check)

    # The call got 502 instead of being sent elsewhere.
    def test_a_refusal_whose_body_breaks_off_still_says_that_the_call_has_not_run(self) -> None:
        def refuse(head: str) -> bytes:
            return answer_of(head, "503 Full", "X-Not-Executed: 1\r\n", b"fu")

        def check(server: EarlyServer, body: bytes) -> None:
            server.answer = refuse
            answer = self.call(server, "/rights/", body)
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(event_numbers(answer.body), ALL)

        self.check_ends(check)

    # The upload stopped there, and the call was cut off at its deadline.
    def test_an_informational_answer_does_not_end_the_upload(self) -> None:
        def events(head: str) -> bytes:
            return first_events(head, EVENTS)

        for prefix in ("/check/", "/rights/", "/safe/"):
            with self.subTest(prefix=prefix):
                server = EarlyServer(
                    lambda _: b"HTTP/1.1 100 Continue\r\n\r\n",
                    End.READ_AND_CLOSE,
                    0.01,
                    final=events,
                )
                answer = self.call(server, prefix, has_other=False)
                self.assertEqual((answer.status, answer.complete), (200, True))
                self.assertEqual(event_numbers(answer.body), ALL)
                self.assertEqual(server.bodies, [LONG_BODY])

    # Statuses above 599 reached the client.
    def test_an_answer_with_a_status_that_is_none_reaches_no_client(self) -> None:
        for status in NO_STATUSES[:5]:
            for prefix in ("/check/", "/rights/", "/safe/"):
                with self.subTest(status=status, prefix=prefix):
                    answer = self.call(self.odd_server(status), prefix, b"x", has_other=False)
                    self.assertEqual((answer.status, answer.complete), (502, True))
                    self.assertNotIn("x-response-seal", answer.headers)

    def test_a_call_answered_with_a_status_that_is_none_is_repeated_if_it_may_be(self) -> None:
        for status in NO_STATUSES[:5]:
            for prefix in ("/check/", "/safe/"):
                with self.subTest(status=status, prefix=prefix):
                    answer = self.call(self.odd_server(status), prefix, b"x")
                    self.assertEqual((answer.status, answer.complete), (200, True))
                    self.assertEqual(event_numbers(answer.body), ALL)

    def test_an_item_answered_with_a_status_that_is_none_is_run_again(self) -> None:
        for status in NO_STATUSES[:5]:
            with self.subTest(status=status):
                result = self.run_item(self.odd_server(status), b"x")
                wanted = [f"/letters/case 1 {number}" for number in ALL]
                self.assertEqual(result["text"].split("\n"), wanted)

    def odd_server(self, status: str) -> EarlyServer:
        """Return a server that answers with ``status`` and is otherwise sound."""

        def answer(head: str) -> bytes:
            events = first_events(head, EVENTS).partition(b"\r\n\r\n")[2]
            fields = f"content-type: text/event-stream\r\ncontent-length: {len(events)}\r\n"
            return answer_of(head, status, fields, events)

        return EarlyServer(answer, End.STAY)


if __name__ == "__main__":
    unittest.main()
