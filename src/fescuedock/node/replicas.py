"""What this node knows of the key-value service, kept fresh from the service and from neighbours.

Each prefix has a loop that follows its changes.  One node of each group asks the service
and tells the others; one that hears nothing asks by itself.  While the service does not answer,
the loop goes on trying and neighbours that know more are asked instead.
"""

import math
import random
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from typing import Protocol

import msgspec
import trio
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.clock import now_ms
from fescuedock.core.replica_table import IsHeartbeat, ReplicaTable, no_heartbeat
from fescuedock.core.sender_clocks import SenderClocks
from fescuedock.core.store_contact import StoreContact
from fescuedock.faults import Fault
from fescuedock.kv import KvChangeLog, KvEntry, KvEvent, KvStore
from fescuedock.log import log_event
from fescuedock.net.channel import CallHandler, ServerPeer
from fescuedock.schema.replicas import (
    ReplicaEntry,
    ReplicaNews,
    ReplicaNoted,
    ReplicaNotedReply,
    ReplicaReply,
    ReplicaRequest,
    ReplicaSnapshot,
)
from fescuedock.schema.result_codes import ResultCode

__all__ = ["CallNeighbour", "Replicas", "Spread", "StoreReader", "Watched"]

# A table so much older than a watch is held is asked of a neighbour: longer than a node goes
# without news when all is well (a pause of 300 ms and the way), and early enough for two neighbours
# to answer before work stops for want of news.
_STALE_MS = 700.0
_NEIGHBOUR_INTERVAL_S = 0.4
_NEIGHBOUR_TIMEOUT_MS = 400.0
# A node answers in 1 to 7 ms.  So long, at the most, a client waits for one that does not.
_TELL_TIMEOUT_MS = 100.0
# Asked at once: while the store turns half of the nodes away, one alone would be such a node as
# well every other time, and its word that it knows nothing newer worth nothing.
_NEIGHBOURS = 3
# Between two looks at least, however soon a table may become stale.
_LEAST_LOOK_S = 0.1
_MAX_AGE_MS = 2**31 - 1
# Of the name by which others tell this process from its former ones.
_SENDER_BITS = 64
# What news may take beyond the watch that they come from: two of its usual answers and the way.
_NEWS_MARGIN_MS = 250.0
# How often a node that waits for news looks whether it has become the one that watches; one that
# hears nothing asks by itself soon after.  Every 0.4 s was a sixth of an idle node's 41 wake-ups a
# second.
_DUTY_LOOK_S = 1.0

# Calls a neighbour: its address, the message, the timeout in milliseconds.
CallNeighbour = Callable[[Address, msgspec.Struct, float], Awaitable[Result[msgspec.Struct, Fault]]]


class StoreReader(KvStore, KvChangeLog, Protocol):
    """A key-value service that can be read whole and asked for changes."""


class Watched(msgspec.Struct, frozen=True):
    """A prefix, how long a watch of it is held, and the pause between two watches.

    Those that ``is_heartbeat`` knows wake nobody and are not told to others.
    """

    prefix: str
    wait_ms: int
    pause_ms: int
    is_heartbeat: IsHeartbeat = no_heartbeat

    @property
    def patience_ms(self) -> float:
        """Return how long to wait for news before asking by oneself."""
        return self.wait_ms + self.pause_ms + _NEWS_MARGIN_MS

    @property
    def certain_ms(self) -> float:
        """Return how old a table may be for certain before asking by oneself, news or not.

        Changes at the end of one watch count from its beginning until the end of the next.
        """
        return self.wait_ms + self.patience_ms


class Spread(Protocol):
    """How news go to the nodes of this group."""

    @property
    def vm_id(self) -> str:
        """This node's own name."""

    def address_of(self, vm_id: str) -> Address | None:
        """Return where a node can be asked; None for one that is not known."""

    def watches(self, prefix: str) -> bool:
        """Whether this node asks the service for them."""

    async def tell(self, message: msgspec.Struct) -> None:
        """Send ``message`` to the others, without an answer."""


class Replicas:
    """The tables of all watched prefixes.

    ``neighbours`` gives the addresses of nodes that may be asked.
    """

    def __init__(
        self,
        store: StoreReader,
        watched: Collection[Watched],
        call_neighbour: CallNeighbour,
        neighbours: Callable[[], Collection[Address]],
        spread: Spread,
        rng: random.Random,
    ) -> None:
        self.tables: Mapping[str, ReplicaTable] = {
            item.prefix: ReplicaTable(item.prefix, item.is_heartbeat) for item in watched
        }
        self.contact = StoreContact()
        self._store = store
        self._watched = watched
        self._call_neighbour = call_neighbour
        self._neighbours = neighbours
        self._spread = spread
        self._rng = rng
        self._changed = trio.Event()
        # By prefix, set when news of it come.
        self._news = {item.prefix: trio.Event() for item in watched}
        # Prefixes of which news came that do not follow on from what is known.
        self._behind: set[str] = set()
        # By prefix, when it was last heard of but for news of any age: their sender's clock is not
        # known.
        self._dated_ms = dict.fromkeys(self.tables, float("-inf"))
        self._sender = f"{spread.vm_id}/{rng.getrandbits(_SENDER_BITS):x}"
        self._clocks = SenderClocks()
        # Senders of news whose clocks are to be compared, and what is set when there is one more.
        self._unknown_clocks: set[str] = set()
        self._clock_wanted = trio.Event()
        # By prefix, when last a neighbour was asked that knew as much as this node, or more.
        self._agreed_ms = dict.fromkeys(self.tables, float("-inf"))

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Handlers by message type, to be merged with those of other services."""
        return {
            ReplicaRequest: self._on_request,
            ReplicaNews: self._on_news,
            ReplicaSnapshot: self._on_snapshot,
            ReplicaNoted: self._on_noted,
        }

    @property
    def version(self) -> int:
        """Rises whenever a table changes."""
        return sum(table.version for table in self.tables.values())

    async def wait_changed(self, seen_version: int) -> int:
        """Return the version as soon as it is another than ``seen_version``."""
        while self.version == seen_version:
            await self._changed.wait()
        return self.version

    def heard_age_ms(self, prefix: str) -> float:
        """Return the time since a prefix was heard of, not counting news of unknown age."""
        return now_ms() - self._dated_ms[prefix]

    def _note_heard(self, prefix: str, heard_ms: float) -> None:
        self._dated_ms[prefix] = max(self._dated_ms[prefix], heard_ms)

    def note(self, prefix: str, entry: KvEntry) -> None:
        """Take a key that this node has itself written or read."""
        self.tables[prefix].record_entry(entry)
        self._wake()

    async def run(self) -> None:
        """Follow all prefixes until cancelled."""
        async with trio.open_nursery() as nursery:
            for item in self._watched:
                nursery.start_soon(self._follow, item)
            nursery.start_soon(self._ask_neighbours)
            nursery.start_soon(self._compare_clocks)

    # --- the service ---------------------------------------------------------------------------

    async def _follow(self, watched: Watched) -> None:
        table = self.tables[watched.prefix]
        read_whole = True
        while True:
            if not read_whole and await self._hears(watched):
                continue
            if read_whole:
                fault = await self._read_whole(table)
            else:
                fault = await self._read_changes(table, watched)
            if fault is None:
                read_whole = False
                self._note_answer()
                await trio.sleep(watched.pause_ms / 1000)
            elif fault.code is ResultCode.KV_COMPACTED:
                # The history is gone, and with it changes that were not heard of.
                log_event("history_lost", prefix=table.prefix, revision=table.revision)
                read_whole = True
                self._note_answer()
            else:
                # What came while the service was away may be more than its history keeps.
                self._note_failure(fault, table.prefix)
                await trio.sleep(self._rng.uniform(0.7, 1.3) * self.contact.pause_ms() / 1000)

    async def _hears(self, watched: Watched) -> bool:
        """Wait for news from the node that watches; False when this node has to ask itself."""
        table = self.tables[watched.prefix]
        while not self._spread.watches(watched.prefix):
            heard_ms = table.confirmed_ms
            left_ms = min(
                watched.patience_ms - table.age_ms(now_ms()),
                watched.certain_ms - table.as_of_age_ms(now_ms()),
            )
            if left_ms <= 0 or table.prefix in self._behind:
                self._behind.discard(table.prefix)
                return False
            with trio.move_on_after(min(left_ms / 1000, _DUTY_LOOK_S)):
                await self._news[watched.prefix].wait()
            if table.confirmed_ms > heard_ms:
                return True
        return False

    async def _read_whole(self, table: ReplicaTable) -> Fault | None:
        entries: list[KvEntry] = []
        revision: int | None = None
        asked_ms = now_ms()
        start_after = ""
        while True:
            result = await self._store.get_range(table.prefix, start_after=start_after)
            if isinstance(result, Err):
                return result.err_value
            page = result.ok_value
            entries += page.entries
            # Pages are read one after the other: what changes meanwhile comes again as a change.
            revision = page.revision if revision is None else revision
            if not page.more or not page.entries:
                break
            start_after = page.entries[-1].key
        before = table.version
        table.replace(entries, revision, asked_ms)
        self._note_heard(table.prefix, asked_ms)
        self._wake_if(table.version != before)
        if self._spread.watches(table.prefix):
            await self._spread.tell(self._snapshot(table))
        return None

    async def _read_changes(self, table: ReplicaTable, watched: Watched) -> Fault | None:
        before = table.version
        asked_ms = now_ms()
        result = await self._store.changes(table.prefix, table.revision, watched.wait_ms)
        if isinstance(result, Err):
            return result.err_value
        changes = result.ok_value
        from_revision = table.revision
        # An answer may have been read long after it was given, by a process that stood still for
        # one.  Without changes the store has held the watch for its whole time; with some it may
        # have answered at once.
        as_of_ms = asked_ms if changes.events else min(asked_ms + watched.wait_ms, now_ms())
        events = table.apply(changes.events, changes.revision, now_ms(), as_of_ms)
        self._note_heard(table.prefix, now_ms())
        self._wake_if(table.version != before)
        if self._spread.watches(table.prefix):
            # Also when nothing has changed: others ask by themselves when they hear nothing, and
            # owners vouch for results only while they hear.
            news = self._news_of(table, from_revision, changes.revision, events)
            await self._spread.tell(news)
        return None

    def _note_answer(self) -> None:
        if self.contact.record_answer(now_ms()):
            log_event("store_reached")

    def _note_failure(self, fault: Fault, prefix: str) -> None:
        if self.contact.record_failure(now_ms()):
            log_event("store_lost", prefix=prefix, reason=fault.message)

    def _wake_if(self, changed: bool) -> None:
        if changed:
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    # --- news ------------------------------------------------------------------------------------

    async def _on_news(self, message: ReplicaNews, _peer: ServerPeer) -> None:
        self.contact.record_neighbour_answer(now_ms())
        table = self.tables.get(message.prefix)
        if table is None or not table.is_known:
            return
        self._note_news(message.prefix)
        if message.from_revision > table.revision:
            self._behind.add(message.prefix)
            return
        before = table.version
        if message.revision < table.revision:
            # Its sender knows less than this node: that says nothing of now.
            table.apply(_events_of(message), message.revision, float("-inf"))
        else:
            sent_ms = self._sent_ms(message)
            heard_ms = now_ms() if sent_ms == float("-inf") else sent_ms
            self._note_heard(message.prefix, sent_ms)
            as_of_ms = sent_ms - message.as_of_age_ms
            table.apply(_events_of(message), message.revision, heard_ms, as_of_ms)
        self._wake_if(table.version != before)

    def _sent_ms(self, message: ReplicaNews | ReplicaSnapshot) -> float:
        """Return when a message that was not asked for was sent, or a time before that.

        By this process's clock; infinitely long ago while its sender's clock is not known.
        """
        if not self._clocks.is_known(message.sender, now_ms()):
            self._unknown_clocks.add(message.sender)
            self._clock_wanted.set()
        return self._clocks.earliest_sent_ms(message.sender, message.sent_ms, now_ms())

    async def _compare_clocks(self) -> None:
        """Ask senders whose clocks are not known, so that the age of their news becomes known."""
        while True:
            await self._clock_wanted.wait()
            self._clock_wanted = trio.Event()
            senders, self._unknown_clocks = self._unknown_clocks, set()
            async with trio.open_nursery() as nursery:
                for sender in senders:
                    address = self._spread.address_of(sender.partition("/")[0])
                    if address is not None:
                        nursery.start_soon(self._call, address, ReplicaRequest({}))

    async def _on_snapshot(self, message: ReplicaSnapshot, _peer: ServerPeer) -> None:
        self.contact.record_neighbour_answer(now_ms())
        sent_ms = self._sent_ms(message)
        self._take(message, None, sent_ms, now_ms() if sent_ms == float("-inf") else sent_ms)
        if message.prefix in self._news:
            self._note_news(message.prefix)

    def _note_news(self, prefix: str) -> None:
        self._news[prefix].set()
        self._news[prefix] = trio.Event()

    # --- neighbours ----------------------------------------------------------------------------

    async def _ask_neighbours(self) -> None:
        while True:
            addresses = list(self._neighbours())
            if self._fresh_ms() <= 0 and addresses:
                async with trio.open_nursery() as nursery:
                    for address in self._rng.sample(addresses, min(_NEIGHBOURS, len(addresses))):
                        nursery.start_soon(self._ask, address)
            fresh_s = self._fresh_ms() / 1000
            await trio.sleep(_NEIGHBOUR_INTERVAL_S if fresh_s <= 0 else max(fresh_s, _LEAST_LOOK_S))

    def _fresh_ms(self) -> float:
        """Return the time until a table becomes stale; 0 or less when one is."""
        return min(
            item.wait_ms + _STALE_MS - self.tables[item.prefix].age_ms(now_ms())
            for item in self._watched
        )

    def agreed_age_ms(self, prefix: str) -> float:
        """Return the time since a neighbour that was asked knew nothing newer; 0 without any.

        Neighbours are asked only while a table here is stale.
        """
        return now_ms() - self._agreed_ms[prefix] if self._neighbours() else 0.0

    async def _ask(self, address: Address) -> None:
        request = ReplicaRequest({name: table.revision for name, table in self.tables.items()})
        asked_ms = now_ms()
        # One that knows less, or nothing yet, has nothing newer to tell and can vouch for nothing.
        for prefix in await self._call(address, request):
            self._agreed_ms[prefix] = asked_ms

    async def _call(self, address: Address, request: ReplicaRequest) -> set[str]:
        """Ask a node and take what it answers; return the prefixes of which it knew as much."""
        asked_ms = now_ms()
        match await self._call_neighbour(address, request, _NEIGHBOUR_TIMEOUT_MS):
            case Ok(ReplicaReply() as reply):
                self._clocks.record_reply(reply.sender, asked_ms, reply.sent_ms)
                for snapshot in reply.snapshots:
                    self._take(snapshot, address, asked_ms, asked_ms)
                for noted in reply.noted:
                    self._take_noted(noted)
                for prefix, age_ms in reply.ages_ms.items():
                    if prefix in self.tables:
                        self.tables[prefix].confirm(asked_ms - age_ms)
                        self._note_heard(prefix, asked_ms - age_ms)
                known = {*reply.ages_ms, *(snapshot.prefix for snapshot in reply.snapshots)}
                return known & self.tables.keys()
        return set()

    def _take(
        self, snapshot: ReplicaSnapshot, source: Address | None, sent_ms: float, heard_ms: float
    ) -> None:
        """Take a snapshot that was sent no earlier than ``sent_ms``, heard of at ``heard_ms``."""
        table = self.tables.get(snapshot.prefix)
        if table is None or snapshot.revision <= table.revision:
            return
        before = table.version
        entries = [KvEntry(item.key, item.value, item.revision) for item in snapshot.entries]
        table.replace(entries, snapshot.revision, sent_ms - snapshot.as_of_age_ms)
        table.confirmed_ms = max(table.confirmed_ms, heard_ms - snapshot.age_ms)
        self._note_heard(table.prefix, sent_ms - snapshot.age_ms)
        if table.version != before:
            log_event(
                "replica_from_neighbour",
                prefix=table.prefix,
                revision=table.revision,
                age_ms=snapshot.age_ms,
                source="" if source is None else str(source),
            )
            self._wake()

    async def _on_request(self, message: ReplicaRequest, _peer: ServerPeer) -> ReplicaReply:
        asked = [
            (table, revision)
            for name, revision in message.revisions.items()
            if (table := self.tables.get(name)) is not None and table.is_known
        ]
        return ReplicaReply(
            [self._snapshot(table) for table, revision in asked if table.revision > revision],
            {
                table.prefix: _whole_ms(table.as_of_age_ms(now_ms()))
                for table, revision in asked
                if table.revision == revision
            },
            # Whoever wrote a key knows more than its table's revision says: an outage may have
            # begun before any watch told of it.
            noted=[
                ReplicaNoted(table.prefix, _entries_of(noted))
                for table, _ in asked
                if (noted := table.own_entries())
            ],
            sender=self._sender,
            sent_ms=int(now_ms()),
        )

    async def tell_noted(self, address: Address, prefix: str, entry: KvEntry) -> bool:
        """Tell one node of a key that this node has written; return whether it has answered."""
        message = ReplicaNoted(prefix, _entries_of([entry]))
        return (await self._call_neighbour(address, message, _TELL_TIMEOUT_MS)).is_ok()

    async def _on_noted(self, message: ReplicaNoted, _peer: ServerPeer) -> ReplicaNotedReply:
        self._take_noted(message)
        return ReplicaNotedReply()

    def _take_noted(self, message: ReplicaNoted) -> None:
        if message.prefix not in self.tables:
            return
        for item in message.entries:
            self.note(message.prefix, KvEntry(item.key, item.value, item.revision))

    def _snapshot(self, table: ReplicaTable) -> ReplicaSnapshot:
        entries = _entries_of(table.entries.values())
        return ReplicaSnapshot(
            table.prefix,
            table.revision,
            _whole_ms(table.age_ms(now_ms())),
            as_of_age_ms=_whole_ms(table.as_of_age_ms(now_ms())),
            entries=entries,
            sender=self._sender,
            sent_ms=int(now_ms()),
        )

    def _news_of(
        self, table: ReplicaTable, from_revision: int, revision: int, events: Collection[KvEvent]
    ) -> ReplicaNews:
        entries = _entries_of(event.entry for event in events if event.entry is not None)
        return ReplicaNews(
            table.prefix,
            from_revision,
            revision,
            entries,
            removed={event.key: event.revision for event in events if event.entry is None},
            as_of_age_ms=_whole_ms(table.as_of_age_ms(now_ms())),
            sender=self._sender,
            sent_ms=int(now_ms()),
        )


def _whole_ms(age_ms: float) -> int:
    """Return an age for a message, rounded up."""
    return math.ceil(min(age_ms, _MAX_AGE_MS))


def _entries_of(entries: Iterable[KvEntry]) -> list[ReplicaEntry]:
    return [ReplicaEntry(entry.key, entry.mod_revision, entry.value) for entry in entries]


def _events_of(message: ReplicaNews) -> list[KvEvent]:
    written = [
        KvEvent(item.key, item.revision, KvEntry(item.key, item.value, item.revision))
        for item in message.entries
    ]
    removed = [KvEvent(key, revision, None) for key, revision in message.removed.items()]
    return written + removed
