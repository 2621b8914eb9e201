"""The program ``fescuedock-standin``: every stand-in in one process, for development and tests."""

import ipaddress
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec
import trio
from result import Err, Result

from fescuedock.cli.command_line import Command, ExitCode, run_command_line
from fescuedock.clock import loop_clock
from fescuedock.daemon import Stop, report_errors, stop_on_signals
from fescuedock.log import log_event, open_log
from fescuedock.schema.settings import StandinSettings, VmSettings
from fescuedock.settings import SettingsProblems, load_sections
from fescuedock.standin.platform import Standins, parse_system_vms, run_standins

__all__ = ["load_standin_settings", "main"]

_NAME = "fescuedock-standin"
_STOP_TIMEOUT_MS = 1000
_MAX_PORT = 65535
_HELP = f"""\
{_NAME}: small stand-ins for the platform, model engines and plain services.

usage: {_NAME} FILE

FILE is an INI file with a section [standin].  When all serve, one JSON line with their addresses
is printed on standard output.  Faults are commanded over HTTP; see docs/STANDINS.md.

exit codes: 0 stopped, 1 failed while running, 2 bad settings or usage
"""


def main() -> None:
    """Run the process; never returns."""
    sys.exit(run_command_line(_NAME, Command(_run_file, _HELP), sys.argv[1:]))


def load_standin_settings(path: Path) -> Result[StandinSettings, SettingsProblems]:
    """Read and check the file at ``path``."""
    loaded = load_sections(path, {"standin": StandinSettings}, {"standin"}, _problems)
    return loaded.map(lambda found: found["standin"])


def _problems(found: Mapping[str, dict[str, Any]]) -> Iterator[str]:
    """Yield the problems that the types of single values do not exclude.

    ``found`` contains only values that are valid for their type.
    """
    values = found.get("standin", {})
    try:
        ipaddress.ip_address(values.get("host", "127.0.0.1"))
    except ValueError:
        yield f"[standin] host = {values['host']}: not an IP number"
    try:
        parse_system_vms(values.get("system_vms", ""))
    except ValueError as error:
        yield f"[standin] system_vms = {values['system_vms']}: {error}"
    if not values.get("failure_domains", "any").strip(" ,"):
        yield f"[standin] failure_domains = {values['failure_domains']}: names none"
    first = values.get("first_upstream_port", 0)
    upstreams = values.get("engines", 0) + values.get("plain_services", 0)
    if first and first + upstreams - 1 > _MAX_PORT:
        yield f"[standin] first_upstream_port = {first}: too high for the upstreams after it"


def _run_file(file: str) -> int:
    loaded = load_standin_settings(Path(file))
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return ExitCode.USAGE
    settings = loaded.ok_value
    log_settings = VmSettings(
        vm_id="standin", host=settings.host, region=settings.region, failure_domain="standin"
    )

    def run() -> None:
        with open_log(log_settings, "standin"):
            trio.run(_serve, settings, clock=loop_clock())

    return report_errors(_NAME, run)


async def _serve(settings: StandinSettings) -> None:
    stop = Stop()
    async with trio.open_nursery() as nursery:
        await nursery.start(stop_on_signals, stop, _STOP_TIMEOUT_MS, nursery.cancel_scope)
        standins = await nursery.start(run_standins, settings)
        print(msgspec.json.encode(_addresses(standins)).decode(), flush=True)
        await stop.wait()
        log_event("stopped")
        nursery.cancel_scope.cancel()


def _addresses(standins: Standins) -> dict[str, object]:
    """Return the addresses of all stand-ins, to be printed as one line."""
    upstreams = {**standins.engines, **standins.plain}
    return {
        "program": "standin",
        "kv": str(standins.kv.address),
        "vm_list": str(standins.vm_list.address),
        "weight_store": str(standins.weight_store.address),
        "control": str(standins.control),
        "upstreams": {name: str(service.address) for name, service in upstreams.items()},
    }


if __name__ == "__main__":
    main()
