"""Jobs over the real parts of three nodes, without sockets, in many interleavings and faults.

Knowledge lags and is lost in restarts, answers are lost, clocks differ and epochs increase.
Answers to clients must stay true: see ``check``.
"""

import unittest
from dataclasses import dataclass, field
from unittest import mock

import msgspec
import trio
import trio.testing
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from result import Err

from fescuedock.node import job_ends, job_runner
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import ResultGroup, StoredJobRecord
from tests.builders.runner_simulation import (
    END_BOUND_MS,
    KEYS,
    RunnerSimulation,
    SimulatedNode,
    items_of,
)

ITEMS = 60
# An item takes about this long, and six run at a time: a job lasts for some 6 s, two for 12 s.
RUN_S = 0.6
# Longer than an owner must be missing before its jobs are claimed.
HIDDEN_S = 1.8
# Long enough to notice that owners are gone, and to run all remaining items.
SETTLE_S = 20.0
# Without a fault of a link to the store, nodes receive a change within milliseconds.
UPDATE_S = 0.3
# A refused end is recorded this long after all links are repaired: the longest pause between two
# tries, and the time that nodes need to reach the store and to receive the record.
MAX_RETRY_S = 2.0 + 1.1 + UPDATE_S

jobs = st.integers(0, 1)
nodes = st.integers(0, RunnerSimulation.NODES - 1)
faults = st.sampled_from(
    [
        "refuses",
        "silent",
        "slow_before",
        "slow_after",
        "too_slow_after",
        "lose_answer",
        "lose_three_answers",
    ]
)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("submit"), jobs, nodes),
        st.tuples(st.just("submit"), jobs, nodes),
        st.tuples(st.just("end"), jobs, nodes),
        st.tuples(st.just("end_in_outage"), jobs, nodes),
        st.tuples(st.just("fault"), faults, nodes),
        st.tuples(st.just("fault_all"), faults, nodes),
        st.tuples(st.just("hide"), jobs, nodes),
        st.tuples(st.just("partition"), jobs, nodes),
        st.tuples(st.sampled_from(["fill_slots", "free_slots"]), jobs, nodes),
        st.tuples(st.just("repair"), jobs, nodes),
        st.tuples(st.just("kill"), jobs, nodes),
        st.tuples(st.just("leave"), jobs, nodes),
        st.tuples(st.just("restart"), jobs, nodes),
        st.tuples(st.just("compact"), jobs, nodes),
        st.tuples(st.just("pause"), st.sampled_from([0.05, 0.33, 0.71, 1.2, 3.2]), nodes),
    ),
    min_size=4,
    max_size=14,
)
connections = st.tuples(st.just("connect"), st.sampled_from([0.0, 0.2, 1.0, 4.0]), nodes)
slow_steps = st.tuples(connections, steps, connections, steps).map(
    lambda parts: [parts[0], *parts[1], parts[2], *parts[3]]
)
LEAVES_AFTER_REFUSED_END = [
    ("submit", 1, 1),
    ("fault_all", "refuses", 2),
    ("end", 1, 1),
    ("fault_all", "silent", 2),
    ("leave", 1, 1),
    ("repair", 1, 1),
    ("fault_all", "silent", 2),
    ("fault_all", "refuses", 2),
    ("repair", 1, 1),
    ("leave", 1, 1),
]
skews_s = st.lists(st.integers(-3, 3), min_size=3, max_size=3)

# In each of these cases a single decision prevents forbidden starts of items.  Other calls hold all
# slots at first, so that items are left and no commit informs the owner.
ENDED_WHILE_FULL = [
    ("submit", 0, 0),
    ("fill_slots", 0, 0),
    ("end", 0, 1),
    ("free_slots", 0, 0),
    ("pause", 0.33, 0),
]
CLAIMED_WHILE_FULL = [
    ("submit", 0, 0),
    ("fill_slots", 0, 0),
    ("hide", 0, 0),
    ("free_slots", 0, 0),
    ("pause", 0.33, 0),
]
ENDED_DURING_PARTITION = [
    ("submit", 0, 0),
    ("fill_slots", 0, 0),
    ("pause", 1.2, 0),
    ("fault", "silent", 0),
    ("partition", 0, 0),
    ("end", 0, 1),
    ("pause", 3.2, 0),
    ("free_slots", 0, 0),
    ("pause", 0.33, 0),
]
# A half-listed job is claimed after its owner was killed, and submitted again at each node while
# the new owner still loads it.
SUBMITTED_DURING_CLAIM = [
    ("submit", 0, 1),
    ("pause", 1.2, 0),
    ("kill", 0, 1),
    ("fault_all", "slow_after", 0),
    ("pause", 1.2, 0),
    ("pause", 1.2, 0),
    ("submit", 0, 2),
    ("submit", 0, 0),
]
SUBMITTED_LATE_IN_CLAIM = [
    *SUBMITTED_DURING_CLAIM[:-2],
    ("pause", 0.71, 0),
    ("submit", 0, 0),
    ("submit", 0, 2),
]
NO_SKEW = [0, 0, 0]


@dataclass
class JobAnswers:
    """The answers that clients received about one job."""

    job_id: str
    codes: list[ResultCode] = field(default_factory=list)
    # When an end was first acknowledged, in trio's time, and how many results were listed then.
    ended_s: float | None = None
    listed_at_end: int = 0
    end_unsure: bool = False
    # Processes that answered an end with 503, and must retry it while they run.
    retrying: list[SimulatedNode] = field(default_factory=list)

    @property
    def accepted(self) -> bool:
        return ResultCode.OK in self.codes

    @property
    def refused(self) -> bool:
        return all(code is ResultCode.KV_UNAVAILABLE for code in self.codes)


class JobRunnerStatefulTest(unittest.TestCase):
    @settings(
        max_examples=80,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @example(ENDED_WHILE_FULL, NO_SKEW)
    @example(CLAIMED_WHILE_FULL, NO_SKEW)
    @example(ENDED_DURING_PARTITION, NO_SKEW)
    @example(SUBMITTED_DURING_CLAIM, NO_SKEW)
    @example(SUBMITTED_LATE_IN_CLAIM, NO_SKEW)
    @given(steps, skews_s)
    # The node that holds the refused end leaves, and the end is lost with it.
    @example(LEAVES_AFTER_REFUSED_END, [0, -3, 3])
    def test_promises_to_clients_hold(self, chosen: list[tuple], skews: list[int]) -> None:
        trio.run(
            self.run_simulation, chosen, skews, clock=trio.testing.MockClock(autojump_threshold=0)
        )

    @settings(
        max_examples=80,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(slow_steps, skews_s)
    def test_promises_hold_when_requests_are_written_long_after_the_choice(
        self, chosen: list[tuple], skews: list[int]
    ) -> None:
        trio.run(
            self.run_simulation, chosen, skews, clock=trio.testing.MockClock(autojump_threshold=0)
        )

    async def run_simulation(self, chosen: list[tuple], skews: list[int]) -> None:
        async with trio.open_nursery() as nursery:
            simulation = RunnerSimulation(nursery, skews, RUN_S)
            with mock.patch.object(job_runner, "run_item", simulation.run_item):
                simulation.start()
                await trio.sleep(0.3)
                answers = [JobAnswers(f"j{number}") for number in range(2)]
                for step in chosen:
                    await self.do(simulation, step, answers)
                # Nodes that were requested to leave have started to do so by then.
                await trio.sleep(0.01)
                repaired_s = trio.current_time()
                retried = [job for job in answers if self.is_retried(simulation, job)]
                await self.settle(simulation, answers)
                harmed = any(step[0] in ("fault", "fault_all", "end_in_outage") for step in chosen)
                self.check(simulation, answers, END_BOUND_MS / 1000 if harmed else UPDATE_S)
                self.check_retried(simulation, retried, repaired_s)
            nursery.cancel_scope.cancel()

    async def do(
        self, simulation: RunnerSimulation, step: tuple, answers: list[JobAnswers]
    ) -> None:
        kind, argument, number = step
        node = simulation.live_node(number)
        match kind:
            case "submit" if node:
                answers[argument].codes.append(await self.submit(node, answers[argument].job_id))
            case "end" if node:
                await self.end(node, answers[argument])
            case "end_in_outage" if node:
                # The store answers this node no call until the links are repaired.
                node.link.refuses = True
                # The client does not wait for long, so that items are left.
                with mock.patch.object(job_ends, "_CALL_TIMEOUT_S", 0.3):
                    await self.end(node, answers[argument])
            case "fault":
                inject_fault(simulation.nodes[number].link, argument)
            case "fault_all":
                for each in simulation.nodes:
                    inject_fault(each.link, argument)
            case "hide":
                simulation.hidden.add(simulation.nodes[number].name)
                await trio.sleep(HIDDEN_S)
            case "partition":
                simulation.partitioned.add(simulation.nodes[number].name)
            case "fill_slots" | "free_slots":
                simulation.slots_full = kind == "fill_slots"
            case "repair":
                simulation.hidden.clear()
                simulation.partitioned.clear()
                for each in simulation.nodes:
                    each.link.repair()
            case "kill" if node:
                node.scope.cancel()
            case "leave" if node:
                simulation.leave(node)
            case "restart":
                simulation.restart(simulation.nodes[number])
            case "compact":
                simulation.state.compact(simulation.state.revision)
            case "connect":
                simulation.connect_s = argument
            case "pause":
                await trio.sleep(argument)

    async def submit(self, node, job_id: str) -> ResultCode:
        """Submit a job; a node that knows it ended or moved must not start it again."""
        code = await node.submit(job_id, items_of(job_id, ITEMS))
        if node.refused_s(job_id) > 0:
            # Else it would answer other nodes' reads of listed results as the job's owner.
            self.assertIsNone(node.runner.listed_count(job_id), f"{node.name} runs {job_id}")
        return code

    async def end(self, node, answers: JobAnswers) -> None:
        ended = await node.end(answers.job_id)
        if isinstance(ended, Err):
            answers.end_unsure = True
            if ended.err_value.code is ResultCode.KV_UNAVAILABLE:
                answers.retrying.append(node)
                self.assertIn(answers.job_id, node.ends.wanted)
        elif answers.ended_s is None:
            answers.ended_s, answers.listed_at_end = trio.current_time(), ended.ok_value

    async def settle(self, simulation: RunnerSimulation, answers: list[JobAnswers]) -> None:
        """Repair all links, submit ended jobs again at each node, and run all remaining items."""
        simulation.hidden.clear()
        simulation.connect_s = 0.0
        simulation.partitioned.clear()
        simulation.slots_full = False
        for node in tuple(simulation.nodes):
            node.link.repair()
            if not simulation.is_running(node) or node.leaving:
                simulation.restart(node)
        await trio.sleep(END_BOUND_MS / 1000)
        for job in answers:
            if job.ended_s is None:
                continue
            for node in simulation.nodes:
                await self.submit(node, job.job_id)
        await trio.sleep(SETTLE_S)

    def check(
        self, simulation: RunnerSimulation, answers: list[JobAnswers], max_late_s: float
    ) -> None:
        """Check all answers; items may start up to ``max_late_s`` after an end or a claim."""
        for job in answers:
            begun = [run for run in simulation.started_items if run.job_id == job.job_id]
            record = self.record_of(simulation, job)
            if job.refused:
                self.assertEqual(begun, [])
                self.assertIsNone(record)
            if job.ended_s is not None:
                late_s = max([run.at_s - job.ended_s for run in begun], default=0.0)
                self.assertLessEqual(late_s, max_late_s)
                self.assertEqual(record.listed, job.listed_at_end)
            elif job.accepted and not job.end_unsure:
                self.assertEqual(record.listed, ITEMS)
            for run in begun:
                # Under any fault a node acts on the newest record that it knows.
                self.assertEqual(run.refused_s, 0.0, run)
                newer = [other.at_s for other in begun if other.epoch > run.epoch]
                self.assertLessEqual(run.at_s - min(newer, default=run.at_s), max_late_s)
            if record is not None:
                self.check_results(simulation, record)

    def is_retried(self, simulation: RunnerSimulation, job: JobAnswers) -> bool:
        """Whether a running process still retries an end that it answered with 503."""
        live = [
            node
            for node in job.retrying
            if node in simulation.nodes and simulation.is_running(node)
        ]
        return any(job.job_id in node.ends.wanted and not node.leaving for node in live)

    def check_retried(
        self, simulation: RunnerSimulation, retried: list[JobAnswers], repaired_s: float
    ) -> None:
        """Check that ends answered with 503 are recorded by retries once the store answers."""
        for job in retried:
            record = self.record_of(simulation, job)
            self.assertTrue(record is None or record.ended or record.listed == record.total)
            begun = [run.at_s for run in simulation.started_items if run.job_id == job.job_id]
            self.assertLessEqual(max(begun, default=repaired_s) - repaired_s, MAX_RETRY_S)

    def check_results(self, simulation: RunnerSimulation, record: StoredJobRecord) -> None:
        """Check that each item is listed at most once, completely, and as counted in the record."""
        page = simulation.state.page(
            KEYS.results(record.job_id), KEYS.results(record.job_id) + "~", 0
        )
        groups = [msgspec.msgpack.decode(entry.value, type=ResultGroup) for entry in page.entries]
        results = [result for group in groups for result in group.results]
        self.assertEqual(len(results), record.listed)
        self.assertEqual(len({result.item_id for result in results}), len(results))
        for result in results:
            self.assertEqual((result.completed, result.text), (True, result.item_id))

    def record_of(self, simulation: RunnerSimulation, job: JobAnswers) -> StoredJobRecord | None:
        entry = simulation.state.get(KEYS.record(job.job_id))
        return entry and msgspec.msgpack.decode(entry.value, type=StoredJobRecord)


def inject_fault(link, fault: str) -> None:
    """Inject a fault into a node's link to the store until it is repaired."""
    match fault:
        case "refuses":
            link.refuses = True
        case "silent":
            link.silent = True
        case "slow_before":
            link.before_s = 0.15
        case "slow_after":
            link.after_s = 0.25
        case "too_slow_after":
            link.after_s = 0.4
        case "lose_answer":
            link.lost_answers = 1
        case "lose_three_answers":
            link.lost_answers = 3


if __name__ == "__main__":
    unittest.main()
