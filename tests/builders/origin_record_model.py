"""A model of nodes that start and resume streams, with copies of records of any age.

It runs the decisions of ``core.stream_origins`` in virtual time.  Nodes lose the key-value service,
each other, or their memory; versions are released and removed, and routes move to other services.
The network, the service and the clients exist only as far as these decisions depend on them.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from itertools import count

from result import Err

from fescuedock.core.forwarding.route_table import Route, RouteKind, RouteTable
from fescuedock.core.kv_availability import KvAvailability
from fescuedock.core.rendezvous import rank_names
from fescuedock.core.stored_jobs.work_gate import RecordFreshness
from fescuedock.core.stream_origins import (
    UNREADABLE,
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
)
from fescuedock.schema.origins import StreamOrigin

__all__ = [
    "COURSES",
    "RETURNS",
    "LONG",
    "STRATEGIES",
    "ISOLATED",
    "Fleet",
    "Node",
    "Outcome",
    "Resumption",
    "Settings",
    "Strategy",
    "isolated_for_long",
    "moved_routes",
    "play",
    "records_of",
    "retirements",
    "returns",
    "start_calm",
    "starts_in",
    "version_key",
]

HOST = "desk.example"
SERVICES = ("desk", "desk-b")
PATHS = ("/check/7", "/rights/8")
_ROUTE_KEY = f"route/{HOST}"
# How long a copy counts, and how long a name is recorded before streams start at it.
_LEASE_MS = 3000.0
_DOMAINS = 3
# A group of processes that no node is in.
_AWAY = -1
_SEND_ROUNDS = 3
_ACK_TIMEOUT_MS = 30.0
_READ_TIMEOUT_MS = 1000.0
_AWAY_READ_TIMEOUT_MS = 300.0
_READ_PAUSE_MS = 100.0
_PAUSE_PER_RANK_MS = 150.0
_POLL_INTERVAL_MS = 1000.0
_OUTAGE_POLL_MS = 100.0
_START_PATIENCE_MS = 1000.0
_START_PAUSE_MS = 50.0
_RESUME_PATIENCE_MS = 3000.0
_UNKNOWN_RETRY_MS = 100.0
# How long a node still lists others that it does not reach any more.
_SUSPICION_MS = 1000.0
_MAX_COPY_AGE_MS = 2400.0


@dataclass(frozen=True, slots=True)
class Settings:
    """A node updates its copies every ``sync_ms``, and within ``lag_ms`` after a change.

    A client whose node is not lost resumes its stream elsewhere anyway in a share ``wandering`` of
    all cases.  A refused one retries ``retries`` times.
    """

    nodes: int = 6
    spools: int = 2
    duration_ms: float = 3500.0
    sync_ms: tuple[float, float] = (300.0, 700.0)
    lag_ms: tuple[float, ...] = (10.0, 50.0, 50.0, 400.0)
    request_ms: float = 150.0
    stream_ms: tuple[float, float] = (500.0, 4000.0)
    late_write_ms: float = 3000.0
    cut_ms: tuple[tuple[float, float], ...] = ((100.0, 1500.0), (1500.0, 6000.0))
    policy: OriginPolicy = field(default_factory=OriginPolicy)
    wandering: float = 0.7
    retries: int = 1


@dataclass(slots=True)
class Outcome:
    """Counts of streams and messages.

    ``misjudged`` counts decisions for another origin than that of the client's events, ``joined``
    those of them that an upstream would have continued.  ``refused`` counts streams whose origin
    was unknown although an upstream could have continued them; ``ended`` those that none could.
    ``unstarted`` requests were allowed no listed upstream in time, and ``blocked_ms`` has the times
    at which a request found listed upstreams but was allowed none.
    """

    started: int = 0
    unstarted: int = 0
    resumed: int = 0
    joined: int = 0
    misjudged: int = 0
    refused: int = 0
    ended: int = 0
    continued: int = 0
    messages: int = 0
    known_by: Counter[str] = field(default_factory=Counter)
    ways: Counter[str] = field(default_factory=Counter)
    blocked_ms: list[float] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Node:
    """``copy`` has records by key with their revision, as they certainly were at ``as_of_ms``.

    A process of another ``group`` is out of reach.  ``epoch`` counts the node's processes.
    """

    name: str
    domain: str
    memory: OriginMemory
    version_retirement: Retirement
    service_retirement: Retirement
    sync_ms: float = 300.0
    lag_ms: float = 50.0
    epoch: int = 0
    is_alive: bool = True
    group: int = 0
    reaches_store: bool = True
    lost_ms: float = float("-inf")
    availability: KvAvailability = field(default_factory=KvAvailability)
    copy: dict[str, tuple[int, object]] | None = None
    revision: int = -1
    as_of_ms: float = float("-inf")
    agreed_ms: float = float("-inf")
    # Whether this process has read the records itself.
    has_read: bool = False
    # Names in the records that a majority of nodes has confirmed.
    confirmed: set[tuple[str, str]] = field(default_factory=set)
    listed: tuple[int, Mapping[str, frozenset[str]]] = (0, {})
    table: RouteTable | None = None
    writing: set[str] = field(default_factory=set)
    # What the node has last acted on, and when.
    handled: object = None
    handled_ms: float = float("-inf")

    @property
    def is_ready(self) -> bool:
        return self.is_alive and self.table is not None

    def record(self, key: str) -> object | None:
        """Return the node's copy of a record; None without a readable one."""
        return None if self.copy is None else self.copy.get(key, (0, None))[1]


@dataclass(slots=True, eq=False)
class Stream:
    """A stream whose client has received events of ``origin`` through ``node``."""

    key: str
    path: str
    requested_ms: float
    origin: StreamOrigin | None = None
    node: Node | None = None
    ends_ms: float = 0.0
    attempts: int = 0


@dataclass(slots=True)
class Resumption:
    """A stream that its client resumes at ``node``; ``found`` has the records that were read."""

    stream: Stream
    node: Node
    epoch: int
    route: Route
    reported: list[StreamOrigin]
    requested_ms: float
    read_timeout_ms: float
    found: dict[str, object | None] = field(default_factory=dict)
    pending: int = 0


@dataclass(frozen=True, slots=True)
class Strategy:
    """What a node may start, whom it tells of it, and what it concludes when nobody knows.

    ``startable`` returns the versions of a service at which a stream of a path may start, None for
    any.  ``notifies`` is whether holders are told of a stream when it starts, ``sends_unsent``
    whether they are told now of those that started before.  ``registered`` takes the records that
    the key-value service returned after the client's request, by key, and returns what
    ``decide_origin`` is given.  ``asked_to_read`` other nodes read them for a node that the service
    does not answer.  With ``bounds_copies`` a node with a copy of more than ``max_copy_age_ms``
    starts only streams whose origins other processes have stored.
    """

    startable: "Callable[[Fleet, Node, str, str], frozenset[str] | None]"
    notifies: "Callable[[Fleet, Node, StreamOrigin, str], bool]"
    sends_unsent: "Callable[[Fleet, Node], bool]"
    read_keys: Callable[[Route], Sequence[str]]
    registered: "Callable[[Fleet, Resumption], RegisteredStarts | None]"
    asked_to_read: int = 0
    bounds_copies: bool = True


class Fleet:
    """Nodes, spools, the key-value service and clients in virtual time."""

    __slots__ = (
        "_events",
        "_numbers",
        "_ranks",
        "late_share",
        "listed",
        "named_ms",
        "nodes",
        "now_ms",
        "outcome",
        "read_share",
        "records",
        "request_span_ms",
        "revision",
        "rng",
        "running",
        "settings",
        "spools",
        "store_is_down",
        "strategy",
        "table",
    )

    def __init__(self, strategy: Strategy, settings: Settings, rng: random.Random) -> None:
        self.strategy = strategy
        self.settings = settings
        self.rng = rng
        self.now_ms = 0.0
        self.outcome = Outcome()
        self.records: dict[str, tuple[int, object]] = {}
        self.revision = 1
        self.listed: tuple[int, Mapping[str, frozenset[str]]] = (1, {})
        self.table = route_table(1, {"/": {SERVICES[0]: 1.0}})
        # When the store got each name at which streams start: by key, path and name.
        self.named_ms: dict[tuple[str, str, str], float] = {}
        self.store_is_down = False
        # When the first and the last request come.
        self.request_span_ms = (0.0, settings.duration_ms)
        # The share of writes that are executed late, without an answer.
        self.late_share = 0.05
        # The share of the nodes' updates that include the records.
        self.read_share = 0.8
        self.running: list[Stream] = []
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = count()
        # By key, and the first one of the processes.
        self._ranks: dict[tuple[str, str], list[Node]] = {}
        self.nodes = [_node(f"n-{number}", number, settings) for number in range(settings.nodes)]
        self.spools = [_node(f"s-{number}", number, settings) for number in range(settings.spools)]

    # --- courses ---------------------------------------------------------------------------------

    def after(self, delay_ms: float, action: Callable[..., None], *args: object) -> None:
        """Run ``action`` after a delay."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._numbers), action, args))

    def run(self) -> Outcome:
        """Run until the end of the course and of the streams that it started."""
        for node in self.nodes:
            node.sync_ms = self.rng.uniform(*self.settings.sync_ms)
            node.lag_ms = self.rng.choice(self.settings.lag_ms)
            node.copy, node.revision, node.as_of_ms = self.records, self.revision, 0.0
            node.listed, node.table = self.listed, self.table
            self.after(self.rng.uniform(0.0, node.sync_ms), self._poll, node, node.epoch)
        first_ms, last_ms = self.request_span_ms
        self.after(first_ms + self.rng.uniform(0.0, self.settings.request_ms), self._request)
        last_ms += self.settings.stream_ms[1]
        while self._events and self._events[0][0] <= last_ms:
            self.now_ms, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self.outcome

    def serve(self, service: str, *versions: str) -> None:
        """Let upstreams of exactly these versions serve ``service``."""
        number, listed = self.listed
        self.listed = (number + 1, {**listed, service: frozenset(versions)})
        self._announce()

    def configure(self, routes: Mapping[str, Mapping[str, float]]) -> None:
        """Set the routes: the weights of services by path prefix."""
        self.table = route_table(self.table.version + 1, routes)
        self._announce()

    def write(self, key: str, record: object | None) -> None:
        """Write a record; None for one that cannot be read."""
        self.revision += 1
        self._note_names(key, record)
        self.records = {**self.records, key: (self.revision, record)}
        self._announce()

    def _note_names(self, key: str, record: object | None) -> None:
        former = self.records.get(key, (0, None))[1]
        for path in PATHS if key == _ROUTE_KEY else ("",):
            known = _names_in(former, path)
            for name in _names_in(record, path) - known:
                self.named_ms[key, path, name] = self.now_ms or -_LEASE_MS

    def set_reach(
        self, nodes: Iterable[Node], *, store: bool | None = None, group: int | None = None
    ) -> None:
        """Change what the nodes reach."""
        for node in nodes:
            if store is not None:
                node.reaches_store = store
            if group is not None and group != node.group:
                node.group, node.lost_ms = group, self.now_ms

    def set_store(self, *, is_down: bool) -> None:
        self.store_is_down = is_down

    def kill(self, nodes: Iterable[Node], down_ms: float) -> None:
        """End the processes of nodes; others without their memory take their place later."""
        for node in nodes:
            if not node.is_alive:
                continue
            node.is_alive, node.lost_ms = False, self.now_ms
            node.epoch += 1
            self.after(down_ms, self._restart, node)
            for stream in [item for item in self.running if item.node is node]:
                stream.node, stream.ends_ms = None, self.now_ms + _RESUME_PATIENCE_MS
                self.after(self.rng.uniform(5.0, 300.0), self._resume, stream)

    def _restart(self, node: Node) -> None:
        node.is_alive = True
        policy = self.settings.policy
        node.memory = OriginMemory(policy)
        node.version_retirement, node.service_retirement = Retirement(policy), Retirement(policy)
        node.availability = KvAvailability()
        node.copy, node.revision = None, -1
        node.has_read, node.confirmed = False, set()
        node.as_of_ms = node.agreed_ms = float("-inf")
        node.listed, node.table = (0, {}), None
        node.writing, node.handled, node.handled_ms = set(), None, float("-inf")
        self.after(0.0, self._poll, node, node.epoch)

    # --- what nodes reach and know ---------------------------------------------------------------

    def reach(self, node: Node, other: Node) -> bool:
        return node.is_alive and other.is_alive and node.group == other.group

    def lists(self, node: Node, other: Node) -> bool:
        """Whether a node holds another one for live."""
        if self.reach(node, other):
            return True
        lost_ms = node.lost_ms if node.lost_ms > other.lost_ms else other.lost_ms
        return self.now_ms - lost_ms < _SUSPICION_MS

    def store_answers(self, node: Node) -> bool:
        return node.is_alive and node.reaches_store and not self.store_is_down

    def is_served(self, origin: StreamOrigin) -> bool:
        return origin.software_version in self.listed[1].get(origin.service, ())

    def _announce(self) -> None:
        """Let nodes know of a change soon."""
        for node in self.nodes:
            self.after(self.rng.uniform(0.0, node.lag_ms), self._sync, node, node.epoch)

    def _poll(self, node: Node, epoch: int) -> None:
        if epoch == node.epoch:
            self._sync(node, epoch)
            self.after(node.sync_ms * self.rng.uniform(0.5, 1.5), self._poll, node, epoch)

    def _sync(self, node: Node, epoch: int) -> None:
        """Update a node's copies from the key-value service or a neighbour."""
        if epoch != node.epoch or not node.is_alive:
            return
        rng = self.rng
        if self.store_answers(node):
            node.availability.record_answer(self.now_ms)
            # Each prefix of the store is followed on its own.
            if rng.random() < self.read_share:
                self._merge(node, self.records, self.revision, self.now_ms)
                node.has_read = True
            if rng.random() < 0.8:
                node.listed = self.listed
            if rng.random() < 0.8:
                node.table = self.table
        else:
            node.availability.record_failure(self.now_ms)
            if not node.availability.is_unavailable(self.now_ms):
                self.after(_OUTAGE_POLL_MS, self._sync, node, epoch)
            reached = [item for item in self.nodes if item is not node and self.reach(node, item)]
            if reached:
                self._sync_with_neighbour(node, rng.choice(reached))
        if node.copy is not None and node.table is not None:
            is_unavailable = node.availability.is_unavailable(self.now_ms)
            state = node.copy, node.listed[0], node.table.version, is_unavailable
            if state != node.handled or self.now_ms - node.handled_ms >= _POLL_INTERVAL_MS:
                node.handled, node.handled_ms = state, self.now_ms
                self._maintain(node)
                self._send_unsent(node)

    def _sync_with_neighbour(self, node: Node, other: Node) -> None:
        if other.copy is not None:
            if other.revision >= node.revision:
                node.agreed_ms = self.now_ms
            self._merge(node, other.copy, other.revision, other.as_of_ms)
        node.listed = max(node.listed, other.listed, key=lambda item: item[0])
        tables = [item for item in (node.table, other.table) if item is not None]
        node.table = max(tables, key=lambda item: item.version, default=None)

    def _merge(
        self, node: Node, entries: dict[str, tuple[int, object]], revision: int, as_of_ms: float
    ) -> None:
        if node.copy is None:
            node.copy = entries
        elif node.copy is not entries:
            merged = dict(entries)
            for key, entry in node.copy.items():
                if key not in merged or entry[0] > merged[key][0]:
                    merged[key] = entry
            node.copy = merged
        node.revision = max(node.revision, revision)
        node.as_of_ms = max(node.as_of_ms, as_of_ms)

    # --- the records -----------------------------------------------------------------------------

    def _due(self, node: Node) -> dict[str, object]:
        """Return the records that a node would write."""
        return self._due_versions(node) | self._due_routes(node)

    def _due_versions(self, node: Node) -> dict[str, StartRecord]:
        services = node.table.stream_services
        listed = {name: node.listed[1].get(name, frozenset()) for name in services}
        recorded = {name: _recorded_versions(node, version_key(name)) for name in services}
        retired = node.version_retirement.due(
            recorded,
            listed,
            self.now_ms,
            is_certain=not node.availability.in_grace(self.now_ms),
            revisions={name: _revision(node, version_key(name)) for name in services},
        )
        wanted = {
            name: record.updated_versions(listed[name], retired.get(name, ()))
            for name, record in recorded.items()
        }
        return {
            version_key(name): record for name, record in wanted.items() if record != recorded[name]
        }

    def _due_routes(self, node: Node) -> dict[str, RouteRecord]:
        configured = stream_prefixes(node.table)[HOST]
        record = _recorded_routes(node)
        routed = routed_services(node.table, HOST, configured | record.prefixes.keys())
        retired = node.service_retirement.due(
            record.prefixes,
            routed,
            self.now_ms,
            is_certain=True,
            revisions=dict.fromkeys(record.prefixes, _revision(node, _ROUTE_KEY)),
        )
        wanted = record.updated(routed, retired, configured)
        return {} if wanted == record else {_ROUTE_KEY: wanted}

    def _maintain(self, node: Node) -> None:
        live = [item.name for item in self.nodes if self.lists(node, item)]
        for key in self._due(node):
            if key not in node.writing:
                node.writing.add(key)
                rank = rank_names(key, live).index(node.name)
                self.after(rank * _PAUSE_PER_RANK_MS, self._write, node, node.epoch, key)

    def _write(self, node: Node, epoch: int, key: str) -> None:
        if epoch != node.epoch:
            return
        node.writing.discard(key)
        wanted = self._due(node).get(key)
        if wanted is None or not self.store_answers(node):
            return
        expected = _revision(node, key)
        # The answer may be lost, and the service may execute the write much later.
        is_lost = self.rng.random() < self.late_share
        delay_ms = (
            self.rng.uniform(0.0, self.settings.late_write_ms)
            if is_lost
            else self.rng.uniform(1.0, 10.0)
        )
        self.after(delay_ms, self._execute, node, epoch, key, wanted, expected, is_lost)

    def _execute(
        self, node: Node, epoch: int, key: str, wanted: object, expected: int, is_lost: bool
    ) -> None:
        if self.records.get(key, (0, None))[0] != expected:
            return
        self.write(key, wanted)
        if epoch == node.epoch and not is_lost:
            node.copy = {**node.copy, key: self.records[key]}

    # --- streams that start ----------------------------------------------------------------------

    def _request(self) -> None:
        if self.now_ms < self.request_span_ms[1]:
            delay_ms = self.settings.request_ms * self.rng.uniform(0.3, 1.7)
            self.after(delay_ms, self._request)
        ready = [node for node in self.nodes if node.is_ready]
        if ready:
            key = f"stream-{next(self._numbers)}"
            stream = Stream(key, self.rng.choice(PATHS), self.now_ms)
            node = self.rng.choice(ready)
            self._begin(stream, node, node.epoch)

    def _begin(self, stream: Stream, node: Node, epoch: int) -> None:
        """Choose an upstream for a request, or wait until one may be chosen."""
        if epoch != node.epoch:
            return
        service = node.table.find(HOST, stream.path).choose_service(self.rng)
        listed = node.listed[1].get(service, frozenset()) & self.listed[1].get(service, frozenset())
        allowed = self.strategy.startable(self, node, service, stream.path)
        versions = listed if allowed is None else listed & allowed
        waited_ms = self.now_ms - stream.requested_ms
        if listed and not versions:
            self.outcome.blocked_ms.append(self.now_ms)
        if versions:
            origin = StreamOrigin(service, self.rng.choice(sorted(versions)))
            first_event_ms = self.rng.uniform(2.0, 150.0)
            self.after(first_event_ms, self._first_event, stream, node, epoch, origin)
        elif listed and waited_ms < _START_PATIENCE_MS:
            self.after(_START_PAUSE_MS, self._begin, stream, node, epoch)
        else:
            self.outcome.unstarted += bool(listed)

    def _first_event(self, stream: Stream, node: Node, epoch: int, origin: StreamOrigin) -> None:
        if epoch != node.epoch or not self.is_served(origin):
            return
        wait_ms = self._record_start(stream, node, origin)
        if wait_ms is not None:
            self.after(wait_ms, self._deliver, stream, node, epoch, origin)

    def _record_start(self, stream: Stream, node: Node, origin: StreamOrigin) -> float | None:
        """Record an origin at the node and its holders; return how long the first event waits.

        Return None if the stream may not start.
        """
        node.memory.record(stream.key, origin, self.now_ms, is_own=True)
        age_ms = self.now_ms - node.as_of_ms
        is_outdated = self.strategy.bounds_copies and node.copy is not None
        is_outdated = is_outdated and age_ms > self.settings.policy.max_copy_age_ms
        if not is_outdated and not self.strategy.notifies(self, node, origin, stream.path):
            return 0.0
        nodes = [item for item in self._holders(node, stream.key) if self.lists(node, item)]
        spools = self._disks(node, stream.key)
        is_stored = is_on_disk = False
        wait_ms = 3.0
        for _ in range(_SEND_ROUNDS):
            if not is_stored:
                is_stored = self._tell(
                    stream.key, origin, node, nodes[: self.settings.policy.notified_nodes]
                )
            if not is_on_disk:
                disks = spools[: self.settings.policy.notified_disks]
                is_on_disk = self._tell(stream.key, origin, node, disks) or not disks
            if is_stored and is_on_disk:
                break
            nodes = nodes[self.settings.policy.notified_nodes :]
            spools = spools[self.settings.policy.notified_disks :]
            wait_ms += _ACK_TIMEOUT_MS
        return None if is_outdated and not is_stored else wait_ms

    def _tell(self, key: str, origin: StreamOrigin, node: Node, holders: Sequence[Node]) -> bool:
        self.outcome.messages += 2 * len(holders)
        reached = [item for item in holders if self.reach(node, item)]
        for item in reached:
            item.memory.record(key, origin, self.now_ms)
        if reached:
            node.memory.mark_reported([key])
        return bool(reached)

    def _send_unsent(self, node: Node) -> None:
        """Tell the holders of streams that started while no other node needed their origins."""
        if not self.strategy.sends_unsent(self, node):
            return
        for item in node.memory.unreported(self.now_ms):
            key = item.stream_key
            nodes = [other for other in self._holders(node, key) if self.lists(node, other)]
            nodes = nodes[: self.settings.policy.notified_nodes]
            spools = self._disks(node, key)[: self.settings.policy.notified_disks]
            self._tell(key, item.origin, node, nodes + spools)

    def _ranked(self, key: str, processes: Sequence[Node]) -> list[Node]:
        if not processes:
            return []
        ranked = self._ranks.get((key, processes[0].name))
        if ranked is None:
            by_name = {item.name: item for item in processes}
            domains = {item.name: item.domain for item in processes}
            ranked = [by_name[name] for name in rank_holders(key, domains)]
            self._ranks[key, processes[0].name] = ranked
        return ranked

    def _holders(self, node: Node, key: str) -> list[Node]:
        """Return the other nodes in order; a node knows them from the records."""
        if node.copy is None:
            return []
        return [item for item in self._ranked(key, self.nodes) if item is not node]

    def _disks(self, node: Node, key: str) -> list[Node]:
        if node.copy is None:
            return []
        return self._ranked(key, self.spools)[: self.settings.policy.queried_disks]

    def _deliver(self, stream: Stream, node: Node, epoch: int, origin: StreamOrigin) -> None:
        """Give the client the first event."""
        if epoch != node.epoch:
            return
        self.outcome.started += 1
        stream.origin = origin
        stream.ends_ms = self.now_ms + self.rng.uniform(*self.settings.stream_ms)
        self.running.append(stream)
        self._relay(stream, node)

    def _relay(self, stream: Stream, node: Node) -> None:
        stream.node, stream.attempts = node, 0
        left_ms = stream.ends_ms - self.now_ms
        if self.rng.random() < self.settings.wandering:
            self.after(self.rng.uniform(0.0, left_ms), self._resume, stream)
        self.after(left_ms, self._end, stream)

    def _end(self, stream: Stream) -> None:
        if stream in self.running and stream.node is not None and self.now_ms >= stream.ends_ms:
            self.running.remove(stream)

    # --- streams that are resumed ----------------------------------------------------------------

    def _resume(self, stream: Stream) -> None:
        """Let the client resume its stream at any node."""
        ready = [node for node in self.nodes if node.is_ready]
        if stream not in self.running:
            return
        if stream.node is not None:
            stream.node, stream.ends_ms = None, self.now_ms + _RESUME_PATIENCE_MS
        if not ready:
            if self.now_ms < stream.ends_ms:
                self.after(_UNKNOWN_RETRY_MS, self._resume, stream)
            return
        node = self.rng.choice(ready)
        route = node.table.find(HOST, stream.path)
        recorded = list(node.memory.recorded(stream.key, self.now_ms))
        is_away = node.availability.is_unavailable(self.now_ms)
        timeout_ms = _AWAY_READ_TIMEOUT_MS if is_away else _READ_TIMEOUT_MS
        resumption = Resumption(stream, node, node.epoch, route, recorded, self.now_ms, timeout_ms)
        self.outcome.resumed += stream.attempts == 0
        if recorded:
            if self.strategy.notifies(self, node, recorded[0], stream.path):
                self._query(resumption)
            self._decide(resumption, "memory")
            return
        keys = self.strategy.read_keys(route)
        resumption.pending = 1 + len(keys)
        self.after(self.rng.uniform(1.0, 20.0), self._query_and_decide, resumption)
        for key in keys:
            self.after(self.rng.uniform(1.0, 30.0), self._read, resumption, key)

    def _query(self, resumption: Resumption) -> None:
        node, key = resumption.node, resumption.stream.key
        holders = self._holders(node, key)[: self.settings.policy.queried_nodes]
        holders += self._disks(node, key)
        self.outcome.messages += 2 * len(holders)
        for item in holders:
            if self.reach(node, item):
                resumption.reported += item.memory.recorded(key, self.now_ms)

    def _query_and_decide(self, resumption: Resumption) -> None:
        self._query(resumption)
        self._finish_one(resumption)

    def _read(self, resumption: Resumption, key: str) -> None:
        if self.store_answers(resumption.node) or self._neighbour_reads(resumption.node):
            resumption.found[key] = self.records.get(key, (0, None))[1]
        elif self.now_ms - resumption.requested_ms + _READ_PAUSE_MS < resumption.read_timeout_ms:
            self.after(_READ_PAUSE_MS, self._read, resumption, key)
            return
        self._finish_one(resumption)

    def _neighbour_reads(self, node: Node) -> bool:
        listed = [other for other in self.nodes if other is not node and self.lists(node, other)]
        asked = self.rng.sample(listed, min(self.strategy.asked_to_read, len(listed)))
        self.outcome.messages += 2 * len(asked)
        return any(self.reach(node, other) and self.store_answers(other) for other in asked)

    def _finish_one(self, resumption: Resumption) -> None:
        resumption.pending -= 1
        if not resumption.pending:
            keys = self.strategy.read_keys(resumption.route)
            is_read = len(resumption.found) == len(keys)
            known_by = "others" if resumption.reported else "record" if is_read else "copy"
            self._decide(resumption, known_by)

    def _decide(self, resumption: Resumption, known_by: str) -> None:
        stream, node, route = resumption.stream, resumption.node, resumption.route
        if resumption.epoch != node.epoch or stream not in self.running:
            self.after(_UNKNOWN_RETRY_MS, self._resume, stream)
            return
        registered = None if resumption.reported else self.strategy.registered(self, resumption)
        decided = decide_origin(resumption.reported, registered)
        may_continue = route.allows(stream.origin.service) and self.is_served(stream.origin)
        if isinstance(decided, Err):
            self._refuse(stream, may_continue)
            return
        origin = decided.ok_value
        if origin != stream.origin:
            self.outcome.misjudged += 1
            self.running.remove(stream)
            if route.allows(origin.service) and self.is_served(origin):
                self.outcome.joined += 1
                subject = "service" if origin.service != stream.origin.service else "version"
                self.outcome.ways[f"{subject} by {known_by}"] += 1
        elif not may_continue:
            self._refuse(stream, may_continue)
        else:
            self.outcome.continued += 1
            self.outcome.known_by[known_by] += 1
            stream.ends_ms = self.now_ms + self.rng.uniform(*self.settings.stream_ms)
            self._record_start(stream, node, origin)
            self._relay(stream, node)

    def _refuse(self, stream: Stream, may_continue: bool) -> None:
        stream.attempts += 1
        if stream.attempts <= self.settings.retries:
            self.after(_UNKNOWN_RETRY_MS * self.rng.uniform(1.0, 2.0), self._resume, stream)
            return
        self.running.remove(stream)
        self.outcome.refused += may_continue
        self.outcome.ended += not may_continue


def _names_in(record: object | None, path: str) -> frozenset[str]:
    if isinstance(record, RouteRecord):
        record = record.at(path)
    return frozenset() if record is None else record.names


def _node(name: str, number: int, settings: Settings) -> Node:
    policy = settings.policy
    retirements = Retirement(policy), Retirement(policy)
    return Node(name, f"d-{number % _DOMAINS}", OriginMemory(policy), *retirements)


def version_key(service: str) -> str:
    """Return the key of a service's record."""
    return f"version/{service}"


def route_table(version: int, routes: Mapping[str, Mapping[str, float]]) -> RouteTable:
    """Return a table whose routes lead to services by their weight, by path prefix."""
    return RouteTable(
        version,
        tuple(
            Route(prefix, HOST, prefix, RouteKind.STREAM, tuple(weights.items()), resumable=True)
            for prefix, weights in routes.items()
        ),
    )


def _revision(node: Node, key: str) -> int:
    return node.copy.get(key, (0, None))[0]


def _recorded_versions(node: Node, key: str) -> StartRecord:
    """Return the record whose versions a new one must retain until they are retired."""
    record = node.record(key)
    if record is not None:
        return record
    return StartRecord(frozenset((UNREADABLE,) if key in node.copy else ()))


def _recorded_routes(node: Node) -> RouteRecord:
    """Return the record whose services a new one must retain until they are retired."""
    record = node.record(_ROUTE_KEY)
    if record is not None:
        return record
    return RouteRecord.unreadable() if _ROUTE_KEY in node.copy else RouteRecord()


# --- strategies ----------------------------------------------------------------------------------


def _versions_startable(
    _fleet: Fleet, node: Node, service: str, _path: str
) -> frozenset[str] | None:
    record = node.record(version_key(service))
    return None if record is None else record.startable


def _recorded_startable(_fleet: Fleet, node: Node, service: str, path: str) -> frozenset[str]:
    routes, versions = node.record(_ROUTE_KEY), node.record(version_key(service))
    if routes is None or versions is None or service not in routes.at(path).startable:
        return frozenset()
    return versions.startable


def _has_several_versions(fleet: Fleet, node: Node, service: str) -> bool:
    record = node.record(version_key(service))
    if record is None or len(record.names) > 1:
        return True
    return node.availability.is_unavailable(fleet.now_ms)


def _versions_may_differ(fleet: Fleet, node: Node, origin: StreamOrigin, path: str) -> bool:
    route = node.table.find(HOST, path)
    return len(route.services) > 1 or _has_several_versions(fleet, node, origin.service)


def _starts_may_differ(fleet: Fleet, node: Node, origin: StreamOrigin, path: str) -> bool:
    routes = node.record(_ROUTE_KEY)
    if routes is None or routes.at(path).names != {origin.service}:
        return True
    return _has_several_versions(fleet, node, origin.service)


def _any_service_has_several(fleet: Fleet, node: Node) -> bool:
    served = node.table.stream_services & node.listed[1].keys()
    return any(_has_several_versions(fleet, node, name) for name in served)


def _any_path_has_several(fleet: Fleet, node: Node) -> bool:
    routes = node.record(_ROUTE_KEY)
    if routes is None or any(len(item.names) > 1 for item in routes.prefixes.values()):
        return True
    return _any_service_has_several(fleet, node)


def _always(*_args: object) -> bool:
    return True


def _version_keys(route: Route) -> list[str]:
    services = sorted(route.drawn_services)
    return [version_key(services[0])] if len(services) == 1 else []


def _all_keys(route: Route) -> list[str]:
    keys = _version_keys(route)
    return [_ROUTE_KEY, *keys] if keys else []


def _no_keys(_route: Route) -> list[str]:
    return []


def _copy_is_current(fleet: Fleet, node: Node) -> bool:
    live = [item for item in fleet.nodes if fleet.lists(node, item)]
    if 2 * len(live) <= len(fleet.nodes):
        return False
    now_ms = fleet.now_ms
    is_unavailable = node.availability.is_unavailable(now_ms)
    freshness = RecordFreshness(now_ms - node.as_of_ms, is_unavailable, now_ms - node.agreed_ms)
    return freshness.is_usable(_MAX_COPY_AGE_MS)


def _registered_versions(_fleet: Fleet, resumption: Resumption) -> RegisteredStarts | None:
    """Use the record of the service to which the route leads now, or a copy of it."""
    keys = _version_keys(resumption.route)
    if not keys:
        return None
    [key] = keys
    if key in resumption.found:
        record = resumption.found[key]
    elif _copy_is_current(_fleet, resumption.node):
        record = resumption.node.record(key)
    else:
        return None
    service = key.removeprefix(version_key(""))
    versions = frozenset() if record is None else record.names
    return RegisteredStarts(service, frozenset((service,)), versions)


def starts_in(
    records: Mapping[str, object | None], route: Route, path: str
) -> RegisteredStarts | None:
    """Return what the records say, None unless all are there."""
    keys = _all_keys(route)
    if not keys:
        return RegisteredStarts("", route.drawn_services)
    if not records.keys() >= set(keys):
        return None
    [service] = route.drawn_services
    routes = records[_ROUTE_KEY] or RouteRecord()
    versions = records[version_key(service)] or StartRecord()
    return RegisteredStarts(service, routes.at(path).names, versions.names)


def _registered_starts(_fleet: Fleet, resumption: Resumption) -> RegisteredStarts | None:
    return starts_in(resumption.found, resumption.route, resumption.stream.path)


def _nothing_registered(_fleet: Fleet, _resumption: Resumption) -> None:
    return None


def records_of(entries: Mapping[str, tuple[int, object]]) -> dict[str, object | None]:
    return {key: record for key, (_, record) in entries.items()}


# Lease: a copy counts for as long as no name that it lacks may start streams.


def _leased_startable(fleet: Fleet, node: Node, service: str, path: str) -> frozenset[str]:
    def is_ready(*name: str) -> bool:
        return fleet.now_ms - fleet.named_ms.get(name, 0.0) >= _LEASE_MS

    versions = _recorded_startable(fleet, node, service, path)
    if not versions or not is_ready(_ROUTE_KEY, path, service):
        return frozenset()
    key = version_key(service)
    return frozenset(version for version in versions if is_ready(key, "", version))


def _registered_by_lease(fleet: Fleet, resumption: Resumption) -> RegisteredStarts | None:
    registered = _registered_starts(fleet, resumption)
    node = resumption.node
    if registered is not None or fleet.now_ms - node.as_of_ms > _MAX_COPY_AGE_MS:
        return registered
    return starts_in(records_of(node.copy or {}), resumption.route, resumption.stream.path)


# Majority: copies of more than half of the registered nodes count.


def _confirming(fleet: Fleet, node: Node) -> list[Node]:
    """Return the nodes that answer, with this one; empty without a majority."""
    others = [item for item in fleet.nodes if item is not node]
    fleet.outcome.messages += 2 * len(others)
    found = [item for item in others if fleet.reach(node, item) and item.has_read]
    found += [node] if node.has_read else []
    return found if 2 * len(found) > len(fleet.nodes) else []


def _registered_by_majority(fleet: Fleet, resumption: Resumption) -> RegisteredStarts | None:
    registered = _registered_starts(fleet, resumption)
    if registered is not None:
        return registered
    newest: dict[str, tuple[int, object]] = {}
    for node in _confirming(fleet, resumption.node):
        for key, entry in node.copy.items():
            newest[key] = max(newest.get(key, entry), entry, key=lambda item: item[0])
    return starts_in(records_of(newest), resumption.route, resumption.stream.path)


def _confirmed_startable(fleet: Fleet, node: Node, service: str, path: str) -> frozenset[str]:
    """Return the startable versions whose names a majority of nodes has confirmed."""
    versions = _recorded_startable(fleet, node, service, path)
    key = version_key(service)
    missing = [
        name
        for name in ((path, service), *((key, version) for version in versions))
        if versions and name not in node.confirmed
    ]
    if missing:
        nodes = _confirming(fleet, node)
        for where, name in missing:
            having = [item for item in nodes if name in _names_at(item, where)]
            if 2 * len(having) > len(fleet.nodes):
                node.confirmed.add((where, name))
    if (path, service) not in node.confirmed:
        return frozenset()
    return frozenset(version for version in versions if (key, version) in node.confirmed)


def _names_at(node: Node, where: str) -> frozenset[str]:
    """Return the names in a node's copy of a service's record, or of the host's at a path."""
    if where in PATHS:
        routes = node.record(_ROUTE_KEY)
        return frozenset() if routes is None else routes.at(where).names
    record = node.record(where)
    return frozenset() if record is None else record.names


_RECORDS = Strategy(
    _recorded_startable,
    _starts_may_differ,
    _any_service_has_several,
    _all_keys,
    _registered_starts,
)
STRATEGIES = {
    "copy": Strategy(
        _versions_startable,
        _versions_may_differ,
        _any_service_has_several,
        _version_keys,
        _registered_versions,
        bounds_copies=False,
    ),
    "records": _RECORDS,
    "records, moved streams told": replace(_RECORDS, sends_unsent=_any_path_has_several),
    "records, read by others too": replace(_RECORDS, asked_to_read=2),
    "lease": replace(_RECORDS, startable=_leased_startable, registered=_registered_by_lease),
    "holders always": replace(
        _RECORDS,
        notifies=_always,
        sends_unsent=_always,
        read_keys=_no_keys,
        registered=_nothing_registered,
    ),
    "holders always, records": replace(_RECORDS, notifies=_always, sends_unsent=_always),
    "majority of readers": replace(_RECORDS, registered=_registered_by_majority),
    "majority of readers and starters": replace(
        _RECORDS, startable=_confirmed_startable, registered=_registered_by_majority
    ),
}


# --- courses -------------------------------------------------------------------------------------


def start_calm(fleet: Fleet) -> None:
    """Let each service have one version for long."""
    for service in SERVICES:
        fleet.serve(service, "v1")
        fleet.write(version_key(service), StartRecord(frozenset(("v1",))))
    fleet.write(_ROUTE_KEY, RouteRecord({"/": StartRecord(frozenset(SERVICES[:1]))}))


_TABLES: tuple[Mapping[str, Mapping[str, float]], ...] = (
    {"/": {"desk": 1.0}},
    {"/": {"desk-b": 1.0}},
    {"/": {"desk": 1.0, "desk-b": 1.0}},
    {"/": {"desk": 1.0}, "/check/": {"desk-b": 1.0}},
    {"/": {"desk-b": 1.0}, "/check/": {"desk": 1.0}},
)


def _start(fleet: Fleet) -> None:
    """Start in the calm, in some courses without a spool in reach."""
    start_calm(fleet)
    if fleet.rng.random() < 0.3:
        fleet.set_reach(fleet.spools, group=_AWAY)


def random_course(fleet: Fleet) -> None:
    """Let a few faults and changes overlap at random times."""
    rng = fleet.rng
    _start(fleet)
    if rng.random() < 0.2:
        # A service that no stream has used yet.
        del fleet.records[version_key("desk-b")]
    centre_ms = _centre_ms(fleet)
    spread_ms = rng.choice((100.0, 600.0))
    for _ in range(rng.randint(2, 6)):
        action = rng.choices((_release, _move, _cut, _kill, _outage), (3, 1, 3, 2, 1))[0]
        fleet.after(max(0.0, centre_ms + rng.gauss(0.0, spread_ms)), action, fleet)
    if rng.random() < 0.1:
        fleet.after(centre_ms, fleet.write, version_key("desk"), None)


def first_release(fleet: Fleet) -> None:
    """Release a version while nodes are cut off, and kill others soon after."""
    rng = fleet.rng
    _start(fleet)
    cut_ms = _centre_ms(fleet)
    fleet.after(cut_ms, rng.choice((_cut, _isolate)), fleet)
    fleet.after(cut_ms + rng.uniform(-50.0, 300.0), fleet.serve, "desk", "v1", "v2")
    fleet.after(cut_ms + rng.uniform(200.0, 1000.0), _kill, fleet)


def moved_routes(fleet: Fleet) -> None:
    """Move routes again and again, and kill nodes."""
    rng = fleet.rng
    _start(fleet)
    if rng.random() < 0.3:
        del fleet.records[version_key("desk-b")]
    centre_ms = _centre_ms(fleet)
    if rng.random() < 0.3:
        # Back before every node has known of it.
        fleet.after(centre_ms, fleet.configure, _TABLES[1])
        fleet.after(centre_ms + rng.uniform(50.0, 500.0), fleet.configure, _TABLES[0])
    else:
        for _ in range(rng.randint(1, 4)):
            fleet.after(max(0.0, centre_ms + rng.gauss(0.0, 500.0)), _move, fleet)
    fleet.late_share = rng.choice((0.05, 0.8))
    for action in rng.choices((_kill, _kill_most, _cut, _outage), (3, 1, 1, 1), k=2):
        fleet.after(centre_ms + rng.uniform(0.0, 1000.0), action, fleet)


def restarts(fleet: Fleet) -> None:
    """Let nodes start without memory while a version is released and the store fails."""
    rng = fleet.rng
    _start(fleet)
    centre_ms = _centre_ms(fleet)
    fleet.late_share, fleet.read_share = rng.choice(((0.05, 0.8), (0.8, 0.3), (0.8, 0.3)))
    nodes = rng.choice((fleet.nodes, _some(fleet, 3)))
    down_ms = rng.uniform(100.0, 1000.0)
    fleet.after(centre_ms, fleet.kill, nodes, down_ms)
    fleet.after(centre_ms + rng.uniform(0.0, down_ms + 50.0), fleet.serve, "desk", "v1", "v2")
    fleet.after(
        centre_ms + down_ms + rng.uniform(0.0, 800.0), rng.choice((_outage, _cut, _kill)), fleet
    )


LONG = Settings(
    duration_ms=400_000.0,
    sync_ms=(1500.0, 4000.0),
    lag_ms=(50.0, 500.0, 3000.0),
    request_ms=2000.0,
    stream_ms=(2000.0, 20_000.0),
    late_write_ms=20_000.0,
    cut_ms=((1000.0, 20_000.0),),
)


def retirements(fleet: Fleet) -> None:
    """Let versions and services leave and return, within settings such as ``LONG``.

    No node is cut off for longer than a name that has gone stays in a record after its mark.
    """
    rng, settings = fleet.rng, fleet.settings
    _start(fleet)
    fleet.late_share = 0.3
    at_ms = 0.0
    while at_ms < settings.duration_ms:
        at_ms += rng.expovariate(1 / 15_000.0)
        action = rng.choice((_replace, _replace, _move, _cut, _kill, _kill_most))
        fleet.after(at_ms, action, fleet)


RETURNS = replace(
    LONG, sync_ms=(500.0, 1500.0), lag_ms=(50.0, 500.0), request_ms=150.0, late_write_ms=20_000.0
)


def returns(fleet: Fleet) -> None:
    """Let a version or service return while its mark or its removal is being written."""
    rng = fleet.rng
    start_calm(fleet)
    fleet.set_reach(fleet.spools, group=_AWAY)
    # Nearly all writes are late, so that many nodes send the same one.
    fleet.late_share = 0.9
    gone_ms = 2000.0
    steps = rng.choice((1, 2))
    due_ms = gone_ms + fleet.settings.policy.retire_after_ms * steps
    back_ms = due_ms + rng.uniform(0.0, 10_000.0) * steps
    fleet.request_span_ms = (due_ms, back_ms + 15_000.0)
    if rng.random() < 0.5:
        fleet.after(gone_ms, fleet.serve, "desk", "v2")
        fleet.after(back_ms, fleet.serve, "desk", "v1", "v2")
    else:
        fleet.after(gone_ms, fleet.configure, _TABLES[1])
        fleet.after(back_ms, fleet.configure, rng.choice((_TABLES[0], _TABLES[2])))
    for _ in range(2):
        fleet.after(back_ms + rng.uniform(500.0, 15_000.0), _kill_most, fleet)


ISOLATED = replace(LONG, request_ms=100.0)


def isolated_for_long(fleet: Fleet) -> None:
    """Isolate a node until the service to which its routes lead has left the records."""
    rng = fleet.rng
    start_calm(fleet)
    [node] = rng.sample(fleet.nodes, 1)
    until_ms = 2 * fleet.settings.policy.retire_after_ms + 30_000.0
    fleet.request_span_ms = (until_ms, until_ms + 10_000.0)
    fleet.after(1000.0, lambda: fleet.set_reach([node], store=False, group=1))
    fleet.after(2000.0, fleet.configure, _TABLES[1])
    fleet.after(until_ms + rng.uniform(3000.0, 10_000.0), fleet.kill, [node], 1000.0)


def _replace(fleet: Fleet) -> None:
    """Replace the upstreams of a service by those of one or two versions."""
    versions = fleet.rng.sample(("v1", "v2"), fleet.rng.choice((1, 1, 2)))
    fleet.serve(fleet.rng.choices(SERVICES, (4, 1))[0], *versions)


def _centre_ms(fleet: Fleet) -> float:
    return fleet.rng.uniform(400.0, fleet.settings.duration_ms - 2500.0)


def _some(fleet: Fleet, most: int) -> list[Node]:
    return fleet.rng.sample(fleet.nodes, fleet.rng.randint(1, most))


def _release(fleet: Fleet) -> None:
    rng = fleet.rng
    service = rng.choices(SERVICES, (4, 1))[0]
    before = fleet.listed[1][service]
    new = rng.choices(("v1", "v2", "v3"), (1, 4, 1))[0]
    fleet.serve(service, *before, new)
    if rng.random() < 0.5:
        fleet.after(rng.uniform(50.0, 3000.0), fleet.serve, service, new)


def _move(fleet: Fleet) -> None:
    fleet.configure(fleet.rng.choice(_TABLES))


def _cut(fleet: Fleet) -> None:
    """Cut nodes off from the store, from other nodes, or from both."""
    rng = fleet.rng
    nodes = _some(fleet, len(fleet.nodes) // 2)
    loses_store, loses_nodes = rng.choice(
        ((True, True), (True, True), (True, False), (False, True))
    )
    lasts_ms = rng.uniform(*rng.choice(fleet.settings.cut_ms))
    is_together = rng.random() < 0.3
    for number, node in enumerate(nodes):
        group = (1 if is_together else 1 + number) if loses_nodes else None
        fleet.set_reach([node], store=False if loses_store else None, group=group)
    fleet.after(lasts_ms, _heal, fleet, nodes)


def _isolate(fleet: Fleet) -> None:
    """Cut nodes off from the store and from all other nodes."""
    nodes = _some(fleet, 2)
    for number, node in enumerate(nodes):
        fleet.set_reach([node], store=False, group=1 + number)
    fleet.after(fleet.rng.uniform(1000.0, 3000.0), _heal, fleet, nodes)


def _heal(fleet: Fleet, nodes: Sequence[Node]) -> None:
    fleet.set_reach(nodes, store=True, group=0)


def _kill(fleet: Fleet) -> None:
    nodes = fleet.nodes if fleet.rng.random() < 0.1 else _some(fleet, 2)
    fleet.kill(nodes, fleet.rng.uniform(100.0, 2500.0))


def _kill_most(fleet: Fleet) -> None:
    fleet.kill(fleet.rng.sample(fleet.nodes, len(fleet.nodes) - 1), fleet.rng.uniform(100.0, 500.0))


def _outage(fleet: Fleet) -> None:
    fleet.store_is_down = True
    lasts_ms = fleet.rng.choice((300.0, 1000.0, 5000.0))

    def end() -> None:
        fleet.store_is_down = False

    fleet.after(lasts_ms, end)


COURSES = (random_course, first_release, moved_routes, restarts)


def play(
    strategy: Strategy,
    course: Callable[[Fleet], None],
    seed: int,
    settings: Settings | None = None,
) -> Outcome:
    """Play one course, which schedules its faults and changes."""
    fleet = Fleet(strategy, settings or Settings(), random.Random(f"{course.__name__}-{seed}"))
    course(fleet)
    return fleet.run()
