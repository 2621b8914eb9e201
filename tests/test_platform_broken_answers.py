"""Answers of the platform's store that broke off or are none: no call takes them as its answer."""

import base64
import json
import unittest
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.faults import Fault
from fescuedock.net.http_client import open_http_client
from fescuedock.platform.store import MetadataStore
from fescuedock.schema.result_codes import ResultCode
from tests.builders.early_answers import NO_STATUSES
from tests.builders.net import LOOPBACK
from tests.builders.standins import run_async

TIMEOUT_MS = 400
KEY = "servers/one"
_ITEM = {"key": KEY, "value": base64.b64encode(b"value").decode(), "revision": 7, "lease": 0}
_READS: dict[str, tuple[Callable[[MetadataStore], Awaitable[Result]], dict]] = {
    "get": (lambda store: store.get(KEY), _ITEM),
    "range": (
        lambda store: store.get_range("servers/"),
        {"items": [_ITEM], "asOf": 7, "truncated": False},
    ),
    "watch": (
        lambda store: store.changes("servers/", 6, 10),
        {"events": [_ITEM | {"removed": False}], "asOf": 7},
    ),
}
_WRITES: dict[str, tuple[Callable[[MetadataStore], Awaitable[Result]], dict]] = {
    "put": (lambda store: store.put_if(KEY, b"value", 6), {"revision": 7}),
    "grant": (lambda store: store.grant_lease(2), {"lease": 3, "ttlMs": 2000}),
    "keep": (lambda store: store.keep_lease(3), {"lease": 3, "ttlMs": 2000}),
}


class BrokenStoreAnswerTest(unittest.TestCase):
    def call(
        self, call: Callable[[MetadataStore], Awaitable[Result]], answer: bytes
    ) -> Result[object, Fault]:
        """Return the result of a call that gets ``answer`` before its connection is closed."""
        results: list[Result[object, Fault]] = []

        async def serve(stream: trio.SocketStream) -> None:
            received = await stream.receive_some()
            while b"\r\n\r\n" not in received:
                received += await stream.receive_some()
            await stream.send_all(answer)
            await stream.aclose()

        async def run() -> None:
            async with trio.open_nursery() as nursery, open_http_client() as http:
                listening = partial(trio.serve_tcp, serve, LOOPBACK.port, host=LOOPBACK.host)
                [listener] = await nursery.start(listening)
                address = Address(*listener.socket.getsockname()[:2])
                results.append(await call(MetadataStore(http, address, TIMEOUT_MS)))
                nursery.cancel_scope.cancel()

        run_async(run)
        return results[0]

    def check(self, make: Callable[[bytes], bytes]) -> None:
        """Check each call with the answer that ``make`` returns for the JSON of a sound one."""
        for calls, code in ((_READS, None), (_WRITES, ResultCode.KV_UNKNOWN)):
            for name, (call, document) in calls.items():
                with self.subTest(call=name):
                    result = self.call(call, make(json.dumps(document).encode()))
                    self.assertIsInstance(result, Err)
                    self.assertIn(
                        result.err_value.code,
                        [code] if code else [ResultCode.KV_UNAVAILABLE, ResultCode.KV_UNKNOWN],
                    )

    def test_the_sound_answers_are_taken(self) -> None:
        for name, (call, document) in (_READS | _WRITES).items():
            with self.subTest(call=name):
                body = json.dumps(document).encode()
                result = self.call(call, b"HTTP/1.1 200 OK\r\n\r\n" + body)
                self.assertIsInstance(result, Ok, result)

    # A key counted as missing, and the other calls ended the node.
    def test_an_answer_that_ends_before_its_first_byte_is_none(self) -> None:
        self.check(lambda _body: b"HTTP/1.1 200 OK\r\n\r\n")

    def test_an_empty_answer_is_none(self) -> None:
        self.check(lambda _body: b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    def test_an_answer_without_framing_that_ends_early_is_none(self) -> None:
        for share in (0.1, 0.5, 0.9):
            with self.subTest(share=share):
                self.check(
                    lambda body, s=share: b"HTTP/1.1 200 OK\r\n\r\n" + body[: int(s * len(body))]
                )
        self.check(lambda body: b"HTTP/1.1 200 OK\r\n\r\n" + body[:-1])

    def test_an_answer_with_a_status_that_is_none_is_none(self) -> None:
        for status in NO_STATUSES:
            with self.subTest(status=status):
                self.check(lambda body, s=status: f"HTTP/1.1 {s}\r\n\r\n".encode() + body)


if __name__ == "__main__":
    unittest.main()
