"""Answers that arrive before the request was sent entirely, and how the client judges them."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from fescuedock.address import Address
from fescuedock.net.http_client import HttpClient, ResponseLostError
from tests.builders.early_answers import EarlyServer, End
from tests.builders.standins import open_http, run_async

# More than the kernel takes of a request that its server does not read.
LONG_BODY = bytes(range(256)) * 32_000
# The kernel takes all of it, but not that of a server that does not read it.
BUFFERED_BODY = b"x" * 20_000
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\npart"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwhole"[:-1]
IN_CHUNKS = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nwhol\r\n0\r\n\r\n"


class EarlyAnswerTest(unittest.TestCase):
    def run_client(
        self,
        server: EarlyServer,
        test: Callable[[HttpClient, Address], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery, open_http() as http:
                await test(http, await server.listen(nursery))
                nursery.cancel_scope.cancel()

        run_async(run)

    def check_lost(self, server: EarlyServer, body: bytes = LONG_BODY) -> None:
        async def test(http: HttpClient, address: Address) -> None:
            with self.assertRaises(ResponseLostError) as caught:
                async with http.request(address, "POST", "/", (), body) as response:
                    await response.read()
            self.assertTrue(caught.exception.head_received)
            self.assertFalse(http.has_idle(address))

        self.run_client(server, test)

    def check_whole(self, server: EarlyServer) -> None:
        async def test(http: HttpClient, address: Address) -> None:
            async with http.request(address, "POST", "/", (), LONG_BODY) as response:
                self.assertEqual(await response.read(), b"whol")
            self.assertFalse(http.has_idle(address))

        self.run_client(server, test)

    def test_an_unframed_answer_reset_during_the_upload_is_lost(self) -> None:
        """The write of the request took the report of the reset, and the reads found an end."""
        for pause_s in (0.0, 0.05):
            with self.subTest(pause_s=pause_s):
                self.check_lost(EarlyServer(lambda _: UNFRAMED, End.RESET, pause_s))

    def test_an_unframed_answer_that_ends_during_the_upload_is_lost(self) -> None:
        for body in (LONG_BODY, BUFFERED_BODY):
            for pause_s in (0.0, 0.05):
                with self.subTest(body_bytes=len(body), pause_s=pause_s):
                    self.check_lost(EarlyServer(lambda _: UNFRAMED, End.FIN, pause_s), body)

    def test_an_unframed_answer_after_the_upload_is_whole(self) -> None:
        server = EarlyServer(lambda _: b"", End.READ_AND_CLOSE, final=lambda _: UNFRAMED)

        async def test(http: HttpClient, address: Address) -> None:
            for body in (LONG_BODY, BUFFERED_BODY, b"x"):
                async with http.request(address, "POST", "/", (), body) as response:
                    self.assertEqual(await response.read(), b"part")
                self.assertEqual(server.bodies.pop(), body)

        self.run_client(server, test)

    def test_answers_with_length_and_chunks_reset_during_the_upload_are_whole_or_lost(self) -> None:
        for answer in (WITH_LENGTH, IN_CHUNKS):
            for pause_s in (0.0, 0.05):
                with self.subTest(answer=answer, pause_s=pause_s):
                    self.check_whole(EarlyServer(lambda _, sent=answer: sent, End.RESET, pause_s))
                    half = answer[:-1]
                    self.check_lost(EarlyServer(lambda _, sent=half: sent, End.RESET, pause_s))


if __name__ == "__main__":
    unittest.main()
