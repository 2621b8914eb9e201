"""The agent's part in permits: answers asks, renewals and ends for the upstreams that it owns."""

import random
from typing import TYPE_CHECKING

from fescuedock.net.channel import CallHandler
from fescuedock.settings import Settings

if TYPE_CHECKING:
    from fescuedock.agent.link import FleetView
    from fescuedock.platform.engine import EngineClient

__all__ = ["PermitService"]


class PermitService:
    """Soft state for each upstream that ``view`` says this VM owns."""

    def __init__(
        self,
        settings: Settings,
        view: "FleetView",
        engines: "EngineClient",
        rng: random.Random,
    ) -> None:
        self._settings = settings

    def handlers(self) -> dict[type, CallHandler]:
        """Handlers by message type, to be merged with those of the agent's other services."""
        return {}

    async def run(self) -> None:
        """Follow ownership, expire permits, poll engine load and push revocations; never returns."""
