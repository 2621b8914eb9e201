"""A key-value service with the subset of etcd v3's HTTP/JSON gateway that fescuedock uses."""

from dataclasses import dataclass
from functools import partial

import msgspec
import trio

from fescuedock.backing import etcd_wire as wire
from fescuedock.net.http_server import Request, Responder
from fescuedock.standin.kv_calls import CallError, KvCalls, call_kind
from fescuedock.standin.kv_faults import CallKind, LostAnswer
from fescuedock.standin.kv_host import KvHost
from fescuedock.standin.kv_watch import serve_watch

__all__ = ["KvService"]

# Like etcd's default for --max-request-bytes; leaves room for the base64 encoding of a 1 MB value.
MAX_REQUEST_BYTES = 1_500_000


@dataclass(slots=True)
class KvService(KvHost):
    """One service; see ``KvHost``.  ``progress_ms`` is the interval of watch progress reports."""

    progress_ms: float = 1000.0

    def lapse_lease(self, lease_id: int) -> None:
        """Expire a lease now, as if its holder had been paused for its whole duration."""
        self.state.revoke(lease_id)

    async def handle(self, request: Request, responder: Responder) -> None:
        body = await request.read(2 * MAX_REQUEST_BYTES)
        kind = call_kind(request.path, body)
        lost_answer = self.faults.count(kind)
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.delay_ms:
            await trio.sleep(self.faults.delay_ms / 1000)
        if kind is CallKind.WATCH:
            create = msgspec.json.decode(body, type=wire.WatchRequest, strict=False).create_request
            await serve_watch(self.state, create, responder, self.progress_ms, self.watches_cut)
            return
        if lost_answer is None:
            await self._answer(request.path, body, responder)
        elif lost_answer is LostAnswer.AFTER_EFFECT:
            self._execute(request.path, body)
        elif lost_answer is LostAnswer.LATE_EFFECT:
            self.execute_late(partial(self._execute, request.path, body))
        # Returning without a response cuts the connection.

    async def _answer(self, path: str, body: bytes, responder: Responder) -> None:
        status, answer = self._execute(path, body)
        await responder.send_json(status, answer)

    def _execute(self, path: str, body: bytes) -> tuple[int, msgspec.Struct]:
        self.state.expire(trio.current_time())
        try:
            if len(body) > MAX_REQUEST_BYTES:
                raise CallError(400, 3, "etcdserver: request is too large")
            return 200, KvCalls(self.state, trio.current_time()).execute(path, body)
        except CallError as error:
            return error.status, wire.ErrorAnswer(error.code, str(error))
