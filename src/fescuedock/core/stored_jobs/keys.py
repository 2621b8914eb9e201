"""Where the parts of a stored job lie in the key-value service."""

import msgspec

__all__ = ["JobKeys"]

_JOBS = "live/job/"
_NODES = "live/vm/"
_SPOOLS = "live/spool/"
_CRASHES = "live/crash/"
_VERSIONS = "live/version/"
_LIVE = "live/"
_DATA = "data/"
_ENDED = "ended/"


class JobKeys(msgspec.Struct, frozen=True):
    """Keys below ``prefix``.

    What every node follows (small records) is apart from what only a job's owner and its readers
    need (items and results).
    """

    prefix: str

    @property
    def live(self) -> str:
        """Prefix of all that every node follows."""
        return self.prefix + _LIVE

    @property
    def nodes(self) -> str:
        return self.prefix + _NODES

    @property
    def spools(self) -> str:
        """Prefix of the VMs that keep jobs on disk while the service is away."""
        return self.prefix + _SPOOLS

    @property
    def crashes(self) -> str:
        """Prefix of what is known of upstreams that ended, and of what ran there."""
        return self.prefix + _CRASHES

    @property
    def versions(self) -> str:
        """Prefix of the software versions at which streams of each service may have begun."""
        return self.prefix + _VERSIONS

    @property
    def records(self) -> str:
        return self.prefix + _JOBS

    def record(self, job_id: str) -> str:
        return f"{self.records}{job_id}"

    def ended(self, job_id: str) -> str:
        """Return the key that says that a client ended a job which was not stored by then."""
        return f"{self.prefix}{_ENDED}{job_id}"

    def data(self, job_id: str) -> str:
        """Prefix of a job's items and results."""
        return f"{self.prefix}{_DATA}{job_id}/"

    def items(self, job_id: str, part: int) -> str:
        return f"{self.data(job_id)}items/{part:04d}"

    def progress(self, job_id: str) -> str:
        """Return the key of what a node that let go of a job had got to."""
        return self.data(job_id) + "progress"

    def results(self, job_id: str) -> str:
        """Prefix of a job's results, which sort by position."""
        return f"{self.data(job_id)}results/"

    def group(self, job_id: str, first_position: int) -> str:
        return f"{self.results(job_id)}{first_position:08d}"
