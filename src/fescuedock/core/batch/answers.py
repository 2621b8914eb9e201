"""Input lines and result lines of a job, in the format of the OpenAI batch files."""

import msgspec

from fescuedock.schema.result_codes import OUTCOME, ResultCode

__all__ = ["ItemLine", "failed_line", "read_line", "rejected_line", "succeeded_line"]

_EMPTY = msgspec.Raw(b"{}")
_NULL = msgspec.Raw(b"null")


class ItemLine(msgspec.Struct):
    """One line of the input; ``body`` is the request's unparsed JSON."""

    custom_id: str = ""
    method: str = "POST"
    url: str = ""
    body: msgspec.Raw = _EMPTY


class _Response(msgspec.Struct):
    status_code: int
    request_id: str
    body: msgspec.Raw


class _Error(msgspec.Struct):
    code: str
    message: str
    outcome: str
    number: int


class _ResultLine(msgspec.Struct):
    id: str
    custom_id: str
    item_number: int
    response: _Response | None
    error: _Error | None


_read_line = msgspec.json.Decoder(ItemLine).decode
_encode = msgspec.json.Encoder().encode


def read_line(line: bytes) -> ItemLine:
    """Parse an input line, which was validated when the job was accepted."""
    return _read_line(line)


def succeeded_line(job_id: str, number: int, line: bytes, status: int, body: bytes) -> bytes:
    """Return the output line of an item whose upstream answered with JSON ``body``."""
    return _with_response(job_id, number, line, status, body, None)


def rejected_line(job_id: str, number: int, line: bytes, status: int, body: bytes) -> bytes:
    """Return the error line of an item that its upstream rejected permanently."""
    message = f"the upstream answered HTTP {status}: the request can never succeed"
    error = _error(ResultCode.UPSTREAM_REJECTED, message)
    return _with_response(job_id, number, line, status, body, error)


def failed_line(job_id: str, number: int, line: bytes, code: ResultCode, message: str) -> bytes:
    """Return the error line of an item that ended without an answer."""
    return _result(job_id, number, line, None, _error(code, message))


def _with_response(
    job_id: str, number: int, line: bytes, status: int, body: bytes, error: _Error | None
) -> bytes:
    response = _Response(status, _result_id(job_id, number), _raw_json(body))
    return _result(job_id, number, line, response, error)


def _result(
    job_id: str, number: int, line: bytes, response: _Response | None, error: _Error | None
) -> bytes:
    custom_id = read_line(line).custom_id
    result_id = _result_id(job_id, number)
    return _encode(_ResultLine(result_id, custom_id, number, response, error))


def _result_id(job_id: str, number: int) -> str:
    return f"{job_id}-{number}"


def _error(code: ResultCode, message: str) -> _Error:
    return _Error(code.name.lower(), message, OUTCOME[code].value, code.value)


def _raw_json(body: bytes) -> msgspec.Raw:
    """Return ``body`` as one line of JSON; a body that is not JSON becomes a JSON string."""
    try:
        value = msgspec.json.decode(body, type=msgspec.Raw)
    except msgspec.MsgspecError:
        return msgspec.Raw(_encode(body.decode("utf-8", "replace"))) if body else _NULL
    text = bytes(value)
    return msgspec.Raw(msgspec.json.format(text, indent=-1)) if b"\n" in text else value
