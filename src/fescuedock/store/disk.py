"""The file system interface of a store, and its implementation by the operating system.

All calls block.  The interface is small, so that a test can substitute a disk that loses power
between any two steps.
"""

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Protocol, Self

import msgspec

__all__ = ["Disk", "DiskFile", "FileStatus", "OsDisk"]


class FileStatus(msgspec.Struct, frozen=True):
    """A file in a folder listing."""

    name: str
    size_bytes: int
    modified_s: int


class DiskFile(Protocol):
    """An open file; leaving its block closes it without making anything durable."""

    def write(self, data: bytes) -> None:
        """Append all of ``data``; after ``OSError`` a part of it may be written."""

    def truncate(self, size_bytes: int) -> None:
        """Cut the file to ``size_bytes``."""

    def set_modified(self, modified_s: int) -> None:
        """Set the file's time of modification, in Unix seconds."""

    def sync(self) -> None:
        """Return once the file's content and metadata survive a loss of power."""

    def __enter__(self) -> Self: ...

    def __exit__(self, *_error: object) -> None: ...


class Disk(Protocol):
    """A file system.  Every method may raise ``OSError``."""

    def make_folder(self, path: Path) -> None:
        """Create the folder and its parents unless they exist."""

    def list_files(self, path: Path) -> Iterator[FileStatus]:
        """Yield the files of a folder."""

    def status(self, path: Path) -> FileStatus | None:
        """Return the file's status; None when there is no such file."""

    def create(self, path: Path) -> DiskFile:
        """Open an empty file for writing, truncating an existing one."""

    def append(self, path: Path) -> DiskFile:
        """Open a file for writing at its end, creating it if needed."""

    def read(self, path: Path, offset_bytes: int = 0, limit_bytes: int = -1) -> bytes:
        """Return up to ``limit_bytes`` (-1 for all), starting at ``offset_bytes``."""

    def rename(self, source: Path, target: Path) -> None:
        """Rename within one file system, replacing ``target``."""

    def remove(self, path: Path) -> None:
        """Delete the file if it exists."""

    def sync_folder(self, path: Path) -> None:
        """Return once the folder's entries survive a loss of power."""


class _OsFile:
    """An open file of the operating system."""

    __slots__ = ("_descriptor",)

    def __init__(self, path: Path, flags: int) -> None:
        self._descriptor = os.open(path, flags | os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o640)

    def write(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(self._descriptor, rest) :]

    def truncate(self, size_bytes: int) -> None:
        os.ftruncate(self._descriptor, size_bytes)

    def set_modified(self, modified_s: int) -> None:
        os.utime(self._descriptor, (modified_s, modified_s))

    def sync(self) -> None:
        os.fsync(self._descriptor)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_error: object) -> None:
        os.close(self._descriptor)


class OsDisk:
    """The file system of the operating system."""

    __slots__ = ()

    def make_folder(self, path: Path) -> None:
        path.mkdir(parents=True, exist_ok=True)

    def list_files(self, path: Path) -> Iterator[FileStatus]:
        with os.scandir(path) as entries:
            for entry in entries:
                if entry.is_file(follow_symlinks=False):
                    found = entry.stat(follow_symlinks=False)
                    yield FileStatus(entry.name, found.st_size, int(found.st_mtime))

    def status(self, path: Path) -> FileStatus | None:
        try:
            found = path.stat()
        except FileNotFoundError:
            return None
        return FileStatus(path.name, found.st_size, int(found.st_mtime))

    def create(self, path: Path) -> DiskFile:
        return _OsFile(path, os.O_TRUNC)

    def append(self, path: Path) -> DiskFile:
        return _OsFile(path, os.O_APPEND)

    def read(self, path: Path, offset_bytes: int = 0, limit_bytes: int = -1) -> bytes:
        with open(path, "rb", buffering=0) as file:
            file.seek(offset_bytes)
            return file.read(limit_bytes)

    def rename(self, source: Path, target: Path) -> None:
        source.replace(target)

    def remove(self, path: Path) -> None:
        path.unlink(missing_ok=True)

    def sync_folder(self, path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
