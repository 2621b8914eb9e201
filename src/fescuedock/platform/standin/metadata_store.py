"""Stand-in for the users' metadata store, with fault injection.

It uses the bodies of ``platform.store_wire`` and the same state as ``standin``'s key-value service.
"""

import base64
from dataclasses import dataclass, field
from functools import partial

import msgspec
import trio

from fescuedock.kv import KvEntry, KvEvent, KvTransaction
from fescuedock.net.http_server import Request, Responder
from fescuedock.platform import store_wire as wire
from fescuedock.platform.store import MAX_KEY_BYTES
from fescuedock.standin.kv_faults import CallKind, LostAnswer
from fescuedock.standin.kv_host import KvHost
from fescuedock.standin.kv_state import CompactedError, LeaseNotFoundError, prefix_end

__all__ = ["MetadataStoreService"]

MAX_VALUE_BYTES = 1024 * 1024
MAX_ENTRIES = 32
_MAX_BODY_BYTES = 64 * 1024 * 1024
_MAX_PAGE_ITEMS = 500
_MAX_PAGE_BYTES = 1024 * 1024

_KINDS = {
    ("GET", "kv-key"): CallKind.GET,
    ("GET", "kv-range"): CallKind.RANGE,
    ("GET", "kv-watch"): CallKind.WATCH,
    ("POST", "kv-txn"): CallKind.PUT,
    ("POST", "kv-lease"): CallKind.GRANT,
    ("POST", "kv-keep"): CallKind.KEEP,
    ("DELETE", "kv-lease-end"): CallKind.REVOKE,
}


@dataclass(frozen=True, slots=True)
class _Answer:
    """A status and a body; None is an empty body."""

    status: int
    body: msgspec.Struct | None = None


@dataclass(slots=True)
class MetadataStoreService(KvHost):
    """One metadata store; see ``KvHost`` for its state and faults."""

    # While not 0, the status of every answer: the store refuses this caller's calls.
    refuse_status: int = 0
    _changed: trio.Event = field(default_factory=trio.Event)

    def __post_init__(self) -> None:
        KvHost.__post_init__(self)
        self.state.listeners.append(self._signal_change)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Execute one call; a return without an answer cuts the connection."""
        body = await request.read(_MAX_BODY_BYTES)
        name, _, argument = request.path.removeprefix("/api/").partition("/")
        kind = _KINDS.get((request.method, name))
        if kind is None:
            await responder.send(404)
            return
        lost = self.faults.count(kind)
        if self.faults.silent:
            await trio.sleep_forever()
        await trio.sleep(self.faults.delay_s(kind))
        if self.faults.down or self.refuse_status:
            await responder.send(self.refuse_status or 503)
            return
        if kind is CallKind.WATCH:
            answer = await self._watch(request)
        elif lost is LostAnswer.LATE_EFFECT:
            self.execute_late(partial(self._execute, kind, request, argument, body))
            return
        elif lost is LostAnswer.BEFORE_EFFECT:
            return
        else:
            answer = self._execute(kind, request, argument, body)
        if answer is None or lost is LostAnswer.AFTER_EFFECT:
            return
        if answer.body is None:
            await responder.send(answer.status)
        else:
            await responder.send_json(answer.status, answer.body)

    # --- calls -----------------------------------------------------------------------------------

    def _execute(self, kind: CallKind, request: Request, argument: str, body: bytes) -> _Answer:
        self.state.expire(trio.current_time())
        match kind:
            case CallKind.GET:
                return self._get(request.query["key"])
            case CallKind.RANGE:
                return self._range(request.query["prefix"], request.query.get("after", ""))
            case CallKind.PUT:
                return self._transact(msgspec.json.decode(body, type=wire.TxnRequest))
            case CallKind.GRANT:
                return self._grant(msgspec.json.decode(body, type=wire.LeaseRequest))
            case CallKind.KEEP:
                ttl_s = self.state.renew(int(argument), trio.current_time())
                return _Answer(200, wire.LeaseAnswer(ttl_s * 1000)) if ttl_s else _Answer(404)
            case _:
                return _Answer(200 if self.state.revoke(int(argument)) else 404)

    def _get(self, key: str) -> _Answer:
        entry = self.state.get(key)
        return _Answer(404) if entry is None else _Answer(200, _item(entry))

    def _range(self, prefix: str, after: str) -> _Answer:
        start = max(prefix, after + "\0") if after else prefix
        page = self.state.page(start, prefix_end(prefix), _MAX_PAGE_ITEMS)
        items: list[wire.Item] = []
        size_bytes = 0
        for entry in page.entries:
            size_bytes += len(entry.value)
            if items and size_bytes > _MAX_PAGE_BYTES:
                break
            items.append(_item(entry))
        cut = page.more or len(items) < len(page.entries)
        return _Answer(200, wire.RangeAnswer(items, cut, self.state.revision))

    def _transact(self, request: wire.TxnRequest) -> _Answer:
        count = len(request.expect) + len(request.writes) + len(request.remove)
        values = {item.key: base64.b64decode(item.value) for item in request.writes}
        if count > MAX_ENTRIES or any(len(value) > MAX_VALUE_BYTES for value in values.values()):
            return _Answer(413)
        if any(len(key.encode()) > MAX_KEY_BYTES for key in values):
            return _Answer(400)
        leases = {item.lease for item in request.writes}
        transaction = KvTransaction(
            {item.key: item.revision for item in request.expect},
            values,
            request.remove,
            max(leases, default=0),
        )
        try:
            revision = self.state.transact(transaction)
        except LeaseNotFoundError:
            return _Answer(404)
        return _Answer(200, wire.TxnAnswer(revision)) if revision else _Answer(412)

    def _grant(self, request: wire.LeaseRequest) -> _Answer:
        lease_id = self.state.grant(request.ttl_ms // 1000, trio.current_time())
        return _Answer(200, wire.LeaseAnswer(request.ttl_ms, lease_id))

    # --- watches ---------------------------------------------------------------------------------

    async def _watch(self, request: Request) -> _Answer | None:
        """Wait until there is a change or the time is up; return None when the watch was cut."""
        prefix, after = request.query["prefix"], int(request.query["after"])
        cut = self.watches_cut
        with trio.move_on_after(int(request.query["waitMs"]) / 1000):
            while not (events := self._events(prefix, after)):
                if events is None or cut.is_set():
                    break
                await self._wait_change(cut)
        if cut.is_set():
            return None
        events = self._events(prefix, after)
        if events is None:
            return _Answer(410)
        return _Answer(200, wire.WatchAnswer(list(map(_change, events)), self.state.revision))

    def _events(self, prefix: str, after: int) -> list[KvEvent] | None:
        try:
            return self.state.events_since(prefix, prefix_end(prefix), after + 1)
        except CompactedError:
            return None

    async def _wait_change(self, cut: trio.Event) -> None:
        async with trio.open_nursery() as nursery:
            for event in (self._changed, cut):
                nursery.start_soon(_cancel_after, event, nursery.cancel_scope)

    def _signal_change(self, _event: KvEvent) -> None:
        self._changed.set()
        self._changed = trio.Event()


async def _cancel_after(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


def _item(entry: KvEntry) -> wire.Item:
    value = base64.b64encode(entry.value).decode()
    return wire.Item(entry.key, entry.mod_revision, value, entry.lease_id)


def _change(event: KvEvent) -> wire.Item:
    if event.entry is None:
        return wire.Item(event.key, event.revision, removed=True)
    return _item(event.entry)
