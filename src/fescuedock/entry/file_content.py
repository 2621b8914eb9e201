"""Sends the segments of a file to a caller."""

from collections.abc import Sequence

from result import Err

from fescuedock.log import log_event
from fescuedock.net.http_server import DroppedConnectionError, Responder
from fescuedock.schema.batch import SegmentRef
from fescuedock.store.client import StoreClient

__all__ = ["FileContent"]

_CONTENT_TYPE = "application/octet-stream"


class FileContent:
    """A file as a sequence of segments."""

    __slots__ = ("_segments", "_stores")

    def __init__(self, stores: StoreClient, segments: Sequence[SegmentRef]) -> None:
        self._stores = stores
        self._segments = segments

    @property
    def size_bytes(self) -> int:
        return sum(ref.size_bytes for ref in self._segments)

    async def send(self, responder: Responder) -> None:
        """Respond with the full content, holding one segment in memory at a time.

        If a later segment cannot be read, the connection is dropped, so that the caller never
        mistakes a part for the complete file.
        """
        if not self._segments:
            await responder.send(200, b"", [("content-type", _CONTENT_TYPE)])
            return
        first = await self._stores.get_segment(self._segments[0])
        if isinstance(first, Err):
            await responder.send_fault(first.err_value)
            return
        headers = [("content-type", _CONTENT_TYPE), ("content-length", str(self.size_bytes))]
        async with responder.stream(200, headers) as stream:
            await stream.write(first.ok_value)
            for ref in self._segments[1:]:
                await stream.write(await self._read(ref))

    async def _read(self, ref: SegmentRef) -> bytes:
        result = await self._stores.get_segment(ref)
        if isinstance(result, Err):
            log_event("file_cut_off", segment_hash=ref.segment_hash, fault=str(result.err_value))
            raise DroppedConnectionError(str(result.err_value))
        return result.ok_value
