"""Validates batch inputs and decides whether a file may become a job.

One invalid line rejects the entire input; the error names the first such line.
"""

import re
from collections.abc import Callable, Mapping
from hashlib import blake2b

import msgspec
from result import Err, Ok, Result

from fescuedock.core.segments import is_blank
from fescuedock.faults import Fault
from fescuedock.schema.batch import FileRecord
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings

__all__ = [
    "BATCH_PURPOSE",
    "MODEL_ENDPOINTS",
    "SERVICE_PREFIX",
    "InputChecker",
    "check_file",
    "parse_window_s",
]

MODEL_ENDPOINTS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"
BATCH_PURPOSE = "batch"

_MAX_CUSTOM_ID_CHARS = 512
_MAX_NAME_CHARS = 512
_MAX_SHOWN_CHARS = 80
_MAX_MODELS = 64
# At this size two of 110,000 custom_ids collide once in 10**28 inputs.
_DIGEST_BYTES = 16
_MAX_WINDOW_S = 14 * 24 * 3600
_UNIT_S = {"": 1, "s": 1, "m": 60, "h": 3600, "d": 86400}
_WINDOW = re.compile(r"([0-9]{1,9})([smhd]?)")


class _Body(msgspec.Struct):
    model: str = ""


class _Line(msgspec.Struct):
    custom_id: str
    method: str
    url: str
    body: _Body


class InputChecker(msgspec.Struct):
    """Validates the lines of one input in order.

    After the first ``problem`` no further line is checked.  Memory grows by one digest per line, up
    to ``max_items``.
    """

    settings: BatchSettings
    item_count: int = 0
    endpoint: str = ""
    models: dict[str, int] = msgspec.field(default_factory=dict)
    problem: Fault | None = None
    _line_number: int = 0
    _digests: set[bytes] = msgspec.field(default_factory=set)
    _decoder: msgspec.json.Decoder[_Line] = msgspec.field(
        default_factory=lambda: msgspec.json.Decoder(_Line)
    )

    def check(self, line: bytes) -> None:
        """Check the next line; a blank line only advances the line number."""
        if self.problem is not None:
            return
        self._line_number += 1
        if is_blank(line):
            return
        self.problem = self._problem_of(line)
        if self.problem is not None:
            self._digests.clear()
            return
        self.item_count += 1

    def finish(self) -> None:
        """End the input; without any item that is a problem too."""
        self._digests.clear()
        if self.problem is None and not self.item_count:
            self.problem = Fault(ResultCode.EMPTY_INPUT, "the input has no lines")

    def _problem_of(self, line: bytes) -> Fault | None:
        if self.item_count >= self.settings.max_items:
            return self._fault(
                ResultCode.TOO_MANY_ITEMS, f"over {self.settings.max_items} items in one input"
            )
        if len(line.rstrip(b"\r\n")) > self.settings.max_line_bytes:
            return self._fault(
                ResultCode.LINE_TOO_LONG, f"over {self.settings.max_line_bytes} bytes"
            )
        try:
            # The decoder does not validate UTF-8 in strings that it skips.
            line.decode()
            decoded = self._decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return self._fault(ResultCode.BAD_LINE, str(error))
        return self._problem_of_fields(decoded) or self._problem_of_identity(decoded.custom_id)

    def _problem_of_fields(self, line: _Line) -> Fault | None:
        if line.method != "POST":
            return self._fault(
                ResultCode.BAD_LINE, f"method must be POST, not {_quote(line.method)}"
            )
        if len(line.url) > _MAX_NAME_CHARS or not _is_endpoint(line.url):
            return self._fault(ResultCode.BAD_LINE, f"unknown endpoint {_quote(line.url)}")
        self.endpoint = self.endpoint or line.url
        if line.url != self.endpoint:
            text = f"url {_quote(line.url)} differs from {_quote(self.endpoint)} on earlier lines"
            return self._fault(ResultCode.BAD_LINE, text)
        if line.url not in MODEL_ENDPOINTS:
            return None
        if not 0 < len(line.body.model) <= _MAX_NAME_CHARS:
            return self._fault(ResultCode.BAD_LINE, "body.model is missing or too long")
        self.models.setdefault(line.body.model, self._line_number)
        if len(self.models) > _MAX_MODELS:
            return self._fault(ResultCode.BAD_LINE, f"over {_MAX_MODELS} models in one input")
        return None

    def _problem_of_identity(self, custom_id: str) -> Fault | None:
        if not 0 < len(custom_id) <= _MAX_CUSTOM_ID_CHARS:
            text = f"custom_id must have 1 to {_MAX_CUSTOM_ID_CHARS} characters"
            return self._fault(ResultCode.BAD_LINE, text)
        digest = blake2b(custom_id.encode(), digest_size=_DIGEST_BYTES).digest()
        if digest in self._digests:
            text = f"custom_id {_quote(custom_id)} is also used on an earlier line"
            return self._fault(ResultCode.DUPLICATE_CUSTOM_ID, text)
        self._digests.add(digest)
        return None

    def _fault(self, code: ResultCode, text: str) -> Fault:
        return Fault(code, f"line {self._line_number}: {text}")


def check_file(
    file: FileRecord, endpoint: str, service_of_model: Callable[[str], str | None]
) -> Result[str, Fault]:
    """Return the service of a job with input ``file`` for ``endpoint``, or why there can be none.

    ``service_of_model`` returns None for a model that no service offers.
    """
    if file.purpose != BATCH_PURPOSE:
        text = f"file {file.file_id!r} has purpose {file.purpose!r}, not {BATCH_PURPOSE!r}"
        return Err(Fault(ResultCode.BAD_REQUEST, text))
    if file.problem_code:
        return Err(Fault(ResultCode(file.problem_code), file.problem))
    if file.endpoint != endpoint:
        text = f"line 1: url {file.endpoint!r} is not the job's endpoint {endpoint!r}"
        return Err(Fault(ResultCode.BAD_LINE, text))
    if endpoint.startswith(SERVICE_PREFIX):
        return Ok(endpoint.removeprefix(SERVICE_PREFIX).partition("/")[0])
    return _service_of_models(file.models, service_of_model)


def _service_of_models(
    models: Mapping[str, int], service_of_model: Callable[[str], str | None]
) -> Result[str, Fault]:
    service = ""
    for model, line_number in sorted(models.items(), key=lambda item: item[1]):
        found = service_of_model(model)
        if found is None:
            text = f"line {line_number}: no service offers model {model!r}"
            return Err(Fault(ResultCode.UNKNOWN_MODEL, text))
        if service not in ("", found):
            text = (
                f"line {line_number}: model {model!r} belongs to service {found!r}, "
                f"earlier models to {service!r}"
            )
            return Err(Fault(ResultCode.BAD_LINE, text))
        service = found
    return Ok(service)


def parse_window_s(text: str) -> Result[int, Fault]:
    """Return the seconds of a completion window such as ``24h``, ``90m`` or ``3600``."""
    match = _WINDOW.fullmatch(text.strip())
    window_s = int(match[1]) * _UNIT_S[match[2]] if match else 0
    if 0 < window_s <= _MAX_WINDOW_S:
        return Ok(window_s)
    message = f"completion_window must be like 24h, 90m or 3600s, up to 14d, not {text!r}"
    return Err(Fault(ResultCode.BAD_REQUEST, message))


def _is_endpoint(url: str) -> bool:
    return url in MODEL_ENDPOINTS or url.startswith(SERVICE_PREFIX)


def _quote(text: str) -> str:
    """Return ``text`` quoted for a message, cut if it is long."""
    return repr(text if len(text) <= _MAX_SHOWN_CHARS else text[:_MAX_SHOWN_CHARS] + "...")
