"""Health pages and reports that broke off or are no answers: none of them clears an upstream."""

import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from types import SimpleNamespace
from typing import cast

import trio

from fescuedock.address import Address
from fescuedock.core.forwarding.route_table import RouteTable
from fescuedock.net.http_client import ConnectResult, HttpClient, NotSentError, open_http_client
from fescuedock.node.configuration import NodeConfiguration
from fescuedock.node.health_probe import health_probe
from fescuedock.platform import calls
from fescuedock.schema.config import Configuration
from fescuedock.schema.permits import AttemptOutcome
from fescuedock.schema.view import UpstreamKind, UpstreamRecord
from tests.builders.clocks import virtual_clock
from tests.builders.early_answers import NO_STATUSES
from tests.builders.net import LOOPBACK
from tests.builders.standins import run_async

BORN = 1_790_000_000_000
_BODY = b'{"stage": "both", "born": %d}' % BORN
SOUND = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(_BODY), _BODY)
WITHOUT_FRAME = b"HTTP/1.1 200 OK\r\n\r\n" + _BODY
# Answers that their connection ends.
BROKEN = {
    "nothing": b"",
    "a part of the head": SOUND[:10],
    "a part of the body": SOUND[:-5],
    "a part of the chunks": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n{}",
} | {f"status {text!r}": b"HTTP/1.1 %s\r\n\r\n%s" % (text.encode(), _BODY) for text in NO_STATUSES}


class BrokenQueriesTest(unittest.TestCase):
    def ask(self, answer: bytes, ask: Callable[[HttpClient, Address], Awaitable[object]]) -> object:
        """Return what ``ask`` gets from a server that sends ``answer`` and closes."""
        found: list[object] = []

        async def serve(stream: trio.SocketStream) -> None:
            received = b""
            while b"\r\n\r\n" not in received:
                data = await stream.receive_some()
                if not data:
                    return
                received += data
            await stream.send_all(answer)
            await stream.aclose()

        async def run() -> None:
            async with trio.open_nursery() as nursery, open_http_client() as http:
                listening = partial(trio.serve_tcp, serve, LOOPBACK.port, host=LOOPBACK.host)
                [listener] = await nursery.start(listening)
                address = Address(*listener.socket.getsockname()[:2])
                found.append(await ask(http, address))
                nursery.cancel_scope.cancel()

        run_async(run, virtual_clock())
        return found[0]

    def test_a_health_page_that_is_no_answer_is_a_failed_probe(self) -> None:
        async def probe(http: HttpClient, address: Address) -> AttemptOutcome:
            upstream = UpstreamRecord(
                "u", "r", "d", address.host, address.port, UpstreamKind.ENGINE, "s"
            )
            configuration = cast(NodeConfiguration, SimpleNamespace(routes=RouteTable([])))
            return await health_probe(http, configuration)(upstream, Configuration())

        self.assertIs(self.ask(SOUND, probe), AttemptOutcome.COMPLETED)
        for name, answer in BROKEN.items():
            with self.subTest(answer=name):
                self.assertIs(self.ask(answer, probe), AttemptOutcome.TRUNCATED)

    def test_a_report_that_is_no_answer_shows_no_running_process(self) -> None:
        async def find(http: HttpClient, address: Address) -> ConnectResult:
            return await http.find_peer(address, calls.presence_query("i-1", str(BORN)))

        for answer in (SOUND, WITHOUT_FRAME):
            self.assertIs(self.ask(answer, find), ConnectResult.EXPECTED_PEER)
        broken = BROKEN | {"a part without a frame": WITHOUT_FRAME[:-5]}
        for name, answer in broken.items():
            with self.subTest(answer=name):
                self.assertIs(self.ask(answer, find), ConnectResult.UNKNOWN)

    def test_nothing_is_sent_to_a_process_whose_report_is_no_answer(self) -> None:
        query = calls.process_query(f"i-1@{BORN}")

        async def send(http: HttpClient, address: Address) -> str:
            try:
                async with http.request(address, "POST", "/x", peer_query=query):
                    return "answered"
            except NotSentError:
                return "not sent"

        broken = BROKEN | {"a part without a frame": WITHOUT_FRAME[:-5]}
        for name, answer in broken.items():
            with self.subTest(answer=name):
                self.assertEqual(self.ask(answer, send), "not sent")


if __name__ == "__main__":
    unittest.main()
