"""Deletes the records of old files and finished jobs from the key-value service.

One store does this for all, and it does not matter which: a record is deleted only at the revision
at which it was found to be old.  Segments expire independently on each store.
"""

from collections.abc import AsyncIterator

import msgspec
from result import Err, Ok

from fescuedock.core.batch.record import decode_record, is_final
from fescuedock.core.job_keys import (
    file_prefix,
    job_key,
    member_job_created_s,
    member_job_id,
    member_jobs_prefix,
    open_job_key,
)
from fescuedock.kv import KvEntry, KvStore
from fescuedock.log import log_event
from fescuedock.schema.batch import FileRecord, JobRecord

__all__ = ["RecordRetention"]

_KEYS_PAGE = 1000
_FILES_PAGE = 100


class RecordRetention(msgspec.Struct, frozen=True):
    """Finds and deletes records older than ``retention_s``."""

    kv: KvStore
    key_prefix: str
    retention_s: int

    async def expire(self, now_s: int) -> int:
        """Delete records that are expired at Unix time ``now_s``; return their number.

        Records that cannot be read or deleted now are left to the next run.
        """
        before_s = now_s - self.retention_s
        expired = 0
        async for entry in self._entries(member_jobs_prefix(self.key_prefix), keys_only=True):
            if member_job_created_s(entry.key) < before_s:
                expired += await self._expire_job(entry, before_s)
        async for entry in self._entries(file_prefix(self.key_prefix), keys_only=False):
            created_at_s = msgspec.msgpack.decode(entry.value, type=FileRecord).created_at_s
            if created_at_s < before_s:
                expired += await self._delete(entry.key, entry.mod_revision)
        return expired

    async def _expire_job(self, listed: KvEntry, before_s: int) -> bool:
        job_id = member_job_id(listed.key)
        key = job_key(self.key_prefix, job_id)
        found = await self.kv.get(key)
        if isinstance(found, Err):
            return False
        entry = found.ok_value
        if entry is None:
            await self._delete(listed.key, listed.mod_revision)
            return False
        record = decode_record(entry.value)
        if not is_final(record):
            await self._restore_open_entry(record)
            return False
        if record.finished_at_s >= before_s or not await self._delete(key, entry.mod_revision):
            return False
        await self._delete(listed.key, listed.mod_revision)
        return True

    async def _restore_open_entry(self, record: JobRecord) -> None:
        """Add an old job that is not final to the index of open jobs unless it is listed.

        It is missing if the entry that created its record stopped before the acknowledgement.
        """
        await self.kv.put_if(open_job_key(self.key_prefix, record.job_id), b"", 0)

    async def _delete(self, key: str, revision: int) -> bool:
        return isinstance(await self.kv.delete_if(key, revision), Ok)

    async def _entries(self, prefix: str, *, keys_only: bool) -> AsyncIterator[KvEntry]:
        start_after = ""
        limit = _KEYS_PAGE if keys_only else _FILES_PAGE
        while True:
            page = await self.kv.get_range(
                prefix, start_after=start_after, limit=limit, keys_only=keys_only
            )
            if isinstance(page, Err):
                log_event("retention_stopped", fault=str(page.err_value))
                return
            entries = page.ok_value.entries
            for entry in entries:
                yield entry
            if not page.ok_value.more or not entries:
                return
            start_after = entries[-1].key
