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

__all__ = ["IsolatedItem", "IsolatedRuns"]

# Items become suspects by the end of an upstream, which is seldom.
_POLL_INTERVAL_S = 0.25
# An upstream that is being emptied for the run is not given up for less: it takes the longest run
# that is under way there.
_QUEUE_WAIT_MS = 10000
_REPLY_MARGIN_MS = 300.0


class IsolatedItem(msgspec.Struct, frozen=True):
    """For whom an item runs alone, and its priority."""

    customer: str = ""
    priority: int = 0


class IsolatedRuns:
    """Asks for an upstream that is otherwise empty while ``wanted`` returns an item that needs one.

    ``use`` gets the permit, and gives it back when nothing needs it any more.
    """

    def __init__(
        self,
        view: FleetView,
        permits: PermitClient,
        next_item: Callable[[str], IsolatedItem | None],
        use_grant: Callable[[UpstreamRecord, Grant], None],
    ) -> None:
        self._view = view
        self._permits = permits
        self._next_item = next_item
        self._use_grant = use_grant

    async def run(self) -> None:
        """Look for such items until cancelled."""
        while True:
            if self._view.quarantine.is_empty:
                # An idle node is not woken for what is hardly ever there.
                await self._view.wait_quarantine()
                continue
            for service in sorted({item.service for item in self._view.upstreams.values()}):
                item = self._next_item(service)
                if item is not None:
                    await self._request(service, item)
            await trio.sleep(_POLL_INTERVAL_S)

    async def _request(self, service: str, item: IsolatedItem) -> None:
        """Ask for the upstream that all nodes choose for the service."""
        usable = [item.upstream_id for item in self._view.upstreams_of(service) if not item.leaving]
        upstream_id = choose_name(service, usable)
        if upstream_id is None:
            return
        request = PermitAsk(
            upstream_id=upstream_id,
            attempt_id=token_hex(16),
            holder_id=self._permits.holder_id,
            service=service,
            member=item.customer,
            work_class=WorkClass.BATCH,
            slack_ms=0,
            wait_ms=_QUEUE_WAIT_MS,
            alone=True,
            priority=item.priority,
        )
        granted = await self._permits.ask(request, _QUEUE_WAIT_MS + _REPLY_MARGIN_MS)
        upstream = self._view.upstreams.get(upstream_id)
        if not isinstance(granted, Ok):
            return
        if upstream is None:
            self._permits.give_back(granted.ok_value)
            return
        self._use_grant(upstream, granted.ok_value)
