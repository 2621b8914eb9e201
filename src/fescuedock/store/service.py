"""Answers the messages of a store from its folders."""

from collections.abc import Awaitable, Callable

import msgspec
from result import Ok, Result

from fescuedock.clock import UnixClock
from fescuedock.faults import Fault
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.store import (
    AppendLog,
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

__all__ = ["store_handler"]

_Answer = Callable[[msgspec.Struct], Awaitable[msgspec.Struct]]


def store_handler(
    segments: SegmentFolder, logs: LogFolder, usage: Usage, unix_clock: UnixClock
) -> CallHandler:
    """Return the handler of a store's channel; every message may be repeated."""

    def reply(result: Result[None, Fault]) -> StoreReply:
        if isinstance(result, Ok):
            return StoreReply(free_bytes=usage.free_bytes)
        fault = result.err_value
        return StoreReply(code=fault.code, message=fault.message, free_bytes=usage.free_bytes)

    async def put(message: PutSegment) -> StoreReply:
        return reply(segments.put(message, unix_clock))

    async def get(message: GetSegment) -> SegmentReply:
        result = segments.get(message.segment_hash)
        if isinstance(result, Ok):
            file = segments.status(message.segment_hash)
            return SegmentReply(body=result.ok_value, kept_since_s=file.modified_s)
        return SegmentReply(body=b"", code=result.err_value.code)

    async def have(message: HaveSegments) -> HaveSegmentsReply:
        if message.renew:
            missing = segments.renew(message.segment_hashes, unix_clock())
        else:
            missing = segments.missing(message.segment_hashes)
        return HaveSegmentsReply(missing=missing)

    async def drop(message: DropSegments) -> StoreReply:
        for segment_hash in message.segment_hashes:
            segments.drop(segment_hash)
        return reply(Ok(None))

    async def append(message: AppendLog) -> StoreReply:
        return reply(await logs.append(message.job_id, message.records))

    async def read(message: ReadLog) -> msgspec.Struct:
        return logs.read(message)

    async def drop_log(message: DropLog) -> StoreReply:
        logs.drop(message.job_id)
        return reply(Ok(None))

    answers: dict[type[msgspec.Struct], _Answer] = {
        PutSegment: put,
        GetSegment: get,
        HaveSegments: have,
        DropSegments: drop,
        AppendLog: append,
        ReadLog: read,
        DropLog: drop_log,
    }

    async def handle(message: msgspec.Struct, _peer: ServerPeer) -> msgspec.Struct | None:
        answer = answers.get(type(message))
        if answer is None:
            return StoreReply(code=ResultCode.BAD_REQUEST, message="not a message to a store")
        try:
            return await answer(message)
        except OSError as error:
            text = f"the disk refused: {error}"
            return StoreReply(code=ResultCode.STORES_UNAVAILABLE, message=text)

    return handle
