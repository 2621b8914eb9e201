"""The program ``fescuedock-batch``: owns batch jobs and runs their items."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from secrets import token_hex

import trio

from fescuedock.address import Address
from fescuedock.agent.codec import open_codec
from fescuedock.agent.link import AgentLink, FleetView, open_agent_link
from fescuedock.agent.permit_client import open_permit_client
from fescuedock.backing.engine import EngineClient
from fescuedock.backing.etcd import EtcdKv
from fescuedock.batch.attempts import UpstreamClients
from fescuedock.batch.context import RunnerContext
from fescuedock.batch.dispatch import Dispatcher
from fescuedock.batch.runner import Runner
from fescuedock.batch.scanner import scan_forever
from fescuedock.clock import unix_clock
from fescuedock.core.batch.scheduler import ItemScheduler
from fescuedock.core.batch.takeover import RunnerName
from fescuedock.daemon import Stop, run_program
from fescuedock.log import log_event
from fescuedock.net.channel import ServerPeer, serve_channel
from fescuedock.net.channel_pool import open_channel_pool
from fescuedock.net.codec import Codec
from fescuedock.net.http_client import open_http_client
from fescuedock.report.metrics import Metrics
from fescuedock.schema.batch import JobCheck, JobCheckReply
from fescuedock.schema.config import Objectives
from fescuedock.schema.view import Program
from fescuedock.settings import Settings
from fescuedock.store.client import open_store_client

__all__ = ["main", "run_batch"]

_POLL_MS = 50.0
# Share of the stop timeout during which items in flight may end by themselves.
_ITEMS_TIMEOUT_SHARE = 0.5


class _ChannelHandler:
    """Answers messages on the channel; before ``runner`` is set this process owns no job."""

    def __init__(self) -> None:
        self.runner: Runner | None = None

    async def handle(self, message: object, peer: ServerPeer) -> object:
        if self.runner is not None:
            return await self.runner.handle(message, peer)
        # A push that is dropped here is repeated by the next scan.
        return JobCheckReply(running=False) if isinstance(message, JobCheck) else None


async def run_batch(
    settings: Settings,
    stop: Stop,
    *,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run jobs until ``stop``; then end and commit the items in flight, and hand the jobs over.

    Requires the sections [batch] and [agent] of ``settings``; raise ``ValueError`` without [batch].
    """
    if settings.batch is None:
        raise ValueError("the settings lack section [batch]")
    codec = open_codec(settings.vm)
    handler = _ChannelHandler()
    async with trio.open_nursery() as nursery:
        listen = Address(settings.vm.host, settings.batch.port)
        address = await nursery.start(serve_channel, listen, codec, handler.handle)
        agent_link = open_agent_link(
            settings, codec, Program.BATCH, address.port, lambda: not stop.requested
        )
        async with (
            agent_link as (link, view),
            _open_context(settings, codec, view) as context,
            open_channel_pool(codec) as channels,
            trio.open_nursery() as jobs,
        ):
            handler.runner = Runner(context, channels, jobs)
            dispatcher = Dispatcher(context, handler.runner.find_task)
            jobs.start_soon(dispatcher.run)
            jobs.start_soon(scan_forever, context, handler.runner)
            task_status.started(address)
            await stop.wait()
            await _shut_down(context, handler.runner, dispatcher, link)
            jobs.cancel_scope.cancel()
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def _open_context(
    settings: Settings, codec: Codec, view: FleetView
) -> AsyncIterator[RunnerContext]:
    incarnation = token_hex(8)
    name = RunnerName(settings.vm.vm_id, incarnation)
    holder_id = f"{name.vm_id}/batch/{incarnation}"
    clock = unix_clock()

    def objectives(service: str) -> Objectives:
        spec = view.configuration.services.get(service)
        return spec.objectives if spec else Objectives()

    async with (
        open_http_client() as http,
        open_permit_client(settings, codec, view, holder_id) as permits,
        open_store_client(codec, view, settings.batch) as stores,
    ):
        yield RunnerContext(
            settings=settings,
            name=name,
            view=view,
            permits=permits,
            stores=stores,
            upstreams=UpstreamClients(EngineClient(http), http),
            kv=EtcdKv(http, settings.platform),
            unix_clock=clock,
            scheduler=ItemScheduler(settings.batch),
            metrics=Metrics(holder_id, clock, objectives),
            random=random.Random(incarnation),
        )


async def _shut_down(
    context: RunnerContext, runner: Runner, dispatcher: Dispatcher, link: AgentLink
) -> None:
    """Let items in flight end, commit all results, and push the jobs to their next runners."""
    timeout_s = context.settings.vm.stop_timeout_ms / 1000
    runner.stop()
    dispatcher.stop()
    await link.hello()
    with trio.move_on_after(timeout_s * _ITEMS_TIMEOUT_SHARE):
        while any(task.run.in_flight for task in runner.tasks):
            await context.signal.wait(_POLL_MS)
    for task in runner.tasks:
        task.stop_attempts()
    with trio.move_on_after(timeout_s * (1 - _ITEMS_TIMEOUT_SHARE)):
        while not all(task.run.all_committed or task.run.over for task in runner.tasks):
            for task in runner.tasks:
                if not task.run.in_flight:
                    task.run.release()
                task.wake()
            await context.signal.wait(_POLL_MS)
    log_event("jobs_handed_over", jobs=len(runner.tasks))
    await runner.hand_over()


def main() -> None:
    """Run ``fescuedock-batch FILE``."""
    run_program("batch", run_batch, sections=("batch", "agent"))
