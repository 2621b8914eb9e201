"""Client of the platform's metadata store: a ``KvStore``, ``KvTransactions`` and ``KvChangeLog``.

A fault must never claim that a write had no effect when it may have had one: a write fails with
``KV_UNAVAILABLE`` only if no byte of it reached the store or the store refused it, and otherwise
with ``KV_UNKNOWN``.
"""

import base64
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from urllib.parse import quote

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.faults import Fault
from fescuedock.kv import (
    KvChanges,
    KvEntry,
    KvEvent,
    KvPage,
    KvTransaction,
    KvWatchGap,
)
from fescuedock.net.http_client import (
    HttpClient,
    NotSentError,
    ResponseLostError,
    ResponseTooLargeError,
)
from fescuedock.platform import store_wire as wire
from fescuedock.platform.fields import decode_json
from fescuedock.schema.result_codes import ResultCode

__all__ = ["MAX_KEY_BYTES", "MetadataStore"]

# Size of the longest key that the store takes.
MAX_KEY_BYTES = 200
# A page has at most about 1 MB of values, to which base64 and JSON add somewhat more than a third.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Extra time for the answer of a watch beyond the wait that it requested.
_WATCH_MARGIN_MS = 700.0
_WATCH_WAIT_MS = 2500
_WATCH_BUFFER_EVENTS = 256
_RETRY_AFTER_MS = 300
_JSON = ("content-type", "application/json")

_STATUS_CODES = {
    410: ResultCode.KV_COMPACTED,
    412: ResultCode.KV_CONFLICT,
    404: ResultCode.KV_CONFLICT,
    413: ResultCode.KV_VALUE_TOO_LARGE,
}
# Statuses that state that the store did not execute the call.
_REFUSALS = (429, 503)


class MetadataStore:
    """Client of one store.

    ``timeout_ms`` bounds the wait for an answer.  ``on_call`` gets the name of each call.
    """

    def __init__(
        self,
        http: HttpClient,
        address: Address,
        timeout_ms: float,
        on_call: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._http = http
        self._address = address
        self._timeout_ms = timeout_ms
        self._on_call = on_call

    async def get(self, key: str, *, at_revision: int = 0) -> Result[KvEntry | None, Fault]:
        """See ``KvStore.get``.

        The store has no past revisions, so ``at_revision`` fails with ``KV_COMPACTED``.
        """
        if at_revision:
            return Err(Fault(ResultCode.KV_COMPACTED, f"{key}: the store has no past revisions"))
        result = await self._call("get", "GET", f"/api/kv-key?key={_quote(key)}", missing_ok=True)
        return result.and_then(_decoder(wire.Item, _entry_or_none))

    async def get_range(
        self, prefix: str, *, start_after: str = "", limit: int = 1000, keys_only: bool = False
    ) -> Result[KvPage, Fault]:
        """See ``KvStore.get_range``; the store chooses the page size and ignores ``limit``."""
        target = f"/api/kv-range?prefix={_quote(prefix)}"
        if start_after:
            target += f"&after={_quote(start_after)}"
        result = await self._call("range", "GET", target)
        return result.and_then(_decoder(wire.RangeAnswer, _page))

    async def changes(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Result[KvChanges, Fault]:
        """See ``KvChangeLog.changes``."""
        target = f"/api/kv-watch?prefix={_quote(prefix)}&after={after_revision}&waitMs={wait_ms}"
        timeout_ms = wait_ms + min(self._timeout_ms, _WATCH_MARGIN_MS)
        result = await self._call("watch", "GET", target, timeout_ms=timeout_ms)
        return result.and_then(_decoder(wire.WatchAnswer, _changes))

    async def transact(self, transaction: KvTransaction) -> Result[int, Fault]:
        """See ``KvTransactions.transact``."""
        body = wire.TxnRequest(
            expect=[
                wire.Expectation(key, revision)
                for key, revision in transaction.expected_revisions.items()
            ],
            writes=[
                wire.Write(key, base64.b64encode(value).decode(), transaction.lease_id)
                for key, value in transaction.writes.items()
            ],
            remove=list(transaction.removes),
        )
        result = await self._call("transact", "POST", "/api/kv-txn", body)
        return result.and_then(_decoder(wire.TxnAnswer, lambda answer: answer.revision))

    async def put_if(
        self, key: str, value: bytes, expected_revision: int, *, lease_id: int = 0
    ) -> Result[int, Fault]:
        """See ``KvStore.put_if``."""
        return await self.transact(
            KvTransaction({key: expected_revision}, writes={key: value}, lease_id=lease_id)
        )

    async def delete_if(self, key: str, expected_revision: int) -> Result[None, Fault]:
        """See ``KvStore.delete_if``."""
        transaction = KvTransaction({key: expected_revision}, removes=(key,))
        return (await self.transact(transaction)).map(lambda _: None)

    async def grant_lease(self, ttl_s: int) -> Result[int, Fault]:
        """See ``KvStore.grant_lease``."""
        body = wire.LeaseRequest(ttl_s * 1000)
        result = await self._call("lease", "POST", "/api/kv-lease", body)
        return result.and_then(_decoder(wire.LeaseAnswer, lambda answer: answer.lease))

    async def keep_lease(self, lease_id: int) -> Result[int, Fault]:
        """See ``KvStore.keep_lease``."""
        result = await self._call("keep", "POST", f"/api/kv-keep/{lease_id}", missing_ok=True)
        return result.and_then(_decoder(wire.LeaseAnswer, _ttl_s))

    async def revoke_lease(self, lease_id: int) -> Result[None, Fault]:
        """See ``KvStore.revoke_lease``; a lease that has already lapsed counts as revoked."""
        target = f"/api/kv-lease-end/{lease_id}"
        return (await self._call("revoke", "DELETE", target, missing_ok=True)).map(lambda _: None)

    @asynccontextmanager
    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator["trio.MemoryReceiveChannel[KvEvent | KvWatchGap]"]:
        """See ``KvStore.watch``."""
        sender, receiver = trio.open_memory_channel(_WATCH_BUFFER_EVENTS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._feed_watch, prefix, from_revision, sender)
            yield receiver
            nursery.cancel_scope.cancel()

    async def _feed_watch(
        self,
        prefix: str,
        from_revision: int,
        sender: "trio.MemorySendChannel[KvEvent | KvWatchGap]",
    ) -> None:
        revision = from_revision - 1
        async with sender:
            while True:
                result = await self.changes(prefix, revision, _WATCH_WAIT_MS)
                if isinstance(result, Err):
                    if result.err_value.code is ResultCode.KV_COMPACTED:
                        await sender.send(KvWatchGap(revision))
                    return
                for event in result.ok_value.events:
                    await sender.send(event)
                revision = result.ok_value.revision

    async def _call(
        self,
        name: str,
        method: str,
        target: str,
        body: msgspec.Struct | None = None,
        *,
        missing_ok: bool = False,
        timeout_ms: float = 0.0,
    ) -> Result[bytes | None, Fault]:
        """Make one call and return the body of the answer.

        With ``missing_ok`` a 404 is None and no fault.
        """
        self._on_call(name)
        writes = method != "GET"
        limit_ms = timeout_ms or self._timeout_ms
        data = b"" if body is None else msgspec.json.encode(body)
        try:
            with trio.fail_after(limit_ms / 1000):
                async with self._http.request(
                    self._address, method, target, [_JSON] if data else (), data
                ) as answer:
                    content = await answer.read(_MAX_ANSWER_BYTES)
        except NotSentError as error:
            return Err(_unavailable(str(error)))
        except (ResponseLostError, ResponseTooLargeError, trio.TooSlowError) as error:
            text = str(error) or f"no answer to {name} in {limit_ms:g} ms"
            return Err(_unknown_outcome(text) if writes else _unavailable(text))
        if answer.status == 200:
            return Ok(content)
        if answer.status == 404 and missing_ok:
            return Ok(None)
        return Err(_status_fault(name, answer.status, writes))


def _status_fault(name: str, status: int, writes: bool) -> Fault:
    text = f"the store answered {status} to {name}"
    if status in _STATUS_CODES:
        return Fault(_STATUS_CODES[status], text)
    if status in _REFUSALS or not writes:
        return _unavailable(text)
    return _unknown_outcome(text)


def _unavailable(text: str) -> Fault:
    return Fault(ResultCode.KV_UNAVAILABLE, text, _RETRY_AFTER_MS)


def _unknown_outcome(text: str) -> Fault:
    return Fault(ResultCode.KV_UNKNOWN, text, _RETRY_AFTER_MS)


def _decoder(kind: type[msgspec.Struct], convert: Callable) -> Callable:
    """Return a function that decodes a body as ``kind`` and converts it to the result's value.

    ``convert`` gets None for no body, which means that the key or lease does not exist.  An empty
    body is no document: an answer may have broken off before it.
    """

    def decode(content: bytes | None) -> Result:
        if content is None:
            return Ok(convert(None))
        try:
            return Ok(convert(decode_json(content, kind)))
        except ValueError as error:
            # The answer may belong to a write whose effect is unknown.
            return Err(_unknown_outcome(f"the store's answer cannot be read: {error}"))

    return decode


def _entry(item: wire.Item) -> KvEntry:
    return KvEntry(item.key, base64.b64decode(item.value), item.revision, item.lease)


def _entry_or_none(item: wire.Item | None) -> KvEntry | None:
    return None if item is None else _entry(item)


def _page(answer: wire.RangeAnswer) -> KvPage:
    return KvPage(tuple(_entry(item) for item in answer.items), answer.as_of, answer.truncated)


def _changes(answer: wire.WatchAnswer) -> KvChanges:
    events = tuple(
        KvEvent(item.key, item.revision, None if item.removed else _entry(item))
        for item in answer.events
    )
    return KvChanges(events, answer.as_of)


def _ttl_s(answer: wire.LeaseAnswer | None) -> int:
    """Return the remaining seconds of a lease, at least 1; 0 for one that has ended."""
    return 0 if answer is None else max(answer.ttl_ms // 1000, 1)


def _quote(text: str) -> str:
    return quote(text, safe="/")
