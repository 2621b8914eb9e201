"""Measure how batch work slows online requests on shared engines, and its own throughput.

Run as ``python -m bench.mix``.  For each deployment and seed the same traffic runs in sequence
(a) with online only, (b) with online and batch sent directly to the engines, (c) with permits, and
under a clairvoyant scheduler; then (c) again with a worker and an owner killed, and with two and
four times the load that the engines can carry.  It runs in virtual time, so a rerun gives the same
figures.
"""

import dataclasses
import sys
import time
from collections.abc import Iterable, Sequence

from bench.mix_runs import Faults, Plan, RunResult, run_direct, run_oracle, run_with_permits
from bench.mix_traffic import DEPLOYMENTS, Deployment

SEEDS = (1, 2)
SHARES = (0.5, 0.99, 0.999)
# Concurrency levels of the oracle; the highest level that meets the bound is reported.
ORACLE_LEVELS = (12, 16, 20, 24, 32, 36, 40)
ORACLE_GUARD_MS = 40.0
TAIL_BOUND = 1.10
FAULT_MS = 40_000.0
OVERLOADS = (1.0, 2.0, 4.0)
OVERLOAD_DURATION_MS = 36_000.0
OVERLOAD_DEADLINE_MS = 5_000.0

__all__ = ["Summary", "main", "print_base", "print_ratios", "summarize"]


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Pooled quantiles of several runs; ``attained`` is the share that met the objectives."""

    first_tokens_ms: tuple[float, ...]
    gaps_ms: tuple[float, ...]
    batch_tokens_per_s: float
    refused: float
    attained: float
    revocations_ms: tuple[float, ...]


def main() -> None:
    """Run everything and print a report."""
    started_s = time.monotonic()
    for deployment in DEPLOYMENTS:
        _report_mix(deployment)
    for deployment in DEPLOYMENTS:
        _report_overload(deployment)
    print(f"took {time.monotonic() - started_s:.0f} s")


def _report_mix(deployment: Deployment) -> None:
    weight = deployment.objectives.online_weight
    print(f"\n{deployment.name}, online_weight {weight:g}, seeds {SEEDS}")
    plans = [Plan(deployment, seed) for seed in SEEDS]
    online_only: list[RunResult] = []
    direct: list[RunResult] = []
    with_permits: list[RunResult] = []
    for plan in plans:
        online_only.append(run_with_permits(dataclasses.replace(plan, batch=False)))
        direct.append(run_direct(plan))
        with_permits.append(run_with_permits(plan))
    baseline = summarize(deployment, online_only)
    print_base(baseline)
    print_ratios("(b) no policy", summarize(deployment, direct), baseline)
    summary = summarize(deployment, with_permits)
    print_ratios("(c) permits", summary, baseline)
    level, oracle = _best_oracle(deployment, plans, online_only, baseline)
    print_ratios(f"oracle, level {level}", oracle, baseline)
    share = summary.batch_tokens_per_s / oracle.batch_tokens_per_s
    print(f"  batch: {share:.0%} of the oracle")
    p50, p99 = (_quantile(summary.revocations_ms, share) for share in (0.5, 0.99))
    print(f"  burst to batch out of the way: p50 {p50:.1f} ms, p99 {p99:.1f} ms")
    _report_fault(deployment, baseline, "a worker killed", Faults(kill_worker_ms=FAULT_MS))
    _report_fault(deployment, baseline, "an owner killed", Faults(kill_owner_ms=FAULT_MS))
    sys.stdout.flush()


def _report_fault(deployment: Deployment, baseline: Summary, name: str, faults: Faults) -> None:
    plan = Plan(deployment, SEEDS[0], faults=faults)
    without = dataclasses.replace(plan, batch=False)
    print_ratios(f"(a) {name}", summarize(deployment, [run_with_permits(without)]), baseline)
    print_ratios(f"(c) {name}", summarize(deployment, [run_with_permits(plan)]), baseline)


def _best_oracle(
    deployment: Deployment,
    plans: Sequence[Plan],
    online_only: Sequence[RunResult],
    baseline: Summary,
) -> tuple[int, Summary]:
    """Return the highest level that meets the deployment's bound, and its summary.

    With an ``online_weight`` of at least 0.5 the bound is ``TAIL_BOUND`` times the p99 latencies of
    online without batch, otherwise the share of requests that meet the objectives.
    """
    best: tuple[int, Summary] | None = None
    low, high = 0, len(ORACLE_LEVELS) - 1
    while low <= high:
        middle = (low + high) // 2
        level = ORACLE_LEVELS[middle]
        runs = [
            run_oracle(plan, online_run, level, ORACLE_GUARD_MS)
            for plan, online_run in zip(plans, online_only, strict=True)
        ]
        summary = summarize(deployment, runs)
        if _meets_bound(deployment, summary, baseline):
            best = (level, summary)
            low = middle + 1
        else:
            high = middle - 1
    if best is None:
        raise RuntimeError(f"no level of {ORACLE_LEVELS} keeps the bound of {deployment.name}")
    return best


def _meets_bound(deployment: Deployment, summary: Summary, baseline: Summary) -> bool:
    objectives = deployment.objectives
    if objectives.online_weight < 0.5:
        return summary.attained >= objectives.online_share
    first = summary.first_tokens_ms[1] / baseline.first_tokens_ms[1]
    gap = summary.gaps_ms[1] / baseline.gaps_ms[1]
    return max(first, gap) <= TAIL_BOUND


def _report_overload(deployment: Deployment) -> None:
    """Print goodput at multiples of the online load at the capacity of the engines."""
    print(
        f"\n{deployment.name}: goodput under overload, answers within {OVERLOAD_DEADLINE_MS:g} ms"
    )
    capacity = deployment.capacity_load
    steady = dataclasses.replace(deployment, burst_factor=1.0)
    for load in OVERLOADS:
        plan = Plan(
            steady,
            SEEDS[0],
            duration_ms=OVERLOAD_DURATION_MS,
            load=load * capacity,
            deadline_ms=OVERLOAD_DEADLINE_MS,
        )
        run = run_with_permits(plan)
        good = run.goodput_per_s(OVERLOAD_DEADLINE_MS)
        print(f"  {load:3.1f}x: {good:6.1f} good/s, refused {run.refused_share():.3f}")
    calm_ms = OVERLOAD_DURATION_MS / 2
    plan = dataclasses.replace(plan, calm_from_ms=calm_ms)
    recovery_ms = run_with_permits(plan).recovered_ms(calm_ms, deployment.objectives)
    print(
        f"  last refusal or late first token {recovery_ms / 1000:.1f} s after "
        f"{OVERLOADS[-1]:g}x ended"
    )
    sys.stdout.flush()


def summarize(deployment: Deployment, runs: Sequence[RunResult]) -> Summary:
    """Return pooled quantiles and mean rates of several runs."""
    first = _quantiles(value for run in runs for value in run.first_tokens_ms())
    gaps = _quantiles(value for run in runs for value in run.gaps_ms())
    count = len(runs)
    return Summary(
        first,
        gaps,
        sum(run.batch_tokens_per_s() for run in runs) / count,
        sum(run.refused_share() for run in runs) / count,
        sum(run.attained_share(deployment.objectives) for run in runs) / count,
        tuple(value for run in runs for value in run.revocations_ms),
    )


def _quantiles(values: Iterable[float]) -> tuple[float, ...]:
    ordered = sorted(values)
    return tuple(_quantile(ordered, share) for share in SHARES)


def _quantile(values: Sequence[float], share: float) -> float:
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def print_base(baseline: Summary) -> None:
    """Print the figures of online without batch."""
    first = " / ".join(f"{value:.0f}" for value in baseline.first_tokens_ms)
    gaps = " / ".join(f"{value:.1f}" for value in baseline.gaps_ms)
    print(f"  (a) online alone, p50 / p99 / p99.9: first token {first} ms, between {gaps} ms")
    print(f"      objectives kept by {baseline.attained:.3f}, refused {baseline.refused:.4f}")


def print_ratios(name: str, summary: Summary, baseline: Summary) -> None:
    """Print the latencies of ``summary`` as ratios to those of ``baseline``."""
    first = _ratios(summary.first_tokens_ms, baseline.first_tokens_ms)
    gaps = _ratios(summary.gaps_ms, baseline.gaps_ms)
    print(
        f"  {name:22s} first token x {first}, between x {gaps}, objectives {summary.attained:.3f}, "
        f"refused {summary.refused:.4f}, batch {summary.batch_tokens_per_s:.0f} tokens/s"
    )


def _ratios(summary: Sequence[float], baseline: Sequence[float]) -> str:
    return " ".join(
        f"{value / reference:.2f}" for value, reference in zip(summary, baseline, strict=True)
    )


if __name__ == "__main__":
    main()
