"""Measure the cost of an upstream's queue per call: ``python -m bench.queue_costs``.

Drives the shipped queue in virtual time for a full upstream of 8 slots.  The cases combine a
deployment without and with customers with none and 16 waiting requests.
"""

import statistics
import time

from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, PermitAsk, WorkClass
from fescuedock.schema.settings import PermitSettings

ROUNDS = 15
CALLS = 2000
SLOTS = 8
CUSTOMERS = 12


def main() -> None:
    """Print the processor time of a permit request, its grant and its end."""
    for name, waiting, customers in (
        ("nobody waits, no customers", 0, 0),
        ("nobody waits, 12 customers", 0, CUSTOMERS),
        ("16 wait, no customers", 16, 0),
        ("16 wait, 12 customers", 16, CUSTOMERS),
    ):
        rounds = [_round_us(waiting, customers) for _ in range(ROUNDS)]
        print(f"{name:28} min {min(rounds):6.1f}  median {statistics.median(rounds):6.1f} us")


def _round_us(waiting: int, customers: int) -> float:
    queue = UpstreamQueue(
        "u1", PermitSettings(), UpstreamTerms(slots=SLOTS), 2000, rebuild_ms=0.0, now_ms=0.0
    )
    requests = [_permit_request(number, customers) for number in range(CALLS)]
    started_s = time.process_time()
    for number, request in enumerate(requests):
        now_ms = number * 10.0
        queue.submit(request, now_ms)
        ended_number = number - SLOTS - waiting + 1
        if ended_number >= 0:
            queue.end(_ended(ended_number), now_ms + 5.0)
    return (time.process_time() - started_s) * 1e6 / CALLS


def _permit_request(number: int, customers: int) -> PermitAsk:
    return PermitAsk(
        upstream_id="u1",
        attempt_id=f"attempt-{number}",
        holder_id="vm-1/node",
        service="desk-llm",
        member=f"customer-{number % customers}" if customers else "",
        work_class=WorkClass.ONLINE,
        slack_ms=60_000,
        prompt_tokens=450,
        wait_ms=60_000,
        target_ms=60_000,
    )


def _ended(number: int) -> EndedPermit:
    return EndedPermit(
        f"attempt-{number}",
        "u1",
        AttemptOutcome.COMPLETED,
        WorkClass.ONLINE,
        first_token_ms=40.0,
        generated_tokens=26,
    )


if __name__ == "__main__":
    main()
