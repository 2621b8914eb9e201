"""Processor time of one choice among upstreams: ``python -m bench.placement_cost``.

Prints microseconds for the ranking by load and the ranking by prediction over 45 upstreams: a third
has a recent load report, a third an old one, and the others none.
"""

import random
import timeit
from time import process_time

from fescuedock.core.placement import choose_by_prediction
from fescuedock.core.routing import Candidate, Demand, RoutingPolicy, choose_upstreams
from fescuedock.schema.permits import LoadSnapshot

_UPSTREAMS = 45
_ROUNDS = 2000


def _candidate(number: int) -> Candidate:
    name = f"i-{number}"
    load = LoadSnapshot(
        name, number % 9, 0, 0, 8, 60.0, True, 5.0, 60.0, 0.01, 25.0, 500.0, 1.2, 40.0
    )
    report_state = number % 3
    return Candidate(
        name,
        0.5,
        load if report_state == 0 else None,
        speed=load if report_state < 2 else None,
        speed_age_ms=200.0 if report_state == 0 else 3000.0,
        same_domain=number % 3 == 0,
    )


def main() -> None:
    candidates = [_candidate(number) for number in range(_UPSTREAMS)]
    demand = Demand(450, 0, "", 200.0, 5000.0, 400.0)
    rng = random.Random(1)
    policy = RoutingPolicy()
    for name, rank in (("today", choose_upstreams), ("predicted", choose_by_prediction)):
        times_s = timeit.repeat(
            lambda rank=rank: rank(candidates, demand, 0.0, policy, rng),
            timer=process_time,
            number=_ROUNDS,
            repeat=9,
        )
        print(f"{name}: {min(times_s) / _ROUNDS * 1e6:.0f} us")


if __name__ == "__main__":
    main()
