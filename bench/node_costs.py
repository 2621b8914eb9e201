"""Measure the processor time of a node: its start, an idle second, and an online call.

Runs real node processes, and stand-ins in this one: ``python -m bench.node_costs [--nodes N]``.
Processor time includes the kernel's; other load on the machine can double it.
"""

import os
import sys
import tempfile
from functools import partial
from pathlib import Path

import fire
import msgspec
import trio

from fescuedock.address import Address
from fescuedock.net.http_client import HttpClient
from tests.builders.local import wait_until
from tests.soak.harness import NodeProcess, SoakHarness, accepts_connections, loopback_network

__all__ = ["measure"]

# The minimum that the settings of a ``World`` allow.
_SPOOLS = 3
_IDLE_S = 10.0
_SETTLE_S = 5.0
_CALLS = 400
_CALLS_PER_S = 40.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Indices in /proc/PID/stat after the command name: user and system time.
_USER_FIELD, _SYSTEM_FIELD = 11, 12


class NodeCosts(msgspec.Struct):
    """Means over the nodes; processor times in milliseconds."""

    nodes: int
    start_ms: float
    idle_ms_per_s: float
    call_ms: float


def measure(nodes: int = 10, upstreams: int = 5) -> None:
    """Print the costs as one JSON line."""
    costs = trio.run(_measure, nodes, upstreams)
    print(msgspec.json.encode(costs).decode())


async def _measure(nodes: int, upstreams: int) -> NodeCosts:
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            world = SoakHarness(nursery, Path(folder), loopback_network())
            await world.start(nodes, upstreams, _SPOOLS)
            try:
                return await _measure_world(world)
            finally:
                await world.end()
                nursery.cancel_scope.cancel()


async def _measure_world(world: SoakHarness) -> NodeCosts:
    for node in world.nodes:
        await wait_until(partial(accepts_connections, node))
    start_ms = _mean_ms(world.nodes)
    await trio.sleep(_SETTLE_S)
    before_ms = _mean_ms(world.nodes)
    await trio.sleep(_IDLE_S)
    idle_ms_per_s = (_mean_ms(world.nodes) - before_ms) / _IDLE_S
    before_ms = _mean_ms(world.nodes)
    started_s = trio.current_time()
    await _call_all(world)
    idle_ms = idle_ms_per_s * (trio.current_time() - started_s)
    calls_ms = (_mean_ms(world.nodes) - before_ms - idle_ms) * len(world.nodes)
    return NodeCosts(len(world.nodes), start_ms, idle_ms_per_s, calls_ms / _CALLS)


def _mean_ms(nodes: list[NodeProcess]) -> float:
    return sum(_processor_ms(node.process.pid) for node in nodes) / len(nodes)


def _processor_ms(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return 1000 * ticks / _TICKS_PER_S


async def _call_all(world: SoakHarness) -> None:
    client = HttpClient()
    async with trio.open_nursery() as nursery:
        for number in range(_CALLS):
            node = world.nodes[number % len(world.nodes)]
            nursery.start_soon(_call, client, node.front, number)
            await trio.sleep(1 / _CALLS_PER_S)
    await client.close()


async def _call(client: HttpClient, front: Address, number: int) -> None:
    headers = [("host", "desk.example"), ("x-request-id", f"cost-{number}")]
    async with client.request(front, "POST", f"/check/{number}", headers, b"x" * 200) as answer:
        await answer.read()


if __name__ == "__main__":
    sys.exit(fire.Fire(measure))
