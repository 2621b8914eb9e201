"""Releases of upstreams' software under faults, and clients that resume streams elsewhere."""

import re
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import trio

from tests.builders.node import SERVICE
from tests.soak.clients import OnlineClient, call_node
from tests.soak.faults import Schedule
from tests.soak.harness import NodeProcess
from tests.soak.promises import OnlineAttempt

__all__ = ["ReleaseSchedule", "RestartSchedule", "ResumingClient"]

# Versions have no order; a version may be released again.
_VERSIONS = ("v1", "v1.1", "v1.2")
_MAX_ATTEMPTS = 3
_MAX_REPLACED = 3
_MIN_UPSTREAMS = 2
# How late an upstream that restarted under its ID writes its first entry.
_ENTRY_DELAY_S = (0.0, 1.5)
_DISCONNECT_SHARE = 0.5
_CLIENT_TIMEOUT_S = 4.0
# How long a refused client waits before it retries.
_PAUSE_S = 0.15
_NUMBER = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")


@dataclass(slots=True)
class ReleaseSchedule(Schedule):
    """Draws overlapping releases, and faults of upstreams and nodes during them."""

    def _faults(self) -> list[Callable[[], Awaitable[str]]]:
        return [*[self._release] * 3, *[self._crash_at] * 3, self._kill, self._kill_all]

    async def _release(self) -> str:
        """Replace several upstreams one by one; a newer release leaves this one incomplete."""
        self.harness.version = version = self.rng.choice(_VERSIONS)
        count = self.rng.randint(1, _MAX_REPLACED)
        replaced = 0
        for _ in range(count):
            replaced += await self._replace() != ""
            await trio.sleep(self.rng.uniform(0.0, 0.5))
            if self.harness.version != version:
                break
        return f"{replaced} upstreams released at {version}"

    async def _crash_at(self) -> str:
        """Crash an upstream, which restarts with the version of the newest release."""
        item = self._upstream()
        ready = [other for other in self.harness.upstreams_of(SERVICE) if other.registered]
        if len(ready) <= _MIN_UPSTREAMS or item.state != "ready":
            return ""
        item.upstream.crash()
        await trio.sleep(0.5)
        return f"{item.upstream.upstream_id} crashed and came back"


@dataclass(slots=True)
class RestartSchedule(Schedule):
    """Restarts upstreams under their IDs at other software versions; their entries are late."""

    def _faults(self) -> list[Callable[[], Awaitable[str]]]:
        return [self._restart_in_place]

    async def _restart_in_place(self) -> str:
        item = self._upstream()
        if item.state != "ready" or not item.registered or not item.upstream.listener.is_up:
            return ""
        item.registered = False
        version = self.rng.choice(_VERSIONS)
        # Connections to a process that has ended are refused, not accepted and closed.
        item.proxy.take_down()
        await item.upstream.restart(version)
        item.proxy.bring_up()
        await trio.sleep(self.rng.uniform(*_ENTRY_DELAY_S))
        if item.state != "ready" or not item.upstream.listener.is_up:
            return ""
        item.registered = True
        self.harness.register(item)
        return f"{item.upstream.upstream_id} restarted at {version}"


@dataclass(slots=True)
class ResumingClient(OnlineClient):
    """Calls a route whose streams may be resumed, and resumes broken ones at other nodes.

    These are ``resume_at``, or all nodes if there are none.
    """

    prefix: str = "/check/"
    resume_at: Sequence[NodeProcess] = ()
    # When a client that loses its connection to a node disconnects.
    disconnect_after_s: tuple[float, float] = (0.04, 0.2)

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            await trio.sleep(self.rng.expovariate(1 / 0.2))
            await self.stream(self.rng.choice(self.harness.nodes))

    async def stream(self, node: NodeProcess) -> None:
        """Begin one stream at ``node``, and judge it when it is complete or given up."""
        number = self.rng.randrange(10**12)
        path, body = f"{self.prefix}s{number}", b"x" * self.rng.randrange(200)
        attempts: list[OnlineAttempt] = []
        started = None
        while len(attempts) < _MAX_ATTEMPTS:
            attempts.append(
                await self._send_attempt(f"s-{number}-{len(attempts)}", path, body, node, attempts)
            )
            if attempts[-1].complete and attempts[-1].status == 200:
                break
            if started is None and attempts[-1].status == 200 and _last_event(attempts[-1:]) >= 0:
                started = attempts[-1]
            if started is None:
                return
            if attempts[-1].status in (429, 503):
                await trio.sleep(_PAUSE_S)
            node = self.rng.choice(self.resume_at or self.harness.nodes)
        self.ledger.judge_stream(attempts)
        if len(attempts) > 1:
            self.ledger.resumed_streams += 1
            self.ledger.continued_streams += attempts[-1].status == 200

    async def _send_attempt(
        self,
        request_id: str,
        path: str,
        body: bytes,
        node: NodeProcess,
        previous: list[OnlineAttempt],
    ) -> OnlineAttempt:
        attempt = OnlineAttempt(request_id, path, body, node.name, trio.current_time())
        headers = {"x-request-id": request_id, "x-model": "m"}
        started = [item for item in previous if item.status == 200 and _last_event([item]) >= 0]
        if started:
            attempt.first_event = _last_event(previous) + 1
            headers |= {"resumes": started[0].request_id}
            headers |= {"last-event-id": str(attempt.first_event - 1)}
        self.ledger.attempts.append(attempt)
        disconnects = not previous and self.rng.random() < _DISCONNECT_SHARE
        timeout_s = self.rng.uniform(*self.disconnect_after_s) if disconnects else _CLIENT_TIMEOUT_S
        attempt.abandoned = disconnects
        reply = await call_node(
            self.http, node.front, "POST", path, body, headers, timeout_s=timeout_s
        )
        attempt.status, attempt.complete, attempt.answer = reply.status, reply.complete, reply.body
        attempt.seal = reply.headers.get("x-response-seal", "")
        attempt.ended_s = trio.current_time()
        self.ledger.judge_answer(attempt)
        return attempt


def _last_event(attempts: list[OnlineAttempt]) -> int:
    """Return the number of the last complete event in the answers, -1 if there is none."""
    answers = b"".join(item.answer for item in attempts if item.status == 200)
    return max((int(number) for number in _NUMBER.findall(answers)), default=-1)
