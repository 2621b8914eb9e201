"""The current upstreams, from their own entries in the key-value service.

An upstream whose entry disappears during normal operation is removed at once.  If the entry
disappears during an outage of the service, the upstream is retained until owners of expired entries
have had time to write them again.

Pure: the caller passes the time.
"""

from collections.abc import Iterable, Mapping

import msgspec

from fescuedock.schema.view import UpstreamRecord

__all__ = ["UpstreamListing"]


class UpstreamListing(msgspec.Struct):
    """The upstreams by identity, including those retained through an outage."""

    _listed: dict[str, UpstreamRecord] = msgspec.field(default_factory=dict)
    # Upstreams whose entries disappeared, with their last records.
    _lapsed: dict[str, UpstreamRecord] = msgspec.field(default_factory=dict)

    def update(self, found: Mapping[str, UpstreamRecord], *, in_grace: bool) -> None:
        """Apply the current entries; with ``in_grace`` missing ones may return."""
        vanished = {name: item for name, item in self._listed.items() if name not in found}
        self._listed = dict(found)
        if not in_grace:
            self._lapsed.clear()
            return
        addresses = {(item.host, item.port) for item in found.values()}
        self._lapsed.update(vanished)
        self._lapsed = {
            name: item
            for name, item in self._lapsed.items()
            # Another upstream at the address proves that the former one is gone.
            if name not in found and (item.host, item.port) not in addresses
        }

    def upstreams(self) -> Iterable[UpstreamRecord]:
        """Return the upstreams that may get work, and those that are leaving."""
        return [*self._listed.values(), *self._lapsed.values()]

    @property
    def lapsed(self) -> Iterable[str]:
        return self._lapsed.keys()
