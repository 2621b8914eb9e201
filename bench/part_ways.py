"""Compare strategies that find the prompt part that crashes upstreams, on the same seeds.

python -m bench.part_ways

Every unit of work is distinct.  Each prompt consists of a first part and another shared part; some
contain a harmful part that crashes its upstream 80 ms into its run.  Upstreams also end for other
causes.  A strategy receives the ends that its nodes observe, and decides which work may run, and
whether isolated or concurrently with other runs.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Collection
from typing import Protocol

import fire
import msgspec

from fescuedock.core.quarantine import Quarantine, Restriction
from fescuedock.core.recent_runs import SoundParts
from fescuedock.schema.crashes import CrashedRun, CrashReport, WorkCleared

__all__ = ["STRATEGIES", "Outcome", "Scenario", "simulate"]

_TICK_MS = 10
_NODES = 8
_UPSTREAMS = 6
_SLOTS = 8
_RUN_MS = 600
_CRASH_MS = 80
_DOWN_MS = 4000
_ENDS_BEFORE_REFUSAL = 3
_START_MS = 1_800_000_000_000.0


class Scenario(msgspec.Struct, frozen=True):
    """The load of the callers, and the rate of upstream ends that no work causes."""

    seconds: float = 60.0
    sound_per_s: float = 30.0
    harmful_per_s: float = 2.0
    first_parts: int = 40
    other_parts: int = 168
    causes: int = 1
    # Upstream ends that no work causes.
    other_ends_per_s: float = 0.0


class Outcome(msgspec.Struct):
    """Counts of runs, refusals and upstream ends of one simulation."""

    ends: int = 0
    harmful_runs: int = 0
    late_harmful_runs: int = 0
    sound: int = 0
    sound_completed: int = 0
    sound_refused: int = 0


class Run(msgspec.Struct, eq=False):
    work_id: str
    parts: tuple[str, ...]
    node: int
    started_ms: float
    isolated: bool = False
    harmful: bool = False


class Strategy(Protocol):
    def restriction(self, run: Run, now_ms: float) -> Restriction:
        """Return the restriction on a unit of work."""

    def record_upstream_end(self, upstream: int, runs: Collection[Run], now_ms: float) -> None:
        """Record the end of an upstream and the runs it interrupted."""

    def record_completed(self, run: Run, now_ms: float) -> None:
        """Record that a run completed."""


class CountEnds:
    """Refuses work with any part seen at ``_ENDS_BEFORE_REFUSAL`` upstream ends.

    With ``exclude_sound``, parts of recently completed runs do not count, and a completed run
    resets the counts of its parts.
    """

    def __init__(self, *, exclude_sound: bool) -> None:
        self._exclude_sound = exclude_sound
        self._ends: Counter[str] = Counter()
        self._sound = SoundParts()

    def restriction(self, run: Run, now_ms: float) -> Restriction:
        is_suspect = any(self._ends[part] >= _ENDS_BEFORE_REFUSAL for part in run.parts)
        return Restriction.REFUSED if is_suspect else Restriction.FREE

    def record_upstream_end(self, upstream: int, runs: Collection[Run], now_ms: float) -> None:
        parts = {part for run in runs for part in run.parts}
        self._ends.update(
            self._sound.unknown_among(parts, now_ms) if self._exclude_sound else parts
        )

    def record_completed(self, run: Run, now_ms: float) -> None:
        if self._exclude_sound:
            self._sound.record(run.parts, now_ms)
            for part in run.parts:
                self._ends.pop(part, None)


class IsolateSuspects:
    """The shipped strategy: suspects run isolated, and only those that then crash are refused."""

    def __init__(self) -> None:
        self._quarantine = Quarantine()
        self._sound = [SoundParts() for _ in range(_NODES)]
        self._report_numbers = iter(range(10**9))

    def restriction(self, run: Run, now_ms: float) -> Restriction:
        return self._quarantine.verdict(run.work_id, _START_MS + now_ms, run.parts).restriction

    def record_upstream_end(self, upstream: int, runs: Collection[Run], now_ms: float) -> None:
        at_ms = int(_START_MS + now_ms)
        by_node: defaultdict[int, list[Run]] = defaultdict(list)
        for run in runs:
            by_node[run.node].append(run)
        # A restarted upstream has a new identity.
        name = f"u{upstream}@{at_ms}"
        for node, found in by_node.items():
            crashed = [
                CrashedRun(
                    run.work_id,
                    alone=run.isolated,
                    begun=now_ms - run.started_ms > _CRASH_MS,
                    parts=self._sound[node].unknown_among(run.parts, now_ms),
                )
                for run in found
            ]
            self._record(CrashReport(self._next_report_id(), name, at_ms, crashed, crash_number=1))
        for sound in self._sound:
            suspected = self._quarantine.suspected_among(sound.parts)
            for part in sound.sound_among(suspected, now_ms):
                self._clear(part, at_ms)

    def record_completed(self, run: Run, now_ms: float) -> None:
        self._sound[run.node].record(run.parts, now_ms)
        for trait in (run.work_id, *run.parts):
            self._clear(trait, int(_START_MS + now_ms))

    def _clear(self, trait: str, at_ms: int) -> None:
        reports = self._quarantine.reports_against(trait)
        if reports:
            self._record(WorkCleared(self._next_report_id(), trait, reports, at_ms))

    def _record(self, fact: CrashReport | WorkCleared) -> None:
        self._quarantine.record(fact, fact.at_ms)

    def _next_report_id(self) -> str:
        return f"report-{next(self._report_numbers)}"


STRATEGIES = {
    "count ends": lambda: CountEnds(exclude_sound=False),
    "count ends, sparing sound parts": lambda: CountEnds(exclude_sound=True),
    "run alone": IsolateSuspects,
}


class Simulation:
    """Upstreams, their runs, and suspected work that waits for an upstream without other runs."""

    def __init__(self, strategy: Strategy, scenario: Scenario, seed: int) -> None:
        self.strategy = strategy
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.running: list[list[Run]] = [[] for _ in range(_UPSTREAMS)]
        self.available_from_ms = [0.0] * _UPSTREAMS
        self.waiting: list[Run] = []
        self.fifth_end_ms = float("inf")
        self.number = 0

    def run(self) -> Outcome:
        for now_ms in range(0, int(self.scenario.seconds * 1000), _TICK_MS):
            self._end_runs(now_ms)
            self._arrive(now_ms)
            self._start_isolated(now_ms)
        return self.outcome

    def _end_runs(self, now_ms: float) -> None:
        chance = self.scenario.other_ends_per_s * _TICK_MS / 1000
        if self.rng.random() < chance:
            self._crash(self.rng.randrange(_UPSTREAMS), now_ms)
        for upstream, runs in enumerate(self.running):
            if any(run.harmful and now_ms - run.started_ms >= _CRASH_MS for run in runs):
                self._crash(upstream, now_ms)
                continue
            for run in [run for run in runs if now_ms - run.started_ms >= _RUN_MS]:
                runs.remove(run)
                self.outcome.sound_completed += 1
                self.strategy.record_completed(run, now_ms)

    def _crash(self, upstream: int, now_ms: float) -> None:
        if self.available_from_ms[upstream] > now_ms:
            return
        self.outcome.ends += any(run.harmful for run in self.running[upstream])
        if self.outcome.ends == 5 and self.fifth_end_ms == float("inf"):
            self.fifth_end_ms = now_ms
        self.available_from_ms[upstream] = now_ms + _DOWN_MS
        self.strategy.record_upstream_end(upstream, self.running[upstream], now_ms)
        self.running[upstream] = []

    def _arrive(self, now_ms: float) -> None:
        scenario = self.scenario
        for per_s, harmful in ((scenario.sound_per_s, False), (scenario.harmful_per_s, True)):
            if self.rng.random() < per_s * _TICK_MS / 1000:
                self._admit(self._make_run(now_ms, harmful=harmful), now_ms)

    def _make_run(self, now_ms: float, *, harmful: bool) -> Run:
        self.number += 1
        first = f"part-first-{self.rng.randrange(self.scenario.first_parts)}"
        other = f"part-other-{self.rng.randrange(self.scenario.other_parts)}"
        if harmful:
            other = f"part-bad-{self.rng.randrange(self.scenario.causes)}"
        node = self.rng.randrange(_NODES)
        return Run(f"work-{self.number}", (first, other), node, now_ms, harmful=harmful)

    def _admit(self, run: Run, now_ms: float) -> None:
        self.outcome.sound += not run.harmful
        match self.strategy.restriction(run, now_ms):
            case Restriction.REFUSED:
                self.outcome.sound_refused += not run.harmful
            case Restriction.FREE:
                reserved = self._isolation_upstream(now_ms) if self.waiting else None
                free = [
                    item
                    for item in range(_UPSTREAMS)
                    if self.available_from_ms[item] <= now_ms
                    and len(self.running[item]) < _SLOTS
                    and item != reserved
                    and not any(other.isolated for other in self.running[item])
                ]
                if free:
                    self._start(run, self.rng.choice(free), now_ms)
            case _:
                self.waiting.append(run)

    def _isolation_upstream(self, now_ms: float) -> int | None:
        up = [item for item in range(_UPSTREAMS) if self.available_from_ms[item] <= now_ms]
        return up[0] if up else None

    def _start_isolated(self, now_ms: float) -> None:
        waiting, self.waiting = self.waiting, []
        for run in waiting:
            restriction = self.strategy.restriction(run, now_ms)
            reserved = self._isolation_upstream(now_ms)
            if restriction is Restriction.REFUSED:
                self.outcome.sound_refused += not run.harmful
            elif restriction is Restriction.FREE:
                self._admit(run, now_ms)
            elif (
                restriction is Restriction.ALONE
                and reserved is not None
                and not self.running[reserved]
            ):
                run.isolated = True
                self._start(run, reserved, now_ms)
            elif now_ms - run.started_ms < 5000:
                self.waiting.append(run)

    def _start(self, run: Run, upstream: int, now_ms: float) -> None:
        run.started_ms = now_ms
        self.running[upstream].append(run)
        self.outcome.harmful_runs += run.harmful
        late = run.harmful and now_ms > self.fifth_end_ms + 3000
        self.outcome.late_harmful_runs += late


def simulate(strategy: str, scenario: Scenario, seed: int) -> Outcome:
    """Simulate a scenario with the strategy of that name and return the counts."""
    return Simulation(STRATEGIES[strategy](), scenario, seed).run()


_SCENARIOS = {
    "one part": Scenario(),
    "one part, popular others": Scenario(first_parts=1, other_parts=8),
    "one part, rare others": Scenario(first_parts=40, other_parts=5000),
    "two parts": Scenario(causes=2),
    "one part and other ends": Scenario(other_ends_per_s=0.3),
    "other ends only": Scenario(harmful_per_s=0.0, other_ends_per_s=0.5),
}


def main(seeds: int = 10) -> None:
    """Print a row for each scenario and strategy with the sums over the seeds."""
    print("scenario, way, ends, runs with the part, late ones, sound, whole share, refused")
    for name, scenario in _SCENARIOS.items():
        for strategy in STRATEGIES:
            found = [simulate(strategy, scenario, seed) for seed in range(seeds)]
            ends, runs, late, sound, completed, refused = (
                sum(getattr(item, field) for item in found) for field in Outcome.__struct_fields__
            )
            row = (ends, runs, late, sound, f"{completed / sound:.3f}", refused)
            print(f"{name}, {strategy}, " + ", ".join(str(item) for item in row))


if __name__ == "__main__":
    fire.Fire(main)
