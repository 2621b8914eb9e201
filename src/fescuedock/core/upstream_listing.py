"""Which upstreams there are, from their own entries in the key-value service.

An entry that vanishes at a calm time is gone at once.  One that vanished in an outage of the
service is kept until owners of lapsed entries have had the time to write them again.

Pure: the caller passes the time.
"""

from collections.abc import Iterable, Mapping

import msgspec

from fescuedock.schema.view import UpstreamRecord

__all__ = ["UpstreamListing"]


class UpstreamListing(msgspec.Struct):
    """The upstreams by identity, those that are kept through an outage included."""

    _listed: dict[str, UpstreamRecord] = msgspec.field(default_factory=dict)
    # Upstreams whose entries vanished, with the record they had.
    _lapsed: dict[str, UpstreamRecord] = msgspec.field(default_factory=dict)

    def update(self, found: Mapping[str, UpstreamRecord], *, in_grace: bool) -> None:
        """Take the entries as they are now; ``in_grace`` says that missing ones may come back."""
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
            # Another upstream at the address proves that the former one has gone.
            if name not in found and (item.host, item.port) not in addresses
        }

    def upstreams(self) -> Iterable[UpstreamRecord]:
        """Return the upstreams that may get work, and those that are leaving."""
        return [*self._listed.values(), *self._lapsed.values()]

    @property
    def lapsed(self) -> Iterable[str]:
        return self._lapsed.keys()
