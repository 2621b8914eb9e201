"""What a node remembers of jobs for their readers; listed results never change."""

from collections import OrderedDict

import msgspec

from fescuedock.schema.stored_jobs import ResultGroup, StoredItem, StoredJobRecord, StoredResult

__all__ = ["CachedJob", "JobCache"]


class CachedJob(msgspec.Struct):
    """The first positions of one job, without a gap, and its items once they were read."""

    total: int
    results: list[StoredResult] = msgspec.field(default_factory=list)
    items: dict[str, StoredItem] | None = None
    # How many results there are for good once a client has ended the job; below 0 before.
    listed_at_end: int = -1
    size_bytes: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether no further result can come.

        Of a job that was ended, some that were listed before may still be missing here.
        """
        final = self.total if self.listed_at_end < 0 else self.listed_at_end
        return len(self.results) >= final

    def add(self, group: ResultGroup) -> bool:
        """Take a group; False when positions before it are missing."""
        known = len(self.results)
        if group.first_position > known:
            return False
        fresh = group.results[known - group.first_position :]
        self.results += fresh
        self.size_bytes += sum(len(result.text) for result in fresh)
        return True

    def set_items(self, items: list[StoredItem]) -> None:
        if self.items is None:
            self.items = {item.item_id: item for item in items}
            self.size_bytes += sum(len(item.body) for item in items)

    def page(self, after: int, max_bytes: int) -> list[StoredResult]:
        """Return the results at ``after`` and on: one at least if there is any, few enough."""
        size_bytes = 0
        chosen: list[StoredResult] = []
        for result in self.results[after:]:
            size_bytes += len(result.text)
            if chosen and size_bytes > max_bytes:
                break
            chosen.append(result)
        return chosen


class JobCache:
    """Jobs by identity; the least recently used ones go when they take over ``max_bytes``."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._jobs: OrderedDict[str, CachedJob] = OrderedDict()

    def get(self, job_id: str) -> CachedJob | None:
        job = self._jobs.get(job_id)
        if job is not None:
            self._jobs.move_to_end(job_id)
        return job

    def open(self, record: StoredJobRecord) -> CachedJob:
        """Return the job of ``record``, remembered from now on."""
        job = self._jobs.setdefault(record.job_id, CachedJob(record.total))
        if record.ended:
            job.listed_at_end = record.listed
        self._jobs.move_to_end(record.job_id)
        return job

    def trim(self) -> None:
        """Forget what is over the limit, but for the job used last."""
        total = sum(job.size_bytes for job in self._jobs.values())
        while total > self._max_bytes and len(self._jobs) > 1:
            _, dropped = self._jobs.popitem(last=False)
            total -= dropped.size_bytes
