"""Golden session of the platform's calls at a complete node: online, streams, jobs, directory."""

import unittest

import trio

from fescuedock.address import Address
from tests.builders.golden import check_golden
from tests.builders.jobs_calls import JOB, job_body
from tests.builders.node import HOST, NodeFleet, running_fleet
from tests.builders.standins import run_async

# Recorded headers of answers; the others belong to the transport or differ between runs.
_SHOWN_HEADERS = ("content-type", "retry-after", "x-request-id", "x-response-seal")


class PlatformSession:
    """Records calls to one node and their answers."""

    def __init__(self, fleet: NodeFleet) -> None:
        self.fleet = fleet
        self.steps: list[dict] = []

    async def send(
        self,
        title: str,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        **headers: str,
    ) -> None:
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        answer = await self.fleet.call(address, method, target, body, fields)
        shown = {name: answer.headers[name] for name in _SHOWN_HEADERS if name in answer.headers}
        self.steps.append(
            {
                "step": title,
                "request": {"method": method, "target": target, "headers": fields},
                "response": {
                    "status": answer.status,
                    "headers": shown,
                    "whole": answer.complete,
                    "body": answer.body.decode(),
                },
            }
        )


async def play(session: PlatformSession, fleet: NodeFleet) -> None:
    """Send one call of each kind that a client of the platform makes."""
    node = fleet.nodes[0]
    front = node.front
    send = session.send
    await send("ready", node.ready, "GET", "/api/ready")
    target = f"/api/resolve?name={HOST}&region=caldas&zone=sala-1"
    await send("directory", node.directory, "GET", target)
    stream = {"x_request_id": "r-stream", "x_model": "m", "x_deadline_ms": "3000"}
    await send("resumable stream", front, "POST", "/check/7", b"case", **stream)
    stream = {"x_request_id": "r-rest", "last_event_id": "2"}
    await send("stream from an event on", front, "POST", "/check/8", b"case", **stream)
    await send("stream that runs once", front, "POST", "/rights/1", b"case", x_request_id="r-o")
    await send("failure passed on", front, "POST", "/rights/bad", b"", x_request_id="r-bad")
    await send("no route", front, "POST", "/nowhere/1", b"", x_request_id="r-none")
    await send("body too long", front, "POST", "/check/9", bytes(200_000), x_request_id="r-l")
    await send("job", front, "POST", "/letters/new", job_body("a"), x_request_id=JOB)
    await send("job again", front, "POST", "/letters/new", job_body("a"), x_request_id=JOB)
    await send("body of an item", front, "GET", f"/api/items/{JOB}?id=a")
    await trio.sleep(1.0)
    await send("first result", front, "GET", f"/api/lots/{JOB}?after=0", x_wait_ms="1000")
    await send("past the end", front, "GET", f"/api/lots/{JOB}?after=1")
    await send("end", front, "DELETE", f"/api/lots/{JOB}")
    await send("end again", front, "DELETE", f"/api/lots/{JOB}")
    await send("no such job", front, "GET", "/api/lots/none?after=0")
    await send("job without items", front, "POST", "/letters/new", b"{}", x_request_id="j-2")
    fleet.register(fleet.upstreams[0], state="draining")
    await trio.sleep(0.5)
    await send("no upstream", front, "POST", "/check/10", b"case", x_request_id="r-full")


class PlatformSessionTest(unittest.TestCase):
    def test_the_session_is_as_recorded(self) -> None:
        steps: list[dict] = []

        async def run() -> None:
            async with running_fleet(nodes=1, upstreams=1) as fleet:
                [upstream] = fleet.upstreams
                upstream.failing.add("/rights/bad")
                session = PlatformSession(fleet)
                await play(session, fleet)
                steps.extend(session.steps)

        run_async(run)
        check_golden(self, "platform", steps)


if __name__ == "__main__":
    unittest.main()
