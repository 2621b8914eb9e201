"""The configuration over real sockets: three VMs, operators at several entries, and faults."""

import itertools
import unittest
from functools import partial

import trio

from fescuedock.address import Address
from fescuedock.cli.local import LocalSystem
from fescuedock.cli.local_vm import LocalVm
from fescuedock.net.http_client import (
    ConnectResult,
    HttpClient,
    NotSentError,
    ResponseLostError,
)
from fescuedock.standin.kv_faults import LostAnswer
from tests.builders.local import Answer, exchange, run_session, wait_until

KEY = "/fescuedock/config"
VM_LOST = "vm-villamaria"


def patch_body(base_version: int, name: str) -> dict:
    """Return the body of a patch that creates a member named like the patch."""
    return {"base_version": base_version, "patch_id": name, "patch": {"members": {name: {}}}}


async def listens(address: Address) -> bool:
    return await HttpClient().try_connect(address) is ConnectResult.ACCEPTED


class Operators:
    """Operators at the entries of a running system."""

    def __init__(self, system: LocalSystem) -> None:
        self.system = system

    async def request(self, vm_id: str, method: str, target: str, body: object = None) -> Answer:
        entry = self.system.vms[vm_id].entry_address
        return await exchange(self.system, method, target, body, entry=entry)

    async def version(self, vm_id: str) -> int:
        answer = await self.request(vm_id, "GET", "/admin/config")
        return answer.json["version"]

    async def patch(self, vm_id: str, base_version: int, name: str) -> Answer:
        body = patch_body(base_version, name)
        return await self.request(vm_id, "POST", "/admin/config/patches", body)

    async def in_force(self, version: int) -> bool:
        versions = [await self.version(vm_id) for vm_id in self.system.vms]
        behind = await self.request("vm-chipre", "GET", f"/admin/config/versions?version={version}")
        return min(versions) >= version and not behind.json["behind"]


class ConfigServiceTest(unittest.TestCase):
    def test_patches_races_outage_restart_and_restore(self):
        run_session(self._session)

    async def _session(self, system: LocalSystem) -> None:
        operators = Operators(system)
        await self._spreads(operators)
        await self._races(operators)
        await self._orders(operators)
        await self._lost_answers(operators)
        await self._outage_and_restart(operators)
        await self._restore(operators)

    async def _spreads(self, operators):
        version = await operators.version("vm-palermo")
        answer = await operators.patch("vm-palermo", version, "spread")
        self.assertEqual((answer.status, answer.json), (200, {"version": version + 1}))
        await wait_until(partial(operators.in_force, version + 1), timeout_s=4)
        history = await operators.request("vm-villamaria", "GET", "/admin/config/history")
        self.assertEqual(history.json["patches"][0]["patch_id"], "spread")

    async def _races(self, operators):
        for round_number in range(3):
            version = await operators.version("vm-chipre")
            answers = {}

            async def submit(
                vm_id, base_version=version, found=answers, name=f"race-{round_number}"
            ):
                found[vm_id] = await operators.patch(vm_id, base_version, f"{name}-{vm_id}")

            async with trio.open_nursery() as nursery:
                for vm_id in operators.system.vms:
                    nursery.start_soon(submit, vm_id)
            self.assertEqual(sorted(item.status for item in answers.values()), [200, 409, 409])
            for item in answers.values():
                if item.status == 409:
                    self.assertEqual(item.json["error"]["name"], "STALE_VERSION")
                    self.assertEqual(item.json["error"]["version"], version + 1)
            await wait_until(partial(operators.in_force, version + 1), timeout_s=4)

    async def _orders(self, operators):
        """The agent that owns an engine orders what the configuration requires of it."""
        version = await operators.version("vm-chipre")
        engine = operators.system.standins.engines["worker-trip-desk-1"]
        patch = {"upstreams": {"worker-trip-desk-1": {"role": "decode"}}}
        body = {"base_version": version, "patch_id": "role", "patch": patch}
        answer = await operators.request("vm-palermo", "POST", "/admin/config/patches", body)
        self.assertEqual(answer.status, 200)

        async def has_role():
            return engine.orders.role == "decode"

        await wait_until(has_role)
        numbers = [item.order.fencing for item in engine.orders.received]
        self.assertEqual(numbers, sorted(set(numbers)))

    async def _lost_answers(self, operators):
        for when in LostAnswer:
            version = await operators.version("vm-chipre")
            operators.system.standins.kv.faults.lose_answer(when)
            first = await operators.patch("vm-chipre", version, f"lost-{when.value}")
            again = await operators.patch("vm-palermo", version, f"lost-{when.value}")
            for answer in (first, again):
                self.assertEqual((answer.status, answer.json), (200, {"version": version + 1}))

    async def _outage_and_restart(self, operators):
        system = operators.system
        version = await operators.version("vm-chipre")
        await wait_until(partial(operators.in_force, version), timeout_s=4)
        system.standins.kv.take_down()
        answer = await operators.patch("vm-chipre", version, "outage")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.json["error"]["name"], "KV_UNAVAILABLE")
        self.assertEqual(answer.json["error"]["outcome"], "not_run")
        seen = await self._restart(system, operators)
        self.assertEqual(set(seen), {version})
        system.standins.kv.bring_up()
        # The stand-in starts to listen shortly after the call.
        await wait_until(partial(listens, system.standins.kv.address), timeout_s=4)
        answer = await operators.patch(VM_LOST, version, "outage")
        self.assertEqual((answer.status, answer.json), (200, {"version": version + 1}))

    async def _restart(self, system, operators):
        """Kill a VM and restart it; return at least three versions reported by its entry."""
        lost = system.vms[VM_LOST]
        lost.kill()
        await lost.stopped.wait()
        seen = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(system.start, LocalVm(lost.settings))
            while len(seen) < 3:
                await trio.sleep(0.05)
                try:
                    answer = await operators.request(VM_LOST, "GET", "/admin/config")
                except (KeyError, NotSentError, ResponseLostError):
                    continue
                if answer.status == 200:
                    seen.append(answer.json["version"])
        return seen

    async def _restore(self, operators):
        state = operators.system.standins.kv.state
        version = await operators.version("vm-chipre")
        entry = state.get(KEY)
        answer = await operators.patch("vm-chipre", version, "after-backup")
        self.assertEqual(answer.status, 200)
        state.put_if(KEY, entry.value, state.get(KEY).mod_revision)
        await wait_until(partial(operators.in_force, version + 1), timeout_s=4)
        for number, vm_id in zip(itertools.count(), operators.system.vms, strict=False):
            refused = await operators.patch(vm_id, version, f"on-restored-{number}")
            self.assertEqual(refused.json["error"]["name"], "CONFIG_REVERTED")
            self.assertEqual(refused.json["error"]["version"], version + 1)
        republished = await operators.request("vm-palermo", "POST", "/admin/config/republish")
        self.assertEqual((republished.status, republished.json), (200, {"version": version + 1}))
        answer = await operators.patch(VM_LOST, version + 1, "goes-on")
        self.assertEqual((answer.status, answer.json), (200, {"version": version + 2}))
