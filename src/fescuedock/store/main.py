"""The program ``fescuedock-store``: stores segments and result logs on this VM's disk."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import trio

from fescuedock.address import Address
from fescuedock.agent.codec import open_codec
from fescuedock.agent.link import FleetView, open_agent_link
from fescuedock.backing.etcd import EtcdKv
from fescuedock.clock import unix_clock
from fescuedock.daemon import Stop, run_program
from fescuedock.net.channel import serve_channel
from fescuedock.net.http_client import HttpClient, open_http_client
from fescuedock.schema.settings import StoreSettings
from fescuedock.schema.view import Program
from fescuedock.settings import Settings
from fescuedock.store.client import StoreClient, open_store_client
from fescuedock.store.disk import Disk, OsDisk
from fescuedock.store.logs import LogFolder
from fescuedock.store.repair import Repair
from fescuedock.store.retention import RecordRetention
from fescuedock.store.segments import SegmentFolder, Usage
from fescuedock.store.service import StoreService

__all__ = ["main", "run_store"]

# Time for callers to finish after the agent has removed this store from the fleet view.
_DRAIN_MS = 1000


async def run_store(
    settings: Settings,
    stop: Stop,
    *,
    disk: Disk | None = None,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``stop``; raise ``OSError`` when the data folder cannot be opened."""
    if settings.store is None or settings.batch is None:
        raise ValueError("the settings lack section [store] or [batch]")
    codec = open_codec(settings.vm)
    folders = _open_folders(settings.store, OsDisk() if disk is None else disk)
    service = StoreService(folders.segments, folders.logs, folders.usage, unix_clock())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(folders.logs.run)
        listen = Address(settings.vm.host, settings.store.port)
        address = await nursery.start(serve_channel, listen, codec, service.handle)
        async with (
            open_agent_link(
                settings, codec, Program.STORE, address.port, lambda: not stop.requested
            ) as (link, view),
            open_store_client(codec, view, settings.batch) as client,
            open_http_client() as http,
        ):
            repair = _build_repair(settings, service, client, view, http)
            folders.on_damage = repair.on_damage
            service.on_sweep_requested = repair.on_sweep_requested
            nursery.start_soon(repair.run)
            task_status.started(address)
            await stop.wait()
            await link.hello()
            await trio.sleep(_DRAIN_MS / 1000)
        nursery.cancel_scope.cancel()


@dataclass(slots=True)
class _Folders:
    """The segments and logs on the disk; ``on_damage`` does nothing until repair is set up."""

    usage: Usage
    segments: SegmentFolder = field(init=False)
    logs: LogFolder = field(init=False)
    on_damage: Callable[[str], None] = lambda segment_hash: None


def _open_folders(settings: StoreSettings, disk: Disk) -> _Folders:
    folder = Path(settings.data_folder)
    folders = _Folders(Usage(settings.max_bytes))
    folders.segments = SegmentFolder(
        disk, folder, folders.usage, lambda segment_hash: folders.on_damage(segment_hash)
    )
    folders.logs = LogFolder(disk, folder, folders.usage)
    disk.make_folder(folder)
    folders.segments.open()
    folders.logs.open()
    return folders


def _build_repair(
    settings: Settings,
    service: StoreService,
    client: StoreClient,
    view: FleetView,
    http: HttpClient,
) -> Repair:
    records = RecordRetention(
        kv=EtcdKv(http, settings.platform),
        key_prefix=settings.platform.key_prefix,
        retention_s=settings.store.record_retention_s,
    )
    return Repair(
        segments=service.segments,
        logs=service.logs,
        records=records,
        client=client,
        view=view,
        settings=settings.store,
        batch=settings.batch,
        unix_clock=service.unix_clock,
    )


def main() -> None:
    """Run the program from the command line."""
    run_program("store", run_store, sections=("store", "agent", "batch"))
