"""Executes the decoded calls of etcd's HTTP/JSON gateway on a ``KvState``."""

from dataclasses import dataclass

import msgspec

from fescuedock.backing import etcd_wire as wire
from fescuedock.kv import KvEntry, KvTransaction
from fescuedock.standin.kv_faults import CallKind
from fescuedock.standin.kv_state import CompactedError, KvState, LeaseNotFoundError

__all__ = ["MAX_VALUE_BYTES", "CallError", "KvCalls", "call_kind", "key_value", "range_end"]

# gRPC status codes, which the gateway passes on.
_INVALID_ARGUMENT = 3
_NOT_FOUND = 5
_OUT_OF_RANGE = 11

MAX_VALUE_BYTES = 1024 * 1024

_KINDS = {
    "/v3/lease/grant": CallKind.GRANT,
    "/v3/lease/keepalive": CallKind.KEEP,
    "/v3/lease/revoke": CallKind.REVOKE,
    "/v3/watch": CallKind.WATCH,
}


class CallError(Exception):
    """The service refuses a call with the HTTP ``status`` and the gRPC ``code``."""

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


def call_kind(path: str, body: bytes) -> CallKind:
    """Return the kind under which a call is counted."""
    if path == "/v3/kv/txn":
        return CallKind.DELETE if b'"request_delete_range"' in body else CallKind.PUT
    if path == "/v3/kv/range":
        return CallKind.RANGE if b'"range_end"' in body else CallKind.GET
    return _KINDS.get(path, CallKind.GET)


@dataclass(frozen=True, slots=True)
class KvCalls:
    """Executes calls on ``state`` as of ``now_s``."""

    state: KvState
    now_s: float

    def execute(self, path: str, body: bytes) -> msgspec.Struct:
        """Execute one call and return its response; raise ``CallError`` when it is refused."""
        entry = _CALLS.get(path)
        if entry is None:
            raise CallError(404, _NOT_FOUND, f"no path {path}")
        kind, method = entry
        try:
            request = msgspec.json.decode(body, type=kind, strict=False)
        except msgspec.MsgspecError as error:
            raise CallError(400, _INVALID_ARGUMENT, str(error)) from error
        return method(self, request)

    def range(self, request: wire.RangeRequest) -> wire.RangeAnswer:
        if request.revision and not request.range_end:
            return self._range_at_revision(request)
        if not request.range_end:
            found = self.state.get(request.key.decode())
            kvs = [key_value(found)] if found else []
            return wire.RangeAnswer(self._header(), kvs, count=len(kvs))
        start = request.key.decode()
        page = self.state.page(start, range_end(request.range_end), request.limit)
        kvs = [key_value(entry, keys_only=request.keys_only) for entry in page.entries]
        return wire.RangeAnswer(self._header(), kvs, page.more, len(kvs))

    def _range_at_revision(self, request: wire.RangeRequest) -> wire.RangeAnswer:
        try:
            found = self.state.get(request.key.decode(), request.revision)
        except CompactedError as error:
            message = "etcdserver: mvcc: required revision has been compacted"
            raise CallError(400, _OUT_OF_RANGE, message) from error
        kvs = [key_value(found)] if found else []
        return wire.RangeAnswer(self._header(), kvs, count=len(kvs))

    def txn(self, request: wire.TxnRequest) -> wire.TxnAnswer:
        for compare in request.compare:
            if (compare.target, compare.result) != ("MOD", "EQUAL"):
                message = f"comparison {compare.target} {compare.result} is not supported"
                raise CallError(400, _INVALID_ARGUMENT, message)
        puts = [item.request_put for item in request.success if item.request_put is not None]
        if any(len(put.value) > MAX_VALUE_BYTES for put in puts):
            raise CallError(400, _INVALID_ARGUMENT, "etcdserver: request is too large")
        deletes = [item.request_delete_range for item in request.success]
        transaction = KvTransaction(
            {item.key.decode(): item.mod_revision for item in request.compare},
            {put.key.decode(): put.value for put in puts},
            [item.key.decode() for item in deletes if item is not None],
            max((put.lease for put in puts), default=0),
        )
        try:
            done = self.state.transact(transaction)
        except LeaseNotFoundError as error:
            raise _lease_not_found() from error
        return wire.TxnAnswer(self._header(), succeeded=bool(done))

    def grant(self, request: wire.GrantRequest) -> wire.GrantAnswer:
        lease_id = self.state.grant(request.ttl, self.now_s)
        return wire.GrantAnswer(lease_id=lease_id, ttl=request.ttl)

    def keep_alive(self, request: wire.LeaseRequest) -> wire.KeepAnswer:
        return wire.KeepAnswer(wire.LeaseState(self.state.renew(request.lease_id, self.now_s)))

    def revoke(self, request: wire.LeaseRequest) -> wire.Empty:
        if not self.state.revoke(request.lease_id):
            raise _lease_not_found()
        return wire.Empty(self._header())

    def _header(self) -> wire.Header:
        return wire.Header(self.state.revision)


_CALLS = {
    "/v3/kv/range": (wire.RangeRequest, KvCalls.range),
    "/v3/kv/txn": (wire.TxnRequest, KvCalls.txn),
    "/v3/lease/grant": (wire.GrantRequest, KvCalls.grant),
    "/v3/lease/keepalive": (wire.LeaseRequest, KvCalls.keep_alive),
    "/v3/lease/revoke": (wire.LeaseRequest, KvCalls.revoke),
}


def key_value(entry: KvEntry, *, keys_only: bool = False) -> wire.KeyValue:
    """Return an entry in the gateway's format, without its value when ``keys_only``."""
    value = b"" if keys_only else entry.value
    return wire.KeyValue(entry.key.encode(), value, entry.mod_revision, entry.lease_id)


def range_end(end: bytes) -> str | None:
    """Return the end of a range; None if it extends to the last key."""
    return None if end == b"\0" else end.decode()


def _lease_not_found() -> CallError:
    return CallError(404, _NOT_FOUND, "etcdserver: requested lease not found")
