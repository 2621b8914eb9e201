"""One VM of ``fescuedock local``: its four programs as tasks of this process."""

from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.agent.main import run_agent
from fescuedock.batch.main import run_batch
from fescuedock.daemon import Program, Stop
from fescuedock.entry.main import run_entry
from fescuedock.schema.settings import (
    AgentSettings,
    BatchSettings,
    EntrySettings,
    PlatformSettings,
    StoreSettings,
    VmSettings,
)
from fescuedock.settings import Settings
from fescuedock.store.main import run_store

__all__ = ["STOP_TIMEOUT_MS", "LocalVm", "VmPlace", "vm_settings"]

STOP_TIMEOUT_MS = 20000
# Short intervals, which the small delays on one machine allow, so that the other VMs and the
# clients notice quickly that a VM is stopped or killed.
_ANSWER_VALID_MS = 1000
_LEAVE_SPREAD_MS = 1000
_PROBE_INTERVAL_MS = 300
_SUSPICION_MS = 1000
_SCAN_INTERVAL_MS = 2000
_CLIENT_PROGRAMS: dict[str, Program] = {
    "store": run_store,
    "batch": run_batch,
    "entry": run_entry,
}


class VmPlace(msgspec.Struct, frozen=True):
    """The ID, location and address of a VM."""

    vm_id: str
    region: str
    failure_domain: str
    host: str


def vm_settings(
    place: VmPlace, platform: PlatformSettings, entry_port: int, data_folder: Path
) -> Settings:
    """Return the settings of a VM; all ports but the entry's are chosen by the system."""
    return Settings(
        vm=VmSettings(
            vm_id=place.vm_id,
            host=place.host,
            region=place.region,
            failure_domain=place.failure_domain,
            stop_timeout_ms=STOP_TIMEOUT_MS,
        ),
        platform=platform,
        entry=EntrySettings(
            port=entry_port,
            answer_valid_ms=_ANSWER_VALID_MS,
            leave_spread_ms=_LEAVE_SPREAD_MS,
        ),
        agent=AgentSettings(
            port=0, probe_interval_ms=_PROBE_INTERVAL_MS, suspicion_ms=_SUSPICION_MS
        ),
        batch=BatchSettings(port=0, scan_interval_ms=_SCAN_INTERVAL_MS),
        store=StoreSettings(port=0, data_folder=str(data_folder / place.vm_id)),
    )


class LocalVm(msgspec.Struct):
    """A VM that can be stopped gracefully with ``stop`` or ended at once with ``kill``.

    Once the agent serves, ``settings`` has its bound port.  ``addresses`` has the bound addresses
    of all programs that serve, by program name.
    """

    settings: Settings
    stop: Stop = msgspec.field(default_factory=Stop)
    addresses: dict[str, Address] = msgspec.field(default_factory=dict)
    stopped: trio.Event = msgspec.field(default_factory=trio.Event)
    _scope: trio.CancelScope = msgspec.field(default_factory=trio.CancelScope)

    @property
    def vm_id(self) -> str:
        return self.settings.vm.vm_id

    @property
    def entry_address(self) -> Address:
        return self.addresses["entry"]

    def kill(self) -> None:
        """End all programs at once, like a power failure; the data on disk remains."""
        self._scope.cancel()

    async def run(
        self,
        announce: Callable[["LocalVm"], None],
        *,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until stopped or killed; report the entry's address once all programs serve.

        ``announce`` is called as soon as the agent serves; it adds the VM to the VM list.
        """
        agent_stop = Stop()
        with self._scope:
            async with trio.open_nursery() as nursery:
                address = await nursery.start(partial(run_agent, self.settings, agent_stop))
                agent = msgspec.structs.replace(self.settings.agent, port=address.port)
                self.settings = msgspec.structs.replace(self.settings, agent=agent)
                self.addresses["agent"] = address
                announce(self)
                await self._run_clients(task_status)
                # The other programs need the agent to drain, so it stops last.
                agent_stop.request()
        self.stopped.set()

    async def _run_clients(self, task_status: trio.TaskStatus[Address]) -> None:
        async with trio.open_nursery() as nursery:
            for name, program in _CLIENT_PROGRAMS.items():
                run = partial(program, self.settings, self.stop)
                self.addresses[name] = await nursery.start(run)
            task_status.started(self.entry_address)
