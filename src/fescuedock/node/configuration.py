"""The operators' configuration as this node has it: the routes, and what permits need of them."""

from collections.abc import Callable

import msgspec
import trio
from result import Err, Result

from fescuedock.clock import now_ms
from fescuedock.core.forwarding.route_table import Route, RouteKind, RouteTable
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.log import log_event
from fescuedock.schema.config import Configuration, Objectives, ServiceKind, ServiceSpec
from fescuedock.schema.view import VmRecord

__all__ = ["NodeConfiguration", "ReadRoutes", "derived_configuration"]

# A version that was not confirmed for longer than this is doubted; watches are held for less.
_UNCONFIRMED_AFTER_MS = 15000.0
# Where no route of a service declares a pause between events.
_DEFAULT_GAP_MS = 1000.0

ReadRoutes = Callable[[bytes], Result[RouteTable, str]]


class NodeConfiguration:
    """Follows the key of the configuration; versions only ever rise.

    Serves as the ``ConfigSource`` of membership.
    """

    def __init__(self, table: ReplicaTable, key: str, read_routes: ReadRoutes) -> None:
        self.routes = RouteTable()
        self._table = table
        self._key = key
        self._read_routes = read_routes
        self._revision = -1
        self._document = msgspec.json.encode(Configuration())
        self._known = trio.Event()

    @property
    def is_known(self) -> bool:
        return self._known.is_set()

    @property
    def current_version(self) -> int:
        return self.routes.version

    @property
    def document(self) -> bytes:
        return self._document

    @property
    def confirmed_age_ms(self) -> float:
        return self._table.age_ms(now_ms())

    @property
    def as_of_ms(self) -> float:
        """Return a time at which no newer configuration was there for certain."""
        return self._table.as_of_ms

    @property
    def unconfirmed(self) -> bool:
        return self.confirmed_age_ms > _UNCONFIRMED_AFTER_MS

    @property
    def serving(self) -> bool:
        return self.is_known

    @property
    def kv_away(self) -> bool:
        """Never: programs that follow a node's agent have no means of their own to know better."""
        return False

    def on_peer_version(self, vm: VmRecord, version: int) -> None:
        """Neighbours' versions come with their replicas, not by datagrams."""

    async def wait_known(self) -> None:
        await self._known.wait()

    def refresh(self) -> bool:
        """Take what the table holds now; return whether the routes changed."""
        entry = self._table.entries.get(self._key)
        if entry is None or entry.mod_revision <= self._revision:
            return False
        self._revision = entry.mod_revision
        result = self._read_routes(entry.value)
        if isinstance(result, Err):
            log_event("config_unreadable", revision=entry.mod_revision, reason=result.err_value)
            return False
        routes = result.ok_value
        if routes.version <= self.routes.version:
            log_event("config_ignored", version=routes.version, have_version=self.routes.version)
            return False
        self._apply(routes)
        return True

    def _apply(self, routes: RouteTable) -> None:
        log_event(
            "config_applied",
            version=routes.version,
            former_version=self.routes.version,
            revision=self._revision,
            routes=len(routes.routes),
        )
        self.routes = routes
        self._document = msgspec.json.encode(derived_configuration(routes))
        self._known.set()


def derived_configuration(routes: RouteTable) -> Configuration:
    """Return what the permits' policy needs: each service with its objectives."""
    services = {
        name: ServiceSpec(ServiceKind.MODEL, objectives=_objectives(name, routes))
        for name in routes.services
    }
    return Configuration(services=services)


def _objectives(service: str, routes: RouteTable) -> Objectives:
    """Return the tightest objectives of a service's online routes.

    ``online_weight`` 0 lets batch fill all slots that online leaves: a revoked batch run goes on
    elsewhere after its last event, so giving way costs little, and an idle slot is lost for good.
    """
    online = [
        route
        for route in routes.routes
        if route.kind is not RouteKind.BATCH and route.allows(service)
    ]
    gaps = [route.gap_target_ms for route in online if route.gap_target_ms > 0]
    return Objectives(
        first_token_ms=min((_latency(route) for route in online), default=1000.0),
        inter_token_ms=min(gaps, default=_DEFAULT_GAP_MS),
        online_weight=0.0,
    )


def _latency(route: Route) -> float:
    return route.target_latency_ms if route.target_latency_ms > 0 else 1000.0
