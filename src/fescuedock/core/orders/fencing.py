"""Decides which agent may send orders to an upstream: one holder at a time, by compare-and-swap.

Each write of the upstream's record by its holder starts a lease on the holder's own clock, counted
from before the write was sent.  Another agent takes over only after it has seen the record
unchanged for a full lease and margin.  Engines that check the fencing number, which every order
raises, reject orders that a paused holder still sends.  For engines that ignore it, the former
holder sends nothing in the last ``margin_ms`` of its lease, and the new holder first waits for the
longest duration of an order.

An order is written to the record before it is sent.  A new holder sends that order again before any
other, so that orders are never executed out of sequence.
"""

from enum import StrEnum
from math import inf

import msgspec

from fescuedock.core.orders.placement import after_order
from fescuedock.core.orders.steps import ReadRecord, SendOrder, SendOutcome, Step, Wait, Write
from fescuedock.schema.orders import EngineState, OrderRecord, PlannedOrder
from fescuedock.schema.settings import OrderSettings

__all__ = ["OrderHolder", "Phase"]

_RENEWALS_PER_LEASE = 3


class Phase(StrEnum):
    """State of an agent with respect to the lease on one upstream."""

    # The record must be read.
    UNKNOWN = "unknown"
    # Another agent holds the lease, according to the last known record.
    OBSERVING = "observing"
    # No agent holds the lease, according to the last known record.
    FREE = "free"
    HOLDING = "holding"


class OrderHolder(msgspec.Struct):
    """State machine of one agent for the orders of one upstream.

    ``holder_id`` identifies one run of one agent.  The caller executes what ``step`` returns and
    reports the outcome through ``on_read``, ``on_write`` or ``on_order_sent``.  ``renewal`` may be
    written while an order is in progress.
    """

    holder_id: str
    engine_checks_fencing: bool
    settings: OrderSettings
    phase: Phase = Phase.UNKNOWN
    # The engine's state according to the record and this agent's own orders.
    state: EngineState = msgspec.field(default_factory=EngineState)
    _record: OrderRecord | None = None
    _revision: int = 0
    _beat: int = 0
    _unchanged_since_ms: float = inf
    _lease_began_ms: float = -inf
    # Until then orders of the former holder may take effect at an engine that ignores the number.
    _foreign_orders_end_ms: float = -inf
    # Until then an own order with an unknown outcome may take effect there.
    _own_orders_end_ms: float = -inf
    _paused_until_ms: float = -inf
    _pending: Write | None = None
    _pending_sent_ms: float = -inf
    _finished_sequence: int = -1
    _fencing_increment: int = 1
    _raise_before_send: bool = False

    @property
    def current(self) -> PlannedOrder | None:
        """The order that was begun and is not known to be done."""
        return self._record.current[0] if self._record and self._record.current else None

    @property
    def fencing(self) -> int:
        return self._record.fencing if self._record else 0

    @property
    def is_holding(self) -> bool:
        """Whether this agent acquired the lease and does not know that it lost it."""
        return self.phase is Phase.HOLDING

    @property
    def lease_end_ms(self) -> float:
        """When this agent must stop sending orders, on its own clock."""
        return self._lease_began_ms + self.settings.lease_ms - self.settings.margin_ms

    @property
    def renewal_due_ms(self) -> float:
        """When ``renewal`` is due next."""
        return self._lease_began_ms + self.settings.lease_ms / _RENEWALS_PER_LEASE

    def step(self, next_order: PlannedOrder | None, now_ms: float) -> Step:
        """Return what to do now; ``next_order`` follows from ``state``, None if there is none."""
        if now_ms < self._paused_until_ms and not self.is_holding:
            return Wait(self._paused_until_ms)
        if self._pending is not None or self.phase is Phase.UNKNOWN:
            return ReadRecord()
        if self.phase is Phase.HOLDING:
            return self._step_holding(next_order, now_ms)
        if next_order is None and self.current is None:
            return Wait(inf)
        if self.phase is Phase.FREE:
            return self._acquire()
        return self._step_observing(now_ms)

    def renewal(self, now_ms: float) -> Write | None:
        """Return the write that renews the lease, if it is due."""
        if not self.is_holding or self._pending is not None or now_ms < self.renewal_due_ms:
            return None
        return self._next_write()

    def begin_write(self, write: Write, now_ms: float) -> None:
        """Record that ``write`` is about to be sent; the lease it starts counts from now."""
        self._pending = write
        self._pending_sent_ms = now_ms

    def on_write(self, revision: int | None, certain: bool, now_ms: float) -> None:
        """Handle the outcome of the pending write: its new revision, or None when it failed.

        ``certain`` means that a failed write neither took effect nor ever will, as the key is at
        another revision.
        """
        if revision is not None:
            self._apply_write(revision, now_ms)
        elif certain:
            self._pending = None
            self._lose_lease()

    def on_read(self, record: OrderRecord | None, revision: int, now_ms: float) -> None:
        """Handle the record as read; ``record`` is None when there is none."""
        pending, self._pending = self._pending, None
        if pending is not None and record == pending.record:
            self._pending = pending
            self._apply_write(revision, now_ms)
        elif self.is_holding and revision == self._revision:
            # The write has not taken effect.  If it does later, the next write fails and the record
            # is read again.
            return
        else:
            self._observe(record, revision, now_ms)

    def on_order_sent(self, outcome: SendOutcome, now_ms: float) -> None:
        """Handle the outcome of the order that ``SendOrder`` requested."""
        if not self.is_holding or self.current is None:
            return
        match outcome:
            case SendOutcome.DONE:
                self.state = after_order(self.state, self.current)
                self._fencing_increment = 1
                self._clear_current()
            case SendOutcome.REJECTED:
                self._clear_current()
                self._paused_until_ms = now_ms + self.settings.retry_ms
            case SendOutcome.SUPERSEDED:
                # Read the record to find the current holder.  If it is still this agent, the
                # numbers decreased with a restore of the key-value service, and are raised by more
                # each time.
                self._fencing_increment *= 2
                self._paused_until_ms = now_ms + self.settings.retry_ms
                self._lose_lease()
            case SendOutcome.NOT_SENT:
                self._paused_until_ms = now_ms + self.settings.retry_ms
            case SendOutcome.UNKNOWN:
                self._raise_before_send = True
                self._own_orders_end_ms = now_ms + self.settings.longest_order_ms
                self._paused_until_ms = now_ms + self.settings.retry_ms

    def _step_observing(self, now_ms: float) -> Step:
        lease_ms = max(self._record.lease_ms, self.settings.lease_ms)
        free_ms = self._unchanged_since_ms + lease_ms + self.settings.margin_ms
        return self._acquire() if now_ms >= free_ms else Wait(free_ms)

    def _step_holding(self, next_order: PlannedOrder | None, now_ms: float) -> Step:
        if now_ms >= min(self.renewal_due_ms, self.lease_end_ms):
            return self._next_write()
        ready_ms = self._paused_until_ms
        if not self.engine_checks_fencing:
            ready_ms = max(ready_ms, self._foreign_orders_end_ms)
            if self.current is None:
                # Sending the same order again is harmless; any other order must wait.
                ready_ms = max(ready_ms, self._own_orders_end_ms)
        if now_ms < ready_ms:
            return Wait(min(ready_ms, self.renewal_due_ms))
        if self.current is not None:
            return self._send_current()
        if next_order is not None:
            return self._next_write(begin=next_order)
        return self._next_write(release=True)

    def _send_current(self) -> Step:
        if self._raise_before_send:
            return self._next_write(raise_fencing=True)
        return SendOrder(self.current, self.fencing, self.lease_end_ms)

    def _acquire(self) -> Write:
        previous = self._record or OrderRecord(fencing=0, holder="", lease_ms=0, beat=0)
        acquired = msgspec.structs.replace(
            previous,
            fencing=previous.fencing + self._fencing_increment,
            holder=self.holder_id,
            lease_ms=self.settings.lease_ms,
            beat=self._next_beat(),
            state=self.state,
        )
        return Write(acquired, self._revision)

    def _next_write(
        self,
        *,
        begin: PlannedOrder | None = None,
        raise_fencing: bool = False,
        release: bool = False,
    ) -> Write:
        record = msgspec.structs.replace(self._record, beat=self._next_beat(), state=self.state)
        if begin is not None:
            record.sequence += 1
            record.current = [begin]
        if begin is not None or raise_fencing:
            record.fencing += 1
        if release:
            record.holder = ""
        return Write(record, self._revision)

    def _next_beat(self) -> int:
        """Return a number unique among this agent's writes, which identifies its own writes."""
        self._beat = max(self._beat, self._record.beat if self._record else 0) + 1
        return self._beat

    def _apply_write(self, revision: int, now_ms: float) -> None:
        written, self._pending = self._pending.record, None
        had_holder = self._record is not None and bool(self._record.holder)
        raised = self._record is not None and written.fencing > self._record.fencing
        if written.current and written.sequence == self._finished_sequence:
            # The order ended while this write was in transit.
            written = msgspec.structs.replace(written, current=[], state=self.state)
        self._record, self._revision = written, revision
        self._lease_began_ms = self._pending_sent_ms
        if not written.holder:
            self.phase = Phase.FREE
        elif self.phase is not Phase.HOLDING:
            self.phase = Phase.HOLDING
            self.state = written.state
            self._raise_before_send = False
            if had_holder:
                self._foreign_orders_end_ms = now_ms + self.settings.longest_order_ms
        elif raised:
            self._raise_before_send = False

    def _clear_current(self) -> None:
        self._finished_sequence = self._record.sequence
        self._record = msgspec.structs.replace(self._record, current=[], state=self.state)

    def _lose_lease(self) -> None:
        self.phase = Phase.UNKNOWN
        self._lease_began_ms = -inf
        self._raise_before_send = False

    def _observe(self, record: OrderRecord | None, revision: int, now_ms: float) -> None:
        if revision != self._revision or self._unchanged_since_ms == inf:
            self._unchanged_since_ms = now_ms
        self._record, self._revision = record, revision
        self.state = record.state if record else EngineState()
        self._finished_sequence = -1
        self._lease_began_ms = -inf
        held = record is not None and record.holder
        self.phase = Phase.OBSERVING if held else Phase.FREE
