"""Answers of the platform's store with numbers that are out of range."""

import json
import unittest

import trio
from result import Result

from fescuedock.net.http_client import open_http_client
from fescuedock.platform.store import MetadataStore
from tests.builders.net import RawServer
from tests.builders.standins import run_async


class ForeignStoreAnswerTest(unittest.TestCase):
    """A revision that no message holds ended nodes as they told each other of it."""

    def read(self, body: bytes) -> Result:
        results: list[Result] = []

        async def run() -> None:
            server = RawServer(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
            async with trio.open_nursery() as nursery, open_http_client() as http:
                address = await nursery.start(server.run)
                store = MetadataStore(http, address, 400)
                results.append(await store.get_range("servers/"))
                nursery.cancel_scope.cancel()

        run_async(run)
        return results[0]

    def test_revisions_out_of_range_are_no_answer(self) -> None:
        item = {"key": "k", "value": "", "revision": 1, "lease": 0}
        page = {"items": [item], "truncated": False, "asOf": 1}
        self.assertTrue(self.read(json.dumps(page).encode()).is_ok())
        for odd in (10**30, -1, 2**63):
            for document in (page | {"asOf": odd}, page | {"items": [item | {"revision": odd}]}):
                with self.subTest(odd=odd):
                    self.assertTrue(self.read(json.dumps(document).encode()).is_err())

    def test_an_answer_that_is_nested_too_deeply_is_none(self) -> None:
        self.assertTrue(self.read(b'{"items":' + b"[" * 100_000).is_err())


if __name__ == "__main__":
    unittest.main()
