"""Keys of jobs and files in the key-value service.

Jobs are spread over buckets, so that a range read is small and buckets can be divided among VMs.
"""

from hashlib import blake2b
from urllib.parse import quote

__all__ = [
    "BUCKETS",
    "bucket_of",
    "file_key",
    "file_prefix",
    "job_key",
    "job_prefix",
    "member_job_created_s",
    "member_job_id",
    "member_job_key",
    "member_job_prefix",
    "member_jobs_prefix",
    "open_job_key",
    "open_jobs_prefix",
]

BUCKETS = 256
# Keys contain this minus the time of creation, so that the newest job sorts first.
_LAST_SECOND = 9_999_999_999


def bucket_of(job_id: str) -> int:
    """Return the bucket of a job, from 0 to ``BUCKETS - 1``."""
    return blake2b(job_id.encode(), digest_size=1).digest()[0]


def job_prefix(key_prefix: str, bucket: int) -> str:
    """Return the prefix of the keys of all job records in ``bucket``."""
    return f"{key_prefix}jobs/{bucket:02x}/"


def job_key(key_prefix: str, job_id: str) -> str:
    """Return the key of the job's record."""
    return job_prefix(key_prefix, bucket_of(job_id)) + job_id


def open_jobs_prefix(key_prefix: str) -> str:
    """Return the prefix of the keys of the index of open jobs."""
    return f"{key_prefix}open/"


def open_job_key(key_prefix: str, job_id: str) -> str:
    """Return the key of the job in the index of open jobs."""
    return f"{open_jobs_prefix(key_prefix)}{bucket_of(job_id):02x}/{job_id}"


def member_jobs_prefix(key_prefix: str) -> str:
    """Return the prefix of the keys of all members' job lists."""
    return f"{key_prefix}member-jobs/"


def member_job_prefix(key_prefix: str, member: str) -> str:
    """Return the prefix of the keys of a member's job list, which sorts by age, newest first."""
    return f"{member_jobs_prefix(key_prefix)}{quote(member, safe='')}/"


def member_job_key(key_prefix: str, member: str, created_at_s: int, job_id: str) -> str:
    """Return the key of the job in its member's job list."""
    age = f"{_LAST_SECOND - created_at_s:010d}"
    return f"{member_job_prefix(key_prefix, member)}{age}-{job_id}"


def member_job_id(key: str) -> str:
    """Return the job id in a key of ``member_job_key``."""
    return key.rpartition("/")[2].partition("-")[2]


def member_job_created_s(key: str) -> int:
    """Return the time of creation, in Unix seconds, in a key of ``member_job_key``."""
    return _LAST_SECOND - int(key.rpartition("/")[2].partition("-")[0])


def file_prefix(key_prefix: str, member: str = "") -> str:
    """Return the prefix of the keys of a member's files, or of all files without ``member``."""
    return f"{key_prefix}files/{quote(member, safe='')}/" if member else f"{key_prefix}files/"


def file_key(key_prefix: str, member: str, file_id: str) -> str:
    """Return the key of a file's record, which contains the owning member."""
    return file_prefix(key_prefix, member) + file_id
