"""Decides at the entry whether an online request can meet its deadline.

This happens before any owner is queried.  A request that cannot be answered by its deadline is
refused at once, with a time after which a retry may succeed.  The prediction favours admission:
owners, which know the queues, refuse too.

Pure: the caller passes the time.
"""

from collections.abc import Mapping

import msgspec
from result import Err, Ok, Result

from fescuedock.faults import Fault
from fescuedock.schema.result_codes import ResultCode

__all__ = ["Admission", "AdmissionPolicy", "RunTimes"]


class AdmissionPolicy(msgspec.Struct, frozen=True):
    """Bounds of one entry.

    ``max_in_flight`` bounds its memory and CPU; engines have limits of their own.
    """

    max_in_flight: int = 1024
    min_retry_ms: int = 250
    max_retry_ms: int = 30000


class RunTimes(msgspec.Struct):
    """Moving averages of one service's answers: tokens per answer and time between tokens.

    A prediction that refuses requests prevents its own correction, so it must not outlive its
    evidence: it halves with each ``half_life_ms`` without an answer, and one slow answer counts as
    at most ``max_sample_ratio`` times the average.
    """

    gain: float = 0.05
    half_life_ms: float = 2000.0
    max_sample_ratio: float = 3.0
    _tokens: float = 0.0
    _inter_token_ms: float = 0.0
    _last_answer_ms: float = 0.0

    def observe(self, tokens: int, inter_token_ms: float, now_ms: float) -> None:
        """Record a complete answer; a negative ``inter_token_ms`` is unknown."""
        if tokens <= 0 or inter_token_ms < 0:
            return
        self._last_answer_ms = now_ms
        if not self._tokens:
            self._tokens, self._inter_token_ms = float(tokens), inter_token_ms
            return
        self._tokens += self.gain * (tokens - self._tokens)
        bounded_ms = min(inter_token_ms, self.max_sample_ratio * max(1.0, self._inter_token_ms))
        self._inter_token_ms += self.gain * (bounded_ms - self._inter_token_ms)

    def run_ms(self, max_tokens: int, now_ms: float) -> float:
        """Return the predicted time from the first token to the last; 0 while nothing is known."""
        tokens = min(self._tokens, max_tokens) if max_tokens > 0 else self._tokens
        decay = 0.5 ** (max(0.0, now_ms - self._last_answer_ms) / self.half_life_ms)
        return max(0.0, tokens - 1) * self._inter_token_ms * decay


class Admission(msgspec.Struct):
    """Requests in flight at this entry by member, and the run times of each service."""

    policy: AdmissionPolicy = msgspec.field(default_factory=AdmissionPolicy)
    _in_flight: dict[str, int] = msgspec.field(default_factory=dict)
    _times: dict[str, RunTimes] = msgspec.field(default_factory=dict)

    def times(self, service: str) -> RunTimes:
        return self._times.setdefault(service, RunTimes())

    def admit(self, member: str, shares: Mapping[str, float]) -> Result[None, Fault]:
        """Count a request in, to be counted out by ``release``; ``Err`` when the entry is full.

        A full entry still admits requests of members below their share, up to twice its bound.
        """
        total = sum(self._in_flight.values())
        if total >= self.policy.max_in_flight:
            fault = self._refusal_when_full(member, shares, total)
            if fault is not None:
                return Err(fault)
        self._in_flight[member] = self._in_flight.get(member, 0) + 1
        return Ok(None)

    def release(self, member: str) -> None:
        left = self._in_flight.get(member, 0) - 1
        if left > 0:
            self._in_flight[member] = left
        else:
            self._in_flight.pop(member, None)

    def check_deadline(
        self, left_ms: float, first_token_ms: float, run_ms: float, soonest_ms: float = 0.0
    ) -> Result[None, Fault]:
        """Refuse a request that would not be complete within ``left_ms``.

        ``first_token_ms`` and ``run_ms`` are predictions; ``soonest_ms`` is an owner's hint when
        there will be room.
        """
        needed_ms = first_token_ms + run_ms
        if needed_ms <= left_ms:
            return Ok(None)
        message = f"needs about {needed_ms:.0f} ms, {max(0.0, left_ms):.0f} ms are left"
        retry_ms = self.retry_after_ms(max(soonest_ms, needed_ms - left_ms))
        return Err(Fault(ResultCode.DEADLINE_CANNOT_BE_MET, message, retry_ms))

    def retry_after_ms(self, wanted_ms: float) -> int:
        """Return ``wanted_ms`` limited to the policy's bounds."""
        return int(min(self.policy.max_retry_ms, max(self.policy.min_retry_ms, wanted_ms)))

    def _refusal_when_full(
        self, member: str, shares: Mapping[str, float], total: int
    ) -> Fault | None:
        """Return why a full entry refuses a request, or None if it still admits it."""
        own = self._in_flight.get(member, 0)
        active = {*self._in_flight, member}
        weight = sum(shares.get(name, 1.0) for name in active)
        entitled = self.policy.max_in_flight * shares.get(member, 1.0) / weight
        if own >= entitled:
            message = f"{own} requests of {member!r} are in flight at a full entry"
            return Fault(ResultCode.MEMBER_OVER_SHARE, message, self.policy.min_retry_ms)
        if total >= 2 * self.policy.max_in_flight:
            message = f"{total} requests are in flight at this entry"
            return Fault(ResultCode.NO_CAPACITY, message, self.policy.min_retry_ms)
        return None
