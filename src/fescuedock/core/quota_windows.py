"""One limit of a customer over all nodes, counted by a sliding window, with a hard bound.

In any window a customer may run L = rate x window + burst calls.  Never more than
L x (1 + ``over_share``) + ``slack_calls`` run, summed over all nodes, whether or not they reach
each other.  What is between the two is the spare, E.  What each participant may grant in a window:

- The leader of a customer: the first in rank of the nodes that it sees, while it sees more than
  half of the fleet.  L + 0.15 E by its own log, and of these rate x window + burst + 0.15 E by a
  token bucket unless a record covers the rest.  The bucket begins empty, so those of leaders that
  follow each other add up to one of them.
- A node that has not heard of enough others within ``heard_ms`` (8, or a quarter of a small fleet)
  does not lead: it may be cut off with those few, which membership leaves to others to judge and
  need not tell it.  Nor does one that was paused, until it has looked again.
- A new leader grants nothing as such for ``settle_ms``, in which one that was cut off notices.  It
  grants nothing either while a record says that the window may be used up.  Any number of leaders
  in a row grant no more than one.
- A record in the key-value service says until when the window may be used up.  A leader that has
  led for a whole window writes it before it grants what its bucket does not cover.
- Every node, whatever it sees or has forgotten, has a part of its own, by its rank among all nodes
  that are registered: 0.25 E for each of the first two, which stand in for a silent leader, and
  0.2 E over all others, in whole calls.  It serves from it while nobody leads, and for its own
  calls while it reaches no owner.  Buckets of parts begin empty too.
- 0.15 E are for nodes that disagree on who is registered, and for what leaders start with after a
  restart of most of the fleet.

This rests on: a node that is cut off from half of the fleet or more, beside more nodes than those
few, ceases to see it within ``settle_ms`` after the other side has (membership notices in 1 to
2 s); clocks of machines differ
by at most ``CLOCKS_DIFFER_MS``; after its grant a call is sent within ``unsent_ms`` or asks again.

Pure: the caller passes the time, by a clock that counts suspensions.
"""

import enum
from collections import OrderedDict, deque
from collections.abc import Collection, Hashable
from itertools import islice

import msgspec

from fescuedock.core.customers import Customer
from fescuedock.core.quotas import QuotaRoute, Roster
from fescuedock.core.token_bucket import Bucket, BucketTerms, take_out

__all__ = [
    "CLOCKS_DIFFER_MS",
    "Answer",
    "Contacts",
    "Leadership",
    "NodeParts",
    "Outcome",
    "Records",
    "Roster",
    "WindowOwner",
    "WindowPolicy",
    "needed_contacts",
]

# Nodes keep their clocks by NTP, within some 10 ms; a record counts this much longer.
CLOCKS_DIFFER_MS = 500.0
# Membership removes a node on the evidence of two others of two failure domains; among so many that
# are cut off together there are such.
_CONTACTS = 8
_CONTACTS_OF_FLEET = 4
# The first of all nodes by rank, which have larger parts.
_PAIR = 2
# Until it is known what earlier leaders have recorded.
_UNKNOWN = float("inf")
# Below one whole call more, so that rounding never makes it one.
_ALMOST_ONE = 0.99


class WindowPolicy(msgspec.Struct, frozen=True):
    """Shares are of what may run beyond a limit in one window.

    ``record_ms`` is how long a record covers a leader; it is renewed when a quarter is left, so
    that a customer beyond its bucket takes two store calls each 3 s.  ``restart_ms`` is how
    recently most nodes must have started for their fleet to count as restarted.
    """

    window_ms: float = 5000.0
    over_share: float = 0.1
    slack_calls: float = 20.0
    leader_share: float = 0.15
    pair_share: float = 0.25
    others_share: float = 0.2
    unsent_ms: float = 50.0
    settle_ms: float = 1200.0
    record_ms: float = 4000.0
    restart_ms: float = 2500.0
    # After a restart the leader starts with one call and this time of the rate, and half of its
    # bucket at the most: another node may lead from the next moment on, as nodes find each other.
    restart_rate_s: float = 0.5
    heard_ms: float = 1500.0
    # Between two looks at how many were heard of; with it, a node that is cut off ceases to lead
    # before another one may begin to (a notice of 1 s at the least, and ``settle_ms``).
    look_ms: float = 400.0
    longest_wait_ms: float = 2000.0

    @property
    def span_ms(self) -> float:
        """Grants of a span are all that can be sent within a window."""
        return self.window_ms + self.unsent_ms

    def spare_calls(self, customer: Customer) -> float:
        """Return what may run beyond the limit in one window."""
        return self.over_share * self.limit_calls(customer) + self.slack_calls

    def limit_calls(self, customer: Customer) -> float:
        """Return what a customer is owed in any window."""
        return customer.rate_per_s * self.window_ms / 1000 + customer.burst

    def leader_calls(self, customer: Customer) -> float:
        """Return what a leader may grant in one span."""
        return self.limit_calls(customer) + self.leader_share * self.spare_calls(customer)

    def leader_terms(self, customer: Customer, *, restarted: bool) -> BucketTerms:
        """Return what a leader may grant without a record."""
        size = max(customer.burst + self.leader_share * self.spare_calls(customer), 1.0)
        start = 1.0 + self.restart_rate_s * customer.rate_per_s if restarted else 0.0
        return BucketTerms(customer.rate_per_s, size, min(start, size / 2))

    def part_calls(self, customer: Customer, rank: int, fleet_size: int) -> int:
        """Return the calls of one span that a node may serve by itself."""
        spare = self.spare_calls(customer)
        if rank < _PAIR:
            return int(self.pair_share * spare)
        each, more = divmod(int(self.others_share * spare), max(fleet_size - _PAIR, 1))
        return each + (rank - _PAIR < more)

    def part_terms(self, calls: int) -> BucketTerms:
        """Return a bucket that grants at most ``calls``, at least 1, in any span."""
        size = max(calls // 2, 1)
        return BucketTerms((calls - size + _ALMOST_ONE) * 1000 / self.span_ms, size, 0.0)


def needed_contacts(fleet_size: int) -> int:
    """Return how many other nodes a leader has to hear of."""
    return max(min(_CONTACTS, fleet_size // _CONTACTS_OF_FLEET), min(fleet_size - 1, 1))


class Contacts(msgspec.Struct):
    """Which other nodes this one has heard of, the latest last."""

    _heard_ms: OrderedDict[Hashable, float] = msgspec.field(default_factory=OrderedDict)

    def note(self, node: Hashable, now_ms: float) -> None:
        """Take an ask or an answer of another node."""
        self._heard_ms[node] = now_ms
        self._heard_ms.move_to_end(node)

    def count(self, since_ms: float) -> int:
        """Return how many were heard of since then, as far as a leader needs them."""
        latest = islice(reversed(self._heard_ms.values()), _CONTACTS)
        return sum(heard_ms >= since_ms for heard_ms in latest)

    def keep(self, since_ms: float) -> None:
        """Forget those that have not been heard of since then."""
        while self._heard_ms and next(iter(self._heard_ms.values())) < since_ms:
            self._heard_ms.popitem(last=False)


class Outcome(enum.Enum):
    """Answers to an ask; ``UNSETTLED`` is that of a node that cannot speak for the fleet now."""

    GRANTED = "granted"
    OVER_LIMIT = "over limit"
    UNSETTLED = "unsettled"


class Answer(msgspec.Struct, frozen=True):
    """``retry_ms`` is when a caller that is over its limit may come back."""

    outcome: Outcome
    retry_ms: float = 0.0


_GRANTED = Answer(Outcome.GRANTED)
_UNSETTLED = Answer(Outcome.UNSETTLED)


class Records(msgspec.Struct, frozen=True):
    """What this node knows of a customer's record.

    ``as_of_ms`` is a time at which it was all there was; the window may be used up until
    ``used_until_ms``.  Both by this node's clock.
    """

    as_of_ms: float
    used_until_ms: float = float("-inf")


class Leadership(msgspec.Struct):
    """Since when this node has led customers, without interruption."""

    vm_id: str
    route: QuotaRoute = msgspec.field(default_factory=QuotaRoute)
    _names: frozenset[str] = frozenset()
    _may_lead: bool = False
    _changed_ms: float = float("-inf")
    _since_ms: dict[str, float] = msgspec.field(default_factory=dict)

    def note(self, names: Collection[str], fleet_size: int, heard: int, now_ms: float) -> None:
        """Take the nodes that this one sees, and how many others it has heard of.

        Must be told of each change when it occurs.  Two halves of a fleet that cannot reach each
        other would both lead, so more than half of it must be seen.
        """
        seen = frozenset(names)
        may_lead = 2 * len(seen) > fleet_size and heard >= needed_contacts(fleet_size)
        if seen == self._names and may_lead == self._may_lead:
            return
        self._names, self._may_lead, self._changed_ms = seen, may_lead, now_ms
        self._since_ms = {
            name: since_ms for name, since_ms in self._since_ms.items() if self._leads(name)
        }

    def interrupt(self, now_ms: float) -> None:
        """Begin anew after a time in which this node could not look."""
        self._changed_ms = now_ms
        self._since_ms.clear()

    def since_ms(self, customer: str) -> float | None:
        """Return since when this node certainly has led ``customer``; None when it does not."""
        if not self._leads(customer):
            return None
        return self._since_ms.setdefault(customer, self._changed_ms)

    def _leads(self, customer: str) -> bool:
        if not self._may_lead:
            return False
        return self.route.owners(customer, self._names)[0] == self.vm_id

    def keep(self, names: Collection[str]) -> None:
        """Forget the customers that are not among ``names``."""
        self._since_ms = {name: ms for name, ms in self._since_ms.items() if name in names}


class _Lead(msgspec.Struct):
    """A customer's use while this node leads it; ``log_ms`` holds the grants of one span."""

    since_ms: float
    begin_ms: float
    # Records as of then show all that earlier leaders have written.
    records_ms: float
    bucket: Bucket
    log_ms: deque[float] = msgspec.field(default_factory=deque)
    blocked_until_ms: float = _UNKNOWN
    covered_until_ms: float = float("-inf")
    is_beyond: bool = False


class WindowOwner(msgspec.Struct):
    """What this node grants of customers that it leads."""

    policy: WindowPolicy
    _leads: dict[str, _Lead] = msgspec.field(default_factory=dict)

    def ask(
        self,
        customer: Customer,
        since_ms: float | None,
        records: Records,
        now_ms: float,
        *,
        restarted: bool = False,
        waited_ms: float = 0.0,
    ) -> Answer:
        """Answer for one call.

        ``since_ms`` is that of ``Leadership``; ``restarted`` says that most of the fleet has just
        started; ``waited_ms`` that the call had a grant that long ago and has not been sent.
        """
        if since_ms is None:
            self._leads.pop(customer.name, None)
            return _UNSETTLED
        lead = self._lead(customer, since_ms, restarted=restarted)
        if now_ms < lead.begin_ms or self._is_blocked(lead, records, now_ms):
            return _UNSETTLED
        terms = self.policy.leader_terms(customer, restarted=False)
        if self._grant(lead, customer, terms, now_ms, waited_ms):
            return _GRANTED
        if now_ms < lead.begin_ms + self.policy.span_ms:
            # The customer may be within its limit; parts may serve it.
            return _UNSETTLED
        wait_ms = lead.bucket.wait_ms(terms, now_ms, self.policy.longest_wait_ms)
        return Answer(Outcome.OVER_LIMIT, wait_ms)

    def _lead(self, customer: Customer, since_ms: float, *, restarted: bool) -> _Lead:
        lead = self._leads.get(customer.name)
        if lead is None or lead.since_ms != since_ms:
            settle_ms = self.policy.settle_ms
            begin_ms = since_ms if restarted else since_ms + settle_ms
            records_ms = since_ms - settle_ms if restarted else begin_ms
            terms = self.policy.leader_terms(customer, restarted=restarted)
            lead = _Lead(since_ms, begin_ms, records_ms, Bucket(terms.start, begin_ms))
            self._leads[customer.name] = lead
        return lead

    def _is_blocked(self, lead: _Lead, records: Records, now_ms: float) -> bool:
        """Whether an earlier leader may have used up the window by a record."""
        if lead.blocked_until_ms == _UNKNOWN:
            passed_ms = lead.begin_ms + self.policy.span_ms
            if records.as_of_ms >= lead.records_ms:
                lead.blocked_until_ms = min(records.used_until_ms, passed_ms)
            elif now_ms >= passed_ms:
                lead.blocked_until_ms = passed_ms
        return now_ms < lead.blocked_until_ms

    def _grant(
        self,
        lead: _Lead,
        customer: Customer,
        terms: BucketTerms,
        now_ms: float,
        waited_ms: float,
    ) -> bool:
        log_ms = lead.log_ms
        while log_ms and log_ms[0] <= now_ms - self.policy.span_ms:
            log_ms.popleft()
        knows_window = now_ms >= lead.begin_ms + self.policy.span_ms
        is_covered = knows_window and now_ms < lead.covered_until_ms
        granted = False
        if is_covered and waited_ms and take_out(log_ms, now_ms - waited_ms):
            granted = True
        elif len(log_ms) + 1 <= self.policy.leader_calls(customer):
            granted = lead.bucket.take(terms, now_ms) or is_covered
        if granted:
            log_ms.append(now_ms)
        is_low = lead.bucket.tokens < terms.size / 4
        lead.is_beyond = knows_window and (is_low or waited_ms > 0)
        return granted

    def lookup_due(self, name: str, now_ms: float) -> bool:
        """Whether a leader waits to know what earlier ones have recorded.

        What all nodes follow is up to some 1.2 s old, and the calls of that time would be refused.
        """
        lead = self._leads.get(name)
        return lead is not None and now_ms >= lead.begin_ms and lead.blocked_until_ms == _UNKNOWN

    def record_due(self, name: str, now_ms: float) -> bool:
        """Whether a record is to be written, so that the customer can have its whole window."""
        lead = self._leads.get(name)
        if lead is None or not lead.is_beyond:
            return False
        return lead.covered_until_ms - now_ms < self.policy.record_ms / 4

    def used_until_ms(self, now_ms: float) -> float:
        """Return what a record that is written from ``now_ms`` on has to say."""
        return now_ms + self.policy.record_ms + self.policy.span_ms

    def note_record(self, name: str, since_ms: float | None, began_ms: float) -> None:
        """Take word that a record, of ``used_until_ms(began_ms)`` or later, has been stored."""
        lead = self._leads.get(name)
        if lead is not None and lead.since_ms == since_ms:
            lead.covered_until_ms = began_ms + self.policy.record_ms

    def keep(self, names: Collection[str]) -> None:
        """Forget the customers that are not among ``names``."""
        for name in self._leads.keys() - set(names):
            del self._leads[name]


class _Part(msgspec.Struct):
    calls: int
    bucket: Bucket


class NodeParts(msgspec.Struct):
    """What this node serves of customers by itself; ``started_ms`` is when its process started."""

    policy: WindowPolicy
    started_ms: float
    _parts: dict[str, _Part] = msgspec.field(default_factory=dict)

    def take(self, customer: Customer, rank: int | None, fleet_size: int, now_ms: float) -> bool:
        """Whether a call may run out of this node's part; ``rank`` is that of ``Roster``."""
        calls = 0 if rank is None else self.policy.part_calls(customer, rank, fleet_size)
        part = self._parts.get(customer.name)
        if part is None:
            part = self._parts[customer.name] = _Part(calls, Bucket(0.0, self.started_ms))
        if calls > part.calls:
            # Another node may have had the larger part until now.
            part.bucket = Bucket(0.0, now_ms)
        part.calls = calls
        return calls > 0 and part.bucket.take(self.policy.part_terms(calls), now_ms)

    def keep(self, names: Collection[str]) -> None:
        """Forget the customers that are not among ``names``."""
        for name in self._parts.keys() - set(names):
            del self._parts[name]
