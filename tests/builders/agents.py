"""Agents that run over stand-ins of the platform, with real sockets."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.agent.codec import open_codec
from fescuedock.agent.link import AgentLink, FleetView, open_agent_link
from fescuedock.agent.main import run_agent
from fescuedock.daemon import Stop
from fescuedock.schema.settings import AgentSettings, VmSettings
from fescuedock.schema.view import Program
from fescuedock.settings import Settings
from fescuedock.standin.platform import Standins
from tests.builders.standins import running_standins

__all__ = ["AgentFleet", "RunningAgent", "open_agents", "wait_until"]


@dataclass(slots=True)
class RunningAgent:
    """One agent; ``settings`` name the port assigned to it."""

    settings: Settings
    address: Address
    stop: Stop
    scope: trio.CancelScope
    ended: trio.Event


@dataclass(slots=True)
class AgentFleet:
    standins: Standins
    nursery: trio.Nursery
    agents: dict[str, RunningAgent] = field(default_factory=dict)

    async def start(self, number: int, *, listed: bool = True, key_file: str = "") -> RunningAgent:
        """Start the agent of VM ``number`` on a free port of 127.0.0.(number + 1)."""
        vm = VmSettings(
            vm_id=f"vm-{number}",
            host=f"127.0.0.{number + 1}",
            region="local",
            failure_domain=f"hall-{'abc'[number % 3]}",
            key_file=key_file,
        )
        agent = AgentSettings(port=0, probe_interval_ms=200, suspicion_ms=600)
        platform = self.standins.platform_settings(vm_list_poll_ms=200)
        settings = Settings(vm=vm, platform=platform, agent=agent)
        running = await self.nursery.start(self._run, settings)
        self.agents[vm.vm_id] = running
        if listed:
            self.standins.add_system_vm(vm.vm_id, vm.failure_domain, running.address)
        return running

    async def _run(self, settings: Settings, *, task_status: trio.TaskStatus) -> None:
        stop, ended = Stop(), trio.Event()
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                address = await nursery.start(run_agent, settings, stop)
                agent = msgspec.structs.replace(settings.agent, port=address.port)
                known = Settings(vm=settings.vm, platform=settings.platform, agent=agent)
                task_status.started(RunningAgent(known, address, stop, scope, ended))
        ended.set()

    @asynccontextmanager
    async def open_link(
        self, vm_id: str, program: Program = Program.ENTRY, ready: Callable[[], bool] = lambda: True
    ) -> AsyncIterator[tuple[AgentLink, FleetView]]:
        """Open the link of a program on ``vm_id`` to its agent, with the view that it updates."""
        settings = self.agents[vm_id].settings
        codec = open_codec(settings.vm)
        async with open_agent_link(settings, codec, program, 8080, ready) as linked:
            yield linked


@asynccontextmanager
async def open_agents(count: int, *, key_file: str = "") -> AsyncIterator[AgentFleet]:
    """Run ``count`` agents and the stand-ins until the block is left."""
    async with running_standins() as standins, trio.open_nursery() as nursery:
        fleet = AgentFleet(standins, nursery)
        for number in range(count):
            await fleet.start(number, key_file=key_file)
        yield fleet
        nursery.cancel_scope.cancel()


async def wait_until(
    view: FleetView, holds: Callable[[FleetView], bool], limit_s: float = 20
) -> None:
    """Wait until ``holds`` is true of ``view``."""
    with trio.fail_after(limit_s):
        while not holds(view):
            await view.wait_changed(view.version)
