"""Which nodes watch the store, and how the other nodes receive changes."""

import unittest

import trio

from fescuedock.core.watch_duty import WatchDuty
from fescuedock.schema.view import VmRecord, VmState
from fescuedock.standin.kv_faults import CallKind
from tests.builders.node import NodeFleet, config_document, running_fleet
from tests.builders.standins import run_async


def vm(name: str, domain: str, state: VmState = VmState.ALIVE) -> VmRecord:
    return VmRecord(name, "caldas", domain, "10.0.0.1", 1, state, agent_port=7000)


class WatchDutyTest(unittest.TestCase):
    def watchers(self, vms: list[VmRecord], prefix: str = "a/") -> list[str]:
        return [
            item.vm_id
            for item in vms
            if WatchDuty(item.vm_id, item.region, item.failure_domain).watches(prefix, vms)
        ]

    def test_one_node_of_a_small_region_watches(self) -> None:
        vms = [vm(f"n-{number}", f"d-{number % 3}") for number in range(9)]
        self.assertEqual(len(self.watchers(vms)), 1)
        names = {name for prefix in "abcdefgh" for name in self.watchers(vms, prefix)}
        self.assertGreater(len(names), 1)

    def test_one_node_of_each_failure_domain_of_a_large_region_watches(self) -> None:
        vms = [vm(f"n-{number}", f"d-{number % 3}") for number in range(60)]
        self.assertEqual(len(self.watchers(vms)), 3)
        duty = WatchDuty("n-0", "caldas", "d-0")
        self.assertEqual({item.failure_domain for item in duty.recipients(vms)}, {"d-0"})

    def test_a_leaving_node_receives_updates_but_does_not_watch(self) -> None:
        vms = [vm("n-0", "d", VmState.LEAVING), vm("n-1", "d")]
        self.assertEqual(self.watchers(vms), ["n-1"])
        self.assertEqual(
            [item.vm_id for item in WatchDuty("n-1", "caldas", "d").recipients(vms)], ["n-0"]
        )

    def test_a_node_that_knows_no_other_node_watches_for_itself(self) -> None:
        self.assertTrue(WatchDuty("n-0", "caldas", "d").watches("a/", []))


class UpdateBroadcastTest(unittest.TestCase):
    def run_fleet(self, test, **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                async with running_fleet(**options) as fleet:
                    await test(fleet)

        run_async(run)

    async def wait_route_served(self, fleet: NodeFleet, path: str) -> None:
        """Wait until every node serves ``path``."""
        for node in fleet.nodes:
            await fleet.wait_status(node.front, path, 200)

    def test_a_new_route_soon_applies_at_every_node(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            document = config_document(2)
            document["routes"].append(document["routes"][0] | {"name": "new", "prefix": "/new/"})
            fleet.configure(document)
            with trio.fail_after(1.0):
                await self.wait_route_served(fleet, "/new/1")

        self.run_fleet(test, nodes=3)

    def test_calls_for_changes_do_not_grow_with_the_nodes(self) -> None:
        counts = []

        async def test(fleet: NodeFleet) -> None:
            await trio.sleep(1.0)
            before = fleet.store.faults.calls[CallKind.WATCH]
            await trio.sleep(1.5)
            counts.append(fleet.store.faults.calls[CallKind.WATCH] - before)

        self.run_fleet(test, nodes=1)
        self.run_fleet(test, nodes=4)
        self.assertLess(counts[1], 2 * counts[0])

    def test_when_the_watching_node_is_killed_the_others_still_receive_updates(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            fleet.nodes.pop(0).kill()
            for version in (2, 3):
                document = config_document(version)
                route = document["routes"][0] | {"name": "n", "prefix": f"/new-{version}/"}
                document["routes"].append(route)
                fleet.configure(document)
                with trio.fail_after(2.0):
                    await self.wait_route_served(fleet, f"/new-{version}/1")

        self.run_fleet(test, nodes=3)

    def test_an_older_configuration_is_never_applied(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            document = config_document(5)
            document["routes"].append(document["routes"][0] | {"name": "n", "prefix": "/new/"})
            fleet.configure(document)
            await self.wait_route_served(fleet, "/new/1")
            fleet.configure(config_document(4))
            await trio.sleep(0.8)
            for node in fleet.nodes:
                answer = await fleet.call(node.front, "POST", "/new/1", b"x")
                self.assertEqual(answer.status, 200)

        self.run_fleet(test, nodes=2)

    def test_after_a_compaction_the_state_is_read_again(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            fleet.store.faults.delay_ms = 30
            document = config_document(2)
            document["routes"].append(document["routes"][0] | {"name": "n", "prefix": "/new/"})
            fleet.configure(document)
            fleet.store.state.compact(fleet.store.state.revision)
            fleet.store.cut_watches()
            with trio.fail_after(3.0):
                await self.wait_route_served(fleet, "/new/1")

        self.run_fleet(test, nodes=2)


if __name__ == "__main__":
    unittest.main()
