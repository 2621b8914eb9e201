"""Slopes of the batch runner: ``python -m bench.batch_slopes [--record]``.

The shipped runner processes jobs in virtual time against fakes (``bench.batch_lean``), so that
processor time and memory are those of the runner.
"""

import sys
import time

from bench.batch_lean import LeanJob, run_lean
from bench.slopes import Slope, record_slopes
from fescuedock.schema.settings import BatchSettings

_ITEMS = 10_000
_LARGE_ITEMS = 110_000
_LINE_BYTES = 600
_ANSWER_BYTES = 1000
_MIB = 1024 * 1024
_COMMAND = "python -m bench.batch_slopes --record"
_METHOD = f"a job of {_ITEMS} items, {_LINE_BYTES} B in and {_ANSWER_BYTES} B out, virtual time"


def main() -> None:
    """Run one job for the slopes and a larger one for its memory."""
    started_s = time.process_time()
    result = run_lean(_job(_ITEMS))
    item_us = (time.process_time() - started_s) * 1e6 / _ITEMS
    large = run_lean(_job(_LARGE_ITEMS))
    measured = {
        "batch_item_us": Slope(round(item_us, 1), "us", _COMMAND, _METHOD),
        "batch_kv_calls_per_1000": Slope(
            round(result.kv_calls * 1000 / _ITEMS, 2), "calls", _COMMAND, _METHOD
        ),
        "batch_large_job_mib": Slope(
            round(large.peak_rss_bytes / _MIB, 1),
            "MiB",
            _COMMAND,
            f"peak of the process over a job of {_LARGE_ITEMS} items",
        ),
        "batch_large_record_bytes": Slope(
            large.record_bytes, "bytes", _COMMAND, f"largest record of a job of {_LARGE_ITEMS}"
        ),
    }
    for name, slope in measured.items():
        print(f"{name:28} {slope.value:10.1f} {slope.unit}")
    if "--record" in sys.argv:
        record_slopes(measured)


def _job(items: int) -> LeanJob:
    return LeanJob(items, _LINE_BYTES, _ANSWER_BYTES, BatchSettings(port=0))


if __name__ == "__main__":
    main()
