"""Which upstreams a node asks for permits for its waiting items.

A few asks are open for each waiting item, at upstreams that are believed to have free slots.  More
would find a slot hardly sooner, and each grant that finds no item any more costs messages and keeps
the slot from other nodes meanwhile.

Pure: the caller passes the randomness.
"""

import random
from collections.abc import Iterable

import msgspec

__all__ = ["AskCandidate", "AskPolicy", "choose_asks"]


class AskPolicy(msgspec.Struct, frozen=True):
    """``per_item`` asks are open for each waiting item.

    Asking all 30 upstreams for each made 66 nodes give back more permits than they used; with three
    an owner that is silent or full still leaves two others.
    """

    per_item: int = 3


class AskCandidate(msgspec.Struct, frozen=True):
    """An upstream that is not being asked; ``free_slots`` is None when nothing fresh is known."""

    upstream_id: str
    free_slots: int | None = None

    @property
    def is_full(self) -> bool:
        return self.free_slots is not None and self.free_slots <= 0


def choose_asks(
    waiting_items: int,
    open_asks: int,
    candidates: Iterable[AskCandidate],
    policy: AskPolicy,
    rng: random.Random,
) -> list[str]:
    """Return the upstreams to ask now, for items of one service.

    Those that are known to be full come last; among the others chance decides, so that nodes which
    know the same do not all ask the same owner.
    """
    room = policy.per_item * waiting_items - open_asks
    if room <= 0:
        return []
    ranked = sorted(candidates, key=lambda item: (item.is_full, rng.random()))
    return [item.upstream_id for item in ranked[:room]]
