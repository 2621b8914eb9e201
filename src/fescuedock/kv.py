"""Interfaces of the key-value service.

They are narrow, so that the service can be replaced by one with another protocol, an in-memory fake
or an external bench.  Each call counts against the service's low rate limits, a waiting watch as
one call.
"""

from collections.abc import Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol, TypeVar

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.faults import Fault
from fescuedock.schema.result_codes import ResultCode

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
    "decode_value",
]

T = TypeVar("T")


class KvEntry(msgspec.Struct, frozen=True):
    """A key's value and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int
    lease_id: int = 0


def decode_value(key: str, value: bytes, kind: type[T]) -> Result[T, Fault]:
    """Decode a value of this system; ``VALUE_UNREADABLE`` if it is damaged or of another version.

    Every value that an earlier, later or broken process may have written is decoded here.
    """
    try:
        return Ok(msgspec.msgpack.decode(value, type=kind))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Err(Fault(ResultCode.VALUE_UNREADABLE, f"{key} cannot be read: {error}"))


class KvPage(msgspec.Struct, frozen=True):
    """Entries of one range read; ``more`` is True if the limit cut it off."""

    entries: tuple[KvEntry, ...]
    revision: int
    more: bool


class KvEvent(msgspec.Struct, frozen=True):
    """One change seen by a watch; ``entry`` is None when the key was deleted."""

    key: str
    revision: int
    entry: KvEntry | None


class KvWatchGap(msgspec.Struct, frozen=True):
    """Changes were missed; the watcher must read the complete range again."""

    revision: int


class KvChanges(msgspec.Struct, frozen=True):
    """All changes after the requested revision, up to and including ``revision``."""

    events: tuple[KvEvent, ...]
    revision: int


class KvTransaction(msgspec.Struct, frozen=True):
    """An atomic set of writes and removals.

    ``expected_revisions`` are its conditions; revision 0 means that the key must not exist.
    ``lease_id`` is the lease that the written keys are attached to, 0 for none.
    """

    expected_revisions: Mapping[str, int]
    writes: Mapping[str, bytes] = msgspec.field(default_factory=dict)
    removes: Sequence[str] = ()
    lease_id: int = 0


class KvTransactions(Protocol):
    """A service that writes several keys atomically."""

    async def transact(self, transaction: KvTransaction) -> Result[int, Fault]:
        """Execute the transaction and return its revision; faults as in ``KvStore.put_if``."""


class KvChangeLog(Protocol):
    """A service that answers queries for changes."""

    async def changes(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Result[KvChanges, Fault]:
        """Return the changes under ``prefix`` as soon as there is one, none after ``wait_ms``.

        Fail with ``KV_COMPACTED`` if the service no longer has all changes since
        ``after_revision``.
        """


class KvStore(Protocol):
    """The operations of the service that the package uses.

    Each method can return ``Err(Fault)`` with ``KV_UNAVAILABLE`` (nothing was written, also for
    reads), ``KV_UNKNOWN`` (a write that may have taken effect) or ``KV_CONFLICT``.
    """

    async def get(self, key: str, *, at_revision: int = 0) -> Result[KvEntry | None, Fault]:
        """Read one key; ``Ok(None)`` when it does not exist.

        ``at_revision`` reads a past state, and fails with ``KV_COMPACTED`` if the service no longer
        stores it.
        """

    async def get_range(
        self, prefix: str, *, start_after: str = "", limit: int = 1000, keys_only: bool = False
    ) -> Result[KvPage, Fault]:
        """Read keys that begin with ``prefix``, in order, after ``start_after``."""

    async def put_if(
        self, key: str, value: bytes, expected_revision: int, *, lease_id: int = 0
    ) -> Result[int, Fault]:
        """Write if the key's mod revision is ``expected_revision`` (0: it does not exist).

        Return the new mod revision.
        """

    async def delete_if(self, key: str, expected_revision: int) -> Result[None, Fault]:
        """Delete if the key's mod revision is ``expected_revision``."""

    async def grant_lease(self, ttl_s: int) -> Result[int, Fault]:
        """Grant a lease and return its ID."""

    async def keep_lease(self, lease_id: int) -> Result[int, Fault]:
        """Renew a lease and return its remaining seconds, 0 if it has lapsed."""

    async def revoke_lease(self, lease_id: int) -> Result[None, Fault]:
        """Revoke a lease and delete its keys."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> AbstractAsyncContextManager["trio.MemoryReceiveChannel[KvEvent | KvWatchGap]"]:
        """Watch keys under ``prefix``; the channel ends when the connection is lost."""
