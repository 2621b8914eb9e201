"""Deterministic metrics of three processes over three days."""

import random

from fescuedock.report.metrics import Metrics
from fescuedock.schema.config import Objectives
from fescuedock.schema.report import MetricsReport, ServiceObjectives
from fescuedock.schema.result_codes import ResultCode

__all__ = ["BURNING", "STEADY", "three_days"]

STEADY = "trip-desk"
# Misses its objectives in the last hour.
BURNING = "admision-llm"
_START_S = 1_796_000_400
_MINUTES = 3 * 24 * 60
_STEP_MINUTES = 2
_OBJECTIVES = ServiceObjectives(
    first_token_ms=1000, inter_token_ms=31, online_share=0.95, batch_share=0.99
)


def three_days() -> list[MetricsReport]:
    """Return the metrics reports of three VMs' entries at the end of the three days."""
    rng = random.Random(7)
    now_s = _START_S
    processes = [
        Metrics(f"vm-{number}/entry/1", lambda: now_s, lambda _service: Objectives())
        for number in range(3)
    ]
    for minute in range(0, _MINUTES, _STEP_MINUTES):
        now_s = _START_S + minute * 60
        burning = minute > _MINUTES - 65
        for metrics in processes:
            _record_query(metrics, BURNING, rng, slow_share=0.95 if burning else 0.01)
            _record_query(metrics, STEADY, rng, slow_share=0.02)
            if rng.random() < 0.05:
                metrics.record_job(STEADY, in_time=rng.random() > 0.02)
            metrics.record_item(STEADY, "member", rng.lognormvariate(6, 0.6), ResultCode.OK)
    objectives = {BURNING: _OBJECTIVES, STEADY: _OBJECTIVES}
    return [MetricsReport([metrics.snapshot()], objectives, 5) for metrics in processes]


def _record_query(metrics: Metrics, service: str, rng: random.Random, slow_share: float) -> None:
    slowness = 30 if rng.random() < slow_share else 1
    first_token_ms = rng.uniform(60, 300) * slowness
    code = ResultCode.OK if rng.random() > 0.005 else ResultCode.NO_CAPACITY
    metrics.record_online(service, f"member-{rng.randrange(50)}", first_token_ms, 18.0, code)
