"""Clients of the soak that read slowly or not at all, or send incomplete requests.

Their answers must be complete or visibly truncated, and the memory of nodes must stay bounded.
"""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import trio

from fescuedock.net.http_client import HttpClient
from tests.builders.jobs_calls import item_entry, submission_of
from tests.builders.slow_readers import SlowClient, slow_client
from tests.soak.clients import call_node
from tests.soak.harness import HELD_PROCESS_BYTES, NodeProcess, SoakHarness
from tests.soak.promises import Ledger

__all__ = [
    "BIG_ITEM",
    "NeverReader",
    "SlowReader",
    "big_body",
    "slow_client_violations",
    "count_cut_off_callers",
]

# Prefix of the names of items whose bodies are read slowly; they run beside those of other jobs.
BIG_ITEM = "big-"
_BODY_BYTES = 60_000
_JOB_INTERVAL_S = 2.0
_READ_BYTES = 2048
_READ_PAUSE_S = (0.001, 0.05)
_STALLED_CONNECTIONS = 6
_STALL_S = 2.0
# The memory of the smallest machine for a node, which runs nothing else.
_MAX_NODE_MEMORY_BYTES = 160 * 1024 * 1024
_numbers = itertools.count(1)


@dataclass(slots=True)
class SlowReader:
    """Submits jobs with large bodies, and reads these slowly in small chunks."""

    harness: SoakHarness
    ledger: Ledger
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)
    # The newest accepted job, and its item.
    newest: tuple[str, str] | None = None
    complete_bodies: int = 0
    peak_memory_bytes: int = 0

    async def run(self) -> None:
        """Submit, read and measure the memory of nodes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._submit_jobs)
            nursery.start_soon(self._watch_memory)
            while True:
                await trio.sleep(0.05)
                if self.newest is not None:
                    await self._read(self.rng.choice(self.harness.nodes), *self.newest)

    async def _submit_jobs(self) -> None:
        while True:
            number = next(_numbers)
            job_id, item = f"{BIG_ITEM}job-{number}", f"{BIG_ITEM}{number}"
            node = self.rng.choice(self.harness.nodes)
            body = submission_of([item_entry(item, big_body(item))])
            headers = {"x-request-id": job_id}
            reply = await call_node(self.http, node.front, "POST", "/letters/new", body, headers)
            if reply.status == 202:
                self.newest = (job_id, item)
            await trio.sleep(_JOB_INTERVAL_S)

    async def _read(self, node: NodeProcess, job_id: str, item: str) -> None:
        """Read a body; check its declared length and that the received bytes are its beginning."""
        data = b""
        try:
            async with slow_client(node.front) as client:
                await _request_body(client, job_id, item)
                with trio.move_on_after(_STALL_S):
                    while part := await client.stream.receive_some(_READ_BYTES):
                        data += part
                        if data.endswith(big_body(item)[-_READ_BYTES:]):
                            break
                        await trio.sleep(self.rng.uniform(*_READ_PAUSE_S))
        except (OSError, trio.BrokenResourceError):
            pass
        head, _, body = data.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            return
        if f"content-length: {_BODY_BYTES}\r\n".encode() not in head + b"\r\n":
            self.ledger.violations.append(f"{item} at {node.name}: another length: {head!r}")
        if not big_body(item).startswith(body):
            self.ledger.violations.append(f"{item} at {node.name}: another body, read slowly")
        self.complete_bodies += len(body) == _BODY_BYTES

    async def _watch_memory(self) -> None:
        while True:
            await trio.sleep(0.2)
            for node in self.harness.nodes:
                if node.is_running:
                    memory_bytes = _memory_bytes(node.process.pid)
                    self.peak_memory_bytes = max(self.peak_memory_bytes, memory_bytes)


@dataclass(slots=True)
class NeverReader:
    """Requests large bodies without reading them, or sends half of a request."""

    harness: SoakHarness
    ledger: Ledger
    rng: random.Random
    reader: SlowReader
    http: HttpClient = field(default_factory=HttpClient)

    async def run(self) -> None:
        """Hold a few such connections open until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(_STALLED_CONNECTIONS):
                nursery.start_soon(self._stall_forever)

    async def _stall_forever(self) -> None:
        while True:
            await trio.sleep(self.rng.uniform(0.05, 0.5))
            if self.reader.newest is None:
                continue
            try:
                async with slow_client(self.rng.choice(self.harness.nodes).front) as client:
                    if self.rng.random() < 0.3:
                        await _send_half(client)
                    else:
                        await _request_body(client, *self.reader.newest)
                    await trio.sleep(self.rng.uniform(0.2, _STALL_S))
            except (OSError, trio.BrokenResourceError):
                continue


def slow_client_violations(reader: SlowReader) -> Iterator[str]:
    """Yield the violations at the end of a run."""
    if reader.peak_memory_bytes > _MAX_NODE_MEMORY_BYTES:
        yield f"a node took {reader.peak_memory_bytes} bytes of memory beside slow clients"
    if not reader.complete_bodies:
        yield "no body that was read slowly came whole"


def count_cut_off_callers(logs: Path) -> int:
    """Count the slow callers that nodes logged as cut off."""
    lines = [line for log in logs.glob("node-*.log") for line in log.read_bytes().splitlines()]
    return sum(b'"caller_cut_off"' in line for line in lines)


def big_body(item: str) -> bytes:
    """Return the body of an item, which is unique and has a unique end."""
    return (f"{item}.".encode() * _BODY_BYTES)[: _BODY_BYTES - 4] + b"end."


async def _request_body(client: SlowClient, job_id: str, item: str) -> None:
    fields = {"authorization": f"Bearer {Ledger.key}"}
    await client.send("GET", f"/api/items/{job_id}?id={item}", fields)


async def _send_half(client: SlowClient) -> None:
    fields = {"authorization": f"Bearer {Ledger.key}", "content-length": str(_BODY_BYTES)}
    await client.send(
        "POST", "/rights/half", fields, b"x" * (HELD_PROCESS_BYTES // _STALLED_CONNECTIONS)
    )


def _memory_bytes(pid: int) -> int:
    """Return the resident memory of a process; 0 if it has just ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    except OSError:
        return 0
    found = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
    return int(found[0]) * 1024 if found else 0
