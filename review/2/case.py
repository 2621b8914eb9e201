"""The platform's store is down for some seconds while a large batch job runs.

After its return and ``finishS`` more, every item of the batch job must be listed.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from common import (  # noqa: E402
    CONTACT_S,
    READ_EVERY_S,
    TROUBLE,
    item_ids,
    read,
    read_whole,
    run_case,
    submit,
)

# platform_down of the site file: at most 6.2 s (how = "reset").
DOWN_S = 6.0
FINISH_S = 18.0
JOB = "7c41e09b52d6a3f8"
# A submission has at most 200 items.
ITEMS = 150
# An item has 247 events of about 65 bytes in the sheet; 21 characters of 3 bytes each are 63 bytes.
EVENTS = 247
WORDS = "致委员会关于停水停电的申诉信请予审理谢谢"
ITEM_S = 1.2
# Six workers with 4 slots: 24 items at once, 24 x 15.6 KB a commit while the store answers.
WORKERS, SLOTS = 6, 4


def event_text(item_id, event):
    shift = (int(item_id, 16) + event) % len(WORDS)
    return WORDS[shift:] + WORDS[:shift]


def whole_text(item_id):
    return "\n".join(event_text(item_id, event) for event in range(1, EVENTS + 1))


async def plan(request, first):
    """Give the events of an item, several at a time."""
    for event in range(first, EVENTS + 1):
        if event % 13 == 0:
            await asyncio.sleep(ITEM_S * 13 / EVENTS)
        yield event, event_text(request["id"], event)


async def is_excused(fleet):
    """Whether a worker had an item in the coming 5 s, or finished one in the last 3 s of them."""
    busy, begun, finished = False, fleet.runs_begun(), 0
    for number in range(100):
        if number == 40:
            finished = len(fleet.runs_completed())
        busy |= fleet.workers_busy() > 0
        await asyncio.sleep(0.05)
    return busy or fleet.runs_begun() > begun or len(fleet.runs_completed()) > finished


async def run(fleet):
    for worker in fleet.workers:
        worker.plan = plan
    await fleet.start()
    await asyncio.sleep(CONTACT_S)
    if await submit(fleet, fleet.nodes[0], JOB, ITEMS) != 202:
        return None
    if TROUBLE:
        await asyncio.sleep(0.5)
        fleet.record.add("store down", for_s=DOWN_S)
        fleet.store.set_down(True)
        await asyncio.sleep(DOWN_S)
        fleet.store.set_down(False)
        fleet.record.add("store back")
    seen, since = 0, asyncio.get_running_loop().time()
    node_number = 0
    while asyncio.get_running_loop().time() - since < FINISH_S + 7 and seen < ITEMS:
        node_number += 1
        answer = await read(fleet, fleet.nodes[node_number % len(fleet.nodes)], JOB, seen, "reader")
        seen = seen if answer is None else answer["nextToken"]
        await asyncio.sleep(READ_EVERY_S)
    excused = await is_excused(fleet)
    fleet.record.add("last 5 s", excused=excused)
    broken = False
    for node in fleet.nodes:
        results = await read_whole(fleet, node, JOB, ITEMS, "final", tries=3)
        if results is None:
            return None
        whole = {item["id"] for item in results if item["text"] == whole_text(item["id"])}
        unlisted = set(item_ids(JOB, ITEMS)) - {item["id"] for item in results}
        fleet.record.add("final", node=node.name, listed=len(results), whole=len(whole))
        print(f"{node.name}: {len(results)} of {ITEMS} items listed, {len(whole)} whole", flush=True)
        broken |= bool(unlisted) and not excused
    finished, busy = len(fleet.runs_completed()), fleet.workers_busy()
    fleet.record.add("workers", finished_items=finished, runs_in_progress=busy)
    print(f"workers have finished {finished} of {ITEMS} items; {busy} runs are in progress")
    return broken


if __name__ == "__main__":
    run_case(HERE, "LOST", run, nodes=4, spools=3, workers=WORKERS, slots=SLOTS)
