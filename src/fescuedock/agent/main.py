"""The agent: membership, configuration, and the permits and orders of the upstreams it owns."""

import random
from collections.abc import Mapping

import msgspec
import trio
from result import Err, Result

from fescuedock.address import Address
from fescuedock.agent.codec import open_codec
from fescuedock.agent.config_service import CallPeer, ConfigService
from fescuedock.agent.crash_service import CrashService
from fescuedock.agent.engine_checks import engine_checks
from fescuedock.agent.link import FleetView
from fescuedock.agent.membership_service import MembershipService
from fescuedock.agent.order_service import OrderService
from fescuedock.agent.permit_service import PermitService
from fescuedock.agent.port import open_agent_port
from fescuedock.agent.programs import LocalPrograms
from fescuedock.backing.engine_control import EngineControl
from fescuedock.backing.etcd import EtcdKv
from fescuedock.backing.vm_list import VmListClient
from fescuedock.clock import now_ms, unix_clock
from fescuedock.core.membership import Membership
from fescuedock.daemon import Stop, run_program
from fescuedock.faults import Fault
from fescuedock.net.channel import CallHandler
from fescuedock.net.channel_pool import ChannelPool, open_channel_pool
from fescuedock.net.codec import Codec
from fescuedock.net.http_client import HttpClient, open_http_client
from fescuedock.net.udp import UdpSocket
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import VmRecord
from fescuedock.settings import Settings

__all__ = ["main", "run_agent"]

# Prefix of crash reports in the key-value service.
CRASHES_PREFIX = "crashes/"
# Probe intervals for which a stopping agent still answers, so that its leave can spread.
_LEAVE_INTERVALS = 3


async def run_agent(
    settings: Settings, stop: Stop, *, task_status: trio.TaskStatus[Address]
) -> None:
    """Run the agent until ``stop``; pass the address of its port to ``task_status``.

    A stop is announced immediately, so that other agents take over the upstreams.  The agent
    answers until the announcement has spread, and then announces that it is gone.
    """
    codec = open_codec(settings.vm)
    handlers: dict[type[msgspec.Struct], CallHandler] = {}
    async with (
        open_http_client() as http,
        open_channel_pool(codec) as pool,
        open_agent_port(settings, codec, handlers) as udp,
        trio.open_nursery() as nursery,
    ):
        services = _Services(settings, codec, http, pool, udp)
        handlers.update(services.handlers())
        services.start(nursery)
        task_status.started(udp.address)
        await stop.wait()
        await _leave(settings, services)
        nursery.cancel_scope.cancel()


class _Services:
    """The agent's services, connected to each other."""

    def __init__(
        self, settings: Settings, codec: Codec, http: HttpClient, pool: ChannelPool, udp: UdpSocket
    ) -> None:
        rng = random.SystemRandom()
        self.view = FleetView(settings.vm.vm_id)
        programs = LocalPrograms(settings.vm, udp.address.port)
        kv = EtcdKv(http, settings.platform)
        clock = unix_clock()
        self.crashes = CrashService(
            self.view, http, pool, kv, settings.platform.key_prefix + CRASHES_PREFIX, rng, clock
        )
        self.config = ConfigService(settings, kv, self, _peer_caller(pool), rng, clock)
        boot_ms = clock() * 1000 + rng.randrange(1000)
        membership = Membership(
            settings.agent,
            settings.vm.vm_id,
            programs.profile(now_ms(), 0, config_confirmed=False, serving=False),
            boot_ms,
            rng,
            now_ms(),
        )
        self.membership = MembershipService(
            settings,
            membership,
            udp,
            codec,
            VmListClient(http, settings.platform),
            programs,
            self.config,
            self.view,
            first_version=boot_ms,
        )
        self.orders = OrderService(
            settings, kv, self.view, EngineControl(http), lambda name: self.permits.load(name), rng
        )
        self.permits = PermitService(
            settings, self.view, engine_checks(http, rng), rng, self.orders.is_loading
        )
        self.orders.on_change = self.permits.reapply_view

    def vms(self) -> list[VmRecord]:
        """Return every VM that membership knows, including gone ones."""
        return self.membership.vms()

    def handlers(self) -> Mapping[type[msgspec.Struct], CallHandler]:
        parts = (self.membership, self.config, self.permits, self.crashes)
        return {kind: handler for part in parts for kind, handler in part.handlers().items()}

    def start(self, nursery: trio.Nursery) -> None:
        for part in (self.membership, self.config, self.permits, self.orders, self.crashes):
            nursery.start_soon(part.run)
        nursery.start_soon(self.crashes.read_forever)


def _peer_caller(pool: ChannelPool) -> CallPeer:
    async def call(
        vm: VmRecord, message: msgspec.Struct, timeout_ms: float
    ) -> Result[msgspec.Struct, Fault]:
        if not vm.agent_port:
            return Err(Fault(ResultCode.PEER_UNREACHABLE, f"no agent runs on {vm.vm_id}"))
        client = await pool.client(Address(vm.host, vm.agent_port))
        return await client.call(message, timeout_ms)

    return call


async def _leave(settings: Settings, services: _Services) -> None:
    services.membership.leave()
    wait_ms = _LEAVE_INTERVALS * settings.agent.probe_interval_ms
    await trio.sleep(min(wait_ms, settings.vm.stop_timeout_ms) / 1000)
    services.membership.finish()


def main() -> None:
    """Run the agent as a process, from an INI file."""
    run_program("agent", run_agent, sections=("vm", "platform", "agent"))
