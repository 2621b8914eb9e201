"""Learns from other nodes how old jobs are, once at the start of this node."""

from collections.abc import Callable, Collection

import trio
from result import Ok

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.stored_jobs.job_ages import JobAges
from fescuedock.node.replicas import CallNeighbour
from fescuedock.schema.stored_jobs import JobAgesReply, JobAgesRequest

__all__ = ["learn_ages"]

_TIMEOUT_MS = 400.0
# A starting node hears of others within a second, and asks some of them at the same time.
_PAUSE_S = 0.2
_MAX_TRIES = 25
_MAX_NEIGHBOURS = 8


async def learn_ages(
    ages: JobAges, call_neighbour: CallNeighbour, neighbours: Callable[[], Collection[Address]]
) -> None:
    """Add what ``neighbours`` know to ``ages``; return after the first answers, or some tries."""
    for _ in range(_MAX_TRIES):
        await trio.sleep(_PAUSE_S)
        replies: list[JobAgesReply] = []
        async with trio.open_nursery() as nursery:
            for address in list(neighbours())[:_MAX_NEIGHBOURS]:
                nursery.start_soon(_ask, call_neighbour, address, replies)
        for reply in replies:
            ages.learn(reply.ages_ms, now_ms())
        if replies:
            return


async def _ask(
    call_neighbour: CallNeighbour, address: Address, replies: list[JobAgesReply]
) -> None:
    match await call_neighbour(address, JobAgesRequest(), _TIMEOUT_MS):
        case Ok(JobAgesReply() as reply):
            replies.append(reply)
