"""An in-memory ``KvStore`` with fault injection, for tests that need no HTTP."""

import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import trio
from result import Err, Ok, Result

from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvEvent, KvPage, KvWatchGap
from fescuedock.schema.result_codes import ResultCode
from fescuedock.standin.kv_faults import WRITES, CallKind, KvFaults, LostAnswer
from fescuedock.standin.kv_state import (
    CompactedError,
    KvState,
    LeaseNotFoundError,
    in_range,
    prefix_end,
)

__all__ = ["LostAnswer", "MemoryKv"]

MAX_VALUE_BYTES = 1024 * 1024
# How long a call to a silent service waits before it fails.
TIMEOUT_MS = 1500


class MemoryKv:
    """A ``KvStore`` with its own state, or another client of the given ``state``.

    Faults: ``kv.faults.down = True``, ``kv.faults.silent``, ``kv.faults.delay_ms``,
    ``kv.faults.lose_answer(when, nth)``, ``kv.lapse_lease(lease_id)``, ``kv.cut_watches()``.
    Counts: ``kv.faults.calls[kind]``.
    """

    def __init__(self, state: KvState | None = None) -> None:
        self.state = state or KvState()
        self.faults = KvFaults()
        self._late_writes: list[Callable[[], object]] = []
        self._watch_senders: set[trio.MemorySendChannel] = set()

    @property
    def down(self) -> bool:
        return self.faults.down

    @down.setter
    def down(self, value: bool) -> None:
        self.faults.down = value

    def lapse_lease(self, lease_id: int) -> None:
        """Expire a lease now, as if its holder had been paused for its whole duration."""
        self.state.revoke(lease_id)

    def cut_watches(self) -> None:
        """Cut the connections of all watches."""
        for sender in tuple(self._watch_senders):
            self._watch_senders.discard(sender)
            sender.close()

    def apply_late_writes(self) -> None:
        """Apply the writes delayed by ``LostAnswer.LATE_EFFECT`` now."""
        late, self._late_writes = self._late_writes, []
        for write in late:
            write()

    async def get(self, key: str, *, at_revision: int = 0) -> Result[KvEntry | None, Fault]:
        def read() -> Result[KvEntry | None, Fault]:
            try:
                return Ok(self.state.get(key, at_revision))
            except CompactedError as error:
                return Err(Fault(ResultCode.KV_COMPACTED, str(error)))

        return await self._call(CallKind.GET, read)

    async def get_range(
        self, prefix: str, *, start_after: str = "", limit: int = 1000, keys_only: bool = False
    ) -> Result[KvPage, Fault]:
        def read() -> Result[KvPage, Fault]:
            start = max(prefix, start_after + "\0") if start_after else prefix
            page = self.state.page(start, prefix_end(prefix), limit)
            if not keys_only:
                return Ok(page)
            without_values = tuple(
                KvEntry(e.key, b"", e.mod_revision, e.lease_id) for e in page.entries
            )
            return Ok(KvPage(without_values, page.revision, page.more))

        return await self._call(CallKind.RANGE, read)

    async def put_if(
        self, key: str, value: bytes, expected_revision: int, *, lease_id: int = 0
    ) -> Result[int, Fault]:
        def write() -> Result[int, Fault]:
            if len(value) > MAX_VALUE_BYTES:
                message = f"{key}: {len(value)} bytes exceed the limit"
                return Err(Fault(ResultCode.KV_VALUE_TOO_LARGE, message))
            try:
                revision = self.state.put_if(key, value, expected_revision, lease_id)
            except LeaseNotFoundError as error:
                return _conflict(str(error))
            return Ok(revision) if revision else _conflict(f"{key} has another revision")

        return await self._call(CallKind.PUT, write)

    async def delete_if(self, key: str, expected_revision: int) -> Result[None, Fault]:
        def write() -> Result[None, Fault]:
            if self.state.delete_if(key, expected_revision):
                return Ok(None)
            return _conflict(f"{key} has another revision")

        return await self._call(CallKind.DELETE, write)

    async def grant_lease(self, ttl_s: int) -> Result[int, Fault]:
        return await self._call(
            CallKind.GRANT, lambda: Ok(self.state.grant(ttl_s, trio.current_time()))
        )

    async def keep_lease(self, lease_id: int) -> Result[int, Fault]:
        return await self._call(
            CallKind.KEEP, lambda: Ok(self.state.renew(lease_id, trio.current_time()))
        )

    async def revoke_lease(self, lease_id: int) -> Result[None, Fault]:
        def write() -> Result[None, Fault]:
            self.state.revoke(lease_id)
            return Ok(None)

        return await self._call(CallKind.REVOKE, write)

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator["trio.MemoryReceiveChannel[KvEvent | KvWatchGap]"]:
        self.faults.count(CallKind.WATCH)
        sender, receiver = trio.open_memory_channel(math.inf)
        end = prefix_end(prefix)

        def send_event(event: KvEvent) -> None:
            if sender in self._watch_senders and in_range(event.key, prefix, end):
                sender.send_nowait(event)

        if self.faults.down:
            sender.close()
        else:
            self._replay(sender, prefix, from_revision)
            self.state.listeners.append(send_event)
            self._watch_senders.add(sender)
        try:
            yield receiver
        finally:
            self._watch_senders.discard(sender)
            if send_event in self.state.listeners:
                self.state.listeners.remove(send_event)

    def _replay(self, sender: trio.MemorySendChannel, prefix: str, from_revision: int) -> None:
        if not from_revision:
            return
        try:
            events = self.state.events_since(prefix, prefix_end(prefix), from_revision)
        except CompactedError as error:
            sender.send_nowait(KvWatchGap(error.compact_revision))
            return
        for event in events:
            sender.send_nowait(event)

    async def _call(self, kind: CallKind, execute: Callable[[], Result]) -> Result:
        lost = self.faults.count(kind)
        await trio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return _unavailable("down on command")
        if self.faults.silent:
            return await self._time_out(kind)
        self.state.expire(trio.current_time())
        if lost is None:
            return execute()
        if lost is LostAnswer.LATE_EFFECT:
            self._late_writes.append(execute)
        if lost is LostAnswer.AFTER_EFFECT:
            execute()
        return Err(Fault(ResultCode.KV_UNKNOWN, f"response to {kind} lost on command", 1000))

    async def _time_out(self, kind: CallKind) -> Err[Fault]:
        await trio.sleep(TIMEOUT_MS / 1000)
        if kind in WRITES:
            return Err(Fault(ResultCode.KV_UNKNOWN, "no answer", 1000))
        return _unavailable("no answer")


def _unavailable(message: str) -> Err[Fault]:
    return Err(Fault(ResultCode.KV_UNAVAILABLE, message, retry_after_ms=1000))


def _conflict(message: str) -> Err[Fault]:
    return Err(Fault(ResultCode.KV_CONFLICT, message))
