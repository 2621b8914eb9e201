"""The other stand-ins: VM list, weight store, plain service, control interface and settings."""

import tempfile
import unittest
from pathlib import Path

import msgspec
import trio
import trio.testing

from fescuedock.address import Address
from fescuedock.backing.vm_list import ListedVm, VmListClient
from fescuedock.backing.weight_store import WeightStoreClient
from fescuedock.net.http_client import HttpClient, NotSentError, ResponseLostError
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import StandinSettings
from fescuedock.standin.main import load_standin_settings
from fescuedock.standin.platform import Standins
from fescuedock.standin.vm_list import VmListService
from fescuedock.standin.weight_store import WeightStoreService
from tests.builders.standins import open_http, run_async, running_standins

AGENT = Address("127.0.0.1", 7001)
SYSTEM_VM = ListedVm("vm-9", "system", "local", "hall-a", AGENT.host, AGENT.port)


async def call(
    http: HttpClient, address: Address, method: str, path: str, body: bytes = b"", **headers: str
) -> tuple[int, dict]:
    fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
    async with http.request(address, method, path, fields, body) as response:
        return response.status, msgspec.json.decode(await response.read())


class PlatformTest(unittest.TestCase):
    def run_with_standins(self, test, **settings: object) -> None:
        async def run() -> None:
            async with running_standins(**settings) as standins, open_http() as http:
                await test(standins, http)

        run_async(run)

    def test_vm_list_and_its_etag(self):
        async def test(standins: Standins, http: HttpClient) -> None:
            client = VmListClient(http, standins.platform_settings())
            first = (await client.read()).unwrap()
            self.assertIs((await client.read()).unwrap(), first)
            self.assertEqual(standins.vm_list.unchanged_reads, 1)
            self.assertEqual(
                [(u.upstream_id, u.kind.value, u.service, u.leaving) for u in first.upstreams],
                [
                    ("engine-1", "engine", "demo-llm", False),
                    ("engine-2", "engine", "demo-llm", False),
                    ("plain-1", "plain", "demo-plain", False),
                ],
            )
            standins.vm_list.mark_leaving("engine-2")
            standins.vm_list.remove("plain-1")
            standins.add_system_vm("vm-1", "hall-b", AGENT)
            second = (await client.read()).unwrap()
            self.assertEqual([u.leaving for u in second.upstreams], [False, True])
            self.assertEqual([(vm.vm_id, vm.port) for vm in second.system], [("vm-1", AGENT.port)])
            standins.vm_list.listener.take_down()
            await trio.testing.wait_all_tasks_blocked(0.01)
            down = await client.read()
            self.assertEqual(down.err_value.code, ResultCode.PLATFORM_UNAVAILABLE)

        self.run_with_standins(test, engines=2)

    def test_the_vm_list_lags(self):
        async def run() -> None:
            service = VmListService(lag_ms=5000)
            service.add(SYSTEM_VM)
            empty = service.visible_version()
            self.assertNotIn(b"vm-9", empty.body)
            await trio.sleep(4.9)
            self.assertEqual(service.visible_version(), empty)
            await trio.sleep(0.2)
            self.assertIn(b"vm-9", service.visible_version().body)
            service.remove("vm-9")
            self.assertIn(b"vm-9", service.visible_version().body)
            await trio.sleep(5)
            self.assertNotIn(b"vm-9", service.visible_version().body)
            self.assertNotEqual(service.visible_version().etag, empty.etag)

        run_async(run, trio.testing.MockClock(autojump_threshold=0))

    def test_concurrent_loads_share_the_rate_of_the_weight_store(self):
        store = WeightStoreService(bytes_per_s=100)

        async def run() -> None:
            began_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(store.load, 50)
            self.assertAlmostEqual(trio.current_time() - began_s, 1.5)
            self.assertEqual((store.loads, store.max_concurrent_loads), (3, 3))

        run_async(run, trio.testing.MockClock(autojump_threshold=0))

    def test_the_catalog_of_the_weight_store(self):
        async def test(standins: Standins, http: HttpClient) -> None:
            client = WeightStoreClient(http, standins.platform_settings())
            catalog = (await client.read_catalog()).unwrap()
            self.assertEqual(catalog.size_bytes("m", "3"), 77)
            self.assertIsNone(catalog.size_bytes("m", "4"))
            self.assertEqual(catalog.bytes_per_s, 5)

        settings = {"models": "m=3", "weight_bytes": 77, "weight_bytes_per_s": 5}
        self.run_with_standins(test, **settings)

    def test_a_plain_service_counts_executions(self):
        async def test(standins: Standins, http: HttpClient) -> None:
            plain = standins.plain["plain-1"]
            address = plain.address
            status, answer = await call(http, address, "PUT", "/b/1", b"x", x_request_id="r1")
            self.assertEqual((status, answer["body"], answer["execution"]), (200, "x", 1))
            await call(http, address, "PUT", "/b/1", b"x", x_request_id="r1")
            plain.cut_before = plain.cut_after = 1
            for _ in range(2):
                with self.assertRaises(ResponseLostError):
                    await call(http, address, "PUT", "/b/1", b"x", x_request_id="r2")
            plain.fail_with = 503
            status, _ = await call(http, address, "PUT", "/b/1", b"x", x_request_id="r3")
            self.assertEqual(status, 503)
            self.assertEqual(plain.executions, {"r1": 2, "r2": 1})

        self.run_with_standins(test)

    def test_faults_are_injected_over_http(self):
        async def test(standins: Standins, http: HttpClient) -> None:
            async def command(path: str, **fields: object) -> int:
                body = msgspec.json.encode(fields)
                return (await call(http, standins.control, "POST", path, body))[0]

            self.assertEqual(await command("/vms", add=SYSTEM_VM, remove="engine-1"), 200)
            self.assertEqual([vm.vm_id for vm in standins.vm_list.vms], ["plain-1", "vm-9"])
            self.assertEqual(await command("/kv", delay_ms=5, lose_answer="after", nth=2), 200)
            self.assertEqual(standins.kv.faults.delay_ms, 5)
            self.assertEqual(await command("/engines/engine-1", die=True, slowness=2), 200)
            engine = standins.engines["engine-1"]
            self.assertEqual((engine.deaths, engine.slowness), (1, 2))
            self.assertEqual(await command("/plain/plain-1", down=True), 200)
            await trio.testing.wait_all_tasks_blocked(0.01)
            for address in (engine.address, standins.plain["plain-1"].address):
                with self.assertRaises(NotSentError):
                    await call(http, address, "GET", "/")
            _, state = await call(http, standins.control, "GET", "/state")
            self.assertFalse(state["engines"]["engine-1"]["up"])
            self.assertEqual(await command("/kv", dwon=True), 400)
            self.assertEqual(await command("/vms", leave="nobody"), 400)
            self.assertEqual(await command("/engines/nobody", die=True), 404)

        self.run_with_standins(test, engines=1)


class StandinSettingsTest(unittest.TestCase):
    def load(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "standin.ini"
            path.write_text(text, encoding="utf-8")
            return load_standin_settings(path)

    def test_valid_file(self):
        loaded = self.load("[standin]\nengines = 2\nsystem_vms = a/hall-a/127.0.0.1:7001\n")
        self.assertEqual(
            loaded.unwrap(),
            StandinSettings(engines=2, system_vms="a/hall-a/127.0.0.1:7001"),
        )

    def test_every_problem_is_reported(self):
        text = "[standin]\nengines = many\nhost = localhost\nsystem_vms = a/7001\nshape = 1\n[x]\n"
        problems = str(self.load(text).unwrap_err())
        for part in ("engines = many", "host = localhost", "system_vms = a/7001", "shape", "[x]"):
            self.assertIn(part, problems)
        self.assertIn("too high", str(self.load("[standin]\nfirst_upstream_port=65535\n").err()))
        self.assertIn("missing", str(self.load("").unwrap_err()))
