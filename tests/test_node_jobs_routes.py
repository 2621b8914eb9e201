"""A node gives up items of a missing route only if its configuration is certainly current."""

import json
import unittest
from unittest import mock

import trio
import trio.testing

from fescuedock.clock import now_ms
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.kv import KvEntry
from fescuedock.node import job_runner
from fescuedock.node.configuration import NodeConfiguration
from fescuedock.node.job_store import JobStore
from fescuedock.platform import records
from tests.builders.node import config_document
from tests.builders.runner_simulation import RunnerSimulation, items_of

# Time since the configuration was last confirmed.
OLD_MS = 20_000.0


class OldRoutesTest(unittest.TestCase):
    """A route was added, a job of it was accepted, and the owner of the job was lost.

    The claiming node had started while the store refused its reads, and had an old configuration
    from a neighbour.  It considered the route removed and listed all items as given up, which no
    newer configuration reverts.
    """

    def listed_after(self, *, confirmed: bool) -> int:
        """Return how many results a node lists for a job whose route its configuration lacks."""
        listed: list[int] = []

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                simulation = RunnerSimulation(nursery, [0, 0, 0], 0.6)
                with mock.patch.object(job_runner, "run_item", simulation.run_item):
                    simulation.start()
                    await trio.sleep(0.3)
                    node = simulation.nodes[0]
                    table = self.old_table()
                    if confirmed:
                        nursery.start_soon(self.confirm, table)
                    node.runner._configuration = self.configuration(table)
                    await node.submit("j0", items_of("j0", 4))
                    await trio.sleep(6.0)
                    store: JobStore = node.store
                    listed.append((await store.read_record("j0")).unwrap().record.listed)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return listed[0]

    def old_table(self) -> ReplicaTable:
        table = ReplicaTable(records.OPERATOR_PREFIX)
        document = config_document(routes=[])
        entry = KvEntry(records.CONFIG_KEY, json.dumps(document).encode(), 1)
        table.replace([entry], 1, now_ms() - OLD_MS)
        return table

    async def confirm(self, table: ReplicaTable) -> None:
        while True:
            table.confirm(now_ms())
            await trio.sleep(0.2)

    def configuration(self, table: ReplicaTable) -> NodeConfiguration:
        configuration = NodeConfiguration(table, records.CONFIG_KEY, records.read_route_table)
        self.assertTrue(configuration.refresh())
        return configuration

    def test_items_whose_route_was_removed_are_given_up(self) -> None:
        self.assertEqual(self.listed_after(confirmed=True), 4)

    def test_an_unconfirmed_configuration_gives_up_no_items(self) -> None:
        self.assertEqual(self.listed_after(confirmed=False), 0)


if __name__ == "__main__":
    unittest.main()
