"""Measure planned stops of entries under load: ``python -m bench.stops [STOPS]``.

Runs a local system of three VMs and eight more with an agent and an entry each.  Callers follow the
protocol: they query an entry for the entries to use, cache the answer for its validity, and stream.
Four entries at a time shut down gracefully and start again.  Any request without a complete answer
counts as cut.
"""

import random
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.agent.main import run_agent
from fescuedock.backing.vm_list import ROLE_SYSTEM, ListedVm
from fescuedock.cli.local import LocalSystem, open_local
from fescuedock.cli.local_setup import CHAT_MODEL, PLACES
from fescuedock.cli.local_vm import VmPlace, vm_settings
from fescuedock.daemon import Stop
from fescuedock.entry.entries import EntriesAnswer
from fescuedock.entry.main import run_entry
from fescuedock.net.http_client import HttpClient, NotSentError, ResponseLostError
from fescuedock.settings import Settings

__all__ = ["main"]

_ADDITIONAL_VMS = 8
_STOPPED_AT_ONCE = 4
_CALLERS = 24
_STOPS = 100
_MAX_TOKENS = 24
_JSON = (("content-type", "application/json"),)


@dataclass(slots=True)
class _Results:
    requests: int = 0
    served_by_leaving: int = 0
    problems: Counter[str] = field(default_factory=Counter)
    leaving: set[str] = field(default_factory=set)
    stop_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class _EntryVm:
    """A VM whose agent keeps running while its entry stops and starts."""

    settings: Settings
    address: Address | None = None
    stop: Stop = field(default_factory=Stop)
    ended: trio.Event = field(default_factory=trio.Event)

    async def start_entry(self, nursery: trio.Nursery) -> None:
        self.stop, self.ended = Stop(), trio.Event()
        self.address = await nursery.start(self._run_entry)

    async def _run_entry(self, *, task_status: trio.TaskStatus[Address]) -> None:
        await run_entry(self.settings, self.stop, task_status=task_status)
        self.ended.set()


async def _start_vm(system: LocalSystem, number: int, nursery: trio.Nursery) -> _EntryVm:
    domain = PLACES[number % len(PLACES)].failure_domain
    place = VmPlace(f"vm-more-{number}", PLACES[0].region, domain, f"127.0.1.{number + 1}")
    settings = vm_settings(place, system.standins.platform_settings(), 0, Path("/nonexistent"))
    agent = await nursery.start(partial(run_agent, settings, Stop()))
    system.standins.vm_list.add(
        ListedVm(place.vm_id, ROLE_SYSTEM, place.region, domain, agent.host, agent.port)
    )
    port = msgspec.structs.replace(settings.agent, port=agent.port)
    vm = _EntryVm(msgspec.structs.replace(settings, agent=port))
    await vm.start_entry(nursery)
    return vm


async def _call_forever(system: LocalSystem, results: _Results, rng: random.Random) -> None:
    """Simulate one caller with its own connections."""
    http = HttpClient()
    entries: list[str] = []
    expires_s = 0.0
    while True:
        if not entries or trio.current_time() >= expires_s:
            requested_s = trio.current_time()
            current_entry = Address.parse(entries[0]) if entries else system.entry_address
            response_entries = await _fetch_entries(http, current_entry, system.entry_address)
            entries = [entry.address for entry in response_entries.entries]
            # Validity counts from the time of the request, since the answer may be delayed.
            expires_s = requested_s + response_entries.valid_for_ms / 1000
            continue
        results.requests += 1
        results.served_by_leaving += entries[0] in results.leaving
        problem = await _stream(http, Address.parse(entries[0]), rng)
        if problem:
            results.problems[problem] += 1
        await trio.sleep(rng.uniform(0, 0.05))


async def _fetch_entries(
    http: HttpClient, current_entry: Address, fallback_entry: Address
) -> EntriesAnswer:
    for address in (current_entry, fallback_entry):
        try:
            async with http.request(address, "GET", "/v1/entries") as response:
                if response.status == 200:
                    return msgspec.json.decode(await response.read(), type=EntriesAnswer)
        except (NotSentError, ResponseLostError):
            # The list that named this entry has expired, so it may have stopped.
            continue
    raise RuntimeError("no entry answered with the list of entries")


async def _stream(http: HttpClient, entry: Address, rng: random.Random) -> str:
    """Return the problem of one streamed request, or "" when the answer is complete."""
    text = f"case {rng.getrandbits(40)}"
    body = {
        "model": CHAT_MODEL,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": _MAX_TOKENS,
        "stream": True,
    }
    target, data = "/v1/chat/completions", msgspec.json.encode(body)
    try:
        async with http.request(entry, "POST", target, _JSON, data) as response:
            answer = await response.read()
    except (NotSentError, ResponseLostError) as error:
        return type(error).__name__
    if response.status != 200:
        return f"status {response.status}: {answer[:120]!r}"
    return "" if answer.rstrip().endswith(b"data: [DONE]") else "no [DONE]"


async def _stop_entries(
    vms: list[_EntryVm], count: int, results: _Results, nursery: trio.Nursery
) -> None:
    while len(results.stop_s) < count:
        chosen = vms[:_STOPPED_AT_ONCE]
        vms[:] = vms[_STOPPED_AT_ONCE:] + chosen
        started_s = trio.current_time()
        for vm in chosen:
            results.leaving.add(str(vm.address))
            vm.stop.request()
        for vm in chosen:
            await vm.ended.wait()
            results.stop_s.append(trio.current_time() - started_s)
            results.leaving.discard(str(vm.address))
        for vm in chosen:
            await vm.start_entry(nursery)
        # Callers send no load until the restarted entries are listed again.
        await trio.sleep(1.5)


async def measure_stops(count: int) -> _Results:
    """Stop entries ``count`` times under load."""
    results = _Results()
    with tempfile.TemporaryDirectory() as folder:
        async with open_local(0, Path(folder)) as system, trio.open_nursery() as nursery:
            vms = [await _start_vm(system, number, nursery) for number in range(_ADDITIONAL_VMS)]
            await trio.sleep(2)
            for seed in range(_CALLERS):
                nursery.start_soon(_call_forever, system, results, random.Random(seed))
            await trio.sleep(2)
            await _stop_entries(vms, count, results, nursery)
            nursery.cancel_scope.cancel()
    return results


def main() -> None:
    """Print the results of the requests."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else _STOPS
    results = trio.run(measure_stops, count)
    print(f"{len(results.stop_s)} stops, {max(results.stop_s):.1f} s the longest")
    print(
        f"{results.requests} requests, {results.served_by_leaving} of them sent to a leaving entry"
    )
    print(f"{results.problems.total()} cut or refused {dict(results.problems)}")


if __name__ == "__main__":
    main()
