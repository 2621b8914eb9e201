"""Keys of the parts of a stored job in the key-value service."""

from hashlib import blake2b

import msgspec

__all__ = ["JobKeys"]

_JOBS = "live/job/"
_NODES = "live/vm/"
_SPOOLS = "live/spool/"
_CRASHES = "live/crash/"
_VERSIONS = "live/version/"
_ROUTES = "live/route/"
_LIVE = "live/"
_DATA = "data/"
_ENDED = "ended/"
# Longer names of hosts are replaced by a digest, as keys are limited.
_MAX_HOST_BYTES = 100
_HOST_DIGEST_BYTES = 16


class JobKeys(msgspec.Struct, frozen=True):
    """Keys below ``prefix``.

    The small records that every node watches have another prefix than the items and results, which
    only a job's owner and its readers need.
    """

    prefix: str

    @property
    def live(self) -> str:
        """Prefix of all records that every node watches."""
        return self.prefix + _LIVE

    @property
    def nodes(self) -> str:
        return self.prefix + _NODES

    @property
    def spools(self) -> str:
        """Prefix of the VMs that store jobs on disk while the service is unavailable."""
        return self.prefix + _SPOOLS

    @property
    def crashes(self) -> str:
        """Prefix of the reports about crashed upstreams and the work that ran there."""
        return self.prefix + _CRASHES

    @property
    def versions(self) -> str:
        """Prefix of the software versions at which streams of each service may have begun."""
        return self.prefix + _VERSIONS

    def routes(self, host: str) -> str:
        """Return the key of the services at which streams of a host's paths may have begun."""
        if len(host.encode()) > _MAX_HOST_BYTES:
            host = blake2b(host.encode(), digest_size=_HOST_DIGEST_BYTES).hexdigest()
        return f"{self.prefix}{_ROUTES}{host}"

    @property
    def records(self) -> str:
        return self.prefix + _JOBS

    def record(self, job_id: str) -> str:
        return f"{self.records}{job_id}"

    def ended(self, job_id: str) -> str:
        """Return the key that marks a job as ended by a client before the job was stored."""
        return f"{self.prefix}{_ENDED}{job_id}"

    def data(self, job_id: str) -> str:
        """Prefix of a job's items and results."""
        return f"{self.prefix}{_DATA}{job_id}/"

    def items(self, job_id: str, part: int) -> str:
        return f"{self.data(job_id)}items/{part:04d}"

    def progress(self, job_id: str) -> str:
        """Return the key of the progress stored by a node that released the job."""
        return self.data(job_id) + "progress"

    def results(self, job_id: str) -> str:
        """Prefix of a job's results; the keys sort by position."""
        return f"{self.data(job_id)}results/"

    def group(self, job_id: str, first_position: int) -> str:
        return f"{self.results(job_id)}{first_position:08d}"

    def longest_bytes(self, job_id: str) -> int:
        """Return the size of the longest key of a job."""
        return len(self.group(job_id, 0).encode())
