"""Writes one patch to the record by compare-and-swap, also when answers are lost.

The caller executes each step on the key-value service and reports its outcome.  A write whose
answer was lost is resolved by reading the record back: it contains the patch's identity, or another
write won, or the same write is repeated.  Repeating it is safe, as all copies of the write expect
the same revision and only one can succeed.
"""

import msgspec
from result import Err, Ok, Result

from fescuedock.core.config.record import (
    BadRecordError,
    Refusal,
    apply_request,
    decode_record,
    empty_record,
    encode_record,
    find_applied,
    patch_hash,
)
from fescuedock.core.config.replica import AlarmKind, OfferResult, Replica
from fescuedock.faults import Fault
from fescuedock.schema.config import AppliedPatch, ConfigDelta, ConfigRecord, PatchRequest
from fescuedock.schema.result_codes import ResultCode

__all__ = ["Accepted", "PatchWriter", "Put", "Read", "WriterStep"]


class Read(msgspec.Struct, frozen=True):
    """Read the record's key."""


class Put(msgspec.Struct, frozen=True):
    """Write ``value`` if the key is still at ``expected_revision``."""

    value: bytes
    expected_revision: int


class Accepted(msgspec.Struct, frozen=True):
    """The patch produced ``version``, now or at an earlier use of its identity."""

    version: int


WriterStep = Read | Put | Accepted | Refusal


class PatchWriter(msgspec.Struct):
    """Writes one patch to the record, and then applies it to this VM's ``replica``.

    Begin with ``Read``; each method returns the next step, or None to read after a short wait.
    """

    request: PatchRequest
    replica: Replica
    accepted_at_s: int
    # Whether a write of this writer may have taken effect or may still do so.
    uncertain: bool = False
    _put: Put | None = None
    _record: ConfigRecord | None = None
    _delta: ConfigDelta | None = None

    def on_read(self, value: bytes | None, revision: int, requested_at_ms: float) -> WriterStep:
        """Handle the record's bytes (None: there is no record); return the next step."""
        try:
            record = empty_record() if value is None else decode_record(value)
        except BadRecordError:
            self.replica.raise_alarm(AlarmKind.CORRUPT, "key-value service", 0)
            return self._refusal(ResultCode.CONFIG_REVERTED)
        applied = find_applied(record, self.request.patch_id)
        if applied is not None and self._is_own_write(record):
            self._accept(revision, requested_at_ms)
        else:
            offer = self.replica.observe_kv(record, revision, requested_at_ms)
            if offer is OfferResult.OVERTAKEN:
                return Read()
            if offer is OfferResult.REFUSED:
                return self._refusal(ResultCode.CONFIG_REVERTED)
        if applied is not None:
            return self._resolve_applied(applied)
        if self._put is not None and self._put.expected_revision == revision:
            return self._put
        return self._resolve_lost(record) if self.uncertain else self._prepare(record, revision)

    def on_put(self, outcome: Result[int, Fault], requested_at_ms: float) -> WriterStep | None:
        """Handle the outcome of the write that ``Put`` requested."""
        match outcome:
            case Ok(revision):
                self._accept(revision, requested_at_ms)
                return Accepted(self._record.version)
            case Err(fault) if fault.code is ResultCode.KV_CONFLICT:
                return Read()
            case Err(fault) if fault.code is ResultCode.KV_UNKNOWN:
                self.uncertain = True
        return None

    def give_up(self) -> Refusal:
        """Return the refusal for a patch whose time has run out: unavailable, or unknown."""
        return self._refusal(ResultCode.KV_UNAVAILABLE)

    def _prepare(self, record: ConfigRecord, revision: int) -> WriterStep:
        match apply_request(record, self.request, self.accepted_at_s):
            case Err(refusal):
                return refusal
            case Ok(successor):
                self._record, self._delta = successor
        self._put = Put(encode_record(self._record), revision)
        return self._put

    def _accept(self, revision: int, requested_at_ms: float) -> None:
        delta = msgspec.structs.replace(self._delta, kv_revision=revision)
        self.replica.accept(self._record, delta)
        self.replica.confirm(requested_at_ms)

    def _is_own_write(self, record: ConfigRecord) -> bool:
        return self._record is not None and self._record.chain_hash == record.chain_hash

    def _resolve_applied(self, applied: AppliedPatch) -> WriterStep:
        if applied.patch_hash != patch_hash(self.request):
            return Refusal(ResultCode.PATCH_ID_REUSED, self.replica.version)
        return Accepted(applied.version)

    def _resolve_lost(self, record: ConfigRecord) -> WriterStep:
        """Return the refusal when the key's revision has passed that of the uncertain write.

        The write can no longer succeed.  It may have succeeded before only if the record has since
        dropped its entry.
        """
        made = self.request.base_version + 1
        if any(applied.version == made for applied in record.patches):
            return Refusal(ResultCode.STALE_VERSION, record.version)
        return self._refusal(ResultCode.KV_UNKNOWN)

    def _refusal(self, code: ResultCode) -> Refusal:
        if self.uncertain:
            code = ResultCode.KV_UNKNOWN
        return Refusal(code, self.replica.version)
