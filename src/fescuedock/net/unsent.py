"""Bytes of a response that the kernel has not taken yet."""

import os
from collections import deque

__all__ = ["UnsentBytes"]

# Small parts are joined up to this size; a larger part is split, so that what has gone is freed.
_PIECE_BYTES = 65536


class UnsentBytes:
    """A queue of bytes in pieces, each freed once it has gone."""

    __slots__ = ("_pieces", "_sent_of_first_bytes", "size_bytes")

    def __init__(self) -> None:
        self._pieces: deque[bytearray] = deque()
        self._sent_of_first_bytes = 0
        self.size_bytes = 0

    def append(self, data: memoryview) -> None:
        """Copy ``data`` to the end."""
        self.size_bytes += len(data)
        while data:
            if not self._pieces or len(self._pieces[-1]) >= _PIECE_BYTES:
                self._pieces.append(bytearray())
            room_bytes = _PIECE_BYTES - len(self._pieces[-1])
            self._pieces[-1] += data[:room_bytes]
            data = data[room_bytes:]

    def write_to(self, fileno: int) -> int:
        """Hand the kernel what it takes without waiting; return how many bytes.

        Errors of the socket are passed on.
        """
        taken_bytes = 0
        while self._pieces:
            first = memoryview(self._pieces[0])
            rest = first[self._sent_of_first_bytes :]
            try:
                written_bytes = os.write(fileno, rest)
            except BlockingIOError:
                break
            finally:
                rest.release()
                first.release()
            taken_bytes += written_bytes
            self._sent_of_first_bytes += written_bytes
            if self._sent_of_first_bytes == len(self._pieces[0]):
                self._pieces.popleft()
                self._sent_of_first_bytes = 0
        self.size_bytes -= taken_bytes
        return taken_bytes

    def clear(self) -> None:
        self._pieces.clear()
        self._sent_of_first_bytes = 0
        self.size_bytes = 0
