"""The HTTP transport: complete answers, error classification, disconnects, graceful stops."""

import socket
import struct
import unittest

import trio
import trio.lowlevel
import trio.testing

from fescuedock.address import Address
from fescuedock.net.http_client import NotSentError, ResponseLostError, open_http_client
from fescuedock.net.http_server import (
    DroppedConnectionError,
    HttpLimits,
    Request,
    Responder,
)
from tests.builders.net import echo_body, served

GUARD_S = 20


class HttpTransportTest(unittest.TestCase):
    """Client and server against each other and against raw sockets."""

    def run_guarded(self, test) -> None:
        async def guarded() -> None:
            with trio.fail_after(GUARD_S):
                await test()

        trio.run(guarded)

    def test_bodies_are_echoed_over_one_connection(self) -> None:
        async def test() -> None:
            async with served(echo_body) as (_, address), open_http_client() as client:
                for body in (b"first", b"second"):
                    async with client.request(address, "POST", "/", (), body) as response:
                        self.assertEqual(await response.read(), body)

        self.run_guarded(test)

    def test_an_idle_connection_is_reported_during_its_keep_alive_time(self) -> None:
        async def answer(request: Request, responder: Responder) -> None:
            kept = [("keep-alive", "timeout=1")] if request.path == "/short" else []
            await responder.send(200, b"", kept)

        async def test() -> None:
            async with served(answer) as (_, address), open_http_client() as client:
                self.assertFalse(client.has_idle(address))
                for path, kept_after_wait in (("/", True), ("/short", False)):
                    async with client.request(address, "GET", path) as response:
                        await response.read()
                        self.assertFalse(client.has_idle(address))
                    self.assertTrue(client.has_idle(address))
                    await trio.sleep(0.8)
                    self.assertEqual(client.has_idle(address), kept_after_wait)

        self.run_guarded(test)

    def test_a_body_over_the_limit_is_refused_and_the_next_request_served(self) -> None:
        async def test() -> None:
            async with served(echo_body) as (_, address), open_http_client() as client:
                async with client.request(address, "POST", "/", (), b"x" * 2000) as response:
                    self.assertEqual(response.status, 413)
                    self.assertIn(b"BODY_TOO_LARGE", await response.read())
                async with client.request(address, "POST", "/", (), b"fits") as response:
                    self.assertEqual(await response.read(), b"fits")

        self.run_guarded(test)

    def test_a_handler_is_cancelled_when_its_caller_disconnects(self) -> None:
        cancelled = trio.Event()

        async def wait_forever(_request: Request, _responder: Responder) -> None:
            try:
                await trio.sleep_forever()
            finally:
                cancelled.set()

        async def test() -> None:
            async with served(wait_forever) as (_, address):
                stream = await trio.open_tcp_stream(address.host, address.port)
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                await trio.testing.wait_all_tasks_blocked(0.05)
                await stream.aclose()
                await cancelled.wait()

        self.run_guarded(test)

    def test_a_streamed_answer_that_breaks_off_never_looks_complete(self) -> None:
        async def break_off(_request: Request, responder: Responder) -> None:
            with trio.CancelScope() as scope:
                async with responder.stream(200, [("content-type", "text/plain")]) as body:
                    await body.write(b"half")
                    scope.cancel()
                    await trio.sleep_forever()

        async def test() -> None:
            async with served(break_off) as (_, address), open_http_client() as client:
                with self.assertRaises(ResponseLostError) as caught:
                    async with client.request(address, "GET", "/") as response:
                        await response.read()
                self.assertTrue(caught.exception.head_received)

        self.run_guarded(test)

    # Its end was that of the connection, as after a whole answer.
    def test_an_answer_to_an_http_1_0_caller_that_breaks_off_never_looks_complete(self) -> None:
        async def answer(request: Request, responder: Responder) -> None:
            stream = await responder.begin(200, [("content-type", "text/plain")])
            await stream.write(b"half")
            if request.path == "/drop":
                raise DroppedConnectionError
            if request.path == "/fail":
                raise RuntimeError("handler failure")
            await stream.write(b" and half")
            await responder.end()

        async def call(address: Address, request: bytes) -> bytes:
            stream = await trio.open_tcp_stream(address.host, address.port)
            async with stream:
                await stream.send_all(request)
                return b"".join([part async for part in stream])

        async def test() -> None:
            async with served(answer) as (_, address):
                for length in (b"", b"content-length: 9\r\n"):
                    end = b" HTTP/1.0\r\n" + length + b"\r\n"
                    for target in (b"/drop", b"/fail"):
                        with self.assertRaises(trio.BrokenResourceError):
                            await call(address, b"POST " + target + end)
                    whole = await call(address, b"POST /" + end)
                    self.assertTrue(whole.endswith(b"\r\n\r\nhalf and half"), whole)

        self.run_guarded(test)

    def test_a_request_that_breaks_off_reaches_no_handler_as_whole(self) -> None:
        bodies: list[bytes] = []

        async def read(request: Request, responder: Responder) -> None:
            bodies.append(await request.read(100_000))
            await responder.send(200)

        async def test() -> None:
            async with served(read) as (_, address):
                for head in (b"content-length: 9", b"transfer-encoding: chunked"):
                    for is_reset in (False, True):
                        stream = await trio.open_tcp_stream(address.host, address.port)
                        part = b"4\r\nhalf\r\n" if b"chunked" in head else b"half"
                        await stream.send_all(b"POST / HTTP/1.1\r\nhost: x\r\n" + head)
                        await stream.send_all(b"\r\n\r\n" + part)
                        await trio.testing.wait_all_tasks_blocked(0.02)
                        if is_reset:
                            linger = struct.pack("ii", 1, 0)
                            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                            await stream.aclose()
                        else:
                            await stream.send_eof()
                            answer = b"".join([part async for part in stream])
                            self.assertEqual(answer.split(b" ")[1], b"400")
                await trio.testing.wait_all_tasks_blocked(0.02)
            self.assertEqual(bodies, [])

        self.run_guarded(test)

    def test_a_refusal_during_the_upload_is_whole_and_closes_the_connection(self) -> None:
        async def test() -> None:
            async with served(echo_body) as (_, address), open_http_client() as client:
                for body in (b"x" * 20_000, b"x" * 3_000_000):
                    async with client.request(address, "POST", "/", (), body) as response:
                        self.assertEqual(response.status, 413)
                        self.assertEqual(response.headers["connection"], "close")
                        self.assertIn(b'"outcome":"not_run"', await response.read())

        self.run_guarded(test)

    def test_body_parts_that_arrived_together_are_read_at_once(self) -> None:
        async def answer(request: Request, responder: Responder) -> None:
            stream = await responder.begin(200, [])
            for part in (b"a", b"b", b"c"):
                await stream.write(part)
                await trio.sleep(0.01)
            await responder.end()

        async def test() -> None:
            async with served(answer) as (_, address), open_http_client() as client:
                async with client.request(address, "GET", "/") as response:
                    self.assertEqual(await response.read_some(), b"a")
                    await trio.sleep(0.3)
                    self.assertEqual(await response.read_some(), b"bc")
                    self.assertEqual(await response.read_some(), b"")
                self.assertTrue(client.has_idle(address))

        self.run_guarded(test)

    def test_bytes_before_a_break_are_read_and_the_next_read_fails(self) -> None:
        async def answer(request: Request, responder: Responder) -> None:
            stream = await responder.begin(200, [])
            await stream.write(b"a")
            await stream.write(b"b")
            raise DroppedConnectionError

        async def test() -> None:
            async with (
                served(answer) as (_, address),
                open_http_client() as client,
                client.request(address, "GET", "/") as response,
            ):
                await trio.sleep(0.3)
                self.assertEqual(await response.read_some(), b"ab")
                with self.assertRaises(ResponseLostError):
                    await response.read_some()

        self.run_guarded(test)

    def test_idle_connections_to_a_server_can_be_dropped(self) -> None:
        async def test() -> None:
            async with served(echo_body) as (_, address), open_http_client() as client:
                async with client.request(address, "POST", "/", (), b"a") as response:
                    await response.read()
                self.assertTrue(client.has_idle(address))
                client.drop_idle(address)
                self.assertFalse(client.has_idle(address))

        self.run_guarded(test)

    def test_a_refused_connection_says_that_nothing_was_sent(self) -> None:
        async def test() -> None:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            await listeners[0].aclose()
            async with open_http_client() as client:
                with self.assertRaises(NotSentError):
                    async with client.request(Address("127.0.0.1", port), "GET", "/"):
                        self.fail("no process listens there")

        self.run_guarded(test)

    def test_a_connection_with_unread_bytes_is_never_reused(self) -> None:
        """A second, unsolicited answer of a server must not be used for the next request."""
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n"

        async def serve_twice(stream: trio.SocketStream) -> None:
            await stream.receive_some(1000)
            await stream.send_all(answer + b"one")
            await stream.send_all(answer + b"bad")
            await trio.sleep_forever()

        async def test() -> None:
            async with trio.open_nursery() as nursery, open_http_client() as client:
                listeners = await nursery.start(trio.serve_tcp, serve_twice, 0)
                port = listeners[0].socket.getsockname()[1]
                for _ in range(2):
                    async with client.request(Address("127.0.0.1", port), "GET", "/") as response:
                        self.assertEqual(await response.read(), b"one")
                    await trio.testing.wait_all_tasks_blocked(0.05)
                nursery.cancel_scope.cancel()

        self.run_guarded(test)

    def test_stopping_finishes_the_request_in_flight_and_refuses_new_connections(self) -> None:
        release = trio.Event()

        async def wait_for_release(_request: Request, responder: Responder) -> None:
            await release.wait()
            await responder.send_json(200, "done")

        async def test() -> None:
            async with (
                served(wait_for_release) as (server, address),
                open_http_client() as client,
            ):
                answers: list[bytes] = []

                async def send_request() -> None:
                    async with client.request(address, "GET", "/") as response:
                        answers.append(await response.read())

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(send_request)
                    while not server.in_flight:
                        await trio.lowlevel.checkpoint()
                    server.stop()
                    await trio.testing.wait_all_tasks_blocked(0.05)
                    with self.assertRaises(NotSentError):
                        async with client.request(address, "GET", "/"):
                            self.fail("the listener should be closed")
                    release.set()
                self.assertEqual(answers, [b'"done"'])

        self.run_guarded(test)

    def test_a_caller_that_reads_nothing_is_cut_off(self) -> None:
        ended = trio.Event()

        async def flood(_request: Request, responder: Responder) -> None:
            try:
                async with responder.stream(200, [("content-type", "text/plain")]) as body:
                    while True:
                        await body.write(b"x" * 65536)
            finally:
                ended.set()

        async def test() -> None:
            async with served(flood, HttpLimits(write_timeout_ms=50)) as (_, address):
                stream = await trio.open_tcp_stream(address.host, address.port)
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                await ended.wait()
                await stream.aclose()
                await trio.testing.wait_all_tasks_blocked(0.05)

        self.run_guarded(test)

    def test_an_error_in_one_handler_leaves_the_server_serving(self) -> None:
        seen: list[Exception] = []

        async def fail_or_echo(request: Request, responder: Responder) -> None:
            if request.path == "/fail":
                raise RuntimeError("handler failure")
            if request.path == "/fail-elsewhere":
                raise trio.TooSlowError("another socket, not the caller's")
            if request.path == "/fail-late":
                async with responder.stream(200, []):
                    raise RuntimeError("late handler failure")
            await echo_body(request, responder)

        async def test() -> None:
            async with served(fail_or_echo) as (server, address), open_http_client() as client:
                server.on_error = seen.append
                async with client.request(address, "GET", "/fail") as response:
                    self.assertEqual(response.status, 500)
                    self.assertIn(b'"outcome":"unknown"', await response.read())
                async with client.request(address, "GET", "/fail-elsewhere") as response:
                    self.assertEqual(response.status, 500)
                    await response.read()
                with self.assertRaises(ResponseLostError):
                    async with client.request(address, "GET", "/fail-late") as response:
                        await response.read()
                async with client.request(address, "POST", "/", (), b"on") as response:
                    self.assertEqual(await response.read(), b"on")
            self.assertEqual(len(seen), 3)

        self.run_guarded(test)

    def test_a_body_that_times_out_is_answered_as_not_run(self) -> None:
        async def test() -> None:
            async with served(echo_body, HttpLimits(read_timeout_ms=50)) as (_, address):
                stream = await trio.open_tcp_stream(address.host, address.port)
                await stream.send_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab")
                answer = await stream.receive_some(4096)
                self.assertEqual(answer.split(b" ")[1], b"408")
                self.assertIn(b'"outcome":"not_run"', answer)
                await stream.aclose()

        self.run_guarded(test)

    def test_malformed_requests_get_an_error_response(self) -> None:
        cases = {
            b"NOT HTTP\r\n\r\n": b"400",
            b"GET / HTTP/1.1\r\nx: " + b"y" * 100_000 + b"\r\n\r\n": b"431",
        }

        async def test() -> None:
            async with served(echo_body) as (_, address):
                for sent, status in cases.items():
                    stream = await trio.open_tcp_stream(address.host, address.port)
                    await stream.send_all(sent)
                    answer = await stream.receive_some(4096)
                    self.assertEqual(answer.split(b" ")[1], status)
                    self.assertIn(b'"outcome":"not_run"', answer)
                    await stream.aclose()

        self.run_guarded(test)
