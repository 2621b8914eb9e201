"""A model worker as a process of its own, so that a test can kill it.

python3 worker_process.py HOST:PORT NAME CONFIG

CONFIG is JSON: ``framing`` (``chunked`` or ``close``), ``prefill_s`` until the first event,
``events`` and ``item_s`` for all events.  Each run is written to standard output as a JSON line.
"""

import asyncio
import json
import sys

from standins import Worker


class Lines:
    """Writes what a ``Record`` would to standard output, for the parent's record."""

    def add(self, what, **fields):
        print(json.dumps({"what": what, **fields}), flush=True)


class NoStore:
    """The parent registers the worker."""

    def put(self, key, value):
        pass


def event_text(request_id, event):
    return f"{request_id} letter part {event}"


async def main(address, name, config):
    worker = Worker(Lines(), NoStore(), name, "", "")

    async def plan(request, first):
        await asyncio.sleep(config["prefill_s"])
        for event in range(first, config["events"] + 1):
            if event % 10 == 0:
                await asyncio.sleep(config["item_s"] * 10 / config["events"])
            yield event, event_text(request["id"], event)

    worker.plan = plan
    worker.behave = lambda request: {"framing": config["framing"]}
    host, _, port = address.partition(":")
    await worker.start(host, int(port))
    print(json.dumps({"what": "worker serves", "worker": name}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], json.loads(sys.argv[3])))
