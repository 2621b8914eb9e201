"""Sends requests to an entry and maps its answers to exit codes."""

import os
import sys
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.cli.command_line import ExitCode
from fescuedock.clock import loop_clock
from fescuedock.net.http_client import (
    HttpClient,
    NotSentError,
    ResponseLostError,
    ResponseTooLargeError,
    open_http_client,
)
from fescuedock.schema.result_codes import Outcome

__all__ = ["DEFAULT_ENTRY", "EntrySession", "Failure", "run_session", "show_json"]

DEFAULT_ENTRY = "127.0.0.1:8080"
_ENTRY_VARIABLE = "FESCUEDOCK_ENTRY"
_KEY_VARIABLE = "FESCUEDOCK_API_KEY"
_TIMEOUT_S = 30
_MAX_ANSWER_BYTES = 256 * 1024 * 1024

T = TypeVar("T")


class Failure(msgspec.Struct, frozen=True):
    """The reason why a command failed, one line for the operator, and its exit code."""

    text: str
    exit_code: ExitCode = ExitCode.FAILED


class _ErrorDetail(msgspec.Struct):
    message: str
    code: int | str | None = None
    name: str = ""
    outcome: str = Outcome.FAILED.value


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


class EntrySession(msgspec.Struct):
    """Sends requests to one entry; each method can name another ``entry`` instead."""

    address: Address
    http: HttpClient

    async def get(self, target: str, kind: type[T], entry: Address | None = None) -> Result:
        """Return ``Ok`` with the answer as ``kind``, or ``Err(Failure)``."""
        return await self._exchange(entry or self.address, "GET", target, b"", kind)

    async def post(
        self, target: str, body: object, kind: type[T], entry: Address | None = None
    ) -> Result:
        """Return ``Ok`` with the answer as ``kind``, or ``Err(Failure)``."""
        data = msgspec.json.encode(body)
        return await self._exchange(entry or self.address, "POST", target, data, kind)

    async def _exchange(
        self, entry: Address, method: str, target: str, body: bytes, kind: type[T]
    ) -> Result:
        try:
            with trio.fail_after(_TIMEOUT_S):
                async with self.http.request(
                    entry, method, target, _headers(), body, fresh=method == "POST"
                ) as response:
                    data = await response.read(_MAX_ANSWER_BYTES)
        except NotSentError as error:
            return Err(Failure(str(error)))
        except (ResponseLostError, ResponseTooLargeError, trio.TooSlowError) as error:
            return Err(
                Failure(
                    f"no complete answer from {entry}: {error!r}", _lost_answer_exit_code(method)
                )
            )
        if response.status >= 400:
            return Err(_failure(entry, response.status, data))
        try:
            return Ok(msgspec.json.decode(data, type=kind))
        except msgspec.MsgspecError as error:
            return Err(Failure(f"{entry} gave an answer that cannot be read: {error}"))


def run_session(
    entry: str, steps: Callable[[EntrySession], Awaitable[Result[str, Failure]]]
) -> int:
    """Run ``steps`` with ``entry``, print the returned text or failure, and return the exit code.

    An empty ``entry`` is the environment's FESCUEDOCK_ENTRY, or 127.0.0.1:8080.
    """
    text = entry or os.environ.get(_ENTRY_VARIABLE, DEFAULT_ENTRY)
    try:
        address = Address.parse(text.removeprefix("http://"))
    except ValueError as error:
        print(f"fescuedock: {error}", file=sys.stderr)
        return ExitCode.USAGE
    match trio.run(_run_steps, address, steps, clock=loop_clock()):
        case Ok(output):
            if output:
                print(output)
            return ExitCode.OK
        case Err(Failure() as failure):
            print(f"fescuedock: {failure.text}", file=sys.stderr)
            return failure.exit_code
    raise AssertionError("a result is Ok or Err")


def show_json(value: object) -> str:
    """Return ``value`` as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


async def _run_steps(
    address: Address, steps: Callable[[EntrySession], Awaitable[Result[str, Failure]]]
) -> Result[str, Failure]:
    async with open_http_client() as http:
        return await steps(EntrySession(address, http))


def _headers() -> list[tuple[str, str]]:
    headers = [("content-type", "application/json")]
    key = os.environ.get(_KEY_VARIABLE, "")
    if key:
        headers.append(("authorization", f"Bearer {key}"))
    return headers


def _lost_answer_exit_code(method: str) -> ExitCode:
    """Return the exit code for a lost answer: only a read certainly changed nothing."""
    return ExitCode.FAILED if method == "GET" else ExitCode.UNKNOWN


def _failure(entry: Address, status: int, data: bytes) -> Failure:
    try:
        error = msgspec.json.decode(data, type=_ErrorBody).error
    except msgspec.MsgspecError:
        return Failure(f"{entry} answered with status {status}")
    code = ExitCode.UNKNOWN if error.outcome == Outcome.UNKNOWN else ExitCode.FAILED
    return Failure(f"{error.name} ({error.code}): {error.message}", code)
