"""The HTTP server with callers that read or send slowly, over sockets with small buffers."""

import contextlib
import os
import time
import tracemalloc
import unittest
from contextlib import AsyncExitStack, asynccontextmanager
from unittest import mock

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from fescuedock.core.slow_peers import HeldBounds, HeldBytes
from fescuedock.net.http_connection import HttpConnection
from fescuedock.net.http_server import (
    CutOff,
    DroppedConnectionError,
    HttpLimits,
    Request,
    Responder,
)
from tests.builders.net import served
from tests.builders.online import wait_until
from tests.builders.slow_readers import SMALL_BUFFER_BYTES, SlowClient, slow_client
from tests.builders.standins import run_async

GUARD_S = 20
CHUNKED_END = b"0\r\n\r\n"
# The size of the largest response body of the deployments.
BODY_END = b"end of body"
BODY = b"x" * 870_000 + BODY_END


async def answer_body(_request: Request, responder: Responder) -> None:
    await responder.send(200, BODY)


class SlowCallersCase(unittest.TestCase):
    """Base class: runs a server with small buffers and its slow callers."""

    def run_guarded(self, test) -> None:
        async def guarded() -> None:
            with trio.fail_after(GUARD_S):
                await test()

        run_async(guarded)

    def serve(self, handler, bounds: HeldBounds, limits: HttpLimits | None = None):
        """Serve ``handler`` with small connection buffers; ``self.cuts`` records the cut-offs."""
        self.held = HeldBytes(bounds)
        self.cuts: list[CutOff] = []
        fields = {"send_buffer_bytes": SMALL_BUFFER_BYTES, "held": self.held}
        return served(handler, limits, on_cut_off=self.cuts.append, **fields)

    @asynccontextmanager
    async def requesting_clients(self, address, count: int, body: bytes = b"", **fields: str):
        """Yield clients that have sent their requests."""
        async with AsyncExitStack() as stack:
            clients = []
            for _ in range(count):
                client = await stack.enter_async_context(slow_client(address))
                named = {name.replace("_", "-"): value for name, value in fields.items()}
                await client.send("POST", "/", named, body)
                clients.append(client)
            yield clients


class SlowReadersTest(SlowCallersCase):
    def test_memory_for_large_bodies_is_bounded_and_cut_off_ones_are_truncated(self) -> None:
        """Guards against 105 MB for 40 readers, when each body was stored three times."""
        bounds = HeldBounds(65536, 4_000_000)

        async def test() -> None:
            async with self.serve(answer_body, bounds) as (_, address):
                tracemalloc.start()
                try:
                    async with self.requesting_clients(address, 40) as clients:
                        await wait_until(lambda: len(self.cuts) == 36)
                        peak_bytes = tracemalloc.get_traced_memory()[1]
                        results = [await client.read_to_end(BODY_END) for client in clients]
                finally:
                    tracemalloc.stop()
                self.assertLess(peak_bytes, bounds.process_bytes + 4 * len(BODY))
                complete = [data for data, is_complete in results if is_complete]
                self.assertEqual(len(complete), 4)
                self.assertTrue(all(data.endswith(b"\r\n\r\n" + BODY) for data in complete))
                await wait_until(lambda: not self.held.peers)

        self.run_guarded(test)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.lists(st.integers(1, 20_000), max_size=12), min_size=2, max_size=4),
        st.lists(st.tuples(st.integers(0, 3), st.integers(1, 30_000)), max_size=40),
        st.sampled_from([(0, 2**62), (8_000, 30_000), (30_000, 30_000), (8_000, 2**62)]),
    )
    def test_any_read_pattern_gives_a_prefix_within_the_memory_bound(
        self, streams, reads, bounds: tuple[int, int]
    ) -> None:
        """A caller gets a complete or a visibly truncated response, and memory stays bounded."""
        max_bytes = 0

        async def answer(request: Request, responder: Responder) -> None:
            nonlocal max_bytes
            out = await responder.begin(200, [("transfer-encoding", "chunked")])
            for number, size_bytes in enumerate(streams[int(request.headers["x-number"])]):
                await out.write(bytes([65 + number]) * size_bytes)
                max_bytes = max(max_bytes, self.held.total_bytes)
            await responder.end()

        async def test() -> None:
            async with self.serve(answer, HeldBounds(*bounds)) as (_, address):
                async with AsyncExitStack() as stack:
                    clients = []
                    for number in range(len(streams)):
                        client = await stack.enter_async_context(slow_client(address))
                        await client.send("POST", "/", {"x-number": str(number)})
                        clients.append(client)
                    got = [b"" for _ in clients]
                    for number, size_bytes in reads:
                        if number < len(clients) and not got[number].endswith(CHUNKED_END):
                            got[number] += await read_some(clients[number], size_bytes)
                    for number, client in enumerate(clients):
                        if not got[number].endswith(CHUNKED_END):
                            got[number] += (await client.read_to_end(CHUNKED_END))[0]
                await wait_until(lambda: not self.held.peers and not self.held.total_bytes)
            broken = 0
            for number, sizes in enumerate(streams):
                parts = [b"%x\r\n" % n + bytes([65 + i]) * n for i, n in enumerate(sizes)]
                wanted = b"\r\n".join([*parts, CHUNKED_END]) if parts else CHUNKED_END
                body = got[number].partition(b"\r\n\r\n")[2]
                self.assertTrue(wanted.startswith(body))
                broken += body != wanted
            self.assertEqual(broken, len(self.cuts))
            self.assertLessEqual(max_bytes, bounds[1])

        self.run_guarded(test)

    def test_a_disconnect_frees_the_buffer_at_once_and_ends_the_handler(self) -> None:
        ended: list[str] = []

        async def answer(_request: Request, responder: Responder) -> None:
            out = await responder.begin(200, [])
            try:
                await out.write(BODY[:100_000])
                await trio.sleep_forever()
            finally:
                ended.append("handler")

        async def test() -> None:
            async with self.serve(answer, HeldBounds(200_000, 400_000)) as (_, address):
                async with self.requesting_clients(address, 1) as [client]:
                    await wait_until(lambda: self.held.total_bytes > 50_000)
                    await client.stream.aclose()
                    with trio.fail_after(1):
                        await wait_until(lambda: ended and not self.held.total_bytes)
                self.assertEqual(self.cuts, [])

        self.run_guarded(test)

    def test_a_stopping_server_sends_the_rest_to_slow_readers(self) -> None:
        async def test() -> None:
            serving = self.serve(answer_body, HeldBounds(1000, 2_000_000))
            async with (
                serving as (server, address),
                self.requesting_clients(address, 1) as [client],
            ):
                await wait_until(lambda: self.held.total_bytes > 0)
                server.stop()
                data, complete = await client.read_to_end(BODY_END, pause_s=0.001)
                self.assertTrue(complete and data.endswith(BODY))

        self.run_guarded(test)

    def test_a_caller_that_reads_nothing_is_cut_off_after_the_write_timeout(self) -> None:
        async def test() -> None:
            limits = HttpLimits(write_timeout_ms=200)
            async with self.serve(answer_body, HeldBounds(1000, 2_000_000), limits) as (_, at):
                async with self.requesting_clients(at, 2) as [stalled, slow]:
                    data, complete = await slow.read_to_end(BODY_END, pause_s=0.002)
                    self.assertTrue(complete and data.endswith(BODY))
                    await wait_until(lambda: len(self.cuts) == 1)
                    self.assertFalse((await stalled.read_to_end(BODY_END))[1])
                self.assertEqual(self.cuts[0].reason, "takes nothing")

        self.run_guarded(test)

    def test_nothing_is_sent_after_dropped_bytes(self) -> None:
        """Guards against missing bytes within a response: a cut-off handler still runs briefly."""
        refused: list[str] = []
        clients: list[SlowClient] = []

        async def answer(_request: Request, responder: Responder) -> None:
            await wait_until(lambda: bool(clients))
            out = await responder.begin(200, [("transfer-encoding", "chunked")])
            out.put(b"x" * 100_000)
            responder._connection.cut_off("for this test")
            # Now the kernel would accept more bytes.
            read_now(clients[0])
            try:
                out.put(b"behind")
            except DroppedConnectionError as error:
                refused.append(str(error))
                raise

        async def test() -> None:
            serving = self.serve(answer, HeldBounds(200_000, 400_000))
            async with serving as (_, address), self.requesting_clients(address, 1) as [client]:
                clients.append(client)
                await wait_until(lambda: len(refused) == 1 and not self.held.peers)
                data, complete = await client.read_to_end(CHUNKED_END)
                self.assertFalse(complete)
                self.assertNotIn(b"behind", data)

        self.run_guarded(test)

    def test_a_caller_that_reads_costs_no_task_and_no_copy(self) -> None:
        async def answer(_request: Request, responder: Responder) -> None:
            out = await responder.begin(200, [("transfer-encoding", "chunked")])
            for _ in range(50):
                await out.write(b"x" * 200)
                await trio.sleep(0.001)
            await responder.end()

        async def test() -> None:
            patched = mock.patch.object(HttpConnection, "_buffer", side_effect=AssertionError)
            async with self.serve(answer, HeldBounds(1000, 2_000_000)) as (_, address):
                with patched:
                    async with self.requesting_clients(address, 1) as [client]:
                        self.assertTrue((await client.read_to_end(CHUNKED_END))[1])

        self.run_guarded(test)


class SlowSendersTest(SlowCallersCase):
    """Requests whose bodies arrive slowly."""

    def test_memory_for_incomplete_bodies_is_bounded(self) -> None:
        """Callers that are cut off receive "not run"; a caller that continues to send is served."""
        served_bytes: list[int] = []

        async def read_body(request: Request, responder: Responder) -> None:
            served_bytes.append(len(await request.read(10**6)))
            await responder.send(200, b"{}")

        async def test() -> None:
            bounds = HeldBounds(1000, 1_000_000)
            async with self.serve(read_body, bounds) as (_, address):
                sent = {"body": BODY[:200_000], "content_length": str(len(BODY))}
                async with self.requesting_clients(address, 1, **sent) as [steady]:
                    await trio.sleep(0.3)
                    async with self.requesting_clients(address, 9, **sent) as stalled:
                        for at in range(200_000, len(BODY), 67_000):
                            await steady.stream.send_all(BODY[at : at + 67_000])
                            await trio.sleep(0.02)
                            self.assertLessEqual(self.held.total_bytes, bounds.process_bytes)
                        self.assertIn(b" 200 ", (await steady.read_to_end(b"{}"))[0])
                        self.assertEqual(served_bytes, [len(BODY)])
                        self.assertGreaterEqual(len(self.cuts), 5)
                        refused = 0
                        for client in stalled:
                            with trio.move_on_after(0.1):
                                data, _ = await client.read_to_end(b"}}")
                                refused += b" 408 " in data and b'"not_run"' in data
                        self.assertEqual(refused, len(self.cuts))
                await wait_until(lambda: not self.held.peers)

        self.run_guarded(test)

    def test_a_body_in_tiny_parts_needs_little_more_memory_than_its_bytes(self) -> None:
        """Guards against one object for each part, of 40 bytes or more."""

        async def parts():
            for number in range(100_000):
                yield b"%02d" % (number % 100)

        async def test() -> None:
            request = Request("POST", "/", "/", {}, {}, parts())
            tracemalloc.start()
            try:
                body = await request.read(200_000)
                peak_bytes = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            self.assertEqual(len(body), 200_000)
            self.assertLess(peak_bytes, 3 * len(body))

        self.run_guarded(test)


def read_now(client: SlowClient) -> None:
    """Read everything that arrives within 0.1 s, without letting other tasks run."""
    until_s = time.monotonic() + 0.1
    while time.monotonic() < until_s:
        with contextlib.suppress(BlockingIOError):
            os.read(client.stream.socket.fileno(), 65536)


async def read_some(client: SlowClient, size_bytes: int) -> bytes:
    """Read once, for at most 10 ms."""
    with trio.move_on_after(0.01):
        try:
            return await client.stream.receive_some(size_bytes)
        except trio.BrokenResourceError:
            return b""
    return b""


if __name__ == "__main__":
    unittest.main()
