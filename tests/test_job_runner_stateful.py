"""Jobs over the real parts of three nodes, without sockets, over many interleavings and faults.

Knowledge lags, is lost and restarted; answers are lost; clocks differ; epochs rise.  What clients
were told stays true: see ``check``.
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
from tests.builders.runner_world import END_BOUND_MS, KEYS, ModelNode, RunnerWorld, items_of

ITEMS = 60
# An item takes about this long, and six run at once: a job lasts for some 6 s, two for 12 s.
RUN_S = 0.6
# Longer than an owner has to be missing before its jobs are claimed.
HIDDEN_S = 1.8
# Long enough for owners that are gone to be missed, and for what is left to run.
CALM_S = 20.0
# When no way to the store is harmed, nodes hear of a change within milliseconds.
HEARD_S = 0.3
# An end that was refused is recorded this long after all ways are mended: the longest pause between
# two tries, and what nodes need to find the store back and to hear of the record.
PURSUED_S = 2.0 + 1.1 + HEARD_S

jobs = st.integers(0, 1)
nodes = st.integers(0, RunnerWorld.NODES - 1)
faults = st.sampled_from(
    ["refuses", "silent", "slow_before", "slow_after", "too_slow_after", "lose", "lose_three"]
)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("submit"), jobs, nodes),
        st.tuples(st.just("submit"), jobs, nodes),
        st.tuples(st.just("end"), jobs, nodes),
        st.tuples(st.just("end_away"), jobs, nodes),
        st.tuples(st.just("harm"), faults, nodes),
        st.tuples(st.just("harm_all"), faults, nodes),
        st.tuples(st.just("hide"), jobs, nodes),
        st.tuples(st.just("part"), jobs, nodes),
        st.tuples(st.sampled_from(["fill", "free"]), jobs, nodes),
        st.tuples(st.just("mend"), jobs, nodes),
        st.tuples(st.just("kill"), jobs, nodes),
        st.tuples(st.just("leave"), jobs, nodes),
        st.tuples(st.just("restart"), jobs, nodes),
        st.tuples(st.just("forget"), jobs, nodes),
        st.tuples(st.just("pause"), st.sampled_from([0.05, 0.33, 0.71, 1.2, 3.2]), nodes),
    ),
    min_size=4,
    max_size=14,
)
connections = st.tuples(st.just("connect"), st.sampled_from([0.0, 0.2, 1.0, 4.0]), nodes)
slow_steps = st.tuples(connections, steps, connections, steps).map(
    lambda parts: [parts[0], *parts[1], parts[2], *parts[3]]
)
LEAVES_WITH_AN_END = [
    ("submit", 1, 1),
    ("harm_all", "refuses", 2),
    ("end", 1, 1),
    ("harm_all", "silent", 2),
    ("leave", 1, 1),
    ("mend", 1, 1),
    ("harm_all", "silent", 2),
    ("harm_all", "refuses", 2),
    ("mend", 1, 1),
    ("leave", 1, 1),
]
skews_s = st.lists(st.integers(-3, 3), min_size=3, max_size=3)

# Worlds in which one decision each keeps from beginning what must not begin.  Calls of others hold
# all slots at first, so that items are left and nothing is committed, which would tell the owner.
ENDED_WHILE_FULL = [
    ("submit", 0, 0),
    ("fill", 0, 0),
    ("end", 0, 1),
    ("free", 0, 0),
    ("pause", 0.33, 0),
]
CLAIMED_WHILE_FULL = [
    ("submit", 0, 0),
    ("fill", 0, 0),
    ("hide", 0, 0),
    ("free", 0, 0),
    ("pause", 0.33, 0),
]
ENDED_BEHIND_A_CUT = [
    ("submit", 0, 0),
    ("fill", 0, 0),
    ("pause", 1.2, 0),
    ("harm", "silent", 0),
    ("part", 0, 0),
    ("end", 0, 1),
    ("pause", 3.2, 0),
    ("free", 0, 0),
    ("pause", 0.33, 0),
]
# Half listed, claimed after its owner's death, and submitted again at each node while the claimant
# still loads it.
SUBMITTED_DURING_CLAIM = [
    ("submit", 0, 1),
    ("pause", 1.2, 0),
    ("kill", 0, 1),
    ("harm_all", "slow_after", 0),
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
IN_STEP = [0, 0, 0]


@dataclass
class JobTold:
    """What clients were told of one job."""

    job_id: str
    codes: list[ResultCode] = field(default_factory=list)
    # When an end was acknowledged first, in trio's time, and how much was listed then.
    ended_s: float | None = None
    listed_at_end: int = 0
    end_unsure: bool = False
    # Processes that answered an end by 503, and have to go on with it while they run.
    pursuing: list[ModelNode] = field(default_factory=list)

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
    @example(ENDED_WHILE_FULL, IN_STEP)
    @example(CLAIMED_WHILE_FULL, IN_STEP)
    @example(ENDED_BEHIND_A_CUT, IN_STEP)
    @example(SUBMITTED_DURING_CLAIM, IN_STEP)
    @example(SUBMITTED_LATE_IN_CLAIM, IN_STEP)
    @given(steps, skews_s)
    # The node that wants the end leaves with what it remembers.
    @example(LEAVES_WITH_AN_END, [0, -3, 3])
    def test_what_clients_were_told_stays_true(self, chosen: list[tuple], skews: list[int]) -> None:
        trio.run(self.run_world, chosen, skews, clock=trio.testing.MockClock(autojump_threshold=0))

    @settings(
        max_examples=80,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(slow_steps, skews_s)
    def test_it_stays_true_when_requests_are_written_long_after_the_choice(
        self, chosen: list[tuple], skews: list[int]
    ) -> None:
        trio.run(self.run_world, chosen, skews, clock=trio.testing.MockClock(autojump_threshold=0))

    async def run_world(self, chosen: list[tuple], skews: list[int]) -> None:
        async with trio.open_nursery() as nursery:
            world = RunnerWorld(nursery, skews, RUN_S)
            with mock.patch.object(job_runner, "run_item", world.run_item):
                world.start()
                await trio.sleep(0.3)
                told = [JobTold(f"j{number}") for number in range(2)]
                for step in chosen:
                    await self.do(world, step, told)
                # Nodes that were told to leave have begun to by then.
                await trio.sleep(0.01)
                mended_s = trio.current_time()
                pursued = [job for job in told if self.is_pursued(world, job)]
                await self.calm(world, told)
                harmed = any(step[0] in ("harm", "harm_all", "end_away") for step in chosen)
                self.check(world, told, END_BOUND_MS / 1000 if harmed else HEARD_S)
                self.check_pursued(world, pursued, mended_s)
            nursery.cancel_scope.cancel()

    async def do(self, world: RunnerWorld, step: tuple, told: list[JobTold]) -> None:
        kind, what, number = step
        node = world.live(number)
        match kind:
            case "submit" if node:
                told[what].codes.append(await self.submit(node, told[what].job_id))
            case "end" if node:
                await self.end(node, told[what])
            case "end_away" if node:
                # The store answers this node nothing until all is mended.
                node.way.refuses = True
                # Its client does not wait for long, so that work is left.
                with mock.patch.object(job_ends, "_CALL_TIMEOUT_S", 0.3):
                    await self.end(node, told[what])
            case "harm":
                harm(world.nodes[number].way, what)
            case "harm_all":
                for each in world.nodes:
                    harm(each.way, what)
            case "hide":
                world.hidden.add(world.nodes[number].name)
                await trio.sleep(HIDDEN_S)
            case "part":
                world.parted.add(world.nodes[number].name)
            case "fill" | "free":
                world.full = kind == "fill"
            case "mend":
                world.hidden.clear()
                world.parted.clear()
                for each in world.nodes:
                    each.way.mend()
            case "kill" if node:
                node.scope.cancel()
            case "leave" if node:
                world.leave(node)
            case "restart":
                world.restart(world.nodes[number])
            case "forget":
                world.state.compact(world.state.revision)
            case "connect":
                world.connect_s = what
            case "pause":
                await trio.sleep(what)

    async def submit(self, node, job_id: str) -> ResultCode:
        """Submit a job; a node that knew better must not take it in again by that."""
        code = await node.submit(job_id, items_of(job_id, ITEMS))
        if node.refused_s(job_id) > 0:
            # Else it would answer others, who ask how much is listed, as the job's owner.
            self.assertIsNone(node.runner.listed_count(job_id), f"{node.name} runs {job_id}")
        return code

    async def end(self, node, told: JobTold) -> None:
        ended = await node.end(told.job_id)
        if isinstance(ended, Err):
            told.end_unsure = True
            if ended.err_value.code is ResultCode.KV_UNAVAILABLE:
                told.pursuing.append(node)
                self.assertIn(told.job_id, node.ends.wanted)
        elif told.ended_s is None:
            told.ended_s, told.listed_at_end = trio.current_time(), ended.ok_value

    async def calm(self, world: RunnerWorld, told: list[JobTold]) -> None:
        """Mend all, send ended jobs again at each node, and let what is left run."""
        world.hidden.clear()
        world.connect_s = 0.0
        world.parted.clear()
        world.full = False
        for node in tuple(world.nodes):
            node.way.mend()
            if not world.runs(node) or node.leaving:
                world.restart(node)
        await trio.sleep(END_BOUND_MS / 1000)
        for job in told:
            if job.ended_s is None:
                continue
            for node in world.nodes:
                await self.submit(node, job.job_id)
        await trio.sleep(CALM_S)

    def check(self, world: RunnerWorld, told: list[JobTold], bound_s: float) -> None:
        """``bound_s`` is how long after an end, or a claim, an item may still begin."""
        for job in told:
            begun = [run for run in world.begun if run.job_id == job.job_id]
            record = self.record_of(world, job)
            if job.refused:
                self.assertEqual(begun, [])
                self.assertIsNone(record)
            if job.ended_s is not None:
                late_s = max([run.at_s - job.ended_s for run in begun], default=0.0)
                self.assertLessEqual(late_s, bound_s)
                self.assertEqual(record.listed, job.listed_at_end)
            elif job.accepted and not job.end_unsure:
                self.assertEqual(record.listed, ITEMS)
            for run in begun:
                # Whatever is harmed: a node acts upon the newest that it knows itself.
                self.assertEqual(run.refused_s, 0.0, run)
                newer = [other.at_s for other in begun if other.epoch > run.epoch]
                self.assertLessEqual(run.at_s - min(newer, default=run.at_s), bound_s)
            if record is not None:
                self.check_results(world, record)

    def is_pursued(self, world: RunnerWorld, job: JobTold) -> bool:
        """Whether a process that runs still wants an end that it has refused with 503."""
        live = [node for node in job.pursuing if node in world.nodes and world.runs(node)]
        return any(job.job_id in node.ends.wanted and not node.leaving for node in live)

    def check_pursued(self, world: RunnerWorld, pursued: list[JobTold], mended_s: float) -> None:
        """An end that was refused with 503 is recorded once the store answers, unasked."""
        for job in pursued:
            record = self.record_of(world, job)
            self.assertTrue(record is None or record.ended or record.listed == record.total)
            begun = [run.at_s for run in world.begun if run.job_id == job.job_id]
            self.assertLessEqual(max(begun, default=mended_s) - mended_s, PURSUED_S)

    def check_results(self, world: RunnerWorld, record: StoredJobRecord) -> None:
        """Each item is listed once at most, whole, and not beyond what the record says."""
        page = world.state.page(KEYS.results(record.job_id), KEYS.results(record.job_id) + "~", 0)
        groups = [msgspec.msgpack.decode(entry.value, type=ResultGroup) for entry in page.entries]
        results = [result for group in groups for result in group.results]
        self.assertEqual(len(results), record.listed)
        self.assertEqual(len({result.item_id for result in results}), len(results))
        for result in results:
            self.assertEqual((result.completed, result.text), (True, result.item_id))

    def record_of(self, world: RunnerWorld, job: JobTold) -> StoredJobRecord | None:
        entry = world.state.get(KEYS.record(job.job_id))
        return entry and msgspec.msgpack.decode(entry.value, type=StoredJobRecord)


def harm(way, fault: str) -> None:
    """Harm a node's way to the store until it is mended."""
    match fault:
        case "refuses":
            way.refuses = True
        case "silent":
            way.silent = True
        case "slow_before":
            way.before_s = 0.15
        case "slow_after":
            way.after_s = 0.25
        case "too_slow_after":
            way.after_s = 0.4
        case "lose":
            way.lose = 1
        case "lose_three":
            way.lose = 3


if __name__ == "__main__":
    unittest.main()
