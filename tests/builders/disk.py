"""A disk in memory that loses power, fills up, fails and loses data on command."""

import errno
import os
import random
from collections.abc import Callable, Iterator
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Self

from fescuedock.store.disk import FileStatus


def memory_folder() -> TemporaryDirectory:
    """Return a temporary folder, in memory if the system provides that.

    A sync there takes no time, so that other programs' use of the real disk does not slow a test.
    """
    shared = Path("/dev/shm")
    return TemporaryDirectory(dir=shared if os.access(shared, os.W_OK) else None)


class PowerCutError(Exception):
    """The power was cut before the step took effect."""


class _Inode:
    def __init__(self) -> None:
        self.data = b""
        self.synced = b""
        self.modified_s = 0
        self.synced_modified_s = 0


class _File:
    def __init__(self, disk: "MemoryDisk", inode: _Inode) -> None:
        self._disk = disk
        self._inode = inode

    def write(self, data: bytes) -> None:
        self._disk.step("write")
        room = max(0, self._disk.capacity_bytes - self._disk.used_bytes)
        self._inode.data += data[:room]
        if room < len(data):
            raise OSError(errno.ENOSPC, "no space left")

    def truncate(self, size_bytes: int) -> None:
        self._disk.step("truncate")
        self._inode.data = self._inode.data[:size_bytes]

    def set_modified(self, modified_s: int) -> None:
        self._inode.modified_s = modified_s

    def sync(self) -> None:
        self._disk.step("sync")
        self._inode.synced = self._inode.data
        self._inode.synced_modified_s = self._inode.modified_s

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_error: object) -> None:
        return None


class MemoryDisk:
    """A ``Disk`` in memory.

    The power is cut before step ``cut_at``, counted from 1; 0 means never.  ``failing`` is called
    with each step's name and returns whether the step fails with an I/O error.
    """

    def __init__(self) -> None:
        self.steps = 0
        self.cut_at = 0
        self.capacity_bytes = 1 << 40
        self.failing: Callable[[str], bool] = lambda _step: False
        self._names: dict[Path, _Inode] = {}
        self._durable: dict[Path, _Inode] = {}

    @property
    def used_bytes(self) -> int:
        return sum(len(inode.data) for inode in self._names.values())

    def step(self, name: str) -> None:
        self.steps += 1
        if self.cut_at and self.steps >= self.cut_at:
            raise PowerCutError(f"at step {self.steps}, {name}")
        if self.failing(name):
            raise OSError(errno.EIO, f"{name} failed on command")

    def lose_power(self, seed: int) -> None:
        """Change to a state in which a disk may be after a loss of power.

        Data that was not synced is retained at random: each name separately, and any prefix of
        each file's content.
        """
        rng = random.Random(seed)
        names = dict(self._durable)
        for path in sorted(self._names.keys() | self._durable.keys()):
            if self._names.get(path) is not self._durable.get(path) and rng.random() < 0.5:
                names[path] = self._names.get(path)
        self._names = {path: inode for path, inode in names.items() if inode is not None}
        for path in sorted(self._names):
            self._lose_unsynced(self._names[path], rng)
        self._durable = dict(self._names)
        self.cut_at = 0

    def _lose_unsynced(self, inode: _Inode, rng: random.Random) -> None:
        if inode.data.startswith(inode.synced):
            retained = rng.randint(len(inode.synced), len(inode.data))
            inode.data = inode.data[:retained]
        else:
            inode.data = inode.synced
        inode.synced = inode.data
        inode.modified_s = inode.synced_modified_s

    def damage(self, path: Path) -> None:
        """Flip a bit in the middle of a file."""
        inode = self._names[path]
        middle = len(inode.data) // 2
        changed = bytes([inode.data[middle] ^ 1])
        inode.data = inode.synced = inode.data[:middle] + changed + inode.data[middle + 1 :]

    def make_folder(self, path: Path) -> None:
        return None

    def list_files(self, path: Path) -> Iterator[FileStatus]:
        for name in sorted(self._names):
            if name.parent == path:
                yield self.status(name)

    def status(self, path: Path) -> FileStatus | None:
        inode = self._names.get(path)
        return inode and FileStatus(path.name, len(inode.data), inode.modified_s)

    def create(self, path: Path) -> _File:
        self.step("create")
        inode = self._names.setdefault(path, _Inode())
        inode.data = b""
        return _File(self, inode)

    def append(self, path: Path) -> _File:
        self.step("append")
        return _File(self, self._names.setdefault(path, _Inode()))

    def read(self, path: Path, offset_bytes: int = 0, limit_bytes: int = -1) -> bytes:
        end = None if limit_bytes < 0 else offset_bytes + limit_bytes
        return self._names[path].data[offset_bytes:end]

    def rename(self, source: Path, target: Path) -> None:
        self.step("rename")
        self._names[target] = self._names.pop(source)

    def remove(self, path: Path) -> None:
        self.step("remove")
        self._names.pop(path, None)

    def sync_folder(self, path: Path) -> None:
        self.step("sync_folder")
        for name in self._names.keys() | self._durable.keys():
            if name.parent != path:
                continue
            if name in self._names:
                self._durable[name] = self._names[name]
            else:
                del self._durable[name]
