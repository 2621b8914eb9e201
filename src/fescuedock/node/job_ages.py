"""How long ago jobs were submitted, as this node and its neighbours know it."""

from collections.abc import Callable, Collection

import msgspec
import trio
from result import Ok

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.stored_jobs.job_ages import JobAges
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.node.replicas import CallNeighbour
from fescuedock.schema.stored_jobs import JobAgesReply, JobAgesRequest

__all__ = ["NodeJobAges"]

_TIMEOUT_MS = 400.0
# A starting node hears of others within a second, and asks some of them at the same time.
_PAUSE_S = 0.2
_MAX_TRIES = 25
_MAX_NEIGHBOURS = 8


class NodeJobAges(msgspec.Struct):
    """The ages of the open jobs that this node knows; ``neighbours`` returns the nodes to ask."""

    call_neighbour: CallNeighbour
    neighbours: Callable[[], Collection[Address]]
    known: JobAges = msgspec.field(default_factory=JobAges)

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Return the handlers by message type, to be merged with those of other services."""
        return {JobAgesRequest: self._on_request}

    async def learn(self) -> None:
        """Learn from nodes that have run for longer, at the start of this one."""
        for _ in range(_MAX_TRIES):
            await trio.sleep(_PAUSE_S)
            replies: list[JobAgesReply] = []
            async with trio.open_nursery() as nursery:
                for address in list(self.neighbours())[:_MAX_NEIGHBOURS]:
                    nursery.start_soon(self._ask, address, replies)
            for reply in replies:
                self.known.learn(reply.ages_ms, now_ms())
            if replies:
                return

    async def _ask(self, address: Address, replies: list[JobAgesReply]) -> None:
        match await self.call_neighbour(address, JobAgesRequest(), _TIMEOUT_MS):
            case Ok(JobAgesReply() as reply):
                replies.append(reply)

    async def _on_request(self, _message: JobAgesRequest, _peer: ServerPeer) -> JobAgesReply:
        return JobAgesReply(self.known.ages_ms(now_ms()))
