"""Runs items alone that were running when upstreams ended: one at a time on a node."""

from collections.abc import Callable
from secrets import token_hex

import msgspec
import trio
from result import Ok

from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import Grant, PermitClient
from fescuedock.core.rendezvous import choose_name
from fescuedock.schema.permits import PermitAsk, WorkClass
from fescuedock.schema.view import UpstreamRecord

__all__ = ["LoneItem", "LoneItems"]

# Items become suspects by the end of an upstream, which is seldom.
_LOOK_S = 0.25
# An upstream that is being emptied for the run is not given up for less: it takes the longest run
# that is under way there.
_WAIT_MS = 10000
_ASK_MARGIN_MS = 300.0


class LoneItem(msgspec.Struct, frozen=True):
    """For whom an item runs alone, and its priority."""

    customer: str = ""
    priority: int = 0


class LoneItems:
    """Asks for an upstream that is otherwise empty while ``wanted`` returns an item that needs one.

    ``use`` gets the permit, and gives it back when nothing needs it any more.
    """

    def __init__(
        self,
        view: FleetView,
        permits: PermitClient,
        wanted: Callable[[str], LoneItem | None],
        use: Callable[[UpstreamRecord, Grant], None],
    ) -> None:
        self._view = view
        self._permits = permits
        self._wanted = wanted
        self._use = use

    async def run(self) -> None:
        """Look for such items until cancelled."""
        while True:
            if self._view.quarantine.is_empty:
                # An idle node is not woken for what is hardly ever there.
                await self._view.wait_quarantine_changed()
                continue
            for service in sorted({item.service for item in self._view.upstreams.values()}):
                item = self._wanted(service)
                if item is not None:
                    await self._ask(service, item)
            await trio.sleep(_LOOK_S)

    async def _ask(self, service: str, item: LoneItem) -> None:
        """Ask for the upstream that all nodes choose for the service."""
        usable = [item.upstream_id for item in self._view.upstreams_of(service) if not item.leaving]
        upstream_id = choose_name(service, usable)
        if upstream_id is None:
            return
        ask = PermitAsk(
            upstream_id=upstream_id,
            attempt_id=token_hex(16),
            holder_id=self._permits.holder_id,
            service=service,
            member=item.customer,
            work_class=WorkClass.BATCH,
            slack_ms=0,
            wait_ms=_WAIT_MS,
            alone=True,
            priority=item.priority,
        )
        granted = await self._permits.request(ask, _WAIT_MS + _ASK_MARGIN_MS)
        upstream = self._view.upstreams.get(upstream_id)
        if not isinstance(granted, Ok):
            return
        if upstream is None:
            self._permits.return_unused(granted.ok_value)
            return
        self._use(upstream, granted.ok_value)
