"""The commands ``config get``, ``diff``, ``patch``, ``history``, ``wait`` and ``republish``."""

import getpass
import sys
from pathlib import Path
from urllib.parse import quote

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.cli.command_line import Command, ExitCode
from fescuedock.cli.config_patches import (
    Accepted,
    CurrentConfig,
    diff_patch,
    patch_id_of,
    submit_patch,
)
from fescuedock.cli.entry_session import EntrySession, Failure, run_session, show_json
from fescuedock.entry.admin import HistoryAnswer, VersionsAnswer
from fescuedock.report.tables import table
from fescuedock.schema.config import PatchRequest

__all__ = ["CONFIG_COMMANDS"]

_POLL_S = 0.2
_HELP = """\
fescuedock config: read and change the operators' configuration.

usage: fescuedock config get                          [--entry=HOST:PORT] [--json]
       fescuedock config diff FILE                    [--entry=HOST:PORT]
       fescuedock config patch FILE --base=VERSION [--patch-id=ID] [--actor=NAME]
                                                      [--entry=HOST:PORT] [--json]
       fescuedock config history                      [--entry=HOST:PORT] [--json]
       fescuedock config republish [--actor=NAME]     [--entry=HOST:PORT] [--json]
       fescuedock config wait VERSION [--timeout=30]  [--entry=HOST:PORT] [--json]

  get      print the version and the configuration; --json prints both as one object
  diff     print the merge patch that makes the configuration in FILE of the current one
  patch    submit the JSON merge patch in FILE (- is standard input), built on VERSION; it is
           refused when the configuration has moved on.  The identity is made of the content
           unless --patch-id names one, so that after an unknown outcome the same command can be
           sent again.
  history  list the latest patches, newest first
  wait     wait until VERSION is in force on every live VM, --timeout seconds at most
  republish  put the configuration in force back into a key-value service that was restored to an
           older one (see docs/OPERATIONS.md)

exit codes: 0 done, 1 refused or failed, 2 bad usage, 3 outcome unknown
"""


def _get(entry: str = "", json: bool = False) -> int:
    async def steps(session: EntrySession) -> Result[str, Failure]:
        current = await session.get("/admin/config", CurrentConfig)
        return current.map(show_json if json else _config_text)

    return run_session(entry, steps)


def _config_text(current: CurrentConfig) -> str:
    return f"version {current.version}\n{show_json(current.configuration)}"


def _diff(file: str, entry: str = "") -> int:
    desired = _read_object(file)
    if desired.is_err():
        return _usage(desired.unwrap_err())

    async def steps(session: EntrySession) -> Result[str, Failure]:
        current = await session.get("/admin/config", CurrentConfig)
        if current.is_ok():
            print(f"built on version {current.unwrap().version}", file=sys.stderr)
        return current.map(
            lambda answer: show_json(diff_patch(answer.configuration, desired.unwrap()))
        )

    return run_session(entry, steps)


def _patch(
    file: str, base: int, patch_id: str = "", actor: str = "", entry: str = "", json: bool = False
) -> int:
    patch = _read_object(file)
    if patch.is_err():
        return _usage(patch.unwrap_err())
    identity = patch_id or patch_id_of(base, patch.unwrap())
    request = PatchRequest(base, identity, patch.unwrap(), actor or getpass.getuser())

    async def steps(session: EntrySession) -> Result[str, Failure]:
        done = await submit_patch(session, request)
        return done.map(lambda version: _accepted_text(version, identity, json))

    return run_session(entry, steps)


def _accepted_text(version: int, identity: str, json: bool) -> str:
    if json:
        return show_json({"version": version, "patch_id": identity})
    return f"version {version} accepted (patch_id {identity})"


def _history(entry: str = "", json: bool = False) -> int:
    async def steps(session: EntrySession) -> Result[str, Failure]:
        answer = await session.get("/admin/config/history", HistoryAnswer)
        return answer.map(show_json if json else _history_text)

    return run_session(entry, steps)


def _history_text(history: HistoryAnswer) -> str:
    headers = ("VERSION", "ACCEPTED (UNIX TIME)", "ACTOR", "PATCH")
    rows = [
        (patch.version, patch.accepted_at_s, patch.actor or "-", patch.patch_id)
        for patch in history.patches
    ]
    return table(headers, rows)


def _republish(actor: str = "", entry: str = "", json: bool = False) -> int:
    target = f"/admin/config/republish?actor={quote(actor or getpass.getuser())}"

    async def steps(session: EntrySession) -> Result[str, Failure]:
        done = await session.post(target, {}, Accepted)
        return done.map(show_json if json else lambda answer: f"version {answer.version} is there")

    return run_session(entry, steps)


def _wait(version: int, timeout: int = 30, entry: str = "", json: bool = False) -> int:
    target = f"/admin/config/versions?version={version}"

    async def steps(session: EntrySession) -> Result[str, Failure]:
        stop_at_s = trio.current_time() + timeout
        while True:
            answer = await session.get(target, VersionsAnswer)
            if answer.is_err() or not answer.unwrap().behind:
                return answer.map(show_json if json else _versions_text)
            if trio.current_time() >= stop_at_s:
                behind = ", ".join(answer.unwrap().behind)
                text = f"version {version} is not in force after {timeout} s on: {behind}"
                return Err(Failure(text))
            await trio.sleep(_POLL_S)

    return run_session(entry, steps)


def _versions_text(versions: VersionsAnswer) -> str:
    headers = ("VM", "DOMAIN", "STATE", "VERSION", "CONFIRMED")
    rows = [
        (vm.vm_id, vm.failure_domain, vm.state.value, vm.version, "yes" if vm.confirmed else "no")
        for vm in versions.vms
    ]
    return table(headers, rows)


def _read_object(file: str) -> Result[dict[str, object], str]:
    """Return the JSON object in ``file`` (``-`` is standard input), or the reason of a failure."""
    try:
        data = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
        return Ok(msgspec.json.decode(data, type=dict[str, object]))
    except OSError as error:
        return Err(str(error))
    except msgspec.MsgspecError as error:
        return Err(f"{file} is not a JSON object: {error}")


def _usage(text: str) -> int:
    print(f"fescuedock: {text}", file=sys.stderr)
    return ExitCode.USAGE


CONFIG_COMMANDS = {
    "": Command(lambda: ExitCode.USAGE, _HELP),
    "get": Command(_get, _HELP),
    "diff": Command(_diff, _HELP),
    "patch": Command(_patch, _HELP),
    "history": Command(_history, _HELP),
    "republish": Command(_republish, _HELP),
    "wait": Command(_wait, _HELP),
}
