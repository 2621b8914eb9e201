"""Measure online goodput under overload, and the recovery afterwards.

    python -m bench.online_overload

One entry, one owner and two small stand-in engines run in one process with real sockets.  Requests
arrive at random times, at multiples of the engines' capacity, in successive phases on the same
fleet.  Goodput counts complete answers within their deadline, by the phase of their arrival.
"""

import random
import statistics
from collections import Counter
from dataclasses import dataclass, field

import msgspec
import trio

from fescuedock.net.http_client import ResponseLostError
from tests.builders.online import (
    OnlineFleet,
    chat_body,
    open_fleet,
    oracle_text,
    read_stream,
    wait_until,
)

CHAT = "/v1/chat/completions"
PHASES = (0.7, 1.0, 2.0, 4.0, 0.7)
PHASE_S = 10.0
DEADLINE_MS = 3000
ENGINES = 2
SEQUENCES = 4
STEP_MS = 50.0
STEP_MS_PER_SEQUENCE = 0.1
TOKENS = 12
CAPACITY_PER_S = ENGINES * SEQUENCES / (TOKENS * (STEP_MS + STEP_MS_PER_SEQUENCE) / 1000)


@dataclass(slots=True)
class Phase:
    """Results of the requests that arrived in one phase; times in seconds."""

    load: float
    offered: int = 0
    results: Counter[str] = field(default_factory=Counter)
    first_token_s: list[float] = field(default_factory=list)
    refused_after_s: list[float] = field(default_factory=list)
    last_bad_s: float = 0.0

    @property
    def is_complete(self) -> bool:
        return self.results.total() == self.offered

    def row(self) -> str:
        good = self.results["good"] / PHASE_S
        first, refused = self.first_token_s, self.refused_after_s
        others = ", ".join(
            f"{count} {name}" for name, count in sorted(self.results.items()) if name != "good"
        )
        return (
            f"{self.load:4.1f} {self.offered / PHASE_S:8.1f} {good:8.1f}"
            f" {_quantile(first, 50):8.2f} {_quantile(first, 99):8.2f}"
            f" {_quantile(refused, 50):8.2f} {_quantile(refused, 99):8.2f}"
            f"  {others}"
        )


def _quantile(values: list[float], percent: int) -> float:
    if len(values) < 2:
        return values[0] if values else 0.0
    return statistics.quantiles(values, n=100)[percent - 1]


async def send(fleet: OnlineFleet, phase: Phase, started_s: float, number: int) -> None:
    body = chat_body(f"request {number}", max_tokens=TOKENS)
    sent_s = trio.current_time()
    name, first_s = await _outcome(fleet, body)
    elapsed_s = trio.current_time() - sent_s
    if name == "whole":
        name = "good" if elapsed_s <= DEADLINE_MS / 1000 else "late"
        phase.first_token_s.append(first_s - sent_s)
    else:
        phase.refused_after_s.append(elapsed_s)
    phase.results[name] += 1
    if name != "good":
        phase.last_bad_s = max(phase.last_bad_s, sent_s - started_s)


async def _outcome(fleet: OnlineFleet, body: dict[str, object]) -> tuple[str, float]:
    headers = [("x-deadline-ms", str(DEADLINE_MS))]
    data, first_s = b"", 0.0
    try:
        async with fleet.http.request(
            fleet.entry, "POST", CHAT, headers, msgspec.json.encode(body)
        ) as response:
            async for chunk in response.chunks():
                first_s = first_s or trio.current_time()
                data += chunk
    except ResponseLostError:
        return "broken", first_s
    if response.status != 200:
        return msgspec.json.decode(data)["error"]["name"], first_s
    return ("whole" if read_stream(data).text == oracle_text(body) else "WRONG"), first_s


async def run_phase(
    fleet: OnlineFleet, nursery: trio.Nursery, phase: Phase, rng: random.Random
) -> None:
    """Send the requests of the phase; those still running continue into the next phase."""
    started_s = trio.current_time()
    while trio.current_time() < started_s + PHASE_S:
        nursery.start_soon(send, fleet, phase, started_s, rng.getrandbits(40))
        phase.offered += 1
        await trio.sleep(rng.expovariate(CAPACITY_PER_S * phase.load))


async def main() -> None:
    rng = random.Random(1)
    engine = {"max_sequences": SEQUENCES, "step_ms_per_sequence": STEP_MS_PER_SEQUENCE}
    phases = [Phase(load) for load in PHASES]
    async with (
        open_fleet(engines=ENGINES, step_ms=STEP_MS, engine_changes=engine) as fleet,
        trio.open_nursery() as nursery,
    ):
        for phase in phases:
            await run_phase(fleet, nursery, phase, rng)
        await wait_until(lambda: all(phase.is_complete for phase in phases))
    print(f"capacity {CAPACITY_PER_S:.1f}/s, deadline {DEADLINE_MS} ms; times in s")
    print("load  offered  goodput  ft p50   ft p99  ref p50  ref p99  others")
    for phase in phases:
        print(phase.row())
    peak = max(phase.results["good"] for phase in phases)
    for phase in phases:
        if phase.load > 1:
            print(f"goodput at {phase.load:.0f}x: {phase.results['good'] / peak:.0%} of the peak")
    print(f"last failure after the overload: {phases[-1].last_bad_s:.1f} s into the last phase")


if __name__ == "__main__":
    trio.run(main)
