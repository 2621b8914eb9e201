"""Tracks the items that may run only in isolation, and which changes are worth a log line."""

from collections.abc import Iterable

import msgspec

from fescuedock.core.quarantine import Restriction, Verdict

__all__ = ["RestrictedItem", "RestrictedItems"]


class RestrictedItem(msgspec.Struct, frozen=True):
    """An item that may not run like others, and the verdict on it."""

    job_id: str
    item_id: str
    verdict: Verdict


class RestrictedItems:
    """The restricted items of a node's jobs."""

    __slots__ = ("_reported",)

    def __init__(self) -> None:
        # The trait, restriction and crashes reported last, by job and item.
        self._reported: dict[tuple[str, str], tuple[str, Restriction, int]] = {}

    def __len__(self) -> int:
        return len(self._reported)

    def update(self, items: Iterable[RestrictedItem]) -> list[RestrictedItem]:
        """Replace the restricted items; return those that are new or whose verdict has changed."""
        former, self._reported = self._reported, {}
        changed: list[RestrictedItem] = []
        for item in items:
            key = (item.job_id, item.item_id)
            verdict = item.verdict
            self._reported[key] = (verdict.trait, verdict.restriction, verdict.crashes)
            if self._reported[key] != former.get(key):
                changed.append(item)
        return changed
