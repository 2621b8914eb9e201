"""Metrics and the state of the fleet, for operators and their tools."""

from result import Ok

from fescuedock.address import Address
from fescuedock.agent.codec import open_codec
from fescuedock.entry.context import EntryContext
from fescuedock.entry.fleet_status import fleet_status
from fescuedock.entry.routes import Route
from fescuedock.net.channel import ChannelClient
from fescuedock.net.http_server import Request, Responder
from fescuedock.report.prometheus import CONTENT_TYPE, exposition
from fescuedock.schema.report import (
    MetricsReport,
    MetricsRequest,
    MetricsSnapshot,
    ServiceObjectives,
)

__all__ = ["routes"]

_BATCH_TIMEOUT_MS = 1000


def routes(context: EntryContext) -> list[Route]:
    """Return the routes ``/metrics``, ``/admin/metrics`` and ``/admin/status``."""

    async def prometheus(_request: Request, responder: Responder, _values: dict[str, str]) -> None:
        snapshots = await _snapshots(context, totals_only=True)
        text = exposition(snapshots, fleet_status(context.view, context.permits))
        await responder.send(200, text, [("content-type", CONTENT_TYPE)])

    async def metrics(_request: Request, responder: Responder, _values: dict[str, str]) -> None:
        await responder.send_json(200, await _metrics_report(context))

    async def status(_request: Request, responder: Responder, _values: dict[str, str]) -> None:
        await responder.send_json(200, fleet_status(context.view, context.permits))

    return [
        Route("GET", "/metrics", prometheus),
        Route("GET", "/admin/metrics", metrics),
        Route("GET", "/admin/status", status),
    ]


async def _metrics_report(context: EntryContext) -> MetricsReport:
    view = context.view
    objectives = {
        name: ServiceObjectives(
            first_token_ms=service.objectives.first_token_ms,
            inter_token_ms=service.objectives.inter_token_ms,
            online_share=service.objectives.online_share,
            batch_share=service.objectives.batch_share,
        )
        for name, service in view.configuration.services.items()
    }
    return MetricsReport(await _snapshots(context), objectives, view.config_version)


async def _snapshots(context: EntryContext, *, totals_only: bool = False) -> list[MetricsSnapshot]:
    """Return this entry's snapshot and that of the batch runner on the same VM, if it replies."""
    metrics = context.metrics
    snapshots = [metrics.totals() if totals_only else metrics.snapshot()]
    batch = context.settings.batch
    if batch is None:
        return snapshots
    vm = context.view.vms.get(context.settings.vm.vm_id)
    port = vm.batch_port if vm is not None else batch.port
    if not port:
        return snapshots
    address = Address(context.settings.vm.host, port)
    async with ChannelClient.open(address, open_codec(context.settings.vm)) as client:
        match await client.call(MetricsRequest(totals_only), _BATCH_TIMEOUT_MS):
            case Ok(MetricsSnapshot() as snapshot):
                snapshots.append(snapshot)
    return snapshots
