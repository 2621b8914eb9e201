"""The state of one upstream to whose engine an agent gives orders."""

from typing import TYPE_CHECKING

import msgspec
import trio

from fescuedock.core.orders.fencing import OrderHolder
from fescuedock.schema.config import OrderCheck
from fescuedock.schema.orders import PlannedOrder
from fescuedock.schema.view import UpstreamRecord

if TYPE_CHECKING:
    from fescuedock.agent.link import FleetView

__all__ = ["ServedUpstream"]

_REFUSAL_PAUSE_MS = 60000


class ServedUpstream:
    """The agent's state of one upstream; ``wake`` is set when the fleet view has changed."""

    def __init__(self, upstream: UpstreamRecord, holder: OrderHolder) -> None:
        self.upstream = upstream
        self.holder = holder
        self.wake = trio.Event()
        # The model names that the engine reports; None before the first answer or without one.
        self.listed: frozenset[str] | None = None
        self.is_loading = False
        self._refusals: list[tuple[PlannedOrder, float]] = []

    def refresh(self, view: "FleetView") -> None:
        """Update the upstream from the view; one that is no longer there counts as leaving."""
        found = view.upstreams.get(self.upstream.upstream_id)
        self.upstream = found or msgspec.structs.replace(self.upstream, leaving=True)
        service = view.configuration.services.get(self.upstream.service)
        engine_checks = service is not None and service.order_check is OrderCheck.FENCED
        self.holder.engine_checks_fencing = engine_checks

    def has_work(self, wanted: PlannedOrder | None) -> bool:
        return wanted is not None or self.holder.current is not None or self.holder.is_holding

    def record_refusal(self, order: PlannedOrder, at_ms: float) -> None:
        """Record that the engine rejected ``order``, which is then not retried for a while."""
        self._refusals.append((order, at_ms + _REFUSAL_PAUSE_MS))

    def refused_orders(self, at_ms: float) -> list[PlannedOrder]:
        """Return the rejected orders that must not be retried yet."""
        self._refusals = [item for item in self._refusals if item[1] > at_ms]
        return [order for order, _ in self._refusals]
