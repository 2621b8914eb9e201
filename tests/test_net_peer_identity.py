"""A request that names the process it is meant for is written to no other one."""

import unittest
from collections import Counter
from functools import partial

import trio

from fescuedock.address import Address
from fescuedock.net.http_client import (
    ConnectResult,
    NotSentError,
    OtherPeerError,
    PeerQuery,
    open_http_client,
)
from fescuedock.net.http_server import DroppedConnectionError, Request, Responder
from tests.builders.net import served


def read_peer(status: int, body: bytes) -> str | None:
    if status != 200:
        raise ValueError(f"status {status}")
    return body.decode() or None


def query(expected: str) -> PeerQuery:
    return PeerQuery("/identity", read_peer, expected)


class PeerIdentityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.targets: Counter[str] = Counter()
        self.identity = b"first"
        self.status = 200
        self.headers: list[tuple[str, str]] = []
        self.drops = 0
        self.delay_s = 0.0
        self.hangs = False

    async def answer(self, request: Request, responder: Responder) -> None:
        await request.read(1024)
        self.targets[request.path] += 1
        if request.path != "/identity":
            await responder.send(200, b"done")
            return
        if self.hangs:
            await trio.sleep_forever()
        if self.drops:
            self.drops -= 1
            raise DroppedConnectionError("dropped the answer as configured")
        await trio.sleep(self.delay_s)
        await responder.send(self.status, self.identity, self.headers)

    def run_guarded(self, test, connect_timeout_ms: int = 2000) -> None:
        async def guarded() -> None:
            with trio.fail_after(10):
                async with (
                    served(self.answer) as (_, address),
                    open_http_client(connect_timeout_ms) as client,
                ):
                    connected = []
                    client.on_connect = connected.append

                    async def send(expected: str) -> str | None:
                        async with client.request(
                            address, "POST", "/run", peer_query=query(expected)
                        ) as response:
                            await response.read()
                            return response.peer

                    await test(send, connected)

        trio.run(guarded)

    def test_each_connection_is_identified_once(self) -> None:
        async def test(send, connected) -> None:
            for _ in range(5):
                self.assertEqual(await send("first"), "first")
            self.assertEqual(self.targets, {"/identity": 1, "/run": 5})
            self.assertEqual(len(connected), 1)

        self.run_guarded(test)

    def test_another_process_gets_no_request_and_its_connection_is_kept(self) -> None:
        async def test(send, connected) -> None:
            for _ in range(3):
                with self.assertRaises(OtherPeerError):
                    await send("second")
            self.assertEqual(self.targets, {"/identity": 1})
            self.assertEqual(await send("first"), "first")
            self.assertEqual(len(connected), 1)

        self.run_guarded(test)

    def test_a_process_that_does_not_tell_its_identity_gets_requests(self) -> None:
        async def test(send, _connected) -> None:
            self.identity = b""
            self.assertIsNone(await send("first"))
            self.assertEqual(self.targets["/run"], 1)

        self.run_guarded(test)

    def test_a_connection_that_is_closed_with_the_identity_is_replaced_once(self) -> None:
        async def test(send, connected) -> None:
            self.drops = 1
            self.assertEqual(await send("first"), "first")
            self.assertEqual((self.targets["/identity"], len(connected)), (2, 2))
            self.headers = [("connection", "close")]
            self.identity = b"other"
            with self.assertRaises(OtherPeerError):
                await send("second")

        self.run_guarded(test)

    def test_nothing_is_sent_if_the_identity_cannot_be_read(self) -> None:
        async def test(send, connected) -> None:
            for status, drops in ((503, 0), (200, 2)):
                self.status, self.drops = status, drops
                with self.assertRaises(NotSentError):
                    await send("first")
            self.assertEqual(self.targets["/run"], 0)
            self.status = 200
            self.assertEqual(await send("first"), "first")
            self.assertEqual(len(connected), 4)

        self.run_guarded(test)

    def test_a_slow_answer_identifies_the_peer(self) -> None:
        async def test(send, connected) -> None:
            self.delay_s = 0.4
            self.assertEqual(await send("first"), "first")
            self.assertEqual((self.targets["/identity"], len(connected)), (1, 1))

        self.run_guarded(test, connect_timeout_ms=100)

    def test_a_peer_that_closes_after_each_answer_gets_requests(self) -> None:
        async def test(send, _connected) -> None:
            self.headers = [("connection", "close")]
            self.assertEqual(await send("first"), "first")
            with self.assertRaises(OtherPeerError):
                await send("second")
            self.assertEqual(self.targets["/run"], 1)

        self.run_guarded(test)

    def test_a_connection_to_a_former_process_keeps_no_request_from_the_current_one(self) -> None:
        """Guards against an idle connection whose process vanished without closing it."""

        async def test(send, connected) -> None:
            self.assertEqual(await send("first"), "first")
            self.identity = b"second"
            self.assertEqual(await send("second"), "second")
            self.assertEqual(len(connected), 2)

        self.run_guarded(test)

    def test_a_late_answer_to_another_request_identifies_nobody(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            late = b"HTTP/1.1 200 OK\r\nx-late: 1\r\ncontent-length: 5\r\n\r\nfirst"
            await stream.send_all(late)
            await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond")
            await trio.sleep_forever()

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                serve_tcp = partial(trio.serve_tcp, host="127.0.0.1")
                [listener] = await nursery.start(serve_tcp, serve, 0)
                address = Address(*listener.socket.getsockname())
                asked = PeerQuery(
                    "/identity", read_peer, "first", lambda headers: "x-late" not in dict(headers)
                )
                async with open_http_client() as client:
                    with trio.fail_after(5), self.assertRaises(OtherPeerError):
                        async with client.request(address, "POST", "/run", peer_query=asked):
                            pass
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_an_attempted_connection_tells_which_process_accepts_it(self) -> None:
        async def run() -> None:
            with trio.fail_after(10):
                async with served(self.answer) as (_, address), open_http_client(200) as client:

                    async def check(result: ConnectResult, expected: str = "first") -> None:
                        found = await client.try_connect(address, query(expected))
                        self.assertIs(found, result)

                    await check(ConnectResult.EXPECTED_PEER)
                    await check(ConnectResult.OTHER_PEER, "second")
                    self.identity = b""
                    await check(ConnectResult.ACCEPTED)
                    for self.status, self.drops in ((503, 0), (200, 1)):
                        await check(ConnectResult.UNKNOWN)
                    self.hangs = True
                    await check(ConnectResult.UNKNOWN)
                    asked = self.targets["/identity"]
                    self.assertIs(await client.try_connect(address), ConnectResult.ACCEPTED)
                    self.assertEqual(self.targets["/identity"], asked)
                found = await client.try_connect(address, query("first"))
                self.assertIs(found, ConnectResult.REFUSED)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
