"""Clients of the soak: online calls on persistent connections, jobs, and configuration polling."""

import itertools
import json
import random
from dataclasses import dataclass, field

import trio

from fescuedock.address import Address
from fescuedock.net.http_client import HttpClient, NotSentError, ResponseLostError
from tests.builders.jobs_calls import job_body
from tests.builders.node import HOST
from tests.soak.harness import NodeProcess, SoakHarness
from tests.soak.promises import CALM_S, NOT_RUN_STATUSES, SETTLE_S, Ledger, OnlineAttempt, SoakJob

__all__ = ["REJECTION_STATUSES", "ConfigWatcher", "JobClient", "OnlineClient", "Reply", "call_node"]

_DEADLINE_MS = 3000
# How long a client waits for an answer; longer than the deadline of its call.
_CLIENT_TIMEOUT_S = 4.0
_ROUTES = (("/check/", False), ("/rights/", True), ("/safe/", False))
# When an accepted submission is sent again: while its items are partly listed, or when finished.
_REPEAT_S = ((0.0, 0.6), (1.0, 9.0))
# Statuses by which a node rejects a valid call, or denies that the job exists.
REJECTION_STATUSES = (400, 401, 404, 409, 410, 413, 422, 431)
_numbers = itertools.count(1)


@dataclass(slots=True)
class Reply:
    """The result of one call; the status is 0 without an answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    sent: bool = True


async def call_node(
    http: HttpClient,
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    *,
    fresh: bool = True,
    timeout_s: float = _CLIENT_TIMEOUT_S,
) -> Reply:
    """Make one call and read as much of its answer as arrives within ``timeout_s``."""
    reply = Reply()
    fields = {"host": HOST, "x-deadline-ms": str(_DEADLINE_MS)}
    # A forged name, which nodes must replace by that of the customer who owns the key.
    fields |= {"authorization": f"Bearer {Ledger.key}", "x-tenant": "forged"} | (headers or {})
    with trio.move_on_after(timeout_s):
        try:
            async with http.request(
                address, method, target, list(fields.items()), body, fresh=fresh
            ) as response:
                reply.status, reply.headers = response.status, dict(response.headers)
                async for part in response.chunks():
                    reply.body += part
                reply.complete = True
        except NotSentError:
            reply.sent = False
        except ResponseLostError:
            reply.complete = False
    return reply


@dataclass(slots=True)
class OnlineClient:
    """Sends one call after another to the same node until a call fails, then changes the node."""

    harness: SoakHarness
    ledger: Ledger
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)

    async def run(self) -> None:
        """Call until cancelled."""
        node = self.rng.choice(self.harness.nodes)
        while True:
            await trio.sleep(self.rng.expovariate(1 / 0.05))
            attempt = await self._call(node)
            if attempt.status != 200 or not attempt.complete:
                node = await self._resolve()

    async def _call(self, node: NodeProcess) -> OnlineAttempt:
        prefix, at_most_once = self.rng.choice(_ROUTES)
        number = next(_numbers)
        attempt = OnlineAttempt(
            f"r-{number}",
            f"{prefix}{number}",
            b"x" * self.rng.randrange(200),
            node.name,
            trio.current_time(),
            at_most_once,
        )
        self.ledger.attempts.append(attempt)
        headers = {"x-request-id": attempt.request_id, "x-model": "m"}
        reply = await call_node(
            self.http, node.front, "POST", attempt.path, attempt.body, headers, fresh=False
        )
        attempt.status, attempt.complete, attempt.answer = reply.status, reply.complete, reply.body
        attempt.seal = reply.headers.get("x-response-seal", "")
        attempt.ended_s = trio.current_time()
        self.ledger.judge_answer(attempt)
        return attempt

    async def _resolve(self) -> NodeProcess:
        """Return a node that accepts work according to the directory of a node, as clients do."""
        node_to_ask = self.rng.choice(self.harness.nodes)
        target = f"/api/resolve?name={HOST}&region=caldas&zone=sala-1"
        reply = await call_node(self.http, node_to_ask.directory, "GET", target)
        if reply.status != 200 or not reply.complete:
            return self.rng.choice(self.harness.nodes)
        addresses = json.loads(reply.body)["addresses"]
        nodes = [node for node in self.harness.nodes if str(node.front) in addresses]
        return self.rng.choice(nodes or self.harness.nodes)


@dataclass(slots=True)
class JobClient:
    """Submits jobs, retrying at other nodes until one accepts them, reads them, and ends a few.

    Accepted submissions are sent again on persistent connections, at times when their job is partly
    listed, finished or ended.
    """

    harness: SoakHarness
    ledger: Ledger
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)
    # Cancelling this stops new submissions; accepted ones are still sent again.
    submit_scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def run(self) -> None:
        """Submit until cancelled; ``read_at_random`` does the reading."""
        async with trio.open_nursery() as repeats:
            with self.submit_scope:
                await self._submit_jobs(repeats)

    async def _submit_jobs(self, repeats: trio.Nursery) -> None:
        while True:
            await trio.sleep(self.rng.expovariate(1 / 0.8))
            number = next(_numbers)
            items = [f"item-{number}-{index}" for index in range(self.rng.randint(1, 6))]
            job = SoakJob(f"job-{number}", items)
            self.ledger.jobs[job.job_id] = job
            await self._submit(job)
            if job.accepted:
                for span_s in _REPEAT_S:
                    repeats.start_soon(self._repeat, job, self.rng.uniform(*span_s))
                if self.rng.random() < 0.15:
                    await self._end(job)

    async def read_at_random(self) -> None:
        """Read random accepted jobs, at random nodes and positions, until cancelled."""
        while True:
            await trio.sleep(0.05)
            jobs = [job for job in self.ledger.jobs.values() if job.accepted]
            if not jobs:
                continue
            job = self.rng.choice(jobs)
            await self.read(job, self.rng.randint(0, len(job.results)))
            if self.rng.random() < 0.3:
                await self._read_body(job)

    async def read(self, job: SoakJob, after: int) -> None:
        """Read a job's results from position ``after`` at a random node, and check them."""
        node = self.rng.choice(self.harness.nodes)
        sent_s = trio.current_time()
        target = f"/api/lots/{job.job_id}?after={after}"
        reply = await call_node(self.http, node.front, "GET", target, headers={"x-wait-ms": "100"})
        if reply.status in (404, 410) and sent_s > job.accepted_s + SETTLE_S:
            self.ledger.violations.append(f"{job.job_id}: {reply.status} at {node.name}")
        if reply.status != 200 or not reply.complete:
            return
        page = json.loads(reply.body)
        results = page["results"]
        known_s = job.listed_s.get(job.results.get(after, ("",))[0], float("inf"))
        was_calm = self.ledger.was_calm(sent_s, trio.current_time())
        if not results and sent_s > known_s + SETTLE_S and was_calm:
            self.ledger.violations.append(
                f"{job.job_id}: nothing at position {after} at {node.name}"
            )
        if page["total"] != len(job.items) or page["nextToken"] != after + len(results):
            self.ledger.violations.append(f"{job.job_id}: a page that does not fit: {page}"[:200])
        for position, item in enumerate(results, start=after):
            problem = job.record_result(position, (item["id"], item["state"], item["text"]))
            if problem:
                self.ledger.violations.append(f"{job.job_id} at {node.name}: {problem}")
            job.listed_s.setdefault(item["id"], trio.current_time())

    async def _read_body(self, job: SoakJob) -> None:
        """Read the body of an unlisted item, which must be available until the job's end."""
        waiting = [item for item in job.items if item not in job.listed_s]
        if not waiting:
            return
        item, node = self.rng.choice(waiting), self.rng.choice(self.harness.nodes)
        sent_s = trio.current_time()
        target = f"/api/items/{job.job_id}?id={item}"
        reply = await call_node(self.http, node.front, "GET", target)
        if reply.status == 200 and reply.complete and reply.body != item.encode():
            self.ledger.violations.append(f"{job.job_id}: another body of {item} at {node.name}")
        if reply.status not in (404, 410) or sent_s < job.accepted_s + SETTLE_S:
            return
        # The item may have been listed unread meanwhile, so all remaining results are read first.
        for _ in range(len(job.items)):
            await self.read(job, len(job.results))
        if item not in job.listed_s and not job.end_requested:
            self.ledger.violations.append(f"{job.job_id}: no body of {item} at {node.name}")

    async def _repeat(self, job: SoakJob, after_s: float) -> None:
        """Send the submission again to a random node."""
        await trio.sleep(after_s)
        node, sent_s = self.rng.choice(self.harness.nodes), trio.current_time()
        headers = {"x-request-id": job.job_id}
        body = job_body(*job.items)
        reply = await call_node(
            self.http, node.front, "POST", "/letters/new", body, headers, fresh=False
        )
        job.calls.append(f"{self.ledger.format_time(sent_s)} POST {node.name}: {reply.status}")
        if reply.status in REJECTION_STATUSES and sent_s > job.accepted_s + SETTLE_S:
            self.ledger.violations.append(f"{job.job_id}: POST {reply.status} at {node.name}")

    async def _submit(self, job: SoakJob) -> None:
        body = job_body(*job.items)
        for _ in range(6):
            node = self.rng.choice(self.harness.nodes)
            headers = {"x-request-id": job.job_id}
            # Set before the call, as this client may be cancelled while it waits for the answer.
            may_be_accepted, job.may_be_accepted = job.may_be_accepted, True
            reply = await call_node(self.http, node.front, "POST", "/letters/new", body, headers)
            if reply.status == 202:
                job.accepted_s = trio.current_time()
                return
            if reply.status in NOT_RUN_STATUSES or not reply.sent:
                job.may_be_accepted = may_be_accepted
            await trio.sleep(self.rng.uniform(0.05, 0.5))

    async def _end(self, job: SoakJob) -> None:
        job.end_requested = True
        for _ in range(20):
            node = self.rng.choice(self.harness.nodes)
            target = f"/api/lots/{job.job_id}"
            reply = await call_node(self.http, node.front, "DELETE", target)
            if reply.status == 200:
                job.ended_s = trio.current_time()
                return
            await trio.sleep(0.2)


@dataclass(slots=True)
class ConfigWatcher:
    """Calls the route of the newest version at every node.

    A node that has served a version must never go back behind it.  Each version adds a route, which
    later versions retain; see ``SoakHarness.configure``.
    """

    harness: SoakHarness
    ledger: Ledger
    http: HttpClient = field(default_factory=HttpClient)
    # The highest version that a process has served, by node and process id.
    _highest_served: dict[tuple[str, int], int] = field(default_factory=dict)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await trio.sleep(0.3)
            for node in self.harness.nodes:
                if node.is_running and not node.paused:
                    await self._poll(node)

    async def _poll(self, node: NodeProcess) -> None:
        version, changed_s = self.harness.config["version"], self.harness.config_changed_s
        process = (node.name, node.process.pid)
        sent_s = trio.current_time()
        served = self._highest_served.get(process, 0)
        for checked_version in sorted({version, served} - {0}):
            status = await self._status(node, checked_version)
            if status == 404 and checked_version <= served:
                self.ledger.violations.append(
                    f"{node.name} went back behind version {checked_version}"
                )
            late = sent_s > changed_s + 2.0 and sent_s > node.disturbed_s + CALM_S
            if status == 404 and late and self.ledger.was_calm(changed_s, trio.current_time()):
                self.ledger.violations.append(
                    f"{node.name} does not follow version {checked_version}"
                )
            if status == 200 and node.process.pid == process[1]:
                self._highest_served[process] = max(
                    self._highest_served.get(process, 0), checked_version
                )

    async def _status(self, node: NodeProcess, version: int) -> int:
        number = next(_numbers)
        path = f"/version-{version}/{number}"
        attempt = OnlineAttempt(f"r-{number}", path, b"", node.name, trio.current_time())
        self.ledger.attempts.append(attempt)
        headers = {"x-request-id": attempt.request_id, "x-model": "m"}
        reply = await call_node(self.http, node.front, "POST", path, headers=headers)
        attempt.status, attempt.complete, attempt.answer = reply.status, reply.complete, reply.body
        return reply.status
