"""The watch of etcd's HTTP gateway: one streamed answer of JSON lines."""

import msgspec
import trio

from fescuedock.address import Address
from fescuedock.backing import etcd_wire as wire
from fescuedock.kv import KvEntry, KvEvent, KvWatchGap
from fescuedock.net.http_client import (
    ClientResponse,
    HttpClient,
    NotSentError,
    ResponseLostError,
)

__all__ = ["run_watch"]

# Events of one revision come in one line; a transaction of ours changes one key.
_MAX_LINE_BYTES = 64 * 1024 * 1024
_decoder = msgspec.json.Decoder(wire.WatchAnswer, strict=False)


async def run_watch(
    http: HttpClient,
    address: Address,
    prefix: str,
    from_revision: int,
    timeout_ms: int,
    sender: "trio.MemorySendChannel[KvEvent | KvWatchGap]",
    *,
    task_status: trio.TaskStatus[bool] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Send the changes under ``prefix`` until the connection is lost, then close ``sender``.

    Reports True once the service is watching, False when that failed.
    """
    watch = _Watch(sender, task_status)
    with sender:
        try:
            async with http.request(
                address,
                "POST",
                "/v3/watch",
                [("content-type", "application/json")],
                _encode_request(prefix, from_revision),
                answer_timeout_ms=timeout_ms,
            ) as response:
                await watch.forward_events(response)
        except (NotSentError, ResponseLostError, msgspec.MsgspecError, trio.BrokenResourceError):
            # The reader sees the end of the channel and watches anew.
            pass
    if not watch.created:
        task_status.started(False)


class _Watch:
    """One watch: whether the service has begun it, and where its events go."""

    __slots__ = ("_sender", "_task_status", "created")

    def __init__(
        self,
        sender: "trio.MemorySendChannel[KvEvent | KvWatchGap]",
        task_status: trio.TaskStatus[bool],
    ) -> None:
        self._sender = sender
        self._task_status = task_status
        self.created = False

    async def forward_events(self, response: ClientResponse) -> None:
        """Pass on events until the service ends the watch."""
        lines = _LineSplitter()
        async for chunk in response.chunks():
            for line in lines.split(chunk):
                if await self._forward(_decoder.decode(line).result):
                    return

    async def _forward(self, result: wire.WatchResult) -> bool:
        """Pass on one message; whether it was the last."""
        if result.created and not self.created:
            self.created = True
            self._task_status.started(True)
        for event in result.events:
            await self._sender.send(_to_event(event))
        if result.canceled and result.compact_revision:
            await self._sender.send(KvWatchGap(result.compact_revision))
        return result.canceled


def _encode_request(prefix: str, from_revision: int) -> bytes:
    create = wire.WatchCreate(
        key=prefix.encode(),
        range_end=wire.prefix_end(prefix),
        start_revision=from_revision,
        progress_notify=True,
    )
    return msgspec.json.encode(wire.WatchRequest(create_request=create))


class _LineSplitter:
    """Joins the lines that chunks cut apart."""

    __slots__ = ("_partial_line",)

    def __init__(self) -> None:
        self._partial_line = b""

    def split(self, chunk: bytes) -> list[bytes]:
        """Return the lines that ``chunk`` completes."""
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        if len(self._partial_line) > _MAX_LINE_BYTES:
            raise ResponseLostError("watch line too long", head_received=True)
        return [line for line in lines if line]


def _to_event(event: wire.Event) -> KvEvent:
    kv = event.kv
    key = kv.key.decode()
    if event.type == wire.DELETE:
        return KvEvent(key, kv.mod_revision, None)
    return KvEvent(key, kv.mod_revision, KvEntry(key, kv.value, kv.mod_revision, kv.lease))
