"""Client of a key-value service with the HTTP/JSON gateway of etcd v3.

It implements only the calls in use.  A fault never promises too much: a write returns
``KV_UNAVAILABLE`` only when no byte of it reached the service or the service refused it.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.backing import etcd_wire as wire
from fescuedock.backing.etcd_watch import run_watch
from fescuedock.faults import Fault
from fescuedock.kv import KvEntry, KvEvent, KvPage, KvTransaction, KvWatchGap
from fescuedock.net.http_client import (
    HttpClient,
    NotSentError,
    ResponseLostError,
    ResponseTooLargeError,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import PlatformSettings

__all__ = ["EtcdKv"]

# A page of a range read holds many values of up to a megabyte.
_MAX_ANSWER_BYTES = 256 * 1024 * 1024
_RETRY_AFTER_MS = 1000
_WATCH_BUFFER_EVENTS = 256
_JSON = ("content-type", "application/json")
# Texts of etcd's refusals and the result codes for them.
_REFUSALS = (
    ("required revision has been compacted", ResultCode.KV_COMPACTED),
    ("request is too large", ResultCode.KV_VALUE_TOO_LARGE),
    ("requested lease not found", ResultCode.KV_CONFLICT),
)


class _Answer(msgspec.Struct, frozen=True):
    """The HTTP response of one address."""

    status: int
    body: bytes


class EtcdKv:
    """A ``KvStore`` over one HTTP client; an address that fails is tried last from then on."""

    def __init__(self, http: HttpClient, settings: PlatformSettings) -> None:
        self._http = http
        self._timeout_ms = settings.kv_timeout_ms
        self._addresses = [Address.parse(part) for part in settings.kv_addresses.split(",")]

    async def get(self, key: str, *, at_revision: int = 0) -> Result[KvEntry | None, Fault]:
        """See ``KvStore.get``."""
        request = wire.RangeRequest(key=key.encode(), revision=at_revision)
        result = await self._read("/v3/kv/range", request, wire.RangeAnswer)
        return result.map(lambda answer: _to_entry(answer.kvs[0]) if answer.kvs else None)

    async def get_range(
        self, prefix: str, *, start_after: str = "", limit: int = 1000, keys_only: bool = False
    ) -> Result[KvPage, Fault]:
        """See ``KvStore.get_range``."""
        request = wire.RangeRequest(
            key=f"{start_after}\0".encode() if start_after else prefix.encode(),
            range_end=wire.prefix_end(prefix),
            limit=limit,
            keys_only=keys_only,
        )
        result = await self._read("/v3/kv/range", request, wire.RangeAnswer)
        return result.map(_to_page)

    async def put_if(
        self, key: str, value: bytes, expected_revision: int, *, lease_id: int = 0
    ) -> Result[int, Fault]:
        """See ``KvStore.put_if``."""
        put = wire.PutRequest(key=key.encode(), value=value, lease=lease_id)
        request = _conditional_request(key, expected_revision, wire.Operation(request_put=put))
        result = await self._write("/v3/kv/txn", request, wire.TxnAnswer)
        return result.and_then(lambda answer: _written_revision(answer, key, expected_revision))

    async def transact(self, transaction: KvTransaction) -> Result[int, Fault]:
        """See ``KvTransactions.transact``."""
        request = wire.TxnRequest(
            compare=[
                wire.Compare(key=key.encode(), mod_revision=revision)
                for key, revision in transaction.expected_revisions.items()
            ],
            success=[*_puts(transaction), *_deletes(transaction)],
        )
        result = await self._write("/v3/kv/txn", request, wire.TxnAnswer)
        keys = ", ".join(transaction.expected_revisions)
        return result.and_then(lambda answer: _written_revision(answer, keys, 0))

    async def delete_if(self, key: str, expected_revision: int) -> Result[None, Fault]:
        """See ``KvStore.delete_if``."""
        delete = wire.DeleteRequest(key=key.encode())
        request = _conditional_request(
            key, expected_revision, wire.Operation(request_delete_range=delete)
        )
        result = await self._write("/v3/kv/txn", request, wire.TxnAnswer)
        written = result.and_then(lambda answer: _written_revision(answer, key, expected_revision))
        return written.map(lambda _: None)

    async def grant_lease(self, ttl_s: int) -> Result[int, Fault]:
        """See ``KvStore.grant_lease``."""
        request = wire.GrantRequest(ttl=ttl_s)
        result = await self._write("/v3/lease/grant", request, wire.GrantAnswer)
        return result.map(lambda answer: answer.lease_id)

    async def keep_lease(self, lease_id: int) -> Result[int, Fault]:
        """See ``KvStore.keep_lease``."""
        request = wire.LeaseRequest(lease_id=lease_id)
        result = await self._write("/v3/lease/keepalive", request, wire.KeepAnswer)
        return result.map(lambda answer: answer.result.ttl)

    async def revoke_lease(self, lease_id: int) -> Result[None, Fault]:
        """See ``KvStore.revoke_lease``; an expired lease is no fault."""
        request = wire.LeaseRequest(lease_id=lease_id)
        result = await self._write("/v3/lease/revoke", request, wire.Empty)
        if isinstance(result, Err) and result.err_value.code is ResultCode.KV_CONFLICT:
            return Ok(None)
        return result.map(lambda _: None)

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator["trio.MemoryReceiveChannel[KvEvent | KvWatchGap]"]:
        """See ``KvStore.watch``; the block is entered once the service is watching."""
        sender, receiver = trio.open_memory_channel(_WATCH_BUFFER_EVENTS)
        error: Exception | None = None
        async with trio.open_nursery() as nursery:
            await self._start_watch(nursery, prefix, from_revision, sender)
            try:
                yield receiver
            except Exception as raised:
                # Raised again below, since the nursery would wrap it in an exception group.
                error = raised
            nursery.cancel_scope.cancel()
        if error is not None:
            raise error

    async def _start_watch(
        self,
        nursery: trio.Nursery,
        prefix: str,
        from_revision: int,
        sender: "trio.MemorySendChannel[KvEvent | KvWatchGap]",
    ) -> None:
        """Wait until the service is watching; close ``sender`` if it does not start in time."""
        address = self._addresses[0]
        started = False
        with trio.move_on_after((self._http.connect_timeout_ms + 2 * self._timeout_ms) / 1000):
            started = await nursery.start(
                run_watch, self._http, address, prefix, from_revision, self._timeout_ms, sender
            )
        if not started:
            sender.close()
            self._move_to_end(address)

    async def _read(self, path: str, request: msgspec.Struct, kind: type) -> Result:
        """Try each address in order; a read that failed at one is repeated at the next."""
        body = msgspec.json.encode(request)
        reasons: list[str] = []
        for address in tuple(self._addresses):
            try:
                answer = await self._post(address, path, body)
            except (NotSentError, ResponseLostError) as error:
                reasons.append(f"{address}: {error}")
                self._move_to_end(address)
                continue
            if answer.status < 500:
                return _decode(answer, kind)
            reasons.append(f"{address}: {_error_text(answer)}")
            self._move_to_end(address)
        return _fault(ResultCode.KV_UNAVAILABLE, "; ".join(reasons))

    async def _write(self, path: str, request: msgspec.Struct, kind: type) -> Result:
        """Send to the first reachable address; a request that was sent is not repeated."""
        body = msgspec.json.encode(request)
        reasons: list[str] = []
        for address in tuple(self._addresses):
            try:
                answer = await self._post(address, path, body)
            except NotSentError as error:
                reasons.append(str(error))
                self._move_to_end(address)
                continue
            except ResponseLostError as error:
                self._move_to_end(address)
                return _fault(ResultCode.KV_UNKNOWN, f"{address}: {error}")
            if answer.status >= 500:
                self._move_to_end(address)
                return _fault(ResultCode.KV_UNKNOWN, f"{address}: {_error_text(answer)}")
            return _decode(answer, kind, invalid_body_code=ResultCode.KV_UNKNOWN)
        return _fault(ResultCode.KV_UNAVAILABLE, "; ".join(reasons))

    async def _post(self, address: Address, path: str, body: bytes) -> _Answer:
        """Make one call; raise ``NotSentError`` or ``ResponseLostError`` like the HTTP client."""
        timeout_ms = self._timeout_ms
        async with self._http.request(
            address, "POST", path, [_JSON], body, answer_timeout_ms=timeout_ms
        ) as response:
            try:
                with trio.fail_after(timeout_ms / 1000):
                    return _Answer(response.status, await response.read(_MAX_ANSWER_BYTES))
            except (trio.TooSlowError, ResponseTooLargeError) as error:
                raise ResponseLostError(repr(error), head_received=True) from error

    def _move_to_end(self, address: Address) -> None:
        if self._addresses[0] == address:
            self._addresses.append(self._addresses.pop(0))


def _conditional_request(
    key: str, expected_revision: int, operation: wire.Operation
) -> wire.TxnRequest:
    compare = wire.Compare(key=key.encode(), mod_revision=expected_revision)
    return wire.TxnRequest(compare=[compare], success=[operation])


def _puts(transaction: KvTransaction) -> list[wire.Operation]:
    return [
        wire.Operation(
            request_put=wire.PutRequest(key=key.encode(), value=value, lease=transaction.lease_id)
        )
        for key, value in transaction.writes.items()
    ]


def _deletes(transaction: KvTransaction) -> list[wire.Operation]:
    return [
        wire.Operation(request_delete_range=wire.DeleteRequest(key=key.encode()))
        for key in transaction.removes
    ]


def _written_revision(
    answer: wire.TxnAnswer, key: str, expected_revision: int
) -> Result[int, Fault]:
    if answer.succeeded:
        return Ok(answer.header.revision)
    message = f"{key} is not at revision {expected_revision}"
    return Err(Fault(ResultCode.KV_CONFLICT, message))


def _decode(
    answer: _Answer, kind: type, invalid_body_code: ResultCode = ResultCode.KV_UNAVAILABLE
) -> Result:
    """Decode an answer of the service; a refusal promises that nothing was done."""
    if answer.status >= 400:
        return _refusal(answer)
    try:
        return Ok(msgspec.json.decode(answer.body, type=kind, strict=False))
    except msgspec.MsgspecError as error:
        return _fault(invalid_body_code, f"invalid answer: {error}")


def _refusal(answer: _Answer) -> Err[Fault]:
    reason = _error_text(answer)
    for text, code in _REFUSALS:
        if text in reason:
            return Err(Fault(code, reason))
    return _fault(ResultCode.KV_UNAVAILABLE, reason)


def _error_text(answer: _Answer) -> str:
    try:
        message = msgspec.json.decode(answer.body, type=wire.ErrorAnswer, strict=False).message
    except msgspec.MsgspecError:
        message = answer.body[:200].decode("utf-8", "replace")
    return f"HTTP {answer.status}: {message}"


def _fault(code: ResultCode, message: str) -> Err[Fault]:
    return Err(Fault(code, message, _RETRY_AFTER_MS))


def _to_page(answer: wire.RangeAnswer) -> KvPage:
    entries = tuple(_to_entry(kv) for kv in answer.kvs)
    return KvPage(entries, answer.header.revision, answer.more)


def _to_entry(kv: wire.KeyValue) -> KvEntry:
    return KvEntry(kv.key.decode(), kv.value, kv.mod_revision, kv.lease)
