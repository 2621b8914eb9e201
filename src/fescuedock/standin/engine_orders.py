"""The models, adapters and role of a stand-in engine, and the orders that change them."""

from dataclasses import dataclass, field, replace

import trio

from fescuedock.backing.engine_wire import EngineOrder
from fescuedock.standin.token_time import EngineProfile
from fescuedock.standin.weight_store import WeightStoreService

__all__ = [
    "BadOrderError",
    "EngineOrders",
    "ReceivedOrder",
    "SupersededOrderError",
    "profile_of_role",
]

ROLES = ("both", "prefill", "decode")
# An engine in the role prefill or decode is faster at that phase, and slower at the other, by this.
_ROLE_SPEED_FACTOR = 1.6


class SupersededOrderError(Exception):
    """The engine checks fencing numbers and has already received a higher one."""


class BadOrderError(Exception):
    """The order is unknown or names an unknown role."""


@dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """An order, when it arrived and whether it was accepted."""

    at_s: float
    order: EngineOrder
    accepted: bool


@dataclass(slots=True)
class EngineOrders:
    """The models, adapters and role of one engine.

    An engine that starts without models serves any model.  Orders are executed one at a time, in
    the order of their arrival.
    """

    weights: WeightStoreService
    checks_fencing: bool = True
    load_ms: float = 100.0
    role_change_ms: float = 100.0
    models: dict[str, str] = field(default_factory=dict)
    adapters: dict[str, str] = field(default_factory=dict)
    role: str = "both"
    highest_fencing: int = 0
    received: list[ReceivedOrder] = field(default_factory=list)
    _serves_any: bool = field(init=False)
    _execution_lock: trio.Lock = field(default_factory=trio.Lock)

    def __post_init__(self) -> None:
        self._serves_any = not self.models

    def serves(self, model: str) -> bool:
        """Return whether requests may name ``model``, which is a model or an adapter."""
        return self._serves_any or model in self.models or model in self.adapters

    async def execute(self, order: EngineOrder) -> None:
        """Execute an order; a load takes the time to transfer the weights and ``load_ms``.

        Raise ``SupersededOrderError`` or ``BadOrderError`` before anything has changed.
        """
        action = _ACTIONS.get(order.order)
        if action is None or (order.role and order.role not in ROLES):
            raise BadOrderError(f"unknown order {order.order!r} or role {order.role!r}")
        superseded = order.fencing < self.highest_fencing
        accepted = not (superseded and self.checks_fencing)
        self.received.append(ReceivedOrder(trio.current_time(), order, accepted))
        if not accepted:
            message = f"fencing number {order.fencing} is below {self.highest_fencing}"
            raise SupersededOrderError(message)
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        async with self._execution_lock:
            await action(self, order)

    async def _load_model(self, order: EngineOrder) -> None:
        if self.models.get(order.model) == order.version:
            return
        await self._load(self.weights.size_bytes(order.model, order.version))
        self.models[order.model] = order.version

    async def _unload_model(self, order: EngineOrder) -> None:
        self.models.pop(order.model, None)

    async def _load_adapter(self, order: EngineOrder) -> None:
        if self.adapters.get(order.adapter) == order.version:
            return
        await self._load(self.weights.size_bytes(order.model, order.version, order.adapter))
        self.adapters[order.adapter] = order.version

    async def _unload_adapter(self, order: EngineOrder) -> None:
        self.adapters.pop(order.adapter, None)

    async def _set_role(self, order: EngineOrder) -> None:
        if self.role == order.role:
            return
        await trio.sleep(self.role_change_ms / 1000)
        self.role = order.role

    async def _load(self, size_bytes: int) -> None:
        await self.weights.load(size_bytes)
        await trio.sleep(self.load_ms / 1000)


_ACTIONS = {
    "load_model": EngineOrders._load_model,
    "unload_model": EngineOrders._unload_model,
    "load_adapter": EngineOrders._load_adapter,
    "unload_adapter": EngineOrders._unload_adapter,
    "set_role": EngineOrders._set_role,
}


def profile_of_role(profile: EngineProfile, role: str) -> EngineProfile:
    """Return ``profile`` with the speeds of an engine in ``role``."""
    if role == "prefill":
        speed_factor = _ROLE_SPEED_FACTOR
    elif role == "decode":
        speed_factor = 1 / _ROLE_SPEED_FACTOR
    else:
        speed_factor = 1.0
    return replace(
        profile,
        step_ms=profile.step_ms * speed_factor,
        step_ms_per_sequence=profile.step_ms_per_sequence * speed_factor,
        prefill_ms_per_token=profile.prefill_ms_per_token / speed_factor,
    )
