"""What the operators and the membership say of an upstream, as its queue needs it."""

import msgspec

from fescuedock.core.permits.queued import MemberShares
from fescuedock.schema.config import Objectives

__all__ = ["UpstreamTerms"]


class UpstreamTerms(msgspec.Struct, frozen=True):
    """What the configuration and the membership say of one upstream."""

    objectives: Objectives = msgspec.field(default_factory=Objectives)
    shares: MemberShares = msgspec.field(default_factory=MemberShares)
    # 0 lets the policy find the limit.
    max_in_flight: int = 0
    # Requests that the upstream declares to run at once, or 0.  Being exact, nothing is learned
    # and no room kept back: batch fills what online leaves, and gives way in the same step.
    # Room kept back and learned limits left 13 of 48 slots idle between bursts while batch waited.
    slots: int = 0
    # False once it leaves or drains: nothing new, what runs may finish.
    admitting: bool = True
