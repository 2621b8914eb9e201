"""The names under which jobs and files stand in the key-value service.

Jobs are spread over buckets, so that one range read stays small and buckets can be shared out.
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
# Keys sort by age with the youngest first when they count down from here.
_LAST_SECOND = 9_999_999_999


def bucket_of(job_id: str) -> int:
    """Return the bucket of a job, from 0 to ``BUCKETS - 1``."""
    return blake2b(job_id.encode(), digest_size=1).digest()[0]


def job_prefix(key_prefix: str, bucket: int) -> str:
    """Return what the keys of the records of all jobs of ``bucket`` begin with."""
    return f"{key_prefix}jobs/{bucket:02x}/"


def job_key(key_prefix: str, job_id: str) -> str:
    """Return the key of the job's record."""
    return job_prefix(key_prefix, bucket_of(job_id)) + job_id


def open_jobs_prefix(key_prefix: str) -> str:
    """Return what the keys of the index of open jobs begin with."""
    return f"{key_prefix}open/"


def open_job_key(key_prefix: str, job_id: str) -> str:
    """Return the key that shows the job in the index of open jobs."""
    return f"{open_jobs_prefix(key_prefix)}{bucket_of(job_id):02x}/{job_id}"


def member_jobs_prefix(key_prefix: str) -> str:
    """Return what the keys of the lists of all members' jobs begin with."""
    return f"{key_prefix}member-jobs/"


def member_job_prefix(key_prefix: str, member: str) -> str:
    """Return what the keys of a member's jobs begin with, youngest first."""
    return f"{member_jobs_prefix(key_prefix)}{quote(member, safe='')}/"


def member_job_key(key_prefix: str, member: str, created_at_s: int, job_id: str) -> str:
    """Return the key that lists the job among its member's."""
    age = f"{_LAST_SECOND - created_at_s:010d}"
    return f"{member_job_prefix(key_prefix, member)}{age}-{job_id}"


def member_job_id(key: str) -> str:
    """Return the job that a key of ``member_job_key`` names."""
    return key.rpartition("/")[2].partition("-")[2]


def member_job_created_s(key: str) -> int:
    """Return the time of creation, in Unix seconds, that a key of ``member_job_key`` holds."""
    return _LAST_SECOND - int(key.rpartition("/")[2].partition("-")[0])


def file_prefix(key_prefix: str, member: str = "") -> str:
    """Return what the keys of a member's files begin with, or of all without a ``member``."""
    return f"{key_prefix}files/{quote(member, safe='')}/" if member else f"{key_prefix}files/"


def file_key(key_prefix: str, member: str, file_id: str) -> str:
    """Return the key of a file's record; under another member's name there is nothing."""
    return file_prefix(key_prefix, member) + file_id
