"""Membership of the fleet: failure detection and gossip between agents, without I/O."""

from fescuedock.core.membership.actions import Action, PeerVersion, Send
from fescuedock.core.membership.gossip import MAX_DATAGRAM_BYTES
from fescuedock.core.membership.listing import Candidate
from fescuedock.core.membership.membership import Membership, is_membership_message

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "Action",
    "Candidate",
    "Membership",
    "PeerVersion",
    "Send",
    "is_membership_message",
]
