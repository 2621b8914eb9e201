"""A second series of faults, which overlaps the first: faults of spools, and frozen nodes.

It has its own random source, so that a seed yields the same first series with or without it.
"""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from tests.soak.faults import Schedule
from tests.soak.harness import SoakProcess
from tests.soak.promises import SoakJob

__all__ = ["OverlapSchedule"]

_FREEZE_S = (1.0, 6.0)
# How long to wait for a newly accepted job, and how soon after that its owner is frozen.
_ACCEPTANCE_S = 2.0
_AT_START_S = 0.15
_POLL_S = 0.005


@dataclass(slots=True)
class OverlapSchedule(Schedule):
    """Draws faults like ``Schedule``, but of other kinds."""

    def _faults(self) -> list[Callable[[], Awaitable[str]]]:
        freezes = [self._freeze_at_end] * 3 + [self._freeze_at_start] * 3
        spools = [self._kill_spool, self._stop_spool, self._freeze_spool, self._slow_disk]
        return [*freezes, *spools, self._cut_spool, *[self._end_in_outage] * 3]

    # --- frozen nodes ----------------------------------------------------------------------------

    async def _freeze_at_end(self) -> str:
        """Have a job ended just before or after its owner, or all nodes but one, are frozen."""
        jobs = [job for job in self.ledger.jobs.values() if job.awaits_end]
        if not jobs:
            return ""
        job = self.rng.choice(jobs)
        frozen = [self.harness.node(job.owner)]
        if self.rng.random() < 0.2:
            frozen = self.rng.sample(self.harness.nodes, k=len(self.harness.nodes) - 1)
        ends_first, gap_s = self.rng.random() < 0.5, self.rng.uniform(0.0, 0.2)
        if ends_first:
            job.end_now.set()
            await trio.sleep(gap_s)
        async with trio.open_nursery() as nursery:
            for node in frozen:
                nursery.start_soon(self._freeze, node, self.rng.uniform(*_FREEZE_S))
            if not ends_first:
                await trio.sleep(gap_s)
                job.end_now.set()
        order = "before" if ends_first else "after"
        names = ", ".join(node.name for node in frozen)
        return f"{job.job_id} ended {gap_s:.2f} s {order} {names} stood still"

    async def _freeze_at_start(self) -> str:
        """Freeze the owner of a newly accepted job, and have the job ended meanwhile."""
        with trio.move_on_after(_ACCEPTANCE_S):
            job = await self._accepted_job()
            await trio.sleep(self.rng.uniform(0.0, _AT_START_S))
            node, frozen_s = self.harness.node(job.owner), self.rng.uniform(*_FREEZE_S)
            with trio.CancelScope(shield=True):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._freeze, node, frozen_s)
                    await trio.sleep(self.rng.uniform(0.0, frozen_s))
                    job.end_now.set()
            return f"{node.name} stood still as {job.job_id} began, ended meanwhile"
        return ""

    async def _accepted_job(self) -> SoakJob:
        """Wait until a job whose client is to end it has been accepted; return that job."""
        started_s = trio.current_time()
        while True:
            for job in reversed(self.ledger.jobs.values()):
                if job.awaits_end and job.accepted_s >= started_s:
                    return job
            await trio.sleep(_POLL_S)

    async def _freeze(self, process: SoakProcess, duration_s: float) -> None:
        if not process.is_running or process.paused:
            return
        process.signal(signal.SIGSTOP)
        await trio.sleep(duration_s)
        process.signal(signal.SIGCONT)

    # --- spools ----------------------------------------------------------------------------------

    def _spool(self) -> SoakProcess:
        return self.rng.choice(self.harness.spools)

    async def _kill_spool(self, spool: SoakProcess | None = None) -> str:
        return await self._end_spool(spool or self._spool(), signal.SIGKILL)

    async def _stop_spool(self) -> str:
        return await self._end_spool(self._spool(), signal.SIGTERM)

    async def _end_spool(self, spool: SoakProcess, number: signal.Signals) -> str:
        if not spool.is_running or spool.paused:
            return ""
        process = spool.process
        spool.signal(number)
        await process.wait()
        await trio.sleep(self.rng.uniform(0.05, 1.5))
        await spool.start()
        return f"{spool.name} ended by {number.name}"

    async def _freeze_spool(self, spool: SoakProcess | None = None) -> str:
        spool = spool or self._spool()
        await self._freeze(spool, self.rng.uniform(0.2, 3.0))
        return f"{spool.name} stood still"

    async def _slow_disk(self, spool: SoakProcess | None = None) -> str:
        """Freeze a spool repeatedly for short times, which has the effect of a slow disk."""
        spool = spool or self._spool()
        until_s = trio.current_time() + self.rng.uniform(1.0, 3.0)
        while trio.current_time() < until_s:
            await self._freeze(spool, self.rng.uniform(0.05, 0.4))
            await trio.sleep(self.rng.uniform(0.01, 0.05))
        return f"the disk of {spool.name} slow"

    async def _cut_spool(self) -> str:
        spool = self._spool()
        spool.store_proxy.refuses = True
        spool.store_proxy.reset_open()
        await trio.sleep(self.rng.uniform(0.3, 4.0))
        spool.store_proxy.refuses = False
        return f"{spool.name} cut off from the store"

    async def _end_in_outage(self) -> str:
        """Have a job ended that spools are storing, while the store is down and spools fail."""
        harms = [self._kill_spool, self._freeze_spool, self._slow_disk]
        chosen = [(self.rng.choice(harms), spool) for spool in self.harness.spools]
        self.harness.store.take_down()
        description = "the store down, no job accepted"
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(_ACCEPTANCE_S):
                job = await self._accepted_job()
                description = f"{job.job_id} accepted in an outage and ended"
                job.end_now.set()
            for harm, spool in self.rng.sample(chosen, k=self.rng.randint(0, len(chosen))):
                nursery.start_soon(harm, spool)
            await trio.sleep(self.rng.uniform(0.0, 2.0))
            self.harness.store.bring_up()
        return description
