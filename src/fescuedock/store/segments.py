"""Write-once segments on disk, each a file named by the SHA-256 of its content.

A segment is acknowledged after four steps in this order: write a temporary file, fsync it, rename
it to its final name, fsync the folder.  So after any loss of power a file under a segment's name is
complete, and every acknowledged segment exists.
"""

import errno
import re
from collections.abc import Callable, Iterable, Iterator
from hashlib import sha256
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from fescuedock.clock import UnixClock
from fescuedock.faults import Fault
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.store import PutSegment
from fescuedock.store.disk import Disk, FileStatus

__all__ = ["MAX_SEGMENT_BYTES", "SegmentFolder", "Usage"]

MAX_SEGMENT_BYTES = 8 * 1024 * 1024
# Space that the file system itself needs for each file, so that many small files count as well.
_FILE_OVERHEAD_BYTES = 512
# Damaged files that are retained for inspection.
_MAX_DAMAGED_FILES = 16
_SEGMENT_NAME = re.compile("[0-9a-f]{64}")
_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class Usage(msgspec.Struct):
    """The bytes that the store uses on disk, and their configured limit."""

    max_bytes: int
    used_bytes: int = 0

    @property
    def free_bytes(self) -> int:
        return max(0, self.max_bytes - self.used_bytes)

    def has_room(self, size_bytes: int) -> bool:
        return self.used_bytes + size_bytes + _FILE_OVERHEAD_BYTES <= self.max_bytes

    def add(self, size_bytes: int) -> None:
        """Count a new file."""
        self.used_bytes += size_bytes + _FILE_OVERHEAD_BYTES

    def subtract(self, size_bytes: int) -> None:
        """Stop counting a deleted file."""
        self.used_bytes -= size_bytes + _FILE_OVERHEAD_BYTES


class SegmentFolder:
    """The segments under one folder, with an index in memory.

    ``on_damage`` is called with the hash of each segment whose file does not match it, after the
    file was moved to the folder of damaged files.
    """

    __slots__ = (
        "_damaged_folder",
        "_disk",
        "_folder",
        "_index",
        "_on_damage",
        "_temporary",
        "_usage",
    )

    def __init__(
        self, disk: Disk, folder: Path, usage: Usage, on_damage: Callable[[str], None]
    ) -> None:
        self._disk = disk
        self._folder = folder / "segments"
        self._temporary = folder / "temporary"
        self._damaged_folder = folder / "aside"
        self._usage = usage
        self._on_damage = on_damage
        self._index: dict[str, FileStatus] = {}

    def open(self) -> None:
        """Create the folders, delete unfinished files and index the segments.

        The folder is synced, since a segment that is found here may not have been acknowledged
        before, and counts as stored from now on.
        """
        for path in (self._temporary, self._damaged_folder, self._folder):
            self._disk.make_folder(path)
        for file in list(self._disk.list_files(self._temporary)):
            self._disk.remove(self._temporary / file.name)
        for file in self._disk.list_files(self._folder):
            if _SEGMENT_NAME.fullmatch(file.name):
                self._index[file.name] = file
                self._usage.add(file.size_bytes)
        self._disk.sync_folder(self._folder)
        self._disk.sync_folder(self._folder.parent)

    def put(self, message: PutSegment, unix_clock: UnixClock) -> Result[None, Fault]:
        """Write the segment, or renew its retention if an intact copy exists; idempotent."""
        segment_hash, body = message.segment_hash, message.body
        if len(body) > MAX_SEGMENT_BYTES:
            text = f"segment of {len(body)} bytes is over {MAX_SEGMENT_BYTES}"
            return Err(Fault(ResultCode.BODY_TOO_LARGE, text))
        if sha256(body).hexdigest() != segment_hash:
            text = f"the body does not match {segment_hash[:12]!r}"
            return Err(Fault(ResultCode.CORRUPT_SEGMENT, text))
        kept_since_s = message.kept_since_s or unix_clock()
        if segment_hash in self._index and isinstance(self.get(segment_hash), Ok):
            return self._catch_disk_errors(lambda: self._renew(segment_hash, kept_since_s))
        if not self._usage.has_room(len(body)):
            text = f"no room for {len(body)} bytes, {self._usage.free_bytes} are free"
            return Err(Fault(ResultCode.DISK_FULL, text))
        return self._catch_disk_errors(lambda: self._write(segment_hash, body, kept_since_s))

    def get(self, segment_hash: str) -> Result[bytes, Fault]:
        """Return the verified content; a file that does not match its name is moved away."""
        if segment_hash not in self._index:
            return Err(Fault(ResultCode.NOT_FOUND, f"no segment {segment_hash[:12]!r}"))
        try:
            body = self._disk.read(self._path(segment_hash))
        except OSError:
            # An unreadable file is handled like a damaged one.
            body = b""
        if sha256(body).hexdigest() == segment_hash:
            return Ok(body)
        self._set_damaged_aside(segment_hash)
        self._on_damage(segment_hash)
        return Err(Fault(ResultCode.CORRUPT_SEGMENT, f"segment {segment_hash[:12]} was damaged"))

    def renew(self, segment_hashes: Iterable[str], now_s: int) -> list[str]:
        """Start the segments' retention time again at ``now_s``, durably.

        Return the segments that are not here or could not be renewed.
        """
        missing = self.missing(segment_hashes)
        for segment_hash in set(segment_hashes).difference(missing):
            result = self._catch_disk_errors(lambda name=segment_hash: self._renew(name, now_s))
            if isinstance(result, Err):
                missing.append(segment_hash)
        return missing

    def missing(self, segment_hashes: Iterable[str]) -> list[str]:
        """Return the hashes of ``segment_hashes`` that are not stored here."""
        return [name for name in segment_hashes if name not in self._index]

    def drop(self, segment_hash: str) -> None:
        """Delete the segment if it exists."""
        file = self._index.pop(segment_hash, None)
        if file is not None:
            self._disk.remove(self._path(segment_hash))
            self._usage.subtract(file.size_bytes)

    def drop_older(self, before_s: int) -> int:
        """Delete the segments whose retention began before ``before_s``; return their number."""
        old = [file.name for file in self._index.values() if file.modified_s < before_s]
        for segment_hash in old:
            self.drop(segment_hash)
        return len(old)

    def files(self) -> Iterator[FileStatus]:
        """Yield the segments that are here now, named by their hash."""
        yield from tuple(self._index.values())

    def status(self, segment_hash: str) -> FileStatus | None:
        """Return the segment's size and the start of its retention; None if it is not here."""
        return self._index.get(segment_hash)

    def _write(self, segment_hash: str, body: bytes, kept_since_s: int) -> None:
        temporary = self._temporary / segment_hash
        path = self._path(segment_hash)
        try:
            with self._disk.create(temporary) as file:
                file.write(body)
                file.set_modified(kept_since_s)
                file.sync()
            self._disk.rename(temporary, path)
        except OSError:
            self._disk.remove(temporary)
            raise
        self._index[segment_hash] = FileStatus(segment_hash, len(body), kept_since_s)
        self._usage.add(len(body))
        self._disk.sync_folder(self._folder)

    def _renew(self, segment_hash: str, kept_since_s: int) -> None:
        path = self._path(segment_hash)
        known = self._index[segment_hash]
        if kept_since_s > known.modified_s:
            with self._disk.append(path) as file:
                file.set_modified(kept_since_s)
                file.sync()
            self._index[segment_hash] = FileStatus(segment_hash, known.size_bytes, kept_since_s)
        # The call that created the file may have failed before it synced the folder.
        self._disk.sync_folder(self._folder)

    def _catch_disk_errors(self, action: Callable[[], None]) -> Result[None, Fault]:
        try:
            action()
        except OSError as error:
            code = (
                ResultCode.DISK_FULL
                if error.errno in _DISK_FULL_ERRNOS
                else ResultCode.STORES_UNAVAILABLE
            )
            return Err(Fault(code, f"the disk refused: {error}"))
        return Ok(None)

    def _set_damaged_aside(self, segment_hash: str) -> None:
        file = self._index.pop(segment_hash)
        self._usage.subtract(file.size_bytes)
        path = self._path(segment_hash)
        if sum(1 for _ in self._disk.list_files(self._damaged_folder)) >= _MAX_DAMAGED_FILES:
            self._disk.remove(path)
            return
        self._disk.rename(path, self._damaged_folder / segment_hash)

    def _path(self, segment_hash: str) -> Path:
        return self._folder / segment_hash
