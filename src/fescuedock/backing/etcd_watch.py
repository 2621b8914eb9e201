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

# All events of one revision are in one line; a transaction changes only a few keys.
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

    Report True to ``task_status`` once the service is watching, False if that failed.
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
            # The reader sees the end of the channel and starts another watch.
            pass
    if not watch.created:
        task_status.started(False)


class _Watch:
    """One watch: whether the service has created it, and the channel for its events."""

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
        """Forward events until the service ends the watch."""
        lines = _LineSplitter()
        async for chunk in response.chunks():
            for line in lines.split(chunk):
                if await self._forward(_decoder.decode(line).result):
                    return

    async def _forward(self, result: wire.WatchResult) -> bool:
        """Forward the events of one message; return whether it is the last."""
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
    """Splits chunks into lines, joining lines that span chunks."""

    __slots__ = ("_partial_line",)

    def __init__(self) -> None:
        self._partial_line = b""

    def split(self, chunk: bytes) -> list[bytes]:
        """Return the lines that ``chunk`` completes."""
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        if len(self._partial_line) > _MAX_LINE_BYTES:
            raise ResponseLostError("watch line exceeds the size limit", head_received=True)
        return [line for line in lines if line]


def _to_event(event: wire.Event) -> KvEvent:
    kv = event.kv
    key = kv.key.decode()
    if event.type == wire.DELETE:
        return KvEvent(key, kv.mod_revision, None)
    return KvEvent(key, kv.mod_revision, KvEntry(key, kv.value, kv.mod_revision, kv.lease))
