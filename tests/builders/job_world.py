"""Three nodes, each with a way of its own to one store, and a record of all items that began."""

import random
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from unittest import mock

import trio

from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.node import job_runner, spools
from fescuedock.platform.standin.metadata_store import MetadataStoreService
from fescuedock.standin.kv_faults import CallKind, LostAnswer
from tests.builders.net import LOOPBACK
from tests.builders.node import NodeFleet, RunningNode, running_fleet
from tests.builders.online import wait_until

__all__ = [
    "NODES",
    "Begun",
    "JobWorld",
    "Step",
    "lost_answer",
    "noted_runs",
    "random_steps",
    "running_world",
]

NODES = 3
# The kinds of calls that a store may be slow for, one at a time.
_SLOW_KINDS = (CallKind.GET, CallKind.RANGE, CallKind.PUT, CallKind.WATCH)
# Longer than the nodes' timeout of a call, and shorter: 300 ms.
_SLOW_MS = (150.0, 600.0)
_SPOOLS = 2
# What a step is called, and how often it is chosen.
_KINDS = {
    "submit": 6,
    "submit_lost": 2,
    "submit_turned_away": 3,
    "end": 6,
    "end_lost": 2,
    "kill": 2,
    "stop": 2,
    "slow": 2,
    "turn_away": 2,
    "silence": 1,
    "forget": 1,
    "away": 1,
    "mend": 3,
    "pause": 3,
}

_KEYS = JobKeys("fescuedock/")


@dataclass(frozen=True, slots=True)
class Step:
    """One step: what is done, with which job, at which node, and with which of its variants."""

    kind: str
    job: int
    node: int
    variant: int


@dataclass(frozen=True, slots=True)
class Begun:
    """A run that began: its job, the epoch that its node believed in, and trio's time."""

    job_id: str
    epoch: int
    at_s: float


@dataclass(slots=True)
class JobWorld:
    """The fleet, and each node's way to the store, which has faults of its own."""

    fleet: NodeFleet
    ways: list[MetadataStoreService] = field(default_factory=list)

    def live(self, number: int) -> RunningNode:
        """Return the node of that number, or the next one that runs."""
        nodes = [self.fleet.nodes[(number + offset) % NODES] for offset in range(NODES)]
        return next(node for node in nodes if node not in self.gone())

    def way_of(self, node: RunningNode) -> MetadataStoreService:
        return self.ways[self.fleet.nodes.index(node)]

    def gone(self) -> list[RunningNode]:
        """Return the nodes that were killed, or asked to stop."""
        return [node for node in self.fleet.nodes if node.stop.requested or node.ended.is_set()]

    async def restart_gone(self) -> None:
        """Start the nodes again that are gone, under their names."""
        for node in self.gone():
            await self.fleet.restart(node)

    def break_way(self, step: Step) -> None:
        """Harm the way of a node to the store, or the store itself, until ``mend``."""
        way = self.ways[step.node]
        match step.kind:
            case "slow":
                kind = _SLOW_KINDS[step.variant % len(_SLOW_KINDS)]
                way.faults.delays_ms[kind] = _SLOW_MS[step.variant % len(_SLOW_MS)]
            case "turn_away":
                way.refuse_status = 429
            case "silence":
                way.faults.silent = True
            case "forget":
                self.fleet.store.state.compact(self.fleet.store.state.revision)
            case "away":
                for each in (*self.ways, self.fleet.store):
                    each.refuse_status = 503

    def mend(self) -> None:
        for way in (*self.ways, self.fleet.store):
            way.faults.clear()
            way.refuse_status = 0


def random_steps(seed: int, count: int) -> list[Step]:
    """Return steps by chance, the same for a seed."""
    rng = random.Random(seed)
    kinds = rng.choices(list(_KINDS), list(_KINDS.values()), k=count)
    return [Step(kind, rng.randrange(2), rng.randrange(NODES), rng.randrange(24)) for kind in kinds]


def lost_answer(step: Step) -> LostAnswer:
    """Return which answer of the store a step loses."""
    choices = list(LostAnswer)
    return choices[step.variant % len(choices)]


@contextmanager
def noted_runs() -> Iterator[list[Begun]]:
    """Note each run as its node begins it, with the epoch under which it does."""
    begun: list[Begun] = []
    run_item = job_runner.run_item

    async def note_and_run(http, job, *rest: object) -> object:
        begun.append(Begun(job.job_id, job.epoch, trio.current_time()))
        return await run_item(http, job, *rest)

    # How soon a disk has to answer is not tested with these worlds, of which several run at once.
    patience = mock.patch.object(spools, "_COPY_TIMEOUT_MS", 1000.0)
    with mock.patch.object(job_runner, "run_item", note_and_run), patience:
        yield begun


@asynccontextmanager
async def running_world(folder: Path, event_interval_ms: float) -> AsyncIterator[JobWorld]:
    """Run three nodes before slow upstreams, with two spools, while the block runs."""
    async with running_fleet(nodes=0) as fleet:
        world = JobWorld(fleet)
        for upstream in fleet.upstreams:
            upstream.event_interval_ms = event_interval_ms
        for number in range(NODES):
            way = MetadataStoreService(state=fleet.store.state)
            await fleet.nursery.start(way.run, LOOPBACK)
            world.ways.append(way)
            await fleet.start_node(number, store_address=str(way.address), lease_ttl_ms=1000)
        for number in range(_SPOOLS):
            await fleet.start_spool(number, folder / str(number))
        keys = [f"{_KEYS.spools}spool-{number}" for number in range(_SPOOLS)]
        await wait_until(lambda: all(fleet.store.state.get(key) for key in keys))
        await fleet.wait_ready()
        yield world
