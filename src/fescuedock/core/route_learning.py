"""What an entry learns from its own requests, as input of ``routing``.

Pure: the caller passes the time.
"""

from collections import OrderedDict

import msgspec

from fescuedock.core.routing import RoutingPolicy

__all__ = [
    "DomainLatency",
    "PrefillModel",
    "PrefixMemory",
    "RequestTimeout",
    "SilentOwners",
    "UnansweredRequests",
]


class RequestTimeout(msgspec.Struct):
    """How long to wait for an owner that should answer at once.

    A busy process reads answers late, so each request in flight adds ``per_request_ms``, the time
    to handle one request.  A local burst then does not look like a silent owner.
    """

    base_ms: float = 25.0
    per_request_ms: float = 2.0
    in_flight: int = 0

    @property
    def timeout_ms(self) -> float:
        return self.base_ms + self.per_request_ms * self.in_flight


# Owners die and nodes are cut off for shorter periods; others take over the upstreams within this
# time.
_UNANSWERED_MS = 5000.0
_MIN_UNANSWERED = 8
# Requests are tried again this long after the last unanswered one.
_UNANSWERED_RETENTION_MS = 10_000.0


class SilentOwners(msgspec.Struct):
    """Owners that recently did not answer, so that only the first request waits for each."""

    policy: RoutingPolicy = msgspec.field(default_factory=RoutingPolicy)
    _until_ms: dict[str, float] = msgspec.field(default_factory=dict)

    def record_silence(self, vm_id: str, now_ms: float) -> None:
        self._until_ms[vm_id] = now_ms + self.policy.silent_ms

    def record_answer(self, vm_id: str) -> None:
        self._until_ms.pop(vm_id, None)

    def is_silent(self, vm_id: str, now_ms: float) -> bool:
        return now_ms < self._until_ms.get(vm_id, float("-inf"))


class UnansweredRequests(msgspec.Struct):
    """Requests since the last one answered by any owner; this program itself may be at fault.

    A node in that state can serve calls under its own limit, but would never run a batch item.
    """

    _count: int = 0
    _first_ms: float = 0.0
    _last_ms: float = float("-inf")

    def record_answer(self) -> None:
        """Record that an owner granted or refused a request."""
        self._count = 0

    def record_silence(self, now_ms: float) -> None:
        """Record that a request could not be sent, or got no answer in time."""
        if now_ms - self._last_ms > _UNANSWERED_RETENTION_MS:
            self._count = 0
        if not self._count:
            self._first_ms = now_ms
        self._count += 1
        self._last_ms = now_ms

    def is_persistent(self, now_ms: float) -> bool:
        """Whether requests were unanswered for so long that others should do the batch work."""
        if self._count < _MIN_UNANSWERED or now_ms - self._last_ms > _UNANSWERED_RETENTION_MS:
            return False
        return now_ms - self._first_ms >= _UNANSWERED_MS


class DomainLatency(msgspec.Struct):
    """One-way latency to each failure domain, from observed round trips.

    The recent minimum counts, because delays in a handler only ever add.  It rises by the fraction
    ``rise`` with each observation, so that an increased latency is learned too.
    """

    rise: float = 0.01
    _min_ms: dict[str, float] = msgspec.field(default_factory=dict)

    def observe(self, failure_domain: str, round_trip_ms: float) -> None:
        min_ms = self._min_ms.get(failure_domain, float("inf")) * (1 + self.rise)
        self._min_ms[failure_domain] = min(min_ms, round_trip_ms)

    def one_way_ms(self, failure_domain: str) -> float:
        """Return the latency; 0 for an unknown domain, so that it is tried."""
        return self._min_ms.get(failure_domain, 0.0) / 2


class PrefixMemory(msgspec.Struct):
    """Prefixes that this process recently sent to each upstream, the latest ``size`` of each."""

    size: int = 1024
    _prefixes: dict[str, OrderedDict[str, None]] = msgspec.field(default_factory=dict)

    def record(self, upstream_id: str, prefix_hash: str) -> bool:
        """Record that a prefix went to an upstream; return whether it is new there."""
        held = self._prefixes.setdefault(upstream_id, OrderedDict())
        is_new = prefix_hash not in held
        held[prefix_hash] = None
        held.move_to_end(prefix_hash)
        if len(held) > self.size:
            held.popitem(last=False)
        return is_new


class PrefillModel(msgspec.Struct):
    """Prefill time per prompt token, from first tokens of prompts that no cache can have.

    Queueing only ever adds to it, so the recent minimum counts.  It rises by the fraction ``rise``
    with each observation.  Prompts shorter than ``min_tokens`` reflect the queue more than the
    prefill.
    """

    min_tokens: int = 256
    rise: float = 0.01
    _min_ms: float = float("inf")

    def observe(self, prompt_tokens: int, first_token_ms: float) -> None:
        if prompt_tokens < self.min_tokens or first_token_ms < 0:
            return
        min_ms = self._min_ms * (1 + self.rise)
        self._min_ms = min(min_ms, first_token_ms / prompt_tokens)

    @property
    def token_ms(self) -> float:
        """Milliseconds per prompt token; 0 while unknown."""
        return self._min_ms if self._min_ms < float("inf") else 0.0
