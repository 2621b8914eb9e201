"""A seeded schedule of faults, injected from outside the processes.

Each fault reverts itself, and its duration is recorded in the ledger.
"""

import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import trio

from fescuedock.platform.standin.event_upstream import UpstreamFault
from fescuedock.standin.kv_faults import LostAnswer
from tests.builders.node import SERVICE, config_document
from tests.soak.customers import initial_customers
from tests.soak.harness import (
    STOP_TIMEOUT_S,
    NodeProcess,
    SoakHarness,
    SoakUpstream,
    accepts_connections,
    version_route,
)
from tests.soak.promises import Disturbance, Ledger

__all__ = ["Schedule"]

# Mean pause between two faults, each of which may be repeated in a series.
_PAUSE_S = 0.7
_MIN_UPSTREAMS = 2


@dataclass(slots=True)
class Schedule:
    """Draws faults from ``rng`` and injects them; ``descriptions`` has a line for each."""

    harness: SoakHarness
    ledger: Ledger
    rng: random.Random
    descriptions: list[str] = field(default_factory=list)
    _started_s: float = 0.0
    _new_upstreams: int = 0

    async def run(self, duration_s: float) -> None:
        """Inject faults for ``duration_s``, in overlapping series; wait until all have ended."""
        self._started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            while trio.current_time() < self._started_s + duration_s:
                fault = self.rng.choice(self._faults())
                for _ in range(self.rng.choice((1, 1, 1, 2, 3))):
                    nursery.start_soon(self._cause, fault)
                    await trio.sleep(self.rng.uniform(0.05, 0.4))
                await trio.sleep(self.rng.expovariate(1 / _PAUSE_S))

    def _faults(self) -> list[Callable[[], Awaitable[str]]]:
        nodes = [self._kill, self._kill_all, self._stop, self._stop, self._pause]
        store = [self._store_down, self._store_silent, self._store_slow, self._lose_writes]
        store += [self._forget_history, self._cut_node, self._silence_node]
        upstreams = [self._reset, self._silence, self._slow, self._replace, self._crash]
        # Weighted higher, as each affects a few calls only.
        spoilt = [self._spoil] * 4
        # Weighted higher, as ends of jobs must withstand such overlapping faults.
        ends = [self._harm_around_end] * 5
        return [*nodes, *store, *upstreams, *spoilt, *ends, self._change]

    async def _cause(self, fault: Callable[[], Awaitable[str]]) -> None:
        disturbance = Disturbance(trio.current_time())
        # Recorded at its start, so that times during the fault do not count as calm.
        if fault not in (self._change, self._replace):
            self.ledger.disturbances.append(disturbance)
        what = await fault()
        disturbance.ended_s = trio.current_time()
        began_s = disturbance.began_s - self._started_s
        ended_s = disturbance.ended_s - self._started_s
        if what:
            self.descriptions.append(f"{began_s:.2f} to {ended_s:.2f}: {what}")

    def _node(self) -> NodeProcess:
        return self.rng.choice(self.harness.nodes)

    def _upstream(self) -> SoakUpstream:
        upstreams = self.harness.upstreams_of(SERVICE)
        return self.rng.choice([item for item in upstreams if item.registered] or upstreams)

    # --- nodes -----------------------------------------------------------------------------------

    async def _kill(self, node: NodeProcess | None = None) -> str:
        node = node or self._node()
        if not node.is_running:
            return ""
        node.signal(signal.SIGKILL)
        await node.process.wait()
        await trio.sleep(self.rng.uniform(0.05, 1.0))
        await node.start()
        return f"{node.name} killed"

    async def _kill_all(self) -> str:
        if self.rng.random() < 0.7:
            return ""
        # Captures the processes that are killed: an overlapping fault may restart a node before
        # its process is awaited, and the wait for the new process would never end.
        processes = [node.process for node in self.harness.nodes]
        for node in self.harness.nodes:
            node.signal(signal.SIGKILL)
        for process in processes:
            await process.wait()
        await trio.sleep(self.rng.uniform(0.1, 0.6))
        for node in self.harness.nodes:
            await node.start()
        return "all nodes killed"

    async def _stop(self, node: NodeProcess | None = None) -> str:
        """Stop a node by SIGTERM; unless disturbed, it must exit in time and with status 0."""
        node = node or self._node()
        seen_s = node.disturbed_s
        if not node.is_running or node.paused or node.killed:
            return ""
        # A node that is starting has nothing to finish, and no signal handler yet.
        if not await accepts_connections(node):
            return ""
        # An overlapping fault may have killed the node while it accepted the connection.
        if node.disturbed_s != seen_s:
            return ""
        process, sent_s = node.process, trio.current_time()
        node.signal(signal.SIGTERM)
        disturbed_s = node.disturbed_s
        with trio.move_on_after(STOP_TIMEOUT_S + 3):
            await process.wait()
        took_s = trio.current_time() - sent_s
        if node.process is process and node.disturbed_s == disturbed_s:
            if process.returncode is None:
                self.ledger.violations.append(
                    f"{node.name} still runs {took_s:.1f} s after SIGTERM"
                )
            elif process.returncode != 0:
                self.ledger.violations.append(f"{node.name} ended with {process.returncode}")
        node.signal(signal.SIGKILL)
        await process.wait()
        await node.start()
        return f"{node.name} stopped, took {took_s:.1f} s"

    async def _pause(self, node: NodeProcess | None = None) -> str:
        node = node or self._node()
        if not node.is_running or node.paused:
            return ""
        node.signal(signal.SIGSTOP)
        await trio.sleep(self.rng.uniform(0.2, 3.0))
        node.signal(signal.SIGCONT)
        return f"{node.name} paused"

    async def _harm_around_end(self) -> str:
        """Have a job ended while up to three faults affect its owner or the store."""
        jobs = [job for job in self.ledger.jobs.values() if job.awaits_end]
        if not jobs:
            return ""
        job = self.rng.choice(jobs)
        owner = self.harness.node(job.owner)
        at_owner = [self._kill, self._stop, self._pause, self._cut_node, self._silence_node]
        harms = [partial(harm, owner) for harm in at_owner]
        harms += [self._store_slow, self._lose_writes, self._store_silent, self._forget_history]
        chosen = self.rng.sample(harms, k=self.rng.randint(1, 3))
        ended_after = self.rng.randrange(len(chosen))
        async with trio.open_nursery() as nursery:
            for number, harm in enumerate(chosen):
                nursery.start_soon(harm)
                await trio.sleep(self.rng.uniform(0.0, 0.4))
                if number == ended_after:
                    job.end_now.set()
        names = [getattr(harm, "func", harm).__name__.strip("_") for harm in chosen]
        return f"{job.job_id} ended around {', '.join(names)} at {owner.name}"

    # --- the store -------------------------------------------------------------------------------

    async def _store_down(self) -> str:
        self.harness.store.take_down()
        await trio.sleep(self.rng.uniform(0.3, 4.0))
        self.harness.store.bring_up()
        return "store down"

    async def _store_silent(self) -> str:
        self.harness.store.faults.silent = True
        await trio.sleep(self.rng.uniform(0.3, 3.0))
        self.harness.store.faults.silent = False
        return "store silent"

    async def _store_slow(self) -> str:
        self.harness.store.faults.delay_ms = self.rng.uniform(50, 700)
        await trio.sleep(self.rng.uniform(0.5, 3.0))
        self.harness.store.faults.delay_ms = 0.0
        return "store slow"

    async def _lose_writes(self) -> str:
        for nth in range(1, self.rng.randint(2, 5)):
            self.harness.store.faults.lose_answer(self.rng.choice(list(LostAnswer)), nth)
        await trio.sleep(1.0)
        return "answers of writes lost"

    async def _forget_history(self) -> str:
        self.harness.store.state.compact(self.harness.store.state.revision)
        self.harness.store.cut_watches()
        return "store forgot its history"

    async def _cut_node(self, node: NodeProcess | None = None) -> str:
        node = node or self._node()
        node.store_proxy.refuses = True
        node.store_proxy.reset_open()
        await trio.sleep(self.rng.uniform(0.3, 4.0))
        node.store_proxy.refuses = False
        return f"{node.name} cut off from the store"

    async def _silence_node(self, node: NodeProcess | None = None) -> str:
        node = node or self._node()
        requests, answers = self.rng.choice(((True, True), (True, False), (False, True)))
        node.store_proxy.silence_open(requests=requests, answers=answers)
        await trio.sleep(1.5)
        return f"connections of {node.name} to the store silent"

    # --- upstreams -------------------------------------------------------------------------------

    async def _reset(self) -> str:
        item = self._upstream()
        item.proxy.reset_open()
        return f"connections to {item.upstream.upstream_id} reset"

    async def _silence(self) -> str:
        item = self._upstream()
        requests, answers = self.rng.choice(((True, True), (True, False), (False, True)))
        item.proxy.silence_open(requests=requests, answers=answers)
        await trio.sleep(1.5)
        return f"connections to {item.upstream.upstream_id} silent"

    async def _slow(self) -> str:
        item = self._upstream()
        item.proxy.delay_ms = self.rng.uniform(20, 200)
        await trio.sleep(self.rng.uniform(0.5, 3.0))
        item.proxy.delay_ms = 0.0
        return f"{item.upstream.upstream_id} slow"

    async def _spoil(self) -> str:
        item = self._upstream()
        faults = [
            UpstreamFault(cut_after=self.rng.randrange(12)),
            UpstreamFault(hang_after=self.rng.randrange(12)),
            UpstreamFault(lose=True),
            UpstreamFault(unsealed=True),
            UpstreamFault(reject=1),
        ]
        item.upstream.faults += self.rng.choices(faults, k=self.rng.randint(2, 10))
        await trio.sleep(0.5)
        return f"answers of {item.upstream.upstream_id} spoilt"

    async def _replace(self) -> str:
        """Drain and remove an upstream as in a planned replacement, and add a new one."""
        leaving = self._upstream()
        if leaving.state != "ready" or self.harness.store.faults.down:
            return ""
        self._new_upstreams += 1
        await self.harness.add_upstream(f"i-new-{self._new_upstreams}")
        leaving.state = "draining"
        self.harness.register(leaving)
        leaving.leaving_s = trio.current_time()
        await trio.sleep(3.5)
        self.harness.unregister(leaving)
        self.harness.end_upstream(leaving)
        return f"{leaving.upstream.upstream_id} left"

    async def _crash(self) -> str:
        item = self._upstream()
        ready = [other for other in self.harness.upstreams_of(SERVICE) if other.registered]
        if len(ready) <= _MIN_UPSTREAMS or item.state != "ready":
            return ""
        item.registered = False
        self.harness.end_upstream(item)
        await trio.sleep(1.2)
        self.harness.unregister(item)
        await trio.sleep(self.rng.uniform(0.1, 2.0))
        self.harness.revive_upstream(item)
        item.registered = True
        self.harness.register(item)
        return f"{item.upstream.upstream_id} crashed"

    # --- the operator ----------------------------------------------------------------------------

    async def _change(self) -> str:
        self.harness.configure({})
        return f"configuration {self.harness.config['version']}"


def initial_configuration() -> dict:
    """Return the initial configuration, including the route of version 1."""
    document = config_document()
    routes = [*document["routes"], version_route(1)]
    return {**document, "routes": routes, "tenants": initial_customers()}
