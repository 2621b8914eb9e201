"""Runs the state machine of one job: executes its actions and reports their results to it."""

import trio
from result import Err, Ok

from fescuedock.batch.context import RunnerContext
from fescuedock.clock import now_ms
from fescuedock.core.batch.actions import (
    Action,
    AppendLog,
    CleanUp,
    PutSegment,
    ReadInput,
    ReadLog,
    ReadRecord,
    StopAttempts,
    WriteRecord,
)
from fescuedock.core.batch.job import JobRun, Moment
from fescuedock.core.batch.record import decode_record, encode_record
from fescuedock.core.job_keys import job_key, open_job_key
from fescuedock.core.segments import item_lines
from fescuedock.log import log_event
from fescuedock.schema.result_codes import ResultCode

__all__ = ["JobTask", "clean_up"]

_COALESCE_S = 0.002
_MAX_CLEAN_UP_ATTEMPTS = 5
_CLEAN_UP_PAUSE_S = 0.5


class JobTask:
    """One job that this runner has claimed or is claiming."""

    __slots__ = ("_changed", "_context", "_counted", "attempts", "run")

    def __init__(self, context: RunnerContext, run: JobRun) -> None:
        self.run = run
        # Cancel scopes of the attempts in progress.
        self.attempts: set[trio.CancelScope] = set()
        self._context = context
        self._changed = trio.Event()
        # Whether the job was counted in the metrics.
        self._counted = False

    def wake(self) -> None:
        """Poll the state machine again soon, since something was reported to it."""
        self._changed.set()

    def push(self, cancelled: bool) -> None:
        """Handle a push that names the job; a cancel stops its attempts at once."""
        self.run.on_pushed(cancelled)
        if cancelled:
            self.stop_attempts()
        self.wake()

    async def run_to_end(self) -> None:
        """Run until the job is final or this runner no longer owns it."""
        log_event("job_taken", job_id=self.run.job_id)
        needs_clean_up = False
        async with trio.open_nursery() as nursery:
            while not self.run.over:
                self._changed = trio.Event()
                for action in self.run.poll(self._moment()):
                    if isinstance(action, StopAttempts):
                        self.stop_attempts()
                    elif isinstance(action, CleanUp):
                        needs_clean_up = True
                    else:
                        nursery.start_soon(self._execute, action)
                if self.run.peek(now_ms()) is not None:
                    self._context.notify_work()
                self._count_once(now_ms() >= self.run.deadline_ms)
                if not self.run.over:
                    await self._wait()
            self.stop_attempts()
            nursery.cancel_scope.cancel()
        self._count_once(self.run.completed)
        self._log_end()
        if needs_clean_up:
            await clean_up(self._context, self.run.job_id)

    def stop_attempts(self) -> None:
        """Cancel every attempt of the job in progress."""
        for scope in self.attempts:
            scope.cancel()

    def _count_once(self, due: bool) -> None:
        """Count the job once: when it is complete, or when its deadline passes before that."""
        run = self.run
        if not due or self._counted or not run.epoch:
            return
        self._counted = True
        in_time = run.completed and run.record.finished_at_s <= run.record.deadline_s
        self._context.metrics.record_job(run.record.service, in_time)

    def _moment(self) -> Moment:
        return Moment(now_ms(), self._context.unix_clock())

    async def _wait(self) -> None:
        wake_at_ms = self.run.wake_at_ms(now_ms())
        with trio.move_on_at(wake_at_ms / 1000):
            await self._changed.wait()
        # Results that are reported in quick succession are handled by one poll.
        await trio.sleep(_COALESCE_S)

    def _log_end(self) -> None:
        run = self.run
        record = run.record
        log_event(
            "job_left",
            job_id=run.job_id,
            phase=run.phase.value,
            epoch=run.epoch,
            succeeded=record.succeeded if record else 0,
            failed=record.failed if record else 0,
            reused=run.reused,
        )

    async def _execute(self, action: Action) -> None:
        match action:
            case ReadRecord():
                await self._read_record()
            case WriteRecord():
                await self._write_record(action)
            case ReadLog():
                await self._read_log()
            case AppendLog():
                await self._append_log(action)
            case PutSegment():
                await self._put_segment(action)
            case ReadInput():
                await self._read_input(action)
        self.wake()

    async def _read_record(self) -> None:
        result = await self._context.kv.get(self._key())
        if isinstance(result, Err):
            self.run.on_kv_failed(result.err_value.code, now_ms())
            return
        entry = result.ok_value
        record = decode_record(entry.value) if entry else None
        self.run.on_record(record, entry.mod_revision if entry else 0)

    async def _write_record(self, action: WriteRecord) -> None:
        # The outcome of a write without an answer is resolved by the state machine, which
        # recognizes its own record by the epoch and the items.
        value = encode_record(action.record)
        result = await self._context.kv.put_if(self._key(), value, action.expected_revision)
        if isinstance(result, Ok):
            self.run.on_written(result.ok_value)
        else:
            self.run.on_kv_failed(result.err_value.code, now_ms())

    async def _read_log(self) -> None:
        def on_page(records: list[bytes]) -> None:
            self.run.on_log_page(records, now_ms())
            self.wake()

        result = await self._context.stores.read_log(self.run.job_id, on_page)
        self.run.on_log_end(result.is_ok(), now_ms())

    async def _append_log(self, action: AppendLog) -> None:
        result = await self._context.stores.append_log(self.run.job_id, action.records)
        if isinstance(result, Err):
            log_event("log_not_written", job_id=self.run.job_id, fault=str(result.err_value))
        self.run.on_logged()

    async def _put_segment(self, action: PutSegment) -> None:
        result = await self._context.stores.put_segment(action.body, action.items)
        if isinstance(result, Ok):
            self.run.on_segment(action.number, result.ok_value)
        else:
            log_event("segment_not_written", job_id=self.run.job_id, fault=str(result.err_value))
            self.run.on_segment_failed(action.number, now_ms())

    async def _read_input(self, action: ReadInput) -> None:
        result = await self._context.stores.get_segment(action.ref)
        lines = item_lines(result.ok_value) if isinstance(result, Ok) else []
        if len(lines) != action.ref.items:
            log_event("input_not_read", job_id=self.run.job_id, index=action.index)
            self.run.on_input_failed(now_ms())
            return
        self.run.on_input(action.index, lines, now_ms())

    def _key(self) -> str:
        return job_key(self._context.settings.platform.key_prefix, self.run.job_id)


async def clean_up(context: RunnerContext, job_id: str) -> None:
    """Remove a final job from the index of open jobs and delete its log.

    A step that fails is repeated by the next scan that finds the job in the index.
    """
    await context.stores.drop_log(job_id)
    key = open_job_key(context.settings.platform.key_prefix, job_id)
    for _ in range(_MAX_CLEAN_UP_ATTEMPTS):
        found = await context.kv.get(key)
        if isinstance(found, Ok):
            entry = found.ok_value
            if entry is None:
                return
            deleted = await context.kv.delete_if(key, entry.mod_revision)
            if isinstance(deleted, Ok) or deleted.err_value.code is ResultCode.KV_CONFLICT:
                return
        await trio.sleep(_CLEAN_UP_PAUSE_S)
