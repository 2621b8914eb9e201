"""A weight store that limits the total transfer rate of all loads."""

from dataclasses import dataclass, field

import trio

from fescuedock.address import Address
from fescuedock.backing.weight_store import WeightCatalog, WeightRecord
from fescuedock.net.http_server import Request, Responder
from fescuedock.standin.listener import Listener

__all__ = ["WeightStoreService"]


@dataclass(slots=True)
class WeightStoreService:
    """Weights by model, version and adapter; loads are transferred one by one."""

    bytes_per_s: int = 1_000_000_000
    weights: list[WeightRecord] = field(default_factory=list)
    loads: int = 0
    concurrent_loads: int = 0
    max_concurrent_loads: int = 0
    listener: Listener = field(init=False)
    _free_at_s: float = float("-inf")

    def __post_init__(self) -> None:
        self.listener = Listener(self.handle)

    @property
    def address(self) -> Address:
        return self.listener.address

    async def run(
        self, address: Address, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the bound ``Address``."""
        await self.listener.run(address, task_status=task_status)

    async def load(self, size_bytes: int) -> None:
        """Wait until ``size_bytes`` are transferred, after all loads that began earlier."""
        now_s = trio.current_time()
        self._free_at_s = max(self._free_at_s, now_s) + size_bytes / self.bytes_per_s
        self.loads += 1
        self.concurrent_loads += 1
        self.max_concurrent_loads = max(self.max_concurrent_loads, self.concurrent_loads)
        try:
            await trio.sleep_until(self._free_at_s)
        finally:
            self.concurrent_loads -= 1

    def size_bytes(self, model: str, version: str, adapter: str = "") -> int:
        """Return the size of some weights; 0 if they are not in the store."""
        catalog = WeightCatalog(tuple(self.weights), self.bytes_per_s)
        return catalog.size_bytes(model, version, adapter) or 0

    async def handle(self, request: Request, responder: Responder) -> None:
        if (request.method, request.path) != ("GET", "/v1/weights"):
            await responder.send(404)
            return
        await responder.send_json(200, WeightCatalog(tuple(self.weights), self.bytes_per_s))
