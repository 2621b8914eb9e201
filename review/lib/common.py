"""What the cases share: submitting a batch job, reading it, and telling how a case ended."""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import sys
import tempfile
import traceback

from fleet import Fleet

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 3.0
SETTLE_S = 1.0
READ_EVERY_S = 0.5
# A script may run for 120 s.
LIMIT_S = 105


def item_ids(job_id, count):
    return [f"{int(job_id, 16) ^ (0x1000 + number):016x}" for number in range(count)]


def submission(job_id, count):
    """Return the body of a submission like those of the sheet."""
    items = []
    for number, item_id in enumerate(item_ids(job_id, count)):
        headers = {"X-Model": "m", "X-Token-Count": "350,247"}
        headers["X-Prompt-Prefix"] = f"9c2e41:100,{item_id[-8:]}:250"
        body = base64.b64encode(item_id.encode() * 8).decode()
        path = f"/pule252/{number}/91c4"
        items.append({"id": item_id, "path": path, "headers": headers, "body": body, "tokens": 597})
    return json.dumps({"items": items}).encode()


async def submit(fleet, node, job_id, count):
    """Submit a batch job; return the status."""
    headers = {"X-Request-Id": job_id, "X-Deadline-Ms": "4000"}
    body = submission(job_id, count)
    return (await fleet.call(node, "POST", f"/pule252/{job_id}", headers, body))[0]


async def read(fleet, node, job_id, after, note):
    """Read results once, waiting for one as clients do; None if it was not answered with 200."""
    status, _, body = await fleet.call(
        node, "GET", f"/api/lots/{job_id}?after={after}", {"X-Wait-Ms": "1000"}, note=note
    )
    return json.loads(body) if status == 200 else None


async def read_whole(fleet, node, job_id, total, note, tries=6):
    """Read a job from the start, again half a second after each call that brings nothing new.

    None if the last call was not answered with 200, which says nothing of what is listed.
    """
    results, answer = [], None
    while len(results) < total and tries:
        answer = await read(fleet, node, job_id, len(results), note)
        if answer is None or not answer["results"]:
            tries -= 1
            await asyncio.sleep(READ_EVERY_S)
            continue
        results += answer["results"]
    return None if answer is None else results


async def wait_until(condition, timeout_s):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def run_case(here, rule, run, **sizes):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    ``run(fleet)`` returns whether the rule was broken, None if the case could not run.
    """

    async def play():
        # A stop from outside ends the processes too.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            return await play_in_folder()

    async def play_in_folder():
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(folder, here / "record.txt", **sizes)
            fleet.record.add("case", trouble=TROUBLE)
            try:
                return await run(fleet)
            finally:
                await fleet.stop()
                if keep := os.environ.get("KEEP_LOGS"):
                    shutil.copytree(folder, keep, dirs_exist_ok=True)

    broken = None
    with contextlib.suppress(KeyboardInterrupt, asyncio.CancelledError):
        try:
            broken = asyncio.run(play())
        except Exception:
            traceback.print_exc()
    if broken is None:
        print("the case could not run")
        sys.exit(2)
    print(f"{rule} is broken" if broken else f"{rule} holds")
    sys.exit(1 if broken else 0)
