"""An upstream of the users' platform as a stand-in: numbered events, with faults on command."""

from collections import Counter
from dataclasses import dataclass, field

import trio

from fescuedock.address import Address
from fescuedock.net.http_server import DroppedConnectionError, Request, Responder
from fescuedock.standin.listener import Listener

__all__ = ["EventUpstream", "UpstreamFault"]

_MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclass(slots=True)
class UpstreamFault:
    """What goes wrong with the next requests; each switch is used up by one of them."""

    # Answer without running the request.
    reject: int = 0
    # Run it, and answer with this status.
    fail_status: int = 0
    # Break off after so many events; below 0 for never.
    cut_after: int = -1
    # Go silent after so many events; below 0 for never.
    hang_after: int = -1
    # Answer with a success that bears no seal.
    unsealed: bool = False
    # Run it to the end and close without an answer.
    lose: bool = False


@dataclass(slots=True)
class EventUpstream:
    """One upstream.  ``runs`` counts by request identity; ``seen`` has the headers of each run."""

    upstream_id: str
    event_count: int = 5
    event_interval_ms: float = 1.0
    faults: list[UpstreamFault] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    seen: list[dict[str, str]] = field(default_factory=list)
    # Identity and trio's time in seconds of each run that began.
    started: list[tuple[str, float]] = field(default_factory=list)
    # Paths that always fail, and those that can never be done.
    failing: set[str] = field(default_factory=set)
    impossible: set[str] = field(default_factory=set)
    running: int = 0
    listener: Listener = field(init=False)

    def __post_init__(self) -> None:
        self.listener = Listener(self.handle)

    @property
    def address(self) -> Address:
        return self.listener.address

    async def run(
        self, address: Address, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the real ``Address``."""
        await self.listener.run(address, task_status=task_status)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Run one request and stream its events."""
        body = await request.read(_MAX_BODY_BYTES)
        if request.path == "/health":
            await responder.send(200, b"{}", [("X-Instance-Id", self.upstream_id)])
            return
        expected = request.headers.get("x-expect-instance", self.upstream_id)
        if expected != self.upstream_id:
            await responder.send(421, b"{}", [("X-Instance-Id", self.upstream_id)])
            return
        fault = self.faults.pop(0) if self.faults else UpstreamFault()
        request_id = request.headers.get("x-request-id", "")
        if fault.reject:
            await responder.send(503, b"", [("X-Not-Executed", "1")])
            return
        self.runs[request_id] += 1
        self.seen.append(dict(request.headers))
        self.started.append((request_id, trio.current_time()))
        self.running += 1
        try:
            await self._run(request, responder, request_id, body, fault)
        finally:
            self.running -= 1

    async def _run(
        self,
        request: Request,
        responder: Responder,
        request_id: str,
        body: bytes,
        fault: UpstreamFault,
    ) -> None:
        headers = [("X-Request-Id", request_id)]
        if not fault.unsealed:
            headers.append(("X-Response-Seal", f"seal.{self.upstream_id}.{request_id}"))
        status = fault.fail_status
        if request.path in self.failing:
            status = 500
        if request.path in self.impossible:
            status = 422
        if status:
            await responder.send(status, b"it failed", headers)
            return
        if fault.lose:
            raise DroppedConnectionError("lost on command")
        first = int(request.headers.get("last-event-id", "-1")) + 1
        headers.append(("content-type", "text/event-stream"))
        headers.append(("transfer-encoding", "chunked"))
        async with responder.stream(200, headers) as out:
            for number in range(first, self.event_count):
                if number == fault.cut_after:
                    await out.write(b"id: %d\ndata: ha" % number)
                    raise DroppedConnectionError("cut on command")
                if number == fault.hang_after:
                    await trio.sleep_forever()
                await trio.sleep(self.event_interval_ms / 1000)
                await out.write(event_bytes(number, request.path, len(body)))


def event_bytes(number: int, path: str, body_bytes: int) -> bytes:
    """Return the event that every upstream makes of a request."""
    return f"id: {number}\ndata: {path} {body_bytes} {number}\n\n".encode()
