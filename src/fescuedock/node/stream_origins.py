"""Stores and finds the origin of each stream: the service and software version that started it.

``core.stream_origins`` makes the decisions; this module does the input and output.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.clock import now_ms
from fescuedock.core.forwarding.route_table import Route
from fescuedock.core.rendezvous import rank_names
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.core.stream_origins import (
    UNREADABLE,
    FoundOrigin,
    KnownBy,
    OriginMemory,
    OriginPolicy,
    RegisteredVersions,
    Retirement,
    VersionRecord,
    decide_origin,
    rank_holders,
    versions_by_service,
)
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvStore
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.node.replicas import CallNeighbour, Replicas
from fescuedock.schema.origins import (
    FindOrigin,
    FindOriginReply,
    KeepOrigins,
    KeepOriginsReply,
    KnownStream,
    ServedVersions,
    StreamOrigin,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import NodeRecord

__all__ = ["StreamOrigins"]

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
# Bounds the read of a service's record while a client waits.  The store may refuse a read at once.
_READ_TIMEOUT_S = 0.3
_READ_PAUSE_S = 0.05
_POLL_INTERVAL_S = 1.0
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


class StreamOrigins:
    """The origins of streams at one node.

    ``services`` returns the services of the routes whose streams may be resumed.  A service's
    record names the software versions on which its streams may have started.
    """

    def __init__(
        self,
        view: FleetView,
        kv: KvStore,
        replicas: Replicas,
        keys: JobKeys,
        services: Callable[[], Collection[str]],
        call_neighbour: CallNeighbour,
        rng: random.Random,
        policy: OriginPolicy | None = None,
    ) -> None:
        self._view = view
        self._kv = kv
        self._replicas = replicas
        self._keys = keys
        self._table: ReplicaTable = replicas.tables[keys.live]
        self._services = services
        self._call_neighbour = call_neighbour
        self._rng = rng
        self._policy = policy or OriginPolicy()
        self.memory = OriginMemory(self._policy)
        self._retirement = Retirement(self._policy)
        # By service, the revision of its record and its versions, None if they are unreadable.
        self._decoded: dict[str, tuple[int, VersionRecord | None]] = {}
        # Failure domain and address of nodes and spools, from their records at a table version.
        self._nodes: dict[str, tuple[str, Address]] = {}
        self._spools: dict[str, tuple[str, Address]] = {}
        self._nodes_version = -1
        # By spool that confirmed an origin too late, until when no stream waits for it.
        self._late_until_ms: dict[str, float] = {}
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
            with trio.move_on_after(_POLL_INTERVAL_S):
                await self._replicas.wait_changed(seen)

    # --- streams that start ----------------------------------------------------------------------

    def startable_versions(self, service: str) -> frozenset[str]:
        """Return the software versions on which a stream may start."""
        registered = self._registered(service)
        return frozenset() if registered is None else registered.startable

    async def record_start(self, key: str, origin: StreamOrigin, route: Route) -> None:
        """Record the origin of a stream, before its client gets the first event.

        If other nodes may need it, return once another process has stored it, a spool on disk if
        there is one, or after a short while: a stream of unknown origin cannot be resumed, but is
        never continued on a wrong version.
        """
        self.memory.record(key, origin, now_ms(), is_own=True)
        if not self._may_be_known_elsewhere(origin, route) or self._nursery is None:
            return
        streams = [KnownStream(key, origin)]
        nodes = self._origin_nodes(key, live_only=True)
        spools = self._origin_spools(key)[: self._policy.queried_disks]
        if not nodes and not spools:
            return
        late = [name for name in spools if nodes and now_ms() < self._late_until_ms.get(name, 0.0)]
        spools = [name for name in spools if name not in late]
        is_stored, is_on_disk = trio.Event(), trio.Event()
        for name in late:
            self._nursery.start_soon(self._send, name, streams, (is_stored, is_on_disk))
        for _ in range(_SEND_ROUNDS):
            next_nodes, nodes = _split(nodes, self._policy.notified_nodes)
            next_spools, spools = _split(spools, self._policy.notified_disks)
            if is_stored.is_set():
                next_nodes = []
            if not next_nodes and not next_spools:
                break
            for name in next_nodes:
                self._nursery.start_soon(self._send, name, streams, (is_stored,))
            for name in next_spools:
                self._nursery.start_soon(self._send, name, streams, (is_stored, is_on_disk))
            with trio.move_on_after(_ACK_TIMEOUT_S):
                await is_stored.wait()
                if next_spools:
                    await is_on_disk.wait()
                return
            self._late_until_ms |= dict.fromkeys(next_spools, now_ms() + _LATE_SPOOL_MS)
        if not is_stored.is_set():
            log_event("origin_not_told", stream_key=key)

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
                    nursery.start_soon(self._send, name, part)

    async def leave(self) -> None:
        """Send all origins that this node knows to other nodes before it stops."""
        if self._is_needed_elsewhere():
            await self._send_all(self.memory.all_known(now_ms()))

    # --- streams that are resumed ----------------------------------------------------------------

    async def origin_of(self, key: str | None, route: Route) -> Result[FoundOrigin, Fault]:
        """Return the origin of a stream; ``ORIGIN_UNKNOWN`` when it cannot be found.

        ``key`` is None when the client does not name the stream.
        """
        recorded = () if key is None else self.memory.recorded(key, now_ms())
        reports = _Reports(list(recorded))
        registered: RegisteredVersions | None = None
        if not recorded:
            services = [name for name, weight in route.services if weight > 0]
            service = services[0] if len(services) == 1 else None
            registered = await self._query(key, service, reports)
            self._log_query(key, service, reports, registered)
        elif len(recorded) == 1 and self._may_be_known_elsewhere(recorded[0], route):
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
        service: str | None,
        reports: _Reports,
        registered: RegisteredVersions | None,
    ) -> None:
        versions = None if registered is None else registered.software_versions
        log_event(
            "stream_origin_queried",
            stream_key=key or "",
            service=service or "",
            queried=reports.queried,
            replied=reports.replied,
            named_by=reports.named_by,
            record_versions=None if versions is None else sorted(versions),
            store_answered=registered is not None,
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
        self, key: str | None, service: str | None, reports: _Reports
    ) -> RegisteredVersions | None:
        """Find a stream's origin elsewhere, and read the service's record in parallel."""
        registered: RegisteredVersions | None = None

        async def read() -> None:
            nonlocal registered
            registered = await self._read_versions(service)

        async with trio.open_nursery() as nursery:
            if service is not None:
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

    async def _read_versions(self, service: str) -> RegisteredVersions | None:
        """Read a service's record; None without an answer of the store.

        The read begins after the client's request, so it sees every version that had to be in the
        record before the stream started.
        """
        with trio.move_on_after(_READ_TIMEOUT_S):
            while True:
                found = await self._kv.get(self._keys.versions + service)
                if isinstance(found, Ok):
                    entry = found.ok_value
                    record = None if entry is None else _record_in(entry)
                    versions = None if record is None else record.software_versions
                    return RegisteredVersions(service, versions)
                await trio.sleep(_READ_PAUSE_S)
        return None

    # --- requests of other nodes -----------------------------------------------------------------

    async def _on_keep(self, message: KeepOrigins, _peer: ServerPeer) -> KeepOriginsReply:
        for stream in message.streams:
            self.memory.record(stream.stream_key, stream.origin, now_ms())
        return KeepOriginsReply(ResultCode.OK)

    async def _on_find(self, message: FindOrigin, _peer: ServerPeer) -> FindOriginReply:
        return FindOriginReply(list(self.memory.recorded(message.stream_key, now_ms())))

    # --- the records of services -----------------------------------------------------------------

    def _is_uncertain(self, service: str) -> bool:
        """Whether a service's record alone may not determine the version a stream started on."""
        registered = self._registered(service)
        if registered is None or len(registered.software_versions) > 1:
            return True
        return self._replicas.kv_availability.is_unavailable(now_ms())

    def _may_be_known_elsewhere(self, origin: StreamOrigin, route: Route) -> bool:
        """Whether other nodes are notified of such a stream when it starts."""
        return len(route.services) > 1 or self._is_uncertain(origin.service)

    def _is_needed_elsewhere(self) -> bool:
        """Whether other nodes may need the origins of streams that started here."""
        served = versions_by_service(self._view.upstreams.values(), self._services())
        return any(self._is_uncertain(name) for name in served)

    def _registered(self, service: str) -> VersionRecord | None:
        """Return a service's record; None without a readable one."""
        entry = self._table.entries.get(self._keys.versions + service)
        if entry is None:
            return None
        known = self._decoded.get(service)
        if known is None or known[0] != entry.mod_revision:
            known = self._decoded[service] = (entry.mod_revision, _record_in(entry))
        return known[1]

    def _recorded(self, service: str) -> VersionRecord:
        """Return the record whose versions a new one must retain until they are retired."""
        registered = self._registered(service)
        if registered is not None:
            return registered
        is_present = self._keys.versions + service in self._table.entries
        return VersionRecord(frozenset((UNREADABLE,) if is_present else ()))

    async def _maintain_records(self) -> None:
        """Add listed software versions to the records, and remove those long unlisted."""
        while True:
            seen = self._view.version
            async with trio.open_nursery() as nursery:
                for service, wanted in self._due_records().items():
                    nursery.start_soon(self._write_by_rank, service, wanted)
            with trio.move_on_after(_POLL_INTERVAL_S):
                await self._view.wait_changed(seen)

    def _due_records(self) -> dict[str, VersionRecord]:
        """Return the services whose records must change, with the records to write."""
        services = self._services()
        if not self._table.is_known:
            return {}
        listed = versions_by_service(self._view.upstreams.values(), services)
        registered = {name: self._recorded(name) for name in services}
        kv_availability = self._replicas.kv_availability
        retired = self._retirement.due(
            registered, listed, now_ms(), is_certain=not kv_availability.in_grace(now_ms())
        )
        wanted = {
            name: record.updated(listed.get(name, ()), retired.get(name, ()))
            for name, record in registered.items()
        }
        return {name: record for name, record in wanted.items() if record != registered[name]}

    async def _write_by_rank(self, service: str, wanted: VersionRecord) -> None:
        """Write a record after a delay by rank, unless a node of a higher rank did so before."""
        live = {vm.vm_id for vm in self._view.live_vms()} | {self._view.vm_id}
        rank = rank_names(service, live).index(self._view.vm_id)
        await trio.sleep(min(rank, _MAX_RANK) * _PAUSE_PER_RANK_S)
        if self._due_records().get(service) != wanted:
            return
        key = self._keys.versions + service
        entry = self._table.entries.get(key)
        former = self._recorded(service)
        value = msgspec.msgpack.encode(wanted.served())
        revision = 0 if entry is None else entry.mod_revision
        written = await self._kv.put_if(key, value, revision)
        if isinstance(written, Err):
            reason = written.err_value.message
            log_event("served_versions_not_written", service=service, reason=reason)
            # Another node has written it, which a later update shows, or the store does not answer.
            await trio.sleep(self._rng.uniform(0.5, 1.5) * _PAUSE_PER_RANK_S)
            return
        self._replicas.record_entry(self._keys.live, KvEntry(key, value, written.ok_value))
        log_event(
            "served_versions_written",
            service=service,
            software_versions=sorted(wanted.software_versions),
            leaving_versions=sorted(wanted.leaving),
            former_versions=sorted(former.software_versions),
        )

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
        try:
            record = msgspec.msgpack.decode(entry.value, type=NodeRecord)
        except msgspec.DecodeError:
            # Logged by ``NodeList``.
            continue
        yield record.vm_id, (record.failure_domain, Address(record.host, record.port))


def _record_in(entry: KvEntry) -> VersionRecord | None:
    """Return the record of a service; log and return None when it cannot be decoded."""
    try:
        return VersionRecord.of(msgspec.msgpack.decode(entry.value, type=ServedVersions))
    except msgspec.DecodeError as error:
        log_event("served_versions_unreadable", key=entry.key, reason=str(error))
        return None
