"""Two nodes are stopped and started in turn, the first while the platform's store is slow.

Afterwards a node in touch must list every result that any node has listed before.
"""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from common import (  # noqa: E402
    CONTACT_S,
    READ_EVERY_S,
    SETTLE_S,
    TROUBLE,
    read,
    read_whole,
    run_case,
    submit,
    wait_until,
)

# platform_slow of the site file: answers take up to 87 times 4 ms, for at most 5.1 s.
SLOW_S, SLOW_FOR_S = 87 * 0.004, 5.1
GRACE_S = 8.0
ITEMS, EVENTS = 10, 40
JOB = "7c41e09b52d6a3f8"


async def plan(request, first):
    """Give the events of an item; items differ in length, so they end one after the other."""
    number = int(request["path"].split("/")[2])
    for event in range(first, EVENTS + 1):
        await asyncio.sleep((1.2 + 0.3 * number) / EVENTS)
        yield event, f"{request['id']} {event}"


def whole_text(item_id):
    return "\n".join(f"{item_id} {event}" for event in range(1, EVENTS + 1))


async def follow(fleet, nodes, seen, stop):
    """Read new results twice a second, as clients do; each call goes to any node.

    The first results are read at the first of ``nodes``, all others at the second.
    """
    after = 0
    while not stop.is_set():
        answer = await read(fleet, nodes[1] if after else nodes[0], JOB, after, "reader")
        if answer is not None:
            for position, result in enumerate(answer["results"], after):
                seen.setdefault(position, result)
            after = answer["nextToken"]
        await asyncio.sleep(READ_EVERY_S)


async def restart(node):
    """Stop a node as the platform does, and start it again."""
    node.signal(signal.SIGTERM)
    await node.ended(GRACE_S)
    await node.start()


def later_owner(fleet):
    """Return the node that took the job over, by its log; only to choose what is stopped next."""
    for node in fleet.nodes:
        for event in node.log_events("job_claimed"):
            if event.get("job_id") == JOB and event.get("outcome") == "claimed":
                return node
    return None


def end_slow(fleet):
    fleet.store.delay_s = lambda name: 0.004
    fleet.record.add("store no longer slow")


async def run(fleet):
    for worker in fleet.workers:
        worker.plan = plan
    commits = []

    def on_txn(request, status):
        keys = [write["key"] for write in request.get("writes", [])]
        if status == 200 and any("/results/" in key for key in keys):
            commits.append(keys)

    fleet.store.on_txn = on_txn
    await fleet.start()
    await asyncio.sleep(CONTACT_S)
    first, *others = fleet.nodes
    if await submit(fleet, first, JOB, ITEMS) != 202:
        return None
    seen, stop = {}, asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for node in others[1:]:
            group.create_task(follow(fleet, [node, others[0]], seen, stop))
        if TROUBLE:
            fleet.store.delay_s = lambda name: SLOW_S
            fleet.record.add("store slow", answer_s=SLOW_S)
            asyncio.get_running_loop().call_later(SLOW_FOR_S, end_slow, fleet)
            # The node is stopped while its first write of results waits for the store's answer.
            await wait_until(lambda: commits, 10)
            await asyncio.sleep(0.25)
            await restart(first)
        await wait_until(lambda: len(seen) == ITEMS, 40)
        stop.set()
    if TROUBLE:
        second = later_owner(fleet)
        if second is None:
            return None
        await restart(second)
        await second.wait_ready()
    await asyncio.sleep(CONTACT_S + SETTLE_S)
    broken = False
    for node in reversed(fleet.nodes):
        results = await read_whole(fleet, node, JOB, ITEMS, "final")
        if results is None:
            return None
        whole = {item["id"] for item in results if item["text"] == whole_text(item["id"])}
        missing = sorted(position for position in seen if position >= len(results))
        fleet.record.add("final", node=node.name, listed=len(results), read_before_but_missing=missing)
        print(f"{node.name}: {len(results)} of {ITEMS} results, {len(whole)} whole", flush=True)
        broken |= bool(missing)
    return broken


if __name__ == "__main__":
    run_case(HERE, "LOST", run, nodes=4, spools=3, workers=3)
