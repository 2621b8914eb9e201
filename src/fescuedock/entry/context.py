"""The resources that all handlers of an entry share."""

from typing import TYPE_CHECKING

import msgspec

from fescuedock.clock import UnixClock
from fescuedock.kv import KvStore
from fescuedock.net.http_client import HttpClient
from fescuedock.settings import Settings

if TYPE_CHECKING:
    from fescuedock.agent.link import AgentLink, FleetView
    from fescuedock.agent.permit_client import PermitClient
    from fescuedock.report.metrics import Metrics
    from fescuedock.store.client import StoreClient

__all__ = ["EntryContext"]


class EntryContext(msgspec.Struct, frozen=True):
    """Built once by ``run_entry``; any other state belongs to a single handler."""

    settings: Settings
    view: "FleetView"
    agent: "AgentLink"
    permits: "PermitClient"
    stores: "StoreClient"
    kv: KvStore
    http: HttpClient
    metrics: "Metrics"
    unix_clock: UnixClock
