"""Accepts, reads, claims, commits, ends and removes jobs in the key-value service.

Every write is one conditional transaction, so that repeating it is harmless.  A write whose answer
was lost is repeated or read back until its outcome is known.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

import msgspec
from result import Err, Ok, Result

from fescuedock.clock import now_ms
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.core.stored_jobs.ownership import StorePath, is_open
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvStore, KvTransaction, KvTransactions, decode_value
from fescuedock.log import log_event
from fescuedock.pauses import ExponentialBackoff
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import (
    ItemProgress,
    ResultGroup,
    StoredItem,
    StoredJobRecord,
    StoredResult,
)

if TYPE_CHECKING:
    from fescuedock.core.stored_jobs.commit import CommitState

__all__ = ["JobStore", "LoadedJob", "VersionedRecord"]

# Pauses between two tries of a write whose outcome is not known yet.
_FIRST_PAUSE_MS = 30.0
_MAX_PAUSE_MS = 500.0
# Reserved in each value for the framing by MessagePack.
_VALUE_MARGIN_BYTES = 1024
# Limit of the service for one transaction.
_MAX_OPERATIONS = 32
# How long the end of a job that is not stored blocks writes of the job still in flight.
_ENDED_TTL_S = 600
_UNANSWERED_CODES = (ResultCode.KV_UNAVAILABLE, ResultCode.KV_UNKNOWN)


class JobKv(KvStore, KvTransactions, Protocol):
    """The operations of the key-value service that jobs need."""


class VersionedRecord(msgspec.Struct, frozen=True):
    """A job's record and its revision, which the next change must name as its condition."""

    record: StoredJobRecord
    revision: int

    def entry(self, keys: JobKeys) -> KvEntry:
        """Return the record as an entry of the key-value service."""
        key = keys.record(self.record.job_id)
        return KvEntry(key, msgspec.msgpack.encode(self.record), self.revision)


class LoadedJob(msgspec.Struct, frozen=True):
    """All stored data of a job except its record."""

    items: list[StoredItem]
    groups: list[ResultGroup]
    progress: list[ItemProgress]

    @property
    def results(self) -> list[StoredResult]:
        return [result for group in self.groups for result in group.results]


class JobStore:
    """The stored jobs below ``keys``.  ``value_bytes`` is the largest value the service accepts."""

    def __init__(self, kv: JobKv, keys: JobKeys, value_bytes: int) -> None:
        self.keys = keys
        self._kv = kv
        self._part_bytes = value_bytes - _VALUE_MARGIN_BYTES
        self._path = StorePath()

    @property
    def path_lost(self) -> bool:
        """Whether this node's calls have failed for seconds; other nodes may be unaffected."""
        return self._path.is_lost(now_ms())

    @property
    def max_output_bytes(self) -> int:
        """Largest text of a result that can be stored."""
        return self._part_bytes - _VALUE_MARGIN_BYTES

    @property
    def max_group_bytes(self) -> int:
        """Largest total size of the encoded results of one group."""
        return self._part_bytes

    async def accept(
        self, record: StoredJobRecord, items: list[StoredItem], *, after_end: bool = True
    ) -> Result[VersionedRecord, Fault]:
        """Store a new job, or return the record already stored under its identity.

        Runs until the outcome is known; the caller bounds the time, and after a cancellation the
        job may or may not be stored.  ``KV_UNAVAILABLE`` and ``KV_VALUE_TOO_LARGE`` promise that it
        is not, and ``KEY_REUSED`` that a job with other items is stored in its place.

        If a client ended the job before it was stored, the job is stored only if this submission
        is known to be later than the end: ``after_end`` is true, and the answer of the first write
        was not lost.
        """
        # Imported at the first submission, to keep it off the start-up path.
        from fescuedock.core.stored_jobs.submission import is_same_submission

        parts = self._parts(msgspec.msgpack.encode(items))
        record = msgspec.structs.replace(record, spec_parts=len(parts))
        writes = {self.keys.record(record.job_id): msgspec.msgpack.encode(record)}
        for number, part in enumerate(parts):
            writes[self.keys.items(record.job_id, number)] = part
        key, ended_key = self.keys.record(record.job_id), self.keys.ended(record.job_id)
        transaction = KvTransaction({key: 0, ended_key: 0}, writes=writes)
        may_be_stored = False
        pauses = ExponentialBackoff(_FIRST_PAUSE_MS, _MAX_PAUSE_MS)
        while True:
            result = self._record_outcome(await self._kv.transact(transaction))
            if isinstance(result, Ok):
                return Ok(VersionedRecord(record, result.ok_value))
            fault = result.err_value
            if fault.code is ResultCode.KV_CONFLICT:
                found = await self.read_record(record.job_id)
                if isinstance(found, Ok) and found.ok_value is not None:
                    if is_same_submission(found.ok_value.record, record):
                        return Ok(found.ok_value)
                    return Err(Fault(ResultCode.KEY_REUSED, "a job of this id has other items"))
                if isinstance(found, Ok):
                    if may_be_stored or not after_end:
                        # Writes still in flight fail on the same condition.
                        return Err(Fault(ResultCode.KV_UNAVAILABLE, "its client has ended the job"))
                    marker = await self._kv.get(ended_key)
                    if isinstance(marker, Ok) and marker.ok_value is not None:
                        conditions = {key: 0, ended_key: marker.ok_value.mod_revision}
                        transaction = KvTransaction(conditions, writes=writes, removes=[ended_key])
                        continue
                else:
                    # A record exists but cannot be read, so a later refusal proves nothing.
                    may_be_stored = True
            elif fault.code is ResultCode.KV_VALUE_TOO_LARGE:
                # Every try is the same transaction, so no earlier one can have taken effect.
                return result
            elif fault.code is ResultCode.KV_UNKNOWN:
                may_be_stored = True
            elif not may_be_stored:
                return result
            await pauses.wait()

    async def read_record(self, job_id: str) -> Result[VersionedRecord | None, Fault]:
        """Read a job's record; None when the job does not exist."""
        found = self._record_outcome(await self._kv.get(self.keys.record(job_id)))
        if isinstance(found, Err) or found.ok_value is None:
            return found
        return decode_record(found.ok_value)

    async def read_items(self, record: StoredJobRecord) -> Result[list[StoredItem], Fault]:
        """Read a job's items."""
        parts: list[bytes] = []
        for number in range(record.spec_parts):
            found = await self._kv.get(self.keys.items(record.job_id, number))
            if isinstance(found, Err):
                return found
            if found.ok_value is None:
                text = f"part {number} of the items of job {record.job_id} is missing"
                return Err(Fault(ResultCode.KV_UNAVAILABLE, text))
            parts.append(found.ok_value.value)
        return decode_value(self.keys.items(record.job_id, 0), b"".join(parts), list[StoredItem])

    async def read_groups(self, job_id: str, known: int) -> Result[list[ResultGroup], Fault]:
        """Read the groups of results that begin at position ``known`` or later."""
        groups: list[ResultGroup] = []
        start_after = self.keys.group(job_id, known - 1) if known else ""
        while True:
            page = await self._kv.get_range(self.keys.results(job_id), start_after=start_after)
            if isinstance(page, Err):
                return page
            entries = page.ok_value.entries
            for entry in entries:
                group = decode_value(entry.key, entry.value, ResultGroup)
                if isinstance(group, Err):
                    return group
                groups.append(group.ok_value)
            if not page.ok_value.more or not entries:
                return Ok(groups)
            start_after = entries[-1].key

    async def load(self, record: StoredJobRecord) -> Result[LoadedJob, Fault]:
        """Read all stored data of a job."""
        values: dict[str, bytes] = {}
        start_after = ""
        while True:
            page = self._record_outcome(
                await self._kv.get_range(self.keys.data(record.job_id), start_after=start_after)
            )
            if isinstance(page, Err):
                return page
            values |= {entry.key: entry.value for entry in page.ok_value.entries}
            if not page.ok_value.more or not page.ok_value.entries:
                break
            start_after = page.ok_value.entries[-1].key
        return self._assemble(record, values)

    def _assemble(
        self, record: StoredJobRecord, values: dict[str, bytes]
    ) -> Result[LoadedJob, Fault]:
        item_keys = [self.keys.items(record.job_id, part) for part in range(record.spec_parts)]
        missing = [key for key in item_keys if key not in values]
        if missing:
            return Err(Fault(ResultCode.KV_UNAVAILABLE, f"{missing[0]} is missing"))
        item_data = b"".join(values[key] for key in item_keys)
        items = decode_value(item_keys[0], item_data, list[StoredItem])
        if isinstance(items, Err):
            return items
        groups: list[ResultGroup] = []
        for key in sorted(values):
            if key.startswith(self.keys.results(record.job_id)):
                group = decode_value(key, values[key], ResultGroup)
                if isinstance(group, Err):
                    return group
                groups.append(group.ok_value)
        return Ok(LoadedJob(items.ok_value, groups, self._progress(record, values)))

    def _progress(self, record: StoredJobRecord, values: Mapping[str, bytes]) -> list[ItemProgress]:
        """Return the stored progress; it is only a hint, so that one that is unreadable is none."""
        key = self.keys.progress(record.job_id)
        if not values.get(key):
            return []
        progress = decode_value(key, values[key], list[ItemProgress])
        if isinstance(progress, Err):
            log_event(
                "progress_unreadable", job_id=record.job_id, reason=progress.err_value.message
            )
            return []
        return progress.ok_value

    async def commit(
        self, updated: StoredJobRecord, revision: int, group: ResultGroup
    ) -> Result[VersionedRecord, Fault]:
        """Replace a job's record and add ``group``; run until the outcome is known.

        ``KV_CONFLICT`` says that the job was ended, has another owner or other results at that
        position, ``KV_VALUE_TOO_LARGE`` that the group must be smaller; in both cases nothing was
        written.  After a cancellation the commit may or may not be stored.
        """
        key = self.keys.group(updated.job_id, group.first_position)
        value = msgspec.msgpack.encode(group)
        pauses = ExponentialBackoff(_FIRST_PAUSE_MS, _MAX_PAUSE_MS)
        while True:
            result = await self._write(updated, revision, {key: value})
            if isinstance(result, Ok):
                return Ok(VersionedRecord(updated, result.ok_value))
            log_event(
                "job_write_failed",
                job_id=updated.job_id,
                revision=revision,
                first_position=group.first_position,
                listed=updated.listed,
                size_bytes=len(value),
                code=result.err_value.code.name,
                reason=result.err_value.message,
            )
            if result.err_value.code is ResultCode.KV_VALUE_TOO_LARGE:
                return result
            if result.err_value.code is ResultCode.KV_CONFLICT:
                # Imported here: each module loaded at start-up slows every restart of a fleet.
                from fescuedock.core.stored_jobs.commit import CommitState

                found = await self._read_commit(updated, group.first_position, value)
                if isinstance(found, Ok):
                    state, versioned = found.ok_value
                    if state is CommitState.DONE:
                        return Ok(versioned)
                    if state is CommitState.LOST:
                        return result
                    revision = versioned.revision
            await pauses.wait()

    async def _read_commit(
        self, wanted: StoredJobRecord, first_position: int, value: bytes
    ) -> "Result[tuple[CommitState, VersionedRecord | None], Fault]":
        """Read whether a commit that met a conflict is stored, and the current record."""
        from fescuedock.core.stored_jobs.commit import CommitState, check_commit

        found = await self.read_record(wanted.job_id)
        if isinstance(found, Err):
            return found
        versioned = found.ok_value
        state = check_commit(wanted, versioned and versioned.record, first_position)
        if state is CommitState.DONE:
            stored = await self._kv.get(self.keys.group(wanted.job_id, first_position))
            if isinstance(stored, Err):
                return stored
            if stored.ok_value is None or stored.ok_value.value != value:
                state = CommitState.LOST
        return Ok((state, versioned))

    async def swap(
        self, updated: StoredJobRecord, revision: int, progress: list[ItemProgress] | None = None
    ) -> Result[VersionedRecord, Fault]:
        """Try once to replace a job's record; after ``KV_UNKNOWN`` the outcome is open.

        ``progress`` lets the next owner continue started items; as much as fits one value
        is stored.
        """
        extra_writes = {}
        if progress:
            key = self.keys.progress(updated.job_id)
            extra_writes[key] = msgspec.msgpack.encode(self._fit_into_value(progress))
        result = await self._write(updated, revision, extra_writes)
        return result.map(lambda written: VersionedRecord(updated, written))

    async def save_progress(
        self, stored: VersionedRecord, progress: list[ItemProgress]
    ) -> Result[int, Fault]:
        """Write the progress of unfinished items, unless the record has changed since ``stored``.

        Progress is only a hint for the next owner: an older write that arrives late does no harm.
        """
        record = stored.record
        value = msgspec.msgpack.encode(self._fit_into_value(progress))
        return await self._kv.transact(
            KvTransaction(
                {self.keys.record(record.job_id): stored.revision},
                writes={self.keys.progress(record.job_id): value},
            )
        )

    async def end(self, job_id: str) -> Result[VersionedRecord | None, Fault]:
        """End a job for its client and return its record; None when the job does not exist.

        A job whose results are all listed is not changed.  Runs until the service answers; the
        caller bounds the time.
        """
        pauses = ExponentialBackoff(_FIRST_PAUSE_MS, _MAX_PAUSE_MS)
        while True:
            found = await self.read_record(job_id)
            if isinstance(found, Ok):
                versioned = found.ok_value
                if versioned is None or not is_open(versioned.record):
                    return Ok(versioned)
                ended = msgspec.structs.replace(versioned.record, ended=True)
                written = await self._write(ended, versioned.revision, {})
                if isinstance(written, Ok):
                    return Ok(VersionedRecord(ended, written.ok_value))
            await pauses.wait()

    async def mark_ended(self, job_id: str) -> bool:
        """Mark a job that is not stored as ended, so that writes of it still in flight fail.

        Return False when the job has been stored meanwhile, or the service did not answer.
        """
        lease = await self._kv.grant_lease(_ENDED_TTL_S)
        if isinstance(lease, Err):
            return False
        # Written again each time: a submission made after an earlier end names the revision of
        # that end in its condition.
        written = await self._kv.transact(
            KvTransaction(
                {self.keys.record(job_id): 0},
                writes={self.keys.ended(job_id): b""},
                lease_id=lease.ok_value,
            )
        )
        return isinstance(written, Ok)

    async def remove(self, job_id: str) -> Result[None, Fault]:
        """Remove all stored data of a job, its record last."""
        keys: list[str] = []
        start_after = ""
        while True:
            page = await self._kv.get_range(self.keys.data(job_id), start_after=start_after)
            if isinstance(page, Err):
                return page
            keys += [entry.key for entry in page.ok_value.entries]
            if not page.ok_value.more or not page.ok_value.entries:
                break
            start_after = keys[-1]
        keys.append(self.keys.record(job_id))
        for first in range(0, len(keys), _MAX_OPERATIONS):
            removes = keys[first : first + _MAX_OPERATIONS]
            removed = await self._kv.transact(KvTransaction({}, removes=removes))
            if isinstance(removed, Err):
                return removed
        return Ok(None)

    async def _write(
        self, updated: StoredJobRecord, revision: int, extra_writes: Mapping[str, bytes]
    ) -> Result[int, Fault]:
        key = self.keys.record(updated.job_id)
        writes = {key: msgspec.msgpack.encode(updated), **extra_writes}
        return self._record_outcome(
            await self._kv.transact(KvTransaction({key: revision}, writes=writes))
        )

    def _record_outcome(self, result: Result) -> Result:
        """Record whether this node's path to the service worked for a call; return its result."""
        unanswered = isinstance(result, Err) and result.err_value.code in _UNANSWERED_CODES
        self._path.record(answered=not unanswered, now_ms=now_ms())
        return result

    def _fit_into_value(self, progress: list[ItemProgress]) -> list[ItemProgress]:
        """Return the items that fit into one value, preferring those with the most progress."""
        fitting: list[ItemProgress] = []
        size_bytes = 0
        for item in sorted(progress, key=lambda item: -item.last_event):
            size_bytes += len(msgspec.msgpack.encode(item))
            if size_bytes > self._part_bytes:
                break
            fitting.append(item)
        return fitting

    def _parts(self, data: bytes) -> list[bytes]:
        starts = range(0, len(data), self._part_bytes)
        return [data[start : start + self._part_bytes] for start in starts]


def decode_record(entry: KvEntry) -> Result[VersionedRecord, Fault]:
    """Decode the job's record in ``entry``."""
    record = decode_value(entry.key, entry.value, StoredJobRecord)
    if isinstance(record, Err):
        return record
    return Ok(VersionedRecord(record.ok_value, entry.mod_revision))
