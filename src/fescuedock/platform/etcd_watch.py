"""The watch of etcd's HTTP gateway: one streamed answer of JSON lines."""

from collections.abc import AsyncIterator

import msgspec
import trio

from fescuedock.net.address import Address
from fescuedock.net.http_client import (
    ClientResponse,
    HttpClient,
    NotSentError,
    ResponseLostError,
)
from fescuedock.platform import etcd_wire as wire
from fescuedock.platform.kv import KvEntry, KvEvent, KvWatchGap

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
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Send the changes under ``prefix`` until the connection is lost, then close ``sender``.

    Reports as started once the service is watching, or when the connection failed before.
    """
    started = False
    with sender:
        try:
            async with http.request(
                address,
                "POST",
                "/v3/watch",
                [("content-type", "application/json")],
                _request(prefix, from_revision),
                answer_timeout_ms=timeout_ms,
            ) as response:
                async for line in _lines(response):
                    result = _decoder.decode(line).result
                    if result.created and not started:
                        started = True
                        task_status.started()
                    if await _forward(result, sender):
                        break
        except (NotSentError, ResponseLostError, msgspec.MsgspecError, trio.BrokenResourceError):
            # The reader sees the end of the channel and watches anew.
            pass
    if not started:
        task_status.started()


def _request(prefix: str, from_revision: int) -> bytes:
    create = wire.WatchCreate(
        key=prefix.encode(),
        range_end=wire.prefix_end(prefix),
        start_revision=from_revision,
        progress_notify=True,
    )
    return msgspec.json.encode(wire.WatchRequest(create_request=create))


async def _lines(response: ClientResponse) -> AsyncIterator[bytes]:
    rest = b""
    async for chunk in response.chunks():
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            if line:
                yield line
        if len(rest) > _MAX_LINE_BYTES:
            raise ResponseLostError("watch line too long", head_received=True)


async def _forward(
    result: wire.WatchResult, sender: "trio.MemorySendChannel[KvEvent | KvWatchGap]"
) -> bool:
    """Pass on one message; whether it was the watch's last."""
    for event in result.events:
        await sender.send(_event(event))
    if result.canceled and result.compact_revision:
        await sender.send(KvWatchGap(result.compact_revision))
    return result.canceled


def _event(event: wire.Event) -> KvEvent:
    kv = event.kv
    key = kv.key.decode()
    if event.type == wire.DELETE:
        return KvEvent(key, kv.mod_revision, None)
    return KvEvent(key, kv.mod_revision, KvEntry(key, kv.value, kv.mod_revision, kv.lease))
