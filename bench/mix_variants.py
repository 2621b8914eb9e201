"""Compare rejected permit policies on the traffic of ``bench.mix``, for docs/decisions/permits.md.

Run as ``python -m bench.mix_variants``.
"""

import dataclasses
from collections.abc import Callable

from bench.mix import print_base, print_ratios, summarize
from bench.mix_actors import Fleet
from bench.mix_runs import DirectBatch, DirectOnline, Plan, RunResult, run_plan, run_with_permits
from bench.mix_traffic import DEPLOYMENTS, Deployment
from bench.virtual import VirtualLoop
from fescuedock.core.permits.limits import UpstreamLimits
from fescuedock.core.permits.owner import PermitOwner
from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.schema.config import Objectives
from fescuedock.schema.settings import PermitSettings

SEEDS = (1, 2)
FIXED_LIMITS = (16, 32, 48)
OWNERLESS_LEVELS = (16, 32)

Variant = Callable[[Plan], RunResult]


class _NonRevokingQueue(UpstreamQueue):
    """Never revokes batch: online starts immediately and runs concurrently with it."""

    def _revoke_excess_batch(self, now_ms: float) -> list:
        return []

    def _revoke_blocking_prefill(self, now_ms: float) -> list:
        return []


class _FixedLimits(UpstreamLimits):
    """Keeps the start limit of the settings."""

    def adjust(self, online: int, batch: int, now_ms: float) -> None:
        return


class _FixedQueue(UpstreamQueue):
    """Keeps its limit whatever the latency; online still revokes batch above it."""

    def __init__(self, upstream_id: str, settings: PermitSettings, *rest: object) -> None:
        super().__init__(upstream_id, settings, *rest)
        self._limits = _FixedLimits(settings, self._limits.objectives, 0.0)
        self._evidence.limits = self._limits


def _owner_with(queue_type: type[UpstreamQueue]) -> type[PermitOwner]:
    class Owner(PermitOwner):
        """An owner that creates queues of ``queue_type``."""

        def _new_queue(
            self, upstream_id: str, terms: UpstreamTerms, now_ms: float
        ) -> UpstreamQueue:
            valid_ms = self._valid_ms
            return queue_type(upstream_id, self._settings, terms, valid_ms, valid_ms, now_ms)

    return Owner


def main() -> None:
    """Run each variant on both deployments."""
    for deployment in DEPLOYMENTS:
        plans = [Plan(deployment, seed) for seed in SEEDS]
        online_only = [run_with_permits(dataclasses.replace(plan, batch=False)) for plan in plans]
        baseline = summarize(deployment, online_only)
        print(f"\n{deployment.name}")
        print_base(baseline)
        for name, variant in _variants(deployment):
            summary = summarize(deployment, [variant(plan) for plan in plans])
            print_ratios(name, summary, baseline)


def _variants(deployment: Deployment) -> list[tuple[str, Variant]]:
    variants: list[tuple[str, Variant]] = [
        ("as shipped", run_with_permits),
        ("waiting", _run_without_revocation),
    ]
    variants += [(f"fixed limit {limit}", _fixed_limit_variant(limit)) for limit in FIXED_LIMITS]
    variants += [
        (f"no owner, level {level}", _ownerless_variant(level)) for level in OWNERLESS_LEVELS
    ]
    return variants


def _run_without_revocation(plan: Plan) -> RunResult:
    return run_with_permits(dataclasses.replace(plan, make_owner=_owner_with(_NonRevokingQueue)))


def _fixed_limit_variant(limit: int) -> Variant:
    def run(plan: Plan) -> RunResult:
        settings = PermitSettings(start_limit=limit)
        objectives = Objectives(first_token_ms=1e9, inter_token_ms=1e9, online_weight=0.0)
        deployment = dataclasses.replace(plan.deployment, objectives=objectives)
        plan = dataclasses.replace(plan, deployment=deployment, settings=settings)
        return run_with_permits(dataclasses.replace(plan, make_owner=_owner_with(_FixedQueue)))

    return run


def _ownerless_variant(level: int) -> Variant:
    """Return a variant without owners.

    Online chooses the less loaded of two engines and batch fills up to ``level``; both know only
    the engines' own load reports, which lag.
    """

    def run(plan: Plan) -> RunResult:
        loop = VirtualLoop()
        fleet = Fleet.for_plan(loop, plan)
        reports = dict.fromkeys(fleet.engines, (0, 0))
        # Holds the batch sender once it is constructed: its constructor already calls
        # ``batch_limit`` for its first attempts.
        started_batches: list[DirectBatch] = []

        def poll() -> None:
            for name, engine in fleet.engines.items():
                reports[name] = engine.report() or (0, 0)
            loop.after(plan.settings.load_poll_ms, poll)

        def batch_limit(name: str) -> tuple[int, bool]:
            own_running = started_batches[0].running_at(name) if started_batches else 0
            return level - max(sum(reports[name]) - own_running, 0), True

        poll()
        results = plan.results()
        online = DirectOnline(fleet, plan.rng("direct"), lambda name: sum(reports[name]))
        for item in results:
            loop.after(item.arrival.at_ms, online.serve, item)
        started_batches.append(DirectBatch(fleet, plan.rng("batch"), batch_limit))
        return run_plan(loop, plan, started_batches[0], results)

    return run


if __name__ == "__main__":
    main()
