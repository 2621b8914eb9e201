"""Identifies the process of a worker by the start time in the worker's report of its state."""

import msgspec

from fescuedock.net.http_client import PeerQuery
from fescuedock.platform.records import started_at

__all__ = ["process_query"]

_REPORT_PATH = "/api/report"
_OK = 200
_NOT_FOUND = 404


class _Report(msgspec.Struct):
    """A worker's report; only its start time in Unix milliseconds is read."""

    born: int | None = None


def process_query(upstream_id: str) -> PeerQuery | None:
    """Return the query that identifies an upstream's process; None if its entry names no start.

    Without a start time in its entry each start of a worker has an ID of its own, which every
    request names.
    """
    expected = started_at(upstream_id)
    return PeerQuery(_REPORT_PATH, _read_start, expected) if expected else None


def _read_start(status: int, body: bytes) -> str | None:
    if status == _NOT_FOUND:
        return None
    if status != _OK:
        raise ValueError(f"status {status}")
    try:
        report = msgspec.json.decode(body, type=_Report)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(f"its report cannot be read: {error}") from error
    return None if report.born is None else str(report.born)
