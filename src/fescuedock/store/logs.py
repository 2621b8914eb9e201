"""Append-only logs of result records, one file for each job.

Appends that arrive before a round of fsync starts share that round (group commit), so that there
is one fsync for each file and not one for each call.
"""

import re
from collections.abc import Sequence
from pathlib import Path

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.core.log_frames import HEADER_BYTES, encode_frames, read_frames
from fescuedock.faults import Fault
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.store import LogReply, ReadLog
from fescuedock.store.disk import Disk
from fescuedock.store.segments import Usage

__all__ = ["LogFolder", "is_job_id"]

_SUFFIX = ".log"
_JOB_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,127}")
_SCAN_BYTES = 1048576
_MAX_PAGE_BYTES = 4 * 1048576
# How long a round of fsync waits for further appends before it starts.
_APPEND_WAIT_MS = 2


def is_job_id(text: str) -> bool:
    """Return whether ``text`` is a valid name of a log; no other name is used as a path."""
    return _JOB_ID.fullmatch(text) is not None


class _Log(msgspec.Struct):
    """One log of ``size_bytes``, of which the first ``synced_bytes`` survive a loss of power."""

    size_bytes: int
    synced_bytes: int


class _SyncRound:
    """One round of fsync; the appends that wait for it read which logs failed."""

    __slots__ = ("done", "failed", "jobs")

    def __init__(self) -> None:
        self.jobs: set[str] = set()
        self.failed: dict[str, OSError] = {}
        self.done = trio.Event()


class LogFolder:
    """The logs under one folder.  Appends are acknowledged only while ``run`` is running."""

    __slots__ = ("_disk", "_folder", "_folder_unsynced", "_logs", "_round", "_usage", "_wake")

    def __init__(self, disk: Disk, folder: Path, usage: Usage) -> None:
        self._disk = disk
        self._folder = folder / "logs"
        self._usage = usage
        self._logs: dict[str, _Log] = {}
        self._round = _SyncRound()
        self._wake = trio.Event()
        self._folder_unsynced = False

    def open(self) -> None:
        """Create the folder, index the logs and truncate a torn last write of each."""
        self._disk.make_folder(self._folder)
        for file in list(self._disk.list_files(self._folder)):
            job_id = file.name.removesuffix(_SUFFIX)
            if file.name.endswith(_SUFFIX) and is_job_id(job_id):
                self._recover(job_id, file.size_bytes)
        self._disk.sync_folder(self._folder)
        self._disk.sync_folder(self._folder.parent)

    async def append(self, job_id: str, records: Sequence[bytes]) -> Result[None, Fault]:
        """Append all of ``records`` or none; return once they survive a loss of power."""
        if not is_job_id(job_id):
            return Err(Fault(ResultCode.BAD_REQUEST, f"not a job identity: {job_id!r}"))
        data = encode_frames(records)
        if not self._usage.has_room(len(data)):
            text = f"no room for {len(data)} bytes, {self._usage.free_bytes} are free"
            return Err(Fault(ResultCode.DISK_FULL, text))
        try:
            self._write(job_id, data)
        except OSError as error:
            # A part may be written; records appended after it would be unreadable.
            self._truncate(job_id, self._logs[job_id].size_bytes)
            return Err(Fault(ResultCode.DISK_FULL, f"the disk refused: {error}"))
        return await self._wait_synced(job_id)

    def read(self, request: ReadLog) -> LogReply:
        """Return complete records, at least one if any, from an offset that a reply gave."""
        log = self._logs.get(request.job_id)
        offset = request.offset_bytes
        if log is None or offset >= log.size_bytes:
            return LogReply(next_offset_bytes=offset)
        path = self._path(request.job_id)
        limit = min(request.limit_bytes, _MAX_PAGE_BYTES, log.size_bytes - offset)
        frames = read_frames(self._disk.read(path, offset, max(limit, HEADER_BYTES)))
        if not frames.records and frames.needed_bytes:
            frames = read_frames(self._disk.read(path, offset, frames.needed_bytes))
        next_offset = offset + frames.size_bytes
        return LogReply(records=frames.records, next_offset_bytes=next_offset)

    def drop(self, job_id: str) -> None:
        """Delete the log if it exists."""
        log = self._logs.pop(job_id, None)
        if log is not None:
            self._disk.remove(self._path(job_id))
            self._usage.subtract(log.size_bytes)

    def drop_older(self, before_s: int) -> int:
        """Delete the logs last written before ``before_s``; return how many."""
        names = [f"{job_id}{_SUFFIX}" for job_id in self._logs]
        found = [self._disk.status(self._folder / name) for name in names]
        old = [file.name for file in found if file is not None and file.modified_s < before_s]
        for name in old:
            self.drop(name.removesuffix(_SUFFIX))
        return len(old)

    async def run(self) -> None:
        """Make appends durable, round by round, until cancelled."""
        while True:
            await self._wake.wait()
            await trio.sleep(_APPEND_WAIT_MS / 1000)
            self._wake = trio.Event()
            finished, self._round = self._round, _SyncRound()
            for job_id in finished.jobs:
                self._sync(job_id, finished)
                # Lets other tasks of the store run between two fsyncs.
                await trio.lowlevel.checkpoint()
            finished.done.set()

    def _write(self, job_id: str, data: bytes) -> None:
        if job_id not in self._logs:
            self._logs[job_id] = _Log(0, 0)
            self._usage.add(0)
            self._folder_unsynced = True
        with self._disk.append(self._path(job_id)) as file:
            file.write(data)
        self._logs[job_id].size_bytes += len(data)
        self._usage.used_bytes += len(data)

    async def _wait_synced(self, job_id: str) -> Result[None, Fault]:
        sync_round = self._round
        sync_round.jobs.add(job_id)
        self._wake.set()
        await sync_round.done.wait()
        error = sync_round.failed.get(job_id)
        if error is None:
            return Ok(None)
        return Err(Fault(ResultCode.STORES_UNAVAILABLE, f"the disk refused: {error}"))

    def _sync(self, job_id: str, finished: _SyncRound) -> None:
        log = self._logs.get(job_id)
        if log is None:
            # The log was deleted meanwhile, so its records are not needed.
            return
        try:
            with self._disk.append(self._path(job_id)) as file:
                file.sync()
            if self._folder_unsynced:
                self._disk.sync_folder(self._folder)
                self._folder_unsynced = False
        except OSError as error:
            # After a failed fsync it is unknown what is on disk, and a later fsync may succeed
            # without writing the lost data.
            finished.failed[job_id] = error
            self._fail_pending(job_id, error)
            self._truncate(job_id, log.synced_bytes)
            return
        log.synced_bytes = log.size_bytes

    def _truncate(self, job_id: str, size_bytes: int) -> None:
        """Truncate the log to ``size_bytes``; a log that cannot be truncated is deleted."""
        log = self._logs[job_id]
        try:
            with self._disk.append(self._path(job_id)) as file:
                file.truncate(size_bytes)
        except OSError as error:
            self._fail_pending(job_id, error)
            self.drop(job_id)
            return
        self._usage.used_bytes -= log.size_bytes - size_bytes
        log.size_bytes = size_bytes

    def _fail_pending(self, job_id: str, error: OSError) -> None:
        """Fail the appends whose records were just truncated."""
        if job_id in self._round.jobs:
            self._round.failed[job_id] = error

    def _recover(self, job_id: str, size_bytes: int) -> None:
        valid_bytes = self._valid_bytes(job_id, size_bytes)
        with self._disk.append(self._path(job_id)) as file:
            if valid_bytes < size_bytes:
                file.truncate(valid_bytes)
            file.sync()
        self._logs[job_id] = _Log(valid_bytes, valid_bytes)
        self._usage.add(valid_bytes)

    def _valid_bytes(self, job_id: str, size_bytes: int) -> int:
        """Return where the last complete record ends, reading chunks of bounded size."""
        offset = 0
        limit = _SCAN_BYTES
        while True:
            frames = read_frames(self._disk.read(self._path(job_id), offset, limit))
            offset += frames.size_bytes
            if frames.records:
                limit = _SCAN_BYTES
            elif limit < frames.needed_bytes <= size_bytes - offset:
                limit = frames.needed_bytes
            else:
                return offset

    def _path(self, job_id: str) -> Path:
        return self._folder / f"{job_id}{_SUFFIX}"
