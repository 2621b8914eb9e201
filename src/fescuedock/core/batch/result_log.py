"""Results on their way to the job's log, where a next owner finds what was not committed."""

import msgspec

from fescuedock.core.batch.actions import AppendLog
from fescuedock.schema.batch import LoggedResult

__all__ = ["ResultLog"]

_encode = msgspec.msgpack.Encoder().encode


class ResultLog:
    """Appends one batch of records at a time.

    Over ``limit_bytes`` that wait, results are left out: that costs work after a takeover only.
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
        """The last append ended, well or not."""
        self._busy = False
