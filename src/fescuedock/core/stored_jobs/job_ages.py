"""How long ago jobs were submitted, by the clock of this process alone.

The record of a job says how old the job was at least when the record was written.  A node adds the
time since it first saw that record, so a job is never taken for older than it is, whatever the
clocks of other VMs show.  It may be taken for younger, by the time that no running node has seen.

Pure: the caller passes the time.
"""

from collections.abc import Iterable, Mapping

import msgspec

from fescuedock.core.stored_jobs.ownership import is_open
from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["JobAges"]


class JobAges(msgspec.Struct):
    """The open jobs in the records that a node knows."""

    # By job, the latest time at which it can have been submitted.
    _submitted_ms: dict[str, float] = msgspec.field(default_factory=dict)

    def observe(self, record: StoredJobRecord, now_ms: float) -> float:
        """Record that a node knows ``record`` now.

        Return the latest time at which the job can have been submitted.
        """
        return self._learn(record.job_id, record.age_ms, now_ms)

    def observe_all(self, records: Iterable[StoredJobRecord], now_ms: float) -> None:
        """Record that a node knows exactly these records now."""
        known: set[str] = set()
        for record in records:
            if is_open(record):
                self.observe(record, now_ms)
                known.add(record.job_id)
        for job_id in self._submitted_ms.keys() - known:
            del self._submitted_ms[job_id]

    def learn(self, ages_ms: Mapping[str, int], now_ms: float) -> None:
        """Record the ages that another node knows, of the jobs that this one knows."""
        for job_id in ages_ms.keys() & self._submitted_ms.keys():
            self._learn(job_id, ages_ms[job_id], now_ms)

    def ages_ms(self, now_ms: float) -> dict[str, int]:
        """Return the age of each open job, or less."""
        return {job_id: int(now_ms - ms) for job_id, ms in self._submitted_ms.items()}

    def with_age(self, record: StoredJobRecord, now_ms: float) -> StoredJobRecord:
        """Return ``record`` with the job's age, to be written now."""
        age_ms = int(now_ms - self.observe(record, now_ms))
        return msgspec.structs.replace(record, age_ms=age_ms)

    def _learn(self, job_id: str, age_ms: float, now_ms: float) -> float:
        submitted_ms = now_ms - max(age_ms, 0)
        known_ms = self._submitted_ms.get(job_id, submitted_ms)
        self._submitted_ms[job_id] = min(known_ms, submitted_ms)
        return self._submitted_ms[job_id]
