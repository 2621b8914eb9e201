"""Clients of the soak that end their jobs, and repeat the submission and the end afterwards.

Their jobs are so large and slow that items wait for slots.  A node that misses the end of a job
thus has items left to start by mistake.
"""

import random
from dataclasses import dataclass, field

import trio

from fescuedock.net.http_client import HttpClient
from tests.builders.jobs_calls import job_body
from tests.soak.clients import REJECTION_STATUSES, Reply, call_node
from tests.soak.harness import SLOW_ITEM, NodeProcess, SoakHarness
from tests.soak.promises import NOT_RUN_STATUSES, SETTLE_S, Ledger, SoakJob

__all__ = ["EndingClient"]

_ITEMS = (20, 60)
_PAUSE_S = 0.4
# When jobs are ended after their acceptance: immediately, or while their items run.
_END_AT_ONCE_S = (0.0, 0.1)
_END_LATER_S = (0.5, 4.0)
# When submission and end are sent again after the acknowledged end.
_REPEAT_AT_ONCE_S = (0.0, 0.3)
_REPEAT_LATER_S = (3.0, 8.0)
_SUBMIT_TRIES = 6
_END_TRIES = 30
_RETRY_S = (0.05, 0.5)


@dataclass(slots=True)
class EndingClient:
    """Submits and ends one job after another; repeats run in parallel on persistent connections."""

    name: str
    harness: SoakHarness
    ledger: Ledger
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)
    _jobs: int = 0

    async def run(self) -> None:
        """Submit and end jobs until cancelled."""
        async with trio.open_nursery() as repeats:
            while True:
                await trio.sleep(self.rng.expovariate(1 / _PAUSE_S))
                job = self._new_job()
                await self._submit(job)
                if not job.accepted:
                    continue
                if self.rng.random() < 0.3:
                    repeats.start_soon(self._repeat, job, _REPEAT_AT_ONCE_S)
                await self._end(job)
                for span_s in (_REPEAT_AT_ONCE_S, _REPEAT_LATER_S, _REPEAT_LATER_S):
                    repeats.start_soon(self._repeat, job, span_s)

    def _new_job(self) -> SoakJob:
        self._jobs += 1
        number = f"{self.name}-{self._jobs}"
        items = [f"{SLOW_ITEM}{number}-{index}" for index in range(self.rng.randint(*_ITEMS))]
        job = SoakJob(f"job-{number}", items, will_be_ended=True)
        self.ledger.jobs[job.job_id] = job
        return job

    async def _submit(self, job: SoakJob) -> None:
        for _ in range(_SUBMIT_TRIES):
            node = self.rng.choice(self.harness.nodes)
            may_be_accepted, job.may_be_accepted = job.may_be_accepted, True
            reply = await self._send(job, node)
            if reply.status == 202:
                job.accepted_s, job.owner = trio.current_time(), node.name
                return
            if reply.status in NOT_RUN_STATUSES or not reply.sent:
                job.may_be_accepted = may_be_accepted
            await trio.sleep(self.rng.uniform(*_RETRY_S))

    async def _end(self, job: SoakJob) -> None:
        """End the job after a random delay, or as soon as a fault sets ``end_now``."""
        span_s = _END_AT_ONCE_S if self.rng.random() < 0.4 else _END_LATER_S
        with trio.move_on_after(self.rng.uniform(*span_s)):
            await job.end_now.wait()
        for _ in range(_END_TRIES):
            reply = await self._send_end(job, self.rng.choice(self.harness.nodes))
            if reply.status == 200:
                return
            await trio.sleep(self.rng.uniform(*_RETRY_S))

    async def _repeat(self, job: SoakJob, span_s: tuple[float, float]) -> None:
        """Send the submission again to the job's owner and to a random node, and maybe the end."""
        await trio.sleep(self.rng.uniform(*span_s))
        owner = self.harness.node(job.owner)
        for node in (owner, self.rng.choice(self.harness.nodes)):
            await self._send(job, node)
            # A repeated end is acknowledged like the first one.
            if job.has_ended and self.rng.random() < 0.5:
                await self._send_end(job, self.rng.choice(self.harness.nodes))

    async def _send(self, job: SoakJob, node: NodeProcess) -> Reply:
        return await self._call(job, node, "POST", "/letters/new", job_body(*job.items))

    async def _send_end(self, job: SoakJob, node: NodeProcess) -> Reply:
        job.end_requested = True
        reply = await self._call(job, node, "DELETE", f"/api/lots/{job.job_id}")
        if reply.status == 200:
            # Only the first acknowledgement counts.
            job.ended_s = min(job.ended_s, trio.current_time())
        return reply

    async def _call(
        self, job: SoakJob, node: NodeProcess, method: str, target: str, body: bytes = b""
    ) -> Reply:
        sent_s = trio.current_time()
        headers = {"x-request-id": job.job_id}
        reply = await call_node(self.http, node.front, method, target, body, headers, fresh=False)
        job.calls.append(f"{self.ledger.format_time(sent_s)} {method} {node.name}: {reply.status}")
        if reply.status in REJECTION_STATUSES and sent_s > job.accepted_s + SETTLE_S:
            self.ledger.violations.append(f"{job.job_id}: {method} {reply.status} at {node.name}")
        return reply
