"""Routes: which service a call goes to, and how it may be retried, resumed and timed.

A table is built from one version of the configuration and is immutable.
"""

import enum
import random
from collections.abc import Iterable, Mapping

import msgspec

from fescuedock.core.customers import CustomerIndex

__all__ = ["ClientLimits", "Route", "RouteKind", "RouteTable", "ServiceTerms", "host_name"]


class RouteKind(enum.Enum):
    """Which calls of a route may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


class Route(msgspec.Struct, frozen=True):
    """One route.  ``services`` holds pairs of a service name and its weight."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[tuple[str, float], ...]
    # Longest time that a call may wait; 0 for no limit.
    timeout_ms: float = 0.0
    # Time to the answer, or to a stream's first event, within which a call is on time.
    target_latency_ms: float = 1000.0
    # Longest pause between two events of a stream that is on time; 0 if none is declared.
    gap_target_ms: float = 0.0
    # How long clients wait for a stream's first event before they disconnect; 0 if unknown.
    first_event_patience_ms: float = 0.0
    # Maximum number of upstreams that may run one call.
    max_attempts: int = 1
    # Whether another upstream may continue a stream after the last received event.
    resumable: bool = False
    # Whether callers need no API key.
    public: bool = False
    # 0 is the most urgent.
    priority: int = 0
    # For batch jobs, counted from their submission.
    due_ms: float = 0.0
    retention_ms: float = 0.0

    @property
    def idempotent(self) -> bool:
        """Whether a call may be sent again after it may have run."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind in (RouteKind.SAFE, RouteKind.BATCH)

    def choose_service(self, rng: random.Random) -> str:
        """Draw a service at random by weight."""
        names = [name for name, _ in self.services]
        if len(names) == 1:
            return names[0]
        weights = [weight for _, weight in self.services]
        if not any(weights):
            return rng.choice(names)
        return rng.choices(names, weights)[0]

    @property
    def drawn_services(self) -> frozenset[str]:
        """The services that ``choose_service`` may return."""
        names = frozenset(name for name, _ in self.services)
        return frozenset(name for name, weight in self.services if weight > 0) or names

    def allows(self, service: str) -> bool:
        """Whether calls of this route may go to ``service``."""
        return any(name == service and weight > 0 for name, weight in self.services)


class ServiceTerms(msgspec.Struct, frozen=True):
    """The configuration of a service and its engines."""

    name: str
    health_path: str = "/health"
    # Requests that one upstream runs concurrently; 0 if not declared.
    slots: int = 0


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of what clients send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class RouteTable(msgspec.Struct, frozen=True):
    """The routes and services of one version of the configuration."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceTerms] = msgspec.field(default_factory=dict)
    limits: ClientLimits = msgspec.field(default_factory=ClientLimits)
    customers: CustomerIndex = msgspec.field(default_factory=CustomerIndex)
    # Built from ``routes``; a passed value is replaced.
    _by_host: dict[str, dict[str, Route]] = msgspec.field(default_factory=dict)
    _by_name: dict[str, Route] = msgspec.field(default_factory=dict)

    def __post_init__(self) -> None:
        msgspec.structs.force_setattr(self, "_by_host", _index(self.routes))
        msgspec.structs.force_setattr(self, "_by_name", {item.name: item for item in self.routes})

    def priority_of(self, route: Route | None, customer: str | None) -> int:
        """Return the priority of a customer's work on ``route``: its own, or else the route's.

        The route is looked up by name in this version, so that a change also applies to calls that
        started under an older version.
        """
        known = self.customers.by_name.get(customer or "")
        if known is not None and known.priority is not None:
            return known.priority
        if route is None:
            return 0
        return self._by_name.get(route.name, route).priority

    @property
    def stream_services(self) -> frozenset[str]:
        """The services of routes with streams, as a later version may make these resumable."""
        return frozenset(
            name
            for route in self.routes
            if route.kind is RouteKind.STREAM
            for name, _ in route.services
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``; None without one.

        Prefixes begin and end with a slash, so only the path's own slashes are tried, and the cost
        does not grow with the number of routes.
        """
        prefixes = self._by_host.get(host_name(host))
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _index(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(host_name(route.host), {})[route.prefix] = route
    return by_host


def host_name(host: str) -> str:
    """Return the host name of a Host header for comparison: without port, in lower case."""
    name, colon, port = host.rpartition(":")
    has_port = bool(colon) and port.isdecimal() and (":" not in name or name.endswith("]"))
    return (name if has_port else host).lower()
