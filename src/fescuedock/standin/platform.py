"""Runs all stand-ins (platform, engines and plain services) as tasks of the caller's event loop."""

from dataclasses import dataclass, field

import trio

from fescuedock.address import Address
from fescuedock.backing.vm_list import ROLE_SYSTEM, ROLE_UPSTREAM, ListedVm
from fescuedock.backing.weight_store import WeightRecord
from fescuedock.schema.settings import PlatformSettings, StandinSettings
from fescuedock.schema.view import UpstreamKind
from fescuedock.standin.control import Control
from fescuedock.standin.engine import EngineService
from fescuedock.standin.engine_core import EngineCore
from fescuedock.standin.engine_orders import EngineOrders
from fescuedock.standin.kv_service import KvService
from fescuedock.standin.plain_service import PlainService
from fescuedock.standin.prefix_cache import CacheEventLog, PrefixCache
from fescuedock.standin.token_time import EngineProfile
from fescuedock.standin.vm_list import VmListService
from fescuedock.standin.weight_store import WeightStoreService

__all__ = ["Standins", "run_standins"]

DEFAULT_VERSION = "1"


@dataclass(slots=True)
class Standins:
    """The running stand-ins.

    ``engines`` and ``plain`` are keyed by upstream identity.  ``control`` is the address of the
    HTTP control interface.
    """

    settings: StandinSettings
    kv: KvService
    vm_list: VmListService
    weight_store: WeightStoreService
    engines: dict[str, EngineService] = field(default_factory=dict)
    plain: dict[str, PlainService] = field(default_factory=dict)
    control: Address | None = None
    nursery: trio.Nursery | None = None

    def platform_settings(self, **changes: object) -> PlatformSettings:
        """Return the [platform] section for programs that use these stand-ins."""
        values: dict[str, object] = {
            "kv_addresses": str(self.kv.address),
            "vm_list_address": str(self.vm_list.address),
            "weight_store_address": str(self.weight_store.address),
        }
        return PlatformSettings(**{**values, **changes})

    def add_system_vm(self, vm_id: str, failure_domain: str, agent: Address) -> None:
        """Add a VM that runs fescuedock to the VM list."""
        self.vm_list.add(
            ListedVm(
                vm_id=vm_id,
                role=ROLE_SYSTEM,
                region=self.settings.region,
                failure_domain=failure_domain,
                host=agent.host,
                port=agent.port,
            )
        )

    async def add_engine(
        self, upstream_id: str, failure_domain: str, port: int = 0, service: str = ""
    ) -> EngineService:
        """Start another engine and add it to the VM list.

        Without ``service`` it belongs to the engine service of the settings.
        """
        engine = EngineService(upstream_id, self._engine_core(), self._engine_orders())
        address = await self.nursery.start(engine.run, Address(self.settings.host, port))
        self.engines[upstream_id] = engine
        service = service or self.settings.engine_service
        self._list_upstream(upstream_id, failure_domain, address, UpstreamKind.ENGINE, service)
        return engine

    async def add_plain(
        self, upstream_id: str, failure_domain: str, port: int = 0, service: str = ""
    ) -> PlainService:
        """Start another plain service and add it to the VM list.

        Without ``service`` it belongs to the plain service of the settings.
        """
        plain = PlainService(upstream_id)
        address = await self.nursery.start(plain.run, Address(self.settings.host, port))
        self.plain[upstream_id] = plain
        service = service or self.settings.plain_service
        self._list_upstream(upstream_id, failure_domain, address, UpstreamKind.PLAIN, service)
        return plain

    def _list_upstream(
        self, vm_id: str, failure_domain: str, address: Address, kind: UpstreamKind, service: str
    ) -> None:
        self.vm_list.add(
            ListedVm(
                vm_id=vm_id,
                role=ROLE_UPSTREAM,
                region=self.settings.region,
                failure_domain=failure_domain,
                host=address.host,
                port=address.port,
                kind=kind.value,
                service=service,
            )
        )

    def _engine_core(self) -> EngineCore:
        settings = self.settings
        profile = EngineProfile(
            step_ms=settings.step_ms,
            step_ms_per_sequence=settings.step_ms_per_sequence,
            prefill_ms_per_token=settings.prefill_ms_per_token,
            max_prefill_tokens=settings.max_prefill_tokens,
            max_sequences=settings.max_sequences,
            kv_tokens=settings.kv_tokens,
        )
        events = CacheEventLog(settings.cache_event_delay_ms, settings.cache_event_lose_every)
        cache = PrefixCache(settings.prefix_cache_blocks)
        return EngineCore(profile, cache, events, settings.load_report_ms)

    def _engine_orders(self) -> EngineOrders:
        return EngineOrders(
            self.weight_store,
            checks_fencing=self.settings.checks_fencing,
            load_ms=self.settings.model_load_ms,
            role_change_ms=self.settings.role_change_ms,
            models=_models(self.settings),
        )


async def run_standins(
    settings: StandinSettings, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
) -> None:
    """Run the stand-ins until cancelled; report the ``Standins`` once all of them accept calls."""
    standins = Standins(
        settings=settings,
        kv=KvService(progress_ms=settings.kv_progress_ms),
        vm_list=VmListService(settings.vm_list_lag_ms),
        weight_store=WeightStoreService(settings.weight_bytes_per_s, _weights(settings)),
    )
    async with trio.open_nursery() as nursery:
        standins.nursery = nursery
        host = settings.host
        await nursery.start(standins.kv.run, Address(host, settings.kv_port))
        await nursery.start(standins.vm_list.run, Address(host, settings.vm_list_port))
        await nursery.start(standins.weight_store.run, Address(host, settings.weight_store_port))
        await _start_upstreams(standins)
        for vm_id, domain, address in parse_system_vms(settings.system_vms):
            standins.add_system_vm(vm_id, domain, address)
        control = Control(standins)
        standins.control = await nursery.start(control.run, Address(host, settings.control_port))
        task_status.started(standins)


async def _start_upstreams(standins: Standins) -> None:
    settings = standins.settings
    domains = _split(settings.failure_domains)
    port = settings.first_upstream_port
    for number in range(settings.engines):
        domain = domains[number % len(domains)]
        await standins.add_engine(f"engine-{number + 1}", domain, port)
        port += 1 if port else 0
    for number in range(settings.plain_services):
        domain = domains[number % len(domains)]
        await standins.add_plain(f"plain-{number + 1}", domain, port)
        port += 1 if port else 0


def parse_system_vms(text: str) -> list[tuple[str, str, Address]]:
    """Parse comma-separated ``VM_ID/FAILURE_DOMAIN/HOST:PORT``; raise ``ValueError`` if invalid."""
    vms = []
    for part in _split(text):
        fields = part.split("/")
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"not VM_ID/FAILURE_DOMAIN/HOST:PORT: {part!r}")
        vms.append((fields[0], fields[1], Address.parse(fields[2])))
    return vms


def _models(settings: StandinSettings) -> dict[str, str]:
    models = {}
    for part in _split(settings.models):
        model, _, version = part.partition("=")
        models[model] = version or DEFAULT_VERSION
    return models


def _weights(settings: StandinSettings) -> list[WeightRecord]:
    return [
        WeightRecord(model, version, settings.weight_bytes)
        for model, version in _models(settings).items()
    ]


def _split(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]
