"""The service's side of a watch: events as JSON lines, with progress and compaction gaps."""

from collections import deque
from collections.abc import Callable

import msgspec
import trio

from fescuedock.net.http_server import Responder, ResponseStream
from fescuedock.platform import etcd_wire as wire
from fescuedock.platform.kv import KvEvent
from fescuedock.standin.kv_calls import key_value, range_end
from fescuedock.standin.kv_state import CompactedError, KvState, in_range

__all__ = ["serve_watch"]

_JSON_LINES = (("content-type", "application/json"),)


async def serve_watch(
    state: KvState,
    create: wire.WatchCreate,
    responder: Responder,
    progress_ms: float,
    cut: trio.Event,
) -> None:
    """Stream the events of a range until the caller leaves or ``cut`` is set.

    A caller that asks for progress hears the revision every ``progress_ms`` without events.
    """
    start = create.key.decode()
    end = range_end(create.range_end) if create.range_end else start + "\0"
    waiting: deque[KvEvent] = deque()
    arrived = trio.Event()

    def tell(event: KvEvent) -> None:
        nonlocal arrived
        if in_range(event.key, start, end):
            waiting.append(event)
            arrived.set()

    async with responder.stream(200, _JSON_LINES) as stream:
        await _write(stream, wire.WatchResult(wire.Header(state.revision), created=True))
        # Nothing happens between reading the past and listening: no await stands between them.
        try:
            if create.start_revision:
                waiting.extend(state.events_since(start, end, create.start_revision))
        except CompactedError as error:
            await _write(stream, _gap(state, error.compact_revision))
            return
        state.listeners.append(tell)
        try:
            while not cut.is_set():
                await _write_events(stream, waiting)
                arrived = trio.Event()
                if waiting:
                    continue
                if not await _either(arrived, cut, progress_ms) and create.progress_notify:
                    await _write(stream, wire.WatchResult(wire.Header(state.revision)))
            raise trio.BrokenResourceError("watch cut on command")
        finally:
            state.listeners.remove(tell)


async def _either(arrived: trio.Event, cut: trio.Event, timeout_ms: float) -> bool:
    """Wait for either event; False when ``timeout_ms`` went by first."""
    with trio.move_on_after(timeout_ms / 1000) as scope:
        async with trio.open_nursery() as nursery:
            for event in (arrived, cut):
                nursery.start_soon(_cancel_after, event.wait, nursery.cancel_scope)
    return not scope.cancelled_caught


async def _cancel_after(wait: Callable, scope: trio.CancelScope) -> None:
    await wait()
    scope.cancel()


async def _write_events(stream: ResponseStream, waiting: deque[KvEvent]) -> None:
    while waiting:
        event = waiting.popleft()
        result = wire.WatchResult(wire.Header(event.revision), events=[_wire_event(event)])
        await _write(stream, result)


async def _write(stream: ResponseStream, result: wire.WatchResult) -> None:
    await stream.write(msgspec.json.encode(wire.WatchAnswer(result)) + b"\n")


def _wire_event(event: KvEvent) -> wire.Event:
    if event.entry is None:
        deleted = wire.KeyValue(event.key.encode(), mod_revision=event.revision)
        return wire.Event(deleted, wire.DELETE)
    return wire.Event(key_value(event.entry))


def _gap(state: KvState, compact_revision: int) -> wire.WatchResult:
    return wire.WatchResult(
        wire.Header(state.revision), canceled=True, compact_revision=compact_revision
    )
