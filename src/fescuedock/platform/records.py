"""Decodes the records that operator and workers write in the metadata store.

Also encodes the status records that the nodes write for the operator.
"""

import re
from collections.abc import Iterable
from ipaddress import ip_address
from typing import Literal

import msgspec
from result import Err, Ok, Result

from fescuedock.core.customers import Customer, CustomerIndex, index_of, key_digest
from fescuedock.core.forwarding.route_table import (
    ClientLimits,
    Route,
    RouteKind,
    RouteTable,
    ServiceTerms,
)
from fescuedock.platform import fields
from fescuedock.schema.view import UpstreamKind, UpstreamRecord

__all__ = [
    "CONFIG_KEY",
    "OPERATOR_PREFIX",
    "UPSTREAM_PREFIX",
    "encode_retirement_completed",
    "encode_retirement_running",
    "is_heartbeat",
    "read_route_table",
    "read_upstream",
    "registered_id",
    "retired_node",
    "retirement_status_key",
    "started_at",
    "with_start",
]

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"
# Clients of the platform abandon a stream after the longest of three times without an event: this
# minimum, so many times the route's latency target, and so many times its gap target.
_MIN_PATIENCE_MS = 2000.0
_PATIENCE_LATENCY_TARGETS = 4
_PATIENCE_GAP_TARGETS = 8
_RETIRE_PREFIX = "op/retire/"
# Separates the worker's registered ID from its start time in an upstream ID.
_START_SEPARATOR = "@"
_WORKER_ID = re.compile(rf"[^\x00-\x20\x7f-\U0010ffff{_START_SEPARATOR}]+")
_MAX_PORT = 65535
_RETIRE_STATUS_PREFIX = "status/retire/"


class _Split(msgspec.Struct, rename="camel"):
    service: str
    weight: fields.Weight = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str
    service: str = ""
    split: list[_Split] = []
    timeout_ms: fields.DurationMs = 0.0
    target_latency_ms: fields.DurationMs = 1000.0
    gap_target_ms: fields.DurationMs = 0.0
    # Number of upstreams that may run one call; attempts that did not run it do not count.
    max_attempts: fields.Count = 1
    resumable: bool = False
    public: bool = False
    priority: fields.Count = 0
    due_ms: fields.DurationMs = 0.0
    retention_s: fields.DurationS = 0.0


class _Engine(msgspec.Struct, rename="camel"):
    slots: fields.Concurrency = 0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_path: fields.RequestTarget = "/health"
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: fields.Count = 16384
    max_body_bytes: fields.Count = 4 * 1024 * 1024
    header_timeout_ms: fields.DurationMs = 3000.0
    idle_timeout_ms: fields.DurationMs = 15000.0


class _Tenant(msgspec.Struct, rename="camel"):
    name: fields.HeaderText
    api_keys: list[str] = []
    rate_per_s: fields.RatePerS = 0.0
    burst: fields.RatePerS = 0.0
    priority: fields.Count | None = None


class _Config(msgspec.Struct, rename="camel"):
    version: fields.Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Server(msgspec.Struct, rename="camel"):
    """A worker's registration.  An entry without one of the required fields is no worker's."""

    service: str
    address: str
    zone: str
    version: str
    slots: fields.Concurrency
    state: Literal["ready", "draining"]
    # Remaining time of slow operation after the worker's start.
    cold_remaining_ms: fields.DurationMs
    # Number of entries that the worker has written; it has no meaning but to differ in each one.
    sequence: fields.Count
    # Start time in Unix milliseconds, since a worker may restart under the same key; 0 if unknown.
    born: fields.UnixMs = 0


class _RetireStatus(msgspec.Struct):
    state: str


def read_route_table(value: bytes) -> Result[RouteTable, str]:
    """Decode a configuration; ``Err`` is the reason why it is invalid."""
    try:
        config = fields.decode_json(value, _Config)
        routes = tuple(_route(item) for item in config.routes)
        customers = _customers(config.tenants)
    except ValueError as error:
        return Err(f"the configuration cannot be read: {error}")
    services = {item.name: _service(item) for item in config.services}
    limits = ClientLimits(
        max_header_bytes=config.limits.max_header_bytes,
        max_body_bytes=config.limits.max_body_bytes,
        header_timeout_ms=config.limits.header_timeout_ms,
        idle_timeout_ms=config.limits.idle_timeout_ms,
    )
    return Ok(RouteTable(config.version, routes, services, limits, customers))


def read_upstream(key: str, value: bytes, region: str) -> Result[UpstreamRecord, str]:
    """Decode the entry that a worker wrote at ``key``.

    The upstream ID names one incarnation of the worker.  A restarted worker has lost its work and
    its cached prompts, so nothing known about the earlier incarnation may be applied to it.
    """
    try:
        server = fields.decode_json(value, _Server)
        host, port = _host_and_port(server.address)
        upstream_id = _incarnation_id(key.removeprefix(UPSTREAM_PREFIX), server.born)
    except ValueError as error:
        return Err(f"{key} cannot be read: {error}")
    return Ok(
        UpstreamRecord(
            upstream_id=upstream_id,
            region=region,
            failure_domain=server.zone,
            host=host,
            port=port,
            kind=UpstreamKind.ENGINE,
            service=server.service,
            leaving=server.state == "draining",
            slots=server.slots,
            software_version=server.version,
        )
    )


def is_heartbeat(before: bytes, after: bytes) -> bool:
    """Return whether a worker's entry differs from its last one in heartbeat fields alone."""
    try:
        first = fields.decode_json(before, _Server)
        second = fields.decode_json(after, _Server)
    except ValueError:
        return before == after
    first.sequence = second.sequence
    first.cold_remaining_ms = second.cold_remaining_ms
    return first == second


def registered_id(upstream_id: str) -> str:
    """Return the ID that an upstream registered under and compares with that of each request."""
    return upstream_id.partition(_START_SEPARATOR)[0]


def started_at(upstream_id: str) -> str:
    """Return the start time in an upstream's ID; empty if its entry names none."""
    return upstream_id.partition(_START_SEPARATOR)[2]


def with_start(upstream_id: str, started_at: str) -> str:
    """Return the ID of the upstream's incarnation with another start time."""
    return f"{registered_id(upstream_id)}{_START_SEPARATOR}{started_at}"


def _incarnation_id(name: str, born: int) -> str:
    # Each request to the worker names it in a header.
    if not _WORKER_ID.fullmatch(name):
        raise ValueError(f"{name!r} is not a valid worker ID")
    return f"{name}{_START_SEPARATOR}{born}" if born else name


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"{address!r} has no port")
    return str(ip_address(host.strip("[]"))), int(port)


def retired_node(key: str) -> str | None:
    """Return the node whose retirement ``key`` requests; None for any other key."""
    if not key.startswith(_RETIRE_PREFIX):
        return None
    return key.removeprefix(_RETIRE_PREFIX)


def retirement_status_key(node: str) -> str:
    """Return the key of the status record that reports the progress of a node's retirement."""
    return _RETIRE_STATUS_PREFIX + node


def encode_retirement_running() -> bytes:
    """Return the status of a retiring node that still holds data."""
    return msgspec.json.encode(_RetireStatus("running"))


def encode_retirement_completed() -> bytes:
    """Return the status of a retired node, which holds no data any more."""
    return msgspec.json.encode(_RetireStatus("completed"))


def _route(item: _Route) -> Route:
    return Route(
        name=item.name,
        host=item.host,
        prefix=item.prefix,
        kind=RouteKind(item.kind) if item.kind in _KNOWN_KINDS else RouteKind.UNSAFE,
        services=tuple(_services(item)),
        timeout_ms=item.timeout_ms,
        target_latency_ms=item.target_latency_ms,
        gap_target_ms=item.gap_target_ms,
        first_event_patience_ms=_first_event_patience_ms(item),
        max_attempts=max(item.max_attempts, 1),
        resumable=item.resumable,
        public=item.public,
        priority=item.priority,
        due_ms=item.due_ms,
        retention_ms=item.retention_s * 1000,
    )


def _first_event_patience_ms(item: _Route) -> float:
    """Return how long clients of the platform wait for the first event of a stream.

    0 for routes that are no streams.
    """
    if item.kind != RouteKind.STREAM.value:
        return 0.0
    return max(
        _MIN_PATIENCE_MS,
        _PATIENCE_LATENCY_TARGETS * item.target_latency_ms,
        _PATIENCE_GAP_TARGETS * item.gap_target_ms,
    )


def _customers(tenants: Iterable[_Tenant]) -> CustomerIndex:
    return index_of((_customer(item), map(key_digest, item.api_keys)) for item in tenants)


def _customer(item: _Tenant) -> Customer:
    return Customer(item.name, item.rate_per_s, item.burst, item.priority)


_KNOWN_KINDS = {kind.value for kind in RouteKind}


def _services(item: _Route) -> Iterable[tuple[str, float]]:
    if not item.split:
        return [(item.service, 1.0)]
    weights: dict[str, float] = {}
    # A split may list a service more than once.
    for part in item.split:
        weights[part.service] = weights.get(part.service, 0.0) + part.weight
    return weights.items()


def _service(item: _Service) -> ServiceTerms:
    engine = item.engine or _Engine()
    return ServiceTerms(
        name=item.name,
        health_path=item.health_path,
        slots=engine.slots,
    )
