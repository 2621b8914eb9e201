"""A plain service that counts the executions of each request."""

from collections import Counter
from dataclasses import dataclass, field

import trio

from fescuedock.address import Address
from fescuedock.net.http_server import Request, Responder
from fescuedock.standin.listener import Listener

__all__ = ["PlainService"]

REQUEST_ID_HEADER = "x-request-id"
_MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclass(slots=True)
class PlainService:
    """Echoes every call.

    ``executions`` counts by the header ``x-request-id``, or by method and path without it.
    ``cut_before`` and ``cut_after`` cut the connections of that many future calls before or after
    execution.  ``fail_with`` is a status code to answer with instead of executing.
    """

    upstream_id: str
    delay_ms: float = 0.0
    cut_before: int = 0
    cut_after: int = 0
    fail_with: int = 0
    executions: Counter[str] = field(default_factory=Counter)
    listener: Listener = field(init=False)

    def __post_init__(self) -> None:
        self.listener = Listener(self.handle)

    @property
    def address(self) -> Address:
        return self.listener.address

    async def run(
        self, address: Address, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the bound ``Address``."""
        await self.listener.run(address, task_status=task_status)

    async def handle(self, request: Request, responder: Responder) -> None:
        body = await request.read(_MAX_BODY_BYTES)
        if self.cut_before:
            self.cut_before -= 1
            return
        if self.fail_with:
            await responder.send_json(self.fail_with, {"error": "failing on command"})
            return
        name = request.headers.get(REQUEST_ID_HEADER, f"{request.method} {request.path}")
        self.executions[name] += 1
        if self.delay_ms:
            await trio.sleep(self.delay_ms / 1000)
        if self.cut_after:
            self.cut_after -= 1
            return
        await self._echo(request, responder, name, body)

    async def _echo(self, request: Request, responder: Responder, name: str, body: bytes) -> None:
        answer = {
            "upstream_id": self.upstream_id,
            "method": request.method,
            "path": request.path,
            "execution": self.executions[name],
            "body": body.decode("utf-8", "replace"),
        }
        await responder.send_json(200, answer)
