"""Determines the target models, adapters and role of an upstream, and the next order towards it.

The target comes from the configuration: every model of the upstream's service, as requests go to
any upstream of a service, starting with those that its policy lists.  Demand decides which loads
may start: those that online traffic is waiting for come first.
"""

from collections.abc import Collection, Iterator, Mapping, Sequence

import msgspec

from fescuedock.schema.config import Configuration, ModelSpec, ServiceKind, UpstreamPolicy
from fescuedock.schema.orders import EngineState, LoadSlot, OrderKind, PlannedOrder
from fescuedock.schema.view import UpstreamRecord

__all__ = [
    "Placement",
    "after_order",
    "choose_slot",
    "lacks_model",
    "models_of",
    "next_order",
    "placement_of",
    "uses_weight_store",
    "without_unlisted",
]

_LOADS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)


class Placement(msgspec.Struct, frozen=True):
    """The target state of one upstream; ``models`` are by name."""

    models: Mapping[str, ModelSpec] = msgspec.field(default_factory=dict)
    role: str = "both"


def models_of(configuration: Configuration, upstream: UpstreamRecord) -> list[str]:
    """Return the target models of ``upstream`` in the order in which to load them.

    Models listed in its policy come first, then smaller ones before larger ones.
    """
    service = configuration.services.get(upstream.service)
    if service is None or service.kind is not ServiceKind.MODEL:
        return []
    first = configuration.upstreams.get(upstream.upstream_id, UpstreamPolicy()).models

    def rank(name: str) -> tuple[bool, int, str]:
        return (name not in first, service.models[name].weights_bytes, name)

    return sorted(service.models, key=rank)


def placement_of(configuration: Configuration, upstream: UpstreamRecord) -> Placement:
    """Return the target state of ``upstream`` under ``configuration``."""
    names = models_of(configuration, upstream)
    if not names:
        return Placement()
    service = configuration.services[upstream.service]
    policy = configuration.upstreams.get(upstream.upstream_id, UpstreamPolicy())
    return Placement({name: service.models[name] for name in names}, policy.role.value)


def next_order(
    state: EngineState, target: Placement, refused: Sequence[PlannedOrder] = ()
) -> PlannedOrder | None:
    """Return the next order that brings ``state`` closer to ``target``; None when it is reached.

    Unloads come first, as memory is scarce.  ``refused`` are orders that the engine rejected
    recently.
    """
    return next((order for order in _orders(state, target) if order not in refused), None)


def lacks_model(state: EngineState, listed: Collection[str], target: Placement) -> bool:
    """Whether the engine has no version of some target model or adapter.

    ``listed`` are the names that the engine itself reports as served.
    """
    adapters = {adapter for spec in target.models.values() for adapter in spec.adapters}
    have = {*state.models, *state.adapters, *listed}
    return not have.issuperset({*target.models, *adapters})


def without_unlisted(state: EngineState, listed: Collection[str]) -> EngineState:
    """Return ``state`` without what the engine no longer lists, for instance after a restart."""
    models = {name: version for name, version in state.models.items() if name in listed}
    adapters = {name: base for name, base in state.adapters.items() if name in listed}
    return EngineState(models, adapters, state.role if models else "both")


def after_order(state: EngineState, order: PlannedOrder) -> EngineState:
    """Return the state of an engine after it has executed ``order``."""
    models, adapters, role = dict(state.models), dict(state.adapters), state.role
    match order.kind:
        case OrderKind.LOAD_MODEL:
            models[order.model] = order.version
        case OrderKind.UNLOAD_MODEL:
            models.pop(order.model, None)
        case OrderKind.LOAD_ADAPTER:
            adapters[order.adapter] = _base(order.model, order.version)
        case OrderKind.UNLOAD_ADAPTER:
            adapters.pop(order.adapter, None)
        case OrderKind.SET_ROLE:
            role = order.role
    return EngineState(models, adapters, role)


def uses_weight_store(order: PlannedOrder) -> bool:
    """Whether the order loads weights and therefore needs a load slot."""
    return order.kind in _LOADS


def choose_slot(
    used_slots: Mapping[int, LoadSlot], count: int, loads_per_model: int, model: str, online: bool
) -> int | None:
    """Return a free slot for a load of ``model``; None when it must wait.

    The last free slot is reserved for loads that online traffic is waiting for (``online``).
    """
    if sum(slot.model == model for slot in used_slots.values()) >= loads_per_model:
        return None
    free = [index for index in range(count) if index not in used_slots]
    if not free or (len(free) == 1 and count > 1 and not online):
        return None
    return free[0]


def _orders(state: EngineState, target: Placement) -> Iterator[PlannedOrder]:
    yield from _unloads(state, target)
    if state.role != target.role and target.models:
        yield PlannedOrder(OrderKind.SET_ROLE, role=target.role)
    for name, spec in target.models.items():
        if state.models.get(name) != spec.version:
            yield PlannedOrder(OrderKind.LOAD_MODEL, model=name, version=spec.version)
        for adapter in spec.adapters:
            if state.adapters.get(adapter) != _base(name, spec.version):
                yield PlannedOrder(
                    OrderKind.LOAD_ADAPTER, model=name, version=spec.version, adapter=adapter
                )


def _unloads(state: EngineState, target: Placement) -> Iterator[PlannedOrder]:
    if not target.models:
        # An upstream without a configured service is left unchanged.
        return
    adapters = {adapter for spec in target.models.values() for adapter in spec.adapters}
    for adapter in _unwanted(state.adapters, adapters):
        yield PlannedOrder(OrderKind.UNLOAD_ADAPTER, adapter=adapter)
    for model in _unwanted(state.models, target.models):
        yield PlannedOrder(OrderKind.UNLOAD_MODEL, model=model)


def _unwanted(names: Mapping[str, str], target: Collection[str]) -> list[str]:
    return sorted(name for name in names if name not in target)


def _base(model: str, version: str) -> str:
    return f"{model}@{version}"
