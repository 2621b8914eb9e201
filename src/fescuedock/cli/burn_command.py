"""The command ``burn``: the service-level burn report from running entries or saved files."""

import sys
from pathlib import Path

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.cli.command_line import Command, ExitCode
from fescuedock.cli.entry_session import EntrySession, Failure, run_session, show_json
from fescuedock.cli.fleet_commands import read_status
from fescuedock.report.burn_html import burn_html
from fescuedock.report.burn_report import BurnReport, build_report
from fescuedock.report.burn_text import burn_text
from fescuedock.schema.report import MetricsReport, VmStatus

__all__ = ["BURN_COMMAND"]

_MAX_CONCURRENT_REQUESTS = 16
_HELP = """\
fescuedock burn: how fast each service uses up the failures its objectives allow.

usage: fescuedock burn [--files=A,B...] [--save=FILE] [--html=FILE] [--json] [--entry=HOST:PORT]

Counts come from every VM that the entry knows, or from --files, which --save has written before.
A burn rate of 1 uses the budget up exactly.  "fast burn" says that the last 5 minutes and the last
hour burn at 14.4 or more, which uses 2% of a 30-day budget in an hour; "slow burn" that the last 6
hours and 3 days burn above 1.  --html writes one self-contained page with plots.

exit codes: 0 done, 1 failed, 2 bad usage
"""


def _burn(
    files: str = "", save: str = "", html: str = "", json: bool = False, entry: str = ""
) -> int:
    if files:
        return _from_files(files.split(","), save, html, json)

    async def steps(session: EntrySession) -> Result[str, Failure]:
        status = await read_status(session)
        if status.is_err():
            return status
        reports, missing = await _collect(session, status.unwrap().vms)
        return _finish(reports, missing, save, html, json)

    return run_session(entry, steps)


def _from_files(names: list[str], save: str, html: str, json: bool) -> int:
    reports: list[MetricsReport] = []
    for name in names:
        try:
            reports += msgspec.json.decode(Path(name).read_bytes(), type=list[MetricsReport])
        except (OSError, msgspec.MsgspecError) as error:
            print(f"fescuedock: {name}: {error}", file=sys.stderr)
            return ExitCode.USAGE
    match _finish(reports, [], save, html, json):
        case Ok(text):
            print(text)
            return ExitCode.OK
        case Err(Failure() as failure):
            print(f"fescuedock: {failure.text}", file=sys.stderr)
            return failure.exit_code
    raise AssertionError("a result is Ok or Err")


async def _collect(
    session: EntrySession, vms: list[VmStatus]
) -> tuple[list[MetricsReport], list[str]]:
    """Query all VMs' entries with bounded concurrency.

    Return the reports and the IDs of the VMs that did not answer.
    """
    reports: list[MetricsReport] = []
    missing: list[str] = []
    limit = trio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)

    async def fetch(vm: VmStatus) -> None:
        async with limit:
            address = Address(vm.host, vm.entry_port)
            match await session.get("/admin/metrics", MetricsReport, address):
                case Ok(MetricsReport() as report):
                    reports.append(report)
                case _:
                    missing.append(vm.vm_id)

    async with trio.open_nursery() as nursery:
        for vm in vms:
            if vm.entry_port:
                nursery.start_soon(fetch, vm)
    return reports, sorted(missing)


def _finish(
    reports: list[MetricsReport], missing: list[str], save: str, html: str, json: bool
) -> Result[str, Failure]:
    """Write the requested files and return the text to print."""
    report = build_report(reports, missing)
    try:
        if save:
            Path(save).write_bytes(msgspec.json.encode(reports))
        if html:
            Path(html).write_text(burn_html(report), encoding="utf-8")
    except OSError as error:
        return Err(Failure(str(error)))
    return Ok(_report_text(report, json))


def _report_text(report: BurnReport, json: bool) -> str:
    return show_json(report) if json else burn_text(report)


BURN_COMMAND = Command(_burn, _HELP)
