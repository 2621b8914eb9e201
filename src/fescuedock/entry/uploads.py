"""Receives an uploaded file: splits it into segments, validates it and writes it to the stores.

Memory use is bounded by the settings and not by the file size: one segment is collected while the
previous one is written.
"""

from hashlib import sha256

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.core.acceptance import InputChecker
from fescuedock.core.segments import CutSegment, LineReader, SegmentCutter
from fescuedock.entry.multipart import FormReader, PartBegin, PartData, open_form
from fescuedock.faults import Fault
from fescuedock.net.http_server import BodyTooLargeError, Request
from fescuedock.schema.batch import FileRecord, SegmentRef
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings
from fescuedock.store.client import StoreClient

__all__ = ["Upload", "receive_upload"]

_FILE_FIELD = "file"
_PURPOSE_FIELD = "purpose"
_MAX_FIELD_BYTES = 512
_MAX_FILENAME_CHARS = 255


class Upload(msgspec.Struct):
    """An uploaded file whose content is in the stores."""

    filename: str = ""
    purpose: str = ""
    content_hash: str = ""
    size_bytes: int = 0
    segments: list[SegmentRef] = msgspec.field(default_factory=list)
    checker: InputChecker | None = None

    def record(self, file_id: str, member: str, now_s: int) -> FileRecord:
        """Return the record that registers this as a file of ``member``."""
        checker = self.checker
        record = FileRecord(
            file_id=file_id,
            member=member,
            filename=self.filename,
            purpose=self.purpose,
            size_bytes=self.size_bytes,
            created_at_s=now_s,
            content_hash=self.content_hash,
            segments=self.segments,
            item_count=checker.item_count,
            endpoint=checker.endpoint,
            models=checker.models,
        )
        if checker.problem is not None:
            record.problem_code = checker.problem.code
            record.problem = checker.problem.message
        return record


async def receive_upload(
    request: Request,
    stores: StoreClient,
    settings: BatchSettings,
    max_bytes: int,
    chunk_lock: trio.Lock,
) -> Result[Upload, Fault]:
    """Read the form of ``POST /v1/files`` to its end and write its file to the stores.

    Uploads that share ``chunk_lock`` process one chunk between them in each pass of the event loop,
    so that online requests wait for one chunk in all instead of one for each upload.  Raise
    ``BodyTooLargeError`` if the request is over ``max_bytes``.
    """
    opened = open_form(request.headers.get("content-type", ""))
    if isinstance(opened, Err):
        return opened
    receiver = _Receiver(opened.ok_value, _ContentWriter(stores, settings, chunk_lock))
    received_bytes = 0
    async for data in request.body:
        received_bytes += len(data)
        if received_bytes > max_bytes:
            raise BodyTooLargeError(f"body over {max_bytes} bytes")
        await receiver.feed(data)
    return await receiver.finish()


class _Receiver:
    """Handles the events of the form; after the first fault the rest is read and discarded.

    A response that is sent while the caller still sends could be lost with the connection.
    """

    def __init__(self, form: FormReader, content: "_ContentWriter") -> None:
        self._form = form
        self._content = content
        self._upload = Upload()
        self._field = ""
        self._purpose = b""
        self._has_file = False
        self._fault: Fault | None = None

    async def feed(self, data: bytes) -> None:
        if self._fault is not None:
            return
        events = self._form.feed(data)
        if isinstance(events, Err):
            self._fault = events.err_value
            return
        for event in events.ok_value:
            result = await self._handle_event(event)
            if isinstance(result, Err):
                self._fault = result.err_value
                return

    async def finish(self) -> Result[Upload, Fault]:
        if self._fault is not None:
            return Err(self._fault)
        if not self._form.complete:
            return Err(Fault(ResultCode.BAD_REQUEST, "the form ends early"))
        self._upload.purpose = self._purpose.decode("utf-8", "replace")
        if not self._has_file or not self._upload.purpose:
            return Err(Fault(ResultCode.BAD_REQUEST, "the form needs the fields file and purpose"))
        finished = await self._content.finish(self._upload)
        return finished if isinstance(finished, Err) else Ok(self._upload)

    async def _handle_event(self, event: PartBegin | PartData) -> Result[None, Fault]:
        if isinstance(event, PartBegin):
            return self._begin(event)
        if self._field == _FILE_FIELD:
            return await self._content.write(event.data)
        if self._field == _PURPOSE_FIELD:
            self._purpose += event.data
            if len(self._purpose) > _MAX_FIELD_BYTES:
                return Err(Fault(ResultCode.BAD_REQUEST, "the field purpose is too long"))
        return Ok(None)

    def _begin(self, event: PartBegin) -> Result[None, Fault]:
        self._field = event.name
        if event.name != _FILE_FIELD:
            return Ok(None)
        if self._has_file:
            return Err(Fault(ResultCode.BAD_REQUEST, "the form has two files"))
        self._has_file = True
        self._upload.filename = (event.filename or _FILE_FIELD)[:_MAX_FILENAME_CHARS]
        return Ok(None)


class _ContentWriter:
    """Splits, validates and writes the content of one file."""

    def __init__(self, stores: StoreClient, settings: BatchSettings, chunk_lock: trio.Lock) -> None:
        self._stores = stores
        self._chunk_lock = chunk_lock
        self._checker = InputChecker(settings)
        self._reader = LineReader(settings.max_line_bytes)
        self._cutter = SegmentCutter(settings.segment_items, settings.segment_bytes)
        self._hash = sha256()
        self._size_bytes = 0
        self._segments: list[SegmentRef] = []

    async def write(self, data: bytes) -> Result[None, Fault]:
        async with self._chunk_lock:
            ready = self._cut(data)
        return await self._put_all(ready)

    async def finish(self, upload: Upload) -> Result[None, Fault]:
        """Write the remaining content and store the result in ``upload``."""
        ready = self._add_lines(self._reader.finish())
        last = self._cutter.finish()
        result = await self._put_all([*ready, *([last] if last else [])])
        if isinstance(result, Err):
            return result
        self._checker.finish()
        upload.checker = self._checker
        upload.content_hash = self._hash.hexdigest()
        upload.size_bytes = self._size_bytes
        upload.segments = self._segments
        return Ok(None)

    def _cut(self, data: bytes) -> list[CutSegment]:
        self._hash.update(data)
        self._size_bytes += len(data)
        if self._checker.problem is None:
            return self._add_lines(self._reader.feed(data))
        return self._add_lines([*self._reader.finish(), data])

    def _add_lines(self, lines: list[bytes]) -> list[CutSegment]:
        ready: list[CutSegment] = []
        for number, line in enumerate(lines):
            self._checker.check(line)
            if self._checker.problem is not None:
                # The file cannot be a batch input any more, so the rest is not split into lines,
                # which could be very short and many.
                return [*ready, *self._add_unparsed(b"".join(lines[number:]))]
            cut = self._cutter.add(line)
            ready += [cut] if cut else []
        return ready

    def _add_unparsed(self, data: bytes) -> list[CutSegment]:
        cut = self._cutter.add(data)
        return [cut] if cut else []

    async def _put_all(self, ready: list[CutSegment]) -> Result[None, Fault]:
        for cut in ready:
            result = await self._stores.put_segment(cut.body, cut.items)
            if isinstance(result, Err):
                return result
            self._segments.append(result.ok_value)
        return Ok(None)
