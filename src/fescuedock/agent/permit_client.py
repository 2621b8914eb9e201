"""How an entry or a batch runner gets permits from the agents that own upstreams.

async with open_permit_client(settings, codec, view, holder_id) as permits:
    match await permits.ask(PermitAsk(...), timeout_ms=20):
        case Ok(grant): ...      # run the attempt, watch grant.revoked, then grant.end(...)
        case Err(fault): ...     # refused (retry_after_ms is truthful) or a silent owner
"""

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio
from result import Err, Result

from fescuedock.faults import Fault
from fescuedock.net.codec import Codec
from fescuedock.schema.permits import EndedPermit, LoadSnapshot, PermitAsk
from fescuedock.schema.result_codes import ResultCode
from fescuedock.settings import Settings

if TYPE_CHECKING:
    from fescuedock.agent.link import FleetView

__all__ = ["Grant", "PermitClient", "TimedLoad", "open_permit_client"]


@dataclass(frozen=True, slots=True)
class TimedLoad:
    """A load snapshot and when it arrived, by ``clock.now_ms``."""

    load: LoadSnapshot
    at_ms: float


@dataclass(slots=True, eq=False)
class Grant:
    """Leave to run one attempt.  ``end`` must be called once, however the attempt went.

    When ``revoked`` is set, the holder cancels the attempt at once and ends the permit.  ``local``
    says that no owner gave it (see ``PermitClient.ask_local``).
    """

    permit_id: str
    upstream_id: str
    local: bool
    _end: Callable[[EndedPermit], None]
    revoked: trio.Event = field(default_factory=trio.Event)

    def end(self, ended: EndedPermit) -> None:
        """Report how the attempt went; sent to the owner with others.  Further calls do nothing."""
        self._end(ended)


class PermitClient:
    """Asks owners for permits, renews what is held, and keeps their load snapshots."""

    holder_id: str
    loads: Mapping[str, TimedLoad]

    async def ask(self, ask: PermitAsk, timeout_ms: float) -> Result[Grant, Fault]:
        """Ask the owner of ``ask.upstream_id``; wait ``timeout_ms`` at most for its answer.

        ``timeout_ms`` should exceed ``ask.wait_ms``, the time the owner may queue the ask.
        ``PEER_UNREACHABLE`` and ``PEER_UNKNOWN`` mean a silent owner: an online attempt may then
        use ``ask_local`` or another upstream, batch waits.  Any other fault is the owner's refusal.
        A late grant is given back by the client itself.
        """
        return Err(Fault(ResultCode.PEER_UNREACHABLE, "not yet"))

    def ask_local(self, ask: PermitAsk) -> Result[Grant, Fault]:
        """Grant one online attempt without its owner, under the conservative local limit.

        ``NO_CAPACITY`` when the local limit is used up, or for batch work, which must wait.
        """
        return Err(Fault(ResultCode.NO_CAPACITY, "not yet"))


@asynccontextmanager
async def open_permit_client(
    settings: Settings, codec: Codec, view: "FleetView", holder_id: str
) -> AsyncIterator[PermitClient]:
    """Run a client's background work until the block is left."""
    yield PermitClient()
