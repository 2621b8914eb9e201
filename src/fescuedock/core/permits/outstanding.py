"""The permits that are out for one upstream: exact counts, expiry, and which to take back first."""

from collections.abc import Mapping

import msgspec

from fescuedock.core.permits.prediction import AttemptStart
from fescuedock.core.permits.queued import batch_rank
from fescuedock.schema.permits import BatchStage, HeldPermit, PermitAsk, WorkClass

__all__ = ["Concurrency", "OutstandingPermit", "OutstandingPermits"]

# As many runs of an item in a row may be cut off before their first event like any other.
_PROTECTED_MIN_BARREN_RUNS = 2


class OutstandingPermit(msgspec.Struct):
    """One permit that is out.  Its identity is that of the attempt."""

    permit_id: str
    holder_id: str
    member: str
    work_class: WorkClass
    due_ms: float
    granted_ms: float
    expires_ms: float
    stage: BatchStage = BatchStage.FRESH
    # Overdue work that got its turn: late as it is, it gives way like other work that has begun.
    granted_as_overdue: bool = False
    # Runs of its work in a row that were cut off before their first event.
    barren_runs: int = 0
    # When its run will be over, as far as its holder can tell; 0 when it says nothing.
    expected_end_ms: float = 0.0
    prompt_tokens: int = 0
    generated_tokens: int = 0
    # From its grant; below 0 while there is none.
    first_token_ms: float = -1.0
    # Begin of the window whose token rate is to be seen next, and the tokens there were by then.
    window_start_ms: float = 0.0
    window_tokens: int = 0
    # Attempt-milliseconds of the upstream, and those of batch, up to the window's begin.
    attempt_ms_at_window: float = 0.0
    batch_attempt_ms_at_window: float = 0.0
    revoked_ms: float | None = None
    # Nothing else may begin at the upstream while it is out.
    isolated: bool = False
    # What its customer was charged for it in the queue; 0 where nobody else waited.
    charged_tokens: float = 0.0
    # Set until the time to the first token has been taken into account.
    start: AttemptStart | None = None

    @classmethod
    def granted(
        cls, ask: PermitAsk, start: AttemptStart, now_ms: float, valid_ms: int
    ) -> "OutstandingPermit":
        return cls(
            permit_id=ask.attempt_id,
            holder_id=ask.holder_id,
            member=ask.member,
            work_class=ask.work_class,
            due_ms=now_ms + ask.slack_ms,
            granted_ms=now_ms,
            expires_ms=now_ms + valid_ms,
            stage=ask.stage,
            expected_end_ms=now_ms + ask.left_ms if ask.left_ms else 0.0,
            prompt_tokens=ask.prompt_tokens,
            isolated=ask.alone,
            barren_runs=ask.barren_runs,
            start=start,
        )

    @classmethod
    def adopted(
        cls, holder_id: str, permit: HeldPermit, now_ms: float, valid_ms: int
    ) -> "OutstandingPermit":
        """Take in a permit that another owner gave, from its holder's renewal.

        How it started is not known, so its first token is no evidence.
        """
        held = cls(
            permit_id=permit.permit_id,
            holder_id=holder_id,
            member=permit.member,
            work_class=permit.work_class,
            due_ms=now_ms + permit.slack_ms,
            granted_ms=now_ms,
            expires_ms=now_ms + valid_ms,
            prompt_tokens=permit.prompt_tokens,
            generated_tokens=permit.generated_tokens,
            isolated=permit.alone,
        )
        held.update_work(permit, now_ms)
        return held

    def update_work(self, permit: HeldPermit, now_ms: float) -> None:
        """Take in how the work stands that runs under the permit, which the holder chose late."""
        self.stage = permit.stage
        self.barren_runs = permit.barren_runs
        self.expected_end_ms = now_ms + permit.left_ms if permit.left_ms else 0.0

    def left_ms(self, now_ms: float) -> float:
        """Return how long the run will still take; 0 when nothing is known."""
        return max(self.expected_end_ms - now_ms, 1.0) if self.expected_end_ms else 0.0

    def is_protected(self, now_ms: float) -> bool:
        """Whether it gives way last: its work was cut off before its first event several times, or
        is overdue and has its turn.

        It is until it has given events for as long as the first one took.
        """
        if self.barren_runs < _PROTECTED_MIN_BARREN_RUNS and not self.granted_as_overdue:
            return False
        return not self.generated_tokens or now_ms < self.granted_ms + 2 * self.first_token_ms

    @property
    def redo_tokens(self) -> int:
        """Tokens that an engine has to read again when the attempt is resumed elsewhere."""
        return self.prompt_tokens + self.generated_tokens


class Concurrency(msgspec.Struct, frozen=True):
    """Mean number of attempts during one attempt, itself among them, and batch's share of it."""

    in_flight: float
    batch_share: float


class OutstandingPermits(msgspec.Struct):
    """All permits of one upstream by identity.

    A revoked permit stays until it ends or expires, since its attempt still runs.
    """

    online: int = 0
    batch: int = 0
    revoking: int = 0
    # Beside which nothing may begin.
    isolated: int = 0
    _attempt_ms: float = 0.0
    _batch_attempt_ms: float = 0.0
    _at_ms: float = 0.0
    _by_id: dict[str, OutstandingPermit] = msgspec.field(default_factory=dict)
    _by_member: dict[str, int] = msgspec.field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, permit_id: str) -> OutstandingPermit | None:
        return self._by_id.get(permit_id)

    def by_member(self) -> Mapping[str, int]:
        """Return how many permits are out of each member that has any."""
        return self._by_member

    def count_of(self, member: str) -> int:
        return self._by_member.get(member, 0)

    @property
    def unrevoked(self) -> int:
        """Attempts that will still run once all revocations are done."""
        return len(self._by_id) - self.revoking

    @property
    def unrevoked_batch(self) -> int:
        return self.batch - self.revoking

    def add(self, held: OutstandingPermit, now_ms: float) -> None:
        self.start_window(held, 0, now_ms)
        self._by_id[held.permit_id] = held
        self.isolated += held.isolated
        self._by_member[held.member] = self.count_of(held.member) + 1
        if held.work_class is WorkClass.ONLINE:
            self.online += 1
        else:
            self.batch += 1

    def remove(self, permit_id: str, now_ms: float) -> OutstandingPermit | None:
        held = self._by_id.get(permit_id)
        if held is None:
            return None
        self._advance(now_ms)
        del self._by_id[permit_id]
        self.isolated -= held.isolated
        self._by_member[held.member] -= 1
        if not self._by_member[held.member]:
            del self._by_member[held.member]
        if held.work_class is WorkClass.ONLINE:
            self.online -= 1
        else:
            self.batch -= 1
            self.revoking -= held.revoked_ms is not None
        return held

    def mark_revoked(self, held: OutstandingPermit, now_ms: float) -> None:
        held.revoked_ms = now_ms
        self.revoking += 1

    def unrevoked_batch_permits(self) -> list[OutstandingPermit]:
        """Return the batch permits that have not been revoked."""
        return [
            held
            for held in self._by_id.values()
            if held.work_class is WorkClass.BATCH and held.revoked_ms is None
        ]

    def victims(self, count: int, now_ms: float, urgent_slack_ms: int) -> list[OutstandingPermit]:
        """Return the ``count`` batch permits whose loss costs least.

        What is late goes first and what cutting would make late goes last; in between, the longer
        it still has to run the sooner it goes, as the other will soon be done.  What runs in its
        turn as overdue counts as begun.  A run that is sheltered gives way last.  Where holders do
        not say that, those due soon go last and the fewest tokens to read again go first.
        """
        candidates = self.unrevoked_batch_permits()

        def loss(held: OutstandingPermit) -> tuple[bool, int, bool, float, int]:
            stage, _ = batch_rank(
                BatchStage.BEGUN if held.granted_as_overdue else held.stage, 0.0, 0.0
            )
            is_due_soon = held.due_ms - now_ms < urgent_slack_ms
            return (
                held.is_protected(now_ms),
                -stage,
                is_due_soon,
                -held.left_ms(now_ms),
                held.redo_tokens,
            )

        candidates.sort(key=loss)
        return candidates[:count]

    def count_protected(self, now_ms: float) -> int:
        """Return how many batch permits give way last."""
        return sum(held.is_protected(now_ms) for held in self.unrevoked_batch_permits())

    def batch_unstarted(self, now_ms: float) -> list[OutstandingPermit]:
        """Return the batch permits that may stay and have shown no first token yet."""
        return [
            held
            for held in self._by_id.values()
            if held.work_class is WorkClass.BATCH
            and held.revoked_ms is None
            and held.start is not None
            and not held.is_protected(now_ms)
            and not held.generated_tokens
        ]

    def expired(self, now_ms: float) -> list[OutstandingPermit]:
        return [held for held in self._by_id.values() if held.expires_ms <= now_ms]

    def postpone_expiry(self, by_ms: float) -> None:
        for held in self._by_id.values():
            held.expires_ms += by_ms

    def start_window(self, held: OutstandingPermit, tokens: int, now_ms: float) -> None:
        """Begin a new window in which ``held`` is watched, by now at ``tokens``."""
        self._advance(now_ms)
        held.window_start_ms = now_ms
        held.window_tokens = tokens
        held.attempt_ms_at_window = self._attempt_ms
        held.batch_attempt_ms_at_window = self._batch_attempt_ms

    def concurrency_of(self, held: OutstandingPermit, now_ms: float) -> Concurrency:
        """Return what ran at the upstream in the window of ``held``, on the average."""
        self._advance(now_ms)
        elapsed_ms = now_ms - held.window_start_ms
        if elapsed_ms <= 0:
            return Concurrency(len(self), self.batch / max(len(self), 1))
        attempt_ms = max(self._attempt_ms - held.attempt_ms_at_window, elapsed_ms)
        batch_attempt_ms = self._batch_attempt_ms - held.batch_attempt_ms_at_window
        return Concurrency(attempt_ms / elapsed_ms, batch_attempt_ms / attempt_ms)

    def _advance(self, now_ms: float) -> None:
        elapsed_ms = max(now_ms - self._at_ms, 0.0)
        self._attempt_ms += len(self._by_id) * elapsed_ms
        self._batch_attempt_ms += self.batch * elapsed_ms
        self._at_ms = now_ms
