"""Parses ``multipart/form-data`` incrementally, without buffering complete parts."""

import logging

import msgspec
from python_multipart.exceptions import FormParserError
from python_multipart.multipart import MultipartParser, parse_options_header
from result import Err, Ok, Result

from fescuedock.faults import Fault
from fescuedock.schema.result_codes import ResultCode

__all__ = ["FormReader", "PartBegin", "PartData", "PartEvent", "open_form"]

_DISPOSITION = b"content-disposition"

# The library logs a warning for each malformed form, which is an error of the caller.
logging.getLogger("python_multipart").setLevel(logging.CRITICAL)


class PartBegin(msgspec.Struct, frozen=True):
    """The start of a field; ``filename`` is None unless the field is a file."""

    name: str
    filename: str | None


class PartData(msgspec.Struct, frozen=True):
    """Bytes of the field that started last."""

    data: bytes


PartEvent = PartBegin | PartData


def open_form(content_type: str) -> Result["FormReader", Fault]:
    """Return a reader for a form of ``content_type``."""
    kind, options = parse_options_header(content_type)
    boundary = options.get(b"boundary")
    if kind != b"multipart/form-data" or not boundary:
        text = f"the body must be multipart/form-data, not {content_type[:80]!r}"
        return Err(Fault(ResultCode.BAD_REQUEST, text))
    return Ok(FormReader(boundary))


class FormReader:
    """Parses the bytes of one form into events."""

    __slots__ = ("_events", "_header_name", "_header_value", "_headers", "_parser", "complete")

    def __init__(self, boundary: bytes) -> None:
        self.complete = False
        self._events: list[PartEvent] = []
        self._headers: dict[bytes, bytes] = {}
        self._header_name = b""
        self._header_value = b""
        self._parser = MultipartParser(
            boundary,
            {
                "on_part_begin": self._headers.clear,
                "on_header_field": self._on_header_name,
                "on_header_value": self._on_header_value,
                "on_header_end": self._on_header_end,
                "on_headers_finished": self._on_headers_finished,
                "on_part_data": self._on_part_data,
                "on_end": self._on_end,
            },
        )

    def feed(self, data: bytes) -> Result[list[PartEvent], Fault]:
        """Return the events that ``data`` completes."""
        try:
            self._parser.write(data)
        except FormParserError as error:
            return Err(Fault(ResultCode.BAD_REQUEST, f"the form is malformed: {error}"))
        events, self._events = self._events, []
        return Ok(events)

    def _on_header_name(self, data: bytes, start: int, end: int) -> None:
        self._header_name += data[start:end]

    def _on_header_value(self, data: bytes, start: int, end: int) -> None:
        self._header_value += data[start:end]

    def _on_header_end(self) -> None:
        self._headers[self._header_name.lower()] = self._header_value
        self._header_name = b""
        self._header_value = b""

    def _on_headers_finished(self) -> None:
        _, options = parse_options_header(self._headers.get(_DISPOSITION, b""))
        name = options.get(b"name", b"").decode("utf-8", "replace")
        filename = options.get(b"filename")
        shown = None if filename is None else filename.decode("utf-8", "replace")
        self._events.append(PartBegin(name, shown))

    def _on_part_data(self, data: bytes, start: int, end: int) -> None:
        self._events.append(PartData(data[start:end]))

    def _on_end(self) -> None:
        self.complete = True
