"""One run of the mixed bench: a deployment's traffic under one policy of sharing the engines."""

import math
import random
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bench.mix_actors import HOP_MS, BatchRunner, Entry, Fleet, Item, OnlineResult, OwnerHost
from bench.mix_traffic import Deployment, arrivals_of, random_token_count
from bench.virtual import Attempt, VirtualLoop
from fescuedock.core.permits.owner import PermitOwner
from fescuedock.schema.config import Objectives
from fescuedock.schema.settings import PermitSettings
from fescuedock.standin.token_time import EngineProfile

__all__ = [
    "DirectBatch",
    "DirectOnline",
    "Faults",
    "Plan",
    "RunResult",
    "run_direct",
    "run_oracle",
    "run_plan",
    "run_with_permits",
]

ENTRIES = 4
DIRECT_BATCH_PER_WORKER = 64
OWNER_DETECTION_MS = 4000.0
WARM_UP_MS = 20_000.0

# Returns how many batch attempts may run at a worker, and whether new prompts may start there.
BatchLimit = Callable[[str], tuple[int, bool]]


@dataclass(frozen=True, slots=True)
class Faults:
    """Times of injected faults; a negative time disables the fault."""

    kill_worker_ms: float = -1.0
    kill_owner_ms: float = -1.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of one run."""

    deployment: Deployment
    seed: int
    duration_ms: float = 80_000.0
    load: float = 1.0
    # From this time on the load is half the capacity of the engines.
    calm_from_ms: float = math.inf
    batch: bool = True
    settings: PermitSettings = field(default_factory=PermitSettings)
    profile: EngineProfile = field(default_factory=EngineProfile)
    faults: Faults = field(default_factory=Faults)
    make_owner: Callable[[PermitSettings, int], PermitOwner] = PermitOwner
    deadline_ms: float = 10_000.0

    def load_at(self, at_ms: float) -> float:
        return self.load if at_ms < self.calm_from_ms else self.deployment.capacity_load / 2

    def results(self) -> list[OnlineResult]:
        """Return the results of all requests of the run, without measurements yet."""
        arrivals = arrivals_of(self.deployment, self.seed, self.duration_ms, self.load_at)
        return [OnlineResult(arrival) for arrival in arrivals]

    def rng(self, purpose: str) -> random.Random:
        return random.Random(f"{self.deployment.name}/{self.seed}/{purpose}")


@dataclass(slots=True)
class RunResult:
    """Results of one run; samples come from requests that arrived after the warm-up."""

    results: list[OnlineResult]
    duration_ms: float
    batch_tokens: int = 0
    revoked: int = 0
    reread_tokens: int = 0
    revocations_ms: list[float] = field(default_factory=list)
    # Start and end times of the online requests at each worker.
    online_spans: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    def _measured(self) -> list[OnlineResult]:
        return [item for item in self.results if item.arrival.at_ms >= WARM_UP_MS]

    def first_tokens_ms(self) -> list[float]:
        return [item.first_token_ms for item in self._measured() if item.first_token_ms >= 0]

    def gaps_ms(self) -> list[float]:
        return [gap for item in self._measured() for gap in item.gaps_ms]

    def attained_share(self, objectives: Objectives) -> float:
        """Return the share of requests whose first token and mean gap met the objectives."""
        kept = [_attains(item, objectives) for item in self._measured()]
        return sum(kept) / max(len(kept), 1)

    def goodput_per_s(self, deadline_ms: float) -> float:
        """Return the rate of complete answers within their deadline.

        Requests whose deadline lies after the end of the run do not count.
        """
        due = [
            item
            for item in self._measured()
            if item.arrival.at_ms + deadline_ms <= self.duration_ms
        ]
        good = sum(0 <= item.finished_ms - item.arrival.at_ms <= deadline_ms for item in due)
        return good / ((self.duration_ms - deadline_ms - WARM_UP_MS) / 1000)

    def recovered_ms(self, calm_from_ms: float, objectives: Objectives) -> float:
        """Return the time from ``calm_from_ms`` to the last arrival that was refused or late."""
        bad = [
            item.arrival.at_ms
            for item in self.results
            if item.refused or item.first_token_ms > objectives.first_token_ms
        ]
        return max(max(bad, default=0.0) - calm_from_ms, 0.0)

    def refused_share(self) -> float:
        measured = self._measured()
        return sum(item.refused for item in measured) / max(len(measured), 1)

    def batch_tokens_per_s(self) -> float:
        return self.batch_tokens / ((self.duration_ms - WARM_UP_MS) / 1000)


def _attains(item: OnlineResult, objectives: Objectives) -> bool:
    if not 0 <= item.first_token_ms <= objectives.first_token_ms:
        return False
    mean_ms = sum(item.gaps_ms) / len(item.gaps_ms) if item.gaps_ms else 0.0
    return mean_ms <= objectives.inter_token_ms


def run_plan(
    loop: VirtualLoop,
    plan: Plan,
    batch: "BatchRunner | DirectBatch | None",
    results: list[OnlineResult],
) -> RunResult:
    """Run the loop to the end and return the results; batch counts start after the warm-up."""
    warm_up_tokens = [0]

    def record_warm_up_tokens() -> None:
        warm_up_tokens[0] = batch.tokens if batch else 0

    loop.after(WARM_UP_MS, record_warm_up_tokens)
    loop.run_until(plan.duration_ms)
    result = RunResult(results, plan.duration_ms)
    if batch:
        result.batch_tokens = batch.tokens - warm_up_tokens[0]
        result.revoked = batch.revoked
        result.reread_tokens = batch.reread_tokens
    return result


def run_with_permits(plan: Plan) -> RunResult:
    """Run with owners and permits; with ``plan.batch`` false, online is the only load."""
    loop = VirtualLoop()
    fleet = Fleet.for_plan(loop, plan)
    fleet.owners = {name: OwnerHost(fleet, name, plan.make_owner) for name in fleet.engines}
    entries = [Entry(fleet, f"e{i}", plan.rng(f"entry{i}")) for i in range(ENTRIES)]
    results = plan.results()
    pick = plan.rng("entries")
    for item in results:
        loop.after(item.arrival.at_ms, pick.choice(entries).serve, item)
    runner = BatchRunner(fleet, "r0", plan.rng("batch")) if plan.batch else None
    _schedule_faults(fleet, plan)
    result = run_plan(loop, plan, runner, results)
    result.online_spans = fleet.online_spans
    if runner:
        result.revocations_ms = runner.revocations_ms
    return result


def _schedule_faults(fleet: Fleet, plan: Plan) -> None:
    faults = plan.faults
    if faults.kill_worker_ms >= 0:
        fleet.loop.after(faults.kill_worker_ms, fleet.engines["w0"].die)
    if faults.kill_owner_ms >= 0:

        def kill() -> None:
            fleet.owners["w1"].alive = False

        def replace() -> None:
            fleet.owners["w1"] = OwnerHost(fleet, "w1", plan.make_owner)

        fleet.loop.after(faults.kill_owner_ms, kill)
        fleet.loop.after(faults.kill_owner_ms + OWNER_DETECTION_MS, replace)


class DirectOnline:
    """Sends online requests directly to engines, to the less loaded of two random ones.

    By default the load of an engine is the count of requests that this sender has running there.
    """

    def __init__(
        self, fleet: Fleet, rng: random.Random, load_at_engine: Callable[[str], int] | None = None
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._busy = dict.fromkeys(fleet.engines, 0)
        self._load_at_engine = load_at_engine or self._busy.__getitem__
        self._number = 0

    def serve(self, result: OnlineResult, upstream_id: str = "") -> None:
        pair = self._rng.sample(list(self._busy), 2)
        chosen = upstream_id or min(pair, key=self._load_at_engine)
        self._number += 1
        self._busy[chosen] += 1
        loop = self._fleet.loop
        last_ms = [0.0]

        def on_token() -> None:
            if result.first_token_ms < 0:
                result.first_token_ms = loop.now_ms - result.arrival.at_ms
            else:
                result.gaps_ms.append(loop.now_ms - last_ms[0])
            last_ms[0] = loop.now_ms

        def on_end(_completed: bool) -> None:
            self._busy[chosen] -= 1
            result.finished_ms = loop.now_ms

        arrival = result.arrival
        attempt = Attempt(
            f"{id(self)}/{self._number}",
            arrival.prompt_tokens,
            arrival.answer_tokens,
            on_token,
            on_end,
        )
        loop.after(HOP_MS, self._fleet.engines[chosen].start, attempt)


class DirectBatch:
    """Sends batch attempts directly to engines, up to ``batch_limit`` at each."""

    def __init__(self, fleet: Fleet, rng: random.Random, batch_limit: BatchLimit) -> None:
        self.tokens = 0
        self.revoked = 0
        self.reread_tokens = 0
        self._fleet = fleet
        self._rng = rng
        self._batch_limit = batch_limit
        self._suspended: dict[str, list[Item]] = {name: [] for name in fleet.engines}
        self._running: dict[str, dict[str, Item]] = {name: {} for name in fleet.engines}
        self._number = 0
        for name in fleet.engines:
            self._adjust(name)

    def running_at(self, name: str) -> int:
        return len(self._running[name])

    def _adjust(self, name: str) -> None:
        running = self._running[name]
        batch_limit, may_start_prompts = self._batch_limit(name)
        while len(running) > max(batch_limit, 0):
            attempt_id, item = running.popitem()
            self.revoked += 1
            self._fleet.engines[name].cancel(attempt_id)
            self._suspended[name].append(item)
        while len(running) < batch_limit and (may_start_prompts or self._suspended[name]):
            self._start(name)
        self._fleet.loop.after(5.0, self._adjust, name)

    def _start(self, name: str) -> None:
        deployment = self._fleet.deployment
        suspended = self._suspended[name]
        # A suspended item resumes without a new prefill, so that the oracle loses no work.
        prompt_tokens = (
            1 if suspended else random_token_count(self._rng, deployment.batch_prompt_tokens)
        )
        self._number += 1
        answer_tokens = random_token_count(self._rng, deployment.batch_answer_tokens)
        item = suspended.pop() if suspended else Item("", prompt_tokens, answer_tokens)
        attempt_id = f"b{self._number}"
        self._running[name][attempt_id] = item

        def on_token() -> None:
            item.done_tokens += 1
            self.tokens += 1

        def on_end(_completed: bool) -> None:
            self._running[name].pop(attempt_id, None)

        remaining_tokens = max(item.answer_tokens - item.done_tokens, 1)
        attempt = Attempt(attempt_id, prompt_tokens, remaining_tokens, on_token, on_end)
        self._fleet.engines[name].start(attempt)


def run_direct(plan: Plan) -> RunResult:
    """Run with no policy: online and batch go straight to the engines."""
    loop = VirtualLoop()
    fleet = Fleet.for_plan(loop, plan)
    results = plan.results()
    online = DirectOnline(fleet, plan.rng("direct"))
    for item in results:
        loop.after(item.arrival.at_ms, online.serve, item)
    batch = DirectBatch(fleet, plan.rng("batch"), lambda _name: (DIRECT_BATCH_PER_WORKER, True))
    return run_plan(loop, plan, batch, results)


def run_oracle(plan: Plan, online_only: RunResult, level: int, guard_ms: float) -> RunResult:
    """Run with a batch scheduler that knows where and when online will arrive.

    Batch fills each engine up to ``level`` minus the online attempts of the next ``guard_ms``, as
    recorded in the run without batch.  It yields before they arrive and loses no work.
    """
    loop = VirtualLoop()
    fleet = Fleet.for_plan(loop, plan)
    results = plan.results()
    online = DirectOnline(fleet, plan.rng("direct"))
    for item, online_run in zip(results, online_only.results, strict=True):
        loop.after(item.arrival.at_ms, online.serve, item, online_run.upstream_id)
    batch = DirectBatch(
        fleet,
        plan.rng("batch"),
        _clairvoyant_limit(loop, online_only.online_spans, level, guard_ms),
    )
    return run_plan(loop, plan, batch, results)


def _clairvoyant_limit(
    loop: VirtualLoop,
    online_spans: dict[str, Sequence[tuple[float, float]]],
    level: int,
    guard_ms: float,
) -> BatchLimit:
    starts = {name: sorted(start for start, _ in items) for name, items in online_spans.items()}
    ends = {name: sorted(end for _, end in items) for name, items in online_spans.items()}

    def batch_limit(name: str) -> tuple[int, bool]:
        if name not in starts:
            return level, True
        started_count = bisect_right(starts[name], loop.now_ms)
        soon_started_count = bisect_right(starts[name], loop.now_ms + guard_ms)
        ended_count = bisect_left(ends[name], loop.now_ms)
        # Batch starts no prefill when an online attempt starts within the guard interval.
        return level - (soon_started_count - ended_count), soon_started_count == started_count

    return batch_limit
