"""Jobs over three nodes under lost answers and killed nodes, against a simple oracle.

Upstreams are slow, so that items are left when a job ends and the oracle sees late starts.
"""

import tempfile
import unittest
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fescuedock.standin.kv_faults import LostAnswer
from tests.builders.job_harness import (
    JobHarness,
    StartedRun,
    Step,
    lost_answer,
    random_steps,
    recorded_runs,
    running_harness,
)
from tests.builders.jobs_calls import read_page, submit, wanted_text
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.standins import run_async

NODES = 3
ITEMS = ("a", "b", "c")

jobs = st.integers(0, 1)
nodes = st.integers(0, NODES - 1)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("submit"), jobs, nodes),
        st.tuples(st.just("submit_lost"), st.tuples(jobs, st.sampled_from(LostAnswer)), nodes),
        st.tuples(st.just("read"), jobs, nodes),
        st.tuples(st.just("end"), jobs, nodes),
        st.tuples(st.just("lose"), st.sampled_from(LostAnswer), nodes),
        st.tuples(st.just("restart"), jobs, nodes),
    ),
    min_size=3,
    max_size=9,
)


# The users' bound for items that start after the acknowledged end of their job, and for items that
# a former owner starts after the new owner has started one.
MAX_LATE_S = 3.0
# An item takes 0.5 s, and eight run at a time: a job lasts for 4 s.
EVENT_INTERVAL_MS = 100.0
WORK_ITEMS = 64
# Number of runs, each with the steps of its seed, and how many run concurrently: more would delay
# the nodes, since all share one thread.
RUNS = 10
CONCURRENT_RUNS = 2
STEPS = 9
_PAUSES_S = (0.3, 0.8, 1.6, 3.1)


@dataclass
class JobOracle:
    """The answers that clients received about one job."""

    accepted: bool = False
    ended: bool = False
    # Results by position, as first read.
    shown: list[dict] = field(default_factory=list)


class NodeJobsStatefulTest(unittest.TestCase):
    @settings(
        max_examples=12,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(steps)
    def test_promises_to_clients_hold(self, chosen: list[tuple]) -> None:
        async def run() -> None:
            with trio.fail_after(40):
                async with running_fleet(nodes=NODES) as fleet:
                    await self.play(fleet, chosen)

        run_async(run)

    async def play(self, fleet: NodeFleet, chosen: list[tuple]) -> None:
        oracles = [JobOracle(), JobOracle()]
        for kind, argument, number in chosen:
            node = fleet.nodes[number]
            match kind:
                case "submit":
                    await self.submit(fleet, node.front, argument, oracles[argument])
                case "submit_lost":
                    job, when = argument
                    fleet.store.faults.lose_answer(when)
                    await self.submit(fleet, node.front, job, oracles[job])
                case "read":
                    await self.read(fleet, node.front, argument, oracles[argument])
                case "end":
                    await self.end(fleet, node.front, argument, oracles[argument])
                case "lose":
                    fleet.store.faults.lose_answer(argument)
                case "restart":
                    node.kill()
                    await fleet.restart(node)
        # By then delayed writes have taken effect, and the jobs they stored have run.
        await trio.sleep(0.5)
        for number, oracle in enumerate(oracles):
            if oracle.accepted and not oracle.ended:
                await self.read_to_the_end(fleet, number, oracle)
            if not oracle.accepted:
                self.assertEqual(sum(map(fleet.upstream_runs, items_of(number))), 0)

    async def submit(self, fleet: NodeFleet, front, number: int, oracle: JobOracle) -> None:
        answer = await submit(fleet, front, *items_of(number), job_id=f"job-{number}")
        self.assertIn(answer.status, (202, 503, 504))
        # Only 202 and 503 are promises; after a 504 the job may be stored.
        oracle.accepted = oracle.accepted or answer.status != 503

    async def read(self, fleet: NodeFleet, front, number: int, oracle: JobOracle) -> None:
        answer = await read_page(fleet, front, f"job-{number}")
        if answer.status == 404:
            self.assertFalse(oracle.accepted)
        if answer.status != 200:
            self.assertIn(answer.status, (404, 503))
            return
        results = answer.json()["results"]
        common = min(len(results), len(oracle.shown))
        self.assertEqual(results[:common], oracle.shown[:common])
        if len(results) > len(oracle.shown):
            oracle.shown = results
        identities = [item["id"] for item in oracle.shown]
        self.assertEqual(len(set(identities)), len(identities))
        for item in results:
            self.assertIn(item["id"], items_of(number))
            self.assertEqual((item["state"], item["text"]), ("completed", wanted_text(item["id"])))

    async def end(self, fleet: NodeFleet, front, number: int, oracle: JobOracle) -> None:
        answer = await fleet.call(front, "DELETE", f"/api/lots/job-{number}")
        if answer.status == 200:
            oracle.ended = True
        elif answer.status == 404:
            self.assertFalse(oracle.accepted)

    async def read_to_the_end(self, fleet: NodeFleet, number: int, oracle: JobOracle) -> None:
        """Read at all nodes, round-robin, until everything is listed."""
        with trio.fail_after(15):
            node_index = 0
            while len(oracle.shown) < len(ITEMS):
                await self.read(fleet, fleet.nodes[node_index % NODES].front, number, oracle)
                node_index += 1
                await trio.sleep(0.05)
        for node in fleet.nodes:
            await self.read(fleet, node.front, number, oracle)


@dataclass
class WorkOracle:
    """The answers that clients received about one job, and the time of the end."""

    job_id: str
    statuses: list[int] = field(default_factory=list)
    # When an end was first acknowledged, in trio's time; whether one got no certain answer.
    ended_s: float | None = None
    end_unsure: bool = False

    @property
    def accepted(self) -> bool:
        return 202 in self.statuses

    @property
    def refused(self) -> bool:
        """Whether each try was answered with the promise that no item runs."""
        return all(status == 503 for status in self.statuses)

    @property
    def items(self) -> list[str]:
        return [f"{self.job_id}-{number}" for number in range(WORK_ITEMS)]


class WorkAfterEndTest(unittest.TestCase):
    """No item starts late after an end, of a refused job, or at a former owner; others are done.

    Runs are seeded; a failure names its seed and steps.
    """

    def test_work_begins_only_where_it_may_and_all_of_it_is_done(self) -> None:
        faults: list[str] = []

        async def run(seeds: Iterable[int]) -> None:
            with recorded_runs() as started:
                async with trio.open_nursery() as nursery:
                    for seed in seeds:
                        nursery.start_soon(self.play_run, seed, started, faults)

        # A run that does not end is named by its own limit, before that of ``run_async`` is over.
        for first in range(0, RUNS, CONCURRENT_RUNS):
            run_async(partial(run, range(first, first + CONCURRENT_RUNS)))
        self.assertFalse(faults, "\n".join(faults))

    async def play_run(self, seed: int, started: list[StartedRun], faults: list[str]) -> None:
        steps = random_steps(seed, STEPS)
        oracles = [WorkOracle(f"w{seed}-{number}") for number in range(2)]
        try:
            with tempfile.TemporaryDirectory() as folder, trio.fail_after(50):
                async with running_harness(Path(folder), EVENT_INTERVAL_MS) as harness:
                    await self.play(harness, steps, oracles)
                    found = late_starts(harness, oracles) + former_owner_starts(started, oracles)
        except* (AssertionError, trio.TooSlowError) as group:
            found = [repr(error) for error in group.exceptions]
        faults += [f"seed {seed}: {fault}; steps {steps}" for fault in found]

    async def play(self, harness: JobHarness, steps: list[Step], oracles: list[WorkOracle]) -> None:
        for step in steps:
            await self.do(harness, step, oracles[step.job])
        # From here without faults.  Ended jobs are submitted again after the bound for late starts.
        harness.repair()
        await harness.restart_stopped()
        await harness.fleet.wait_ready()
        ended = [oracle for oracle in oracles if oracle.ended_s is not None]
        if ended:
            await trio.sleep_until(max(oracle.ended_s for oracle in ended) + MAX_LATE_S)
            await self.resubmit(harness, ended)
        for upstream in harness.fleet.upstreams:
            upstream.event_interval_ms = 1.0
        for oracle in oracles:
            if oracle.accepted and oracle.ended_s is None and not oracle.end_unsure:
                await self.read_to_the_end(harness.fleet, oracle)

    async def do(self, harness: JobHarness, step: Step, oracle: WorkOracle) -> None:
        node = harness.live_node(step.node)
        link = harness.link_of(node)
        match step.kind:
            case "submit":
                await self.submit(harness.fleet, node.front, oracle)
            case "submit_lost":
                link.faults.lose_answer(lost_answer(step))
                await self.submit(harness.fleet, node.front, oracle)
            case "submit_refused":
                await self.submit_refused(harness, step.node, oracle)
            case "end":
                await self.end(harness.fleet, node.front, oracle)
            case "end_lost":
                link.faults.lose_answer(lost_answer(step))
                await self.end(harness.fleet, node.front, oracle)
            case "kill" if not harness.stopped_nodes():
                node.kill()
                await node.ended.wait()
            case "stop" if not harness.stopped_nodes():
                node.stop.request()
            case "repair":
                harness.repair()
                await harness.restart_stopped()
            case "pause":
                await trio.sleep(_PAUSES_S[step.variant % len(_PAUSES_S)])
            case _:
                harness.inject_fault(step)

    async def submit(self, fleet: NodeFleet, front, oracle: WorkOracle) -> None:
        answer = await submit(fleet, front, *oracle.items, job_id=oracle.job_id)
        self.assertIn(answer.status, (202, 503, 504))
        oracle.statuses.append(answer.status)

    async def submit_refused(self, harness: JobHarness, number: int, oracle: WorkOracle) -> None:
        """Submit at a node that the store refuses, so that a neighbour or spools accept the job."""
        node = harness.live_node(number)
        link = harness.link_of(node)
        before, link.refuse_status = link.refuse_status, 429
        await self.submit(harness.fleet, node.front, oracle)
        link.refuse_status = before

    async def end(self, fleet: NodeFleet, front, oracle: WorkOracle) -> None:
        answer = await fleet.call(front, "DELETE", f"/api/lots/{oracle.job_id}")
        self.assertIn(answer.status, (200, 404, 503))
        if answer.status == 404:
            self.assertFalse(oracle.accepted)
        elif answer.status == 503:
            oracle.end_unsure = True
        elif oracle.ended_s is None:
            oracle.ended_s = trio.current_time()

    async def resubmit(self, harness: JobHarness, ended: list[WorkOracle]) -> None:
        """Submit ended jobs again, at each node and through neighbours."""
        for oracle in ended:
            for number, node in enumerate(harness.fleet.nodes):
                await self.submit(harness.fleet, node.front, oracle)
                await self.submit_refused(harness, number, oracle)
        await trio.sleep(0.7)

    async def read_to_the_end(self, fleet: NodeFleet, oracle: WorkOracle) -> None:
        """Read at all nodes, round-robin, until each item is listed once and completely."""
        found: list[dict] = []
        node_index = 0
        while len(found) < WORK_ITEMS:
            front = fleet.nodes[node_index % NODES].front
            answer = await read_page(fleet, front, oracle.job_id, len(found))
            self.assertIn(answer.status, (200, 503))
            found += answer.json()["results"] if answer.status == 200 else []
            node_index += 1
            await trio.sleep(0.05)
        self.assertCountEqual([item["id"] for item in found], oracle.items)
        for item in found:
            self.assertEqual((item["state"], item["text"]), ("completed", wanted_text(item["id"])))


def late_starts(harness: JobHarness, oracles: list[WorkOracle]) -> list[str]:
    """Return the items that started too late after an end, or of a refused job."""
    jobs = {name: oracle for oracle in oracles for name in oracle.items}
    found = []
    for upstream in harness.fleet.upstreams:
        for name, at_s in upstream.started:
            oracle = jobs[name]
            if oracle.refused:
                found.append(f"{name} began though its job was refused")
            elif oracle.ended_s is not None and at_s > oracle.ended_s + MAX_LATE_S:
                found.append(f"{name} began {at_s - oracle.ended_s:.2f} s after its job's end")
    return found


def former_owner_starts(started: list[StartedRun], oracles: list[WorkOracle]) -> list[str]:
    """Return the runs that a former owner started long after a newer one had started any."""
    found = []
    for oracle in oracles:
        runs = [run for run in started if run.job_id == oracle.job_id]
        for run in runs:
            newer = [other.at_s for other in runs if other.epoch > run.epoch]
            if newer and run.at_s > min(newer) + MAX_LATE_S:
                late_s = run.at_s - min(newer)
                found.append(f"{oracle.job_id} epoch {run.epoch} began {late_s:.2f} s late")
    return found


def items_of(number: int) -> list[str]:
    return [f"{name}{number}" for name in ITEMS]


if __name__ == "__main__":
    unittest.main()
