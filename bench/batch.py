"""Measure the cost and throughput of batch work.

    make bench-batch                      all but the large job, about a minute
    python -m bench.batch --items=110000  the large job alone, for its memory

Complete jobs run through ``fescuedock local`` on sockets: six stand-in engines, three VMs and this
bench share one process and therefore one core.  Costs per item come from the runner's own code in
virtual time (``bench.batch_lean``).
"""

import sys

import trio

from bench.batch_fleet import cancel_time_s, job_lines, open_bench_system, run_direct, run_job
from bench.batch_lean import LOG_COPIES, LeanJob, run_killed, run_lean
from fescuedock.schema.settings import BatchSettings

_FLEET_ITEMS = 500
_LEAN_ITEMS = 10000
_KILL_ITEMS = 2000
_KILL_IN_FLIGHT = 256
_LINE_BYTES = 600
_ANSWER_BYTES = 1000
_BAD_EVERY = 50
_GROUP_ITEMS = (125, 250, 500, 1000)
_MIB = 1024 * 1024


def _job(items: int, **changes: int) -> LeanJob:
    return LeanJob(items, _LINE_BYTES, _ANSWER_BYTES, BatchSettings(port=0, **changes))


async def _report_fleet() -> None:
    async with open_bench_system() as system:
        limit = await run_direct(system, job_lines(_FLEET_ITEMS, 0, "direct"))
        print(f"engines alone, closed loops:    {limit:7.1f} items/s")
        all_valid = await run_job(system, job_lines(_FLEET_ITEMS, 0, "whole"))
        print(
            f"a job of {all_valid.items}, none impossible: {all_valid.items_per_s:7.1f} items/s,"
            f" {all_valid.items_per_s / limit:.2f} of the limit, {all_valid.run_s:.1f} s"
        )
        mixed = await run_job(system, job_lines(_FLEET_ITEMS, _BAD_EVERY, "mixed"))
        print(
            f"a job of {mixed.items}, {mixed.failed} impossible: {mixed.items_per_s:9.1f} items/s,"
            f" {mixed.run_s:.1f} s, {mixed.run_s / all_valid.run_s:.2f} of the time without"
        )
        stopped_s = await cancel_time_s(system, job_lines(_FLEET_ITEMS, 0, "cancelled"))
        print(f"cancel until no engine runs an item: {stopped_s * 1000:.0f} ms (read each 50 ms)")


def _report_calls() -> None:
    print(f"\nkey-value calls of a job of {_LEAN_ITEMS} items, by the size of a group")
    for group_items in _GROUP_ITEMS:
        result = run_lean(_job(_LEAN_ITEMS, group_items=group_items))
        per_thousand = result.kv_calls * 1000 / _LEAN_ITEMS
        print(
            f"  {group_items:5} results a group: {per_thousand:5.1f} calls per 1000 items,"
            f" record up to {result.record_bytes} bytes"
        )


def _report_bytes() -> None:
    result = run_lean(_job(_LEAN_ITEMS))
    item_bytes = result.log_bytes / LOG_COPIES / _LEAN_ITEMS
    written = (result.log_bytes + result.segment_bytes + result.kv_bytes) / _LEAN_ITEMS
    print(f"\nbytes written per byte of result: {written / item_bytes:.2f}")
    print(
        f"  logs on {LOG_COPIES} stores {result.log_bytes / _LEAN_ITEMS / item_bytes:.2f},", end=""
    )
    print(f" segments {result.segment_bytes / _LEAN_ITEMS / item_bytes:.2f},", end="")
    print(f" record {result.kv_bytes / _LEAN_ITEMS / item_bytes:.3f}")


def _report_kills() -> None:
    print(
        f"\nitems run again after a kill, of {_KILL_ITEMS} (up to {_KILL_IN_FLIGHT} are in flight)"
    )
    for tenth in range(1, 10):
        rerun_items = run_killed(
            _job(_KILL_ITEMS, max_items_in_flight=_KILL_IN_FLIGHT), _KILL_ITEMS * tenth // 10
        )
        print(f"  at {tenth}/10: {rerun_items:4}, {rerun_items / _KILL_ITEMS:.1%}")


def _report_large(items: int) -> None:
    result = run_lean(_job(items))
    print(f"{items} items: peak memory of the process {result.peak_rss_bytes / _MIB:.1f} MiB,")
    print(f"  {result.kv_calls} key-value calls, {result.segments} segments,", end="")
    print(f" record up to {result.record_bytes} bytes")


def main() -> None:
    """Run the sections selected by the command line."""
    for argument in sys.argv[1:]:
        name, _, value = argument.partition("=")
        if name != "--items":
            sys.exit(f"unknown argument {argument!r}; see the module's docstring")
        _report_large(int(value))
        return
    trio.run(_report_fleet)
    _report_calls()
    _report_bytes()
    _report_kills()


if __name__ == "__main__":
    main()
