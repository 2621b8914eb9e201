"""Commits of one job's results that overlap, and readers that know part of a group."""

import unittest
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from unittest import mock

import eliot
import msgspec
import trio
from result import Ok, Result

from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.faults import Fault
from fescuedock.kv import KvTransaction
from fescuedock.net.http_server import Request, Responder
from fescuedock.node.job_store import JobStore, VersionedRecord
from fescuedock.platform.standin.event_upstream import EventUpstream
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import ResultGroup, StoredResult
from fescuedock.standin.kv_faults import CallKind
from fescuedock.standin.kv_state import KvState
from tests.builders.forwarding import job_record
from tests.builders.jobs_calls import JOB, read_page, submit
from tests.builders.metadata_store import open_store, running_store
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.online import wait_until
from tests.builders.standins import run_async

_KEYS = JobKeys("fescuedock/")
_LATE_S = 0.15


class LateItemUpstream(EventUpstream):
    """Runs the item ``late`` later than all others, or once ``gate`` is set."""

    gate: trio.Event | None = None

    async def handle(self, request: Request, responder: Responder) -> None:
        if request.path.endswith("/late"):
            if self.gate is None:
                await trio.sleep(_LATE_S)
            else:
                await self.gate.wait()
        await super().handle(request, responder)


@contextmanager
def recorded_groups() -> Iterator[dict[str, set[bytes]]]:
    """Record the values that are written to the key of each group of results."""
    found: dict[str, set[bytes]] = defaultdict(set)
    transact = KvState.transact

    def record_and_transact(state: KvState, transaction: KvTransaction) -> int:
        revision = transact(state, transaction)
        for key, value in transaction.writes.items():
            if revision and key.startswith(_KEYS.results(JOB)):
                found[key].add(value)
        return revision

    with mock.patch.object(KvState, "transact", record_and_transact):
        yield found


@contextmanager
def ended_items() -> Iterator[list[str]]:
    """Record the items whose runs a node logs as whole."""
    found: list[str] = []

    def record(line: dict[str, object]) -> None:
        if line["message_type"] == "item_run" and line["end"] == "whole":
            found.append(line["item_id"])

    eliot.add_destinations(record)
    # The first destination also gets the lines of earlier tests.
    found.clear()
    try:
        yield found
    finally:
        eliot.remove_destination(record)


async def read_from(fleet: NodeFleet, number: int, count: int) -> list[str]:
    """Return the items of the first ``count`` results that a node lists, within 3 s."""
    front = fleet.nodes[number].front
    with trio.move_on_after(3):
        while True:
            found: list[str] = []
            while True:
                answer = await read_page(fleet, front, after=len(found))
                page = answer.json()["results"] if answer.status == 200 else []
                if not page:
                    break
                found += [item["id"] for item in page]
            if len(found) >= count:
                break
            await trio.sleep(0.05)
    return found


class ConcurrentCommitsTest(unittest.TestCase):
    def run_fleet(self, test: Callable[[NodeFleet], Awaitable[None]], **options: object) -> None:
        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(
                    nodes=2, upstream_type=LateItemUpstream, **options
                ) as fleet:
                    await test(fleet)

        run_async(run)

    # A node that stops during a commit must not list other results at the same position.
    def test_a_stop_during_a_commit_lists_each_position_once(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first = fleet.nodes[0]
            self.assertEqual((await submit(fleet, first.front, "early", "late")).status, 202)
            fleet.store.faults.delays_ms[CallKind.PUT] = 270.0
            await wait_until(lambda: "late" in ended)
            first.stop.request()
            await first.ended.wait()
            fleet.store.faults.clear()
            self.assertEqual(set(await read_from(fleet, 1, 2)), {"early", "late"})
            self.assertEqual([len(values) for values in groups.values()], [1, 1])
            self.assertEqual(fleet.upstream_runs("late"), 1)

        with recorded_groups() as groups, ended_items() as ended:
            self.run_fleet(test, store_timeout_ms=1000)

    # A group that was written again with more results hid those from readers of the shorter one.
    def test_a_reader_that_knows_part_of_a_group_lists_the_rest(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            first = fleet.nodes[0]
            gate = trio.Event()
            for upstream in fleet.upstreams:
                upstream.gate = gate
            self.assertEqual((await submit(fleet, first.front, "early", "late")).status, 202)
            self.assertEqual(await read_from(fleet, 1, 1), ["early"])
            gate.set()
            self.assertEqual(await read_from(fleet, 0, 2), ["early", "late"])
            state = fleet.store.state
            keys = [_KEYS.group(JOB, position) for position in range(2)]
            results = [
                result
                for key in keys
                for result in msgspec.msgpack.decode(state.get(key).value, type=ResultGroup).results
            ]
            state.put(keys[0], msgspec.msgpack.encode(ResultGroup(0, results)))
            state.delete(keys[1])
            first.kill()
            await first.ended.wait()
            self.assertEqual(await read_from(fleet, 1, 2), ["early", "late"])

        self.run_fleet(test)


class CommitTest(unittest.TestCase):
    def commit_after(self, stored: list[str], wanted: list[str]) -> Result[VersionedRecord, Fault]:
        """Commit results at position 0 where ``stored`` are listed since the record was read."""
        found: list[Result[VersionedRecord, Fault]] = []

        async def run() -> None:
            async with running_store() as service, open_store(service) as kv:
                store = JobStore(kv, _KEYS, 65536)
                record = job_record(JOB, total=4, owner_id="n", owner_boot=1)
                accepted = (await store.accept(record, [])).ok_value
                for names in (stored, wanted):
                    listed = msgspec.structs.replace(accepted.record, listed=len(names))
                    group = ResultGroup(0, [StoredResult(name, True, "x") for name in names])
                    with trio.fail_after(5):
                        found.append(await store.commit(listed, accepted.revision, group))
                [group] = (await store.read_groups(JOB, 0)).ok_value
                self.assertEqual([item.item_id for item in group.results], stored)

        run_async(run)
        return found[1]

    def test_a_repeated_commit_is_done(self) -> None:
        self.assertIsInstance(self.commit_after(["a", "b"], ["a", "b"]), Ok)

    # Results at a listed position must stay, whatever the number of other results.
    def test_a_commit_of_other_results_conflicts(self) -> None:
        for wanted in (["a"], ["b", "a"], ["a", "c"], ["a", "b", "c"]):
            with self.subTest(wanted=wanted):
                fault = self.commit_after(["a", "b"], wanted).err_value
                self.assertIs(fault.code, ResultCode.KV_CONFLICT)


if __name__ == "__main__":
    unittest.main()
