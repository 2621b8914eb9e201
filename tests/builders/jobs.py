"""Entries for tests of files and batches: real HTTP, channels and stores, an in-memory key-value
service, and no online handlers."""

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from functools import wraps
from hashlib import sha256
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import cast
from unittest import TestCase

import msgspec
import trio
from openai import AsyncOpenAI

from fescuedock.address import Address
from fescuedock.agent.link import AgentLink
from fescuedock.agent.permit_client import PermitClient
from fescuedock.entry import files, jobs
from fescuedock.entry.context import EntryContext
from fescuedock.entry.routes import route_requests
from fescuedock.net.http_client import HttpClient
from fescuedock.net.http_server import HttpServer
from fescuedock.report.metrics import Metrics
from fescuedock.schema.config import (
    Configuration,
    MemberSpec,
    ModelSpec,
    ServiceKind,
    ServiceSpec,
)
from fescuedock.schema.settings import BatchSettings, EntrySettings, PlatformSettings, VmSettings
from fescuedock.settings import Settings
from tests.builders.kv import MemoryKv
from tests.builders.store import HOST, NOW_S, StoreFleet, open_stores, run

KEYS = {"manizales": "key-m", "vandenbroucke": "key-v"}
ENDPOINT = "/v1/chat/completions"
SITES = {"vm-1": "chipre", "vm-2": "palermo", "vm-3": "villamaria"}


def input_line(number: int, **changes: object) -> bytes:
    """Return the line of one item, without its newline."""
    line = {
        "custom_id": f"item-{number}",
        "method": "POST",
        "url": ENDPOINT,
        "body": {"model": "letters", "messages": [{"role": "user", "content": f"case {number}"}]},
    }
    return msgspec.json.encode(line | changes)


def input_file(items: int) -> bytes:
    """Return an input file of ``items`` valid lines."""
    return b"".join(input_line(number) + b"\n" for number in range(items))


def configuration() -> Configuration:
    """Return two members, two model services and a plain one."""
    return Configuration(
        services={
            "admision-llm": ServiceSpec(
                kind=ServiceKind.MODEL, models={"letters": ModelSpec(version="1")}
            ),
            "trip-desk": ServiceSpec(
                kind=ServiceKind.MODEL, models={"rosters": ModelSpec(version="1")}
            ),
            "bookings": ServiceSpec(kind=ServiceKind.PLAIN, non_idempotent=["POST /coaches"]),
        },
        members={
            name: MemberSpec(key_hashes=[sha256(key.encode()).hexdigest()])
            for name, key in KEYS.items()
        },
    )


class JobEntry:
    """One entry with its own connection to the shared key-value service."""

    def __init__(
        self, context: EntryContext, kv: MemoryKv, server: HttpServer, address: Address
    ) -> None:
        self.server = server
        self.context = context
        self.kv = kv
        self.address = address
        self._clients: list[AsyncOpenAI] = []

    def client(self, member: str = "manizales", **options: object) -> AsyncOpenAI:
        """Return the public client, without retries unless ``options`` enable them."""
        options = {"max_retries": 0, "timeout": 30.0} | options
        client = AsyncOpenAI(api_key=KEYS[member], base_url=f"http://{self.address}/v1", **options)
        self._clients.append(client)
        return client

    async def close(self) -> None:
        """Close the clients, so that the server does not wait for them."""
        for client in self._clients:
            await client.close()
        await self.context.http.close()


class JobSite:
    """The stores and entries of one test."""

    def __init__(self, fleet: StoreFleet, entries: list[JobEntry]) -> None:
        self.fleet = fleet
        self.entries = entries
        self.entry = entries[0]


@asynccontextmanager
async def open_job_site(
    root: Path,
    *,
    sites: Mapping[str, str] = SITES,
    entries: int = 1,
    batch: BatchSettings | None = None,
) -> AsyncIterator[JobSite]:
    """Run stores at ``sites`` and ``entries`` entries that use them."""
    batch = batch or BatchSettings(port=0)
    settings = Settings(
        vm=VmSettings(vm_id="vm-1", host=HOST, region="caldas", failure_domain="chipre"),
        platform=PlatformSettings(kv_addresses=f"{HOST}:1", vm_list_address=f"{HOST}:1"),
        entry=EntrySettings(port=0),
        batch=batch,
    )
    async with open_stores(root, dict(sites), batch) as fleet, trio.open_nursery() as nursery:
        fleet.view.replace_configuration(fleet.view.version, 1, configuration(), 0)
        first = MemoryKv()
        kvs = [first, *(MemoryKv(first.state) for _ in range(entries - 1))]
        opened = [await _open_entry(settings, fleet, kv, nursery) for kv in kvs]
        yield JobSite(fleet, opened)
        for entry in opened:
            await entry.close()
        nursery.cancel_scope.cancel()


def with_job_site(**options: object) -> Callable:
    """Run the decorated async method of a test case with a ``JobSite`` made with ``options``."""

    def decorate(test: Callable) -> Callable:
        async def inside(case: TestCase) -> None:
            with TemporaryDirectory() as folder:
                async with open_job_site(Path(folder), **options) as site:
                    await test(case, site)

        return wraps(test)(lambda case: run(inside, case))

    return decorate


async def _open_entry(
    settings: Settings, fleet: StoreFleet, kv: MemoryKv, nursery: trio.Nursery
) -> JobEntry:
    context = EntryContext(
        settings=settings,
        view=fleet.view,
        agent=cast(AgentLink, None),
        permits=cast(PermitClient, None),
        stores=fleet.client,
        kv=kv,
        http=HttpClient(),
        metrics=cast(Metrics, None),
        unix_clock=lambda: NOW_S,
    )
    handler = route_requests([*files.routes(context), *jobs.routes(context)])
    server = HttpServer(handler)
    address = await nursery.start(server.serve, Address(HOST, 0))
    return JobEntry(context, kv, server, address)
