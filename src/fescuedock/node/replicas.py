"""Replicates prefixes of the key-value service at this node, from the service and from neighbours.

Each prefix has a loop that follows its changes.  One node of each group watches the service and
broadcasts updates; a node that receives none queries the service itself.  While the service does
not answer, the loop keeps trying, and neighbours that may know more are queried.
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
from fescuedock.core.kv_availability import KvAvailability
from fescuedock.core.replica_table import IsHeartbeat, ReplicaTable, no_heartbeat
from fescuedock.core.sender_clocks import SenderClocks
from fescuedock.errors import run_contained
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

__all__ = ["CallNeighbour", "Replicas", "StoreReader", "UpdateBroadcaster", "WatchedPrefix"]

# A table older than a watch by this margin is requested from neighbours.  Without faults a node
# receives updates more often (a pause of 300 ms and the transmission), and two neighbours can still
# answer before items stop for lack of updates.
_STALE_MARGIN_MS = 700.0
_NEIGHBOUR_INTERVAL_S = 0.4
_NEIGHBOUR_TIMEOUT_MS = 400.0
# A node answers in 1 to 7 ms.  A client may wait this long for a node that does not answer.
_SEND_TIMEOUT_MS = 100.0
# Neighbours queried at the same time.  While the store refuses half of the nodes, a single
# neighbour would be refused as well every other time, and could not confirm that nothing is newer.
_NEIGHBOURS_PER_QUERY = 3
# Minimum time between two queries of neighbours, however soon a table becomes stale.
_MIN_POLL_INTERVAL_S = 0.1
_MAX_AGE_MS = 2**31 - 1
# Random bits in the sender name, by which other nodes distinguish this process from earlier ones.
_SENDER_BITS = 64
# Time that an update may take beyond its watch: two usual answers of the service and the
# transmission.
_UPDATE_MARGIN_MS = 250.0
# How often a node that waits for updates checks whether it has become the watching node.  This may
# be slow, as a node that receives no update queries the service soon anyway; checks every 0.4 s
# were a sixth of an idle node's 41 wake-ups a second.
_DUTY_POLL_S = 1.0

# Calls a neighbour: its address, the message, the timeout in milliseconds.
CallNeighbour = Callable[[Address, msgspec.Struct, float], Awaitable[Result[msgspec.Struct, Fault]]]


class StoreReader(KvStore, KvChangeLog, Protocol):
    """A key-value service that can be read completely and watched for changes."""


class WatchedPrefix(msgspec.Struct, frozen=True):
    """A prefix, how long a watch of it is held, and the pause between two watches.

    Changes that ``is_heartbeat`` recognizes wake no task and are not broadcast.
    """

    prefix: str
    wait_ms: int
    pause_ms: int
    is_heartbeat: IsHeartbeat = no_heartbeat

    @property
    def update_timeout_ms(self) -> float:
        """The time without an update after which a node queries the service itself."""
        return self.wait_ms + self.pause_ms + _UPDATE_MARGIN_MS

    @property
    def max_certain_age_ms(self) -> float:
        """The age of certain knowledge after which a node queries the service despite updates.

        If a watch ends with changes, the table is certain only as of its start, until the next
        watch ends.
        """
        return self.wait_ms + self.update_timeout_ms


class UpdateBroadcaster(Protocol):
    """Sends updates to the other nodes of this node's group, one of which watches a prefix."""

    @property
    def vm_id(self) -> str:
        """This node's own name."""

    def address_of(self, vm_id: str) -> Address | None:
        """Return a node's address; None for an unknown node."""

    def watches(self, prefix: str) -> bool:
        """Whether this node watches ``prefix`` at the service for its group."""

    async def broadcast(self, message: msgspec.Struct) -> None:
        """Send ``message`` to the other nodes, without waiting for answers."""


class Replicas:
    """The tables of all watched prefixes.

    ``neighbours`` returns the addresses of nodes that may be queried.
    """

    def __init__(
        self,
        store: StoreReader,
        watched: Collection[WatchedPrefix],
        call_neighbour: CallNeighbour,
        neighbours: Callable[[], Collection[Address]],
        broadcaster: UpdateBroadcaster,
        rng: random.Random,
    ) -> None:
        self.tables: Mapping[str, ReplicaTable] = {
            item.prefix: ReplicaTable(item.prefix, item.is_heartbeat) for item in watched
        }
        self.kv_availability = KvAvailability()
        self._store = store
        self._watched = watched
        self._call_neighbour = call_neighbour
        self._neighbours = neighbours
        self._broadcaster = broadcaster
        self._rng = rng
        self._changed = trio.Event()
        # By prefix, set when an update of it is received.
        self._update_events = {item.prefix: trio.Event() for item in watched}
        # Prefixes with an update that starts after this node's revision: changes are missing.
        self._gaps: set[str] = set()
        # By prefix, the time of the last update, except for updates of unknown age, whose sender's
        # clock is not known.
        self._last_update_ms = dict.fromkeys(self.tables, float("-inf"))
        self._sender = f"{broadcaster.vm_id}/{rng.getrandbits(_SENDER_BITS):x}"
        self._clocks = SenderClocks()
        # Senders of updates whose clocks must be compared, and the event set when one is added.
        self._unknown_clocks: set[str] = set()
        self._clock_needed = trio.Event()
        # By prefix, the time of the last query that a neighbour with at least as much knowledge
        # answered.
        self._agreed_ms = dict.fromkeys(self.tables, float("-inf"))

    def handlers(self) -> dict[type[msgspec.Struct], CallHandler]:
        """Return the handlers by message type, to be merged with those of other services."""
        return {
            ReplicaRequest: self._on_request,
            ReplicaNews: self._on_update,
            ReplicaSnapshot: self._on_snapshot,
            ReplicaNoted: self._on_noted,
        }

    @property
    def version(self) -> int:
        """A number that increases whenever a table changes."""
        return sum(table.version for table in self.tables.values())

    async def wait_changed(self, seen_version: int) -> int:
        """Return the version as soon as it differs from ``seen_version``."""
        while self.version == seen_version:
            await self._changed.wait()
        return self.version

    def update_age_ms(self, prefix: str) -> float:
        """Return the time since the last update of a prefix, ignoring updates of unknown age."""
        return now_ms() - self._last_update_ms[prefix]

    def _record_update_time(self, prefix: str, received_ms: float) -> None:
        self._last_update_ms[prefix] = max(self._last_update_ms[prefix], received_ms)

    def record_entry(self, prefix: str, entry: KvEntry) -> None:
        """Apply an entry that this node has written or read itself."""
        self.tables[prefix].record_entry(entry)
        self._wake()

    async def run(self) -> None:
        """Follow all prefixes until cancelled."""
        async with trio.open_nursery() as nursery:
            for item in self._watched:
                nursery.start_soon(self._follow, item)
            nursery.start_soon(self._query_neighbours)
            nursery.start_soon(self._compare_clocks)

    # --- the service ---------------------------------------------------------------------------

    async def _follow(self, watched: WatchedPrefix) -> None:
        table = self.tables[watched.prefix]
        must_read_all = True
        while True:
            if not must_read_all and await self._wait_update(watched):
                continue
            if must_read_all:
                fault = await self._read_all(table)
            else:
                fault = await self._read_changes(table, watched)
            if fault is None:
                must_read_all = False
                self._record_store_answer()
                await trio.sleep(watched.pause_ms / 1000)
            elif fault.code is ResultCode.KV_COMPACTED:
                # The history was compacted, including changes that this node has not received.
                log_event("history_lost", prefix=table.prefix, revision=table.revision)
                must_read_all = True
                self._record_store_answer()
            else:
                # Changes during an outage may exceed the history that the service retains.
                self._record_store_failure(fault, table.prefix)
                await trio.sleep(
                    self._rng.uniform(0.7, 1.3) * self.kv_availability.pause_ms() / 1000
                )

    async def _wait_update(self, watched: WatchedPrefix) -> bool:
        """Wait for an update from the watching node; False when this node must query itself."""
        table = self.tables[watched.prefix]
        while not self._broadcaster.watches(watched.prefix):
            received_ms = table.confirmed_ms
            left_ms = min(
                watched.update_timeout_ms - table.age_ms(now_ms()),
                watched.max_certain_age_ms - table.as_of_age_ms(now_ms()),
            )
            if left_ms <= 0 or table.prefix in self._gaps:
                self._gaps.discard(table.prefix)
                return False
            with trio.move_on_after(min(left_ms / 1000, _DUTY_POLL_S)):
                await self._update_events[watched.prefix].wait()
            if table.confirmed_ms > received_ms:
                return True
        return False

    async def _read_all(self, table: ReplicaTable) -> Fault | None:
        entries: list[KvEntry] = []
        revision: int | None = None
        requested_ms = now_ms()
        start_after = ""
        while True:
            result = await self._store.get_range(table.prefix, start_after=start_after)
            if isinstance(result, Err):
                return result.err_value
            page = result.ok_value
            entries += page.entries
            # Pages are read one after the other, so the first revision counts: later changes are
            # delivered again by the watch.
            revision = page.revision if revision is None else revision
            if not page.more or not page.entries:
                break
            start_after = page.entries[-1].key
        before = table.version
        table.replace(entries, revision, requested_ms)
        self._record_update_time(table.prefix, requested_ms)
        self._wake_if(table.version != before)
        if self._broadcaster.watches(table.prefix):
            await self._broadcaster.broadcast(self._snapshot(table))
        return None

    async def _read_changes(self, table: ReplicaTable, watched: WatchedPrefix) -> Fault | None:
        before = table.version
        requested_ms = now_ms()
        result = await self._store.changes(table.prefix, table.revision, watched.wait_ms)
        if isinstance(result, Err):
            return result.err_value
        changes = result.ok_value
        from_revision = table.revision
        # A process that was suspended may read an answer long after it was sent.  Without changes
        # the store has held the watch for its full time; with changes it may have answered at once.
        as_of_ms = requested_ms if changes.events else min(requested_ms + watched.wait_ms, now_ms())
        events = table.apply(changes.events, changes.revision, now_ms(), as_of_ms)
        self._record_update_time(table.prefix, now_ms())
        self._wake_if(table.version != before)
        if self._broadcaster.watches(table.prefix):
            # Sent even without changes: other nodes query the service when they receive nothing,
            # and owners confirm results only while they receive updates.
            update = self._update_message(table, from_revision, changes.revision, events)
            await self._broadcaster.broadcast(update)
        return None

    def _record_store_answer(self) -> None:
        if self.kv_availability.record_answer(now_ms()):
            log_event("store_reached")

    def _record_store_failure(self, fault: Fault, prefix: str) -> None:
        if self.kv_availability.record_failure(now_ms()):
            log_event("store_lost", prefix=prefix, reason=fault.message)

    def _wake_if(self, changed: bool) -> None:
        if changed:
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    # --- updates ---------------------------------------------------------------------------------

    async def _on_update(self, message: ReplicaNews, _peer: ServerPeer) -> None:
        self.kv_availability.record_neighbour_answer(now_ms())
        table = self.tables.get(message.prefix)
        if table is None or not table.is_known:
            return
        self._signal_update(message.prefix)
        if message.from_revision > table.revision:
            self._gaps.add(message.prefix)
            return
        before = table.version
        if message.revision < table.revision:
            # The sender knows less than this node, so the update confirms no current state.
            table.apply(_events_of(message), message.revision, float("-inf"))
        else:
            sent_ms = self._sent_ms(message)
            received_ms = now_ms() if sent_ms == float("-inf") else sent_ms
            self._record_update_time(message.prefix, sent_ms)
            as_of_ms = sent_ms - message.as_of_age_ms
            table.apply(_events_of(message), message.revision, received_ms, as_of_ms)
        self._wake_if(table.version != before)

    def _sent_ms(self, message: ReplicaNews | ReplicaSnapshot) -> float:
        """Return when an unrequested message was sent, or an earlier time, by this process's clock.

        Negative infinity while the sender's clock is not known.
        """
        if not self._clocks.is_known(message.sender, now_ms()):
            self._unknown_clocks.add(message.sender)
            self._clock_needed.set()
        return self._clocks.earliest_sent_ms(message.sender, message.sent_ms, now_ms())

    async def _compare_clocks(self) -> None:
        """Query senders with unknown clocks, so that the age of their updates becomes known."""
        while True:
            await self._clock_needed.wait()
            self._clock_needed = trio.Event()
            senders, self._unknown_clocks = self._unknown_clocks, set()
            async with trio.open_nursery() as nursery:
                for sender in senders:
                    address = self._broadcaster.address_of(sender.partition("/")[0])
                    if address is not None:
                        request = ReplicaRequest({})
                        nursery.start_soon(
                            run_contained, "message", self._exchange, address, request
                        )

    async def _on_snapshot(self, message: ReplicaSnapshot, _peer: ServerPeer) -> None:
        self.kv_availability.record_neighbour_answer(now_ms())
        sent_ms = self._sent_ms(message)
        self._apply_snapshot(
            message, None, sent_ms, now_ms() if sent_ms == float("-inf") else sent_ms
        )
        if message.prefix in self._update_events:
            self._signal_update(message.prefix)

    def _signal_update(self, prefix: str) -> None:
        self._update_events[prefix].set()
        self._update_events[prefix] = trio.Event()

    # --- neighbours ----------------------------------------------------------------------------

    async def _query_neighbours(self) -> None:
        while True:
            addresses = list(self._neighbours())
            if self._time_to_stale_ms() <= 0 and addresses:
                async with trio.open_nursery() as nursery:
                    for address in self._rng.sample(
                        addresses, min(_NEIGHBOURS_PER_QUERY, len(addresses))
                    ):
                        nursery.start_soon(run_contained, "message", self._query, address)
            fresh_s = self._time_to_stale_ms() / 1000
            await trio.sleep(
                _NEIGHBOUR_INTERVAL_S if fresh_s <= 0 else max(fresh_s, _MIN_POLL_INTERVAL_S)
            )

    def _time_to_stale_ms(self) -> float:
        """Return the time until a table becomes stale; 0 or less if one is stale."""
        return min(
            item.wait_ms + _STALE_MARGIN_MS - self.tables[item.prefix].age_ms(now_ms())
            for item in self._watched
        )

    def agreed_age_ms(self, prefix: str) -> float:
        """Return the time since a queried neighbour knew nothing newer; 0 without neighbours.

        Neighbours are queried only while a table here is stale.
        """
        return now_ms() - self._agreed_ms[prefix] if self._neighbours() else 0.0

    async def _query(self, address: Address) -> None:
        request = ReplicaRequest({name: table.revision for name, table in self.tables.items()})
        requested_ms = now_ms()
        # A neighbour that knows less, or nothing yet, has nothing newer and can confirm nothing.
        for prefix in await self._exchange(address, request):
            self._agreed_ms[prefix] = requested_ms

    async def _exchange(self, address: Address, request: ReplicaRequest) -> set[str]:
        """Query a node and apply its answer; return the prefixes of which it knew as much."""
        requested_ms = now_ms()
        match await self._call_neighbour(address, request, _NEIGHBOUR_TIMEOUT_MS):
            case Ok(ReplicaReply() as reply):
                self._clocks.record_reply(reply.sender, requested_ms, reply.sent_ms)
                for snapshot in reply.snapshots:
                    self._apply_snapshot(snapshot, address, requested_ms, requested_ms)
                for noted in reply.noted:
                    self._apply_noted(noted)
                for prefix, age_ms in reply.ages_ms.items():
                    if prefix in self.tables:
                        self.tables[prefix].confirm(requested_ms - age_ms)
                        self._record_update_time(prefix, requested_ms - age_ms)
                known = {*reply.ages_ms, *(snapshot.prefix for snapshot in reply.snapshots)}
                return known & self.tables.keys()
        return set()

    def _apply_snapshot(
        self, snapshot: ReplicaSnapshot, source: Address | None, sent_ms: float, received_ms: float
    ) -> None:
        """Apply a snapshot sent no earlier than ``sent_ms`` and received at ``received_ms``."""
        table = self.tables.get(snapshot.prefix)
        if table is None or snapshot.revision <= table.revision:
            return
        before = table.version
        entries = [KvEntry(item.key, item.value, item.revision) for item in snapshot.entries]
        table.replace(entries, snapshot.revision, sent_ms - snapshot.as_of_age_ms)
        table.confirmed_ms = max(table.confirmed_ms, received_ms - snapshot.age_ms)
        self._record_update_time(table.prefix, sent_ms - snapshot.age_ms)
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
        requested = [
            (table, revision)
            for name, revision in message.revisions.items()
            if (table := self.tables.get(name)) is not None and table.is_known
        ]
        return ReplicaReply(
            [self._snapshot(table) for table, revision in requested if table.revision > revision],
            {
                table.prefix: _rounded_up_ms(table.as_of_age_ms(now_ms()))
                for table, revision in requested
                if table.revision == revision
            },
            # A node that wrote a key knows more than its table's revision shows: an outage may
            # have begun before any watch reported the write.
            noted=[
                ReplicaNoted(table.prefix, _entries_of(noted))
                for table, _ in requested
                if (noted := table.own_entries())
            ],
            sender=self._sender,
            sent_ms=int(now_ms()),
        )

    async def send_noted(self, address: Address, prefix: str, entry: KvEntry) -> bool:
        """Send an entry that this node has written to one node; return whether it answered."""
        message = ReplicaNoted(prefix, _entries_of([entry]))
        return (await self._call_neighbour(address, message, _SEND_TIMEOUT_MS)).is_ok()

    async def _on_noted(self, message: ReplicaNoted, _peer: ServerPeer) -> ReplicaNotedReply:
        self._apply_noted(message)
        return ReplicaNotedReply()

    def _apply_noted(self, message: ReplicaNoted) -> None:
        if message.prefix not in self.tables:
            return
        for item in message.entries:
            self.record_entry(message.prefix, KvEntry(item.key, item.value, item.revision))

    def _snapshot(self, table: ReplicaTable) -> ReplicaSnapshot:
        entries = _entries_of(table.entries.values())
        return ReplicaSnapshot(
            table.prefix,
            table.revision,
            _rounded_up_ms(table.age_ms(now_ms())),
            as_of_age_ms=_rounded_up_ms(table.as_of_age_ms(now_ms())),
            entries=entries,
            sender=self._sender,
            sent_ms=int(now_ms()),
        )

    def _update_message(
        self, table: ReplicaTable, from_revision: int, revision: int, events: Collection[KvEvent]
    ) -> ReplicaNews:
        entries = _entries_of(event.entry for event in events if event.entry is not None)
        return ReplicaNews(
            table.prefix,
            from_revision,
            revision,
            entries,
            removed={event.key: event.revision for event in events if event.entry is None},
            as_of_age_ms=_rounded_up_ms(table.as_of_age_ms(now_ms())),
            sender=self._sender,
            sent_ms=int(now_ms()),
        )


def _rounded_up_ms(age_ms: float) -> int:
    """Return an age as an integer for a message, rounded up."""
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
