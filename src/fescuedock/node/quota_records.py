"""Records in the key-value service: until when a customer's window may be used up."""

import math
from collections.abc import Callable, Collection

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.clock import UnixClock, now_ms
from fescuedock.core.quota_windows import CLOCKS_DIFFER_MS, Records
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvStore
from fescuedock.log import log_event
from fescuedock.schema.permits import QuotaRecord
from fescuedock.schema.result_codes import ResultCode

__all__ = ["QuotaRecords"]

# After a write that failed; the bucket serves the customer meanwhile.
_RETRY_MS = 1000.0
# The service ends the lease of a record this much after the record counts no more.
_LEASE_SLACK_MS = 2000.0


class QuotaRecords:
    """Reads records from ``table``, which every node follows, and writes those that are due."""

    def __init__(self, kv: KvStore, table: ReplicaTable, prefix: str, clock: UnixClock) -> None:
        self._kv = kv
        self._table = table
        self._prefix = prefix
        self._clock = clock
        # Customers whose record is due, with what it has to cover and whom to tell.
        self._due: dict[str, tuple[float, Callable[[float], None]]] = {}
        self._failed_ms: dict[str, float] = {}
        # What was read for one customer, and when; and when that was last tried.
        self._found: dict[str, tuple[float, KvEntry | None]] = {}
        self._looked_ms: dict[str, float] = {}
        self._woken = trio.Event()

    def read(self, customer: str) -> Records:
        """Return what this node knows of a customer's record."""
        found_ms, found = self._found.get(customer, (float("-inf"), None))
        entry = self._table.entries.get(self._prefix + customer)
        if found is not None and (entry is None or entry.mod_revision < found.mod_revision):
            # One that has lapsed since counts no more anyway.
            entry = found
        as_of_ms = max(self._table.as_of_ms, found_ms)
        if entry is None:
            return Records(as_of_ms)
        left_ms = _used_until_unix_ms(entry) - self._clock() * 1000.0
        return Records(as_of_ms, now_ms() + left_ms + CLOCKS_DIFFER_MS)

    async def look_up(self, customer: str) -> None:
        """Read a customer's record, so that ``read`` is as of now."""
        if now_ms() - self._looked_ms.get(customer, float("-inf")) < _RETRY_MS:
            return
        began_ms = self._looked_ms[customer] = now_ms()
        found = await self._kv.get(self._prefix + customer)
        if isinstance(found, Ok):
            self._found[customer] = (began_ms, found.ok_value)

    def keep(self, names: Collection[str]) -> None:
        """Forget the customers that are not among ``names``."""
        for kept in (self._found, self._looked_ms, self._failed_ms):
            for name in kept.keys() - set(names):
                del kept[name]

    def request(self, customer: str, lasts_ms: float, stored: Callable[[float], None]) -> None:
        """Have a record written that counts for ``lasts_ms``.

        ``stored`` is told the time at which the write began, once it is certain.
        """
        if (
            customer in self._due
            or now_ms() - self._failed_ms.get(customer, -_RETRY_MS) < _RETRY_MS
        ):
            return
        self._due[customer] = (lasts_ms, stored)
        self._woken.set()

    async def run(self) -> None:
        """Write what is due until cancelled; one after the other, each call is paid for."""
        while True:
            await self._woken.wait()
            self._woken = trio.Event()
            while self._due:
                customer, (lasts_ms, stored) = next(iter(self._due.items()))
                began_ms = now_ms()
                written = await self._write(self._prefix + customer, lasts_ms)
                del self._due[customer]
                if isinstance(written, Err):
                    self._failed_ms[customer] = now_ms()
                    reason = written.err_value.message
                    log_event("quota_record_failed", customer=customer, reason=reason)
                    continue
                self._failed_ms.pop(customer, None)
                stored(began_ms)
                log_event("quota_record_written", customer=customer, lasts_ms=round(lasts_ms))

    async def _write(self, key: str, lasts_ms: float) -> Result[int, Fault]:
        # The clock counts whole seconds.
        until_unix_ms = math.ceil(self._clock() * 1000.0 + 1000.0 + lasts_ms)
        granted = await self._kv.grant_lease(math.ceil((lasts_ms + _LEASE_SLACK_MS) / 1000))
        if isinstance(granted, Err):
            return granted
        entry = self._table.entries.get(key)
        written = await self._put(key, entry, until_unix_ms, granted.ok_value)
        if isinstance(written, Err) and written.err_value.code is ResultCode.KV_CONFLICT:
            # This node's replica lags.
            found = await self._kv.get(key)
            if isinstance(found, Err):
                return found
            written = await self._put(key, found.ok_value, until_unix_ms, granted.ok_value)
        return written

    async def _put(
        self, key: str, entry: KvEntry | None, until_unix_ms: int, lease_id: int
    ) -> Result[int, Fault]:
        revision = 0 if entry is None else entry.mod_revision
        known_ms = 0 if entry is None else _used_until_unix_ms(entry)
        value = msgspec.msgpack.encode(QuotaRecord(max(until_unix_ms, known_ms)))
        return await self._kv.put_if(key, value, revision, lease_id=lease_id)


def _used_until_unix_ms(entry: KvEntry) -> int:
    try:
        return msgspec.msgpack.decode(entry.value, type=QuotaRecord).used_until_unix_ms
    except msgspec.DecodeError as error:
        log_event("quota_record_unreadable", key=entry.key, reason=str(error))
        return 0
