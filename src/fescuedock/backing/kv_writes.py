"""Writes whose answer may be lost, carried on until it is known which write won."""

from collections.abc import Callable

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvStore
from fescuedock.schema.result_codes import ResultCode

__all__ = ["put_resolved"]

_MAX_ATTEMPTS = 6
_FIRST_PAUSE_MS = 50
_MAX_REVISIONS_BACK = 32

# Tells whether a value is the one that this write was to put there.
IsOwnValue = Callable[[bytes], bool]


async def put_resolved(
    kv: KvStore,
    key: str,
    value: bytes,
    expected_revision: int,
    is_own_value: IsOwnValue,
    lease_id: int = 0,
    *,
    attempts: int = _MAX_ATTEMPTS,
) -> Result[int, Fault]:
    """Write ``key`` as ``put_if`` does, and find out what became of a write without an answer.

    Returns the revision that the write got, also when another write has followed it since.
    ``KV_CONFLICT`` and ``KV_UNAVAILABLE`` promise that this write is not there and that no copy of
    it can land later; ``KV_UNKNOWN`` says that neither could be found out in ``attempts`` tries.

    ``is_ours`` must tell this write's value from that of any other writer, so the value needs
    something unique, such as an epoch with the writer's name.  A key that is created
    (``expected_revision`` 0), deleted and may not come back needs a ``lease_id``: only the end of
    the lease keeps a copy that is still under way from creating it again.
    """
    write = _Write(kv, key, value, expected_revision, is_own_value, lease_id)
    pause_ms = _FIRST_PAUSE_MS
    for attempt in range(attempts):
        if attempt:
            await trio.sleep(pause_ms / 1000)
            pause_ms *= 2
        outcome = await write.try_once()
        if outcome is not None:
            return outcome
    message = f"{key}: the write's answer was lost and could not be read back"
    return Err(Fault(ResultCode.KV_UNKNOWN, message, retry_after_ms=1000))


class _Write(msgspec.Struct):
    """One write and whether a copy of it may be under way."""

    kv: KvStore
    key: str
    value: bytes
    expected_revision: int
    is_own_value: IsOwnValue
    lease_id: int
    may_be_pending: bool = False

    async def try_once(self) -> Result[int, Fault] | None:
        """Send the write; None when it is not known yet what became of it."""
        result = await self.kv.put_if(
            self.key, self.value, self.expected_revision, lease_id=self.lease_id
        )
        if isinstance(result, Ok):
            return result
        fault = result.err_value
        if fault.code is ResultCode.KV_UNKNOWN:
            self.may_be_pending = True
            return None
        if not self.may_be_pending:
            return result
        if fault.code is ResultCode.KV_CONFLICT:
            # The key has moved on, so no copy of the write can take effect any more.
            return await self._read_back(result)
        return None

    async def _read_back(self, conflict: Err[Fault]) -> Result[int, Fault] | None:
        """Walk back to the write that followed ``expected_revision`` and see whose it is."""
        found = await self.kv.get(self.key)
        if isinstance(found, Err):
            return None
        entry = found.ok_value
        for _ in range(_MAX_REVISIONS_BACK):
            if entry is None or entry.mod_revision <= self.expected_revision:
                # Deleted since: nothing says who was first.
                return None
            previous = await self.kv.get(self.key, at_revision=entry.mod_revision - 1)
            if isinstance(previous, Err):
                # The past may be compacted, but an entry that is ours is proof by itself.
                return Ok(entry.mod_revision) if self.is_own_value(entry.value) else None
            if _revision_of(previous.ok_value) == self.expected_revision:
                return Ok(entry.mod_revision) if self.is_own_value(entry.value) else conflict
            entry = previous.ok_value
        return None


def _revision_of(entry: KvEntry | None) -> int:
    return entry.mod_revision if entry else 0
