"""Distinguishes fresh datagrams from replayed ones by each sender's boot and sequence number."""

from enum import Enum, auto

import msgspec

from fescuedock.schema.membership import DatagramHead

__all__ = ["Freshness", "ReplayWindows"]

# In sequence numbers; datagrams of one sender overtake each other by far less.
_WINDOW_SIZE = 256
_ALL_SEEN = (1 << _WINDOW_SIZE) - 1


class Freshness(Enum):
    """``UNPROVEN``: this boot of the sender has not yet answered a nonce of this VM."""

    FRESH = auto()
    REPLAYED = auto()
    UNPROVEN = auto()


class _Window(msgspec.Struct):
    boot: int
    highest: int
    # Bit i is set when the sequence number highest - i was seen.  Numbers from before the proof
    # count as seen: those datagrams were dropped on arrival and may be replayed recordings now.
    seen: int = _ALL_SEEN


class ReplayWindows:
    """One window of sequence numbers for each sender that has proved its boot.

    A recorded datagram of an earlier boot, or one that reaches a receiver which has restarted and
    lost its windows, is unproven: only the answer to a nonce proves that the sender runs now.
    """

    __slots__ = ("_windows",)

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def check(self, head: DatagramHead) -> Freshness:
        """Return whether a datagram is fresh, and mark it as seen."""
        window = self._windows.get(head.sender)
        if window is None or window.boot != head.boot:
            return Freshness.UNPROVEN
        ahead = head.sequence - window.highest
        if ahead > 0:
            window.seen = (window.seen << min(ahead, _WINDOW_SIZE) | 1) & _ALL_SEEN
            window.highest = head.sequence
            return Freshness.FRESH
        bit = 1 << -ahead
        if -ahead >= _WINDOW_SIZE or window.seen & bit:
            return Freshness.REPLAYED
        window.seen |= bit
        return Freshness.FRESH

    def prove(self, head: DatagramHead) -> None:
        """Open a window for the sender of a datagram that answered a nonce of this VM."""
        self._windows[head.sender] = _Window(head.boot, head.sequence)

    def has_proved(self, vm_id: str) -> bool:
        """Whether ``vm_id`` has proved a boot, so that its datagrams are accepted."""
        return vm_id in self._windows

    def forget(self, vm_id: str) -> None:
        self._windows.pop(vm_id, None)
