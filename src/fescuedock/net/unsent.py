"""Buffer for the bytes of a response that the kernel has not accepted yet."""

import os
from collections import deque

__all__ = ["UnsentBytes"]

# Small writes are joined up to this size and larger ones split, so that sent chunks are freed.
_CHUNK_BYTES = 65536


class UnsentBytes:
    """A queue of bytes in chunks, each freed once it was sent."""

    __slots__ = ("_chunks", "_sent_of_first_bytes", "size_bytes")

    def __init__(self) -> None:
        self._chunks: deque[bytearray] = deque()
        self._sent_of_first_bytes = 0
        self.size_bytes = 0

    def append(self, data: memoryview) -> None:
        """Append a copy of ``data``."""
        self.size_bytes += len(data)
        while data:
            if not self._chunks or len(self._chunks[-1]) >= _CHUNK_BYTES:
                self._chunks.append(bytearray())
            room_bytes = _CHUNK_BYTES - len(self._chunks[-1])
            self._chunks[-1] += data[:room_bytes]
            data = data[room_bytes:]

    def write_to(self, fileno: int) -> int:
        """Write as much as the kernel accepts without waiting; return the number of bytes.

        Socket errors are raised.
        """
        total_bytes = 0
        while self._chunks:
            first = memoryview(self._chunks[0])
            rest = first[self._sent_of_first_bytes :]
            try:
                written_bytes = os.write(fileno, rest)
            except BlockingIOError:
                break
            finally:
                rest.release()
                first.release()
            total_bytes += written_bytes
            self._sent_of_first_bytes += written_bytes
            if self._sent_of_first_bytes == len(self._chunks[0]):
                self._chunks.popleft()
                self._sent_of_first_bytes = 0
        self.size_bytes -= total_bytes
        return total_bytes

    def clear(self) -> None:
        self._chunks.clear()
        self._sent_of_first_bytes = 0
        self.size_bytes = 0
