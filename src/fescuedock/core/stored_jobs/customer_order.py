"""Orders the items at a node fairly by customer, so that no customer's jobs block another's.

Pure.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from fescuedock.core.permits.queued import stage_group
from fescuedock.core.stored_jobs.job import StoredJob
from fescuedock.core.stored_jobs.urgency import ItemChoice
from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["count_running_items", "interleave_customers"]


def count_running_items(jobs: Iterable[StoredJob]) -> Counter[str]:
    """Return the number of running items by customer."""
    counts: Counter[str] = Counter()
    for job in jobs:
        counts[job.record.customer or ""] += job.running_count()
    return counts


def interleave_customers(
    ranked: Sequence[ItemChoice],
    running: Counter[str],
    priority: Callable[[StoredJobRecord], int],
    upstream_id: str,
) -> list[ItemChoice]:
    """Return ``ranked`` by priority, then urgency, with customers in round-robin order.

    Customers alternate only among items of the same priority and urgency.  A customer's items keep
    their order; running items count as already served, so a customer's first waiting item comes in
    the round after them.  Items that failed at this upstream stay last, for every customer.
    """
    rounds = Counter(running)
    keyed = []
    for position, choice in enumerate(ranked):
        record = choice.job.record
        customer = record.customer or ""
        avoided = upstream_id in choice.run.avoided
        urgency = (priority(record), stage_group(choice.stage))
        keyed.append((avoided, urgency, rounds[customer], position))
        rounds[customer] += 1
    return [ranked[key[-1]] for key in sorted(keyed)]
