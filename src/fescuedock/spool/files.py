"""Jobs on the disk of one VM, one file each, removed once the job is in the metadata store.

A file is written once, and replaced atomically if the job is ended before it is stored.

Each file starts with the checksum of its content.  A file that was torn by a loss of power was
never acknowledged, so it is removed.  A whole file that cannot be decoded was written by another
version; it stays, and its job counts as held.
"""

import hashlib
from collections.abc import Iterator
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from fescuedock.core.stored_jobs.submission import is_same_submission
from fescuedock.faults import Fault
from fescuedock.kv import decode_value
from fescuedock.log import log_event
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import SpoolJob
from fescuedock.store.disk import Disk

__all__ = ["SpoolFiles"]

_SUFFIX = ".job"
_TEMPORARY_SUFFIX = ".part"
_DIGEST_BYTES = 32
# This file exists once the machine is to be removed; names of jobs' files end in ``_SUFFIX``.
_EMPTYING_MARKER = "emptying"


class SpoolFiles:
    """The jobs in ``folder``, also held in memory; their total size is at most ``max_bytes``."""

    def __init__(self, disk: Disk, folder: Path, max_bytes: int) -> None:
        self._disk = disk
        self._folder = folder
        self._max_bytes = max_bytes
        self._jobs: dict[str, SpoolJob] = {}
        # Jobs whose file names are not synced: a loss of power may remove them, while a restart
        # of the process still finds them.
        self._unsynced_names: set[str] = set()
        # Ended jobs whose files do not record the end yet, since writing them failed.
        self._unwritten_ends: set[str] = set()
        self._sizes_bytes: dict[str, int] = {}
        # Names of whole files that cannot be decoded.
        self._unreadable: set[str] = set()
        self.is_emptying = False

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def may_hold(self, job_id: str) -> bool:
        """Return whether the job is here, perhaps in a file that cannot be decoded."""
        return job_id in self._jobs or self._path(job_id).name in self._unreadable

    @property
    def pending(self) -> int:
        """Number of jobs that are only here, those in files that cannot be decoded among them."""
        return len(self._jobs) + len(self._unreadable)

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> Iterator[SpoolJob]:
        return iter(tuple(self._jobs.values()))

    def is_ended(self, job_id: str) -> bool:
        """Return whether the job is here and was ended."""
        return job_id in self._jobs and self._jobs[job_id].record.ended

    def open(self) -> None:
        """Load the jobs on the disk; raise ``OSError`` when it cannot be read."""
        self._disk.make_folder(self._folder)
        for status in list(self._disk.list_files(self._folder)):
            path = self._folder / status.name
            if status.name.endswith(_SUFFIX):
                self._read(path)
            elif status.name.endswith(_TEMPORARY_SUFFIX):
                self._disk.remove(path)
            elif status.name == _EMPTYING_MARKER:
                self.is_emptying = True
        # An earlier process may have stopped between renaming a file and syncing the folder.
        self._unsynced_names.update(self._jobs)

    def put(self, job: SpoolJob) -> Result[None, Fault]:
        """Write a job to the disk; after ``Ok`` the job survives a loss of power.

        After ``KV_UNKNOWN`` it may not survive one, but is still stored like any other job if it
        does; after any other fault no copy of it exists here.
        """
        job_id = job.record.job_id
        if self._path(job_id).name in self._unreadable:
            return Err(Fault(ResultCode.KV_UNKNOWN, f"the file of job {job_id} cannot be read"))
        known = self._jobs.get(job_id)
        if known is not None and not is_same_submission(known.record, job.record):
            return Err(Fault(ResultCode.KEY_REUSED, f"job {job_id} exists with other items"))
        if known is not None:
            return self._sync_folder_for(job_id)
        body = msgspec.msgpack.encode(job)
        if sum(self._sizes_bytes.values()) + len(body) > self._max_bytes:
            return Err(Fault(ResultCode.DISK_FULL, f"no room for job {job_id}: {len(body)} bytes"))
        return self._write(job, body)

    def end(self, job_id: str) -> Result[None, Fault]:
        """Record that a job which is here was ended; after ``Ok`` the end survives a loss of power.

        The job's file is replaced atomically.  After a fault the end is known until a restart.
        """
        job = self._jobs[job_id]
        if job.record.ended and job_id not in self._unwritten_ends:
            return self._sync_folder_for(job_id)
        ended = SpoolJob(msgspec.structs.replace(job.record, ended=True), job.items)
        # Even if the file cannot be written, this process stores the job as ended.
        self._jobs[job_id] = ended
        self._unwritten_ends.add(job_id)
        return self._write(ended, msgspec.msgpack.encode(ended))

    def _write(self, job: SpoolJob, body: bytes) -> Result[None, Fault]:
        """Write a job's file, replacing an older one."""
        job_id = job.record.job_id
        path = self._path(job_id)
        temporary = path.with_suffix(_TEMPORARY_SUFFIX)
        try:
            with self._disk.create(temporary) as file:
                file.write(hashlib.sha256(body).digest() + body)
                file.sync()
            self._disk.rename(temporary, path)
        except OSError as error:
            return Err(Fault(ResultCode.STORES_UNAVAILABLE, f"job {job_id} not written: {error}"))
        # Once renamed, the file is found again after a restart, so the job counts as being here.
        self._jobs[job_id] = job
        self._sizes_bytes[job_id] = len(body)
        self._unwritten_ends.discard(job_id)
        self._unsynced_names.add(job_id)
        return self._sync_folder_for(job_id)

    def record_emptying(self) -> Result[None, Fault]:
        """Record that no more jobs are accepted; after ``Ok`` that survives a loss of power."""
        self.is_emptying = True
        try:
            # Written each time: a file left by an earlier process may not be synced yet.
            with self._disk.create(self._folder / _EMPTYING_MARKER) as file:
                file.sync()
            self._disk.sync_folder(self._folder)
        except OSError as error:
            return Err(Fault(ResultCode.STORES_UNAVAILABLE, f"marker not written to disk: {error}"))
        return Ok(None)

    def _sync_folder_for(self, job_id: str) -> Result[None, Fault]:
        """Sync the folder unless the job's name is synced; this makes all jobs' names durable."""
        if job_id not in self._unsynced_names:
            return Ok(None)
        try:
            self._disk.sync_folder(self._folder)
        except OSError as error:
            return Err(Fault(ResultCode.KV_UNKNOWN, f"job {job_id} may be lost: {error}"))
        self._unsynced_names.clear()
        return Ok(None)

    def remove(self, job_id: str) -> None:
        """Remove a job that is in the store.

        The removal is not synced: if a loss of power restores the file, the job is found to be
        stored and is removed again.
        """
        self._jobs.pop(job_id, None)
        self._sizes_bytes.pop(job_id, None)
        self._unsynced_names.discard(job_id)
        self._unwritten_ends.discard(job_id)
        try:
            self._disk.remove(self._path(job_id))
        except OSError as error:
            log_event("spooled_file_stays", job_id=job_id, reason=str(error))

    def _read(self, path: Path) -> None:
        data = self._disk.read(path)
        digest, body = data[:_DIGEST_BYTES], data[_DIGEST_BYTES:]
        if hashlib.sha256(body).digest() != digest:
            log_event("spooled_file_torn", file=path.name, size_bytes=len(data))
            self._disk.remove(path)
            return
        decoded = decode_value(path.name, body, SpoolJob)
        if isinstance(decoded, Err):
            self._unreadable.add(path.name)
            log_event("spooled_file_unreadable", file=path.name, reason=decoded.err_value.message)
            return
        job = decoded.ok_value
        self._jobs[job.record.job_id] = job
        self._sizes_bytes[job.record.job_id] = len(body)

    def _path(self, job_id: str) -> Path:
        # Clients choose job ids, so the ids are hashed to get safe file names.
        return self._folder / (hashlib.sha256(job_id.encode()).hexdigest() + _SUFFIX)
