"""Lists the nodes and upstreams registered in the key-value service, and registers this node."""

from collections.abc import Awaitable, Callable, Mapping
from ipaddress import ip_address

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.backing.vm_list import ROLE_SYSTEM, ListedVm, VmList
from fescuedock.clock import now_ms
from fescuedock.core.kv_availability import KvAvailability
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.upstream_listing import UpstreamListing
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvStore, decode_value
from fescuedock.log import log_event
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import NodeRecord
from fescuedock.schema.view import UpstreamRecord

__all__ = ["ListedFleet", "NodeLease", "NodeList", "ReadUpstreams", "read_node_record"]

# Longest wait for a change of the replicas, as the end of a grace period changes none.  Polling
# every 50 ms caused 20 of the 220 wake-ups a second of an idle node.
_POLL_INTERVAL_S = 0.4
_RETRY_INTERVAL_S = 0.5
_RENEWALS_PER_TTL = 4

# Waits until the replicas have another version than the one given, and returns it.
WaitChanged = Callable[[int], Awaitable[int]]
# Decodes the upstreams of a table; entries that cannot be read are left out and logged.
ReadUpstreams = Callable[[ReplicaTable], Mapping[str, UpstreamRecord]]


class ListedFleet(VmList, frozen=True):
    """A VM list with an explicit tuple of upstreams."""

    listed_upstreams: tuple[UpstreamRecord, ...] = ()

    @property
    def upstreams(self) -> tuple[UpstreamRecord, ...]:
        return self.listed_upstreams


class NodeList:
    """The VM list of membership, made from this node's replicas."""

    def __init__(
        self,
        nodes: ReplicaTable,
        nodes_prefix: str,
        upstreams: ReplicaTable,
        kv_availability: KvAvailability,
        read_upstreams: ReadUpstreams,
        wait_changed: WaitChanged,
        config_version: Callable[[], int],
    ) -> None:
        self._nodes = nodes
        self._nodes_prefix = nodes_prefix
        self._upstreams = upstreams
        self._kv_availability = kv_availability
        self._read_upstreams = read_upstreams
        self._wait_changed = wait_changed
        # Decoding the upstreams depends on the configuration of their services.
        self._config_version = config_version
        self._replicas_version = -1
        self._listing = UpstreamListing()
        self._current = ListedFleet()
        self._seen_versions: tuple[int, int, int, bool] | None = None
        # By key, its revision and the node it names; None for an entry that cannot be decoded.
        self._decoded: dict[str, tuple[int, ListedVm | None]] = {}

    async def read(self) -> Result[VmList, Fault]:
        """See ``VmListSource.read``."""
        if not self._nodes.is_known:
            return Err(
                Fault(ResultCode.PLATFORM_UNAVAILABLE, "the nodes' records were not read yet")
            )
        in_grace = self._kv_availability.in_grace(now_ms())
        versions = (self._nodes.version, self._upstreams.version, self._config_version())
        seen = (*versions, in_grace)
        if seen != self._seen_versions:
            self._seen_versions = seen
            self._update(in_grace)
        return Ok(self._current)

    async def wait_due(self) -> None:
        """Wait for a change of the replicas, at most for the poll interval."""
        with trio.move_on_after(_POLL_INTERVAL_S):
            self._replicas_version = await self._wait_changed(self._replicas_version)

    def _update(self, in_grace: bool) -> None:
        before = {item.upstream_id: item for item in self._current.listed_upstreams}
        self._listing.update(self._read_upstreams(self._upstreams), in_grace=in_grace)
        upstreams = tuple(self._listing.upstreams())
        self._log_changes(before, upstreams)
        listed = ListedFleet(vms=self._listed_nodes(), listed_upstreams=upstreams)
        # Most changes are heartbeats, which change no upstream.  The list is replaced only when it
        # differs: each new list makes a new fleet view, which every part of the node evaluates.
        if listed != self._current:
            self._current = listed

    def _log_changes(
        self, before: Mapping[str, UpstreamRecord], upstreams: tuple[UpstreamRecord, ...]
    ) -> None:
        revision = self._upstreams.revision
        now = {item.upstream_id: item for item in upstreams}
        for name, item in now.items():
            if before.get(name) != item:
                log_event(
                    "upstream_listed",
                    upstream_id=name,
                    address=f"{item.host}:{item.port}",
                    software_version=item.software_version,
                    leaving=item.leaving,
                    lapsed=name in self._listing.lapsed,
                    revision=revision,
                )
        for name in before.keys() - now.keys():
            log_event("upstream_unlisted", upstream_id=name, revision=revision)

    def _listed_nodes(self) -> tuple[ListedVm, ...]:
        """Return the registered nodes; each revision of a record is decoded once."""
        decoded: dict[str, tuple[int, ListedVm | None]] = {}
        for key, entry in self._nodes.entries.items():
            if not key.startswith(self._nodes_prefix):
                continue
            known = self._decoded.get(key)
            if known is None or known[0] != entry.mod_revision:
                known = (entry.mod_revision, _listed_node(entry))
            decoded[key] = known
        self._decoded = decoded
        return tuple(listed for _, listed in decoded.values() if listed is not None)


def read_node_record(entry: KvEntry) -> Result[NodeRecord, Fault]:
    """Decode a record; ``VALUE_UNREADABLE`` if it is damaged or of another version."""
    decoded = decode_value(entry.key, entry.value, NodeRecord)
    if isinstance(decoded, Err):
        return decoded
    try:
        ip_address(decoded.ok_value.host)
    except ValueError as error:
        return Err(Fault(ResultCode.VALUE_UNREADABLE, f"{entry.key} cannot be read: {error}"))
    return decoded


def _listed_node(entry: KvEntry) -> ListedVm | None:
    """Decode a node's record; log and return None when it cannot be decoded."""
    decoded = read_node_record(entry)
    if isinstance(decoded, Err):
        log_event("node_unreadable", key=entry.key, reason=decoded.err_value.message)
        return None
    record = decoded.ok_value
    return ListedVm(
        vm_id=record.vm_id,
        role=ROLE_SYSTEM,
        region=record.region,
        failure_domain=record.failure_domain,
        host=record.host,
        port=record.port,
    )


class NodeLease:
    """Registers this node in the key-value service with a lease, which it renews while it runs."""

    def __init__(self, kv: KvStore, nodes_prefix: str, record: NodeRecord, ttl_ms: int) -> None:
        self._kv = kv
        self._key = nodes_prefix + record.vm_id
        self._value = msgspec.msgpack.encode(record)
        self._started_unix_ms = record.started_unix_ms
        self._ttl_s = -(-ttl_ms // 1000)
        self._lease_id = 0
        # Time between the start of the previous process and of this one; None until the previous
        # record is read.
        self.since_previous_ms: float | None = None

    async def run(self) -> None:
        """Write the record, again whenever its lease was lost, and renew it; never return."""
        while True:
            held = await self._renew() if self._lease_id else await self._write()
            wait_s = self._ttl_s / _RENEWALS_PER_TTL if held else _RETRY_INTERVAL_S
            await trio.sleep(wait_s)

    async def leave(self) -> None:
        """Remove the record, if the service can be reached."""
        if self._lease_id:
            await self._kv.revoke_lease(self._lease_id)

    async def _write(self) -> bool:
        granted = await self._kv.grant_lease(self._ttl_s)
        if isinstance(granted, Err):
            return False
        found = await self._kv.get(self._key)
        if isinstance(found, Err):
            return False
        if self.since_previous_ms is None:
            self.since_previous_ms = self._since_previous_ms(found.ok_value)
        revision = found.ok_value.mod_revision if found.ok_value else 0
        lease_id = granted.ok_value
        written = await self._kv.put_if(self._key, self._value, revision, lease_id=lease_id)
        if isinstance(written, Err):
            return False
        self._lease_id = lease_id
        log_event("node_registered", key=self._key, lease_id=lease_id)
        return True

    def _since_previous_ms(self, found: KvEntry | None) -> float:
        """Return how long before this process the one that wrote ``found`` started.

        Infinite without a record: its lease has ended, or the node left.
        """
        if found is None:
            return float("inf")
        record = read_node_record(found)
        if isinstance(record, Err):
            log_event("node_unreadable", key=found.key, reason=record.err_value.message)
            return 0.0
        return max(float(self._started_unix_ms - record.ok_value.started_unix_ms), 0.0)

    async def _renew(self) -> bool:
        renewed = await self._kv.keep_lease(self._lease_id)
        if isinstance(renewed, Ok) and renewed.ok_value:
            return True
        if isinstance(renewed, Ok):
            log_event("node_lease_lost", key=self._key, lease_id=self._lease_id)
            self._lease_id = 0
        return False
