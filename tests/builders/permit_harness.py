"""Simulation of one upstream, its owners and two holders in virtual time, with message loss."""

from dataclasses import dataclass, field

from fescuedock.core.permits.actions import Action, Granted, Refused, Revoked
from fescuedock.core.permits.holder import GrantRegistry, HeldGrant
from fescuedock.core.permits.owner import OwnedUpstream, PermitOwner
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.schema.config import Objectives
from fescuedock.schema.permits import (
    AttemptOutcome,
    LoadSnapshot,
    PermitAsk,
    PermitRenew,
    PermitsEnded,
    WorkClass,
)
from fescuedock.schema.settings import PermitSettings
from tests.builders.permits import SERVICE, VALID_MS, ask_for, end_of

__all__ = ["HOLDERS", "LIMIT", "PermitHarness"]

LIMIT = 4
TICK_MS = 200.0
UPSTREAM = "u1"
HOLDERS = ("h1", "h2")


@dataclass(slots=True)
class PermitHarness:
    """``owner_of`` is each holder's belief about who owns the upstream; the two may differ."""

    now_ms: float = 0.0
    owners: list[PermitOwner] = field(default_factory=list)
    owner_of: dict[str, int] = field(default_factory=dict)
    books: dict[str, GrantRegistry] = field(default_factory=dict)
    # The attempts actually running at the upstream, by identity.
    running: dict[str, PermitAsk] = field(default_factory=dict)
    waiting: dict[str, PermitAsk] = field(default_factory=dict)
    # Revoked attempts whose revocation has not reached the holder yet.
    revoking: dict[str, str] = field(default_factory=dict)
    paused: set[int] = field(default_factory=set)
    # Owners that died, or that know they no longer own the upstream.
    retired: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.books = {holder_id: GrantRegistry() for holder_id in HOLDERS}
        self.owner_of = dict.fromkeys(HOLDERS, self.add_owner())
        self.advance(VALID_MS)

    def add_owner(self) -> int:
        """Start an owner without any state; return its number."""
        owner = PermitOwner(PermitSettings(start_limit=LIMIT, quiet_ms=0), VALID_MS)
        terms = UpstreamTerms(Objectives(online_weight=0.0), max_in_flight=LIMIT)
        owner.set_upstreams({UPSTREAM: OwnedUpstream(SERVICE, terms)}, {SERVICE: 1}, self.now_ms)
        self.owners.append(owner)
        return len(self.owners) - 1

    def retire(self, number: int) -> None:
        """Notify an owner that it no longer owns the upstream."""
        self.perform(self.owners[number].set_upstreams({}, {SERVICE: 0}, self.now_ms))
        self.retired.add(number)

    def load(self, number: int) -> LoadSnapshot:
        return self.owners[number].load(UPSTREAM, self.now_ms)

    def ask(self, holder_id: str, work_class: WorkClass, reply_lost: bool = False) -> list[Action]:
        """Request a permit from the owner that the holder knows.

        The holder abandons a request whose reply is lost at once.
        """
        wait_ms = VALID_MS if work_class is WorkClass.BATCH else 0
        ask = ask_for(work_class, holder_id=holder_id, upstream_id=UPSTREAM, wait_ms=wait_ms)
        number = self.owner_of[holder_id]
        if number in self.paused:
            return []
        actions = self.owners[number].submit(ask, self.now_ms)
        if reply_lost:
            self.perform([item for item in actions if isinstance(item, Revoked)])
            self.books[holder_id].abandon(end_of(ask, AttemptOutcome.CANCELLED))
        else:
            self.waiting[ask.attempt_id] = ask
            self.perform(actions)
        return actions

    def perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Revoked():
                    self.revoking[action.permit_id] = action.holder_id
                case Refused():
                    self.waiting.pop(action.request.attempt_id, None)
                case Granted():
                    self._start(action)

    def deliver_revocations(self) -> None:
        for permit_id in tuple(self.revoking):
            del self.revoking[permit_id]
            if permit_id in self.running:
                self.end(permit_id, AttemptOutcome.REVOKED)

    def end(self, attempt_id: str, outcome: AttemptOutcome) -> None:
        ask = self.running.pop(attempt_id)
        self.books[ask.holder_id].end(end_of(ask, outcome))

    def report(self, holder_id: str, lost: bool = False) -> None:
        """Send the unreported ends of one holder; lost ones are not repeated."""
        message = PermitsEnded(holder_id, self.books[holder_id].drain_ended())
        number = self.owner_of[holder_id]
        if not lost and number not in self.paused:
            self.perform(self.owners[number].end(message, self.now_ms))

    def renew(self, holder_id: str, lost: bool = False) -> None:
        book = self.books[holder_id]
        held = [grant.as_held(self.now_ms) for grant in book]
        number = self.owner_of[holder_id]
        if lost or number in self.paused or not held:
            return
        renewal = self.owners[number].renew(PermitRenew(holder_id, held), self.now_ms)
        self.perform(renewal.actions)
        if renewal.reply.loads:
            valid_ms = self.now_ms + renewal.reply.valid_ms
            book.record_renewal([item.permit_id for item in held], valid_ms)
        for permit_id in renewal.reply.revoked:
            if permit_id in self.running:
                self.end(permit_id, AttemptOutcome.REVOKED)

    def advance(self, by_ms: float) -> None:
        """Advance the time of all but paused owners; holders end attempts with expired permits."""
        end_ms = self.now_ms + by_ms
        while self.now_ms < end_ms:
            self.now_ms = min(self.now_ms + TICK_MS, end_ms)
            self._tick()

    def _tick(self) -> None:
        for number, owner in enumerate(self.owners):
            if number not in self.paused | self.retired:
                self.perform(owner.tick(self.now_ms))
        for book in self.books.values():
            for permit_id in book.lapsed(self.now_ms):
                self.end(permit_id, AttemptOutcome.REVOKED)

    def count(self, work_class: WorkClass) -> int:
        return sum(ask.work_class is work_class for ask in self.running.values())

    def _start(self, action: Granted) -> None:
        ask = action.request
        if self.waiting.pop(ask.attempt_id, None) is None:
            return
        self.running[ask.attempt_id] = ask
        valid_until_ms = self.now_ms + action.valid_ms
        self.books[ask.holder_id].add(HeldGrant(ask, self.now_ms, valid_until_ms))
