"""Conditional writes that are retried after a lost answer until their outcome is known."""

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

# Returns whether a value was written by this write.
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
    """Write ``key`` like ``put_if``, and resolve the outcome if the answer is lost.

    Return the revision of the write, even if another write has followed it.  ``KV_CONFLICT`` and
    ``KV_UNAVAILABLE`` promise that this write did not take effect and that no copy of it can take
    effect later; ``KV_UNKNOWN`` means that the outcome was not resolved in ``attempts`` attempts.

    ``is_own_value`` must distinguish this write's value from that of any other writer, so the value
    needs a unique part, such as an epoch with the writer's name.  A key that is created
    (``expected_revision`` 0), then deleted and must not be created again needs a ``lease_id``: only
    the end of the lease prevents a delayed copy of the write from creating the key again.
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
    """One write, and whether a copy of it may have been sent and not been resolved."""

    kv: KvStore
    key: str
    value: bytes
    expected_revision: int
    is_own_value: IsOwnValue
    lease_id: int
    may_be_pending: bool = False

    async def try_once(self) -> Result[int, Fault] | None:
        """Send the write once; return None while its outcome is unknown."""
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
            # The key has another revision now, so no copy of the write can take effect any more.
            return await self._read_back(result)
        return None

    async def _read_back(self, conflict: Err[Fault]) -> Result[int, Fault] | None:
        """Find the write that followed ``expected_revision`` and check whether it is this one."""
        found = await self.kv.get(self.key)
        if isinstance(found, Err):
            return None
        entry = found.ok_value
        for _ in range(_MAX_REVISIONS_BACK):
            if entry is None or entry.mod_revision <= self.expected_revision:
                # Deleted since then, so it is unknown which write was first.
                return None
            previous = await self.kv.get(self.key, at_revision=entry.mod_revision - 1)
            if isinstance(previous, Err):
                # The history may be compacted, but this write's own value is sufficient proof.
                return Ok(entry.mod_revision) if self.is_own_value(entry.value) else None
            if _revision_of(previous.ok_value) == self.expected_revision:
                return Ok(entry.mod_revision) if self.is_own_value(entry.value) else conflict
            entry = previous.ok_value
        return None


def _revision_of(entry: KvEntry | None) -> int:
    return entry.mod_revision if entry else 0
