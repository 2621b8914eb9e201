"""A short seeded run of the soak, seeds that failed before, and unit tests of the soak's parts."""

import functools
import json
import math
import random
import signal
import tempfile
import types
import unittest
from pathlib import Path
from unittest import mock

import trio
import trio.testing

from fescuedock.address import Address
from fescuedock.platform.standin import event_upstream
from fescuedock.platform.standin.event_upstream import EventUpstream, event_bytes
from tests.builders.net import LOOPBACK
from tests.builders.online import wait_until
from tests.builders.standins import run_async
from tests.soak.clients import JobClient, Reply
from tests.soak.ending import EndingClient
from tests.soak.faults import Schedule
from tests.soak.harness import NodeProcess, SoakUpstream
from tests.soak.links import NodeLinks, proxied
from tests.soak.origins import OriginSchedule
from tests.soak.overlaps import OverlapSchedule
from tests.soak.promises import (
    ACK_S,
    CALM_S,
    END_S,
    Disturbance,
    Ledger,
    OnlineAttempt,
    SoakJob,
    expected_text,
)
from tests.soak.proxy import FaultProxy
from tests.soak.regressions import REGRESSIONS, Regression
from tests.soak.releases import RestartSchedule
from tests.soak.runs import SoakReport, new_folder, run_seed
from tests.soak.slow import BIG_ITEM, SlowReader, big_body

# Long enough for about ten faults; longer runs are started by hand (docs/SOAK.md).
FAULT_S = 6.0
SEED = 20
RELEASE_SEED = 44
RESTART_SEED = 9003
NODES = 3
TEXT = expected_text("item-1")
LOGS = Path(__file__).parents[1] / "soak-logs" / "tests"


@functools.cache
def seeded_report() -> SoakReport:
    """Run the seed of CI once; logs and report of a failed run are retained in ``LOGS``."""
    return run_seed(SEED, LOGS, FAULT_S, NODES)


async def _sleep(_stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


def check_report(test: unittest.TestCase, report: SoakReport, about: str = "") -> None:
    """Check that a run broke no promise, and that calls succeeded and jobs were ended."""
    message = f"{about} {report.faults}; logs and report are in {LOGS} under the seed"
    test.assertEqual(report.broken, [], message)
    test.assertGreater(report.whole, 0)
    test.assertGreater(report.ended, 0)


class SoakTest(unittest.TestCase):
    def test_a_seeded_run_keeps_the_promises(self) -> None:
        report = seeded_report()
        check_report(self, report)
        self.assertGreater(report.spooled, 0)

    def test_unacknowledged_end_takes_effect_after_a_while(self) -> None:
        """Guards against jobs that continue after an unanswered attempt to end them.

        The store was down when the call arrived, or the job was still being stored, or the client
        disconnected before the answer.  If no node remembers the end, all items are still run.
        """
        report = seeded_report()
        self.assertGreater(report.lost_ends, 0)
        self.assertEqual(report.broken_lost_ends, [], f"logs and report are in {LOGS}")

    def test_streams_keep_their_version_while_releases_overlap_with_faults(self) -> None:
        report = run_seed(RELEASE_SEED, LOGS, FAULT_S, NODES, releases=True)
        check_report(self, report)
        self.assertGreater(report.taken_up, 0)
        self.assertGreater(report.went_on, 0)

    def test_streams_keep_their_version_while_upstreams_restart_under_their_ids(self) -> None:
        report = run_seed(RESTART_SEED, LOGS, FAULT_S, NODES, releases=True, restarts=True)
        check_report(self, report)
        self.assertGreater(report.taken_up, 0)

    def test_logs_of_an_earlier_failure_are_retained(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            expected = Path(name) / "seed-3"
            made = [new_folder(expected).name for _ in range(3)]
        self.assertEqual(made, ["seed-3", "seed-3-2", "seed-3-3"])

    def test_killing_all_waits_for_the_processes_that_it_killed(self) -> None:
        """Another fault restarts the second node while the exit of the first one is awaited."""

        class Process:
            def __init__(self, ends: bool = True) -> None:
                self.ends = ends

            async def wait(self) -> None:
                await trio.sleep(0.1 if self.ends else math.inf)

        class Node:
            def __init__(self) -> None:
                self.process = Process()
                self.starts = 0

            def signal(self, _number: int) -> None:
                pass

            async def start(self) -> None:
                self.starts += 1

        nodes = [Node(), Node()]
        # The first number makes ``_kill_all`` kill the nodes.
        rng = mock.Mock(random=lambda: 0.9, uniform=lambda _low, high: high)
        schedule = Schedule(mock.Mock(nodes=nodes), Ledger(), rng)

        async def run() -> None:
            with trio.fail_after(5):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(schedule._kill_all)
                    await trio.sleep(0.05)
                    nodes[1].process = Process(ends=False)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual([node.starts for node in nodes], [1, 1])

    def test_restarting_upstream_refuses_connections(self) -> None:
        """Its proxy accepted and closed them, so that calls which never ran seemed broken off."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                upstream = EventUpstream("i-0", born=1)
                proxy = FaultProxy(await nursery.start(upstream.run, LOOPBACK))
                address = await nursery.start(proxy.run, LOOPBACK.host)
                harness = mock.Mock(upstreams=[SoakUpstream(upstream, proxy)])
                schedule = RestartSchedule(harness, Ledger(), random.Random(0))
                nursery.start_soon(schedule._restart_in_place)
                await wait_until(lambda: not upstream.listener.is_up)
                with self.assertRaises(OSError):
                    await trio.open_tcp_stream(address.host, address.port)
                await wait_until(lambda: upstream.listener.is_up)
                await self.connect(address)
                nursery.cancel_scope.cancel()

        with mock.patch.object(event_upstream, "_RESTART_S", 0.5):
            run_async(run)

    async def connect(self, address: Address) -> None:
        """Connect to an address that accepts connections soon."""
        with trio.fail_after(5):
            while True:
                try:
                    await (await trio.open_tcp_stream(address.host, address.port)).aclose()
                    return
                except OSError:
                    await trio.sleep(0.01)

    def test_node_that_was_killed_before_is_not_judged_by_its_stop(self) -> None:
        """A process that was killed may accept connections for some milliseconds more."""
        for killed_first, expected in ((True, []), (False, ["node-1 ended with -9"])):
            with self.subTest(killed_first=killed_first):
                self.assertEqual(self.violations_of_stop(killed_first=killed_first), expected)

    def violations_of_stop(self, *, killed_first: bool) -> list[str]:
        """Return what a stop reports of a node that ends by SIGKILL, sent by the soak or not."""

        class Process:
            returncode = None

            def send_signal(self, _number: int) -> None:
                pass

            async def wait(self) -> None:
                self.returncode = -signal.SIGKILL

        node = NodeProcess(
            name="node-1",
            module="",
            settings=Path(),
            log=Path(),
            store_proxy=mock.Mock(),
            front=Address("127.0.0.1", 0),
            directory=Address("127.0.0.1", 0),
            process=Process(),
        )
        schedule = Schedule(mock.Mock(), Ledger(), random.Random(0))

        async def run() -> None:
            if killed_first:
                node.signal(signal.SIGKILL)
            await schedule._stop(node)

        accepts = mock.AsyncMock(return_value=True)
        start = mock.AsyncMock()
        with (
            mock.patch("tests.soak.faults.accepts_connections", accepts),
            mock.patch.object(NodeProcess, "start", start),
        ):
            trio.run(run)
        return schedule.ledger.violations

    def test_continuing_disturbance_is_not_calm(self) -> None:
        ledger = Ledger(disturbances=[Disturbance(10.0)])
        self.assertTrue(ledger.was_calm(5.0, 9.0))
        self.assertFalse(ledger.was_calm(20.0, 21.0))
        ledger.disturbances[0].ended_s = 12.0
        self.assertFalse(ledger.was_calm(12.0 + CALM_S, 21.0))
        self.assertTrue(ledger.was_calm(12.1 + CALM_S, 21.0))

    def test_every_run_is_checked_against_the_acknowledged_end_of_its_job(self) -> None:
        """A run may begin up to 3 s after the end, and up to 1 s after it without disturbance."""
        job = SoakJob("job-1", ["item-1"], accepted_s=90.0, end_requested=True, ended_s=100.0)

        def violations_of(at_s: float, *disturbances: Disturbance) -> list[str]:
            ledger = Ledger(jobs={job.job_id: job}, disturbances=list(disturbances))
            upstream = EventUpstream("i-0", started=[("item-1", at_s)])
            ledger.judge_runs([SoakUpstream(upstream, mock.Mock())])
            return ledger.violations

        self.assertEqual(violations_of(100.9), [])
        self.assertEqual(len(violations_of(101.1)), 1)
        disturbed = Disturbance(98.0, 99.0)
        self.assertEqual(violations_of(101.9, disturbed), [])
        self.assertEqual(violations_of(102.9, disturbed), [])
        self.assertEqual(len(violations_of(103.1, disturbed)), 1)
        # Disturbed shortly before the end, but undisturbed for long enough when this run begins.
        self.assertEqual(len(violations_of(102.9, Disturbance(95.0, 98.5))), 1)
        self.assertEqual(violations_of(102.9, Disturbance(95.0)), [])
        self.assertEqual(len(violations_of(103.1, Disturbance(95.0))), 1)
        job.ended_s = math.inf
        self.assertEqual(violations_of(200.0), [])

    def test_owners_are_frozen_while_their_jobs_begin_and_end(self) -> None:
        """The job is ended at most 0.2 s before its owner is frozen, or while it is frozen."""
        for fault in (OverlapSchedule._freeze_at_end, OverlapSchedule._freeze_at_start):
            for seed in range(20):
                with self.subTest(fault=fault.__name__, seed=seed):
                    ended_s, signals = self.freeze(fault, seed)
                    (stopped_s, first), (continued_s, second) = signals
                    self.assertEqual((first, second), (signal.SIGSTOP, signal.SIGCONT))
                    self.assertTrue(1.0 <= continued_s - stopped_s <= 6.0)
                    self.assertTrue(stopped_s - 0.2 <= ended_s <= continued_s)

    def freeze(self, fault, seed: int) -> tuple[float, list[tuple[float, int]]]:
        """Return when ``end_now`` was set, and the signals that the owner received."""
        job = SoakJob("job-1", ["item-1"], accepted_s=math.inf, will_be_ended=True, owner="node-1")
        signals: list[tuple[float, int]] = []
        ended_s = math.inf

        def record_signal(number: int) -> None:
            signals.append((trio.current_time(), number))

        owner = types.SimpleNamespace(
            name="node-1", is_running=True, paused=False, signal=record_signal
        )
        # Two entries, so that all nodes but one are exactly the owner.
        harness = mock.Mock(nodes=[owner, owner])
        harness.node.return_value = owner
        schedule = OverlapSchedule(harness, Ledger(jobs={"job-1": job}), random.Random(seed))

        async def accept() -> None:
            nonlocal ended_s
            job.accepted_s = trio.current_time()
            await job.end_now.wait()
            ended_s = trio.current_time()

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(accept)
                await trio.sleep(0.01)
                job.accepted_s = trio.current_time()
                self.assertIn("job-1", await fault(schedule))

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return ended_s, signals

    def test_unacknowledged_end_counts_after_enough_calm(self) -> None:
        job = SoakJob("job-1", ["item-1"], accepted_s=90.0, end_requested=True)
        job.lost_end_s, job.lost_end_at = 100.0, ("node-0", 7)

        def violations_of(at_s: float, *disturbances: Disturbance, process: int = 7) -> list[str]:
            job.effective_end_s = math.inf
            ledger = Ledger(jobs={job.job_id: job}, disturbances=list(disturbances))
            ledger.count_lost_ends({"node-0": process})
            ledger.judge_runs(
                [SoakUpstream(EventUpstream("i-0", started=[("item-1", at_s)]), mock.Mock())]
            )
            self.assertEqual(ledger.violations, [])
            return ledger.lost_end_violations

        late_s = 100.0 + ACK_S + END_S
        self.assertEqual(violations_of(late_s - 0.1), [])
        self.assertEqual(len(violations_of(late_s + 0.1)), 1)
        disturbed = Disturbance(101.0, 102.0)
        late_s = 102.0 + CALM_S + ACK_S + END_S
        self.assertEqual(violations_of(late_s - 0.1, disturbed), [])
        self.assertEqual(len(violations_of(late_s + 0.1, disturbed)), 1)
        # The node that received the call was restarted.
        self.assertEqual(violations_of(late_s + 0.1, process=8), [])

    def test_listed_item_does_not_run_again(self) -> None:
        job = SoakJob("job-1", ["item-1"], accepted_s=90.0, listed_s={"item-1": 100.0})

        def violations_of(at_s: float, *disturbances: Disturbance) -> list[str]:
            ledger = Ledger(jobs={job.job_id: job}, disturbances=list(disturbances))
            upstream = EventUpstream("i-0", started=[("item-1", at_s)])
            ledger.judge_runs([SoakUpstream(upstream, mock.Mock())])
            return ledger.violations

        self.assertEqual(violations_of(100.9), [])
        self.assertEqual(len(violations_of(101.1)), 1)
        self.assertEqual(violations_of(102.9, Disturbance(99.0)), [])
        self.assertEqual(len(violations_of(103.1, Disturbance(99.0))), 1)

    def test_result_is_complete_or_a_dead_letter_and_keeps_its_position(self) -> None:
        job = SoakJob("job-1", ["item-1", "item-2"], accepted_s=90.0, end_requested=True)
        self.assertIn("listed as", job.record_result(0, ("item-1", "cancelled", "")))
        job.results.clear()
        self.assertIn("not whole", job.record_result(0, ("item-1", "completed", "x")))
        job.results.clear()
        self.assertEqual(job.record_result(0, ("item-1", "dead_letter", "")), "")
        self.assertEqual(job.record_result(0, ("item-1", "dead_letter", "")), "")
        self.assertIn("position 0 held", job.record_result(0, ("item-2", "dead_letter", "")))
        self.assertIn("and at another", job.record_result(1, ("item-1", "dead_letter", "")))

    def test_body_is_available_until_the_item_is_listed_or_the_job_ends(self) -> None:
        """Check how the soak judges a node that denies a body."""
        cases = [
            # Expected violation, status and bytes of the body, results, whether the job was ended.
            ("no body", 404, b"", [], False),
            ("", 404, b"", [], True),
            ("another body", 200, b"item-2", [], False),
            ("", 200, b"item-1", [], False),
            ("", 503, b"", [], False),
            ("", 404, b"", [{"id": "item-1", "state": "completed", "text": TEXT}], False),
        ]
        for expected, status, body, results, ended in cases:
            with self.subTest(expected=expected, status=status, ended=ended):
                broken = self.read_body(status, body, results, ended)
                self.assertEqual(len(broken), bool(expected), broken)
                self.assertIn(expected, "".join(broken))

    def read_body(self, status: int, body: bytes, results: list, ended: bool) -> list[str]:
        job = SoakJob("job-1", ["item-1"], accepted_s=-10.0, end_requested=ended)
        page = {"total": 1, "nextToken": len(results), "results": results}

        async def call_node(_http, _address, _method, target, *_details, **_more) -> Reply:
            if target.startswith("/api/items/"):
                return Reply(status, body=body, complete=True)
            return Reply(200, body=json.dumps(page).encode(), complete=True)

        harness = mock.Mock(nodes=[mock.Mock()])
        ledger = Ledger(jobs={job.job_id: job})
        client = JobClient(harness, ledger, random.Random(SEED))

        async def run() -> None:
            await client._read_body(job)

        with mock.patch("tests.soak.clients.call_node", call_node):
            trio.run(run, clock=trio.testing.MockClock())
        return ledger.violations

    def test_result_that_was_read_must_be_returned_again(self) -> None:
        job = SoakJob("job-1", ["item-1"], accepted_s=-10.0)
        job.results[0], job.listed_s["item-1"] = ("item-1", "completed", TEXT), -5.0

        async def call_node(*_call, **_more) -> Reply:
            return Reply(200, body=b'{"total": 1, "nextToken": 0, "results": []}', complete=True)

        ledger = Ledger(jobs={job.job_id: job})
        client = JobClient(mock.Mock(nodes=[mock.Mock()]), ledger, random.Random(SEED))
        with mock.patch("tests.soak.clients.call_node", call_node):
            trio.run(client.read, job, 0, clock=trio.testing.MockClock())
        self.assertEqual(len(ledger.violations), 1)
        self.assertIn("nothing at position 0", ledger.violations[0])

    def test_a_job_is_ended_while_its_owner_or_the_store_is_harmed(self) -> None:
        job = SoakJob("job-1", ["item-1"], accepted_s=0.0, will_be_ended=True, owner="node-1")
        ledger = Ledger(jobs={job.job_id: job})
        harmed: list[str] = []
        own_faults = ("_kill", "_stop", "_pause", "_cut_node", "_silence_node")
        store_faults = ("_store_slow", "_lose_writes", "_store_silent", "_forget_history")

        def fault(name: str):
            async def harm(*nodes) -> str:
                self.assertEqual([node.name for node in nodes], ["node-1"] * (name in own_faults))
                harmed.append(name)
                return ""

            harm.__name__ = name
            return harm

        harness = mock.Mock()
        harness.node.side_effect = lambda name: types.SimpleNamespace(name=name)
        schedule = types.SimpleNamespace(harness=harness, ledger=ledger, rng=random.Random(SEED))
        for name in own_faults + store_faults:
            setattr(schedule, name, fault(name))

        async def run() -> None:
            for _ in range(60):
                job.end_now = trio.Event()
                self.assertIn("job-1", await Schedule._harm_around_end(schedule))
                self.assertTrue(job.end_now.is_set())
            job.end_requested = True
            self.assertEqual(await Schedule._harm_around_end(schedule), "")

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(set(harmed), {*own_faults, *store_faults})
        self.assertGreater(len(harmed), 90)

    def test_job_is_ended_and_its_submission_and_end_are_repeated(self) -> None:
        calls: list[tuple[float, str, bool]] = []

        async def call_node(_http, _address, method, *_details, fresh: bool) -> Reply:
            calls.append((trio.current_time(), method, fresh))
            return Reply(status=202 if method == "POST" else 200)

        harness = mock.Mock(nodes=[mock.Mock()])
        harness.nodes[0].name = "node-0"
        harness.node.return_value = harness.nodes[0]
        ledger = Ledger()
        client = EndingClient("end-0", harness, ledger, random.Random(SEED))

        async def run() -> None:
            with trio.move_on_after(60):
                await client.run()

        with mock.patch("tests.soak.ending.call_node", call_node):
            trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        ended = [job for job in ledger.jobs.values() if job.has_ended]
        self.assertGreater(len(ended), 10)
        delays_s = [job.ended_s - job.accepted_s for job in ended]
        self.assertLess(min(delays_s), 0.1)
        self.assertGreater(max(delays_s), 2.0)
        submissions = sum(method == "POST" for _, method, _ in calls)
        self.assertGreater(submissions, 5 * len(ended))
        self.assertGreater(len(calls) - submissions, 2 * len(ended))
        self.assertFalse(any(fresh for _, _, fresh in calls))
        self.assertEqual(ledger.violations, [])

    def test_closed_connection_is_not_reset_again(self) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
                target = Address("127.0.0.1", listener.socket.getsockname()[1])
                nursery.start_soon(trio.serve_listeners, _sleep, [listener])
                proxy = FaultProxy(target)
                address = await nursery.start(proxy.run, "127.0.0.1")
                stream = await trio.open_tcp_stream(address.host, address.port)
                await trio.testing.wait_all_tasks_blocked(0.05)
                [link] = proxy._links
                await link.server.aclose()
                proxy.reset_open()
                with self.assertRaises(trio.BrokenResourceError):
                    await stream.receive_some(1)
                await stream.aclose()
                nursery.cancel_scope.cancel()

        run_async(run)

    def test_silenced_proxy_forwards_nothing_of_new_connections(self) -> None:
        received: list[bytes] = []

        async def echo(stream: trio.SocketStream) -> None:
            async for data in stream:
                await stream.send_all(data)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, echo, [listener])
                proxy = FaultProxy(Address("127.0.0.1", listener.socket.getsockname()[1]))
                address = await nursery.start(proxy.run, "127.0.0.1")
                for is_silent in (False, True):
                    proxy.silent = is_silent
                    async with await trio.open_tcp_stream(address.host, address.port) as stream:
                        await stream.send_all(b"x")
                        with trio.move_on_after(0.2):
                            received.append(await stream.receive_some(1))
                nursery.cancel_scope.cancel()

        run_async(run)
        self.assertEqual(received, [b"x"])

    def test_every_pair_of_a_node_and_a_peer_has_a_proxy_of_its_own(self) -> None:
        links = NodeLinks("127.100.1.", 7000, 4, receivers=3)
        proxies = set()
        for node in range(4):
            for other in {*range(7)} - {node}:
                found = proxied(links.host(node), Address(links.host(other), 7000))
                self.assertEqual(found, Address(links.proxy_host(node, other), 7000))
                # Replies to a datagram go to the proxy from which it came.
                self.assertEqual(proxied(links.host(node), found), found)
                proxies.add(found)
            for host in (links.host(node), "127.100.1.250", "127.100.1.251", "127.0.0.1"):
                self.assertEqual(proxied(links.host(node), Address(host, 1)), Address(host, 1))
        self.assertEqual(len(proxies), 4 * 6)

    def test_an_isolated_node_reaches_neither_peers_nor_the_store(self) -> None:
        nodes = [mock.Mock(store_proxy=FaultProxy(Address("127.0.0.1", 1))) for _ in range(3)]
        harness = mock.Mock(nodes=nodes, links=NodeLinks("127.100.1.", 7000, 3, receivers=1))
        schedule = OriginSchedule.of_seed(SEED, harness, Ledger())
        schedule._cut(nodes[:2], True)
        cut = {(a, b) for a in range(4) for b in range(a) if harness.links.is_cut(a, b)}
        self.assertEqual(cut, {(1, 0), (2, 0), (2, 1), (3, 0), (3, 1)})
        self.assertEqual([node.store_proxy.silent for node in nodes], [True, True, False])
        schedule._cut(nodes[:1], False)
        cut = {(a, b) for a in range(4) for b in range(a) if harness.links.is_cut(a, b)}
        self.assertEqual(cut, {(1, 0), (2, 1), (3, 1)})
        self.assertFalse(nodes[0].store_proxy.silent)

    def test_a_stream_is_of_one_service_and_version(self) -> None:
        cases = [
            ("v1 of a", "v1 of a", ""),
            ("v1 of a", "v1 of b", "of the versions v1 of a, v1 of b"),
            ("v1.1 of a", "v1 of a", "of the versions v1 of a, v1.1 of a"),
            ("v1 of a", "v1", "of the versions v1, v1 of a"),
        ]
        for first, second, expected in cases:
            with self.subTest(first=first, second=second):
                parts = [(0, event_bytes(0, "/p", 1, first)), (1, event_bytes(1, "/p", 1, second))]
                attempts = [
                    OnlineAttempt(f"s-{n}", "/p", b"x", "n", 0.0, status=200, answer=answer)
                    for n, answer in parts
                ]
                ledger = Ledger()
                ledger.judge_stream(attempts)
                self.assertEqual(len(ledger.violations), bool(expected), ledger.violations)
                self.assertIn(expected, "".join(ledger.violations))

    def test_body_read_slowly_is_complete_or_visibly_truncated(self) -> None:
        """Only wrong bytes and a smaller declared length are violations; truncation is not."""
        item = f"{BIG_ITEM}1"
        body = big_body(item)
        cases = [
            ("", len(body), body, 1),
            ("", len(body), body[:5000], 0),
            ("another body", len(body), b"y" * len(body), 1),
            ("another length", 5000, body[:5000], 0),
        ]
        for expected, length, sent, complete in cases:
            with self.subTest(expected=expected, length=length):
                reader = SlowReader(mock.Mock(), Ledger(), random.Random(SEED))
                answer = f"HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n".encode() + sent
                run_async(functools.partial(self.read_slowly, reader, item, answer))
                self.assertEqual(
                    len(reader.ledger.violations), bool(expected), reader.ledger.violations
                )
                self.assertIn(expected, "".join(reader.ledger.violations))
                self.assertEqual(reader.complete_bodies, complete)

    async def read_slowly(self, reader: SlowReader, item: str, answer: bytes) -> None:
        async def send(stream: trio.SocketStream) -> None:
            async with stream:
                await stream.receive_some(65536)
                await stream.send_all(answer)

        async with trio.open_nursery() as nursery:
            [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, send, [listener])
            node = mock.Mock(front=Address("127.0.0.1", listener.socket.getsockname()[1]))
            with mock.patch("tests.soak.slow._READ_PAUSE_S", (0.0, 0.0)):
                await reader._read(node, "job-1", item)
            nursery.cancel_scope.cancel()


class RegressionTest(unittest.TestCase):
    """Seeds that failed once must keep the promises; there is one test for each of them."""

    def check(self, case: Regression) -> None:
        report = run_seed(
            case.seed,
            LOGS,
            case.fault_s,
            case.nodes,
            case.spools,
            harm=case.harm,
            origins=case.origins,
            alone=case.origins,
        )
        if case.origins:
            self.assertGreater(report.went_on, 0)
        check_report(self, report, case.cause)
        self.assertEqual(report.broken_lost_ends, [])


for _case in REGRESSIONS:
    setattr(
        RegressionTest,
        f"test_seed_{_case.seed}",
        functools.partialmethod(RegressionTest.check, _case),
    )


if __name__ == "__main__":
    unittest.main()
