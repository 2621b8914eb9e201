"""Clients of the soak whose only attempt to end a job is never acknowledged.

Their jobs are so long that items are left when such an end starts to count as acknowledged.
"""

import random
from dataclasses import dataclass, field

import trio

from fescuedock.net.http_client import HttpClient
from tests.builders.jobs_calls import job_body
from tests.builders.node import HOST
from tests.soak.clients import call_node
from tests.soak.harness import LONG_ITEM, NodeProcess, SoakHarness
from tests.soak.promises import NOT_RUN_STATUSES, Disturbance, Ledger, SoakJob

__all__ = ["LostEndClient", "lose_ends"]

_ITEMS = 60
_SUBMIT_TRIES = 10
_RETRY_S = 0.2
# The outage during which ends are attempted, as a fraction of the time with faults.  In a run of
# 12 s it is longer than the 3.5 s after which a node refuses; in shorter runs the clients
# disconnect before that.
_OUTAGE_SHARE = 0.35
# Too short for an answer to arrive.
_DISCONNECT_AFTER_S = 0.002
# With less time than this, a call may time out before it is written.
_MIN_TIMEOUT_S = 0.25
_CONNECT_S = 4.0


@dataclass(slots=True)
class LostEndClient:
    """Submits one job, attempts to end it once, and disconnects before that is acknowledged."""

    name: str
    harness: SoakHarness
    ledger: Ledger
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)
    job: SoakJob | None = None

    async def submit(self) -> None:
        """Submit the job, with a few retries until it is accepted."""
        items = [f"{LONG_ITEM}{self.name}-{index}" for index in range(_ITEMS)]
        job = self.job = SoakJob(f"job-{self.name}", items, will_be_ended=True)
        job.end_now.set()
        self.ledger.jobs[job.job_id] = job
        await self._submit(job)

    async def try_end(self, timeout_s: float) -> None:
        """Attempt once to end the job, and record the result."""
        if self.job is not None and self.job.accepted:
            await self._end(self.job, timeout_s)

    async def end_and_leave(self) -> None:
        """Send one complete call to end the job, and close the connection before the answer."""
        job, node = self.job, self.rng.choice(self.harness.nodes)
        if job is None or not job.accepted:
            return
        pid = node.process.pid
        job.end_requested = True
        head = f"host: {HOST}\r\nauthorization: Bearer {Ledger.key}\r\n"
        call = f"DELETE /api/lots/{job.job_id} HTTP/1.1\r\n{head}\r\n"
        sent_s = trio.current_time()
        try:
            with trio.fail_after(_CONNECT_S):
                stream = await trio.open_tcp_stream(node.front.host, node.front.port)
            await stream.send_all(call.encode())
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            return
        await trio.sleep(_DISCONNECT_AFTER_S)
        await trio.aclose_forcefully(stream)
        job.calls.append(f"{self.ledger.format_time(sent_s)} DELETE {node.name}: left")
        self._record_lost_end(job, node, pid)

    async def end_finally(self) -> None:
        """End the job with a normal call, so that its items do not delay those of other jobs."""
        await self.try_end(4.0)

    async def _submit(self, job: SoakJob) -> None:
        for _ in range(_SUBMIT_TRIES):
            node = self.rng.choice(self.harness.nodes)
            may_be_accepted, job.may_be_accepted = job.may_be_accepted, True
            headers = {"x-request-id": job.job_id}
            body = job_body(*job.items)
            reply = await call_node(self.http, node.front, "POST", "/letters/new", body, headers)
            if reply.status == 202:
                job.accepted_s, job.owner = trio.current_time(), node.name
                return
            if reply.status in NOT_RUN_STATUSES or not reply.sent:
                job.may_be_accepted = may_be_accepted
            await trio.sleep(_RETRY_S)

    async def _end(self, job: SoakJob, timeout_s: float) -> None:
        node = self.rng.choice(self.harness.nodes)
        pid = node.process.pid
        job.end_requested = True
        sent_s = trio.current_time()
        target = f"/api/lots/{job.job_id}"
        reply = await call_node(self.http, node.front, "DELETE", target, timeout_s=timeout_s)
        job.calls.append(f"{self.ledger.format_time(sent_s)} DELETE {node.name}: {reply.status}")
        if reply.status == 200:
            job.ended_s = min(job.ended_s, trio.current_time())
        elif reply.sent:
            self._record_lost_end(job, node, pid)

    def _record_lost_end(self, job: SoakJob, node: NodeProcess, pid: int) -> None:
        if node.process.pid != pid:
            # A process that was killed while it handled the call cannot remember the end.
            return
        job.lost_end_s = min(job.lost_end_s, trio.current_time())
        job.lost_end_at = (node.name, pid)


async def lose_ends(
    harness: SoakHarness, ledger: Ledger, clients: list[LostEndClient], fault_s: float
) -> None:
    """Send three ends that are not acknowledged.

    They are sent after the last fault, so that no node is disturbed after it received one.  One is
    sent while the store is down, one meanwhile for a job that the spools are still storing, and one
    by a client that disconnects immediately.
    """
    in_outage, on_disks, leaving = clients
    await in_outage.submit()
    await leaving.submit()
    outage_s = fault_s * _OUTAGE_SHARE
    outage = Disturbance(trio.current_time())
    ledger.disturbances.append(outage)
    harness.store.take_down()
    until_s = trio.current_time() + outage_s
    async with trio.open_nursery() as nursery:
        nursery.start_soon(in_outage.try_end, outage_s)
        await on_disks.submit()
        left_s = until_s - trio.current_time()
        if left_s >= _MIN_TIMEOUT_S:
            await on_disks.try_end(left_s)
        await trio.sleep_until(max(until_s, trio.current_time()))
    harness.store.bring_up()
    outage.ended_s = trio.current_time()
    await leaving.end_and_leave()
