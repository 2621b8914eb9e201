"""Follows the operators' configuration: the routes, and the services' objectives for permits."""

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

# A version that was not confirmed for this long counts as unconfirmed; watches take less time.
_UNCONFIRMED_AFTER_MS = 15000.0
# Used for a service none of whose routes declares a pause between events.
_DEFAULT_GAP_MS = 1000.0

ReadRoutes = Callable[[bytes], Result[RouteTable, str]]


class NodeConfiguration:
    """Applies the configuration that ``key`` holds; its version never decreases.

    Implements the ``ConfigSource`` of membership.
    """

    def __init__(self, table: ReplicaTable, key: str, read_routes: ReadRoutes) -> None:
        self.routes = RouteTable()
        self._table = table
        self._key = key
        self._read_routes = read_routes
        self._revision = -1
        self._document = msgspec.json.encode(Configuration())
        self._known = trio.Event()
        self._changed = trio.Event()

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
        """Return a time at which certainly no newer configuration existed."""
        return self._table.as_of_ms

    @property
    def unconfirmed(self) -> bool:
        return self.confirmed_age_ms > _UNCONFIRMED_AFTER_MS

    @property
    def serving(self) -> bool:
        return self.is_known

    @property
    def kv_away(self) -> bool:
        """Always False: a program that follows this node's agent has no better source to use."""
        return False

    def on_peer_version(self, vm: VmRecord, version: int) -> None:
        """Do nothing: versions arrive with the replicas of neighbours, not by datagrams."""

    async def wait_known(self) -> None:
        await self._known.wait()

    async def wait_changed(self, version: int) -> None:
        """Return once another version than ``version`` is applied."""
        while self.current_version == version:
            await self._changed.wait()

    def refresh(self) -> bool:
        """Apply the table's current entry; return whether the routes changed."""
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
        # Derived first, so that a configuration is applied whole or not at all.
        document = msgspec.json.encode(derived_configuration(routes))
        self.routes, self._document = routes, document
        self._known.set()
        self._changed.set()
        self._changed = trio.Event()


def derived_configuration(routes: RouteTable) -> Configuration:
    """Return the configuration that the permit policy needs: each service with its objectives."""
    services = {
        name: ServiceSpec(ServiceKind.MODEL, objectives=_objectives(name, routes))
        for name in routes.services
    }
    return Configuration(services=services)


def _objectives(service: str, routes: RouteTable) -> Objectives:
    """Return the tightest objectives of a service's online routes.

    ``online_weight`` 0 lets batch items use all slots that online calls leave: a revoked batch run
    continues elsewhere after its last event, so revoking it costs little, while the time of an
    idle slot is lost for good.
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
