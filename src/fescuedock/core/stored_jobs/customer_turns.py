"""Customers take turns with their items at a node, so that one's jobs do not hold up another's.

Pure.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from fescuedock.core.permits.queued import stage_group
from fescuedock.core.stored_jobs.job import StoredJob
from fescuedock.core.stored_jobs.urgency import ItemChoice
from fescuedock.schema.stored_jobs import StoredJobRecord

__all__ = ["running_items", "take_turns"]


def running_items(jobs: Iterable[StoredJob]) -> Counter[str]:
    """Return how many items of each customer run now."""
    counts: Counter[str] = Counter()
    for job in jobs:
        counts[job.record.customer or ""] += job.running_count()
    return counts


def take_turns(
    ranked: Sequence[ItemChoice],
    running: Counter[str],
    priority: Callable[[StoredJobRecord], int],
    upstream_id: str,
) -> list[ItemChoice]:
    """Return ``ranked`` with the more urgent priority first and customers in turn within it.

    They take turns among items that can wait equally well.  A customer's items keep their order;
    the first of them counts as behind all that run of it.  Items that the upstream has failed stay
    last, whoever's they are.
    """
    turns = Counter(running)
    keyed = []
    for position, choice in enumerate(ranked):
        record = choice.job.record
        customer = record.customer or ""
        avoided = upstream_id in choice.run.avoided
        urgency = (priority(record), stage_group(choice.stage))
        keyed.append((avoided, urgency, turns[customer], position))
        turns[customer] += 1
    return [ranked[key[-1]] for key in sorted(keyed)]
