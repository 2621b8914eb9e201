"""Determines which software version started a stream, so that no other version continues it.

A client may resume a stream at any node after the node that started it was lost.  There are two
sources for the version.  While upstreams of several versions serve, the node that starts a stream
reports its origin to a few other nodes before the client gets the first event; their later reports
are certain, and their silence proves nothing.  In addition, the key-value service holds a record
for each service with every version at which a stream may have started; a node starts no stream at
a version that is missing from it.  While the record has a single version, that is the version of
a stream whose origin no queried node knows.

Pure: the caller passes the time.
"""

import enum
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from itertools import zip_longest
from typing import Self

import msgspec
from result import Err, Ok, Result

from fescuedock.core.rendezvous import rank_names
from fescuedock.core.work_identity import work_identity
from fescuedock.schema.origins import KnownStream, ServedVersions, StreamOrigin
from fescuedock.schema.view import UpstreamRecord

__all__ = [
    "UNREADABLE",
    "FoundOrigin",
    "KnownBy",
    "OriginMemory",
    "OriginPolicy",
    "RegisteredVersions",
    "Retirement",
    "VersionRecord",
    "decide_origin",
    "rank_holders",
    "stream_key",
    "versions_by_service",
]


# Takes the place of the versions that an unreadable record may have named.
UNREADABLE = "(unreadable)"


class OriginPolicy(msgspec.Struct, frozen=True):
    """Limits of how origins are replicated, queried and retained.

    Each stream is reported to ``notified_nodes`` nodes, the first ones in the order in which
    ``queried_nodes`` are queried later: some of the first may have restarted without their memory
    or may be unreachable.  ``notified_disks`` and ``queried_disks`` bound the same for spools,
    which still know an origin after a power loss.  Origins are retained for ``retention_ms``,
    longer than a client waits for a complete stream, and for at most ``max_origins`` streams: the
    oldest are dropped first, and their streams count as unknown.  A version that has been unlisted
    for ``retire_after_ms`` is marked as leaving in the record of its service, and removed when it
    has been unlisted for as long again: longer than ``retention_ms``, by the time for which a node
    may not know of the mark.
    """

    notified_nodes: int = 2
    queried_nodes: int = 8
    notified_disks: int = 1
    queried_disks: int = 2
    retention_ms: float = 30_000.0
    max_origins: int = 8192
    retire_after_ms: float = 60_000.0


class _KnownOrigin(msgspec.Struct):
    """``origins`` holds two if different ones were recorded for the same stream."""

    origins: tuple[StreamOrigin, ...]
    at_ms: float
    # Whether this node started the stream, and whether other nodes were notified.
    is_own: bool
    is_reported: bool = False


def stream_key(request_id: str, work_id: str) -> str:
    """Return the key of a stream, made of the request id that started it and of its work id.

    A request id sent with other work, or by another customer, gives a key that is not recorded.
    """
    return work_identity(request_id, work_id)


class OriginMemory:
    """The origins that one node knows: of streams it started and of those reported to it."""

    __slots__ = ("_origins", "_policy")

    def __init__(self, policy: OriginPolicy) -> None:
        self._policy = policy
        # Ordered by time, oldest first.
        self._origins: OrderedDict[str, _KnownOrigin] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins)

    def record(
        self, key: str, origin: StreamOrigin, now_ms: float, *, is_own: bool = False
    ) -> None:
        """Record the origin of a stream; conflicting origins make it unknown."""
        self._drop_old(now_ms)
        known = self._origins.pop(key, None)
        updated = _KnownOrigin((origin,), now_ms, is_own)
        if known is not None:
            updated.is_own |= known.is_own
            if origin in known.origins:
                updated.origins = known.origins
                updated.is_reported = known.is_reported
            else:
                updated.origins = (known.origins[0], origin)
        self._origins[key] = updated
        if len(self._origins) > self._policy.max_origins:
            self._origins.popitem(last=False)

    def find(self, key: str, now_ms: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known for certain."""
        recorded = self.recorded(key, now_ms)
        return recorded[0] if len(recorded) == 1 else None

    def recorded(self, key: str, now_ms: float) -> tuple[StreamOrigin, ...]:
        """Return what is known of a stream: no origin, a certain one, or two that conflict."""
        self._drop_old(now_ms)
        known = self._origins.get(key)
        return () if known is None else known.origins

    def mark_reported(self, keys: Iterable[str]) -> None:
        """Record that other nodes hold the origins of these streams as well."""
        for key in keys:
            if key in self._origins:
                self._origins[key].is_reported = True

    def unreported(self, now_ms: float) -> list[KnownStream]:
        """Return the streams that were started here and reported to no other node."""
        return self._select(now_ms, lambda known: known.is_own and not known.is_reported)

    def all_known(self, now_ms: float) -> list[KnownStream]:
        """Return every stream, and one with conflicting origins twice."""
        return self._select(now_ms, lambda _known: True)

    def _select(self, now_ms: float, wanted: Callable[[_KnownOrigin], bool]) -> list[KnownStream]:
        self._drop_old(now_ms)
        return [
            KnownStream(key, origin)
            for key, known in self._origins.items()
            if wanted(known)
            for origin in known.origins
        ]

    def _drop_old(self, now_ms: float) -> None:
        while self._origins:
            key, known = next(iter(self._origins.items()))
            if now_ms - known.at_ms < self._policy.retention_ms:
                return
            del self._origins[key]


def rank_holders(key: str, domains: Mapping[str, str]) -> list[str]:
    """Return nodes in the order in which they are notified and queried about a stream.

    ``domains`` has the failure domain of each node.  Consecutive nodes are in different domains as
    far as possible, so that losing one domain loses only one holder.
    """
    by_domain: dict[str, list[str]] = {}
    for name in rank_names(key, domains):
        by_domain.setdefault(domains[name], []).append(name)
    return [name for row in zip_longest(*by_domain.values()) for name in row if name is not None]


class RegisteredVersions(msgspec.Struct, frozen=True):
    """A service's version record as the key-value service returned it.

    ``software_versions`` is None without one.
    """

    service: str
    software_versions: frozenset[str] | None = None

    @property
    def single(self) -> str | None:
        """The only version at which streams may have started; None if there are several or none."""
        if self.software_versions is None or len(self.software_versions) != 1:
            return None
        [version] = self.software_versions
        return None if version == UNREADABLE else version


class KnownBy(enum.StrEnum):
    """By what the origin of a stream is known."""

    MEMORY = "memory"
    NODES = "nodes"
    SPOOL = "spool"
    RECORD = "record"


class FoundOrigin(StreamOrigin):
    """An origin, by what it is known, and which nodes and spools named it when asked."""

    known_by: KnownBy = KnownBy.MEMORY
    named_by: tuple[str, ...] = ()


def decide_origin(
    reported: Sequence[StreamOrigin], registered: RegisteredVersions | None
) -> Result[StreamOrigin, str]:
    """Return the origin of a stream, or ``Err`` with the reason why it is unknown.

    ``reported`` holds the origins that this node and the queried ones knew.  ``registered`` is the
    record of the only service that may have started the stream, read after the request to resume
    it; None if there are several, or without an answer of the store.
    """
    if any(origin != reported[0] for origin in reported):
        return Err("nodes report different software versions")
    if reported:
        return Ok(reported[0])
    if registered is None:
        return Err("no queried node knows the origin, and no record tells it")
    if registered.single is None:
        return Err("no queried node knows the origin, and several software versions have served")
    return Ok(StreamOrigin(registered.service, registered.single))


def versions_by_service(
    upstreams: Iterable[UpstreamRecord], services: Collection[str]
) -> dict[str, frozenset[str]]:
    """Return the software versions of the listed upstreams, for each of ``services``."""
    found: defaultdict[str, set[str]] = defaultdict(set)
    for item in upstreams:
        if item.service in services:
            found[item.service].add(item.software_version)
    return {service: frozenset(versions) for service, versions in found.items()}


class VersionRecord(msgspec.Struct, frozen=True):
    """The versions in a service's record.

    No stream starts at a version in ``leaving``.  A write that removes one from the record is
    conditional on the revision that has the mark, and may take effect late; so a version that
    returns is written anew without the mark, which makes such a write fail, before streams start.
    """

    software_versions: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()

    @classmethod
    def of(cls, served: ServedVersions) -> Self:
        versions = frozenset(served.software_versions)
        return cls(versions, versions & frozenset(served.leaving))

    @property
    def startable(self) -> frozenset[str]:
        """The versions at which a stream may start."""
        return self.software_versions - self.leaving

    def updated(self, listed: Collection[str], due: Collection[str]) -> Self:
        """Return the record with the ``listed`` versions, and those that are ``due`` retired."""
        due = frozenset(due) - frozenset(listed)
        versions = self.software_versions.union(listed) - (self.leaving & due)
        if not versions:
            return self
        leaving = (self.leaving & versions).difference(listed)
        marked = leaving | (due & versions)
        # The last versions remain, as they will most likely serve again.
        return type(self)(versions, marked if versions - marked else leaving)

    def served(self) -> ServedVersions:
        """Return the record as stored."""
        return ServedVersions(sorted(self.software_versions), sorted(self.leaving))


class Retirement:
    """Tracks since when each version in a service's record has no listed upstream."""

    __slots__ = ("_policy", "_since_ms")

    def __init__(self, policy: OriginPolicy) -> None:
        self._policy = policy
        # By service, version, and whether it is marked as leaving.
        self._since_ms: dict[tuple[str, str, bool], float] = {}

    def due(
        self,
        registered: Mapping[str, VersionRecord],
        listed: Mapping[str, Collection[str]],
        now_ms: float,
        *,
        is_certain: bool,
    ) -> dict[str, Sequence[str]]:
        """Return the versions to mark as leaving, or to remove if they are marked, by service.

        A version that still starts streams anywhere stays.  ``is_certain`` is False while serving
        upstreams may be missing from the list.
        """
        gone = {
            (service, version, version in record.leaving)
            for service, record in registered.items()
            for version in record.software_versions
            if version not in listed.get(service, ())
        }
        if not is_certain:
            gone = set()
        self._since_ms = {item: self._since_ms.get(item, now_ms) for item in gone}
        due: defaultdict[str, list[str]] = defaultdict(list)
        for (service, version, _), since_ms in self._since_ms.items():
            if now_ms - since_ms >= self._policy.retire_after_ms:
                due[service].append(version)
        return dict(due)
