"""Stores for tests: real stores with real channels, on any disk, in a separate fleet view."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import wraps
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.agent.link import FleetView
from fescuedock.net.channel import ServerPeer, serve_channel
from fescuedock.net.codec import Codec
from fescuedock.schema import batch, store
from fescuedock.schema.settings import BatchSettings, StoreSettings
from fescuedock.schema.store import SegmentReply
from fescuedock.schema.view import Program, VmRecord, VmState
from fescuedock.store.client import StoreClient, open_store_client
from fescuedock.store.disk import Disk, OsDisk
from fescuedock.store.logs import LogFolder
from fescuedock.store.repair import Repair
from fescuedock.store.retention import RecordRetention
from fescuedock.store.segments import SegmentFolder, Usage
from fescuedock.store.service import StoreService
from tests.builders.kv import MemoryKv

HOST = "127.0.0.1"
NOW_S = 1_800_000_000
MAX_BYTES = 64 * 1024 * 1024


def store_vm(vm_id: str, failure_domain: str, port: int = 1) -> VmRecord:
    """Return a VM that runs only a store."""
    return VmRecord(
        vm_id=vm_id,
        region="caldas",
        failure_domain=failure_domain,
        host=HOST,
        incarnation=1,
        state=VmState.ALIVE,
        store_port=port,
        ready=[Program.STORE],
    )


class StoreNode:
    """One store, assembled like in ``run_store``, but without an agent."""

    def __init__(self, folder: Path, disk: Disk | None = None, max_bytes: int = MAX_BYTES) -> None:
        self.folder = folder
        self.disk = OsDisk() if disk is None else disk
        self.usage = Usage(max_bytes)
        self.damaged: list[str] = []
        self.corrupts_replies = False
        self.on_damage: Callable[[str], None] = self.damaged.append
        self.on_sweep_requested: Callable[[], None] = lambda: None
        self.segments = SegmentFolder(
            self.disk, folder, self.usage, lambda segment_hash: self.on_damage(segment_hash)
        )
        self.logs = LogFolder(self.disk, folder, self.usage)
        self.disk.make_folder(folder)
        self.segments.open()
        self.logs.open()
        self.scope = trio.CancelScope()

    async def serve(
        self, codec: Codec, *, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED
    ) -> None:
        service = StoreService(self.segments, self.logs, self.usage, lambda: NOW_S)
        service.on_sweep_requested = lambda: self.on_sweep_requested()

        async def handle(message: msgspec.Struct, peer: ServerPeer) -> msgspec.Struct | None:
            reply = await service.handle(message, peer)
            if self.corrupts_replies and isinstance(reply, SegmentReply):
                reply.body += b"garbled"
            return reply

        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.logs.run)
                await serve_channel(Address(HOST, 0), codec, handle, task_status=task_status)


class StoreFleet:
    """Several stores and a client with all of them in its fleet view."""

    def __init__(self, codec: Codec, nursery: trio.Nursery, root: Path) -> None:
        self.codec = codec
        self.view = FleetView("vm-test")
        self._views = [self.view]
        self.nodes: dict[str, StoreNode] = {}
        self.client: StoreClient
        self._nursery = nursery
        self._root = root

    async def add(self, vm_id: str, failure_domain: str, **options: object) -> StoreNode:
        node = StoreNode(self._root / vm_id, **options)
        address = await self._nursery.start(node.serve, self.codec)
        self.nodes[vm_id] = node
        self._show([*self.view.vms.values(), store_vm(vm_id, failure_domain, address.port)])
        return node

    def start_repair(self, vm_id: str, **settings: object) -> Repair:
        """Start a store's repair, which does not sweep by itself unless ``settings`` say so."""
        node = self.nodes[vm_id]
        options = {"repair_after_ms": 3_600_000} | settings
        view = FleetView(vm_id)
        view.replace(1, list(self.view.vms.values()), [], 0)
        self._views.append(view)
        repair = Repair(
            segments=node.segments,
            logs=node.logs,
            records=RecordRetention(MemoryKv(), "/test/", 1),
            client=StoreClient(self.client.channels, view, BatchSettings(port=0)),
            view=view,
            settings=StoreSettings(port=0, data_folder="unused", **options),
            batch=BatchSettings(port=0),
            unix_clock=lambda: NOW_S,
        )
        node.on_damage = repair.on_damage
        node.on_sweep_requested = repair.on_sweep_requested
        self._nursery.start_soon(repair.run)
        return repair

    def lose(self, vm_id: str, *, in_view: bool = True) -> None:
        """Stop a store permanently; ``in_view`` says whether the fleet view shows the loss."""
        self.nodes.pop(vm_id).scope.cancel()
        if in_view:
            self._show([vm for vm in self.view.vms.values() if vm.vm_id != vm_id])

    def add_runner(self, vm_id: str, port: int) -> None:
        """Add a batch runner to the view, on a VM that has a store."""
        vms = dict(self.view.vms)
        ready = [*vms[vm_id].ready, Program.BATCH]
        vms[vm_id] = msgspec.structs.replace(vms[vm_id], batch_port=port, ready=ready)
        self._show(list(vms.values()))

    def leave(self, vm_id: str) -> None:
        """Mark a store as leaving in the view."""
        vms = dict(self.view.vms)
        vms[vm_id] = msgspec.structs.replace(vms[vm_id], state=VmState.LEAVING)
        self._show(list(vms.values()))

    def holders(self, segment_hash: str) -> list[str]:
        return [name for name, node in self.nodes.items() if node.segments.status(segment_hash)]

    def _show(self, vms: list[VmRecord]) -> None:
        for view in self._views:
            view.replace(view.version + 1, vms, [], 0)


@asynccontextmanager
async def open_stores(
    root: Path, sites: dict[str, str], settings: BatchSettings | None = None
) -> AsyncIterator[StoreFleet]:
    """Run a store for each VM of ``sites``, which maps VM ids to failure domains."""
    codec = Codec((batch, store))
    async with trio.open_nursery() as nursery:
        fleet = StoreFleet(codec, nursery, root)
        for vm_id, failure_domain in sites.items():
            await fleet.add(vm_id, failure_domain)
        settings = settings or BatchSettings(port=0)
        async with open_store_client(codec, fleet.view, settings) as fleet.client:
            yield fleet
        nursery.cancel_scope.cancel()


def run(test: Callable, *arguments: object) -> None:
    """Run an async test with a timeout, so that a hang is a failure."""

    async def bounded() -> None:
        with trio.fail_after(30):
            await test(*arguments)

    trio.run(bounded)


async def until(condition: Callable[[], object]) -> None:
    """Wait until ``condition`` holds; the timeout is that of ``run``."""
    while not condition():  # noqa: ASYNC110, real sockets and files give no event
        await trio.sleep(0.005)


def at_stores(sites: dict[str, str]) -> Callable:
    """Run the decorated async method of a test case with a ``StoreFleet`` at ``sites``."""

    def decorate(test: Callable) -> Callable:
        async def inside(case: TestCase) -> None:
            with TemporaryDirectory() as folder:
                async with open_stores(Path(folder), sites) as fleet:
                    await test(case, fleet)

        return wraps(test)(lambda case: run(inside, case))

    return decorate
