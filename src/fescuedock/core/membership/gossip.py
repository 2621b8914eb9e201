"""Chooses the updates for the next datagram; each is sent a bounded number of times, newest first.

An update counts as newer the less often it was sent.
"""

import math
from collections.abc import Callable

import msgspec

from fescuedock.schema.membership import VmUpdate

__all__ = ["MAX_DATAGRAM_BYTES", "GossipQueue", "free_bytes", "update_bytes"]

MAX_DATAGRAM_BYTES = 1200
_DIGEST_BYTES = 16
# MessagePack headers of the outer array, the type name and a longer array of updates.
_FRAME_BYTES = 8
_EXTRA_SENDS_PER_UPDATE = 6
# How many acknowledgements repeat an update after that, and of how many VMs at most.
_REPEATS_PER_UPDATE = 10
_MAX_REPEATABLE = 8

_encoder = msgspec.msgpack.Encoder()


def update_bytes(update: VmUpdate) -> int:
    """Return the encoded size of ``update`` within a datagram."""
    return len(_encoder.encode(update))


def free_bytes(message: msgspec.Struct) -> int:
    """Return the space for updates that ``message``, which has none yet, leaves in a datagram."""
    used_bytes = len(_encoder.encode(message)) + len(type(message).__name__)
    return MAX_DATAGRAM_BYTES - _DIGEST_BYTES - _FRAME_BYTES - used_bytes


class GossipQueue:
    """The VMs that have updates to spread, and how often each was sent.

    ``_repeatable`` holds those sent often enough, with the number of repeats left.
    """

    __slots__ = ("_repeatable", "_sends")

    def __init__(self) -> None:
        self._sends: dict[str, int] = {}
        self._repeatable: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sends)

    def add(self, vm_id: str) -> None:
        """Spread the state of ``vm_id``, counting its sends from zero."""
        self._sends[vm_id] = 0
        self._repeatable.pop(vm_id, None)

    def discard(self, vm_id: str) -> None:
        self._sends.pop(vm_id, None)
        self._repeatable.pop(vm_id, None)

    def next_updates(
        self, room_bytes: int, fleet_size: int, make_update: Callable[[str], VmUpdate | None]
    ) -> list[VmUpdate]:
        """Return updates of at most ``room_bytes`` and count one more send for each.

        ``make_update`` returns the current update of a VM, or None when it is not to be spread.
        """
        limit = math.ceil(math.log(fleet_size + 1)) + _EXTRA_SENDS_PER_UPDATE
        updates: list[VmUpdate] = []
        for vm_id in sorted(self._sends, key=self._sends.__getitem__):
            update = make_update(vm_id)
            if update is None:
                del self._sends[vm_id]
                continue
            size_bytes = update_bytes(update)
            if size_bytes > room_bytes:
                break
            room_bytes -= size_bytes
            updates.append(update)
            self._count_send(vm_id, limit)
        return updates

    def next_repeats(
        self, room_bytes: int, make_update: Callable[[str], VmUpdate | None]
    ) -> list[VmUpdate]:
        """Return updates that were sent often enough, for a receiver that may have missed them.

        A receiver drops the datagrams of a sender that has not proved its boot and requests proof;
        the acknowledgement that proves it repeats the updates lost that way.
        """
        updates: list[VmUpdate] = []
        for vm_id in reversed(list(self._repeatable)):
            update = make_update(vm_id)
            size_bytes = 0 if update is None else update_bytes(update)
            if size_bytes > room_bytes:
                break
            if update is not None:
                room_bytes -= size_bytes
                updates.append(update)
            self._repeatable[vm_id] -= 1
            if update is None or not self._repeatable[vm_id]:
                del self._repeatable[vm_id]
        return updates

    def _count_send(self, vm_id: str, limit: int) -> None:
        self._sends[vm_id] += 1
        if self._sends[vm_id] >= limit:
            del self._sends[vm_id]
            self._repeatable[vm_id] = _REPEATS_PER_UPDATE
            if len(self._repeatable) > _MAX_REPEATABLE:
                del self._repeatable[next(iter(self._repeatable))]
