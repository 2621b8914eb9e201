"""The jobs of one runner: which of them it claims, and its answers to queries about them."""

import msgspec
import trio
from result import Err, Ok

from fescuedock.address import Address
from fescuedock.batch.context import RunnerContext
from fescuedock.batch.jobs import JobTask, clean_up
from fescuedock.clock import now_ms
from fescuedock.core.batch.job import JobRun
from fescuedock.core.batch.record import decode_record, is_final
from fescuedock.core.batch.takeover import (
    OwnerAnswer,
    RunnerName,
    SilentOwners,
    TakeoverDecision,
    decide_takeover,
    preferred_runner,
)
from fescuedock.core.job_keys import job_key
from fescuedock.log import log_event
from fescuedock.net.channel import ServerPeer
from fescuedock.net.channel_pool import ChannelPool
from fescuedock.schema.batch import JobCheck, JobCheckReply, JobPush, JobRecord
from fescuedock.schema.report import MetricsRequest
from fescuedock.schema.view import Program, VmRecord

__all__ = ["Runner"]

_CHECK_TIMEOUT_MS = 1000
_SILENT_OWNER_RETRY_S = 0.5


class Runner:
    """Claims the jobs that are pushed to it, unless their owners still run them."""

    __slots__ = (
        "_channels",
        "_context",
        "_evaluating",
        "_known_owners",
        "_nursery",
        "_silent_owners",
        "_stopping",
        "_tasks",
    )

    def __init__(
        self, context: RunnerContext, channels: ChannelPool, nursery: trio.Nursery
    ) -> None:
        self._context = context
        self._channels = channels
        self._nursery = nursery
        self._tasks: dict[str, JobTask] = {}
        self._evaluating: set[str] = set()
        # Owners of jobs that run elsewhere, so that a scan needs no call of the key-value service
        # for them.
        self._known_owners: dict[str, str] = {}
        self._silent_owners = SilentOwners()
        self._stopping = False

    async def handle(self, message: msgspec.Struct, _peer: ServerPeer) -> msgspec.Struct | None:
        """Return the reply to a message of an entry, a scanner or another runner, if it has one."""
        match message:
            case JobPush():
                self.push(message)
            case JobCheck():
                task = self._tasks.get(message.job_id)
                running = task is not None and not task.run.over
                return JobCheckReply(running, str(self._context.name))
            case MetricsRequest(totals_only=True):
                return self._context.metrics.totals()
            case MetricsRequest():
                return self._context.metrics.snapshot()
        return None

    def push(self, message: JobPush) -> None:
        """Evaluate the job that ``message`` names; cancel a running job at once if requested."""
        task = self._tasks.get(message.job_id)
        if task is not None:
            task.push(message.cancelled)
        elif not self._stopping and message.job_id not in self._evaluating:
            self._evaluating.add(message.job_id)
            self._nursery.start_soon(self._evaluate, message)

    def find_task(self, job_id: str) -> JobTask | None:
        """Return the task of a job; None when it does not run here."""
        return self._tasks.get(job_id)

    @property
    def tasks(self) -> list[JobTask]:
        return list(self._tasks.values())

    def stop(self) -> None:
        """Claim no more jobs."""
        self._stopping = True

    async def hand_over(self) -> None:
        """Push each of this runner's jobs to the runner that should own it next, and drop it."""
        others = [vm for vm in self._live_runners() if vm.vm_id != self._context.name.vm_id]
        for job_id in list(self._tasks):
            del self._tasks[job_id]
            successor = preferred_runner(job_id, others)
            if successor is not None:
                channel = await self._channels.client(Address(successor.host, successor.batch_port))
                channel.push(JobPush(job_id))

    async def notify_runner(self, job_id: str) -> None:
        """Push an open job to the runner that should own it, which may be this one."""
        chosen = preferred_runner(job_id, self._live_runners())
        if chosen is None or chosen.vm_id == self._context.name.vm_id:
            self.push(JobPush(job_id))
            return
        channel = await self._channels.client(Address(chosen.host, chosen.batch_port))
        channel.push(JobPush(job_id))

    def _live_runners(self) -> list[VmRecord]:
        return self._context.view.live_vms(Program.BATCH)

    async def _evaluate(self, message: JobPush) -> None:
        job_id = message.job_id
        try:
            while not await self._may_claim(message):
                if not self._silent_owners.is_silent(job_id):
                    return
                # The owner may be gone before the view shows it; querying it again needs no call
                # of the key-value service.
                await trio.sleep(_SILENT_OWNER_RETRY_S)
                message = JobPush(job_id)
            self._claim(job_id)
        finally:
            self._evaluating.discard(job_id)

    async def _may_claim(self, message: JobPush) -> bool:
        """Return whether no owner continues the job; clean up if the job is final."""
        job_id = message.job_id
        known = self._known_owners.get(job_id)
        owner_known = known is not None and not message.cancelled
        if owner_known and await self._decide(job_id, known) is TakeoverDecision.LEAVE:
            return False
        record = await self._read_record(job_id)
        # From here on only the record counts; if it cannot be read, the next scan tries again.
        self._silent_owners.clear(job_id)
        if record is None:
            return False
        if is_final(record):
            self._known_owners.pop(job_id, None)
            await clean_up(self._context, job_id)
            return False
        self._known_owners[job_id] = record.owner
        if owner_known and record.owner == known:
            return True
        if await self._decide(job_id, record.owner) is TakeoverDecision.CLAIM:
            return True
        if message.cancelled:
            await self._notify_owner(record.owner, message)
        return False

    async def _decide(self, job_id: str, owner: str) -> TakeoverDecision:
        """Decide whether to claim a job recorded as ``owner``'s, querying the owner if needed."""
        vm = self._context.view.vms.get(RunnerName.parse(owner).vm_id)
        name = self._context.name
        silence_ms = self._context.settings.batch.takeover_silence_ms
        decision = decide_takeover(owner, name, vm, None, 0.0, silence_ms)
        if decision is not TakeoverDecision.QUERY_OWNER:
            return decision
        answer = await self._query_owner(job_id, owner, Address(vm.host, vm.batch_port))
        silent_ms = 0.0
        if answer is OwnerAnswer.SILENT:
            silent_ms = self._silent_owners.record_silence(job_id, now_ms())
        else:
            self._silent_owners.clear(job_id)
        return decide_takeover(owner, name, vm, answer, silent_ms, silence_ms)

    async def _query_owner(self, job_id: str, owner: str, address: Address) -> OwnerAnswer:
        channel = await self._channels.client(address)
        result = await channel.call(JobCheck(job_id), _CHECK_TIMEOUT_MS)
        match result:
            case Ok(JobCheckReply(running=True, owner=name)) if name == owner:
                return OwnerAnswer.RUNNING
            case Ok(JobCheckReply()):
                return OwnerAnswer.NOT_RUNNING
        return OwnerAnswer.SILENT

    async def _notify_owner(self, owner: str, message: JobPush) -> None:
        vm = self._context.view.vms.get(RunnerName.parse(owner).vm_id)
        if vm is not None:
            channel = await self._channels.client(Address(vm.host, vm.batch_port))
            channel.push(message)

    async def _read_record(self, job_id: str) -> JobRecord | None:
        key = job_key(self._context.settings.platform.key_prefix, job_id)
        result = await self._context.kv.get(key)
        if isinstance(result, Err):
            log_event("job_not_read", job_id=job_id, fault=str(result.err_value))
            return None
        return decode_record(result.ok_value.value) if result.ok_value else None

    def _claim(self, job_id: str) -> None:
        if self._stopping or job_id in self._tasks:
            return
        context = self._context
        run = JobRun(
            job_id,
            str(context.name),
            context.settings.batch,
            context.random,
            lambda: context.view.kv_away,
        )
        task = JobTask(context, run)
        self._tasks[job_id] = task
        self._silent_owners.clear(job_id)
        self._nursery.start_soon(self._run_job, task)

    async def _run_job(self, task: JobTask) -> None:
        scheduler = self._context.scheduler
        scheduler.add(task.run)
        try:
            await task.run_to_end()
        finally:
            scheduler.remove(task.run)
            if self._tasks.get(task.run.job_id) is task:
                del self._tasks[task.run.job_id]
        self._known_owners.pop(task.run.job_id, None)
