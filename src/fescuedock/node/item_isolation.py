"""Requests permits to run items in isolation that were running when an upstream ended.

A node requests one such run of each service at a time.
"""

from collections.abc import Callable

import msgspec
import trio
from result import Ok

from fescuedock.agent.isolated_permits import IsolatedPermits
from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import Grant, PermitClient
from fescuedock.clock import now_ms
from fescuedock.errors import run_contained
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.schema.permits import PermitAsk, WorkClass
from fescuedock.schema.view import UpstreamRecord

__all__ = ["IsolatedItem", "IsolatedRuns"]

# Items need isolation only after the end of an upstream, which is rare.
_POLL_INTERVAL_S = 0.25
# The permit is granted once all other runs at the upstream have ended, so the request must stay
# queued as long as the longest of them takes.
_QUEUE_WAIT_MS = 10000
_REPLY_MARGIN_MS = 300.0
_REFUSAL_LOG_INTERVAL_MS = 5000.0
# Time for which isolated runs use another upstream than one that refused to run an item.
_AVOID_MS = 10000.0


class IsolatedItem(msgspec.Struct, frozen=True):
    """The customer and the priority of an item that must run in isolation."""

    customer: str = ""
    priority: int = 0


class IsolatedRuns:
    """Requests an otherwise idle upstream while ``next_item`` returns an item for a service.

    ``use_grant`` gets the permit, and returns it when no item needs it any more.
    """

    def __init__(
        self,
        view: FleetView,
        permits: PermitClient,
        next_item: Callable[[str], IsolatedItem | None],
        use_grant: Callable[[UpstreamRecord, Grant], None],
    ) -> None:
        self._view = view
        self._holder_id = permits.holder_id
        self._permits = IsolatedPermits(view, permits, _REPLY_MARGIN_MS)
        self._next_item = next_item
        self._use_grant = use_grant
        # Services with an open request.
        self._requested: set[str] = set()
        # Since when items of a service have waited for the next isolated run of this node.
        self._waiting_since_ms: dict[str, float] = {}
        # Until when isolated runs use other upstreams, by upstream.
        self._avoid_until_ms: dict[str, float] = {}
        # Time of the last log line about a refusal.
        self._logged_ms = float("-inf")

    def record_refusal(self, upstream_id: str) -> None:
        """Record that an upstream refused to run an item under its permit."""
        self._avoid_until_ms[upstream_id] = now_ms() + _AVOID_MS

    def _avoided(self) -> list[str]:
        until_ms = self._avoid_until_ms
        for upstream_id in [name for name, at_ms in until_ms.items() if at_ms <= now_ms()]:
            del until_ms[upstream_id]
        return list(until_ms)

    async def run(self) -> None:
        """Poll for items that need isolation until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if self._view.quarantine.is_empty:
                    # Without a restriction no item needs isolation; an idle node does not poll.
                    self._waiting_since_ms.clear()
                    await self._view.wait_quarantine_changed()
                    continue
                self._open_requests(nursery)
                await trio.sleep(_POLL_INTERVAL_S)

    def _open_requests(self, nursery: trio.Nursery) -> None:
        services = {item.service for item in self._view.upstreams.values()}
        for service in sorted(services - self._requested):
            item = self._next_item(service)
            if item is None:
                self._waiting_since_ms.pop(service, None)
            else:
                self._requested.add(service)
                nursery.start_soon(self._request, service, item)

    async def _request(self, service: str, item: IsolatedItem) -> None:
        try:
            await run_contained("item", self._request_once, service, item, service=service)
        finally:
            self._requested.discard(service)

    async def _request_once(self, service: str, item: IsolatedItem) -> None:
        """Request an isolated run of an item of the service."""
        since_ms = self._waiting_since_ms.setdefault(service, now_ms())
        request = PermitAsk(
            upstream_id="",
            attempt_id="",
            holder_id=self._holder_id,
            service=service,
            member=item.customer,
            work_class=WorkClass.BATCH,
            slack_ms=0,
            wait_ms=_QUEUE_WAIT_MS,
            alone=True,
            priority=item.priority,
            waited_ms=int(now_ms() - since_ms),
        )
        granted = await self._permits.request(request, avoid=self._avoided())
        if isinstance(granted, Ok):
            self._waiting_since_ms.pop(service, None)
            self._use_grant(*granted.ok_value)
        else:
            self._log_refusal(service, granted.err_value, now_ms() - since_ms)

    def _log_refusal(self, service: str, fault: Fault, waited_ms: float) -> None:
        if now_ms() - self._logged_ms < _REFUSAL_LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms()
        log_event(
            "isolated_run_not_granted",
            service=service,
            code=fault.code.name,
            reason=fault.message,
            waited_ms=round(waited_ms),
        )
