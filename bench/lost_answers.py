"""Compare ways of resolving writes whose answer is lost.

    python -m bench.lost_answers

Three writers overwrite one key concurrently, ten times each; three in ten writes lose an answer
(before or after their effect, or with a delayed effect).  Virtual time, seeded.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, fields

import trio
import trio.testing
from result import Err, Ok, Result

from fescuedock.backing.kv_writes import put_resolved
from fescuedock.faults import Fault
from fescuedock.kv import KvStore
from fescuedock.schema.result_codes import ResultCode
from fescuedock.standin.kv_faults import LostAnswer
from tests.builders.kv import MemoryKv

SEEDS = 300
WRITES = 10
KEY = "key"

PutStrategy = Callable[
    [KvStore, str, bytes, int, Callable[[bytes], bool]], Awaitable[Result[int, Fault]]
]


@dataclass(slots=True)
class Counts:
    """Results reported to the writers compared with the actual writes.

    ``said_there_but_not`` counts writes reported as stored that were not, ``said_not_but_there``
    the reverse.
    """

    writes: int = 0
    unknown: int = 0
    said_there_but_not: int = 0
    said_not_but_there: int = 0
    calls: int = 0

    def add(self, other: "Counts") -> None:
        for item in fields(self):
            setattr(self, item.name, getattr(self, item.name) + getattr(other, item.name))


async def give_up(kv, key, value, revision, is_ours):
    """Return the first result."""
    return await kv.put_if(key, value, revision)


async def read_once(kv, key, value, revision, is_ours):
    """After a lost answer read the key once."""
    result = await kv.put_if(key, value, revision)
    if isinstance(result, Ok) or result.err_value.code is not ResultCode.KV_UNKNOWN:
        return result
    return await current_value(kv, key, is_ours)


async def repeat_and_read(kv, key, value, revision, is_ours):
    """Repeat the write until it is answered; after a conflict read the key."""
    while True:
        result = await kv.put_if(key, value, revision)
        if isinstance(result, Ok):
            return result
        if result.err_value.code is ResultCode.KV_CONFLICT:
            return await current_value(kv, key, is_ours)
        await trio.sleep(0.05)


async def current_value(kv, key, is_ours) -> Result[int, Fault]:
    entry = (await kv.get(key)).unwrap()
    if entry is not None and is_ours(entry.value):
        return Ok(entry.mod_revision)
    return Err(Fault(ResultCode.KV_CONFLICT, f"{key} is another's"))


def run_seed(put_strategy: PutStrategy, seed: int) -> Counts:
    rng = random.Random(seed)
    kv = MemoryKv()
    kv.faults.delay_ms = 3
    written: list[tuple[int, bytes]] = []
    results_seen: list[tuple[bytes, Result[int, Fault]]] = []
    kv.state.listeners.append(lambda event: written.append((event.revision, event.entry.value)))

    async def write(name: str) -> None:
        for number in range(WRITES):
            current = (await kv.get(KEY)).unwrap()
            value = f"{name}{number}".encode()
            if rng.random() < 0.3:
                kv.faults.lose_answer(rng.choice(list(LostAnswer)), rng.randint(1, 3))
            revision = current.mod_revision if current else 0
            result = await put_strategy(
                kv, KEY, value, revision, lambda stored, v=value: stored == v
            )
            results_seen.append((value, result))
            await trio.sleep(rng.random() * 0.05)

    async def land_late() -> None:
        while True:
            await trio.sleep(0.07)
            kv.apply_late_writes()

    async def run() -> None:
        async with trio.open_nursery() as background:
            background.start_soon(land_late)
            async with trio.open_nursery() as writers:
                for name in "abc":
                    writers.start_soon(write, name)
            background.cancel_scope.cancel()
        kv.apply_late_writes()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return judge(results_seen, written, kv.faults.total_calls)


def judge(
    results_seen: list[tuple[bytes, Result[int, Fault]]],
    written: list[tuple[int, bytes]],
    calls: int,
) -> Counts:
    counts = Counts(writes=len(results_seen), calls=calls)
    values = {value for _, value in written}
    for value, result in results_seen:
        if isinstance(result, Ok):
            counts.said_there_but_not += (result.ok_value, value) not in written
        elif result.err_value.code is ResultCode.KV_UNKNOWN:
            counts.unknown += 1
        else:
            counts.said_not_but_there += value in values
    return counts


def main() -> None:
    for put_strategy in (give_up, read_once, repeat_and_read, put_resolved):
        total = Counts()
        for seed in range(SEEDS):
            total.add(run_seed(put_strategy, seed))
        print(f"{put_strategy.__name__:16} {total}")


if __name__ == "__main__":
    main()
