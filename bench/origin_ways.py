"""Compare ways to find the origin of a resumed stream that no queried node knows.

python -m bench.origin_ways

Eight nodes and two spools, 25 streams a second, the same seeds for all ways.  Clients resume the
streams of killed nodes at any other node, and retry a refused one after 0.1 to 0.2 s; in the calm,
three in ten move to another node without a reason.  The first table has the joined and the refused
streams of a thousand that were resumed; refused are those that an upstream could have continued.
The second one has, for new versions and services, for how long requests were allowed no listed
upstream (median and 90th percentile of the seeds), and the share of requests that were allowed none
for a second.  The decisions are those of ``tests.builders.origin_record_model``.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace

import fire

from tests.builders.origin_record_model import (
    STRATEGIES,
    Fleet,
    Outcome,
    Settings,
    Strategy,
    play,
    start_calm,
)

_SETTINGS = Settings(nodes=8, duration_ms=4000.0, request_ms=40.0, wandering=0.0)
_AT_MS = 1500.0
_DOWN_MS = 2000.0
_KILL_DELAYS_MS = (50.0, 500.0, 1000.0)


def calm(fleet: Fleet) -> None:
    start_calm(fleet)


def cut_off_at_first_release(fleet: Fleet) -> None:
    """Cut one node off, release a version 0 to 0.2 s later, and kill two within 0.5 s."""
    rng = fleet.rng
    start_calm(fleet)
    cut, *killed = rng.sample(fleet.nodes, 3)
    released_ms = _AT_MS + rng.uniform(0.0, 200.0)
    fleet.after(_AT_MS, lambda: fleet.set_reach([cut], store=False, group=1))
    fleet.after(released_ms, fleet.serve, "desk", "v1", "v2")
    fleet.after(released_ms + rng.uniform(0.0, 500.0), fleet.kill, killed, _DOWN_MS)


def _outage(fleet: Fleet, lasts_ms: float, delay_ms: float = 0.0) -> None:
    start_calm(fleet)
    killed = fleet.rng.sample(fleet.nodes, len(fleet.nodes) // 3)
    fleet.after(_AT_MS, lambda: fleet.set_store(is_down=True))
    fleet.after(_AT_MS + delay_ms, fleet.kill, killed, _DOWN_MS)
    fleet.after(_AT_MS + lasts_ms, lambda: fleet.set_store(is_down=False))


def store_away_1_s(fleet: Fleet) -> None:
    """Let the store answer nobody, and kill a third of the nodes at the same time."""
    _outage(fleet, 1000.0)


def store_away_5_s(fleet: Fleet) -> None:
    """Let the store answer nobody for longer, and kill a third of the nodes at the same time."""
    _outage(fleet, 5000.0)


def store_away_before_the_loss(fleet: Fleet) -> None:
    """Let the store answer nobody, and kill a third of the nodes 1.5 s later."""
    _outage(fleet, 5000.0, 1500.0)


def store_refuses_a_third(fleet: Fleet) -> None:
    """Let the store turn a third of the nodes away, and kill two others 0 to 2 s later."""
    start_calm(fleet)
    refused = len(fleet.nodes) // 3
    nodes = fleet.rng.sample(fleet.nodes, refused + 2)
    fleet.after(_AT_MS, lambda: fleet.set_reach(nodes[:refused], store=False))
    fleet.after(_AT_MS + fleet.rng.uniform(0.0, 2000.0), fleet.kill, nodes[refused:], _DOWN_MS)


def only_one_node_reaches_the_store(fleet: Fleet) -> None:
    """Let one node reach the store alone, and no other node, at a release; kill it afterwards."""
    rng = fleet.rng
    start_calm(fleet)
    reaching, *others = rng.sample(fleet.nodes, len(fleet.nodes))
    fleet.after(_AT_MS, lambda: fleet.set_reach([reaching], group=1))
    fleet.after(_AT_MS, lambda: fleet.set_reach(others, store=False))
    fleet.after(_AT_MS + rng.uniform(0.0, 100.0), fleet.serve, "desk", "v1", "v2")
    fleet.after(_AT_MS + rng.uniform(800.0, 2500.0), fleet.kill, [reaching], _DOWN_MS)


def _moved(fleet: Fleet, killed: int) -> None:
    start_calm(fleet)
    fleet.after(_AT_MS, fleet.configure, {"/": {"desk-b": 1.0}})
    nodes = fleet.rng.sample(fleet.nodes, killed)
    fleet.after(_AT_MS + fleet.rng.choice(_KILL_DELAYS_MS), fleet.kill, nodes, _DOWN_MS)


def moved_and_one_killed(fleet: Fleet) -> None:
    """Move the route to another service, and kill a node 0.05, 0.5 or 1 s later."""
    _moved(fleet, 1)


def moved_and_all_killed(fleet: Fleet) -> None:
    """Move the route to another service, and kill all nodes."""
    _moved(fleet, len(fleet.nodes))


def split_and_one_killed(fleet: Fleet) -> None:
    """Split the route between two services, and kill a node 0.05, 0.5 or 1 s later."""
    start_calm(fleet)
    fleet.after(_AT_MS, fleet.configure, {"/": {"desk": 0.5, "desk-b": 0.5}})
    killed = fleet.rng.sample(fleet.nodes, 1)
    fleet.after(_AT_MS + fleet.rng.choice(_KILL_DELAYS_MS), fleet.kill, killed, _DOWN_MS)


def replaced_at_once(fleet: Fleet) -> None:
    """Release a version whose upstreams take the place of all others."""
    start_calm(fleet)
    fleet.after(_AT_MS, fleet.serve, "desk", "v2")


_COURSES: dict[Callable[[Fleet], None], str] = {
    calm: "calm",
    cut_off_at_first_release: "one cut off at the first release, two killed",
    store_away_1_s: "store away 1 s, a third killed",
    store_away_5_s: "store away 5 s, a third killed",
    store_away_before_the_loss: "store away 5 s, a third killed after 1.5 s",
    store_refuses_a_third: "store refuses a third, two killed",
    only_one_node_reaches_the_store: "only one node, cut off, reaches the store, and is killed",
    moved_and_one_killed: "route moved, one killed",
    moved_and_all_killed: "route moved, all killed",
    split_and_one_killed: "route split, one killed",
}


def _window_ms(outcome: Outcome) -> float:
    """Return how long requests were allowed no upstream although some were listed."""
    blocked_ms = outcome.blocked_ms
    return max(blocked_ms) - min(blocked_ms) if blocked_ms else 0.0


def _per_thousand(outcomes: Sequence[Outcome]) -> str:
    """Return the joined and the refused streams of a thousand that were resumed."""
    resumed = sum(item.resumed for item in outcomes) / 1000
    joined = sum(item.joined for item in outcomes) / resumed
    refused = sum(item.refused for item in outcomes) / resumed
    return f"{joined:.1f} / {refused:.0f}"


def _costs(strategy: Strategy, settings: Settings, seeds: int) -> list[str]:
    """Return messages a stream in the calm, and figures of starts at new versions and services."""
    quiet = [play(strategy, calm, seed, replace(settings, wandering=0.0)) for seed in range(seeds)]
    messages = sum(item.messages for item in quiet) / sum(item.started for item in quiet)
    cells = [f"{messages:.1f}"]
    for course in (replaced_at_once, moved_and_one_killed):
        found = [play(strategy, course, seed, settings) for seed in range(seeds)]
        windows_ms = sorted(_window_ms(item) for item in found)
        unstarted = sum(item.unstarted for item in found)
        share = unstarted / (unstarted + sum(item.started for item in found))
        median_ms, late_ms = windows_ms[seeds // 2], windows_ms[seeds * 9 // 10]
        cells.append(f"{median_ms:.0f}, {late_ms:.0f} ms; {share:.3f}")
    return cells


def main(seeds: int = 200, retries: int = 1, only: str = "") -> None:
    """Print two tables: what becomes of resumed streams, and what each way costs.

    ``only`` restricts the first one to a course.
    """
    settings = replace(_SETTINGS, retries=retries)
    courses = [course for course in _COURSES if only in ("", course.__name__)]
    _print_row("way", *(_COURSES[course] for course in courses))
    _print_row("---", *("---" for _ in courses))
    for name, strategy in STRATEGIES.items():
        cells = []
        for course in courses:
            moving = 0.3 if course is calm else 0.0
            used = replace(settings, wandering=moving)
            cells.append(
                _per_thousand([play(strategy, course, seed, used) for seed in range(seeds)])
            )
        _print_row(name, *cells)
    if only:
        return
    print()
    _print_row("way", "messages a stream in the calm", "version replaced", "route moved")
    _print_row("---", "---", "---", "---")
    for name, strategy in STRATEGIES.items():
        _print_row(name, *_costs(strategy, settings, seeds))


def _print_row(*cells: str) -> None:
    print("| " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
