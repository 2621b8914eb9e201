"""Ways to find the part of prompts that ends upstreams, on the same seeds.

python -m bench.part_ways

Callers send works that are no two alike.  Each prompt has a first part and another shared one; some
have a part that ends its upstream 80 ms into its run.  Upstreams also end for other causes.  Each
way sees the ends that its nodes see, and says which works may run, alone or beside others.
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

__all__ = ["WAYS", "Outcome", "Scenario", "play"]

_TICK_MS = 10
_NODES = 8
_UPSTREAMS = 6
_SLOTS = 8
_RUN_MS = 600
_CRASH_MS = 80
_DOWN_MS = 4000
_ENOUGH = 3
_START_MS = 1_800_000_000_000.0


class Scenario(msgspec.Struct, frozen=True):
    """What callers send and what else ends upstreams."""

    seconds: float = 60.0
    sound_per_s: float = 30.0
    harmful_per_s: float = 2.0
    first_parts: int = 40
    other_parts: int = 168
    causes: int = 1
    # Ends of upstreams that no work is the cause of.
    other_ends_per_s: float = 0.0


class Outcome(msgspec.Struct):
    """What became of the works."""

    ends: int = 0
    harmful_runs: int = 0
    late_harmful_runs: int = 0
    sound: int = 0
    sound_whole: int = 0
    sound_refused: int = 0


class Run(msgspec.Struct, eq=False):
    work_id: str
    parts: tuple[str, ...]
    node: int
    begun_ms: float
    alone: bool = False
    harmful: bool = False


class Way(Protocol):
    def standing(self, run: Run, now_ms: float) -> Restriction:
        """Return how a work may run."""

    def note_end(self, upstream: int, runs: Collection[Run], now_ms: float) -> None:
        """Take the end of an upstream with what ran there."""

    def note_whole(self, run: Run, now_ms: float) -> None:
        """Take it that a run became whole."""


class CountEnds:
    """Refuses what has any part that was at three ends; ``sparing`` leaves out sound ones."""

    def __init__(self, *, sparing: bool) -> None:
        self._sparing = sparing
        self._ends: Counter[str] = Counter()
        self._sound = SoundParts()

    def standing(self, run: Run, now_ms: float) -> Restriction:
        known = any(self._ends[part] >= _ENOUGH for part in run.parts)
        return Restriction.REFUSED if known else Restriction.FREE

    def note_end(self, upstream: int, runs: Collection[Run], now_ms: float) -> None:
        parts = {part for run in runs for part in run.parts}
        self._ends.update(self._sound.unknown_among(parts, now_ms) if self._sparing else parts)

    def note_whole(self, run: Run, now_ms: float) -> None:
        if self._sparing:
            self._sound.record(run.parts, now_ms)
            for part in run.parts:
                self._ends.pop(part, None)


class RunAlone:
    """The way that ships: suspects run alone, and only what then ends upstreams is refused."""

    def __init__(self) -> None:
        self._quarantine = Quarantine()
        self._sound = [SoundParts() for _ in range(_NODES)]
        self._numbers = iter(range(10**9))

    def standing(self, run: Run, now_ms: float) -> Restriction:
        return self._quarantine.verdict(run.work_id, _START_MS + now_ms, run.parts).restriction

    def note_end(self, upstream: int, runs: Collection[Run], now_ms: float) -> None:
        at_ms = int(_START_MS + now_ms)
        by_node: defaultdict[int, list[Run]] = defaultdict(list)
        for run in runs:
            by_node[run.node].append(run)
        # An upstream that comes back does so under another identity.
        name = f"u{upstream}@{at_ms}"
        for node, found in by_node.items():
            crashed = [
                CrashedRun(
                    run.work_id,
                    alone=run.alone,
                    begun=now_ms - run.begun_ms > _CRASH_MS,
                    parts=self._sound[node].unknown_among(run.parts, now_ms),
                )
                for run in found
            ]
            self._quarantine.record_crash(CrashReport(self._name(), name, at_ms, crashed))
        for sound in self._sound:
            suspected = self._quarantine.suspected_among(sound.parts)
            for part in sound.sound_among(suspected, now_ms):
                self._clear(part, at_ms)

    def note_whole(self, run: Run, now_ms: float) -> None:
        self._sound[run.node].record(run.parts, now_ms)
        for trait in (run.work_id, *run.parts):
            self._clear(trait, int(_START_MS + now_ms))

    def _clear(self, trait: str, at_ms: int) -> None:
        reports = self._quarantine.reports_against(trait)
        if reports:
            self._quarantine.record_cleared(WorkCleared(self._name(), trait, reports, at_ms))

    def _name(self) -> str:
        return f"report-{next(self._numbers)}"


WAYS = {
    "count ends": lambda: CountEnds(sparing=False),
    "count ends, sparing sound parts": lambda: CountEnds(sparing=True),
    "run alone": RunAlone,
}


class World:
    """Upstreams, their runs, and works that wait for one of their own."""

    def __init__(self, way: Way, scenario: Scenario, seed: int) -> None:
        self.way = way
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.running: list[list[Run]] = [[] for _ in range(_UPSTREAMS)]
        self.up_ms = [0.0] * _UPSTREAMS
        self.waiting: list[Run] = []
        self.fifth_ms = float("inf")
        self.number = 0

    def play(self) -> Outcome:
        for now_ms in range(0, int(self.scenario.seconds * 1000), _TICK_MS):
            self._end_runs(now_ms)
            self._arrive(now_ms)
            self._begin_alone(now_ms)
        return self.outcome

    def _end_runs(self, now_ms: float) -> None:
        chance = self.scenario.other_ends_per_s * _TICK_MS / 1000
        if self.rng.random() < chance:
            self._crash(self.rng.randrange(_UPSTREAMS), now_ms)
        for upstream, runs in enumerate(self.running):
            if any(run.harmful and now_ms - run.begun_ms >= _CRASH_MS for run in runs):
                self._crash(upstream, now_ms)
                continue
            for run in [run for run in runs if now_ms - run.begun_ms >= _RUN_MS]:
                runs.remove(run)
                self.outcome.sound_whole += 1
                self.way.note_whole(run, now_ms)

    def _crash(self, upstream: int, now_ms: float) -> None:
        if self.up_ms[upstream] > now_ms:
            return
        self.outcome.ends += any(run.harmful for run in self.running[upstream])
        if self.outcome.ends == 5 and self.fifth_ms == float("inf"):
            self.fifth_ms = now_ms
        self.up_ms[upstream] = now_ms + _DOWN_MS
        self.way.note_end(upstream, self.running[upstream], now_ms)
        self.running[upstream] = []

    def _arrive(self, now_ms: float) -> None:
        scenario = self.scenario
        for per_s, harmful in ((scenario.sound_per_s, False), (scenario.harmful_per_s, True)):
            if self.rng.random() < per_s * _TICK_MS / 1000:
                self._take(self._made(now_ms, harmful=harmful), now_ms)

    def _made(self, now_ms: float, *, harmful: bool) -> Run:
        self.number += 1
        first = f"part-first-{self.rng.randrange(self.scenario.first_parts)}"
        other = f"part-other-{self.rng.randrange(self.scenario.other_parts)}"
        if harmful:
            other = f"part-bad-{self.rng.randrange(self.scenario.causes)}"
        node = self.rng.randrange(_NODES)
        return Run(f"work-{self.number}", (first, other), node, now_ms, harmful=harmful)

    def _take(self, run: Run, now_ms: float) -> None:
        self.outcome.sound += not run.harmful
        match self.way.standing(run, now_ms):
            case Restriction.REFUSED:
                self.outcome.sound_refused += not run.harmful
            case Restriction.FREE:
                lane = self._lane(now_ms) if self.waiting else None
                free = [
                    item
                    for item in range(_UPSTREAMS)
                    if self.up_ms[item] <= now_ms
                    and len(self.running[item]) < _SLOTS
                    and item != lane
                    and not any(other.alone for other in self.running[item])
                ]
                if free:
                    self._begin(run, self.rng.choice(free), now_ms)
            case _:
                self.waiting.append(run)

    def _lane(self, now_ms: float) -> int | None:
        up = [item for item in range(_UPSTREAMS) if self.up_ms[item] <= now_ms]
        return up[0] if up else None

    def _begin_alone(self, now_ms: float) -> None:
        waiting, self.waiting = self.waiting, []
        for run in waiting:
            standing = self.way.standing(run, now_ms)
            lane = self._lane(now_ms)
            if standing is Restriction.REFUSED:
                self.outcome.sound_refused += not run.harmful
            elif standing is Restriction.FREE:
                self._take(run, now_ms)
            elif standing is Restriction.ALONE and lane is not None and not self.running[lane]:
                run.alone = True
                self._begin(run, lane, now_ms)
            elif now_ms - run.begun_ms < 5000:
                self.waiting.append(run)

    def _begin(self, run: Run, upstream: int, now_ms: float) -> None:
        run.begun_ms = now_ms
        self.running[upstream].append(run)
        self.outcome.harmful_runs += run.harmful
        late = run.harmful and now_ms > self.fifth_ms + 3000
        self.outcome.late_harmful_runs += late


def play(way: str, scenario: Scenario, seed: int) -> Outcome:
    """Play one seed of a scenario by a way."""
    return World(WAYS[way](), scenario, seed).play()


_SCENARIOS = {
    "one part": Scenario(),
    "one part, popular others": Scenario(first_parts=1, other_parts=8),
    "one part, rare others": Scenario(first_parts=40, other_parts=5000),
    "two parts": Scenario(causes=2),
    "one part and other ends": Scenario(other_ends_per_s=0.3),
    "other ends only": Scenario(harmful_per_s=0.0, other_ends_per_s=0.5),
}


def main(seeds: int = 10) -> None:
    """Print a row for each scenario and way: sums over the seeds."""
    print("scenario, way, ends, runs with the part, late ones, sound, whole share, refused")
    for name, scenario in _SCENARIOS.items():
        for way in WAYS:
            found = [play(way, scenario, seed) for seed in range(seeds)]
            ends, runs, late, sound, whole, refused = (
                sum(getattr(item, field) for item in found) for field in Outcome.__struct_fields__
            )
            row = (ends, runs, late, sound, f"{whole / sound:.3f}", refused)
            print(f"{name}, {way}, " + ", ".join(str(item) for item in row))


if __name__ == "__main__":
    fire.Fire(main)
