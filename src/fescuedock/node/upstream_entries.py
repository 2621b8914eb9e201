"""Decodes the upstreams that workers register in the key-value service."""

from collections.abc import Callable, Mapping

import msgspec
from result import Err, Ok, Result

from fescuedock.core.forwarding.route_table import ServiceTerms
from fescuedock.core.replica_table import ReplicaTable
from fescuedock.kv import KvEntry
from fescuedock.log import log_event
from fescuedock.platform import records
from fescuedock.schema.view import UpstreamRecord

__all__ = ["UpstreamEntries"]

# Returns the terms of each service in the current configuration; empty before the first one.
TermsOf = Callable[[], Mapping[str, ServiceTerms]]


class _Decoded(msgspec.Struct, frozen=True):
    """An entry as decoded at one revision of its key."""

    revision: int
    result: Result[UpstreamRecord, str]


class UpstreamEntries:
    """Decodes each revision of an entry once, and logs once why an entry is not used.

    ``terms_of`` returns the services of the configuration; an entry of any other service is not
    used.
    """

    __slots__ = ("_decoded", "_reasons", "_region", "_terms_of")

    def __init__(self, region: str, terms_of: TermsOf) -> None:
        self._region = region
        self._terms_of = terms_of
        self._decoded: dict[str, _Decoded] = {}
        # By key, the logged reason why its entry is not used.
        self._reasons: dict[str, str] = {}

    def read(self, table: ReplicaTable) -> dict[str, UpstreamRecord]:
        """Return the upstreams listed in ``table``, by identity."""
        terms = self._terms_of()
        decoded: dict[str, _Decoded] = {}
        reasons: dict[str, str] = {}
        found: dict[str, UpstreamRecord] = {}
        for key, entry in table.entries.items():
            decoded[key] = self._decode(key, entry)
            match _with_terms(decoded[key].result, terms):
                case Ok(record):
                    found[record.upstream_id] = record
                case Err(reason):
                    reasons[key] = reason
        self._decoded = decoded
        self._log_reasons(reasons)
        return found

    def _decode(self, key: str, entry: KvEntry) -> _Decoded:
        known = self._decoded.get(key)
        if known is not None and known.revision == entry.mod_revision:
            return known
        result = records.read_upstream(key, entry.value, self._region)
        return _Decoded(entry.mod_revision, result)

    def _log_reasons(self, reasons: dict[str, str]) -> None:
        for key, reason in reasons.items():
            if self._reasons.get(key) != reason:
                log_event("upstream_unreadable", key=key, reason=reason)
        self._reasons = reasons


def _with_terms(
    result: Result[UpstreamRecord, str], terms: Mapping[str, ServiceTerms]
) -> Result[UpstreamRecord, str]:
    """Return the record, with the slots of its service if it declares none of its own."""
    if isinstance(result, Err) or not terms:
        return result
    record = result.ok_value
    service = terms.get(record.service)
    if service is None:
        return Err(f"the configuration has no service {record.service!r}")
    if record.slots:
        return result
    return Ok(msgspec.structs.replace(record, slots=service.slots))
