"""The program on VMs with a disk: accepts jobs while the metadata store is unavailable.

It also stores the origins of streams.
"""

import os
from pathlib import Path

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.agent.codec import open_node_codec
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.daemon import Stop, run_program
from fescuedock.log import log_event
from fescuedock.net.channel import ServerPeer, serve_channel
from fescuedock.net.http_client import HttpClient
from fescuedock.node.job_store import JobStore
from fescuedock.platform.store import MetadataStore
from fescuedock.schema.stored_jobs import NodeRecord
from fescuedock.settings import SPOOL_SECTIONS, Settings
from fescuedock.spool.files import SpoolFiles
from fescuedock.spool.origins import OriginService
from fescuedock.spool.service import SpoolService
from fescuedock.store.disk import OsDisk

__all__ = ["main", "run_spool"]

_SETTINGS_VARIABLE = "FESCUEDOCK_SETTINGS"
_CONNECT_TIMEOUT_MS = 400
_FOLDER = "spool"
_ORIGINS_FOLDER = "origins"


async def run_spool(
    settings: Settings, stop: Stop, *, task_status: trio.TaskStatus[Address]
) -> None:
    """Run until ``stop``.  Jobs left on the disk are stored after the next start."""
    spool, vm = settings.spool, settings.vm
    files = SpoolFiles(OsDisk(), Path(spool.data_dir) / _FOLDER, spool.max_bytes)
    files.open()
    origins = OriginService(OsDisk(), Path(spool.data_dir) / _ORIGINS_FOLDER)
    origins.open()
    log_event("spool_opened", pending=len(files))
    http = HttpClient(_CONNECT_TIMEOUT_MS)
    kv = MetadataStore(http, Address.parse(spool.store_address), spool.store_timeout_ms)
    keys = JobKeys(spool.key_prefix)
    port = settings.agent.port
    record = NodeRecord(vm.vm_id, vm.region, vm.failure_domain, vm.host, port)
    store = JobStore(kv, keys, spool.store_value_bytes)
    service = SpoolService(files, kv, store, keys.spools + vm.vm_id, record)
    handlers = service.handlers() | origins.handlers()

    async def handle(message: msgspec.Struct, peer: ServerPeer) -> msgspec.Struct | None:
        handler = handlers.get(type(message))
        return None if handler is None else await handler(message, peer)

    # The client is closed also when this task is cancelled instead of stopped.
    try:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                serve_channel, Address(vm.host, port), open_node_codec(vm), handle
            )
            nursery.start_soon(service.run)
            task_status.started(address)
            await stop.wait()
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await http.close()


def main() -> None:
    """Run ``fescuedock-spool [FILE]``."""
    run_program("spool", run_spool, SPOOL_SECTIONS, file=os.environ.get(_SETTINGS_VARIABLE, ""))


if __name__ == "__main__":
    main()
