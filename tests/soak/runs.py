"""One run of the soak: faults while clients work, then calm, then the final checks."""

import contextlib
import itertools
import random
import shutil
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import trio

from tests.soak.clients import ConfigWatcher, JobClient, OnlineClient
from tests.soak.customers import KeyRotationClient, OverLimitClient, customer_violations
from tests.soak.ending import EndingClient
from tests.soak.faults import Schedule, initial_configuration
from tests.soak.harmful import (
    BAD_PART,
    HARMFUL_CALLS,
    HarmfulClient,
    HarmfulPartClient,
    harmful_paths,
    harmful_work_violations,
)
from tests.soak.harness import SoakHarness, accepts_connections, loopback_network
from tests.soak.lost_ends import LostEndClient, lose_ends
from tests.soak.origins import OriginSchedule, with_services
from tests.soak.overlaps import OverlapSchedule
from tests.soak.promises import CALM_S, END_S, Ledger, OnlineAttempt
from tests.soak.releases import ReleaseSchedule, RestartSchedule, ResumingClient
from tests.soak.slow import (
    NeverReader,
    SlowReader,
    count_cut_off_callers,
    slow_client_violations,
)

__all__ = ["SPOOLS", "SoakReport", "new_folder", "run_seed"]

_UPSTREAMS = 4
_ONLINE_CLIENTS = 10
_ENDING_CLIENTS = 3
_RESUMING_CLIENTS = 4
# One for each failure domain; a job counts as stored with two copies.
SPOOLS = 3
_LOST_END_CLIENTS = 3
_START_S = 20.0
# The time for accepted jobs to finish after the last fault.
_FINISH_S = 18.0
# The share of calls that must get a complete answer in the calm at the end.
_MIN_SERVED_SHARE = 0.95
_CALM_RUN_S = 2.0
# On a busy machine few calls end within that time, and a share of few calls is not significant.
_MIN_CALM_CALLS = 60
_MAX_CALM_RUN_S = 30.0
# Faults are injected in further rounds until clients have resumed this many streams, but no new
# round begins so late that jobs would reach their deadline.
_MIN_RESUMED_STREAMS = 10
_NO_NEW_ROUND_AFTER_S = 20.0
# How long the soak watches for items that begin after the bound.
_LATE_RUN_WATCH_S = 1.0


class SoakReport(msgspec.Struct):
    """The result of one seed; ``faults`` and ``broken`` are text for people."""

    seed: int
    calls: int
    whole: int
    jobs: int
    accepted: int
    ended: int
    # The parameters that reproduce the schedule.
    nodes: int
    spools: int
    fault_s: float
    # Unacknowledged ends that count as acknowledged.
    lost_ends: int
    # Copies of jobs that spools have stored.
    spooled: int
    # Upstreams that were crashed by harmful work.
    crashes: int
    # Slow clients cut off by nodes, bodies read slowly but completely, and peak memory of a node.
    cut_off: int
    read_slowly: int
    memory_bytes: int
    faults: list[str]
    broken: list[str]
    broken_lost_ends: list[str]
    # Streams that clients resumed at another node, and those of them that continued there.
    taken_up: int = 0
    went_on: int = 0
    # The calls about the jobs that ``broken`` names, with the times of the nodes' logs.
    job_calls: dict[str, list[str]] = {}

    @property
    def has_failed(self) -> bool:
        return bool(self.broken or self.broken_lost_ends)


def run_seed(
    seed: int,
    folder: Path,
    fault_s: float,
    nodes: int,
    spools: int = SPOOLS,
    *,
    harm: bool = True,
    releases: bool = False,
    restarts: bool = False,
    origins: bool = False,
    alone: bool = False,
) -> SoakReport:
    """Run one seed; its folder with logs is retained only if a promise was broken.

    Without ``spools`` there is only one series of faults, and no unacknowledged ends.  Without
    ``harm`` no work crashes upstreams.  With ``releases`` upstreams have different versions, and
    with ``restarts`` they also restart under their IDs at others.  With ``origins`` nodes are
    isolated while services get their second version, and routes move between services; ``alone``
    leaves out the other faults.
    """
    logs = new_folder(folder / f"seed-{seed}")
    report = trio.run(
        _run, seed, logs, fault_s, nodes, spools, harm, releases, restarts, origins, alone
    )
    if not report.has_failed:
        shutil.rmtree(logs)
    else:
        (logs / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    return report


def new_folder(path: Path) -> Path:
    """Create a new folder, so that the logs of an earlier failure of the seed are retained."""
    names = (f"{path.name}-{number}" for number in itertools.count(2))
    path.parent.mkdir(parents=True, exist_ok=True)
    for candidate in itertools.chain([path], map(path.with_name, names)):
        # Another process may create the same folder concurrently.
        with contextlib.suppress(FileExistsError):
            candidate.mkdir()
            return candidate
    raise AssertionError("there is always another name")


async def _run(
    seed: int,
    logs: Path,
    fault_s: float,
    nodes: int,
    spools: int,
    harm: bool,
    releases: bool,
    restarts: bool,
    origins: bool,
    alone: bool,
) -> SoakReport:
    # Separate sources: the clients' draws depend on the duration of calls, and must not change the
    # schedule of faults.
    rng, fault_rng = random.Random(f"clients-{seed}"), random.Random(seed)
    ledger = Ledger(unix_offset_s=time.time() - trio.current_time())
    async with trio.open_nursery() as nursery:
        config = initial_configuration()
        harness = SoakHarness(
            nursery,
            logs,
            loopback_network(),
            config=with_services(config) if origins else config,
            is_linked=origins,
        )
        harmful_clients: list[HarmfulClient] = []
        if harm:
            harness.harmful |= harmful_paths()
            harm_rng = random.Random(f"harm-{seed}")
            harmful_clients += [
                HarmfulClient(n, harness, ledger, harm_rng) for n in range(HARMFUL_CALLS)
            ]
            harness.harmful_parts.add(BAD_PART)
            part_rng = random.Random(f"parts-{seed}")
            harmful_clients.append(HarmfulPartClient(HARMFUL_CALLS, harness, ledger, part_rng))
        customer_rng = random.Random(f"customers-{seed}")
        key_client = KeyRotationClient(harness, ledger, customer_rng)
        over_limit = OverLimitClient(harness, ledger, customer_rng)
        slow_rng = random.Random(f"slow-{seed}")
        reader = SlowReader(harness, ledger, slow_rng)
        slow = [reader, NeverReader(harness, ledger, slow_rng, reader)]
        schedules = [] if alone else [Schedule(harness, ledger, fault_rng)]
        if spools and not alone:
            overlap_rng = random.Random(f"overlaps-{seed}")
            schedules.append(OverlapSchedule(harness, ledger, overlap_rng))
        resuming: list[ResumingClient] = []
        if releases:
            release_rng = random.Random(f"releases-{seed}")
            schedules.append(ReleaseSchedule(harness, ledger, release_rng))
            resuming += [
                ResumingClient(harness, ledger, release_rng) for _ in range(_RESUMING_CLIENTS)
            ]
        if restarts:
            restart_rng = random.Random(f"restarts-{seed}")
            schedules.append(RestartSchedule(harness, ledger, restart_rng))
        if origins:
            schedules.append(OriginSchedule.of_seed(seed, harness, ledger))
        await nursery.start(_end_on_signal)
        try:
            await harness.start(nodes, _UPSTREAMS, spools)
            await _wait_serving(harness)
            during_faults = [key_client, over_limit, *resuming]
            await _soak(
                harness, ledger, schedules, rng, [*harmful_clients, *slow], during_faults, fault_s
            )
        finally:
            with trio.CancelScope(shield=True):
                await harness.end()
        ledger.judge_runs(harness.upstreams)
        ledger.violations += harmful_work_violations(ledger, harness.upstreams)
        ledger.violations += slow_client_violations(reader)
        ledger.violations += customer_violations(ledger, harness.upstreams, key_client, over_limit)
        nursery.cancel_scope.cancel()
    complete = sum(attempt.complete and attempt.status == 200 for attempt in ledger.attempts)
    accepted = sum(job.accepted for job in ledger.jobs.values())
    return SoakReport(
        seed,
        len(ledger.attempts),
        complete,
        len(ledger.jobs),
        accepted,
        sum(job.has_ended for job in ledger.jobs.values()),
        nodes,
        spools,
        fault_s,
        sum(job.effective_end_s < float("inf") for job in ledger.jobs.values()),
        _count_spooled_copies(logs),
        sum(len(item.upstream.crashes) for item in harness.upstreams),
        count_cut_off_callers(logs),
        reader.complete_bodies,
        reader.peak_memory_bytes,
        [line for schedule in schedules for line in schedule.descriptions],
        ledger.violations,
        ledger.lost_end_violations,
        ledger.resumed_streams,
        ledger.continued_streams,
        _calls_of_violations(ledger),
    )


def _count_spooled_copies(logs: Path) -> int:
    """Count the copies of jobs that spools have logged as stored."""
    lines = [line for log in logs.glob("spool-*.log") for line in log.read_bytes().splitlines()]
    return sum(b'"job_spooled"' in line and b'"outcome":"OK"' in line for line in lines)


def _calls_of_violations(ledger: Ledger) -> dict[str, list[str]]:
    violations = "\n".join(ledger.violations + ledger.lost_end_violations) + "\n"
    return {
        job.job_id: job.calls
        for job in ledger.jobs.values()
        if any(f"{job.job_id}{after}" in violations for after in (",", ":", " "))
    }


async def _end_on_signal(*, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
    """On SIGTERM end the run in an orderly way, so that its processes are killed as well."""
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        task_status.started()
        async for number in signals:
            raise SystemExit(128 + number)


async def _wait_serving(harness: SoakHarness) -> None:
    """Wait until every node accepts connections."""
    with trio.fail_after(_START_S):
        for node in harness.nodes:
            while True:
                if await accepts_connections(node):
                    break
                await trio.sleep(0.05)
        await trio.sleep(1.0)


async def _soak(
    harness: SoakHarness,
    ledger: Ledger,
    schedules: list[Schedule],
    rng: random.Random,
    others: list[HarmfulClient | SlowReader | NeverReader],
    customers: list[KeyRotationClient | OverLimitClient | ResumingClient],
    fault_s: float,
) -> None:
    online = [OnlineClient(harness, ledger, rng) for _ in range(_ONLINE_CLIENTS)]
    jobs = JobClient(harness, ledger, rng)
    watcher = ConfigWatcher(harness, ledger)
    ending_clients = [
        EndingClient(f"end-{number}", harness, ledger, rng) for number in range(_ENDING_CLIENTS)
    ]
    lost_end_clients = [
        LostEndClient(f"lost-{number}", harness, ledger, rng)
        for number in range(_LOST_END_CLIENTS if harness.spools else 0)
    ]
    has_resuming_clients = any(isinstance(client, ResumingClient) for client in customers)
    all_clients = [*online, jobs, watcher, *ending_clients, *lost_end_clients, *others, *customers]
    async with _closing(all_clients), trio.open_nursery() as clients:
        for client in (*online, watcher, *ending_clients, *others):
            clients.start_soon(client.run)
        for _ in range(2):
            clients.start_soon(jobs.read_at_random)
        clients.start_soon(jobs.run)
        async with trio.open_nursery() as during_faults:
            # Only during faults, as their calls take slots from items of jobs.
            for client in customers:
                during_faults.start_soon(client.run)
            begun_s = trio.current_time()
            while True:
                async with trio.open_nursery() as faults:
                    for schedule in schedules:
                        faults.start_soon(schedule.run, fault_s)
                passed_s = trio.current_time() - begun_s
                if (
                    not has_resuming_clients
                    or ledger.resumed_streams >= _MIN_RESUMED_STREAMS
                    or passed_s > _NO_NEW_ROUND_AFTER_S
                ):
                    break
            during_faults.cancel_scope.cancel()
        jobs.submit_scope.cancel()
        if lost_end_clients:
            await lose_ends(harness, ledger, lost_end_clients, fault_s)
        await _judge_calm(harness, ledger)
        await _wait_lost_ends(harness, ledger, lost_end_clients)
        with trio.move_on_after(_FINISH_S):
            await _wait_jobs(ledger, jobs)
        ledger.judge_jobs()
        clients.cancel_scope.cancel()


@asynccontextmanager
async def _closing(
    clients: list[
        OnlineClient
        | JobClient
        | ConfigWatcher
        | EndingClient
        | LostEndClient
        | HarmfulClient
        | KeyRotationClient
        | OverLimitClient
        | SlowReader
        | NeverReader
        | ResumingClient
    ],
) -> AsyncIterator[None]:
    """Close the clients' persistent connections when the block is left."""
    try:
        yield
    finally:
        for client in clients:
            await client.http.close()


async def _wait_lost_ends(
    harness: SoakHarness, ledger: Ledger, lost_end_clients: list[LostEndClient]
) -> None:
    """Wait until no more items of jobs with an unacknowledged end may begin."""
    processes = {node.name: node.process.pid for node in harness.nodes}
    counted_s = ledger.count_lost_ends(processes)
    await trio.sleep_until(max(counted_s + END_S + _LATE_RUN_WATCH_S, trio.current_time()))
    for client in lost_end_clients:
        await client.end_finally()


async def _wait_jobs(ledger: Ledger, reader: JobClient) -> None:
    """Read every accepted job that was not ended, until all its results were read.

    The clients read jobs at random, so a job may by chance not be read for a long time.
    """
    while unfinished := ledger.unfinished_jobs():
        for job in unfinished:
            await reader.read(job, len(job.results))
        await trio.sleep(0.1)


def _calls_since(ledger: Ledger, from_s: float) -> list[OnlineAttempt]:
    """Return the finished calls that were sent since ``from_s``, without configuration polls."""
    return [
        attempt
        for attempt in ledger.attempts
        if attempt.sent_s >= from_s
        and attempt.ended_s
        and attempt.path[1] != "v"
        and not attempt.abandoned
    ]


async def _judge_calm(harness: SoakHarness, ledger: Ledger) -> None:
    """Check that a fleet serves again after it was undisturbed for ``CALM_S``."""
    await trio.sleep(CALM_S + 1.0)
    from_s = trio.current_time()
    await trio.sleep(_CALM_RUN_S)
    calls = _calls_since(ledger, from_s)
    with trio.move_on_after(_MAX_CALM_RUN_S - _CALM_RUN_S):
        while len(calls) < _MIN_CALM_CALLS:
            await trio.sleep(0.1)
            calls = _calls_since(ledger, from_s)
    complete = sum(attempt.complete and attempt.status == 200 for attempt in calls)
    if not calls or complete < _MIN_SERVED_SHARE * len(calls):
        ledger.violations.append(
            f"in the calm at the end {complete} of {len(calls)} calls were served"
        )
