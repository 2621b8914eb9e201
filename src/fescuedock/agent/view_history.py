"""Recent changes of the fleet view, so that programs receive changes instead of the full view."""

from collections import deque
from collections.abc import Mapping

import msgspec

from fescuedock.schema.view import UpstreamRecord, VmRecord

__all__ = ["ViewChanges", "ViewHistory"]

_MAX_VERSIONS = 64


class ViewChanges(msgspec.Struct):
    """The identities of the records that were added, changed or removed."""

    vm_ids: set[str] = msgspec.field(default_factory=set)
    upstream_ids: set[str] = msgspec.field(default_factory=set)


class ViewHistory(msgspec.Struct):
    """The changes of the last ``_MAX_VERSIONS`` versions, which increase by one each."""

    _changes: deque[tuple[int, ViewChanges]] = msgspec.field(
        default_factory=lambda: deque(maxlen=_MAX_VERSIONS)
    )

    def record(
        self,
        version: int,
        vms: tuple[Mapping[str, VmRecord], Mapping[str, VmRecord]],
        upstreams: tuple[Mapping[str, UpstreamRecord], Mapping[str, UpstreamRecord]],
    ) -> None:
        """Record the step to ``version`` from the records before and after it."""
        self._changes.append((version, ViewChanges(_changed(*vms), _changed(*upstreams))))

    def since(self, seen_version: int) -> ViewChanges | None:
        """Return what changed after ``seen_version``; None when that is no longer known."""
        if not self._changes or seen_version < self._changes[0][0] - 1:
            return None
        if seen_version > self._changes[-1][0]:
            # A version of an earlier process of this agent.
            return None
        total = ViewChanges()
        for version, changes in self._changes:
            if version > seen_version:
                total.vm_ids |= changes.vm_ids
                total.upstream_ids |= changes.upstream_ids
        return total


def _changed(before: Mapping[str, msgspec.Struct], after: Mapping[str, msgspec.Struct]) -> set[str]:
    # Most records are identical objects; identity is faster to check than equality.
    names = {
        name
        for name, item in after.items()
        if before.get(name) is not item and before.get(name) != item
    }
    return names | (before.keys() - after.keys())
