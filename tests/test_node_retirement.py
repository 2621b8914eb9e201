"""The status of a spool machine that is being drained: an outdated status is not written."""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
import trio.testing

from fescuedock.agent.link import FleetView
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.kv import KvEntry
from fescuedock.node.retirement import Retirement
from fescuedock.platform import records
from fescuedock.schema.view import Program, VmRecord, VmState
from tests.builders.kv import MemoryKv

MACHINE = "store-1"
STATUS = records.retirement_status_key(MACHINE)
REQUEST = f"{records.OPERATOR_PREFIX}retire/{MACHINE}"


@dataclass
class FakeReplicas:
    """Stands in for ``Replicas``: knows the operator's keys, which do not change."""

    version: int = 1
    tables: dict[str, ReplicaTable] = field(default_factory=dict)

    def show(self, revision: int) -> None:
        entry = KvEntry(REQUEST, b'{"deadlineS": 8}', revision)
        table = ReplicaTable(records.OPERATOR_PREFIX)
        table.replace([entry], revision, 0.0)
        self.tables = {records.OPERATOR_PREFIX: table}

    async def wait_changed(self, _seen: int) -> int:
        await trio.sleep_forever()


@dataclass
class FakeSpools:
    """Stands in for ``Spools``: reports pending jobs, after calling ``during_call``."""

    during_call: Callable[[], object]

    async def drain(self, _vm_id: str) -> int:
        await trio.sleep(0.2)
        await self.during_call()
        return 3

    def entry_of(self, _vm_id: str) -> None:
        return None


class OvertakenStatusTest(unittest.TestCase):
    def answer(self, during_call: Callable[[MemoryKv], object], request_revision: int) -> bytes:
        """Answer the request of ``request_revision`` for a while; return the final status."""
        found: list[bytes] = []

        async def run() -> None:
            kv, known = MemoryKv(), FakeReplicas()
            # The request was written at the first revision of the store.
            (await kv.put_if(REQUEST, b"", 0)).unwrap()
            known.show(request_revision)
            view = FleetView("node-1")
            own = VmRecord("node-1", "r1", "d1", "127.0.0.1", 1, VmState.ALIVE, batch_port=1)
            own.ready = [Program.BATCH]
            view.replace(1, [own], [], 0.0)
            spools = FakeSpools(lambda: during_call(kv))
            with trio.move_on_after(0.6):
                await Retirement(kv, known, view, spools).run()
            found.append((await kv.get(STATUS)).unwrap().value)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return found[0]

    async def complete(self, kv: MemoryKv) -> None:
        """Write the status as another node does that finds the machine empty."""
        if (await kv.get(STATUS)).unwrap() is None:
            (await kv.put_if(STATUS, records.encode_retirement_completed(), 0)).unwrap()

    async def nothing(self, _kv: MemoryKv) -> None:
        pass

    def test_pending_jobs_are_reported(self) -> None:
        self.assertEqual(self.answer(self.nothing, 1), records.encode_retirement_running())

    def test_a_machine_that_another_node_found_empty_stays_reported_so(self) -> None:
        self.assertEqual(self.answer(self.complete, 1), records.encode_retirement_completed())

    def test_a_request_after_the_last_status_is_answered_again(self) -> None:
        self.assertEqual(self.answer(self.complete, 100), records.encode_retirement_running())


if __name__ == "__main__":
    unittest.main()
