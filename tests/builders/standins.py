"""Context managers that run stand-ins, and clients for them."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio
import trio.testing

from fescuedock.address import Address
from fescuedock.backing.engine import EngineClient
from fescuedock.backing.engine_control import EngineControl
from fescuedock.backing.etcd import EtcdKv
from fescuedock.net.http_client import HttpClient
from fescuedock.schema.settings import PlatformSettings, StandinSettings
from fescuedock.schema.view import UpstreamRecord
from fescuedock.standin.engine import EngineService
from fescuedock.standin.kv_service import KvService
from fescuedock.standin.platform import Standins, run_standins

__all__ = [
    "FAST_ENGINES",
    "EngineHarness",
    "chat_body",
    "chat_prompt",
    "etcd_client",
    "open_http",
    "run_async",
    "running_engine",
    "running_kv",
    "running_standins",
    "upstream_of",
]

LOOPBACK = Address("127.0.0.1", 0)
_TEST_TIMEOUT_S = 60
# Engines that produce a token about every millisecond, for tests that do not check timing.
FAST_ENGINES = {"step_ms": 1.0, "step_ms_per_sequence": 0.0, "prefill_ms_per_token": 0.001}


def run_async(test: Callable[[], Awaitable[None]], clock: trio.abc.Clock | None = None) -> None:
    """Run ``test`` in a new event loop; fail after a minute, as measured by ``clock``'s rate."""
    rate = clock.rate if isinstance(clock, trio.testing.MockClock) and clock.rate else 1

    async def run() -> None:
        with trio.fail_after(_TEST_TIMEOUT_S * rate):
            await test()

    trio.run(run, clock=clock)


def etcd_client(http: HttpClient, *addresses: Address, timeout_ms: int = 1500) -> EtcdKv:
    """Return a client for the key-value service at ``addresses``."""
    settings = PlatformSettings(
        kv_addresses=",".join(str(address) for address in addresses),
        vm_list_address="127.0.0.1:1",
        kv_timeout_ms=timeout_ms,
    )
    return EtcdKv(http, settings)


@asynccontextmanager
async def open_http() -> AsyncIterator[HttpClient]:
    """Yield an HTTP client; its idle connections are closed after the block."""
    http = HttpClient()
    try:
        yield http
    finally:
        with trio.CancelScope(shield=True):
            await http.close()


@asynccontextmanager
async def running_kv(timeout_ms: int = 1500) -> AsyncIterator[tuple[KvService, EtcdKv]]:
    """Run a key-value service while the block runs; yield it with a client."""
    service = KvService(progress_ms=50)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(service.run, LOOPBACK)
        async with open_http() as http:
            yield service, etcd_client(http, address, timeout_ms=timeout_ms)
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def running_standins(**settings: object) -> AsyncIterator[Standins]:
    """Run all stand-ins, with fast engines by default, while the block runs."""
    async with trio.open_nursery() as nursery:
        merged_settings = StandinSettings(**{**FAST_ENGINES, **settings})
        yield await nursery.start(run_standins, merged_settings)
        nursery.cancel_scope.cancel()


def upstream_of(engine: EngineService) -> UpstreamRecord:
    """Return the record that describes ``engine`` in the view of a fleet."""
    return UpstreamRecord(
        upstream_id=engine.upstream_id,
        region="local",
        failure_domain="hall-a",
        host=engine.address.host,
        port=engine.address.port,
        kind="engine",
        service="demo-llm",
    )


@dataclass(frozen=True, slots=True)
class EngineHarness:
    """One engine with the clients for its interfaces."""

    engine: EngineService
    upstream: UpstreamRecord
    client: EngineClient
    control: EngineControl
    standins: Standins


@asynccontextmanager
async def running_engine(**settings: object) -> AsyncIterator[EngineHarness]:
    """Run one engine while the block runs."""
    async with running_standins(engines=1, plain_services=0, **settings) as standins:
        (engine,) = standins.engines.values()
        async with open_http() as http:
            yield EngineHarness(
                engine, upstream_of(engine), EngineClient(http), EngineControl(http), standins
            )


def chat_body(text: str, max_tokens: int | None = None, **fields: object) -> dict:
    """Return the body of a chat with one user message."""
    messages = [{"role": "user", "content": text}]
    limit = {} if max_tokens is None else {"max_tokens": max_tokens}
    return {"model": "demo-model", "messages": messages, **limit, **fields}


def chat_prompt(text: str) -> str:
    """Return the prompt that the engine builds from ``chat_body(text)``."""
    return f"<user>{text}\n"
