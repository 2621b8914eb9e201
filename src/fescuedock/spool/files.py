"""Jobs on the disk of one VM, each a file that is removed when the job is stored.

A file is written once, and replaced as a whole when the job is ended before it is stored.

A file has the checksum of its content before it.  One that a loss of power has torn was never
acknowledged, so it is dropped.
"""

import hashlib
from collections.abc import Iterator
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from fescuedock.core.stored_jobs.submission import is_same_submission
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import SpoolJob
from fescuedock.store.disk import Disk

__all__ = ["SpoolFiles"]

_SUFFIX = ".job"
_TEMPORARY_SUFFIX = ".part"
_DIGEST_BYTES = 32
# A file that is there once the machine is to be removed; all jobs' names have another suffix.
_EMPTYING_MARKER = "emptying"


class SpoolFiles:
    """The jobs in ``folder``; all are in memory too, up to ``max_bytes`` together."""

    def __init__(self, disk: Disk, folder: Path, max_bytes: int) -> None:
        self._disk = disk
        self._folder = folder
        self._max_bytes = max_bytes
        self._jobs: dict[str, SpoolJob] = {}
        # Those whose names a loss of power may take away; a restart without one finds them.
        self._unsynced_names: set[str] = set()
        # Those whose end is not in their files, as these could not be written.
        self._unwritten_ends: set[str] = set()
        self._sizes_bytes: dict[str, int] = {}
        self.is_emptying = False

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._jobs

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> Iterator[SpoolJob]:
        return iter(tuple(self._jobs.values()))

    def is_ended(self, job_id: str) -> bool:
        """Whether a job that is here was ended."""
        return job_id in self._jobs and self._jobs[job_id].record.ended

    def open(self) -> None:
        """Read what was kept before; ``OSError`` when the disk cannot be read."""
        self._disk.make_folder(self._folder)
        for status in list(self._disk.list_files(self._folder)):
            path = self._folder / status.name
            if status.name.endswith(_SUFFIX):
                self._read(path)
            elif status.name.endswith(_TEMPORARY_SUFFIX):
                self._disk.remove(path)
            elif status.name == _EMPTYING_MARKER:
                self.is_emptying = True
        # A former process may have ended between naming a file and syncing the name.
        self._unsynced_names.update(self._jobs)

    def put(self, job: SpoolJob) -> Result[None, Fault]:
        """Keep a job; when it returns ``Ok`` the job survives a loss of power.

        ``KV_UNKNOWN`` says that it may not, and that it is stored like all others while it is here;
        after any other fault there is no copy of it.
        """
        job_id = job.record.job_id
        known = self._jobs.get(job_id)
        if known is not None and not is_same_submission(known.record, job.record):
            return Err(Fault(ResultCode.KEY_REUSED, f"job {job_id} is here with other items"))
        if known is not None:
            return self._sync_folder_for(job_id)
        body = msgspec.msgpack.encode(job)
        if sum(self._sizes_bytes.values()) + len(body) > self._max_bytes:
            return Err(Fault(ResultCode.DISK_FULL, f"no room for job {job_id}: {len(body)} bytes"))
        return self._write(job, body)

    def end(self, job_id: str) -> Result[None, Fault]:
        """Keep that a job which is here was ended; ``Ok`` when that survives a loss of power.

        The job's file is replaced as a whole.  After a fault the end is known until a restart.
        """
        job = self._jobs[job_id]
        if job.record.ended and job_id not in self._unwritten_ends:
            return self._sync_folder_for(job_id)
        ended = SpoolJob(msgspec.structs.replace(job.record, ended=True), job.items)
        # Whatever becomes of the file, this process stores the job as ended.
        self._jobs[job_id] = ended
        self._unwritten_ends.add(job_id)
        return self._write(ended, msgspec.msgpack.encode(ended))

    def _write(self, job: SpoolJob, body: bytes) -> Result[None, Fault]:
        """Write a job's file, in place of an older one."""
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
        # From its name on the job comes back with a restart, so it counts as being here.
        self._jobs[job_id] = job
        self._sizes_bytes[job_id] = len(body)
        self._unwritten_ends.discard(job_id)
        self._unsynced_names.add(job_id)
        return self._sync_folder_for(job_id)

    def record_emptying(self) -> Result[None, Fault]:
        """Keep that nothing more is to be taken; ``Ok`` when that survives a loss of power."""
        self.is_emptying = True
        try:
            # Each time anew: a file that a former process left may not be on disk yet.
            with self._disk.create(self._folder / _EMPTYING_MARKER) as file:
                file.sync()
            self._disk.sync_folder(self._folder)
        except OSError as error:
            return Err(Fault(ResultCode.STORES_UNAVAILABLE, f"not kept on disk: {error}"))
        return Ok(None)

    def _sync_folder_for(self, job_id: str) -> Result[None, Fault]:
        """Let the job's name survive a loss of power, and with it those of all others."""
        if job_id not in self._unsynced_names:
            return Ok(None)
        try:
            self._disk.sync_folder(self._folder)
        except OSError as error:
            return Err(Fault(ResultCode.KV_UNKNOWN, f"job {job_id} may be lost: {error}"))
        self._unsynced_names.clear()
        return Ok(None)

    def remove(self, job_id: str) -> None:
        """Forget a job that is in the store.

        A name that comes back after a loss of power does no harm: the job is found stored again.
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
        job = msgspec.msgpack.decode(body, type=SpoolJob)
        self._jobs[job.record.job_id] = job
        self._sizes_bytes[job.record.job_id] = len(body)

    def _path(self, job_id: str) -> Path:
        # Clients name jobs, so their names are no file names.
        return self._folder / (hashlib.sha256(job_id.encode()).hexdigest() + _SUFFIX)
