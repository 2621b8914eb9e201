"""The program ``fescuedock-store``: keeps segments and result logs on this VM's disk."""

from pathlib import Path

import trio

from fescuedock.agent.codec import open_codec
from fescuedock.agent.link import open_agent_link
from fescuedock.clock import unix_clock
from fescuedock.daemon import Stop, run_program
from fescuedock.log import log_event
from fescuedock.net.address import Address
from fescuedock.net.channel import serve_channel
from fescuedock.schema.view import Program
from fescuedock.settings import Settings
from fescuedock.store.disk import Disk, OsDisk
from fescuedock.store.logs import LogFolder
from fescuedock.store.segments import SegmentFolder, Usage
from fescuedock.store.service import store_handler

__all__ = ["main", "run_store"]

# After the agent has taken this store off the fleet view, callers get this long to finish.
_DRAIN_MS = 1000


async def run_store(
    settings: Settings,
    stop: Stop,
    *,
    disk: Disk | None = None,
    task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``stop``; ``OSError`` when the data folder cannot be opened."""
    if settings.store is None:
        raise ValueError("the settings lack section [store]")
    codec = open_codec(settings.vm)
    usage = Usage(settings.store.max_bytes)
    folder = Path(settings.store.data_folder)
    disk = OsDisk() if disk is None else disk
    segments = SegmentFolder(disk, folder, usage, _report_damage)
    logs = LogFolder(disk, folder, usage)
    disk.make_folder(folder)
    segments.open()
    logs.open()
    handler = store_handler(segments, logs, usage, unix_clock())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(logs.run)
        listen = Address(settings.vm.host, settings.store.port)
        address = await nursery.start(serve_channel, listen, codec, handler)
        async with open_agent_link(
            settings, codec, Program.STORE, address.port, lambda: not stop.requested
        ) as (link, _view):
            task_status.started(address)
            await stop.wait()
            await link.hello()
            await trio.sleep(_DRAIN_MS / 1000)
        nursery.cancel_scope.cancel()


def _report_damage(segment_hash: str) -> None:
    log_event("segment_damaged", segment_hash=segment_hash)


def main() -> None:
    """Run the program from the command line."""
    run_program("store", run_store, sections=("store", "agent"))
