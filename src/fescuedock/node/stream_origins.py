"""Stores and finds the origin of each stream: the service and software version that started it.

``core.stream_origins`` makes the decisions; this module does the input and output.
"""

import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import TypeVar

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.clock import now_ms
from fescuedock.core.forwarding.route_table import Route, host_name
from fescuedock.core.rendezvous import rank_names
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.core.stream_origins import (
    UNREADABLE,
    FoundOrigin,
    KnownBy,
    OriginMemory,
    OriginPolicy,
    RegisteredStarts,
    Retirement,
    RouteRecord,
    StartRecord,
    decide_origin,
    rank_holders,
    routed_services,
    stream_prefixes,
    versions_by_service,
)
from fescuedock.errors import run_contained
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvStore, decode_value
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.node.configuration import NodeConfiguration
from fescuedock.node.fleet import read_node_record
from fescuedock.node.replicas import CallNeighbour, Replicas
from fescuedock.schema.origins import (
    FindOrigin,
    FindOriginReply,
    KeepOrigins,
    KeepOriginsReply,
    KnownStream,
    RoutedServices,
    ServedVersions,
    StreamOrigin,
)
from fescuedock.schema.result_codes import ResultCode

__all__ = ["StreamOrigins"]

T = TypeVar("T")

# A neighbour answers in 1 to 7 ms.
_SEND_TIMEOUT_MS = 60.0
_FIND_TIMEOUT_MS = 150.0
# How long the other nodes may take to contradict the first origin that is known.
_AGREEMENT_TIMEOUT_S = 0.03
# How long a stream's first event waits in a round until other nodes and a spool confirm that they
# store the origin.
_ACK_TIMEOUT_S = 0.03
_SEND_ROUNDS = 3
# How long no stream waits for a spool that was late.
_LATE_SPOOL_MS = 1000.0
# Bounds the reads of records while a client waits, the second time where the store is away.
_READ_TIMEOUT_S = 1.0
_AWAY_READ_TIMEOUT_S = 0.3
# Pause after a read that the store has refused.
_READ_PAUSE_S = 0.1
_POLL_INTERVAL_S = 1.0
# How soon an outage of the store is noticed, in which other nodes need the origins of streams.
_OUTAGE_POLL_S = 0.1
# How long a stream waits until it may start at the service to which its route leads.
_RECORDED_TIMEOUT_S = 1.0
# Delay per rank before a node writes a record, so that nodes of a higher rank write it first.
_PAUSE_PER_RANK_S = 0.15
_MAX_RANK = 8
_MAX_STREAMS_PER_MESSAGE = 512
# Short, as another node may know the origin.
_UNKNOWN_RETRY_MS = 100


class _Reports(msgspec.Struct):
    """The different origins known of one stream, and the nodes and spools that named any.

    ``queried`` counts the nodes and spools that were queried, ``replied`` those that replied.
    """

    origins: list[StreamOrigin]
    named_by: list[str] = []
    queried: int = 0
    replied: int = 0

    def add(self, name: str, origins: Iterable[StreamOrigin]) -> None:
        self.named_by.append(name)
        self.origins.extend(item for item in origins if item not in self.origins)


class _SharedRead(msgspec.Struct):
    """A read of a record that several calls wait for; ``result`` is None if it was cancelled."""

    done: trio.Event = msgspec.field(default_factory=trio.Event)
    result: Result[KvEntry | None, Fault] | None = None


class _RecordUpdate(msgspec.Struct, frozen=True):
    """A record that is due to be written; ``fields`` describe it in the log."""

    value: bytes
    fields: Mapping[str, object] = {}


class _CheckedRoutes(msgspec.Struct):
    """The updates that are due for the records of hosts, while ``state`` stays as it is.

    ``state`` holds the version of the configuration and the revisions of the records.
    """

    state: tuple[int, ...] = ()
    valid_until_ms: float = 0.0
    updates: dict[str, _RecordUpdate] = {}


class StreamOrigins:
    """The origins of streams at one node.

    Records in the key-value service name the software versions of each service, and the services of
    each host's paths, at which streams of the ``configuration`` may have started.
    """

    def __init__(
        self,
        view: FleetView,
        kv: KvStore,
        replicas: Replicas,
        keys: JobKeys,
        configuration: NodeConfiguration,
        call_neighbour: CallNeighbour,
        rng: random.Random,
        policy: OriginPolicy | None = None,
    ) -> None:
        self._view = view
        self._kv = kv
        self._replicas = replicas
        self._keys = keys
        self._table: ReplicaTable = replicas.tables[keys.live]
        self._configuration = configuration
        self._call_neighbour = call_neighbour
        self._rng = rng
        self._policy = policy or OriginPolicy()
        self.memory = OriginMemory(self._policy)
        self._version_retirement = Retirement(self._policy)
        self._service_retirement = Retirement(self._policy)
        # The version of the configuration, and the prefixes of its streams by host.
        self._prefixes: tuple[int, dict[str, set[str]]] = (-1, {})
        self._checked_routes = _CheckedRoutes()
        # By key, the revision of a record and what it says, None if it is unreadable.
        self._decoded: dict[str, tuple[int, StartRecord | RouteRecord | None]] = {}
        # Failure domain and address of nodes and spools, from their records at a table version.
        self._nodes: dict[str, tuple[str, Address]] = {}
        self._spools: dict[str, tuple[str, Address]] = {}
        self._nodes_version = -1
        # By spool that confirmed an origin too late, until when no stream waits for it.
        self._late_until_ms: dict[str, float] = {}
        # By key, the read of a record that starts next, and a lock that is held during a read.
        self._next_reads: dict[str, _SharedRead] = {}
        self._read_locks: dict[str, trio.Lock] = {}
        self._nursery: trio.Nursery | None = None

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Return the handlers by message type, to be merged with those of other services."""
        return {KeepOrigins: self._on_keep, FindOrigin: self._on_find}

    async def run(self) -> None:
        """Maintain the records of services and send origins to other nodes, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._maintain_records)
            nursery.start_soon(self._send_unsent)

    async def _send_unsent(self) -> None:
        """Send the origins of streams that started while no other node needed them."""
        sent_ms = float("-inf")
        while True:
            seen = self._replicas.version
            if not self._is_needed_elsewhere():
                sent_ms = float("-inf")
            elif now_ms() - sent_ms >= _POLL_INTERVAL_S * 1000:
                sent_ms = now_ms()
                await self._send_all(self.memory.unreported(sent_ms))
            with trio.move_on_after(_OUTAGE_POLL_S):
                await self._replicas.wait_changed(seen)

    # --- streams that start ----------------------------------------------------------------------

    def startable_versions(self, service: str, route: Route, path: str) -> frozenset[str]:
        """Return the software versions of ``service`` on which a stream of ``path`` may start."""
        if service not in self._routed(route.host).at(path).startable:
            return frozenset()
        registered = self._registered(service)
        return frozenset() if registered is None else registered.startable

    async def wait_startable(self, service: str, route: Route, path: str) -> None:
        """Wait until a stream of ``path`` may start at ``service``, or for a short while.

        A node records a change of routes or versions within milliseconds after it is known.
        """
        with trio.move_on_after(_RECORDED_TIMEOUT_S):
            while not self.startable_versions(service, route, path):
                if self._replicas.kv_availability.is_unavailable(now_ms()):
                    return
                if not self._view.upstreams_of(service):
                    return
                await self._replicas.wait_changed(self._replicas.version)

    async def record_start(self, key: str, origin: StreamOrigin, route: Route, path: str) -> bool:
        """Record the origin of a stream, before its client gets the first event.

        If other nodes may need it, return once another process has stored it, a spool on disk if
        there is one, or after a short while: a stream of unknown origin cannot be resumed, but is
        never continued on a wrong version.  Return False if the stream may not start, as the copy
        of the records is so old that they may decide for another origin, and no one knows better.
        """
        self.memory.record(key, origin, now_ms(), is_own=True)
        is_outdated = self._table.as_of_age_ms(now_ms()) > self._policy.max_copy_age_ms
        is_outdated = is_outdated and bool(self._known_nodes().keys() - {self._view.vm_id})
        if self._nursery is None:
            return not is_outdated
        if not is_outdated and not self._may_be_known_elsewhere(origin, route, path):
            return True
        streams = [KnownStream(key, origin)]
        nodes = self._origin_nodes(key, live_only=True)
        spools = self._origin_spools(key)[: self._policy.queried_disks]
        if not nodes and not spools:
            return not is_outdated
        late = [name for name in spools if nodes and now_ms() < self._late_until_ms.get(name, 0.0)]
        spools = [name for name in spools if name not in late]
        is_stored, is_on_disk = trio.Event(), trio.Event()
        for name in late:
            self._nursery.start_soon(
                run_contained, "message", self._send, name, streams, (is_stored, is_on_disk)
            )
        for _ in range(_SEND_ROUNDS):
            next_nodes, nodes = _split(nodes, self._policy.notified_nodes)
            next_spools, spools = _split(spools, self._policy.notified_disks)
            if is_stored.is_set():
                next_nodes = []
            if not next_nodes and not next_spools:
                break
            for name in next_nodes:
                self._nursery.start_soon(
                    run_contained, "message", self._send, name, streams, (is_stored,)
                )
            for name in next_spools:
                self._nursery.start_soon(
                    run_contained, "message", self._send, name, streams, (is_stored, is_on_disk)
                )
            with trio.move_on_after(_ACK_TIMEOUT_S):
                await is_stored.wait()
                if next_spools:
                    await is_on_disk.wait()
                return True
            self._late_until_ms |= dict.fromkeys(next_spools, now_ms() + _LATE_SPOOL_MS)
        if not is_stored.is_set():
            log_event("origin_not_told", stream_key=key, is_refused=is_outdated)
        return is_stored.is_set() or not is_outdated

    async def _send(
        self,
        name: str,
        streams: Sequence[KnownStream],
        acknowledged: Iterable[trio.Event] = (),
    ) -> None:
        reply = await self._call(name, KeepOrigins(streams), _SEND_TIMEOUT_MS)
        if not isinstance(reply, KeepOriginsReply) or reply.code != ResultCode.OK:
            return
        self.memory.mark_reported(stream.stream_key for stream in streams)
        for event in acknowledged:
            event.set()

    async def _send_all(self, streams: Iterable[KnownStream]) -> None:
        """Send origins to the nodes and spools that store them, many in one message."""
        by_receiver: defaultdict[str, list[KnownStream]] = defaultdict(list)
        for stream in streams:
            key = stream.stream_key
            receivers = self._origin_nodes(key, live_only=True)[: self._policy.notified_nodes]
            for name in receivers + self._origin_spools(key)[: self._policy.notified_disks]:
                by_receiver[name].append(stream)
        async with trio.open_nursery() as nursery:
            for name, received in by_receiver.items():
                for first in range(0, len(received), _MAX_STREAMS_PER_MESSAGE):
                    part = received[first : first + _MAX_STREAMS_PER_MESSAGE]
                    nursery.start_soon(run_contained, "message", self._send, name, part)

    async def leave(self) -> None:
        """Send all origins that this node knows to other nodes before it stops."""
        if self._is_needed_elsewhere():
            await self._send_all(self.memory.all_known(now_ms()))

    # --- streams that are resumed ----------------------------------------------------------------

    async def origin_of(
        self, key: str | None, route: Route, path: str
    ) -> Result[FoundOrigin, Fault]:
        """Return the origin of a stream of ``path``; ``ORIGIN_UNKNOWN`` when it cannot be found.

        ``key`` is None when the client does not name the stream.
        """
        recorded = () if key is None else self.memory.recorded(key, now_ms())
        reports = _Reports(list(recorded))
        registered: RegisteredStarts | None = None
        if not recorded:
            registered = await self._query(key, route, path, reports)
            self._log_query(key, route, reports, registered)
        elif len(recorded) == 1 and self._may_be_known_elsewhere(recorded[0], route, path):
            await self._find_elsewhere(key, reports)
        decided = decide_origin(reports.origins, registered)
        if isinstance(decided, Err):
            if key is not None and reports.origins:
                self._record_conflict(key, reports)
            return Err(Fault(ResultCode.ORIGIN_UNKNOWN, decided.err_value, _UNKNOWN_RETRY_MS))
        origin = decided.ok_value
        known_by = KnownBy.MEMORY if recorded else self._known_by(reports)
        return Ok(
            FoundOrigin(origin.service, origin.software_version, known_by, tuple(reports.named_by))
        )

    def _known_by(self, reports: _Reports) -> KnownBy:
        if not reports.named_by:
            return KnownBy.RECORD
        only_spools = self._spools.keys() >= set(reports.named_by)
        return KnownBy.SPOOL if only_spools else KnownBy.NODES

    def _log_query(
        self,
        key: str | None,
        route: Route,
        reports: _Reports,
        registered: RegisteredStarts | None,
    ) -> None:
        log_event(
            "stream_origin_queried",
            stream_key=key or "",
            route=route.name,
            queried=reports.queried,
            replied=reports.replied,
            named_by=reports.named_by,
            store_answered=registered is not None,
            services=sorted(registered.services) if registered else [],
            software_versions=sorted(registered.software_versions) if registered else [],
            copy_age_ms=round(self._table.as_of_age_ms(now_ms()), 1),
        )

    def _record_conflict(self, key: str, reports: _Reports) -> None:
        for origin in reports.origins:
            self.memory.record(key, origin, now_ms())
        log_event(
            "stream_origins_differ",
            stream_key=key,
            origins=[f"{item.service} {item.software_version}" for item in reports.origins],
            named_by=reports.named_by,
        )

    async def _query(
        self, key: str | None, route: Route, path: str, reports: _Reports
    ) -> RegisteredStarts | None:
        """Find a stream's origin elsewhere, and read the records in parallel.

        Return what the records say; None without an answer of the store.
        """
        registered: RegisteredStarts | None = None

        async def read() -> None:
            nonlocal registered
            registered = await self._read_records(route, path)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            if key is not None:
                await self._find_elsewhere(key, reports)
            if reports.origins:
                nursery.cancel_scope.cancel()
        return registered

    async def _find_elsewhere(self, key: str, reports: _Reports) -> None:
        """Query the nodes that may store an origin, and add what they know to ``reports``.

        Two runs may have begun under one key, and a node may know of only one of them.  So a known
        origin is returned once all nodes agree, or after ``_AGREEMENT_TIMEOUT_S``.
        """

        def limit_wait(scope: trio.CancelScope) -> None:
            if len(reports.origins) > 1:
                scope.cancel()
            elif reports.origins:
                latest_s = trio.current_time() + _AGREEMENT_TIMEOUT_S
                scope.deadline = min(scope.deadline, latest_s)

        async def find(name: str) -> None:
            reply = await self._call(name, FindOrigin(key), _FIND_TIMEOUT_MS)
            if not isinstance(reply, FindOriginReply):
                return
            reports.replied += 1
            if reply.origins:
                reports.add(name, reply.origins)
                limit_wait(nursery.cancel_scope)

        async with trio.open_nursery() as nursery:
            limit_wait(nursery.cancel_scope)
            spools = self._origin_spools(key)[: self._policy.queried_disks]
            holders = self._origin_nodes(key)[: self._policy.queried_nodes] + spools
            reports.queried = len(holders)
            for name in holders:
                nursery.start_soon(find, name)

    async def _read_records(self, route: Route, path: str) -> RegisteredStarts | None:
        """Read where streams of ``path`` may have started; None without an answer of the store.

        The reads begin after the client's request, so they see every record that had to be written
        before the stream started.
        """
        services = sorted(route.drawn_services)
        [service] = services if len(services) == 1 else [""]
        known = self._registered(service) or StartRecord()
        copied = RegisteredStarts(service, self._routed(route.host).at(path).names, known.names)
        if len(services) > 1 or len(copied.services) > 1 or len(known.names) > 1:
            # Enough to refuse the stream; only a single origin has to be proven by the store.
            return copied
        found: dict[str, KvEntry | None] = {}
        keys = self._keys.routes(host_name(route.host)), self._keys.versions + service
        is_away = self._replicas.kv_availability.is_unavailable(now_ms())
        with trio.move_on_after(_AWAY_READ_TIMEOUT_S if is_away else _READ_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for key in keys:
                    nursery.start_soon(self._read, key, found)
        if len(found) < len(keys):
            return None
        routed, versions = (found[key] for key in keys)
        route_record = (_routes_in(routed) if routed else None) or RouteRecord()
        version_record = (_versions_in(versions) if versions else None) or StartRecord()
        return RegisteredStarts(service, route_record.at(path).names, version_record.names)

    async def _read(self, key: str, found: dict[str, KvEntry | None]) -> None:
        """Read a record, at once or, while a read of it is in progress, after that.

        All calls that wait for it share the next read.
        """
        while True:
            read = self._next_reads.get(key)
            if read is None:
                read = self._next_reads[key] = _SharedRead()
                await self._send_read(key, read)
            else:
                await read.done.wait()
            if read.result is not None and isinstance(read.result, Ok):
                found[key] = read.result.ok_value
                return
            if read.result is not None:
                await trio.sleep(_READ_PAUSE_S)

    async def _send_read(self, key: str, read: _SharedRead) -> None:
        try:
            async with self._read_locks.setdefault(key, trio.Lock()):
                # Calls that come from here on need a later read.
                del self._next_reads[key]
                read.result = await self._kv.get(key)
        finally:
            if self._next_reads.get(key) is read:
                del self._next_reads[key]
            read.done.set()

    # --- requests of other nodes -----------------------------------------------------------------

    async def _on_keep(self, message: KeepOrigins, _peer: ServerPeer) -> KeepOriginsReply:
        for stream in message.streams:
            self.memory.record(stream.stream_key, stream.origin, now_ms())
        return KeepOriginsReply(ResultCode.OK)

    async def _on_find(self, message: FindOrigin, _peer: ServerPeer) -> FindOriginReply:
        return FindOriginReply(list(self.memory.recorded(message.stream_key, now_ms())))

    # --- the records of services and hosts -------------------------------------------------------

    def _is_uncertain(self, service: str) -> bool:
        """Whether a service's record alone may not determine the version a stream started on."""
        registered = self._registered(service)
        if registered is None or len(registered.names) > 1:
            return True
        return self._replicas.kv_availability.is_unavailable(now_ms())

    def _may_be_known_elsewhere(self, origin: StreamOrigin, route: Route, path: str) -> bool:
        """Whether other nodes are notified of such a stream when it starts."""
        is_only_service = self._routed(route.host).at(path).names == {origin.service}
        return not is_only_service or self._is_uncertain(origin.service)

    def _is_needed_elsewhere(self) -> bool:
        """Whether other nodes may need the origins of streams that started here."""
        services = self._configuration.routes.stream_services
        served = versions_by_service(self._view.upstreams.values(), services)
        return any(self._is_uncertain(name) for name in served) or self._has_moved_routes()

    def _has_moved_routes(self) -> bool:
        """Whether streams of the same path may have started at several services."""
        return any(
            len(starts.names) > 1
            for host in self._configured_prefixes()
            for starts in self._routed(host).prefixes.values()
        )

    def _configured_prefixes(self) -> dict[str, set[str]]:
        """Return the path prefixes of routes with streams, by host name."""
        table = self._configuration.routes
        if self._prefixes[0] != table.version:
            self._prefixes = (table.version, stream_prefixes(table))
        return self._prefixes[1]

    def _registered(self, service: str) -> StartRecord | None:
        """Return a service's record; None without a readable one."""
        return self._decode(self._keys.versions + service, _versions_in)

    def _routed(self, host: str) -> RouteRecord:
        """Return a host's record, an empty one without a readable one."""
        return self._decode(self._keys.routes(host_name(host)), _routes_in) or RouteRecord()

    def _decode(self, key: str, decode: Callable[[KvEntry], T | None]) -> T | None:
        """Return this node's copy of a record; None without a readable one."""
        entry = self._table.entries.get(key)
        if entry is None:
            return None
        known = self._decoded.get(key)
        if known is None or known[0] != entry.mod_revision:
            known = self._decoded[key] = (entry.mod_revision, decode(entry))
        return known[1]

    async def _maintain_records(self) -> None:
        """Add what is listed and configured to the records, and remove what has long gone."""
        while True:
            view_version, routes_version = self._view.version, self._configuration.current_version
            async with trio.open_nursery() as nursery:
                for key, update in self._due_updates().items():
                    nursery.start_soon(self._write_by_rank, key, update)
            with trio.move_on_after(_POLL_INTERVAL_S):
                async with trio.open_nursery() as nursery:

                    async def wait(
                        wait_changed: Callable[[int], Awaitable[None]],
                        version: int,
                        scope: trio.CancelScope = nursery.cancel_scope,
                    ) -> None:
                        await wait_changed(version)
                        scope.cancel()

                    nursery.start_soon(wait, self._view.wait_changed, view_version)
                    nursery.start_soon(wait, self._configuration.wait_changed, routes_version)

    def _due_updates(self) -> dict[str, _RecordUpdate]:
        """Return the records that must be written, by key."""
        if not self._table.is_known:
            return {}
        return self._due_versions() | self._due_routes()

    def _due_versions(self) -> dict[str, _RecordUpdate]:
        services = self._configuration.routes.stream_services
        listed = versions_by_service(self._view.upstreams.values(), services)
        registered = {name: self._recorded_versions(name) for name in services}
        retired = self._version_retirement.due(
            registered,
            listed,
            now_ms(),
            is_certain=not self._replicas.kv_availability.in_grace(now_ms()),
            revisions={name: self._revision(self._keys.versions + name) for name in services},
        )
        updates: dict[str, _RecordUpdate] = {}
        for name, record in registered.items():
            wanted = record.updated_versions(listed.get(name, ()), retired.get(name, ()))
            if wanted != record:
                served = ServedVersions(sorted(wanted.names), sorted(wanted.leaving))
                fields = {
                    "service": name,
                    "software_versions": served.software_versions,
                    "leaving": served.leaving,
                }
                value = msgspec.msgpack.encode(served)
                updates[self._keys.versions + name] = _RecordUpdate(value, fields)
        return updates

    def _due_routes(self) -> dict[str, _RecordUpdate]:
        table, configured = self._configuration.routes, self._configured_prefixes()
        revisions = {host: self._revision(self._keys.routes(host)) for host in configured}
        state = (table.version, *revisions.values())
        checked = self._checked_routes
        if state == checked.state and now_ms() < checked.valid_until_ms:
            return checked.updates
        recorded = {host: self._recorded_routes(host) for host in configured}
        routed = {
            host: routed_services(table, host, configured[host] | record.prefixes.keys())
            for host, record in recorded.items()
        }
        retired = self._service_retirement.due(
            _by_path({host: record.prefixes for host, record in recorded.items()}),
            _by_path(routed),
            now_ms(),
            is_certain=True,
            revisions={
                _path_key(host, prefix): revisions[host]
                for host, record in recorded.items()
                for prefix in record.prefixes
            },
        )
        updates: dict[str, _RecordUpdate] = {}
        for host, record in recorded.items():
            due = {prefix: retired.get(_path_key(host, prefix), ()) for prefix in routed[host]}
            wanted = record.updated(routed[host], due, configured[host])
            if wanted != record:
                value = msgspec.msgpack.encode(wanted.served())
                fields = {"host": host, "prefixes": len(wanted.prefixes)}
                updates[self._keys.routes(host)] = _RecordUpdate(value, fields)
        is_settled = all(
            record.at(prefix) == StartRecord(services)
            for host, record in recorded.items()
            for prefix, services in routed[host].items()
        )
        valid_ms = float("inf") if is_settled else _POLL_INTERVAL_S * 1000
        self._checked_routes = _CheckedRoutes(state, now_ms() + valid_ms, updates)
        return updates

    def _revision(self, key: str) -> int:
        entry = self._table.entries.get(key)
        return 0 if entry is None else entry.mod_revision

    def _recorded_versions(self, service: str) -> StartRecord:
        """Return the record whose versions a new one must retain until they are retired."""
        registered = self._registered(service)
        if registered is not None:
            return registered
        is_present = self._keys.versions + service in self._table.entries
        return StartRecord(frozenset((UNREADABLE,) if is_present else ()))

    def _recorded_routes(self, host: str) -> RouteRecord:
        """Return the record whose services a new one must retain until they are retired."""
        key = self._keys.routes(host)
        routed = self._decode(key, _routes_in)
        if routed is not None:
            return routed
        return RouteRecord.unreadable() if key in self._table.entries else RouteRecord()

    async def _write_by_rank(self, key: str, update: _RecordUpdate) -> None:
        """Write a record after a delay by rank, unless a node of a higher rank did so before."""
        live = {vm.vm_id for vm in self._view.live_vms()} | {self._view.vm_id}
        rank = rank_names(key, live).index(self._view.vm_id)
        await trio.sleep(min(rank, _MAX_RANK) * _PAUSE_PER_RANK_S)
        if self._due_updates().get(key) != update:
            return
        written = await self._kv.put_if(key, update.value, self._revision(key))
        if isinstance(written, Err):
            reason = written.err_value.message
            log_event("stream_starts_not_written", key=key, reason=reason)
            # Another node has written it, which a later update shows, or the store does not answer.
            await trio.sleep(self._rng.uniform(0.5, 1.5) * _PAUSE_PER_RANK_S)
            return
        self._replicas.record_entry(self._keys.live, KvEntry(key, update.value, written.ok_value))
        log_event("stream_starts_written", **update.fields)

    # --- other nodes -----------------------------------------------------------------------------

    def _origin_nodes(self, key: str, *, live_only: bool = False) -> list[str]:
        """Return the other nodes that may store an origin, in order, without those that are gone.

        Every node ranks all registered nodes, so that all agree although they may see different
        nodes as live.  With ``live_only`` nodes that are leaving are left out: they are still
        queried, but store no more origins.
        """
        nodes = self._known_nodes()
        vms = self._view.vms
        present = {vm.vm_id for vm in self._view.live_vms()} if live_only else vms.keys()
        ranked = rank_holders(key, {name: domain for name, (domain, _) in nodes.items()})
        return [name for name in ranked if name in present and name != self._view.vm_id]

    def _origin_spools(self, key: str) -> list[str]:
        """Return the spools that may store an origin, in order."""
        self._known_nodes()
        return rank_holders(key, {name: domain for name, (domain, _) in self._spools.items()})

    def _known_nodes(self) -> dict[str, tuple[str, Address]]:
        if self._nodes_version != self._table.version:
            self._nodes_version = self._table.version
            entries = self._table.entries
            self._nodes = dict(_nodes_in(entries.values(), self._keys.nodes))
            self._spools = dict(_nodes_in(entries.values(), self._keys.spools))
        return self._nodes

    async def _call(
        self, name: str, message: msgspec.Struct, timeout_ms: float
    ) -> msgspec.Struct | None:
        """Return a node's answer, None without one."""
        node = self._known_nodes().get(name) or self._spools.get(name)
        if node is None:
            return None
        _, address = node
        called = await self._call_neighbour(address, message, timeout_ms)
        return called.ok_value if isinstance(called, Ok) else None


def _split(names: list[str], count: int) -> tuple[list[str], list[str]]:
    return names[:count], names[count:]


def _nodes_in(entries: Iterable[KvEntry], prefix: str) -> Iterable[tuple[str, tuple[str, Address]]]:
    for entry in entries:
        if not entry.key.startswith(prefix):
            continue
        decoded = read_node_record(entry)
        if isinstance(decoded, Err):
            # Those of nodes are logged by ``NodeList``, those of spools by ``Spools``.
            continue
        record = decoded.ok_value
        yield record.vm_id, (record.failure_domain, Address(record.host, record.port))


def _versions_in(entry: KvEntry) -> StartRecord | None:
    """Return the record of a service; log and return None when it cannot be decoded."""
    served = _decoded_entry(entry, ServedVersions)
    return None if served is None else StartRecord.of(served.software_versions, served.leaving)


def _routes_in(entry: KvEntry) -> RouteRecord | None:
    """Return the record of a host; log and return None when it cannot be decoded."""
    routed = _decoded_entry(entry, RoutedServices)
    return None if routed is None else RouteRecord.of(routed)


def _decoded_entry(entry: KvEntry, kind: type[T]) -> T | None:
    decoded = decode_value(entry.key, entry.value, kind)
    if isinstance(decoded, Err):
        log_event("stream_starts_unreadable", key=entry.key, reason=decoded.err_value.message)
        return None
    return decoded.ok_value


def _by_path(by_host: Mapping[str, Mapping[str, T]]) -> dict[str, T]:
    return {
        _path_key(host, prefix): item
        for host, prefixes in by_host.items()
        for prefix, item in prefixes.items()
    }


def _path_key(host: str, prefix: str) -> str:
    return host + prefix
