"""Running agents: join, loss, planned stop, drains, and datagrams that are not signed or forged."""

import os
import socket
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec
import trio

from fescuedock.agent.codec import open_codec
from fescuedock.agent.link import FleetView
from fescuedock.core.membership import Membership
from fescuedock.net.channel import ChannelClient
from fescuedock.net.codec import load_keys
from fescuedock.schema.config import PatchRequest, SubmitPatch, SubmitPatchReply
from fescuedock.schema.membership import DatagramHead, Gossip, MemberState, VmUpdate
from fescuedock.schema.settings import VmSettings
from fescuedock.schema.view import Hello, LeaveRequest, Program, ViewRequest, VmState
from tests.builders.agents import open_agents, wait_until
from tests.builders.standins import run_async


def _known(view: FleetView) -> tuple[set[str], set[str]]:
    """Return the names of the VMs that owners are chosen from, and of the upstreams."""
    return {vm.vm_id for vm in view.live_vms(Program.AGENT)}, set(view.upstreams)


def _owner(view: FleetView, upstream_id: str) -> tuple[str, str, int]:
    """Return the owner's address; other fields, as after a refuted suspicion, may still differ."""
    vm = view.owner_of(upstream_id)
    return vm.vm_id, vm.host, vm.agent_port


def _key_line(name: str) -> str:
    return f"{name} {name.encode().hex() * 4}\n"


class TestAgents(unittest.TestCase):
    def test_programs_see_the_fleet_and_each_other(self) -> None:
        async def check() -> None:
            async with (
                open_agents(3) as fleet,
                fleet.open_link("vm-0") as (_, view),
                fleet.open_link("vm-1", Program.STORE) as (_, other),
            ):
                await wait_until(view, lambda seen: len(seen.live_vms(Program.AGENT)) == 3)
                await wait_until(other, lambda seen: len(seen.live_vms(Program.ENTRY)) == 1)
                await wait_until(view, lambda seen: len(seen.live_vms(Program.STORE)) == 1)
                # Each learns of the third VM at a different time; with equal views they agree.
                await wait_until(other, lambda seen: len(seen.live_vms(Program.AGENT)) == 3)
                await wait_until(other, lambda seen: _known(seen) == _known(view))
                self.assertEqual(8080, view.vms["vm-1"].store_port)
                self.assertEqual(set(fleet.standins.engines), set(view.upstreams) - {"plain-1"})
                for upstream_id in view.upstreams:
                    self.assertEqual(_owner(view, upstream_id), _owner(other, upstream_id))
                self.assertLess(view.membership_age_ms, 60000)

        run_async(check)

    def test_an_update_wakes_a_sleeping_agent(self) -> None:
        async def check() -> None:
            async with open_agents(1) as fleet, fleet.open_link("vm-0") as (_, view):
                await wait_until(view, lambda seen: bool(seen.upstreams), limit_s=3)

        # Nothing is due for the agent itself, and it polls only every eight seconds.
        with (
            mock.patch("fescuedock.agent.membership_service._MAX_SLEEP_MS", 8000.0),
            mock.patch.object(Membership, "schedule", lambda _self, _now_ms, latest_ms: latest_ms),
        ):
            run_async(check)

    def test_a_program_that_is_not_ready_or_silent_gets_no_work(self) -> None:
        ready = [False]

        async def check() -> None:
            async with open_agents(2) as fleet, fleet.open_link("vm-0", Program.STORE) as (_, view):
                async with fleet.open_link("vm-1", ready=lambda: ready[0]) as (link, _):
                    await wait_until(view, lambda seen: "vm-1" in seen.vms)
                    await wait_until(view, lambda seen: seen.vms["vm-1"].entry_port == 8080)
                    self.assertEqual([], view.live_vms(Program.ENTRY))
                    ready[0] = True
                    self.assertTrue(await link.hello())
                    await wait_until(view, lambda seen: bool(seen.live_vms(Program.ENTRY)))
                # The program has ended without an announcement.
                await wait_until(view, lambda seen: not seen.vms["vm-1"].entry_port)

        run_async(check)

    def test_planned_stop_is_announced_and_the_agent_answers_until_it_spread(self) -> None:
        async def check() -> None:
            async with open_agents(3) as fleet, fleet.open_link("vm-0") as (_, view):
                await wait_until(view, lambda seen: len(seen.live_vms(Program.AGENT)) == 3)
                leaving = fleet.agents["vm-2"]
                codec = open_codec(leaving.settings.vm)
                async with ChannelClient.open(leaving.address, codec) as client:
                    leaving.stop.request()
                    await wait_until(view, lambda seen: _is_leaving(seen, "vm-2"))
                    owners = {view.owner_of(name).vm_id for name in view.upstreams}
                    self.assertNotIn("vm-2", owners)
                    reply = await client.call(ViewRequest(), 5000)
                    self.assertIs(VmState.LEAVING, _own_state(reply.unwrap(), "vm-2"))
                await wait_until(view, lambda seen: "vm-2" not in seen.vms)
                with trio.fail_after(10):
                    await leaving.ended.wait()

        run_async(check)

    def test_leave_request_keeps_the_agent_running(self) -> None:
        async def check() -> None:
            async with open_agents(2) as fleet, fleet.open_link("vm-0") as (_, view):
                await wait_until(view, lambda seen: len(seen.live_vms(Program.AGENT)) == 2)
                async with fleet.open_link("vm-1") as (link, own):
                    self.assertTrue((await link.call(LeaveRequest("replaced"))).is_ok())
                    await wait_until(own, lambda seen: _is_leaving(seen, "vm-1"))
                    await wait_until(view, lambda seen: _is_leaving(seen, "vm-1"))
                self.assertFalse(fleet.agents["vm-1"].ended.is_set())

        run_async(check)

    def test_a_killed_agent_is_removed_and_a_new_one_joins(self) -> None:
        async def check() -> None:
            async with open_agents(3) as fleet, fleet.open_link("vm-0") as (_, view):
                await wait_until(view, lambda seen: len(seen.live_vms(Program.AGENT)) == 3)
                fleet.agents["vm-2"].scope.cancel()
                await wait_until(view, lambda seen: "vm-2" not in seen.vms)
                await fleet.start(3, listed=False)
                # It knows only the VM list, and is itself on no VM list.
                await wait_until(view, lambda seen: "vm-3" in seen.vms)
                await fleet.start(2)
                await wait_until(view, lambda seen: "vm-2" in seen.vms)

        run_async(check)

    def test_leaving_upstreams_are_shown_by_list_and_by_operator(self) -> None:
        async def check() -> None:
            async with open_agents(2) as fleet, fleet.open_link("vm-0") as (link, view):
                await wait_until(view, lambda seen: len(seen.upstreams) > 2)
                first, second, *_ = sorted(view.upstreams)
                fleet.standins.vm_list.mark_leaving(first)
                await wait_until(view, lambda seen: seen.upstreams[first].leaving)
                self.assertFalse(view.upstreams[second].leaving)
                patch = {"upstreams": {second: {"drain": True}}}
                request = PatchRequest(view.config_version, "drain-1", patch)
                reply = (await link.call(SubmitPatch(request), 8000)).unwrap()
                self.assertIsInstance(reply, SubmitPatchReply)
                self.assertEqual((0, []), (reply.code, reply.problems))
                await wait_until(view, lambda seen: seen.upstreams[second].leaving)

        run_async(check)


class TestForgedMessages(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.key_file = Path(folder.name) / "keys"
        self.key_file.write_text(_key_line("old1"), encoding="ascii")

    def test_forged_datagrams_and_messages_are_ignored(self) -> None:
        async def check() -> None:
            async with open_agents(2, key_file=str(self.key_file)) as fleet:
                agent = fleet.agents["vm-0"]
                async with fleet.open_link("vm-0", Program.STORE) as (_, view):
                    await wait_until(view, lambda seen: len(seen.live_vms(Program.AGENT)) == 2)
                    self._send_forged_datagrams(agent)
                    unsigned = open_codec(VmSettings("x", "127.0.0.1", "r", "d"))
                    async with ChannelClient.open(agent.address, unsigned) as client:
                        hello = Hello(Program.ENTRY, 9, True)
                        self.assertTrue((await client.call(hello, 500)).is_err())
                        self.assertTrue((await client.call(LeaveRequest(), 500)).is_err())
                    states = {vm.vm_id: vm.state for vm in view.vms.values()}
                    self.assertEqual(dict.fromkeys(("vm-0", "vm-1"), VmState.ALIVE), states)
                    self.assertEqual(0, view.vms["vm-0"].entry_port)
                    self.assertLess(view.vms["vm-1"].incarnation, 2**50)

        run_async(check)

    def _send_forged_datagrams(self, agent) -> None:
        unsigned = open_codec(VmSettings("x", "127.0.0.1", "r", "d"))
        head = DatagramHead("vm-1", "vm-0", 1, 1, 0)
        gone = Gossip(head, [VmUpdate("vm-1", 2**50, MemberState.GONE, ["vm-1"])])
        forged = [unsigned.encode(gone), b"", os.urandom(1200), os.urandom(9000)]
        signed = open_codec(msgspec.structs.replace(agent.settings.vm))
        forged.append(signed.encode(gone))
        forged.append(
            signed.encode(Gossip(head, [VmUpdate(f"vm-{n}", n, "alive") for n in range(90)]))
        )
        self.assertGreater(len(forged[-1]), 1200)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in forged:
                sender.sendto(data, (agent.address.host, agent.address.port))

    def test_keys_are_rotated_with_two_in_force(self) -> None:
        async def check() -> None:
            async with open_agents(2, key_file=str(self.key_file)) as fleet:
                # First VMs accept the new key in addition; then they sign with it.
                for number, names in ((2, ("old1", "new2")), (3, ("new2", "old1"))):
                    keys = self.key_file.with_name(f"keys-{number}")
                    keys.write_text("".join(map(_key_line, names)), encoding="ascii")
                    self.assertEqual(list(names), [key.name for key in load_keys(keys)])
                    await fleet.start(number, key_file=str(keys))
                all_vms = {"vm-0", "vm-1", "vm-2", "vm-3"}
                for vm_id, seen_by_it in (("vm-2", all_vms), ("vm-0", all_vms - {"vm-3"})):
                    async with fleet.open_link(vm_id, Program.STORE) as (_, view):
                        await wait_until(view, lambda seen, ids=seen_by_it: ids <= set(seen.vms))

        run_async(check)


def _is_leaving(view: FleetView, vm_id: str) -> bool:
    return vm_id in view.vms and view.vms[vm_id].state is VmState.LEAVING


def _own_state(reply, vm_id: str) -> VmState:
    return next(vm.state for vm in reply.vms if vm.vm_id == vm_id)


if __name__ == "__main__":
    unittest.main()
