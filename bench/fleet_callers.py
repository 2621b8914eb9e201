"""Distribution of callers over nine entries while one leaves and one dies; part of bench.fleet."""

import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from fescuedock.core.entry_choice import CallerPlace, eligible_entries, rank_entries
from fescuedock.schema.membership import ProfileProgram
from tests.builders.membership import Fleet, Node, profile_of, vm_name

__all__ = ["measure_callers"]

_VALID_MS = 10000.0
_SPREAD_MS = 3000.0
_REQUEST_MS = 500.0
_STEP_MS = 100.0
_CALLERS = 450
_LEAVING = vm_name(4)
_DYING = vm_name(5)


@dataclass(slots=True)
class _Caller:
    place: CallerPlace
    next_ms: float
    entries: list[str] = field(default_factory=list)
    expires_ms: float = 0.0


@dataclass(slots=True)
class _Simulation:
    """Callers and the entries they use; an entry in ``closed`` refuses connections."""

    fleet: Fleet
    rng: random.Random
    callers: list[_Caller]
    closed: set[str] = field(default_factory=set)
    ends_ms: dict[str, list[float]] = field(default_factory=dict)
    served: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    last_served_ms: dict[str, float] = field(default_factory=dict)
    last_refused_ms: dict[str, float] = field(default_factory=dict)
    max_attempts: int = 0

    def run(self, duration_ms: float) -> None:
        end_ms = self.fleet.now_ms + duration_ms
        while self.fleet.now_ms < end_ms:
            self.fleet.run(_STEP_MS)
            self._announce_load()
            for caller in self.callers:
                if caller.next_ms <= self.fleet.now_ms:
                    caller.next_ms += 1000.0
                    self._request(caller)

    def reset_counts(self) -> None:
        for counts in (self.served, self.refused):
            counts.clear()
        self.max_attempts = 0

    def _announce_load(self) -> None:
        now_ms = self.fleet.now_ms
        for node in self.fleet.running():
            ends = [end for end in self.ends_ms.get(node.vm_id, ()) if end > now_ms]
            self.ends_ms[node.vm_id] = ends
            if node.vm_id not in self.closed and node.vm_id != _LEAVING:
                profile = profile_of(node.number)
                loaded = msgspec.structs.replace(profile, entry_load=len(ends).bit_length())
                node.membership.set_profile(loaded, now_ms)

    def _request(self, caller: _Caller) -> None:
        """Try the stored entries in order; fetch them again once expired or all have refused."""
        now_ms = self.fleet.now_ms
        for attempt in range(1, 20):
            if not caller.entries or caller.expires_ms <= now_ms:
                self._refresh_entries(caller)
            entry = caller.entries[0]
            self.max_attempts = max(self.max_attempts, attempt)
            if entry not in self.closed:
                self.served[entry] += 1
                self.last_served_ms[entry] = now_ms
                self.ends_ms.setdefault(entry, []).append(now_ms + _REQUEST_MS)
                return
            self.refused[entry] += 1
            self.last_refused_ms[entry] = now_ms
            caller.entries.pop(0)

    def _refresh_entries(self, caller: _Caller) -> None:
        open_nodes = [node for node in self.fleet.running() if node.vm_id not in self.closed]
        known = [self.fleet.nodes[name] for name in caller.entries if name not in self.closed]
        node: Node = known[0] if known else self.rng.choice(open_nodes)
        eligible = eligible_entries(node.membership.records())
        caller.entries = [vm.vm_id for vm in rank_entries(eligible, caller.place, self.rng)]
        caller.expires_ms = self.fleet.now_ms + _VALID_MS


def measure_callers() -> None:
    """Print the load shares and refusals before and after a leave and a loss."""
    print(f"{_CALLERS} callers, one request a second each, answers kept {_VALID_MS / 1000:.0f} s")
    print("callers | phase | requests | busiest and idlest entry, over the mean | refused | tries")
    for label, weights in (("even", (1, 1, 1)), ("half in one domain", (2, 1, 1)), ("no hint", ())):
        _run_simulation(label, weights)


def _run_simulation(label: str, weights: tuple[int, ...]) -> None:
    rng = random.Random(11)
    fleet = Fleet(9)
    fleet.run(10000)
    callers = [
        _Caller(_place(rng, weights), fleet.now_ms + rng.uniform(0, 1000)) for _ in range(_CALLERS)
    ]
    simulation = _Simulation(fleet, rng, callers)
    simulation.run(15000)
    simulation.reset_counts()
    simulation.run(45000)
    _print(label, "all nine", simulation, 9)
    left_ms = fleet.now_ms
    profile = profile_of(4)
    ready = [ProfileProgram.AGENT]
    leaving = msgspec.structs.replace(profile, ready=ready)
    fleet.nodes[_LEAVING].membership.set_profile(leaving, fleet.now_ms)
    simulation.run(_SPREAD_MS + _VALID_MS)
    simulation.closed.add(_LEAVING)
    simulation.run(17000)
    _print(label, "one leaves", simulation, 8)
    last_ms = simulation.last_served_ms[_LEAVING] - left_ms
    print(
        f"  last request to the leaving entry {last_ms / 1000:.1f} s after; it closes after 13.0 s"
    )
    simulation.reset_counts()
    died_ms = fleet.now_ms
    fleet.kill(_DYING)
    simulation.closed.add(_DYING)
    simulation.run(30000)
    _print(label, "one dies", simulation, 7)
    last_ms = simulation.last_refused_ms.get(_DYING, died_ms) - died_ms
    print(f"  last refused connection {last_ms / 1000:.1f} s after its loss", flush=True)


def _place(rng: random.Random, weights: tuple[int, ...]) -> CallerPlace:
    if not weights:
        return CallerPlace()
    return CallerPlace(f"domain-{rng.choices(range(3), weights)[0]}")


def _print(label: str, phase: str, simulation: _Simulation, entries: int) -> None:
    open_entries = [
        vm_name(number) for number in range(9) if vm_name(number) not in simulation.closed
    ]
    mean = simulation.served.total() / entries
    shares = [simulation.served[name] / mean for name in open_entries]
    print(
        f"{label} | {phase} | {simulation.served.total()} | {max(shares):.2f} {min(shares):.2f} | "
        f"{simulation.refused.total()} | {simulation.max_attempts}"
    )
    simulation.reset_counts()
