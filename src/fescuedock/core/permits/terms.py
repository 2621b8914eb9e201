"""The terms of an upstream, given by operators and the membership, that its queue applies."""

import msgspec

from fescuedock.core.permits.queued import MemberShares
from fescuedock.schema.config import Objectives

__all__ = ["UpstreamTerms"]


class UpstreamTerms(msgspec.Struct, frozen=True):
    """Limits, weights and state of one upstream from the configuration and the membership."""

    objectives: Objectives = msgspec.field(default_factory=Objectives)
    shares: MemberShares = msgspec.field(default_factory=MemberShares)
    # 0 lets the learned limit apply.
    max_in_flight: int = 0
    # Number of requests that the upstream declares it runs at once, or 0.  The number is exact, so
    # no limit is learned and no headroom reserved: batch fills the slots that online leaves and is
    # revoked in the same step.  Headroom and learned limits left 13 of 48 slots idle between bursts
    # while batch waited.
    slots: int = 0
    # False once the upstream leaves or drains: nothing new starts, running attempts may finish.
    admitting: bool = True
