"""The management interface of a stand-in engine: load, cache events, orders and KV transfer."""

from dataclasses import dataclass, field

import msgspec
import trio

from fescuedock.backing.engine_control import KV_USE_METRIC, RUNNING_METRIC, WAITING_METRIC
from fescuedock.backing.engine_wire import EngineOrder, KvBlocks
from fescuedock.clock import now_ms
from fescuedock.entry.routes import Route
from fescuedock.net.http_server import Request, Responder
from fescuedock.standin.engine_core import BLOCK_TOKENS, EngineCore
from fescuedock.standin.engine_orders import (
    BadOrderError,
    EngineOrders,
    SupersededOrderError,
    profile_of_role,
)

__all__ = ["EngineAdmin"]

_MAX_BODY_BYTES = 256 * 1024 * 1024
_KV_BYTES_PER_TOKEN = 16
_TRANSFER_MS_PER_BLOCK = 0.05


@dataclass(slots=True)
class EngineAdmin:
    """The management routes; ``run`` executes orders even after their sender has disconnected."""

    core: EngineCore
    orders: EngineOrders
    _nursery: trio.Nursery | None = field(default=None)

    def routes(self) -> list[Route]:
        return [
            Route("GET", "/metrics", self._metrics),
            Route("GET", "/v1/models", self._models),
            Route("GET", "/v1/cache/events", self._cache_events),
            Route("POST", "/v1/orders", self._order),
            Route("POST", "/v1/kv/export", self._export),
            Route("POST", "/v1/kv/import", self._import),
        ]

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def _metrics(self, request: Request, responder: Responder, _: dict[str, str]) -> None:
        load = self.core.reported
        values = (
            (RUNNING_METRIC, load.running),
            (WAITING_METRIC, load.waiting),
            (KV_USE_METRIC, load.kv_cache_use),
        )
        lines = [f"# TYPE {name} gauge\n{name} {value}\n" for name, value in values]
        body = "".join(lines).encode()
        await responder.send(200, body, [("content-type", "text/plain; version=0.0.4")])

    async def _models(self, request: Request, responder: Responder, _: dict[str, str]) -> None:
        names = [*self.orders.models, *self.orders.adapters]
        data = [{"id": name, "object": "model"} for name in names]
        await responder.send_json(200, {"object": "list", "data": data})

    async def _cache_events(
        self, request: Request, responder: Responder, _: dict[str, str]
    ) -> None:
        after = request.query.get("after", "0")
        if not after.isdigit():
            await responder.send_json(400, {"error": f"after is not an integer: {after!r}"})
            return
        await responder.send_json(200, self.core.events.read(int(after), now_ms()))

    async def _order(self, request: Request, responder: Responder, _: dict[str, str]) -> None:
        body = await request.read(_MAX_BODY_BYTES)
        try:
            order = msgspec.json.decode(body, type=EngineOrder)
        except msgspec.MsgspecError as error:
            await responder.send_json(400, {"error": str(error)})
            return
        job = _OrderJob(order)
        self._nursery.start_soon(self._execute, job)
        await job.done.wait()
        await responder.send_json(job.status, {"message": job.message})

    async def _execute(self, job: "_OrderJob") -> None:
        try:
            await self.orders.execute(job.order)
            self.core.model.profile = profile_of_role(self.core.profile, self.orders.role)
        except SupersededOrderError as error:
            job.status, job.message = 409, str(error)
        except BadOrderError as error:
            job.status, job.message = 400, str(error)
        job.done.set()

    async def _export(self, request: Request, responder: Responder, _: dict[str, str]) -> None:
        requested = await _read_blocks(request, responder)
        if requested is None:
            return
        cached = self.core.cache.select_cached(requested.hashes)
        await trio.sleep(len(cached) * _TRANSFER_MS_PER_BLOCK / 1000)
        payload = bytes(len(cached) * BLOCK_TOKENS * _KV_BYTES_PER_TOKEN)
        await responder.send_json(200, KvBlocks(cached, payload))

    async def _import(self, request: Request, responder: Responder, _: dict[str, str]) -> None:
        received = await _read_blocks(request, responder)
        if received is None:
            return
        if len(received.payload) != len(received.hashes) * BLOCK_TOKENS * _KV_BYTES_PER_TOKEN:
            await responder.send_json(400, {"error": "payload size does not match the blocks"})
            return
        await trio.sleep(len(received.hashes) * _TRANSFER_MS_PER_BLOCK / 1000)
        self.core.store_blocks(received.hashes)
        await responder.send_json(200, {"blocks": len(received.hashes)})


@dataclass(slots=True)
class _OrderJob:
    """An order being executed and its HTTP result."""

    order: EngineOrder
    status: int = 200
    message: str = "done"
    done: trio.Event = field(default_factory=trio.Event)


async def _read_blocks(request: Request, responder: Responder) -> KvBlocks | None:
    """Read the body; for an invalid one, respond with 400 and return None."""
    body = await request.read(_MAX_BODY_BYTES)
    try:
        return msgspec.json.decode(body, type=KvBlocks)
    except msgspec.MsgspecError as error:
        await responder.send_json(400, {"error": str(error)})
        return None
