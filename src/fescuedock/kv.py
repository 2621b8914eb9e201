"""The key-value service as the rest of the package sees it.

One narrow interface, so that another dialect, an in-memory fake or an outside bench takes its
place.  Every call counts against the service's small rates, a waiting watch as one.
"""

from collections.abc import Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec
import trio
from result import Result

from fescuedock.faults import Fault

__all__ = [
    "KvChangeLog",
    "KvChanges",
    "KvEntry",
    "KvEvent",
    "KvPage",
    "KvStore",
    "KvTransaction",
    "KvTransactions",
    "KvWatchGap",
]


class KvEntry(msgspec.Struct, frozen=True):
    """A key's value and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int
    lease_id: int = 0


class KvPage(msgspec.Struct, frozen=True):
    """Entries of one range read; ``more`` says that the limit cut it."""

    entries: tuple[KvEntry, ...]
    revision: int
    more: bool


class KvEvent(msgspec.Struct, frozen=True):
    """One change seen by a watch; ``entry`` is None when the key was deleted."""

    key: str
    revision: int
    entry: KvEntry | None


class KvWatchGap(msgspec.Struct, frozen=True):
    """Changes were missed; the watcher must read the whole range again."""

    revision: int


class KvChanges(msgspec.Struct, frozen=True):
    """What changed after some revision, up to ``revision`` and without a gap."""

    events: tuple[KvEvent, ...]
    revision: int


class KvTransaction(msgspec.Struct, frozen=True):
    """Writes and removals that happen together, or not at all.

    ``expected_revisions`` are conditions: 0 says that the key must not exist.  ``lease_id`` holds
    the keys that are written.
    """

    expected_revisions: Mapping[str, int]
    writes: Mapping[str, bytes] = msgspec.field(default_factory=dict)
    removes: Sequence[str] = ()
    lease_id: int = 0


class KvTransactions(Protocol):
    """A service that writes several keys at once."""

    async def transact(self, transaction: KvTransaction) -> Result[int, Fault]:
        """Do all of it and return its revision; faults are those of ``KvStore.put_if``."""


class KvChangeLog(Protocol):
    """A service that can be asked for what has changed."""

    async def changes(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Result[KvChanges, Fault]:
        """Return the changes below ``prefix`` as soon as there is one, none after ``wait_ms``.

        ``KV_COMPACTED`` says that the service no longer knows all since ``after_revision``.
        """


class KvStore(Protocol):
    """What we use of the service.

    Each method gives ``Err(Fault)`` with ``KV_UNAVAILABLE`` (nothing was written, also for reads),
    ``KV_UNKNOWN`` (a write that may have taken effect) or ``KV_CONFLICT``.
    """

    async def get(self, key: str, *, at_revision: int = 0) -> Result[KvEntry | None, Fault]:
        """Read one key; ``Ok(None)`` when it does not exist.

        ``at_revision`` reads the past; a revision that the service no longer keeps is refused
        with ``KV_COMPACTED``.
        """

    async def get_range(
        self, prefix: str, *, start_after: str = "", limit: int = 1000, keys_only: bool = False
    ) -> Result[KvPage, Fault]:
        """Read keys that begin with ``prefix``, in order, after ``start_after``."""

    async def put_if(
        self, key: str, value: bytes, expected_revision: int, *, lease_id: int = 0
    ) -> Result[int, Fault]:
        """Write if the key's mod revision is ``expected_revision`` (0: it does not exist).

        Returns the new mod revision.
        """

    async def delete_if(self, key: str, expected_revision: int) -> Result[None, Fault]:
        """Delete if the key's mod revision is ``expected_revision``."""

    async def grant_lease(self, ttl_s: int) -> Result[int, Fault]:
        """Return a new lease's identity."""

    async def keep_lease(self, lease_id: int) -> Result[int, Fault]:
        """Renew a lease; returns the seconds it now has, 0 when it has lapsed."""

    async def revoke_lease(self, lease_id: int) -> Result[None, Fault]:
        """End a lease, deleting its keys."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> AbstractAsyncContextManager["trio.MemoryReceiveChannel[KvEvent | KvWatchGap]"]:
        """Watch keys under ``prefix``; the channel ends when the connection is lost."""
