"""Builds datagrams: head, contents, and as many queued updates as fit."""

from collections.abc import Sequence

import msgspec

from fescuedock.address import Address
from fescuedock.core.membership.actions import Send
from fescuedock.core.membership.gossip import GossipQueue, free_bytes, update_bytes
from fescuedock.core.membership.table import Member, MemberTable
from fescuedock.schema.membership import (
    DatagramHead,
    Gossip,
    Probe,
    ProbeAck,
    ProbeReport,
    ProbeRequest,
    SyncReply,
    SyncRequest,
    VmUpdate,
)

__all__ = ["Composer", "address_of"]


def address_of(member: Member) -> Address:
    """Return the address at which a member's agent receives datagrams."""
    return Address(member.profile.host, member.profile.agent_port)


class Composer:
    """Numbers the datagrams of this boot and fills them from the gossip queue.

    ``first_updates`` are placed before the queued ones: what the receiver must know about itself or
    about the sender.
    """

    __slots__ = ("_boot", "_queue", "_sequence", "_table", "_vm_id", "config_version")

    def __init__(self, vm_id: str, boot: int, table: MemberTable, queue: GossipQueue) -> None:
        self._vm_id = vm_id
        self._boot = boot
        self._table = table
        self._queue = queue
        self._sequence = 0
        self.config_version = 0

    def probe(
        self, receiver: str, address: Address, nonce: int, first_updates: Sequence[VmUpdate] = ()
    ) -> Send:
        return self._send(address, Probe(self._head(receiver), nonce, []), first_updates)

    def ack(
        self, receiver: str, address: Address, nonce: int, first_updates: Sequence[VmUpdate] = ()
    ) -> Send:
        send = self._send(address, ProbeAck(self._head(receiver), nonce, []), first_updates)
        repeats = self._queue.next_repeats(free_bytes(send.message), self._shared_update)
        send.message.updates += repeats
        return send

    def request(self, helper: Member, nonce: int, target: str) -> Send:
        message = ProbeRequest(self._head(helper.vm_id), nonce, target, [])
        return self._send(address_of(helper), message)

    def report(self, requester: Member, nonce: int, reached: bool) -> Send:
        message = ProbeReport(self._head(requester.vm_id), nonce, reached, [])
        return self._send(address_of(requester), message)

    def gossip(self, member: Member, first_updates: Sequence[VmUpdate] = ()) -> Send | None:
        """Return a datagram of updates, or None when there is none to send."""
        send = self._send(address_of(member), Gossip(self._head(member.vm_id), []), first_updates)
        return send if send.message.updates else None

    def sync_request(self, member: Member) -> Send:
        hashes = self._table.bucket_hashes()
        return Send(address_of(member), SyncRequest(self._head(member.vm_id), hashes))

    def sync_replies(self, receiver: Member, updates: list[VmUpdate], limit: int) -> list[Send]:
        """Return ``updates`` in at most ``limit`` datagrams.

        ``more`` of the last one is set when some did not fit.
        """
        replies: list[Send] = []
        left = list(updates)
        while left or not replies:
            message = SyncReply(self._head(receiver.vm_id), False, [])
            left = _fill(message, left)
            replies.append(Send(address_of(receiver), message))
            if len(replies) == limit:
                break
        replies[-1].message.more = bool(left)
        return replies

    def _head(self, receiver: str) -> DatagramHead:
        self._sequence += 1
        return DatagramHead(self._vm_id, receiver, self._boot, self._sequence, self.config_version)

    def _send(
        self, address: Address, message: msgspec.Struct, first_updates: Sequence[VmUpdate] = ()
    ) -> Send:
        _fill(message, first_updates)
        room_bytes = free_bytes(message)
        message.updates += self._queue.next_updates(
            room_bytes, self._table.present_count, self._shared_update
        )
        return Send(address, message)

    def _shared_update(self, vm_id: str) -> VmUpdate | None:
        member = self._table.get(vm_id)
        if member is None or member.local_only:
            return None
        return member.update()


def _fill(message: msgspec.Struct, updates: Sequence[VmUpdate]) -> list[VmUpdate]:
    """Append updates to ``message`` while they fit; return the rest."""
    room_bytes = free_bytes(message)
    for position, update in enumerate(updates):
        room_bytes -= update_bytes(update)
        if room_bytes < 0:
            return list(updates[position:])
        message.updates.append(update)
    return []
