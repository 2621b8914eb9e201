"""Stores the origins of streams on the disk of one VM, for the case that all nodes lose power.

Origins are appended to a log of records with checksums.  Two logs are used alternately: after the
retention time of origins the older log is overwritten, since all its origins have expired.
"""

import zlib
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec
from result import Ok

from fescuedock.clock import now_ms
from fescuedock.core.stream_origins import OriginMemory, OriginPolicy
from fescuedock.kv import decode_value
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.schema.origins import (
    FindOrigin,
    FindOriginReply,
    KeepOrigins,
    KeepOriginsReply,
    KnownStream,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.store.disk import Disk

__all__ = ["OriginLog", "OriginService"]

_LOG_NAMES = ("origins-0.log", "origins-1.log")
# Each record is preceded by its length and its checksum.
_HEADER_BYTES = 8
_FIELD_BYTES = 4


class OriginLog:
    """Appends to one log of ``folder`` until ``rotation_ms`` have passed, then to the other."""

    def __init__(self, disk: Disk, folder: Path, rotation_ms: float) -> None:
        self._disk = disk
        self._folder = folder
        self._rotation_ms = rotation_ms
        self._current = 0
        self._current_since_ms = float("-inf")
        # Read at the start, to be copied into the first log that this process creates.
        self._recovered: list[KnownStream] = []

    def read(self) -> list[KnownStream]:
        """Return the streams in the logs; raise ``OSError`` when the disk cannot be read.

        A record torn by a loss of power is left out, as it was never acknowledged; so is one of
        another version.
        """
        self._disk.make_folder(self._folder)
        self._recovered = []
        newest = (-1, -1)
        for number, name in enumerate(_LOG_NAMES):
            status = self._disk.status(self._folder / name)
            if status is None:
                continue
            if (status.modified_s, status.size_bytes) > newest:
                newest, self._current = (status.modified_s, status.size_bytes), number
            for body in _read_records(self._disk.read(self._folder / name)):
                decoded = decode_value(name, body, list[KnownStream])
                if isinstance(decoded, Ok):
                    self._recovered += decoded.ok_value
                else:
                    log_event("origins_unreadable", file=name, reason=decoded.err_value.message)
        return list(self._recovered)

    def append(self, streams: Sequence[KnownStream], now_ms: float) -> None:
        """Return once ``streams`` survive a loss of power; raise ``OSError`` if they may not."""
        if now_ms - self._current_since_ms < self._rotation_ms:
            since_ms, self._current_since_ms = self._current_since_ms, float("-inf")
            with self._disk.append(self._path()) as file:
                file.write(_encode_record(streams))
                file.sync()
            self._current_since_ms = since_ms
            return
        # A start or a fault also begins a new log: records after a torn one could not be read.
        self._current = 1 - self._current
        with self._disk.create(self._path()) as file:
            file.write(_encode_record([*self._recovered, *streams]))
            file.sync()
        self._disk.sync_folder(self._folder)
        self._current_since_ms, self._recovered = now_ms, []

    def _path(self) -> Path:
        return self._folder / _LOG_NAMES[self._current]


def _encode_record(streams: Sequence[KnownStream]) -> bytes:
    body = msgspec.msgpack.encode(list(streams))
    return len(body).to_bytes(_FIELD_BYTES) + zlib.crc32(body).to_bytes(_FIELD_BYTES) + body


def _read_records(data: bytes) -> Iterator[bytes]:
    """Yield the records of a log up to the first incomplete or damaged one."""
    start = 0
    while start + _HEADER_BYTES <= len(data):
        size_bytes = int.from_bytes(data[start : start + _FIELD_BYTES])
        checksum = int.from_bytes(data[start + _FIELD_BYTES : start + _HEADER_BYTES])
        start += _HEADER_BYTES
        body = data[start : start + size_bytes]
        if len(body) < size_bytes or zlib.crc32(body) != checksum:
            return
        yield body
        start += size_bytes


class OriginService:
    """Answers nodes' queries from the origins reported to this process or to an earlier one."""

    def __init__(self, disk: Disk, folder: Path, policy: OriginPolicy | None = None) -> None:
        self._policy = policy or OriginPolicy()
        self._log = OriginLog(disk, folder, self._policy.retention_ms)
        self._memory = OriginMemory(self._policy)

    def open(self) -> None:
        """Load the origins on the disk; raise ``OSError`` when it cannot be read."""
        for stream in self._log.read():
            self._memory.record(stream.stream_key, stream.origin, now_ms())

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Return the handlers by message type."""
        return {KeepOrigins: self._on_keep, FindOrigin: self._on_find}

    async def _on_keep(self, message: KeepOrigins, _peer: ServerPeer) -> KeepOriginsReply:
        for stream in message.streams:
            self._memory.record(stream.stream_key, stream.origin, now_ms())
        try:
            self._log.append(message.streams, now_ms())
        except OSError as error:
            log_event("origins_not_written", reason=str(error))
            return KeepOriginsReply(ResultCode.STORES_UNAVAILABLE)
        return KeepOriginsReply(ResultCode.OK)

    async def _on_find(self, message: FindOrigin, _peer: ServerPeer) -> FindOriginReply:
        return FindOriginReply(list(self._memory.recorded(message.stream_key, now_ms())))
