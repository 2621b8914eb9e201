"""``fescuedock local``: a complete system in one event loop, with stand-ins for the platform.

Three VMs in three failure domains run on 127.0.0.1, 127.0.0.2 and 127.0.0.3, with stand-in engines.
It serves as the quick start and as the base of the end-to-end tests.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.backing.vm_list import ROLE_SYSTEM, ListedVm
from fescuedock.cli.local_setup import (
    CHAT_MODEL,
    PLACES,
    TRIP_MODEL,
    add_upstreams,
    initial_patch,
    standin_settings,
)
from fescuedock.cli.local_vm import LocalVm, vm_settings
from fescuedock.entry.entries import EntriesAnswer
from fescuedock.net.http_client import (
    HttpClient,
    NotSentError,
    ResponseLostError,
    open_http_client,
)
from fescuedock.schema.report import FleetStatus
from fescuedock.schema.view import Program
from fescuedock.standin.platform import Standins, run_standins

__all__ = ["LocalSystem", "NotReadyError", "open_local"]

_PROBE_INTERVAL_S = 0.02
_READY_TIMEOUT_S = 30
_JSON = (("content-type", "application/json"),)


class NotReadyError(OSError):
    """The local system did not become ready within the timeout."""


class LocalSystem(msgspec.Struct):
    """A running local system."""

    standins: Standins
    vms: dict[str, LocalVm]
    http: HttpClient
    _nursery: trio.Nursery

    @property
    def entry_address(self) -> Address:
        """The address of the first VM's entry."""
        return next(iter(self.vms.values())).entry_address

    async def start(self, vm: LocalVm) -> None:
        """Start ``vm`` in the background; return once it accepts requests."""
        self.vms[vm.vm_id] = vm
        await self._nursery.start(vm.run, self._announce)

    def stop(self) -> None:
        """Begin the graceful shutdown of every VM."""
        for vm in self.vms.values():
            vm.stop.request()

    async def wait_stopped(self) -> None:
        """Wait until every VM has shut down."""
        for vm in self.vms.values():
            await vm.stopped.wait()

    def _announce(self, vm: LocalVm) -> None:
        place, address = vm.settings.vm, vm.addresses["agent"]
        self.standins.vm_list.add(
            ListedVm(
                vm_id=vm.vm_id,
                role=ROLE_SYSTEM,
                region=place.region,
                failure_domain=place.failure_domain,
                host=address.host,
                port=address.port,
            )
        )


@asynccontextmanager
async def open_local(port: int, data_folder: Path) -> AsyncIterator[LocalSystem]:
    """Run a local system until the block is left; it is ready when the block begins.

    Its entries listen on ``port`` (0 for free ports) of three loopback addresses.  Raise
    ``OSError`` if an address is in use and ``NotReadyError`` if the system does not become ready.
    Leaving the block cancels all VMs that still run; for a graceful shutdown call ``stop`` and
    ``wait_stopped`` before.
    """
    async with open_http_client() as http, trio.open_nursery() as platform:
        standins = await platform.start(run_standins, standin_settings())
        await add_upstreams(standins)
        async with trio.open_nursery() as vms:
            system = LocalSystem(standins, {}, http, vms)
            for place in PLACES:
                settings = vm_settings(place, standins.platform_settings(), port, data_folder)
                await system.start(LocalVm(settings))
            await _wait_ready(system)
            yield system
            vms.cancel_scope.cancel()
        platform.cancel_scope.cancel()


async def _wait_ready(system: LocalSystem) -> None:
    """Create the initial configuration and wait until each entry serves each model."""
    with trio.move_on_after(_READY_TIMEOUT_S) as scope:
        await _wait_answer(system, system.entry_address, "/admin/config/patches", initial_patch())
        for vm in system.vms.values():
            for model in (CHAT_MODEL, TRIP_MODEL):
                probe = {"model": model, "prompt": "ready?", "max_tokens": 1}
                await _wait_answer(system, vm.entry_address, "/v1/completions", probe)
            await _wait_fleet(system, vm)
    if scope.cancelled_caught:
        raise NotReadyError(f"not ready after {_READY_TIMEOUT_S} s")


async def _wait_fleet(system: LocalSystem, vm: LocalVm) -> None:
    """Wait until the entry of ``vm`` lists all entries and shows all programs as ready."""
    while True:
        named = await _wait_answer(system, vm.entry_address, "/v1/entries")
        status = await _wait_answer(system, vm.entry_address, "/admin/status")
        entries = msgspec.json.decode(named, type=EntriesAnswer).entries
        vms = msgspec.json.decode(status, type=FleetStatus).vms
        ready = sum(len(item.ready) for item in vms)
        if len(entries) == len(PLACES) and ready == len(PLACES) * len(Program):
            return
        await trio.sleep(_PROBE_INTERVAL_S)


async def _wait_answer(
    system: LocalSystem, address: Address, path: str, body: object = None
) -> bytes:
    """Repeat a request, a POST if it has a body, until its status is 200; return the answer."""
    method = "GET" if body is None else "POST"
    data = b"" if body is None else msgspec.json.encode(body)
    while True:
        try:
            async with system.http.request(address, method, path, _JSON, data) as response:
                answer = await response.read()
                if response.status == 200:
                    return answer
        except (NotSentError, ResponseLostError):
            # Not listening yet, or closing connections during its start.
            pass
        await trio.sleep(_PROBE_INTERVAL_S)
