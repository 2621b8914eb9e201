"""Buffers results for the job's log, from which a later owner recovers uncommitted ones."""

import msgspec

from fescuedock.core.batch.actions import AppendLog
from fescuedock.schema.batch import LoggedResult

__all__ = ["ResultLog"]

_encode = msgspec.msgpack.Encoder().encode


class ResultLog:
    """Appends one batch of records at a time.

    Drops results while ``limit_bytes`` are waiting, which only costs work after a takeover.
    """

    __slots__ = ("_busy", "_limit_bytes", "_waiting", "_waiting_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._waiting: list[bytes] = []
        self._waiting_bytes = 0
        self._busy = False

    def add(self, result: LoggedResult) -> None:
        if self._waiting_bytes >= self._limit_bytes:
            return
        record = _encode(result)
        self._waiting.append(record)
        self._waiting_bytes += len(record)

    def next_action(self) -> AppendLog | None:
        if self._busy or not self._waiting:
            return None
        self._busy = True
        records = tuple(self._waiting)
        self._waiting.clear()
        self._waiting_bytes = 0
        return AppendLog(records)

    def on_logged(self) -> None:
        """Handle the end of the last append, successful or not."""
        self._busy = False
