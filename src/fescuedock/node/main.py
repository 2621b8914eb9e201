"""The node: entry, agent and batch runner of a VM in one process, on one event loop.

It learns of its fleet and its jobs from the metadata store and its neighbours, and stores nothing
itself.
"""

import os
import random
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from secrets import token_hex

import msgspec
import trio
from result import Err, Result

from fescuedock.address import Address
from fescuedock.agent.codec import open_node_codec
from fescuedock.agent.crash_service import CrashService
from fescuedock.agent.link import FleetView
from fescuedock.agent.membership_service import MembershipService
from fescuedock.agent.permit_client import open_permit_client
from fescuedock.agent.permit_service import PermitService
from fescuedock.agent.port import open_agent_port
from fescuedock.agent.programs import LocalPrograms
from fescuedock.agent.upstream_checks import UpstreamChecks
from fescuedock.clock import now_ms, unix_clock
from fescuedock.core.membership import Membership
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.core.stored_jobs.cache import JobCache
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.core.stored_jobs.ownership import OwnerIdentity
from fescuedock.core.stored_jobs.pending_ends import PendingEnds
from fescuedock.core.watch_duty import WatchDuty
from fescuedock.daemon import Stop, run_program
from fescuedock.errors import internal_error_counts
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler
from fescuedock.net.channel_pool import ChannelPool, open_channel_pool
from fescuedock.net.http_client import HttpClient
from fescuedock.net.http_server import HttpServer, Request, Responder
from fescuedock.node.configuration import NodeConfiguration
from fescuedock.node.fleet import NodeLease, NodeList, read_node_record
from fescuedock.node.front import Front
from fescuedock.node.group_broadcast import GroupBroadcaster
from fescuedock.node.health_probe import health_probe
from fescuedock.node.job_acceptance import JobAcceptance
from fescuedock.node.job_calls import JobCalls
from fescuedock.node.job_ends import JobEnds
from fescuedock.node.job_runner import JobRunner
from fescuedock.node.job_store import JobStore
from fescuedock.node.online import ONLINE_ROUTING, PREDICTED_ROUTING, OnlineCalls
from fescuedock.node.owner_reads import OwnerReads
from fescuedock.node.quotas import Quotas
from fescuedock.node.replicas import Replicas, WatchedPrefix
from fescuedock.node.retirement import Retirement
from fescuedock.node.spools import Spools
from fescuedock.node.stream_origins import StreamOrigins
from fescuedock.node.upstream_entries import UpstreamEntries
from fescuedock.platform import calls, records
from fescuedock.platform.store import MetadataStore
from fescuedock.report.metrics import Metrics
from fescuedock.schema.config import Objectives
from fescuedock.schema.settings import VmSettings
from fescuedock.schema.stored_jobs import NodeRecord
from fescuedock.schema.view import Hello, Program
from fescuedock.settings import NODE_SECTIONS, Settings

__all__ = ["main", "run_node"]

# Environment variable with the settings file, used when the command line names none.
_SETTINGS_VARIABLE = "FESCUEDOCK_SETTINGS"
# Changes of the fleet view and the configuration, which make a node ready, are reported at once.
_HELLO_INTERVAL_S = 1.0
_STORE_CONNECT_MS = 500
_STORE_REPORT_S = 10.0
_SEED_BITS = 128
# Logged in place of an infinite age.
_MAX_LOGGED_AGE_MS = 1e9
# Reserved at the end of a shutdown for the answers to calls in progress.
_FINAL_ANSWERS_S = 0.6


async def run_node(
    settings: Settings, stop: Stop, *, task_status: trio.TaskStatus[Address]
) -> None:
    """Run the node until ``stop``, then shut it down gracefully; reports the front's address."""
    codec = open_node_codec(settings.vm)
    handlers: dict[type[msgspec.Struct], CallHandler] = {}
    view = FleetView(settings.vm.vm_id)
    holder_id = f"{settings.vm.vm_id}/node/{token_hex(8)}"
    async with (
        _open_http(_STORE_CONNECT_MS) as store_http,
        _open_http(settings.node.connect_timeout_ms) as upstream_http,
        open_channel_pool(codec) as pool,
        open_agent_port(settings, codec, handlers) as udp,
        open_permit_client(settings, codec, view, holder_id, handlers) as permits,
        trio.open_nursery() as nursery,
    ):
        node = _Node(settings, view, store_http, upstream_http, pool, holder_id)
        node.wire(udp, codec, permits)
        handlers.update(node.handlers())
        node.start(nursery)
        address = await node.serve(nursery)
        task_status.started(address)
        await stop.wait()
        await node.leave()
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def _open_http(connect_timeout_ms: int) -> AsyncIterator[HttpClient]:
    client = HttpClient(connect_timeout_ms)
    try:
        yield client
    finally:
        await client.close()


class _Node:
    """The parts of a node, wired to each other."""

    def __init__(
        self,
        settings: Settings,
        view: FleetView,
        store_http: HttpClient,
        upstream_http: HttpClient,
        pool: ChannelPool,
        holder_id: str,
    ) -> None:
        node = settings.node
        self._settings = settings
        self._view = view
        self._http = upstream_http
        self._pool = pool
        # A choice among upstreams draws a number for each of them, and with SystemRandom each would
        # be a system call (170 a second on a node with 45 upstreams).  Identities do not use it.
        self._rng = random.Random(random.SystemRandom().getrandbits(_SEED_BITS))
        self._clock = unix_clock()
        self._boot = self._clock() * 1000 + self._rng.randrange(1000)
        self._keys = JobKeys(node.key_prefix)
        address = Address.parse(node.store_address)
        self._store_calls: Counter[str] = Counter()
        self._store = MetadataStore(
            store_http, address, node.store_timeout_ms, self._count_store_call
        )
        self._replicas = Replicas(
            self._store,
            [
                WatchedPrefix(records.OPERATOR_PREFIX, node.watch_wait_ms, 0),
                WatchedPrefix(
                    records.UPSTREAM_PREFIX,
                    node.watch_wait_ms,
                    node.watch_pause_ms,
                    records.is_heartbeat,
                ),
                WatchedPrefix(self._keys.live, node.watch_wait_ms, node.watch_pause_ms),
            ],
            self._call_neighbour,
            self._neighbours,
            GroupBroadcaster(view, _watch_duty(settings.vm), pool),
            self._rng,
        )
        self._crashes = CrashService(
            view,
            upstream_http,
            pool,
            self._store,
            self._keys.crashes,
            self._rng,
            self._clock,
            calls.process_query,
        )
        self._configuration = NodeConfiguration(
            self._table(records.OPERATOR_PREFIX), records.CONFIG_KEY, records.read_route_table
        )
        front_address = Address.parse(node.front_address)
        live = self._table(self._keys.live)
        self.front = Front(node, front_address, self._configuration, view, lambda: live.is_known)
        self._programs = LocalPrograms(settings.vm, settings.agent.port)
        self._lease = NodeLease(
            self._store, self._keys.nodes, self._node_record(), node.lease_ttl_ms
        )
        self._metrics = Metrics(holder_id, self._clock, self._objectives)
        self._served = trio.Event()

    def wire(self, udp, codec, permits) -> None:
        """Create the parts that need the open sockets."""
        settings, node = self._settings, self._settings.node
        membership = Membership(
            settings.agent,
            settings.vm.vm_id,
            self._programs.profile(now_ms(), 0, config_confirmed=False, serving=False),
            self._boot,
            self._rng,
            now_ms(),
        )
        upstreams = self._table(records.UPSTREAM_PREFIX)
        entries = UpstreamEntries(settings.vm.region, lambda: self._configuration.routes.services)
        listed = NodeList(
            self._table(self._keys.live),
            self._keys.nodes,
            upstreams,
            self._replicas.kv_availability,
            entries.read,
            self._replicas.wait_changed,
            lambda: self._configuration.current_version,
        )
        self._membership = MembershipService(
            settings,
            membership,
            udp,
            codec,
            listed,
            self._programs,
            self._configuration,
            self._view,
            first_version=self._boot,
        )
        checks = UpstreamChecks(health_probe(self._http, self._configuration))
        self._permit_service = PermitService(settings, self._view, checks, self._rng)
        owner = OwnerIdentity(settings.vm.vm_id, self._boot)
        store = JobStore(self._store, self._keys, node.store_value_bytes)
        cache = JobCache(node.job_cache_bytes)
        wanted_ends = PendingEnds()
        self._runner = JobRunner(
            node,
            store,
            cache,
            self._replicas,
            self._configuration,
            self._view,
            permits,
            self._http,
            owner,
            self._call_neighbour,
            self._live_neighbours,
            self._rng,
            self._metrics,
            wanted_ends,
        )
        spools = Spools(
            self._table(self._keys.live),
            self._keys.spools,
            node.spool_losses + 1,
            self._call_neighbour,
        )
        self._retirement = Retirement(self._store, self._replicas, self._view, spools)
        self._origins = StreamOrigins(
            self._view,
            self._store,
            self._replicas,
            self._keys,
            self._configuration,
            self._call_neighbour,
            self._rng,
        )
        self.front.online = OnlineCalls(
            self._view,
            permits,
            self._http,
            self._rng,
            node.retry_after_ms,
            self._metrics,
            lambda: self._configuration.routes,
            PREDICTED_ROUTING if node.place_by_prediction else ONLINE_ROUTING,
            self._origins,
        )
        self.quotas = Quotas(
            self._view,
            lambda: self._configuration.routes.customers,
            self._call_neighbour,
            self._registered,
            self._record_address,
            node,
            self._table(self._keys.live),
            lambda: self._lease.since_previous_ms,
            self._rng,
        )
        self.front.quotas = self.quotas
        self._permits = permits
        self._acceptance = JobAcceptance(
            store,
            self._replicas,
            owner,
            self._call_neighbour,
            self._live_neighbours,
            self._runner.accept,
            self._rng,
            spools,
            lambda: self.front.leaving,
        )
        self._owner_reads = OwnerReads(
            cache,
            self._replicas,
            self._keys.live,
            owner,
            self._call_neighbour,
            self._address_of,
            self._runner.listed_count,
        )
        self._ends = JobEnds(
            store,
            self._replicas,
            spools,
            self._owner_reads,
            self._configuration,
            wanted_ends,
            self._acceptance.unsettled,
            node.retry_after_ms,
        )
        self.front.jobs = JobCalls(
            store,
            cache,
            self._replicas,
            owner,
            self._clock,
            node.retry_after_ms,
            self._acceptance,
            self._owner_reads,
            spools,
            self._ends,
            lambda: self.front.leaving,
            self.front.held,
        )

    def handlers(self) -> Mapping[type[msgspec.Struct], CallHandler]:
        parts = (
            self._membership,
            self._permit_service,
            self._replicas,
            self._acceptance,
            self._owner_reads,
            self._runner,
            self._crashes,
            self.quotas,
            self._origins,
        )
        return {kind: handler for part in parts for kind, handler in part.handlers().items()}

    def start(self, nursery: trio.Nursery) -> None:
        parts = (
            self._replicas,
            self._membership,
            self._permit_service,
            self._lease,
            self._runner,
            self._retirement,
            self._ends,
            self._crashes,
            self.quotas,
            self._origins,
            self.front,
        )
        for part in parts:
            nursery.start_soon(part.run)
        nursery.start_soon(self._follow_crashes)
        nursery.start_soon(self._follow_configuration)
        nursery.start_soon(self._announce)
        nursery.start_soon(self._report_store_calls)
        nursery.start_soon(self._log_fleet)
        nursery.start_soon(self._close_stale_connections)

    async def serve(self, nursery: trio.Nursery) -> Address:
        """Listen at all addresses; return that of the front."""
        node = self._settings.node
        ready = HttpServer(self.front.handle_ready)
        directory = HttpServer(self.front.handle_directory)
        await nursery.start(ready.serve, Address.parse(node.ready_address))
        await nursery.start(directory.serve, Address.parse(node.directory_address))
        if node.metrics_port:
            metrics = HttpServer(self._answer_metrics)
            await nursery.start(metrics.serve, Address(self._settings.vm.host, node.metrics_port))
        if node.control_address:
            control = HttpServer(self.front.handle_ready)
            await nursery.start(control.serve, Address.parse(node.control_address))
        return await nursery.start(self._serve_front)

    async def _serve_front(self, *, task_status: trio.TaskStatus[Address]) -> None:
        address = Address.parse(self._settings.node.front_address)
        await self.front.server.serve(address, task_status=task_status)
        self._served.set()

    async def leave(self) -> None:
        """Shut down without cutting off a call, within the time until the process is killed.

        Clients and neighbours are notified first.  Connections are served until the directory's
        answers that name this node have expired, and each answer asks its client to use another
        node.
        """
        node = self._settings.node
        began_s = trio.current_time()
        log_event("node_leaving", in_flight=self.front.server.in_flight)
        self.front.leaving = True
        self.front.server.draining = True
        self._report_readiness()
        self._membership.leave()
        with trio.move_on_at(began_s + node.stop_timeout_s - _FINAL_ANSWERS_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._runner.leave)
                await trio.sleep(node.directory_leave_ms / 1000)
                await self._origins.leave()
                self.front.server.stop()
                await self._served.wait()
        with trio.move_on_after(_FINAL_ANSWERS_S / 2):
            await self._lease.leave()
        self._membership.finish()
        log_event("node_left", in_flight=self.front.server.in_flight)

    async def _answer_metrics(self, request: Request, responder: Responder) -> None:
        """Answer with the fleet as JSON, or with this process's counts as text for Prometheus."""
        # Imported at the first scrape, to keep it off the start-up path.
        from fescuedock.entry.fleet_status import STATUS_PATH, fleet_status

        status = fleet_status(self._view, self._permits)
        status.customers = self.quotas.status()
        status.held_bytes = self.front.held.total_bytes
        status.cut_off_callers = self.front.cut_off_callers
        status.internal_errors = internal_error_counts()
        status.restricted_items = self._runner.restricted_count
        status.held_items = self._runner.held_counts
        status.longest_holds_ms = self._runner.longest_holds_ms
        if request.path == STATUS_PATH:
            await responder.send_json(200, status)
            return
        from fescuedock.report.prometheus import CONTENT_TYPE, exposition

        text = exposition([self._metrics.totals()], status)
        await responder.send(200, text, [("content-type", CONTENT_TYPE)])

    def _objectives(self, service: str) -> Objectives:
        spec = self._view.configuration.services.get(service)
        return Objectives() if spec is None else spec.objectives

    # --- loops -----------------------------------------------------------------------------------

    async def _follow_configuration(self) -> None:
        while True:
            seen = self._replicas.version
            if self._configuration.refresh():
                self.front.apply_limits()
                self._report_readiness()
            await self._replicas.wait_changed(seen)

    async def _follow_crashes(self) -> None:
        """Apply the reports of other nodes about upstreams that ended."""
        table = self._table(self._keys.live)
        seen = -1
        while True:
            if table.version != seen:
                seen = table.version
                self._crashes.apply_entries(table.entries.values())
            await self._replicas.wait_changed(self._replicas.version)

    async def _close_stale_connections(self) -> None:
        """Close idle connections to upstreams that were removed, or restarted as another one."""
        known: dict[str, Address] = {}
        version = 0
        while True:
            version = await self._view.wait_changed(version)
            upstreams = self._view.upstreams
            for name in known.keys() - upstreams.keys():
                self._http.drop_idle(known[name])
            known = {name: Address(item.host, item.port) for name, item in upstreams.items()}

    async def _log_fleet(self) -> None:
        """Log each change of another node's state in this node's fleet view."""
        states: dict[str, tuple[str, int]] = {}
        version = 0
        while True:
            version = await self._view.wait_changed(version)
            seen = {vm.vm_id: (vm.state.value, vm.incarnation) for vm in self._view.vms.values()}
            for vm_id in sorted(seen.keys() | states.keys()):
                state, incarnation = seen.get(vm_id, ("gone", states.get(vm_id, ("", 0))[1]))
                if states.get(vm_id, ("", 0))[0] != state:
                    age_ms = min(self._view.membership_age_ms, _MAX_LOGGED_AGE_MS)
                    log_event(
                        "vm_state",
                        about=vm_id,
                        state=state,
                        incarnation=incarnation,
                        list_age_ms=round(age_ms),
                    )
            states = seen

    async def _report_store_calls(self) -> None:
        """Log periodically how many store calls of each kind were made, since each is billed."""
        while True:
            await trio.sleep(_STORE_REPORT_S)
            log_event("store_calls", **dict(sorted(self._store_calls.items())))
            self._store_calls.clear()

    def _count_store_call(self, name: str) -> None:
        self._store_calls[name] += 1

    async def _announce(self) -> None:
        while True:
            self._report_readiness()
            version = self._view.version
            with trio.move_on_after(_HELLO_INTERVAL_S):
                await self._view.wait_changed(version)

    def _report_readiness(self) -> None:
        """Report to membership which programs of this node are ready."""
        port = Address.parse(self._settings.node.front_address).port
        for program in (Program.ENTRY, Program.BATCH):
            # The load is always 0: no choice uses it, and each change would go to all nodes.
            ready = self.front.ready
            if program is Program.BATCH:
                ready = ready and self._runner.claims_jobs
            hello = Hello(program, port, ready, in_flight=0)
            self._programs.record_hello(hello, now_ms())

    # --- helpers ---------------------------------------------------------------------------------

    def _table(self, prefix: str) -> ReplicaTable:
        return self._replicas.tables[prefix]

    def _node_record(self) -> NodeRecord:
        vm = self._settings.vm
        return NodeRecord(
            vm.vm_id,
            vm.region,
            vm.failure_domain,
            vm.host,
            self._settings.agent.port,
            int(self._clock() * 1000),
        )

    def _neighbours(self) -> list[Address]:
        """Return the agents that may be called: those that membership knows, else the seeds."""
        return self._live_neighbours() or self._seeds()

    def _live_neighbours(self) -> list[Address]:
        own_id = self._settings.vm.vm_id
        return [
            Address(vm.host, vm.agent_port)
            for vm in self._view.live_vms()
            if vm.vm_id != own_id and vm.agent_port
        ]

    def _registered(self) -> list[str]:
        """Return the names of the nodes that have a record."""
        prefix = self._keys.nodes
        entries = self._table(self._keys.live).entries
        return [key.removeprefix(prefix) for key in entries if key.startswith(prefix)]

    def _record_address(self, vm_id: str) -> Address | None:
        """Return the agent's address in a node's record; None without a readable record."""
        entry = self._table(self._keys.live).entries.get(self._keys.nodes + vm_id)
        if entry is None:
            return None
        record = read_node_record(entry)
        if isinstance(record, Err):
            # Logged by ``NodeList``.
            return None
        return Address(record.ok_value.host, record.ok_value.port)

    def _seeds(self) -> list[Address]:
        text = self._settings.node.seeds
        hosts = {Address.parse(part).host for part in text.split(",")} if text else set()
        hosts.discard(self._settings.vm.host)
        return [Address(host, self._settings.agent.port) for host in sorted(hosts)]

    def _address_of(self, vm_id: str) -> Address | None:
        vm = self._view.vms.get(vm_id)
        return None if vm is None or not vm.agent_port else Address(vm.host, vm.agent_port)

    async def _call_neighbour(
        self, address: Address, message: msgspec.Struct, timeout_ms: float
    ) -> Result[msgspec.Struct, Fault]:
        client = await self._pool.client(address)
        return await client.call(message, timeout_ms)


def _watch_duty(vm: VmSettings) -> WatchDuty:
    return WatchDuty(vm.vm_id, vm.region, vm.failure_domain)


def main() -> None:
    """Run ``fescuedock-node [FILE]``."""
    run_program("node", run_node, NODE_SECTIONS, file=os.environ.get(_SETTINGS_VARIABLE, ""))


if __name__ == "__main__":
    main()
