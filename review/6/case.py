"""Entries of another writer, with a number of slots that no counter holds, end nodes."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from deployment import (  # noqa: E402
    HOST,
    SERVICE,
    ZONES,
    Deployment,
    Program,
    Worker,
    read_reply,
    run_script,
)

# The number of slots in the foreign entries: more than 64 bits hold.
SLOTS_OF_OTHER = 10**30
ENTRIES = 4
# RULES.md, "Fault": three times on a tenth of the machines in use, two at least.
MIN_ENDS, MIN_MACHINES = 3, 2
CALLS_S = 20
# A stream of three events, 0.3 s apart.
EVENTS = 3
PAUSE_S = 0.3
CLIENTS = 24


class Calls:
    """What the clients sent; ``unanswered`` are requests of kept connections without an answer."""

    def __init__(self) -> None:
        self.sent = 0
        self.served = 0
        self.unanswered: list[str] = []


async def run_client(deployment: Deployment, front: Program, due_s: float, calls: Calls) -> None:
    """Send one stream request after the other on a kept connection, a new one after a loss."""
    while time.monotonic() < due_s:
        host, _, port = front.address["front"].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.2)
            continue
        sent_on_connection = 0
        try:
            while time.monotonic() < due_s:
                sent_on_connection += 1
                calls.sent += 1
                request_id = f"{calls.sent:016x}"
                writer.write(request_bytes(request_id))
                reply = await asyncio.wait_for(read_reply(reader), 5)
                calls.served += reply.status == 200 and reply.complete
                if not reply.complete or reply.headers.get("connection") == "close":
                    break
                await asyncio.sleep(0.05)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            if sent_on_connection > 1:
                calls.unanswered.append(request_id)
                deployment.record.add(f"{front.name} closed {request_id} without an answer")
        finally:
            writer.close()


def request_bytes(request_id: str) -> bytes:
    lines = [
        f"POST /rights/{request_id} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        "X-Model: m",
        "X-Deadline-Ms: 5000",
        "X-Token-Count: 450,36",
        f"X-Prompt-Prefix: 9c2e41:200,{request_id}:250",
        "Content-Length: 1",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n?").encode()


async def play(deployment: Deployment, trouble: bool) -> bool:
    record = deployment.record
    await deployment.start_store()
    deployment.configure()
    workers = [Worker(record, f"i-{i:08x}", EVENTS, PAUSE_S) for i in range(len(ZONES))]
    for worker, zone in zip(workers, ZONES, strict=True):
        await deployment.add_worker(worker, zone)
    await deployment.start_programs()
    await asyncio.sleep(3)
    for number in range(ENTRIES):
        entry = {
            "service": SERVICE,
            "address": f"{deployment.host()}:9",
            "zone": ZONES[number % len(ZONES)],
            "version": "1",
            # Without the disruption it is of another type, and the entry names no worker.
            "slots": SLOTS_OF_OTHER if trouble else str(SLOTS_OF_OTHER),
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        record.add(f"another writer writes servers/i-other-{number}: {json.dumps(entry)}")
        deployment.store.put(f"servers/i-other-{number}", json.dumps(entry).encode())
    calls, due_s = Calls(), time.monotonic() + CALLS_S
    async with asyncio.TaskGroup() as group:
        for number in range(CLIENTS):
            front = deployment.fronts[number % len(deployment.fronts)]
            group.create_task(run_client(deployment, front, due_s, calls))
    run = {request_id for worker in workers for _, request_id, _ in worker.runs}
    lost = [request_id for request_id in calls.unanswered if request_id in run]
    record.add(f"{calls.sent} calls, {calls.served} served, {len(lost)} passed on and lost: {lost}")
    ends = {program.name: program.own_ends for program in deployment.fronts if program.own_ends}
    record.add(f"processes that ended by themselves: {ends}")
    return sum(count >= MIN_ENDS for count in ends.values()) >= MIN_MACHINES


if __name__ == "__main__":
    sys.exit(run_script(FOLDER, play))
