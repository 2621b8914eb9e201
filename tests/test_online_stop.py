"""The planned stop of an entry: callers with a valid answer are served, none is interrupted."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.agent.main import run_agent
from fescuedock.daemon import Stop
from fescuedock.entry.main import run_entry
from fescuedock.net.http_client import HttpClient, NotSentError, ResponseLostError
from fescuedock.schema.settings import (
    AgentSettings,
    BatchSettings,
    EntrySettings,
    PermitSettings,
    StandinSettings,
    VmSettings,
)
from fescuedock.settings import Settings
from fescuedock.standin.engine import EngineService
from fescuedock.standin.platform import run_standins
from tests.builders.online import (
    HOST,
    chat_body,
    configuration,
    oracle_text,
    read_stream,
    run,
    wait_until,
)
from tests.builders.ports import free_ports

CHAT = "/v1/chat/completions"
# Validity of /v1/entries answers after the stop; some of the streams last longer than this.
ANSWER_VALID_MS = 400


@dataclass(slots=True)
class StoppingVm:
    """One VM with an agent and an entry, and the state of its entry."""

    entry: Address
    http: HttpClient
    engine: EngineService
    stop: Stop
    returned: trio.Event

    async def post(self, path: str, body: object) -> tuple[int, bytes]:
        data = msgspec.json.encode(body)
        async with self.http.request(self.entry, "POST", path, [], data, fresh=True) as response:
            return response.status, await response.read()

    async def get(self, path: str) -> tuple[int, bytes]:
        async with self.http.request(self.entry, "GET", path, fresh=True) as response:
            return response.status, await response.read()


@asynccontextmanager
async def one_vm(stop_timeout_ms: int) -> AsyncIterator[StoppingVm]:
    [agent_port] = free_ports(1, HOST)
    async with trio.open_nursery() as nursery:
        standins = await nursery.start(run_standins, StandinSettings(engines=1, step_ms=5))
        settings = Settings(
            vm=VmSettings("vm1", HOST, "local", "hall-a", stop_timeout_ms=stop_timeout_ms),
            platform=standins.platform_settings(vm_list_poll_ms=20),
            entry=EntrySettings(0, answer_valid_ms=ANSWER_VALID_MS, leave_spread_ms=0),
            agent=AgentSettings(agent_port),
            batch=BatchSettings(0),
            permits=PermitSettings(),
        )
        standins.add_system_vm("vm1", "hall-a", Address(HOST, agent_port))
        await nursery.start(run_agent, settings, Stop())
        engine = standins.engines["engine-1"]
        vm = StoppingVm(Address(HOST, 0), HttpClient(), engine, Stop(), trio.Event())

        async def serve(*, task_status: trio.TaskStatus[Address]) -> None:
            await run_entry(settings, vm.stop, task_status=task_status)
            vm.returned.set()

        vm.entry = await nursery.start(serve)
        await _configure(vm)
        try:
            yield vm
        finally:
            await vm.http.close()
            nursery.cancel_scope.cancel()


async def _configure(vm: StoppingVm) -> None:
    patch = msgspec.to_builtins(configuration())
    request = {"base_version": 0, "patch_id": "first", "patch": patch}
    status = 0
    while status != 200:
        status, _ = await vm.post("/admin/config/patches", request)
    status = 0
    while status != 200:
        status, _ = await vm.post(CHAT, chat_body())


class PlannedStopTest(unittest.TestCase):
    """``run_entry`` from the stop request until it returns."""

    def test_callers_are_served_until_their_answer_expires_and_streams_to_their_end(self) -> None:
        async def body() -> None:
            async with one_vm(stop_timeout_ms=60_000) as vm:
                wanted = chat_body(max_tokens=300)
                results: list[bytes] = []

                async def stream() -> None:
                    results.append((await vm.post(CHAT, wanted))[1])

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(stream)
                    started = trio.current_time()
                    vm.stop.request()
                    await self.check_not_listed(vm)
                    status, data = await vm.post(CHAT, chat_body())
                    self.assertEqual(status, 200)
                    self.assertEqual(read_stream(data).text, oracle_text(chat_body()))
                    await vm.returned.wait()
                self.assertGreaterEqual(trio.current_time() - started, ANSWER_VALID_MS / 1000)
                self.assertEqual(read_stream(results[0]).text, oracle_text(wanted))
                self.assertTrue(read_stream(results[0]).done)
                with self.assertRaises(NotSentError):
                    await vm.post(CHAT, chat_body())

        run(body)

    async def check_not_listed(self, vm: StoppingVm) -> None:
        """Wait until no answer lists the entry, well before it closes."""
        status = 200
        while status == 200:
            status, data = await vm.get("/v1/entries")
        self.assertEqual(msgspec.json.decode(data)["error"]["name"], "NO_CAPACITY")

    def test_the_stop_timeout_bounds_the_stop(self) -> None:
        async def body() -> None:
            async with one_vm(stop_timeout_ms=600) as vm:

                async def stream() -> None:
                    with self.assertRaises(ResponseLostError):
                        await vm.post(CHAT, chat_body(max_tokens=100_000))

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(stream)
                    await wait_until(lambda: vm.engine.core.load.running == 1)
                    vm.stop.request()
                    await vm.returned.wait()

        run(body)
