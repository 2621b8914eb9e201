"""Gives orders to the engines of the upstreams that this VM's agent owns."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random

from fescuedock.platform.kv import KvStore
from fescuedock.schema.config import Configuration
from fescuedock.schema.view import UpstreamRecord
from fescuedock.settings import Settings

__all__ = ["OrderService"]


@dataclass(slots=True)
class OrderService:
    """Made once by the agent, which runs ``run``.

    ``owned`` gives the upstreams that this agent owns now; ``configuration`` the one in force.
    """

    settings: Settings
    kv: KvStore
    owned: Callable[[], Sequence[UpstreamRecord]]
    configuration: Callable[[], Configuration]
    send_order: Callable[..., Awaitable[object]]
    random: Random

    async def run(self) -> None:
        """Give orders while there are any, until cancelled."""
        raise NotImplementedError
