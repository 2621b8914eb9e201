"""Handles the messages to a store by means of its segments and logs."""

from collections.abc import Callable

import msgspec
from result import Ok, Result

from fescuedock.clock import UnixClock
from fescuedock.faults import Fault
from fescuedock.net.channel import ServerPeer
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.store import (
    AppendLog,
    AskSweep,
    DropLog,
    DropSegments,
    GetSegment,
    HaveSegments,
    HaveSegmentsReply,
    PutSegment,
    ReadLog,
    SegmentReply,
    StoreReply,
)
from fescuedock.store.logs import LogFolder
from fescuedock.store.segments import SegmentFolder, Usage

__all__ = ["StoreService"]


class StoreService(msgspec.Struct):
    """The handler of a store's channel; every message is safe to repeat."""

    segments: SegmentFolder
    logs: LogFolder
    usage: Usage
    unix_clock: UnixClock
    # Called when another store requests that this one compare its segments with the others'.
    on_sweep_requested: Callable[[], None] = lambda: None

    async def handle(
        self, message: msgspec.Struct, _peer: ServerPeer | None = None
    ) -> msgspec.Struct:
        """Return the reply to ``message``; a disk error is returned as a ``StoreReply``."""
        try:
            return await self._answer(message)
        except OSError as error:
            text = f"the disk refused: {error}"
            return StoreReply(code=ResultCode.STORES_UNAVAILABLE, message=text)

    async def _answer(self, message: msgspec.Struct) -> msgspec.Struct:
        match message:
            case PutSegment():
                return self._reply(self.segments.put(message, self.unix_clock))
            case GetSegment():
                return self._get(message.segment_hash)
            case HaveSegments():
                return self._find_missing(message)
            case AppendLog():
                return self._reply(await self.logs.append(message.job_id, message.records))
            case ReadLog():
                return self.logs.read(message)
            case DropSegments():
                for segment_hash in message.segment_hashes:
                    self.segments.drop(segment_hash)
                return self._reply(Ok(None))
            case AskSweep():
                self.on_sweep_requested()
                return self._reply(Ok(None))
            case DropLog():
                self.logs.drop(message.job_id)
                return self._reply(Ok(None))
        return StoreReply(code=ResultCode.BAD_REQUEST, message="not a message to a store")

    def _get(self, segment_hash: str) -> SegmentReply:
        result = self.segments.get(segment_hash)
        file = self.segments.status(segment_hash)
        if isinstance(result, Ok) and file is not None:
            return SegmentReply(body=result.ok_value, kept_since_s=file.modified_s)
        return SegmentReply(body=b"", code=result.err_value.code)

    def _find_missing(self, message: HaveSegments) -> HaveSegmentsReply:
        if message.renew:
            missing = self.segments.renew(message.segment_hashes, self.unix_clock())
        else:
            missing = self.segments.missing(message.segment_hashes)
        return HaveSegmentsReply(missing=missing)

    def _reply(self, result: Result[None, Fault]) -> StoreReply:
        if isinstance(result, Ok):
            return StoreReply(free_bytes=self.usage.free_bytes)
        fault = result.err_value
        return StoreReply(code=fault.code, message=fault.message, free_bytes=self.usage.free_bytes)
