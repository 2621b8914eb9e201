"""Entries of other writers whose values are out of the range of their field."""

import json
import unittest

import trio
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.core.permits.waiting import MemberShares
from fescuedock.platform import calls, records
from fescuedock.schema.config import Objectives
from fescuedock.schema.settings import PermitSettings
from tests.builders.node import NodeFleet, running_fleet, worker_entry
from tests.builders.odd_values import (
    ODD_INTEGERS,
    check_sendable,
    check_usable,
    json_of,
    odd_values,
)
from tests.builders.standins import run_async

ADDRESS = "127.0.0.9:9"
FIELDS = [*worker_entry(ADDRESS), "born"]


class ForeignEntryTest(unittest.TestCase):
    """A declared integer of any size was taken for a worker's slots.

    The owner of its queue could not encode the reply to any request for a permit, and ended.
    """

    def check_read(self, key: str, entry: dict) -> None:
        result = records.read_upstream(key, json_of(entry), "r")
        if not isinstance(result, Ok):
            return
        upstream = result.ok_value
        check_usable(self, upstream)
        headers = calls.upstream_headers(
            [], left_ms=1, upstream_id=upstream.upstream_id, last_event=0
        )
        check_sendable("/", headers)
        terms = UpstreamTerms(Objectives(), MemberShares({}), slots=upstream.slots, admitting=True)
        queue = UpstreamQueue(upstream.upstream_id, PermitSettings(), terms, 1000, 0.0, 0.0)
        check_usable(self, queue.load(1.0))

    def test_slots_out_of_range_name_no_worker(self) -> None:
        for slots in (10**30, 2**64, 2**63, 10**9, -1, -(10**30), 10**400):
            with self.subTest(slots=str(slots)[:40]):
                value = json_of(worker_entry(ADDRESS, slots=slots))
                self.assertTrue(records.read_upstream("servers/x", value, "r").is_err())

    def test_an_entry_of_each_sound_size_names_a_worker(self) -> None:
        for slots in (0, 1, 8, 4096, 65535):
            value = json_of(worker_entry(ADDRESS, slots=slots))
            self.assertEqual(records.read_upstream("servers/x", value, "r").unwrap().slots, slots)

    def test_an_id_that_no_header_can_name_is_no_worker(self) -> None:
        value = json_of(worker_entry(ADDRESS))
        for name in ("", "a b", "a\r\nb", "é", "a\x00"):
            with self.subTest(name=name):
                self.assertTrue(records.read_upstream(f"servers/{name}", value, "r").is_err())

    @given(st.sampled_from(FIELDS), odd_values())
    def test_what_is_read_can_be_encoded_and_computed_with(self, name: str, value: object) -> None:
        self.check_read("servers/x", worker_entry(ADDRESS) | {name: value})

    @given(st.text(max_size=10))
    def test_what_has_any_id_can_be_named_in_a_request(self, name: str) -> None:
        self.check_read(f"servers/{name}", worker_entry(ADDRESS))

    def test_heartbeats_of_unreadable_entries_are_compared_as_bytes(self) -> None:
        for slots in ODD_INTEGERS:
            value = json_of(worker_entry(ADDRESS, slots=slots))
            self.assertTrue(records.is_heartbeat(value, value))
        deep = b'{"service":' + b"[" * 100_000
        self.assertTrue(records.is_heartbeat(deep, deep))


class ForeignEntryNodeTest(unittest.TestCase):
    def test_a_node_serves_beside_entries_with_numbers_that_no_counter_holds(self) -> None:
        """Each of these ended the node that owned its queue at the first request for a permit."""
        served: list[int] = []

        async def test(fleet: NodeFleet) -> None:
            for number, slots in enumerate((10**30, 2**64, -(10**30), 10**400)):
                entry = worker_entry(ADDRESS, slots=slots)
                fleet.store.state.put(f"servers/odd-{number}", json.dumps(entry).encode())
            await trio.sleep(0.5)
            for _ in range(10):
                answer = await fleet.call(fleet.nodes[0].front, "GET", "/safe/1")
                served.append(answer.status)

        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(nodes=1, upstreams=2) as fleet:
                    await test(fleet)

        run_async(run)
        self.assertEqual(served, [200] * 10)


if __name__ == "__main__":
    unittest.main()
