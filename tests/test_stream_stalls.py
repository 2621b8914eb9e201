"""A stream that stalls continues at another upstream after the last event its client received."""

import time
import unittest
from dataclasses import dataclass

import trio

from fescuedock.platform.standin.event_upstream import EventUpstream, event_bytes
from tests.builders.node import NodeFleet, config_document, running_fleet
from tests.builders.standins import run_async
from tests.builders.versions import event_numbers

VERSIONS = ("v1", "v1", "v1.1", "v1.1")
# Target for the first event and between events; a node waits for a share of it.
_TARGET_MS = 300
_STALL_MS = 0.6 * _TARGET_MS


@dataclass(slots=True)
class LateUpstream(EventUpstream):
    """Writes a first event late, and then blocks the entire process beyond the stall timeout."""

    wait_ms: float = 0.0

    async def _run(self, request, responder, request_id, body, fault) -> None:
        first = int(request.headers.get("last-event-id", "-1")) + 1
        headers = [("X-Request-Id", request_id), ("X-Response-Seal", "seal")]
        headers += [("content-type", "text/event-stream"), ("transfer-encoding", "chunked")]
        async with responder.stream(200, headers) as out:
            await trio.sleep(self.wait_ms / 1000)
            for number in range(first, self.event_count):
                await out.write(event_bytes(number, request.path, len(body), self.version))
                if self.wait_ms:
                    # The event loop must be blocked.
                    time.sleep((_STALL_MS - self.wait_ms + 30) / 1000)  # noqa: ASYNC251
                    self.wait_ms = 0.0


class StreamStallsTest(unittest.TestCase):
    def test_an_event_received_as_its_upstream_stalls_is_not_lost(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            document = config_document(version=2)
            for route in document["routes"]:
                route |= {"targetLatencyMs": _TARGET_MS, "gapTargetMs": _TARGET_MS}
            fleet.configure(document)
            await trio.sleep(0.5)
            for number in range(8):
                for upstream in fleet.upstreams:
                    upstream.wait_ms = _STALL_MS - 20
                answer = await fleet.call(fleet.nodes[0].front, "POST", f"/check/{number}", b"a")
                self.assertEqual(event_numbers(answer.body), list(range(5)))

        async def run() -> None:
            with trio.fail_after(20):
                async with running_fleet(
                    nodes=3, versions=VERSIONS, upstream_type=LateUpstream
                ) as fleet:
                    await test(fleet)

        run_async(run)
