"""Replays a load against owners of permits in virtual time, and returns what callers get.

Permit search, holders and owners are the production code.  Channels are simulated by delayed calls,
and engines by slots and a time between events, which is constant or given by ``PlayedSpeeds``.
Must run under a ``trio`` mock clock.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from itertools import count
from secrets import token_hex

import msgspec
import trio
from msgspec.structs import replace as replace_fields
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.agent.engine_checks import engine_checks
from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import Grant, PermitClient
from fescuedock.agent.permit_service import PermitService
from fescuedock.clock import now_ms
from fescuedock.core.admission import Admission
from fescuedock.core.forwarding.progress import AttemptEnd
from fescuedock.core.route_learning import DomainLatency, PrefillModel, RequestTimeout, SilentOwners
from fescuedock.core.routing import Demand, Ranking, RoutingPolicy
from fescuedock.core.stored_jobs.job import ItemEnd, ItemRun, StoredJob
from fescuedock.core.stored_jobs.pool import ItemPool
from fescuedock.core.stored_jobs.urgency import ItemChoice
from fescuedock.entry.online_permits import find_permit
from fescuedock.faults import Fault
from fescuedock.node.attempt import AttemptRecord
from fescuedock.node.item_permits import ItemPermitRequester
from fescuedock.schema.config import Configuration
from fescuedock.schema.permits import LoadSnapshot
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import (
    AgentSettings,
    NodeSettings,
    PermitSettings,
    PlatformSettings,
    VmSettings,
)
from fescuedock.schema.stored_jobs import StoredItem, StoredJobRecord
from fescuedock.schema.view import Program, UpstreamKind, UpstreamRecord, VmRecord, VmState
from fescuedock.settings import Settings
from tests.builders.played_speeds import PlayedSpeeds

__all__ = [
    "BatchLoad",
    "CallOutcome",
    "CallTimes",
    "ItemOutcome",
    "PlayedFleet",
    "PlayedNode",
    "play_calls",
    "play_jobs",
]

SERVICE = "desk-llm"
_AGENT_PORT = 7720
# Nodes of groups above this one have crashed, so clients do not call them.
_MAX_CALLED_GROUP = 1
_IDLE_SAMPLE_S = 0.05


@dataclass(frozen=True, slots=True)
class CallTimes:
    """Durations and bounds of a call; ``target_ms`` and ``deadline_ms`` count from its arrival."""

    target_ms: float = 300.0
    deadline_ms: float = 5000.0
    # How long callers wait for the first event before they leave.
    patience_ms: float = 2000.0
    first_event_ms: float = 45.0
    event_ms: float = 28.0
    events: int = 26
    pause_ms: float = 400.0


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The result of one call; ``first_event_ms`` is negative for a refusal or no answer.

    ``waited_ms`` is how long a caller waited that got no event.
    """

    arrived_ms: float
    first_event_ms: float
    target_ms: float
    waited_ms: float = 0.0
    refused: bool = False
    upstream_id: str = ""
    # Whether its upstream is in another failure domain than its node.
    crossed_domain: bool = False
    # Whether it was complete by its deadline without too long a pause.
    kept_up: bool = True
    member: str = ""

    @property
    def on_time(self) -> bool:
        return 0 <= self.first_event_ms <= self.target_ms and self.kept_up


@dataclass(frozen=True, slots=True)
class BatchLoad:
    """Jobs of ``items`` items arrive at random times; all items are due ``due_ms`` later."""

    per_s: float
    length_s: float
    items: int = 10
    due_ms: float = 18_000.0
    events: int = 182
    event_ms: float = 28.0
    # The delay of each run before its first event.
    first_event_ms: float = 0.0
    # How long after the submission its client ends a job.
    ended_after_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class ItemOutcome:
    """A completed batch item: how long after its job's arrival, and after how many runs."""

    took_ms: float
    due_ms: float
    runs: int
    job_id: str = ""

    @property
    def on_time(self) -> bool:
        return self.took_ms <= self.due_ms


class _Channel:
    """A channel to one node: messages take ``hop_ms``, and are handled even if the caller left."""

    def __init__(self, target: "PlayedNode", sender: "PlayedNode", hop_ms: float) -> None:
        self._target = target
        self._sender = sender
        self._hop_s = hop_ms / 1000

    async def call(
        self, message: msgspec.Struct, timeout_ms: float
    ) -> Result[msgspec.Struct, Fault]:
        answered = trio.Event()
        replies: list[msgspec.Struct] = []

        async def handle() -> None:
            await trio.sleep(self._hop_s)
            if self._target.group != self._sender.group:
                return
            replies.append(await self._target.handle(message, self._peer()))
            await trio.sleep(self._hop_s)
            answered.set()

        self._sender.nursery.start_soon(handle)
        with trio.move_on_after(timeout_ms / 1000):
            await answered.wait()
            return Ok(replies[0])
        return Err(Fault(ResultCode.PEER_UNKNOWN, "no answer in time"))

    def push(self, message: msgspec.Struct) -> bool:
        async def handle() -> None:
            await trio.sleep(self._hop_s)
            if self._target.group == self._sender.group:
                await self._target.handle(message, self._peer())

        self._sender.nursery.start_soon(handle)
        return True

    def _peer(self) -> "_Peer":
        return _Peer(self._target, self._sender, self._hop_s)


@dataclass(slots=True)
class _Peer:
    """The channel back to the holder of permits, for messages that the owner pushes."""

    owner: "PlayedNode"
    holder: "PlayedNode"
    hop_s: float

    def push(self, message: msgspec.Struct) -> bool:
        async def deliver() -> None:
            await trio.sleep(self.hop_s)
            if self.holder.group == self.owner.group:
                self.holder.permits.handle_push(message)

        self.owner.nursery.start_soon(deliver)
        return True


class _Channels:
    """Replaces the ``PeerChannels`` of one node."""

    def __init__(self, sender: "PlayedNode", nodes: dict[str, "PlayedNode"], hop_ms: float) -> None:
        self._sender = sender
        self._nodes = nodes
        self._hop_ms = hop_ms

    async def get(self, address: Address) -> _Channel:
        return _Channel(self._nodes[address.host], self._sender, self._hop_ms)


@dataclass(slots=True)
class _Search:
    """The state that the calls of one node share; see ``PermitSearch``."""

    view: FleetView
    permits: PermitClient
    rng: random.Random
    routing: RoutingPolicy
    admission: Admission = field(default_factory=Admission)
    latency: DomainLatency = field(default_factory=DomainLatency)
    reply_timeout: RequestTimeout = field(default_factory=RequestTimeout)
    silent_owners: SilentOwners = field(init=False)

    def __post_init__(self) -> None:
        self.silent_owners = SilentOwners(self.routing)

    def prefill(self, _service: str) -> PrefillModel:
        return PrefillModel()

    def new_identity(self) -> str:
        return f"{self.rng.getrandbits(128):032x}"

    def is_connected(self, _upstream: UpstreamRecord) -> bool:
        return True


class PlayedNode:
    """One node: a holder of permits, the owner of some upstreams, and the permit search."""

    def __init__(
        self,
        number: int,
        nodes: dict[str, "PlayedNode"],
        nursery: trio.Nursery,
        routing: RoutingPolicy,
        seed: int,
        hop_ms: float,
        domain: str = "d1",
    ) -> None:
        self.domain = domain
        self.vm_id = f"vm-{number}"
        # Nodes of different groups do not reach each other.
        self.group = 0
        self.host = f"10.0.0.{number + 1}"
        self.nursery = nursery
        self.rng = random.Random(seed * 1000 + number)
        self.view = FleetView(self.vm_id)
        self.view.replace_configuration(1, 1, Configuration(), 0.0)
        self.settings = Settings(
            vm=VmSettings(self.vm_id, self.host, "r1", domain),
            platform=PlatformSettings("127.0.0.1:1", "127.0.0.1:1"),
            agent=AgentSettings(_AGENT_PORT, permit_valid_ms=1500),
            permits=PermitSettings(max_limit=64, ended_batch_ms=2, adjust_ms=200),
        )
        channels = _Channels(self, nodes, hop_ms)
        self.permits = PermitClient(self.settings, self.view, channels, f"{self.vm_id}/node", {})
        self._service = PermitService(
            self.settings, self.view, engine_checks(None, self.rng), self.rng
        )
        self._handlers = self._service.handlers()
        self.search = _Search(self.view, self.permits, self.rng, routing)

    def record(self) -> VmRecord:
        vm = VmRecord(
            self.vm_id, "r1", self.domain, self.host, 1, VmState.ALIVE, agent_port=_AGENT_PORT
        )
        vm.ready = [Program.AGENT]
        return vm

    def start(self) -> None:
        self.nursery.start_soon(self.permits.run)
        self.nursery.start_soon(self._service.run)

    def degrade_reports(self, rng: random.Random, lost_share: float, age_ms: float) -> None:
        record_loads = self.permits._record_loads

        async def record_delayed(loads: list[LoadSnapshot]) -> None:
            await trio.sleep(rng.uniform(0.0, age_ms) / 1000)
            record_loads(loads)

        def degrade(loads: list[LoadSnapshot]) -> None:
            if rng.random() >= lost_share:
                self.nursery.start_soon(record_delayed, loads)

        self.permits._record_loads = degrade

    async def handle(self, message: msgspec.Struct, peer: _Peer) -> msgspec.Struct | None:
        return await self._handlers[type(message)](message, peer)


@dataclass(slots=True)
class PlayedFleet:
    """Nodes and upstreams with ``slots`` each; ``running`` counts the runs at each upstream."""

    nodes: list[PlayedNode]
    slots: int
    running: Counter[str] = field(default_factory=Counter)
    max_running: int = 0
    # None: all upstreams always have the speed of ``CallTimes``.
    speeds: PlayedSpeeds | None = None
    # Whether calls request permits under their customer's name.
    distinguishes_customers: bool = True
    cut_runs: int = 0
    # Slot-seconds that were idle, and those of them in which an item waited, while jobs arrive.
    idle_slot_s: float = 0.0
    wasted_slot_s: float = 0.0
    # Slot-seconds of all runs of items, and of the runs with events of items that were completed.
    batch_slot_s: float = 0.0
    useful_slot_s: float = 0.0
    # Runs that were cut off before their first event.
    runs_without_output: int = 0

    @classmethod
    async def start(
        cls,
        nursery: trio.Nursery,
        *,
        nodes: int,
        upstreams: int,
        slots: int,
        routing: RoutingPolicy,
        seed: int,
        hop_ms: float = 1.4,
        domains: int = 1,
    ) -> "PlayedFleet":
        """Start a fleet in which every node sees the others; wait until owners admit batch work."""
        by_host: dict[str, PlayedNode] = {}
        played = [
            PlayedNode(number, by_host, nursery, routing, seed, hop_ms, f"d{number % domains + 1}")
            for number in range(nodes)
        ]
        by_host.update((node.host, node) for node in played)
        records = [
            UpstreamRecord(
                f"i-{number}",
                "r1",
                f"d{number % domains + 1}",
                "10.1.0.1",
                9,
                UpstreamKind.PLAIN,
                SERVICE,
                slots=slots,
            )
            for number in range(upstreams)
        ]
        for node in played:
            node.view.replace(1, [other.record() for other in played], records, 0.0)
            node.start()
        # Owners admit batch work after one permit validity, 1,500 ms.
        await trio.sleep(2.0)
        return cls(played, slots)

    async def isolate(self, groups: Sequence[Sequence[PlayedNode]], notice_s: float) -> None:
        """Partition groups of nodes from the others; the views change after ``notice_s``."""
        for number, group in enumerate(groups, start=1):
            for node in group:
                node.group = number
        await trio.sleep(notice_s)
        for node in self.nodes:
            reached = [other.record() for other in self.nodes if other.group == node.group]
            upstreams = list(node.view.upstreams.values())
            node.view.replace(node.view.version + 1, reached, upstreams, 0.0)

    def remove_upstreams(self, count: int) -> None:
        """Remove ``count`` upstreams from the views of all nodes at once."""
        for node in self.nodes:
            left = list(node.view.upstreams.values())[count:]
            nodes = list(node.view.vms.values())
            node.view.replace(node.view.version + 1, nodes, left, 0.0)

    def begin_run(self, upstream_id: str) -> None:
        self.running[upstream_id] += 1
        self.max_running = max(self.max_running, self.running[upstream_id])

    def end_run(self, upstream_id: str) -> None:
        self.running[upstream_id] -= 1

    def factor(self, upstream_id: str) -> float:
        """Return the current slowdown factor of an upstream; 1.0 is the normal speed."""
        if self.speeds is None:
            return 1.0
        return self.speeds.factor(upstream_id, self.running, now_ms())

    def replace_upstreams(self, records: list[UpstreamRecord]) -> None:
        """Replace the upstreams in all views; runs at removed ones may finish."""
        for node in self.nodes:
            members = list(node.view.vms.values())
            node.view.replace(node.view.version + 1, members, records, 0.0)

    def degrade_reports(self, rng: random.Random, lost_share: float, age_ms: float) -> None:
        """Lose ``lost_share`` of the load reports from now on; delay others by up to ``age_ms``."""
        for node in self.nodes:
            node.degrade_reports(rng, lost_share, age_ms)

    def set_ranking(self, rank: Ranking | None) -> None:
        """Make all nodes rank upstreams by ``rank``."""
        for node in self.nodes:
            node.search.routing = replace_fields(node.search.routing, rank=rank)

    def crosses(self, node: PlayedNode, upstream_id: str) -> bool:
        return node.view.upstreams[upstream_id].failure_domain != node.domain

    def callable_nodes(self) -> list[PlayedNode]:
        """Return the nodes that clients still call: all but the crashed ones."""
        return [node for node in self.nodes if node.group <= _MAX_CALLED_GROUP]

    @property
    def total_slots(self) -> int:
        return self.slots * len(self.nodes[0].view.upstreams)


@dataclass(slots=True)
class _Call:
    """One call as the search for permits sees it; see ``OnlineCall``."""

    request_id: str
    times: CallTimes
    work_id: str = ""
    parts: tuple[str, ...] = ()
    arrived_ms: float = field(default_factory=now_ms)
    service: str = SERVICE
    member: str = ""
    priority: int = 0
    demand: Demand = field(default_factory=lambda: Demand(450, 0, ""))
    max_tokens: int = 0
    software_versions: None = None
    repeatable: bool = True

    def urgency(self) -> tuple[int, int]:
        return self.priority, int(now_ms() - self.arrived_ms)

    def left_ms(self) -> float:
        return self.arrived_ms + self.times.deadline_ms - now_ms()

    def start_left_ms(self) -> float:
        patience_ms = self.times.patience_ms - self.times.first_event_ms
        return self.arrived_ms + patience_ms - now_ms()

    def target_left_ms(self) -> int:
        used_ms = now_ms() - self.arrived_ms + self.times.first_event_ms
        return int(self.times.target_ms - used_ms) or -1


async def _run_call(
    fleet: PlayedFleet, node: PlayedNode, times: CallTimes, member: str
) -> CallOutcome:
    member_name = member if fleet.distinguishes_customers else ""
    call = _Call(token_hex(8), times, member=member_name)
    granted: Result[Grant, Fault] | None = None
    with trio.move_on_after(times.patience_ms / 1000):
        granted = await find_permit(node.search, call)
    waited_ms = now_ms() - call.arrived_ms
    if not isinstance(granted, Ok):
        refused = granted is not None
        return CallOutcome(
            call.arrived_ms, -1.0, times.target_ms, waited_ms, refused, member=member
        )
    grant = granted.ok_value
    # Determined now, as the upstream may be removed before the run ends.
    crossed_domain = fleet.crosses(node, grant.upstream_id)
    first_ms, kept_up = await _execute_call(fleet, grant, call)
    return CallOutcome(
        call.arrived_ms,
        first_ms - call.arrived_ms,
        times.target_ms,
        upstream_id=grant.upstream_id,
        crossed_domain=crossed_domain,
        kept_up=kept_up,
        member=member,
    )


async def _execute_call(fleet: PlayedFleet, grant: Grant, call: _Call) -> tuple[float, bool]:
    """Run a call under its permit; return the time of the first event and ``kept_up``.

    An ``AttemptRecord`` reports the progress to the owner.
    """
    times = call.times
    fleet.begin_run(grant.upstream_id)
    record = AttemptRecord(grant, grant.work_class, now_ms(), call.demand.prompt_tokens)
    longest_ms = 0.0
    try:
        await trio.sleep(times.first_event_ms * fleet.factor(grant.upstream_id) / 1000)
        first_ms = now_ms()
        record.record_events(1)
        for _ in range(times.events - 1):
            pause_ms = times.event_ms * fleet.factor(grant.upstream_id)
            longest_ms = max(longest_ms, pause_ms)
            await trio.sleep(pause_ms / 1000)
            record.record_events(1)
    finally:
        fleet.end_run(grant.upstream_id)
        record.finish(None)
    return first_ms, longest_ms <= times.pause_ms and call.left_ms() >= 0


async def play_calls(
    fleet: PlayedFleet,
    rates: Sequence[tuple[float, float]],
    rng: random.Random,
    times: CallTimes | None = None,
    draw_member: Callable[[], str] = str,
) -> list[CallOutcome]:
    """Send calls at random times to random nodes and return their outcomes.

    ``rates`` is a list of phases, each with its length in seconds and its calls per second.
    ``draw_member`` returns the customer of a call.
    """
    times = times or CallTimes()
    outcomes: list[CallOutcome] = []

    async def send(node: PlayedNode, sent_times: CallTimes, member: str) -> None:
        outcomes.append(await _run_call(fleet, node, sent_times, member))

    async with trio.open_nursery() as calls:
        for length_s, per_s in rates:
            end_s = trio.current_time() + length_s
            while trio.current_time() < end_s:
                events = max(2, round(rng.gauss(times.events, times.events / 5)))
                node = rng.choice(fleet.callable_nodes())
                calls.start_soon(send, node, replace(times, events=events), draw_member())
                await trio.sleep(rng.expovariate(per_s))
    return outcomes


class _Runner:
    """Runs the items of one node's jobs like ``JobRunner``, but without a store."""

    def __init__(self, fleet: PlayedFleet, node: PlayedNode, load: BatchLoad) -> None:
        self._fleet = fleet
        self._node = node
        self._load = load
        self._jobs: list[StoredJob] = []
        self._lengths: dict[str, int] = {}
        self._runs: Counter[str] = Counter()
        # Total time of the runs that produced events, by item.
        self._productive_s: Counter[str] = Counter()
        self._pool = ItemPool(lambda: self._jobs, lambda _record, _service: True)
        settings = NodeSettings("0.0.0.0:1", "0.0.0.0:1", "0.0.0.0:1", "0.0.0.0:1")
        self._requester = ItemPermitRequester(
            settings,
            node.view,
            node.permits,
            node.rng,
            self._waiting,
            self._choose,
            self._start_item,
            self._choose_overdue,
            lambda: self._pool.any_overdue(now_ms()),
        )
        self.outcomes: list[ItemOutcome] = []

    def add_job(self, number: int, rng: random.Random, due_ms: float | None = None) -> str:
        """Add a job and return its identity; ``due_ms`` overrides that of the load."""
        load = self._load
        names = [f"{number}-{index}" for index in range(load.items)]
        for name in names:
            self._lengths[name] = max(10, round(rng.gauss(load.events, load.events / 6)))
        items = [StoredItem(name, "/letters/", [], b"", 100) for name in names]
        due_ms = load.due_ms if due_ms is None else due_ms
        record = StoredJobRecord(
            f"job-{number}", "desk.example", "/letters/", 0, int(due_ms), 60_000, len(items)
        )
        due_at_ms = now_ms() + due_ms
        job = StoredJob(record, items, [], due_at_ms, due_at_ms + 60_000)
        self._jobs.append(job)
        self._requester.wake()
        return job.job_id

    async def end_job(self, job_id: str, after_s: float) -> None:
        """End a job after ``after_s``; its running items may finish."""
        await trio.sleep(after_s)
        self._jobs = [job for job in self._jobs if job.job_id != job_id]

    async def run(self) -> None:
        await self._requester.run(self._next_poll_s)

    def _next_poll_s(self) -> float:
        return min(max(self._pool.next_ready_ms(now_ms()) - now_ms(), 0.0) / 1000, 0.25)

    def _waiting(self) -> Counter[str]:
        return self._pool.waiting([SERVICE], now_ms())

    def waiting_items(self) -> int:
        return self._waiting()[SERVICE]

    def _choose(self, upstream: UpstreamRecord, position: int = 0) -> ItemChoice | None:
        return self._pool.choose(upstream.upstream_id, SERVICE, now_ms(), position)

    def _choose_overdue(self, upstream: UpstreamRecord) -> ItemChoice | None:
        return self._pool.choose_overdue(upstream.upstream_id, SERVICE, now_ms())

    def _start_item(self, upstream_id: str, grant: Grant) -> None:
        upstream = self._node.view.upstreams[upstream_id]
        choice = None
        if grant.is_overdue:
            choice = self._pool.claim_overdue(upstream_id, SERVICE, now_ms())
        choice = choice or self._choose(upstream)
        if choice is None:
            self._node.permits.return_unused(grant)
            return
        grant.update_work_state(
            choice.stage, choice.slack_ms, choice.left_ms, choice.run.runs_without_output
        )
        self._pool.start(choice.run, now_ms())
        self._node.nursery.start_soon(self._run_item, choice.job, choice.run, grant)

    def _event_ms(self, grant: Grant) -> float:
        return self._load.event_ms * self._fleet.factor(grant.upstream_id)

    async def _run_item(self, job: StoredJob, run: ItemRun, grant: Grant) -> None:
        name = run.item.item_id
        length = self._lengths[name]
        self._runs[name] += 1
        self._fleet.begin_run(grant.upstream_id)
        record = AttemptRecord(grant, grant.work_class, now_ms())
        began_event = run.last_event
        await self._wait(grant, self._load.first_event_ms)
        while run.last_event + 1 < length and not grant.revoked.is_set():
            await self._wait(grant, self._event_ms(grant))
            if not grant.revoked.is_set():
                run.last_event += 1
                record.record_events(1)
        self._fleet.end_run(grant.upstream_id)
        self._fleet.cut_runs += run.last_event + 1 < length
        ran_ms = now_ms() - record.started_ms
        self._record_time(name, ran_ms, productive=run.last_event > began_event)
        end = ItemEnd.INTERRUPTED if run.last_event + 1 < length else ItemEnd.COMPLETED
        record.finish(None if end is ItemEnd.COMPLETED else AttemptEnd.REVOKED)
        self._pool.finish(job, run, end, grant.upstream_id, 3, now_ms())
        if end is ItemEnd.COMPLETED:
            self._fleet.useful_slot_s += self._productive_s[name]
            took_ms = now_ms() - (job.due_ms - job.record.due_in_ms)
            outcome = ItemOutcome(took_ms, job.record.due_in_ms, self._runs[name], job.job_id)
            self.outcomes.append(outcome)
        self._requester.wake()

    async def _wait(self, grant: Grant, for_ms: float) -> None:
        """Wait for ``for_ms``, or until the permit is revoked."""
        with trio.move_on_after(for_ms / 1000):
            await grant.revoked.wait()

    def _record_time(self, name: str, ran_ms: float, *, productive: bool) -> None:
        self._fleet.batch_slot_s += ran_ms / 1000
        self._fleet.runs_without_output += not productive
        if productive:
            self._productive_s[name] += ran_ms / 1000


async def _watch_idle(fleet: PlayedFleet, runners: list[_Runner], end_s: float) -> None:
    """Sum up the idle slots until ``end_s``, sampled every ``_IDLE_SAMPLE_S``."""
    while trio.current_time() < end_s:
        idle = max(fleet.total_slots - fleet.running.total(), 0)
        waiting = sum(runner.waiting_items() for runner in runners)
        fleet.idle_slot_s += idle * _IDLE_SAMPLE_S
        fleet.wasted_slot_s += min(idle, waiting) * _IDLE_SAMPLE_S
        await trio.sleep(_IDLE_SAMPLE_S)


async def play_jobs(
    fleet: PlayedFleet,
    load: BatchLoad,
    rng: random.Random,
    rest_s: float = 60.0,
    *,
    late_jobs: int = 0,
) -> list[ItemOutcome]:
    """Send jobs to random nodes; return the items completed up to ``rest_s`` after the last job.

    ``late_jobs`` jobs are sent first, and are due immediately.
    """
    nursery = fleet.nodes[0].nursery
    runners = [_Runner(fleet, node, load) for node in fleet.nodes]
    for runner in runners:
        nursery.start_soon(runner.run)
    end_s = trio.current_time() + load.length_s
    nursery.start_soon(_watch_idle, fleet, runners, end_s)
    numbers = count()
    for _ in range(late_jobs):
        rng.choice(runners).add_job(next(numbers), rng, due_ms=0.0)
    while trio.current_time() < end_s:
        runner = rng.choice(runners)
        job_id = runner.add_job(next(numbers), rng)
        if load.ended_after_s < float("inf"):
            nursery.start_soon(runner.end_job, job_id, load.ended_after_s)
        await trio.sleep(rng.expovariate(load.per_s))
    await trio.sleep(rest_s)
    return [outcome for runner in runners for outcome in runner.outcomes]
