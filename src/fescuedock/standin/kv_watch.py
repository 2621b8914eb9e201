"""The server side of a watch: events as JSON lines, with progress and compaction reports."""

from collections import deque
from collections.abc import Callable

import msgspec
import trio

from fescuedock.backing import etcd_wire as wire
from fescuedock.kv import KvEvent
from fescuedock.net.http_server import DroppedConnectionError, Responder, ResponseStream
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
    """Stream the events of a range until the caller disconnects or ``cut`` is set.

    A caller that requested progress reports receives the current revision after every
    ``progress_ms`` without events.
    """
    async with responder.stream(200, _JSON_LINES) as stream:
        await _write(stream, wire.WatchResult(wire.Header(state.revision), created=True))
        try:
            events = _EventQueue(state, create)
        except CompactedError as error:
            await _write(stream, _compaction_result(state, error.compact_revision))
            return
        with events:
            while not cut.is_set():
                await events.write(stream)
                if not await events.wait(cut, progress_ms) and create.progress_notify:
                    await _write(stream, wire.WatchResult(wire.Header(state.revision)))
        raise DroppedConnectionError("watch cut on command")


class _EventQueue:
    """The past and future events of one watch; leaving the block ends the subscription."""

    __slots__ = ("_arrived", "_end", "_pending", "_start", "_state")

    def __init__(self, state: KvState, create: wire.WatchCreate) -> None:
        self._state = state
        self._start = create.key.decode()
        self._end = range_end(create.range_end) if create.range_end else self._start + "\0"
        self._pending: deque[KvEvent] = deque()
        self._arrived = trio.Event()
        # No event is missed: there is no await between reading the history and subscribing.
        if create.start_revision:
            past = state.events_since(self._start, self._end, create.start_revision)
            self._pending.extend(past)
        state.listeners.append(self._enqueue)

    def __enter__(self) -> "_EventQueue":
        return self

    def __exit__(self, *_: object) -> None:
        self._state.listeners.remove(self._enqueue)

    def _enqueue(self, event: KvEvent) -> None:
        if in_range(event.key, self._start, self._end):
            self._pending.append(event)
            self._arrived.set()

    async def write(self, stream: ResponseStream) -> None:
        """Send the pending events."""
        while self._pending:
            event = self._pending.popleft()
            result = wire.WatchResult(wire.Header(event.revision), events=[_wire_event(event)])
            await _write(stream, result)

    async def wait(self, cut: trio.Event, timeout_ms: float) -> bool:
        """Wait for an event or ``cut``; return False if ``timeout_ms`` elapses first."""
        self._arrived = trio.Event()
        return bool(self._pending) or await _wait_for_either(self._arrived, cut, timeout_ms)


async def _wait_for_either(arrived: trio.Event, cut: trio.Event, timeout_ms: float) -> bool:
    """Wait for either event; return False if ``timeout_ms`` elapses first."""
    with trio.move_on_after(timeout_ms / 1000) as scope:
        async with trio.open_nursery() as nursery:
            for event in (arrived, cut):
                nursery.start_soon(_cancel_after, event.wait, nursery.cancel_scope)
    return not scope.cancelled_caught


async def _cancel_after(wait: Callable, scope: trio.CancelScope) -> None:
    await wait()
    scope.cancel()


async def _write(stream: ResponseStream, result: wire.WatchResult) -> None:
    await stream.write(msgspec.json.encode(wire.WatchAnswer(result)) + b"\n")


def _wire_event(event: KvEvent) -> wire.Event:
    if event.entry is None:
        deleted = wire.KeyValue(event.key.encode(), mod_revision=event.revision)
        return wire.Event(deleted, wire.DELETE)
    return wire.Event(key_value(event.entry))


def _compaction_result(state: KvState, compact_revision: int) -> wire.WatchResult:
    return wire.WatchResult(
        wire.Header(state.revision), canceled=True, compact_revision=compact_revision
    )
