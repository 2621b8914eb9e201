"""Which neighbours can confirm a node's table while that node cannot reach the store."""

import random
import unittest

import msgspec
import trio
import trio.testing
from result import Ok, Result

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.kv import KvEntry
from fescuedock.node.replicas import Replicas, WatchedPrefix
from fescuedock.schema.replicas import ReplicaRequest
from tests.test_replica_knowledge import NEIGHBOUR, UNAVAILABLE, FakeBroadcaster, FakeStore

PREFIX = "live/"


class AgreementTest(unittest.TestCase):
    """The store rejects some nodes and serves others, among them the one that ends a job.

    The job's owner queries a neighbour that the store rejects too.  As that knows less than the
    owner, its reply is empty; if that counts as confirmation that nothing is newer, the owner
    keeps starting items of the ended job for as long as it queries only such neighbours.
    """

    def agrees_after_request(self, neighbour_revision: int | None) -> bool:
        """Query a neighbour with a table of that revision; return whether it confirmed the own one.

        ``None`` stands for a neighbour whose table was never filled.
        """
        agreed: list[bool] = []

        async def run() -> None:
            requester, neighbour = self.replicas(), self.replicas()
            requester.tables[PREFIX].replace([KvEntry("live/a", b"x", 7)], 9, now_ms())
            if neighbour_revision is not None:
                neighbour.tables[PREFIX].replace([], neighbour_revision, now_ms())

            async def call(
                _address: Address, message: msgspec.Struct, _timeout_ms: float
            ) -> Result:
                return Ok(await neighbour.handlers()[ReplicaRequest](message, None))

            requester._call_neighbour = call
            await requester._query(NEIGHBOUR)
            agreed.append(requester.agreed_age_ms(PREFIX) < float("inf"))

        trio.run(run, clock=trio.testing.MockClock())
        return agreed[0]

    def replicas(self) -> Replicas:
        async def silent(*_call: object) -> object:
            return UNAVAILABLE

        return Replicas(
            FakeStore(0.0, UNAVAILABLE),
            [WatchedPrefix(PREFIX, 900, 300)],
            silent,
            lambda: (NEIGHBOUR,),
            FakeBroadcaster(),
            random.Random(1),
        )

    def test_a_neighbour_that_knows_the_same_agrees(self) -> None:
        self.assertTrue(self.agrees_after_request(9))

    def test_a_neighbour_that_knows_less_does_not_agree(self) -> None:
        self.assertFalse(self.agrees_after_request(5))

    def test_a_neighbour_that_has_just_started_and_knows_nothing_does_not_agree(self) -> None:
        self.assertFalse(self.agrees_after_request(None))


if __name__ == "__main__":
    unittest.main()
