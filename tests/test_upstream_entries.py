"""How a node reads the entries below the upstreams' prefix, including those it cannot decode."""

import json
import unittest
from unittest.mock import patch

from fescuedock.core.forwarding.route_table import ServiceTerms
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.kv import KvEntry
from fescuedock.node import upstream_entries
from fescuedock.node.upstream_entries import UpstreamEntries
from tests.builders.node import SERVICE, worker_entry


class UpstreamEntriesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.terms = {SERVICE: ServiceTerms(SERVICE, slots=5)}
        self.table = ReplicaTable("servers/")
        self.entries = UpstreamEntries("r", lambda: self.terms)
        self.logged: list[tuple[str, str]] = []
        patcher = patch.object(upstream_entries, "log_event", self.log)
        patcher.start()
        self.addCleanup(patcher.stop)

    def log(self, name: str, **fields: str) -> None:
        self.logged.append((name, fields["key"]))

    def put(self, name: str, value: bytes, revision: int) -> None:
        self.table.record_entry(KvEntry(f"servers/{name}", value, revision))

    def put_worker(self, name: str, revision: int, **changes: object) -> None:
        self.put(name, json.dumps(worker_entry("10.0.0.9:80", **changes)).encode(), revision)

    def test_an_entry_names_an_upstream_only_while_it_can_be_read(
        self,
    ) -> None:
        self.put_worker("good", 1)
        for revision, bad in ((2, b"\xff"), (3, b"\xff"), (6, b"{}")):
            self.put("odd", bad, revision)
            self.assertEqual(list(self.entries.read(self.table)), ["good"])
        self.put_worker("odd", 7)
        self.assertEqual(sorted(self.entries.read(self.table)), ["good", "odd"])
        self.put("odd", b"{}", 8)
        self.assertEqual(list(self.entries.read(self.table)), ["good"])

    def test_why_an_entry_is_not_used_is_logged_once(self) -> None:
        for revision in range(1, 5):
            self.put("odd", b"\xff", revision)
            self.entries.read(self.table)
        self.assertEqual(self.logged, [("upstream_unreadable", "servers/odd")])

    def test_a_service_that_the_configuration_does_not_have_names_none_until_it_has(self) -> None:
        self.put_worker("early", 1, service="other")
        self.assertEqual(self.entries.read(self.table), {})
        self.terms = self.terms | {"other": ServiceTerms("other")}
        self.assertEqual(list(self.entries.read(self.table)), ["early"])

    def test_an_upstream_without_slots_has_those_of_its_service(self) -> None:
        self.put_worker("plain", 1, slots=0)
        self.assertEqual(self.entries.read(self.table)["plain"].slots, 5)

    def test_a_restarted_upstream_replaces_its_former_incarnation(self) -> None:
        self.put_worker("same", 1, born=1000)
        before = self.entries.read(self.table)
        self.put_worker("same", 2, born=2000)
        after = self.entries.read(self.table)
        self.assertEqual((len(before), len(after)), (1, 1))
        self.assertFalse(before.keys() & after.keys())
