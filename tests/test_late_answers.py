"""A late answer to an earlier attempt of the same call, which has the same id."""

import unittest

import trio

from fescuedock.address import Address
from fescuedock.net.http_client import HttpClient, unchecked
from fescuedock.node.attempt import send_attempt
from fescuedock.schema.view import UpstreamRecord
from tests.builders.net import LOOPBACK
from tests.builders.permits import upstream_record
from tests.builders.standins import open_http, run_async

CALL = "r-1"


def answer(status: str, request_id: str, field: str) -> bytes:
    head = f"HTTP/1.1 {status}\r\nx-request-id: {request_id}\r\n{field}: 1\r\n"
    return (head + "content-length: 2\r\n\r\nxy").encode()


class LateAnswerTest(unittest.TestCase):
    """An upstream without a free slot rejected a call, and repeated the rejection late.

    By then the call had been sent again with the same id on the same connection.  The late answer
    was matched to the second attempt, which ran: the call counted as not run, and was sent to
    another upstream as well or refused with the promise that it had not run.
    """

    async def serve(self, stream: trio.SocketStream) -> None:
        """Reject the first request; repeat that before the answer to the second one, which runs."""
        refusal = answer("503 Busy", CALL, "x-not-executed")
        received = b""
        for number in range(2):
            while received.count(b"\r\n\r\n") <= number:
                data = await stream.receive_some()
                if not data:
                    return
                received += data
            if number:
                self.ran = True
                await stream.send_all(refusal)
                await trio.sleep(0.05)
            await stream.send_all(answer("200 OK", CALL, "x-response-seal") if number else refusal)
        await trio.sleep_forever()

    async def send(self, http: HttpClient, upstream: UpstreamRecord) -> tuple[int, bool]:
        headers = [("host", "desk.example"), ("x-request-id", CALL)]
        async with send_attempt(
            http, upstream, CALL, "POST", "/x", headers, b"", unchecked
        ) as found:
            await found.response.read()
            return found.head.status, found.head.not_run

    def test_a_second_attempt_ignores_the_answer_to_the_first(self) -> None:
        self.ran = False
        seen: list[tuple[int, bool]] = []

        async def test() -> None:
            async with trio.open_nursery() as nursery, open_http() as http:
                [listener] = await trio.open_tcp_listeners(0, host=LOOPBACK.host)
                nursery.start_soon(trio.serve_listeners, self.serve, [listener])
                address = Address(*listener.socket.getsockname()[:2])
                upstream = upstream_record(address.port)
                for _ in range(2):
                    seen.append(await self.send(http, upstream))
                await trio.sleep(0.1)
                nursery.cancel_scope.cancel()

        run_async(test)
        self.assertEqual(seen[0], (503, True))
        # On another connection it is rejected again, and has not run.
        self.assertEqual(seen[1][1], not self.ran)


if __name__ == "__main__":
    unittest.main()
