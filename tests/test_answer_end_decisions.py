"""When an answer that ends with its connection counts as complete."""

import unittest
from collections.abc import Sequence
from unittest import mock

import msgspec
import trio
import trio.testing

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.core.forwarding.answer_ends import (
    AnswerEnd,
    EndVerdict,
    InterruptedAnswers,
    verdict_on,
)
from fescuedock.net.http_client import ConnectResult, PeerQuery, open_http_client
from fescuedock.net.http_server import DroppedConnectionError, Request, Responder
from fescuedock.node.answer_ends import AnswerEnds
from fescuedock.node.attempt import AttemptRecord
from fescuedock.schema.permits import WorkClass
from fescuedock.schema.view import UpstreamKind, UpstreamRecord
from tests.builders.net import served

PROMPT = AnswerEnd(idle_ms=1.0, pause_ms=25.0)
BETWEEN_EVENTS = AnswerEnd(idle_ms=12.0, pause_ms=25.0)
COMPLETE, PROBABLE, BROKEN_OFF = EndVerdict.COMPLETE, EndVerdict.PROBABLE, EndVerdict.BROKEN_OFF


class VerdictTest(unittest.TestCase):
    def verdict(
        self, end: AnswerEnd, is_running: bool, leaving: bool = False, others: bool = False
    ) -> EndVerdict:
        return verdict_on(end, is_running=is_running, leaving=leaving, others_interrupted=others)

    def test_an_answer_of_a_process_that_runs_on_is_complete(self) -> None:
        for end in (PROMPT, BETWEEN_EVENTS):
            for leaving in (False, True):
                self.assertIs(self.verdict(end, True, leaving), COMPLETE)

    def test_an_answer_of_a_process_that_is_not_found_is_broken_off(self) -> None:
        for end in (PROMPT, BETWEEN_EVENTS):
            self.assertIs(self.verdict(end, False), BROKEN_OFF)

    def test_the_last_answer_of_a_leaving_process_is_probably_complete(self) -> None:
        self.assertIs(self.verdict(PROMPT, False, leaving=True), PROBABLE)
        self.assertIs(self.verdict(BETWEEN_EVENTS, False, leaving=True), BROKEN_OFF)

    def test_a_leaving_process_that_interrupts_one_answer_interrupts_all(self) -> None:
        self.assertIs(self.verdict(PROMPT, False, leaving=True, others=True), BROKEN_OFF)

    def test_without_pauses_only_an_immediate_end_is_prompt(self) -> None:
        self.assertTrue(AnswerEnd(idle_ms=1.0, pause_ms=-1.0).is_prompt)
        self.assertFalse(AnswerEnd(idle_ms=5.0, pause_ms=-1.0).is_prompt)

    def test_interrupted_answers_are_remembered_for_the_time_of_one_exit(self) -> None:
        interrupted = InterruptedAnswers()
        interrupted.record("u", 100.0)
        self.assertTrue(interrupted.has_recent("u", 110.0))
        self.assertFalse(interrupted.has_recent("other", 110.0))
        self.assertFalse(interrupted.has_recent("u", 200.0))


class OtherProcessTest(unittest.TestCase):
    def test_the_process_that_replaced_the_one_of_an_answer_does_not_complete_it(self) -> None:
        """Whether or not the process of the answer had told its start time."""
        for process in (None, "100"):
            with self.subTest(process=process):
                for found in (ConnectResult.OTHER_PEER, ConnectResult.UNKNOWN):
                    self.assertIs(self.judge(process, found), BROKEN_OFF)
                self.assertIs(self.judge(process, ConnectResult.EXPECTED_PEER), COMPLETE)

    def test_only_a_process_that_was_not_replaced_may_have_left_with_its_answer(self) -> None:
        for listed, found, expected in (
            ((), ConnectResult.REFUSED, PROBABLE),
            ((), ConnectResult.OTHER_PEER, BROKEN_OFF),
            (("u@101",), ConnectResult.REFUSED, BROKEN_OFF),
        ):
            with self.subTest(listed=listed, found=found):
                self.assertIs(self.judge("100", found, listed), expected)

    # A process that had restarted meanwhile was taken for the one that had begun the answer.
    def test_a_process_that_is_identified_too_late_is_not_that_of_the_answer(self) -> None:
        for delay_s, expected in ((0.01, "101"), (0.03, None)):
            with self.subTest(delay_s=delay_s):
                self.assertEqual(self.identify(delay_s), expected)

    def identify(self, delay_s: float) -> str | None:
        """Return the process that is recorded if its report is read after ``delay_s``."""

        async def find_peer(_address: Address, query: PeerQuery) -> ConnectResult:
            clock.jump(delay_s)
            query.read_peer(200, b'{"born": 101}')
            return ConnectResult.EXPECTED_PEER

        clock = trio.testing.MockClock()
        upstream = UpstreamRecord("u@100", "r", "d", "127.0.0.1", 1, UpstreamKind.ENGINE, "s")
        record = AttemptRecord(mock.Mock(upstream_id="u@100"), WorkClass.ONLINE, 0.0)
        ends = AnswerEnds(mock.Mock(find_peer=find_peer), FleetView("vm"))
        trio.run(ends.identify, upstream, record, clock=clock)
        return record.process

    def judge(
        self, process: str | None, found: ConnectResult, listed: Sequence[str] = ("u@100",)
    ) -> EndVerdict:
        upstream = UpstreamRecord("u@100", "r", "d", "127.0.0.1", 1, UpstreamKind.ENGINE, "s")
        view = FleetView("vm")
        view.upstreams = {
            name: msgspec.structs.replace(upstream, upstream_id=name) for name in listed
        }
        http = mock.Mock(find_peer=mock.AsyncMock(return_value=found))
        record = AttemptRecord(mock.Mock(), WorkClass.ONLINE, 0.0, process=process)
        record.unframed, record.end_idle_ms = True, 0.0
        return trio.run(AnswerEnds(http, view).judge, upstream, record, "request")


class FindPeerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.identity = b"first"
        self.drops = 0
        self.connections: list[object] = []

    async def answer(self, request: Request, responder: Responder) -> None:
        if self.drops:
            self.drops -= 1
            raise DroppedConnectionError("dropped the answer as configured")
        await responder.send(200, self.identity)

    def run_client(self, test) -> None:
        query = PeerQuery("/identity", lambda _status, body: body.decode() or None, "first")

        async def run() -> None:
            with trio.fail_after(5):
                async with (
                    served(self.answer) as (server, address),
                    open_http_client() as client,
                ):
                    client.identify_timeout_ms = 200
                    client.on_connect = self.connections.append
                    await test(server, lambda: client.find_peer(address, query))

        trio.run(run)

    def test_the_process_is_asked_over_an_idle_connection(self) -> None:
        async def test(_server, find) -> None:
            for identity, expected in (
                (b"first", ConnectResult.EXPECTED_PEER),
                (b"second", ConnectResult.OTHER_PEER),
                (b"", ConnectResult.ACCEPTED),
            ):
                self.identity = identity
                self.assertIs(await find(), expected)
            self.assertEqual(len(self.connections), 1)

        self.run_client(test)

    def test_a_connection_that_is_closed_without_a_reply_says_nothing(self) -> None:
        async def test(_server, find) -> None:
            self.drops = 3
            self.assertIs(await find(), ConnectResult.EXPECTED_PEER)
            self.drops = 1000
            self.assertIs(await find(), ConnectResult.UNKNOWN)

        self.run_client(test)

    def test_a_process_that_ended_is_refused(self) -> None:
        async def test(server, find) -> None:
            self.assertIs(await find(), ConnectResult.EXPECTED_PEER)
            server.stop()
            await trio.sleep(0.05)
            self.assertIs(await find(), ConnectResult.REFUSED)

        self.run_client(test)


if __name__ == "__main__":
    unittest.main()
