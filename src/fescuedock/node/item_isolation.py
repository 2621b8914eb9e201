"""Requests permits to run items in isolation that were running when an upstream ended.

A node runs such items one at a time.
"""

from collections.abc import Callable
from secrets import token_hex

import msgspec
import trio
from result import Ok

from fescuedock.agent.link import FleetView
from fescuedock.agent.permit_client import Grant, PermitClient
from fescuedock.clock import now_ms
from fescuedock.core.rendezvous import choose_name
from fescuedock.log import log_event
from fescuedock.schema.permits import PermitAsk, WorkClass
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamRecord

__all__ = ["IsolatedItem", "IsolatedRuns"]

# Items need isolation only after the end of an upstream, which is rare.
_POLL_INTERVAL_S = 0.25
# The permit is granted once all other runs at the upstream have ended, so the request must stay
# queued as long as the longest of them takes.
_QUEUE_WAIT_MS = 10000
_REPLY_MARGIN_MS = 300.0
_REFUSAL_LOG_INTERVAL_MS = 5000.0


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
        self._permits = permits
        self._next_item = next_item
        self._use_grant = use_grant
        # Time of the last log line about a refusal.
        self._logged_ms = float("-inf")

    async def run(self) -> None:
        """Poll for items that need isolation until cancelled."""
        while True:
            if self._view.quarantine.is_empty:
                # Without a restriction no item needs isolation; an idle node does not poll.
                await self._view.wait_quarantine_changed()
                continue
            for service in sorted({item.service for item in self._view.upstreams.values()}):
                item = self._next_item(service)
                if item is not None:
                    await self._request(service, item)
            await trio.sleep(_POLL_INTERVAL_S)

    async def _request(self, service: str, item: IsolatedItem) -> None:
        """Request the upstream that all nodes choose for isolated runs of the service."""
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
        began_ms = now_ms()
        granted = await self._permits.request(request, _QUEUE_WAIT_MS + _REPLY_MARGIN_MS)
        upstream = self._view.upstreams.get(upstream_id)
        if not isinstance(granted, Ok):
            self._log_refusal(upstream_id, granted.err_value.code, now_ms() - began_ms)
            return
        if upstream is None:
            self._permits.return_unused(granted.ok_value)
            return
        self._use_grant(upstream, granted.ok_value)

    def _log_refusal(self, upstream_id: str, code: ResultCode, waited_ms: float) -> None:
        if now_ms() - self._logged_ms < _REFUSAL_LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms()
        log_event(
            "isolated_run_not_granted",
            upstream_id=upstream_id,
            code=code.name,
            waited_ms=round(waited_ms),
        )
