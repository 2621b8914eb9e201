"""Which software version began a stream, so that it goes on at no other one.

A client may take a stream up at any node while the one that began it is gone.  Two things tell how
the stream began.  While upstreams of several versions serve, the node that begins a stream tells a
few others before the client gets the first event; what they answer later is certain, their silence
says nothing.  And a record for each service, in the key-value service, names every version at
which a stream may have begun: a node begins none at a version that is not in it.  While it names a
single one, that is the answer for a stream of which nobody knows.

Pure: the caller passes the time.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from itertools import zip_longest

import msgspec
from result import Err, Ok, Result

from fescuedock.core.rendezvous import rank_names
from fescuedock.core.work_identity import work_identity
from fescuedock.schema.origins import StreamOrigin
from fescuedock.schema.view import UpstreamRecord

__all__ = [
    "OriginMemory",
    "OriginPolicy",
    "RegisteredVersions",
    "Retirement",
    "decide_origin",
    "rank_holders",
    "stream_key",
    "versions_by_service",
]


class OriginPolicy(msgspec.Struct, frozen=True):
    """Limits of how origins are replicated, queried and retained.

    Each stream is reported to ``notified_nodes`` nodes, the first ones in the order in which
    ``queried_nodes`` are queried later: some of the first may have restarted without their memory
    or may be unreachable.  ``notified_disks`` and ``queried_disks`` bound the same for spools,
    which still know an origin after a power loss.  Origins are retained for ``retention_ms``,
    longer than a client waits for a complete stream, and for at most ``max_origins`` streams: the
    oldest are dropped first, and their streams count as unknown.  A version that has been unlisted
    for ``retire_after_ms`` is removed from the record of its service.
    """

    notified_nodes: int = 2
    queried_nodes: int = 8
    notified_disks: int = 1
    queried_disks: int = 2
    retention_ms: float = 30_000.0
    max_origins: int = 8192
    retire_after_ms: float = 60_000.0


class _KnownOrigin(msgspec.Struct):
    """``origin`` is None where two were noted for the same stream."""

    origin: StreamOrigin | None
    at_ms: float
    # Begun here, and whether others were told.
    is_own: bool
    is_reported: bool = False


def stream_key(request_id: str, work_id: str) -> str:
    """Return what a stream is known by: the client's attempt that began it, and its work.

    An identity that comes with other work, or from another customer, finds nothing.
    """
    return work_identity(request_id, work_id)


class OriginMemory:
    """What a node knows of how streams began: of its own ones, and of those it was told of."""

    __slots__ = ("_origins", "_policy")

    def __init__(self, policy: OriginPolicy) -> None:
        self._policy = policy
        # In the order of time.
        self._origins: OrderedDict[str, _KnownOrigin] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins)

    def record(
        self, key: str, origin: StreamOrigin, now_ms: float, *, is_own: bool = False
    ) -> None:
        """Keep how a stream began."""
        self._drop_old(now_ms)
        known = self._origins.pop(key, None)
        updated = _KnownOrigin(origin, now_ms, is_own)
        if known is not None:
            updated.is_own |= known.is_own
            updated.is_reported = known.is_reported
            if known.origin != origin:
                updated.origin = None
        self._origins[key] = updated
        if len(self._origins) > self._policy.max_origins:
            self._origins.popitem(last=False)

    def find(self, key: str, now_ms: float) -> StreamOrigin | None:
        """Return what began a stream, None when that is not known for certain."""
        self._drop_old(now_ms)
        known = self._origins.get(key)
        return None if known is None else known.origin

    def mark_reported(self, keys: Iterable[str]) -> None:
        """Note that others keep these as well."""
        for key in keys:
            if key in self._origins:
                self._origins[key].is_reported = True

    def unreported(self, now_ms: float) -> dict[str, StreamOrigin]:
        """Return the streams that were begun here and that nobody else was told of."""
        return self._select(now_ms, lambda known: known.is_own and not known.is_reported)

    def all_known(self, now_ms: float) -> dict[str, StreamOrigin]:
        """Return every stream of which it is certain what began it."""
        return self._select(now_ms, lambda _known: True)

    def _select(
        self, now_ms: float, wanted: Callable[[_KnownOrigin], bool]
    ) -> dict[str, StreamOrigin]:
        self._drop_old(now_ms)
        return {
            key: known.origin
            for key, known in self._origins.items()
            if known.origin is not None and wanted(known)
        }

    def _drop_old(self, now_ms: float) -> None:
        while self._origins:
            key, known = next(iter(self._origins.items()))
            if now_ms - known.at_ms < self._policy.retention_ms:
                return
            del self._origins[key]


def rank_holders(key: str, domains: Mapping[str, str]) -> list[str]:
    """Return nodes in the order in which they are told of a stream, and asked.

    ``domains`` has the failure domain of each node.  Nodes that follow each other are of different
    domains while there are any, so that the loss of one domain takes only one keeper.
    """
    by_domain: dict[str, list[str]] = {}
    for name in rank_names(key, domains):
        by_domain.setdefault(domains[name], []).append(name)
    return [name for row in zip_longest(*by_domain.values()) for name in row if name is not None]


class RegisteredVersions(msgspec.Struct, frozen=True):
    """What a node read of a service's record; ``software_versions`` is None where there is none.

    ``is_current`` says that no version can have been added since.
    """

    service: str
    software_versions: frozenset[str] | None = None
    is_current: bool = False

    @property
    def single(self) -> str | None:
        """The only version at which streams may have begun; None when there are others."""
        if self.software_versions is None or len(self.software_versions) != 1:
            return None
        return next(iter(self.software_versions))


def decide_origin(
    reported: Sequence[StreamOrigin], registered: RegisteredVersions | None
) -> Result[StreamOrigin, str]:
    """Return what began a stream, ``Err`` with the reason why that is not known.

    ``kept`` is what nodes that were asked had kept, ``registered`` the record of the only service
    that may have begun it, None where there are several.
    """
    if any(origin != reported[0] for origin in reported):
        return Err("nodes were told of different software versions")
    if reported:
        return Ok(reported[0])
    if registered is None:
        return Err("no node that was asked knows, and several services may have begun it")
    if registered.single is None:
        return Err("no node that was asked knows, and several software versions have served")
    if not registered.is_current:
        return Err("no node that was asked knows, and another software version may have come")
    return Ok(StreamOrigin(registered.service, registered.single))


def versions_by_service(
    upstreams: Iterable[UpstreamRecord], services: Collection[str]
) -> dict[str, frozenset[str]]:
    """Return the versions of the listed upstreams of each of ``services``."""
    found: defaultdict[str, set[str]] = defaultdict(set)
    for item in upstreams:
        if item.service in services:
            found[item.service].add(item.software_version)
    return {service: frozenset(versions) for service, versions in found.items()}


class Retirement:
    """Since when each version of a service's record has not been listed any more."""

    __slots__ = ("_policy", "_since_ms")

    def __init__(self, policy: OriginPolicy) -> None:
        self._policy = policy
        self._since_ms: dict[tuple[str, str], float] = {}

    def due(
        self,
        registered: Mapping[str, Collection[str]],
        listed: Mapping[str, Collection[str]],
        now_ms: float,
        *,
        is_certain: bool,
    ) -> dict[str, Sequence[str]]:
        """Return the versions that may leave the record of each service.

        One that begins streams anywhere stays.  ``is_certain`` is False while entries of upstreams
        may be missing though the upstreams serve.
        """
        gone = {
            (service, version)
            for service, versions in registered.items()
            for version in versions
            if version not in listed.get(service, ())
        }
        if not is_certain:
            gone = set()
        self._since_ms = {pair: self._since_ms.get(pair, now_ms) for pair in gone}
        due: defaultdict[str, list[str]] = defaultdict(list)
        for (service, version), since_ms in self._since_ms.items():
            if now_ms - since_ms >= self._policy.retire_after_ms:
                due[service].append(version)
        return dict(due)
