"""How many attempts an owner admits while it does not know its fleet yet.

Ownership follows from the VMs that a node sees.  One that has just started sees few, takes itself
for the owner of upstreams that others own as well, and would fill their slots a second time: when
all of 82 nodes start at once, each owns everything for a moment, and 45 upstreams of 8 slots were
given work by 82 owners.  Until it sees its fleet, an owner therefore admits no more in all than its
part of all slots.

It answers the load in which a whole fleet comes back together and callers retry.  What waits here
is served in order as the view fills up; what an overfull upstream queues comes late or is rejected.

Pure: the caller passes the time.
"""

import math

import msgspec

__all__ = ["Settling"]

# With this share of the fleet in sight, few upstreams have more than one owner.
_KNOWN_SHARE = 0.9
# Nodes find each other within a second.  Those still missing by then are down, and their part of
# the slots must not stay idle for as long as their records last.
_LONGEST_MS = 2000.0


class Settling(msgspec.Struct):
    """Whether a node that started at ``started_ms`` knows its fleet by now.

    Once it does it stays settled: VMs that are lost later leave no doubt about who owns what.
    """

    started_ms: float
    is_settled: bool = False

    def budget(self, slots: int, seen: int, expected: int, now_ms: float) -> int | None:
        """Return how many attempts may run at all owned upstreams together; None for no bound.

        ``slots`` counts those of all upstreams of the fleet, 0 where one does not declare any;
        ``seen`` the VMs in sight, this one included; ``expected`` those that are recorded, 0 where
        nobody records them.
        """
        if self.is_settled or not slots or not expected:
            return None
        is_late = now_ms - self.started_ms >= _LONGEST_MS
        if is_late or (expected > 1 and seen >= _KNOWN_SHARE * expected):
            self.is_settled = True
            return None
        return math.ceil(slots / expected)
