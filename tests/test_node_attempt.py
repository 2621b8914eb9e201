"""An attempt that nobody wants any more by the time its permit is used reaches no upstream.

On a kept connection a request is written before anything else can happen, so what was taken back
in the same moment as the permit came must be seen before.
"""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from fescuedock.agent.permit_client import Grant
from fescuedock.core.permits.holder import HeldGrant
from fescuedock.core.stored_jobs.job import ItemEnd, ItemRun
from fescuedock.net.http_client import HttpClient
from fescuedock.node.attempt import send_attempt
from fescuedock.node.item_run import KnownAtBegin, run_item
from fescuedock.platform.standin.event_upstream import EventUpstream
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, WorkClass
from fescuedock.schema.stored_jobs import StoredItem
from fescuedock.schema.view import UpstreamRecord
from tests.builders.forwarding import job_record
from tests.builders.net import LOOPBACK
from tests.builders.permits import ask_for, upstream_record
from tests.builders.standins import open_http, run_async


@asynccontextmanager
async def kept_connection() -> AsyncIterator[tuple[HttpClient, EventUpstream, UpstreamRecord]]:
    """Give an upstream that has run one request, and a client that keeps the connection to it."""
    upstream = EventUpstream("i-1")
    async with trio.open_nursery() as nursery, open_http() as http:
        await nursery.start(upstream.run, LOOPBACK)
        record = upstream_record(upstream.address.port, upstream_id="i-1")
        await send(http, record, "first")
        yield http, upstream, record
        nursery.cancel_scope.cancel()


async def send(http: HttpClient, upstream: UpstreamRecord, request_id: str) -> None:
    headers = [("host", "desk.example"), ("x-request-id", request_id)]
    async with send_attempt(http, upstream, request_id, "POST", "/x", headers, b"") as answer:
        await answer.response.read()


class UnwantedAttemptTest(unittest.TestCase):
    def test_a_call_that_has_ended_is_not_sent(self) -> None:
        async def test() -> None:
            async with kept_connection() as (http, upstream, record):
                with trio.CancelScope() as call:
                    call.cancel()
                    await send(http, record, "late")
                await trio.sleep(0.1)
                self.assertEqual(dict(upstream.runs), {"first": 1})

        run_async(test)

    def test_an_item_whose_permit_or_job_was_taken_back_is_not_sent(self) -> None:
        for taken_back in ("permit", "job", ""):
            with self.subTest(taken_back or "nothing"):
                run_async(lambda taken_back=taken_back: self.run_item(taken_back))

    async def run_item(self, taken_back: str) -> None:
        ended: list[EndedPermit] = []
        item = ItemRun(StoredItem("item", "/x", [], b"", 10))
        grant = Grant(HeldGrant(ask_for(WorkClass.BATCH), 0.0, 0.0), ended.append)
        let_go = trio.Event()
        async with kept_connection() as (http, upstream, record):
            if taken_back == "permit":
                grant.revoked.set()
            if taken_back == "job":
                let_go.set()
            end = await run_item(
                http, job_record(), item, record, grant, let_go, KnownAtBegin(1, 0.0)
            )
            await trio.sleep(0.1)
        [outcome] = [permit.outcome for permit in ended]
        if taken_back:
            self.assertEqual(dict(upstream.runs), {"first": 1})
            self.assertIs(end, ItemEnd.INTERRUPTED)
            self.assertIs(outcome, AttemptOutcome.REVOKED)
        else:
            self.assertEqual(dict(upstream.runs), {"first": 1, "item": 1})
            self.assertIs(end, ItemEnd.WHOLE)
            self.assertIs(outcome, AttemptOutcome.COMPLETED)


if __name__ == "__main__":
    unittest.main()
