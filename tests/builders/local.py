"""A whole local system for tests that go through every part."""

import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.cli.local import LocalSystem, open_local
from fescuedock.daemon import leaf_errors

__all__ = ["Answer", "exchange", "open_test_system", "post", "run_session", "wait_until"]

SESSION_TIMEOUT_S = 60
_JSON = (("content-type", "application/json"),)


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer of an entry."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> dict:
        return msgspec.json.decode(self.body)


@asynccontextmanager
async def open_test_system(port: int = 0) -> AsyncIterator[LocalSystem]:
    """Run a local system on free ports with a data folder of its own; ends at once."""
    with tempfile.TemporaryDirectory(prefix="fescuedock-test-") as folder:
        async with open_local(port, Path(folder)) as system:
            yield system


def run_session(session: Callable[[LocalSystem], Awaitable[None]]) -> None:
    """Run ``session`` against a fresh system within a generous time.

    What the session raises comes out as it is, without trio's groups.
    """

    async def run() -> None:
        with trio.fail_after(SESSION_TIMEOUT_S):
            async with open_test_system() as system:
                await session(system)

    try:
        trio.run(run)
    except BaseExceptionGroup as errors:
        raise leaf_errors(errors)[0] from None


async def exchange(
    system: LocalSystem,
    method: str,
    target: str,
    body: object = None,
    *,
    entry: Address | None = None,
    headers: tuple[tuple[str, str], ...] = _JSON,
) -> Answer:
    """Send one request to an entry, by default the first; ``body`` is bytes or becomes JSON."""
    data = b"" if body is None else body
    if not isinstance(data, bytes):
        data = msgspec.json.encode(data)
    address = entry or system.entry_address
    async with system.http.request(address, method, target, headers, data) as response:
        return Answer(response.status, dict(response.headers), await response.read())


async def post(system: LocalSystem, target: str, body: object) -> Answer:
    """Send one POST with a JSON body to the first entry."""
    return await exchange(system, "POST", target, body)


async def wait_until(condition: Callable[[], Awaitable[bool]], timeout_s: float = 30) -> None:
    """Ask ``condition`` again and again until it holds; ``TooSlowError`` after ``timeout_s``."""
    with trio.fail_after(timeout_s):
        while True:
            if await condition():
                return
            await trio.sleep(0.05)
