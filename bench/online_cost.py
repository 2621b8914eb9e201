"""Compare the cost of online requests through an entry with direct requests to the engine.

    python -m bench.online_cost [--record]

The programs run in separate processes.  Requests alternate between the two paths, so that both run
under the same machine load.  The caller measures first-token times; CPU is the kernel's count for
the entry's process and for all agents, minus their idle use.  Answers of two lengths give the
slopes: CPU per request and per streamed token.
"""

import statistics
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from bench.slopes import Slope, record_slopes
from fescuedock.address import Address
from fescuedock.net.http_client import HttpClient, open_http_client
from tests.builders.local import wait_until
from tests.builders.processes import EXAMPLES, VMS, copy_examples, run_program, wait_ready

CHAT = "/v1/chat/completions"
MODEL = "trip-desk-7b"
STEP_MS = 2
PAIRS = 150
ROUNDS = 5
REQUESTS = 60
CONCURRENT = 10
SHORT_TOKENS = 8
LONG_TOKENS = 108
IDLE_S = 2.0
NS_PER_US = 1000


@dataclass(slots=True)
class Setup:
    """The running programs, and the addresses of the entry and of an engine."""

    http: HttpClient
    entry: Address
    engine: Address
    entry_pids: list[int]
    agent_pids: list[int]


@dataclass(slots=True)
class CpuUse:
    """CPU of one run, in microseconds."""

    entry_us: float
    agents_us: float


@dataclass(slots=True)
class Costs:
    """CPU per request of each round, by kind of request."""

    by_kind: dict[str, list[CpuUse]] = field(default_factory=dict)

    def add(self, kind: str, used: CpuUse) -> None:
        self.by_kind.setdefault(kind, []).append(used)

    def median(self, kind: str, part: str) -> float:
        return statistics.median(getattr(used, part) for used in self.by_kind[kind])


@asynccontextmanager
async def open_setup() -> AsyncIterator[Setup]:
    """Run a stand-in platform, three agents and one entry."""
    with tempfile.TemporaryDirectory(prefix="fescuedock-bench-") as name:
        folder = Path(name)
        network = copy_examples(folder)
        standin = folder / "standin.ini"
        text = standin.read_text(encoding="utf-8")
        standin.write_text(text.replace("[standin]\n", f"[standin]\nstep_ms = {STEP_MS}\n"))
        log = folder / "stderr.log"
        async with AsyncExitStack() as stack:
            start = stack.enter_async_context
            await wait_ready(await start(run_program("standin", standin, log)), log)
            agents = [await start(run_program("agent", folder / f"{vm}.ini", log)) for vm in VMS]
            for agent in agents:
                await wait_ready(agent, log)
            entry = await start(run_program("entry", folder / f"{VMS[0]}.ini", log))
            await wait_ready(entry, log)
            http = await start(open_http_client())
            setup = Setup(
                http,
                Address(f"{network}1", 8080),
                await first_engine(http, text),
                [entry.pid],
                [agent.pid for agent in agents],
            )
            await configure(setup)
            yield setup


async def first_engine(http: HttpClient, standin_ini: str) -> Address:
    """Return the address of an engine of the model's service, from the VM list."""
    host, port = "", ""
    for line in standin_ini.splitlines():
        key, _, value = line.partition("=")
        host = value.strip() if key.strip() == "host" else host
        port = value.strip() if key.strip() == "vm_list_port" else port
    async with http.request(Address(host, int(port)), "GET", "/v1/vms") as response:
        vms = msgspec.json.decode(await response.read())["vms"]
    engine = next(vm for vm in vms if vm["kind"] == "engine")
    return Address(engine["host"], engine["port"])


async def configure(setup: Setup) -> None:
    services = msgspec.json.decode((EXAMPLES / "services.json").read_bytes())
    patch = {"base_version": 0, "patch_id": "bench", "patch": services}

    async def patched() -> bool:
        return await status_of(setup, "/admin/config/patches", patch) == 200

    async def answers() -> bool:
        return await status_of(setup, CHAT, body_of("ready?", 1)) == 200

    await wait_until(patched)
    await wait_until(answers)


async def status_of(setup: Setup, path: str, body: object) -> int:
    data = msgspec.json.encode(body)
    async with setup.http.request(setup.entry, "POST", path, [], data) as response:
        await response.read()
        return response.status


def body_of(text: str, tokens: int, *, stream: bool = True) -> dict[str, object]:
    messages = [{"role": "user", "content": text}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": stream}


async def first_token_ms(http: HttpClient, address: Address, body: dict[str, object]) -> float:
    """Return the time to the first bytes of the answer, and read it to its end."""
    data = msgspec.json.encode(body)
    started_s = trio.current_time()
    first_s = 0.0
    async with http.request(address, "POST", CHAT, [], data) as response:
        async for _ in response.chunks():
            first_s = first_s or trio.current_time()
    return (first_s - started_s) * 1000


def cpu_us(pids: list[int]) -> float:
    """Return the CPU time of processes so far."""
    return (
        sum(
            int(Path(f"/proc/{pid}/schedstat").read_text(encoding="ascii").split()[0])
            for pid in pids
        )
        / NS_PER_US
    )


async def measure_requests(setup: Setup, idle: CpuUse, body: dict[str, object]) -> CpuUse:
    """Send ``REQUESTS`` requests through the entry; return the CPU per request."""
    started_s = trio.current_time()
    before = CpuUse(cpu_us(setup.entry_pids), cpu_us(setup.agent_pids))
    waiting = iter(range(REQUESTS))

    async def caller() -> None:
        for _ in waiting:
            await first_token_ms(setup.http, setup.entry, body)

    async with trio.open_nursery() as nursery:
        for _ in range(CONCURRENT):
            nursery.start_soon(caller)
    elapsed_s = trio.current_time() - started_s
    entry_us = cpu_us(setup.entry_pids) - before.entry_us - idle.entry_us * elapsed_s
    agents_us = cpu_us(setup.agent_pids) - before.agents_us - idle.agents_us * elapsed_s
    return CpuUse(entry_us / REQUESTS, agents_us / REQUESTS)


async def idle_use(setup: Setup) -> CpuUse:
    """Return the CPU per second without requests."""
    before = CpuUse(cpu_us(setup.entry_pids), cpu_us(setup.agent_pids))
    await trio.sleep(IDLE_S)
    entry_us = (cpu_us(setup.entry_pids) - before.entry_us) / IDLE_S
    return CpuUse(entry_us, (cpu_us(setup.agent_pids) - before.agents_us) / IDLE_S)


async def compare_first_tokens(setup: Setup) -> None:
    direct: list[float] = []
    through_entry: list[float] = []
    for number in range(PAIRS):
        body = body_of(f"question {number}", SHORT_TOKENS)
        direct.append(await first_token_ms(setup.http, setup.engine, body))
        through_entry.append(await first_token_ms(setup.http, setup.entry, body))
    print("first token, ms       p50    p90    p99")
    for name, values in (("direct", direct), ("entry", through_entry)):
        cuts = statistics.quantiles(values, n=100)
        print(f"{name:18} {cuts[49]:6.2f} {cuts[89]:6.2f} {cuts[98]:6.2f}")
    added = sorted(
        entry_ms - direct_ms for entry_ms, direct_ms in zip(through_entry, direct, strict=True)
    )
    ratio = statistics.median(through_entry) / statistics.median(direct)
    print(f"added, median of pairs {added[len(added) // 2]:.2f} ms; ratio of medians {ratio:.3f}")


async def compare_cpu(setup: Setup) -> None:
    idle = await idle_use(setup)
    costs = Costs()
    kinds = {
        "short": body_of("a question", SHORT_TOKENS),
        "long": body_of("a question", LONG_TOKENS),
        "whole": body_of("a question", SHORT_TOKENS, stream=False),
    }
    for _ in range(ROUNDS):
        for kind, body in kinds.items():
            costs.add(kind, await measure_requests(setup, idle, body))
    print(
        f"idle: entry {idle.entry_us / 1e4:.2f}%, each agent {idle.agents_us / 3e4:.2f}% of a core"
    )
    print("CPU, us             entry  agents")
    slopes = {}
    for part in ("entry_us", "agents_us"):
        short, long = costs.median("short", part), costs.median("long", part)
        token_us = (long - short) / (LONG_TOKENS - SHORT_TOKENS)
        slopes[part] = (token_us, short - SHORT_TOKENS * token_us, costs.median("whole", part))
    for row, name in enumerate(("streamed token", "streamed request", "whole request")):
        print(f"{name:18} {slopes['entry_us'][row]:6.0f}  {slopes['agents_us'][row]:6.0f}")
    if "--record" in sys.argv:
        record_slopes(
            {
                "online_token_us": _slope(slopes["entry_us"][0], "of the entry, a streamed token"),
                "online_request_us": _slope(slopes["entry_us"][1], "of the entry, a request"),
                "online_agents_us": _slope(slopes["agents_us"][1], "of all agents, a request"),
            }
        )


def _slope(value_us: float, description: str) -> Slope:
    return Slope(
        round(value_us, 1), "us", "python -m bench.online_cost --record", f"CPU {description}"
    )


async def main() -> None:
    async with open_setup() as setup:
        await compare_first_tokens(setup)
        await compare_cpu(setup)


if __name__ == "__main__":
    trio.run(main)
