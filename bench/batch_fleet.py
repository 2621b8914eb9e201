"""Run jobs through a local system on sockets, or their items directly on its engines."""

import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

import msgspec
import trio
from msgspec.structs import replace as replace_fields

from fescuedock.backing.engine import EngineClient, EngineError
from fescuedock.cli.local import LocalSystem, open_local
from fescuedock.cli.local_setup import TRIP_MODEL, standin_settings
from fescuedock.schema.view import UpstreamKind, UpstreamRecord
from fescuedock.standin.kv_faults import CallKind
from tests.builders.local import exchange, post, wait_until

SERVICE = "trip-desk"
PATH = "/v1/completions"
MAX_TOKENS = 16
POLL_S = 0.05
# Slow enough that the engines are the bottleneck, not the one core of this process.
STEP_MS = 60.0
MAX_SEQUENCES = 16
_BOUNDARY = "fescuedock-bench"


@dataclass(frozen=True, slots=True)
class JobFigures:
    """Time from the submission of a job to its completion, and its cost."""

    items: int
    failed: int
    run_s: float
    kv_puts: int

    @property
    def items_per_s(self) -> float:
        return self.items / self.run_s


@asynccontextmanager
async def open_bench_system() -> AsyncIterator[LocalSystem]:
    """Run a local system whose engines are slow and admit few sequences."""
    slow = replace_fields(standin_settings(), step_ms=STEP_MS, max_sequences=MAX_SEQUENCES)
    with (
        tempfile.TemporaryDirectory(prefix="fescuedock-bench-") as folder,
        mock.patch("fescuedock.cli.local.standin_settings", return_value=slow),
    ):
        async with open_local(0, Path(folder)) as system:
            yield system


def job_lines(items: int, bad_every: int, salt: str) -> list[bytes]:
    """Return input lines of which each ``bad_every``-th one cannot succeed; 0 for none.

    These lines alternate between a permanent refusal and a failure on each attempt.
    """
    lines = []
    for number in range(items):
        prompt = f"{salt}: dear parents of class {number}, the coach leaves at eight"
        if bad_every and number % bad_every == bad_every - 1:
            prompt = ("[[impossible]]", "[[fails]]")[number // bad_every % 2] + prompt
        body = {"model": TRIP_MODEL, "prompt": prompt, "max_tokens": MAX_TOKENS}
        line = {"custom_id": f"letter-{number}", "method": "POST", "url": PATH, "body": body}
        lines.append(msgspec.json.encode(line))
    return lines


async def run_job(system: LocalSystem, lines: list[bytes]) -> JobFigures:
    """Submit a job and wait until it is completed."""
    file_id = await _upload(system, b"\n".join(lines))
    job_request = {"input_file_id": file_id, "endpoint": PATH, "completion_window": "24h"}
    puts_before = system.standins.kv.faults.calls[CallKind.PUT]
    started_s = trio.current_time()
    job = (await post(system, "/v1/batches", job_request)).json
    while job["status"] != "completed":
        await trio.sleep(POLL_S)
        job = (await exchange(system, "GET", f"/v1/batches/{job['id']}")).json
    run_s = trio.current_time() - started_s
    kv_puts_made = system.standins.kv.faults.calls[CallKind.PUT] - puts_before
    counts = job["request_counts"]
    assert counts["completed"] + counts["failed"] == len(lines)
    return JobFigures(len(lines), counts["failed"], run_s, kv_puts_made)


async def run_direct(system: LocalSystem, lines: list[bytes]) -> float:
    """Return the items per second of the engines without our system, saturated by closed loops."""
    client = EngineClient(system.http)
    waiting = list(enumerate(lines))
    started_s = trio.current_time()

    async def loop(upstream: UpstreamRecord) -> None:
        while waiting:
            number, line = waiting.pop()
            body = msgspec.json.decode(line)["body"]
            try:
                async with client.stream(upstream, PATH, body, f"direct-{number}") as stream:
                    async for _event in stream:
                        pass
            except EngineError:
                continue

    async with trio.open_nursery() as nursery:
        for upstream in _upstreams(system):
            for _ in range(MAX_SEQUENCES):
                nursery.start_soon(loop, upstream)
    return len(lines) / (trio.current_time() - started_s)


async def cancel_time_s(system: LocalSystem, lines: list[bytes]) -> float:
    """Return the time from a cancel's acknowledgement until no engine runs an item of the job."""
    file_id = await _upload(system, b"\n".join(lines))
    job_request = {"input_file_id": file_id, "endpoint": PATH, "completion_window": "24h"}
    job = (await post(system, "/v1/batches", job_request)).json
    models = [engine.core.model for engine in system.standins.engines.values()]

    async def full() -> bool:
        return sum(len(model.running) for model in models) >= MAX_SEQUENCES

    async def idle() -> bool:
        return not any(model.running for model in models)

    await wait_until(full)
    await post(system, f"/v1/batches/{job['id']}/cancel", {})
    started_s = trio.current_time()
    await wait_until(idle)
    return trio.current_time() - started_s


def _upstreams(system: LocalSystem) -> list[UpstreamRecord]:
    return [
        UpstreamRecord(
            name,
            "r",
            "d",
            engine.address.host,
            engine.address.port,
            UpstreamKind.ENGINE,
            SERVICE,
        )
        for name, engine in system.standins.engines.items()
        if SERVICE in name
    ]


async def _upload(system: LocalSystem, content: bytes) -> str:
    disposition = "content-disposition: form-data;"
    body = (
        f'--{_BOUNDARY}\r\n{disposition} name="purpose"\r\n\r\nbatch\r\n'
        f'--{_BOUNDARY}\r\n{disposition} name="file"; filename="bench.jsonl"\r\n'
        "content-type: application/jsonl\r\n\r\n"
    ).encode()
    body += content + f"\r\n--{_BOUNDARY}--\r\n".encode()
    headers = (("content-type", f"multipart/form-data; boundary={_BOUNDARY}"),)
    return (await exchange(system, "POST", "/v1/files", body, headers=headers)).json["id"]
