"""Measure the cost of stores and uploads: ``python -m bench.store [--record]``.

Writes below the current directory, and so measures the disk that holds it.
"""

import argparse
import resource
import tempfile
import time
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from functools import partial
from hashlib import sha256
from pathlib import Path
from typing import cast

import msgspec
import trio
from result import Ok, Result

from bench.slopes import Slope, record_slopes
from fescuedock.entry.uploads import receive_upload
from fescuedock.faults import Fault
from fescuedock.net.http_server import Request
from fescuedock.schema.batch import SegmentRef
from fescuedock.schema.settings import BatchSettings
from fescuedock.schema.store import PutSegment
from fescuedock.store.client import StoreClient
from fescuedock.store.disk import DiskFile, OsDisk
from fescuedock.store.logs import LogFolder
from fescuedock.store.segments import SegmentFolder, Usage

_COMMAND = "python -m bench.store"
_MAX_BYTES = 1 << 34
_MIB = 1 << 20
_ITEMS = 110_000
_CHUNK_BYTES = 65536


@dataclass(slots=True)
class _Timed:
    """Wall time of each step in ms, and the total processor time."""

    wall_ms: list[float] = field(default_factory=list)
    cpu_s: float = 0.0

    def run(self, step: Callable[[], object]) -> None:
        cpu_s, start_s = time.process_time(), time.perf_counter()
        step()
        self.wall_ms.append(1000 * (time.perf_counter() - start_s))
        self.cpu_s += time.process_time() - cpu_s

    def quantile(self, share: float) -> float:
        return sorted(self.wall_ms)[min(len(self.wall_ms) - 1, int(share * len(self.wall_ms)))]

    def row(self, name: str) -> str:
        cpu_us = 1e6 * self.cpu_s / len(self.wall_ms)
        walls = " ".join(f"{self.quantile(share):8.2f}" for share in (0.5, 0.99, 1.0))
        return f"{name:34} {len(self.wall_ms):6} {cpu_us:10.0f} {walls}"


class _CountingDisk(OsDisk):
    """Counts the rounds of fsync."""

    __slots__ = ("syncs",)

    def __init__(self) -> None:
        self.syncs = 0

    def append(self, path: Path) -> DiskFile:
        file = super().append(path)
        self.syncs += 1
        return file


def _segments(folder: Path) -> dict[str, Slope]:
    print(f"{'segment':34} {'times':>6} {'cpu us':>10} {'p50 ms':>8} {'p99 ms':>8} {'max ms':>8}")
    slopes: dict[str, Slope] = {}
    for size_kib, times in ((64, 300), (256, 200), (1024, 100), (4096, 40)):
        store = SegmentFolder(OsDisk(), folder / f"{size_kib}", Usage(_MAX_BYTES), print)
        store.open()
        put, get = _Timed(), _Timed()
        for number in range(times):
            body = number.to_bytes(8, "big") * (size_kib * 128)
            message = PutSegment(segment_hash=sha256(body).hexdigest(), body=body)
            put.run(partial(store.put, message, lambda: 1))
            get.run(partial(store.get, message.segment_hash))
        print(put.row(f"put {size_kib} KiB, fsync included"))
        print(get.row(f"get {size_kib} KiB, hash checked"))
        if size_kib == 1024:
            slopes["store_put_us_per_mib"] = _slope(1e6 * put.cpu_s / times, "us/MiB", "put")
            slopes["store_get_us_per_mib"] = _slope(1e6 * get.cpu_s / times, "us/MiB", "get")
            slopes["store_put_stall_ms"] = _slope(put.quantile(0.99), "ms", "p99 of a put's wall")
    return slopes


def _slope(value: float, unit: str, method: str) -> Slope:
    return Slope(round(value, 3), unit, _COMMAND, f"1 MiB segments, {method} time")


async def _logs(folder: Path) -> dict[str, Slope]:
    print(f"\n{'log':34} {'calls':>6} {'cpu us':>10} {'wall ms':>8} {'fsyncs':>8}")
    slopes: dict[str, Slope] = {}
    records = [b"r" * 1000] * 8
    for jobs, callers in ((1, 1), (1, 32), (16, 32)):
        disk = _CountingDisk()
        logs = LogFolder(disk, folder / f"{jobs}-{callers}", Usage(_MAX_BYTES))
        disk.make_folder(folder / f"{jobs}-{callers}")
        logs.open()

        async def append(caller: int, logs: LogFolder = logs, jobs: int = jobs) -> None:
            for _ in range(20):
                (await logs.append(f"job-{caller % jobs}", records)).unwrap()

        cpu_s, start_s = time.process_time(), time.perf_counter()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(logs.run)
            async with trio.open_nursery() as appends:
                for caller in range(callers):
                    appends.start_soon(append, caller)
            nursery.cancel_scope.cancel()
        calls = callers * 20
        cpu_us = 1e6 * (time.process_time() - cpu_s) / calls
        wall_ms = 1000 * (time.perf_counter() - start_s) / 20
        # Each call opens the file once to write; the remaining opens are fsyncs.
        syncs = disk.syncs - calls
        name = f"8 records of 1000 B, {jobs} jobs, {callers} callers"
        print(f"{name:34} {calls:6} {cpu_us:10.0f} {wall_ms:8.2f} {syncs:8}")
        slopes["store_log_us_per_record"] = Slope(
            round(cpu_us / len(records), 3), "us/record", _COMMAND, "16 jobs, 32 callers"
        )
    return slopes


class _NullStores:
    """Discards segments, so that only the entry's own memory counts."""

    def __init__(self) -> None:
        self.segments = 0
        self.largest_bytes = 0

    async def put_segment(
        self, body: bytes, items: int = 0, exclude: Collection[str] = ()
    ) -> Result[SegmentRef, Fault]:
        await trio.lowlevel.checkpoint()
        self.segments += 1
        self.largest_bytes = max(self.largest_bytes, len(body))
        segment_hash = sha256(body).hexdigest()
        return Ok(
            SegmentRef(segment_hash=segment_hash, items=items, size_bytes=len(body), copies=[])
        )


def _form(items: int) -> Iterator[bytes]:
    """Yield the body of an upload in chunks of about the size of a socket read."""
    yield (
        b'--b\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        b'--b\r\nContent-Disposition: form-data; name="file"; filename="in.jsonl"\r\n\r\n'
    )
    chunk = b""
    for number in range(items):
        body = {"model": "m", "messages": [{"role": "user", "content": "case " * 180}]}
        line = {"custom_id": f"item-{number}", "method": "POST", "url": "/v1/chat/completions"}
        chunk += msgspec.json.encode(line | {"body": body}) + b"\n"
        if len(chunk) >= _CHUNK_BYTES:
            yield chunk
            chunk = b""
    yield chunk + b"\r\n--b--\r\n"


async def _upload() -> dict[str, Slope]:
    stores = _NullStores()
    before_mib = _peak_mib()
    spent = _Timed()
    size_bytes = 0

    async def body():
        nonlocal size_bytes
        for chunk in _form(_ITEMS):
            size_bytes += len(chunk)
            await trio.lowlevel.checkpoint()
            yield chunk

    headers = {"content-type": "multipart/form-data; boundary=b"}
    request = Request("POST", "/v1/files", "/v1/files", {}, headers, body())
    cpu_s = time.process_time()
    settings = BatchSettings(port=0)
    received = await receive_upload(
        request, cast(StoreClient, stores), settings, 1 << 30, trio.Lock()
    )
    spent.cpu_s = time.process_time() - cpu_s
    upload = received.unwrap()
    assert upload.checker is not None
    print(f"\nupload of {upload.checker.item_count} items, {size_bytes / _MIB:.1f} MiB:")
    print(f"  segments {stores.segments}, largest {stores.largest_bytes / _MIB:.2f} MiB")
    print(f"  peak memory of the process {before_mib:.1f} -> {_peak_mib():.1f} MiB")
    print(f"  processor {1e6 * spent.cpu_s / _ITEMS:.1f} us/item, making the items included")
    return {
        "entry_upload_us_per_item": Slope(
            round(1e6 * spent.cpu_s / _ITEMS, 3), "us/item", _COMMAND, "1 KB items, no stores"
        ),
        "entry_upload_peak_mib": Slope(
            round(_peak_mib(), 1), "MiB", _COMMAND, "peak memory over 110,000 items of 1 KB"
        ),
    }


def _peak_mib() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def main() -> None:
    """Print the tables; with ``--record`` also store the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--record", action="store_true", help="store the slopes in slopes.json")
    record = parser.parse_args().record
    # The upload runs first, since the peak memory of a process never decreases.
    slopes = trio.run(_upload)
    print()
    with tempfile.TemporaryDirectory(dir=".", prefix=".bench-store-") as folder:
        slopes |= _segments(Path(folder) / "segments")
        slopes |= trio.run(_logs, Path(folder) / "logs")
    if record:
        record_slopes(slopes)


if __name__ == "__main__":
    main()
