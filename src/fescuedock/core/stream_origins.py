"""Determines which software version started a stream, so that no other version continues it.

A client may resume a stream at any node after the node that started it was lost.  There are two
sources for the version.  While streams of a route may start at several services or versions, the
node that starts one reports its origin to a few other nodes before the client gets the first event;
their later reports are certain, and their silence proves nothing.

In addition, the key-value service holds records of where streams may have started: for each service
its software versions, and for each host the services by path prefix, as a change of routes moves
paths to other services.  A node starts no stream at a service or version that is missing from them.
While they name a single service and version, that is the origin of a stream which no queried node
knows.  Only records that the key-value service returned after the client's request prove this: a
copy may lack what another node has added since, however new it is.

Pure: the caller passes the time.
"""

import enum
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from itertools import zip_longest
from types import MappingProxyType
from typing import Self

import msgspec
from result import Err, Ok, Result

from fescuedock.core.forwarding.route_table import RouteKind, RouteTable, host_name
from fescuedock.core.rendezvous import rank_names
from fescuedock.core.work_identity import work_identity
from fescuedock.schema.origins import KnownStream, RoutedPrefix, RoutedServices, StreamOrigin
from fescuedock.schema.view import UpstreamRecord

__all__ = [
    "UNREADABLE",
    "FoundOrigin",
    "KnownBy",
    "OriginMemory",
    "OriginPolicy",
    "RegisteredStarts",
    "Retirement",
    "RouteRecord",
    "StartRecord",
    "decide_origin",
    "rank_holders",
    "routed_services",
    "stream_key",
    "stream_prefixes",
    "versions_by_service",
]


# Takes the place of the versions that an unreadable record may have named.
UNREADABLE = "(unreadable)"
_ROOT = "/"


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

    @property
    def max_copy_age_ms(self) -> float:
        """How old a copy may be by which a stream starts that no other process knows.

        What the copy names may be marked as leaving by then, but not removed before the stream's
        origin has expired.
        """
        return self.retire_after_ms - self.retention_ms


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


class RegisteredStarts(msgspec.Struct, frozen=True):
    """Where streams of a path may have started, as the key-value service has recorded it.

    ``services`` holds those of the path, ``software_versions`` those of ``service``; each is empty
    without a record.
    """

    service: str
    services: frozenset[str] = frozenset()
    software_versions: frozenset[str] = frozenset()

    def origin(self) -> Result[StreamOrigin, str]:
        """Return the only possible origin, or ``Err`` with the reason why there may be others."""
        if self.services != {self.service}:
            return Err("several services may have started it")
        if len(self.software_versions) != 1:
            return Err("several software versions have served")
        [version] = self.software_versions
        if version == UNREADABLE:
            return Err("the record of the service could not be read")
        return Ok(StreamOrigin(self.service, version))


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
    reported: Sequence[StreamOrigin], registered: RegisteredStarts | None
) -> Result[StreamOrigin, str]:
    """Return the origin of a stream, or ``Err`` with the reason why it is unknown.

    ``reported`` holds the origins that this node and the queried ones knew.  ``registered`` is what
    the key-value service returned after the request to resume the stream; None without an answer.
    """
    if any(origin != reported[0] for origin in reported):
        return Err("nodes report different software versions")
    if reported:
        return Ok(reported[0])
    if registered is None:
        return Err("no queried node knows the origin, and the store does not answer")
    return registered.origin().map_err(
        lambda reason: f"no queried node knows the origin, and {reason}"
    )


def stream_prefixes(table: RouteTable) -> dict[str, set[str]]:
    """Return the path prefixes of routes with streams, by host name."""
    found: dict[str, set[str]] = {}
    for route in table.routes:
        if route.kind is RouteKind.STREAM:
            found.setdefault(host_name(route.host), set()).add(route.prefix)
    return found


def routed_services(
    table: RouteTable, host: str, prefixes: Iterable[str]
) -> dict[str, frozenset[str]]:
    """Return the services at which streams start, for each of ``prefixes``."""
    routes = {prefix: table.find(host, prefix) for prefix in prefixes}
    return {
        prefix: route.drawn_services if route and route.kind is RouteKind.STREAM else frozenset()
        for prefix, route in routes.items()
    }


def _prefixes_of(path: str) -> Iterable[str]:
    """Yield the prefixes of ``path`` that end with a slash, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)


def versions_by_service(
    upstreams: Iterable[UpstreamRecord], services: Collection[str]
) -> dict[str, frozenset[str]]:
    """Return the software versions of the listed upstreams, for each of ``services``."""
    found: defaultdict[str, set[str]] = defaultdict(set)
    for item in upstreams:
        if item.service in services:
            found[item.service].add(item.software_version)
    return {service: frozenset(versions) for service, versions in found.items()}


class StartRecord(msgspec.Struct, frozen=True):
    """The services or software versions at which streams may have started.

    No stream starts at a name in ``leaving``.  A write that removes one from the record is
    conditional on the revision that has the mark, and may take effect late; so a name that returns
    is written anew without the mark, which makes such a write fail, before streams start.
    """

    names: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()

    @classmethod
    def of(cls, names: Iterable[str], leaving: Iterable[str]) -> Self:
        names = frozenset(names)
        return cls(names, names.intersection(leaving))

    @property
    def startable(self) -> frozenset[str]:
        """The names at which a stream may start."""
        return self.names - self.leaving

    def updated(self, listed: Collection[str], due: Collection[str]) -> Self:
        """Return the record with the ``listed`` names, and those that are ``due`` retired."""
        due = frozenset(due) - frozenset(listed)
        names = self.names.union(listed) - (self.leaving & due)
        leaving = (self.leaving & names).difference(listed)
        return type(self)(names, leaving | (due & names))

    def updated_versions(self, listed: Collection[str], due: Collection[str]) -> Self:
        """Return the ``updated`` record of a service's versions.

        The last versions remain startable, as they will most likely serve again.
        """
        updated = self.updated(listed, due)
        if not updated.names:
            return self
        if updated.startable:
            return updated
        return type(self)(updated.names, (self.leaving & updated.names).difference(listed))


class RouteRecord(msgspec.Struct, frozen=True):
    """The services at which streams of a host's paths may have started, by path prefix.

    The longest prefix of a path applies to it.  A change of routes may move a path to another
    service, or add or remove a route for a part of another one's paths; a stream that started
    before still belongs to its former service.
    """

    prefixes: Mapping[str, StartRecord] = msgspec.field(default_factory=dict)

    @classmethod
    def of(cls, routed: RoutedServices) -> Self:
        return cls(
            {item.prefix: StartRecord.of(item.services, item.leaving) for item in routed.prefixes}
        )

    @classmethod
    def unreadable(cls) -> Self:
        """Return what takes the place of a record that cannot be read."""
        return cls({_ROOT: StartRecord(frozenset((UNREADABLE,)))})

    def at(self, path: str) -> StartRecord:
        """Return the services at which streams of ``path`` may have started."""
        for prefix in _prefixes_of(path):
            if prefix in self.prefixes:
                return self.prefixes[prefix]
        return StartRecord()

    def updated(
        self,
        routed: Mapping[str, Collection[str]],
        due: Mapping[str, Collection[str]],
        configured: Collection[str],
    ) -> Self:
        """Return the record with the ``routed`` services, and those that are ``due`` retired.

        ``routed`` has the services of all prefixes in this record and of the ``configured`` ones.
        A prefix that is not in this record starts with the services of the one that applied.
        """
        kept: dict[str, StartRecord] = {}
        for prefix, services in sorted(routed.items()):
            item = self.at(prefix).updated(services, due.get(prefix, ()))
            outer = next((kept[name] for name in _prefixes_of(prefix) if name in kept), None)
            # A prefix whose services wait to be removed keeps its own time for that.
            is_redundant = item == outer and not item.leaving and prefix not in configured
            if item.names and not is_redundant:
                kept[prefix] = item
        return type(self)(kept)

    def served(self) -> RoutedServices:
        """Return the record as stored."""
        return RoutedServices(
            [
                RoutedPrefix(prefix, sorted(item.names), sorted(item.leaving))
                for prefix, item in sorted(self.prefixes.items())
            ]
        )


class Retirement:
    """Tracks since when each name in a record is not listed any more."""

    __slots__ = ("_policy", "_since_ms")

    def __init__(self, policy: OriginPolicy) -> None:
        self._policy = policy
        # By record, name, and the record's revision if the name is marked as leaving, else -1: it
        # may have returned and been marked again unseen.
        self._since_ms: dict[tuple[str, str, int], float] = {}

    def due(
        self,
        registered: Mapping[str, StartRecord],
        listed: Mapping[str, Collection[str]],
        now_ms: float,
        *,
        is_certain: bool,
        revisions: Mapping[str, int] = MappingProxyType({}),
    ) -> dict[str, Sequence[str]]:
        """Return the names to mark as leaving, or to remove if they are marked, by record.

        A name at which streams still start anywhere stays.  ``is_certain`` is False while listed
        names may be missing from ``listed``.
        """
        gone = {
            (key, name, revisions.get(key, 0) if name in record.leaving else -1)
            for key, record in registered.items()
            for name in record.names
            if name not in listed.get(key, ())
        }
        if not is_certain:
            gone = set()
        self._since_ms = {item: self._since_ms.get(item, now_ms) for item in gone}
        due: defaultdict[str, list[str]] = defaultdict(list)
        for (key, name, _), since_ms in self._since_ms.items():
            if now_ms - since_ms >= self._policy.retire_after_ms:
                due[key].append(name)
        return dict(due)
