"""Which neighbours can say that a node's old knowledge still holds while it misses the store."""

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
    """The store turned away some nodes and served others, among them the one that ended a job.

    The owner of the job asked a neighbour that the store turned away as well.  Its answer held
    nothing, as it knew less than the owner, and passed for word that there was nothing newer: the
    owner went on beginning items of the job for as long as it asked only such neighbours.
    """

    def agreed_after_asking(self, neighbour_revision: int | None) -> bool:
        """Ask a neighbour whose table is as of a revision; return whether it counts as agreed."""
        agreed: list[bool] = []

        async def run() -> None:
            asking, telling = self.replicas(), self.replicas()
            asking.tables[PREFIX].replace([KvEntry("live/a", b"x", 7)], 9, now_ms())
            if neighbour_revision is not None:
                telling.tables[PREFIX].replace([], neighbour_revision, now_ms())

            async def call(
                _address: Address, message: msgspec.Struct, _timeout_ms: float
            ) -> Result:
                return Ok(await telling.handlers()[ReplicaRequest](message, None))

            asking._call_neighbour = call
            await asking._query(NEIGHBOUR)
            agreed.append(asking.agreed_age_ms(PREFIX) < float("inf"))

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
        self.assertTrue(self.agreed_after_asking(9))

    def test_a_neighbour_that_knows_less_does_not_agree(self) -> None:
        self.assertFalse(self.agreed_after_asking(5))

    def test_a_neighbour_that_has_just_started_and_knows_nothing_does_not_agree(self) -> None:
        self.assertFalse(self.agreed_after_asking(None))


if __name__ == "__main__":
    unittest.main()
