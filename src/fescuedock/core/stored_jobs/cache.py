"""Caches the items and results of jobs for readers; listed results never change."""

import sys
from collections import OrderedDict

import msgspec

from fescuedock.schema.stored_jobs import ResultGroup, StoredItem, StoredJobRecord, StoredResult

__all__ = ["CachedJob", "JobCache", "page_size_bytes"]

# Upper bound of the framing of one result in a page, around its identity and text.
_PAGE_FRAME_BYTES = 64


def page_size_bytes(result: StoredResult) -> int:
    """Return the size of a result in an answer to a reader, including escapes."""
    text_bytes = len(msgspec.json.encode(result.text))
    return text_bytes + len(msgspec.json.encode(result.item_id)) + _PAGE_FRAME_BYTES


class CachedJob(msgspec.Struct):
    """The first results of one job, without a gap, and its items once they have been read."""

    total: int
    results: list[StoredResult] = msgspec.field(default_factory=list)
    items: dict[str, StoredItem] | None = None
    # The final number of results once a client has ended the job; below 0 before that.
    listed_at_end: int = -1
    size_bytes: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether the cache holds all results that the job will ever have.

        For a job that was ended, results listed before the end may still be missing here.
        """
        final = self.total if self.listed_at_end < 0 else self.listed_at_end
        return len(self.results) >= final

    def add(self, group: ResultGroup) -> bool:
        """Append the new results of a group; return False when earlier positions are missing."""
        known = len(self.results)
        if group.first_position > known:
            return False
        fresh = group.results[known - group.first_position :]
        self.results += fresh
        self.size_bytes += sum(sys.getsizeof(result.text) for result in fresh)
        return True

    def set_items(self, items: list[StoredItem]) -> None:
        if self.items is None:
            self.items = {item.item_id: item for item in items}
            self.size_bytes += sum(len(item.body) for item in items)

    def page(self, after: int, max_bytes: int) -> list[StoredResult]:
        """Return results from position ``after`` on, up to ``max_bytes`` encoded, at least one."""
        size_bytes = 0
        chosen: list[StoredResult] = []
        for result in self.results[after:]:
            size_bytes += page_size_bytes(result)
            if chosen and size_bytes > max_bytes:
                break
            chosen.append(result)
        return chosen


class JobCache:
    """Jobs by ``job_id``; evicts the least recently used ones beyond ``max_bytes``."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._jobs: OrderedDict[str, CachedJob] = OrderedDict()

    def get(self, job_id: str) -> CachedJob | None:
        job = self._jobs.get(job_id)
        if job is not None:
            self._jobs.move_to_end(job_id)
        return job

    def open(self, record: StoredJobRecord) -> CachedJob:
        """Return the cached job of ``record``, adding it if needed, as the most recently used."""
        job = self._jobs.setdefault(record.job_id, CachedJob(record.total))
        if record.ended:
            job.listed_at_end = record.listed
        self._jobs.move_to_end(record.job_id)
        return job

    def trim(self) -> None:
        """Evict jobs until the size limit is met; the most recently used job always stays."""
        total = sum(job.size_bytes for job in self._jobs.values())
        while total > self._max_bytes and len(self._jobs) > 1:
            _, dropped = self._jobs.popitem(last=False)
            total -= dropped.size_bytes
