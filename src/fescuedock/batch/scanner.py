"""Reads the index of open jobs and pushes each job to the runner that should own it.

Only a few runners of each failure domain scan; the others make no call of the key-value service
for jobs that they don't own.
"""

import trio
from result import Err

from fescuedock.batch.context import RunnerContext
from fescuedock.batch.runner import Runner
from fescuedock.core.batch.takeover import is_scanner
from fescuedock.core.job_keys import open_jobs_prefix
from fescuedock.log import log_event
from fescuedock.schema.view import Program

__all__ = ["scan_forever"]

_PAGE_JOBS = 1000
_MIN_PAUSE_MS = 1000.0


async def scan_forever(context: RunnerContext, runner: Runner) -> None:
    """Scan at the configured interval, and soon after a runner has joined or left.

    Does nothing while this VM is not one of its failure domain's scanners.
    """
    batch = context.settings.batch
    while True:
        vms = context.view.live_vms(Program.BATCH)
        if is_scanner(context.name.vm_id, vms, batch.scanners_per_domain):
            await _scan(context, runner)
        # Jitter spreads the scanners of the failure domains over the interval.
        pause_ms = batch.scan_interval_ms * context.random.uniform(0.75, 1.25)
        await trio.sleep(min(pause_ms, _MIN_PAUSE_MS) / 1000)
        with trio.move_on_after(max(pause_ms - _MIN_PAUSE_MS, 0.0) / 1000):
            await _wait_runners_changed(context, {vm.vm_id for vm in vms})


async def _wait_runners_changed(context: RunnerContext, known_ids: set[str]) -> None:
    view = context.view
    while {vm.vm_id for vm in view.live_vms(Program.BATCH)} == known_ids:
        await view.wait_changed(view.version)


async def _scan(context: RunnerContext, runner: Runner) -> None:
    prefix = open_jobs_prefix(context.settings.platform.key_prefix)
    start_after = ""
    while True:
        page = await context.kv.get_range(
            prefix, start_after=start_after, limit=_PAGE_JOBS, keys_only=True
        )
        if isinstance(page, Err):
            log_event("open_jobs_not_read", fault=str(page.err_value))
            return
        entries = page.ok_value.entries
        for entry in entries:
            await runner.notify_runner(entry.key.rpartition("/")[2])
        if not page.ok_value.more or not entries:
            return
        start_after = entries[-1].key
