"""The node's list of its fleet, made from its replicas: the same object while nothing changes."""

import unittest
from unittest.mock import patch

import trio

from fescuedock.core.kv_availability import KvAvailability
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.kv import KvEntry
from fescuedock.node import fleet
from fescuedock.node.fleet import NodeList
from fescuedock.schema.view import UpstreamKind, UpstreamRecord
from tests.builders.standins import run_async

NODES, UPSTREAMS = "live/", "servers/"


def read_upstreams(table: ReplicaTable) -> dict[str, UpstreamRecord]:
    """Read entries of the form STATE:BEAT, of which only the state is a change."""
    return {
        entry.key: UpstreamRecord(
            upstream_id=entry.key,
            kind=UpstreamKind.ENGINE,
            service="desk",
            host="127.0.0.1",
            port=1,
            region="r",
            failure_domain="d",
            leaving=entry.value.startswith(b"leaving"),
        )
        for entry in table.entries.values()
    }


class NodeListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.nodes, self.upstreams = ReplicaTable(NODES), ReplicaTable(UPSTREAMS)
        self.nodes.replace([], 1, 0.0)
        self.changed = trio.Event()
        kv_availability = KvAvailability()
        self.list = NodeList(
            self.nodes,
            NODES,
            self.upstreams,
            kv_availability,
            read_upstreams,
            self.wait_changed,
            lambda: 1,
        )

    async def wait_changed(self, _version: int) -> int:
        await self.changed.wait()
        return self.upstreams.version

    def put(self, value: bytes, revision: int) -> None:
        self.upstreams.record_entry(KvEntry("servers/a", value, revision))

    def test_a_heartbeat_makes_no_new_list_and_a_change_of_state_does(self) -> None:
        async def run() -> None:
            self.put(b"ready:1", 2)
            first = (await self.list.read()).ok_value
            self.put(b"ready:2", 3)
            self.assertIs((await self.list.read()).ok_value, first)
            self.put(b"leaving:3", 4)
            second = (await self.list.read()).ok_value
            self.assertIsNot(second, first)
            self.assertTrue(second.upstreams[0].leaving)

        run_async(run)

    def test_a_node_s_record_that_cannot_be_read_names_none_and_is_logged_once(self) -> None:
        logged: list[str] = []

        def log(name: str, **_fields: object) -> None:
            logged.append(name)

        async def run() -> None:
            self.nodes.record_entry(KvEntry("live/odd", b"\xff", 2))
            for revision in (3, 4):
                self.put(b"ready:1", revision)
                self.assertEqual((await self.list.read()).ok_value.vms, ())

        with patch.object(fleet, "log_event", log):
            run_async(run)
        self.assertEqual(logged.count("node_unreadable"), 1)

    def test_a_change_is_due_at_once_and_the_end_of_a_grace_period_soon(self) -> None:
        async def run() -> None:
            began_s = trio.current_time()
            await self.list.wait_due()
            waited_s = trio.current_time() - began_s
            self.assertGreater(waited_s, 0.2)
            self.assertLess(waited_s, 0.6)
            self.changed.set()
            began_s = trio.current_time()
            await self.list.wait_due()
            self.assertLess(trio.current_time() - began_s, 0.1)

        run_async(run)


if __name__ == "__main__":
    unittest.main()
