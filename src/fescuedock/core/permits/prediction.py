"""Predicts the time to the first token of an attempt that would start now.

An engine processes prompts one after another.  An attempt therefore waits for the recently granted
prompts that are not processed yet, and then for the step in progress, which takes longer the more
attempts run.  Both costs are learned from the times that holders report.
"""

import msgspec

from fescuedock.core.permits.estimates import DecayedLine, DecayedPeak

__all__ = ["AttemptStart", "FirstTokenModel"]


class AttemptStart(msgspec.Struct, frozen=True):
    """The conditions under which an attempt started."""

    prompt_tokens: int
    prefill_ahead_ms: float
    in_flight: int


class FirstTokenModel:
    """The two learned costs of one upstream and its pending prompts."""

    __slots__ = ("_longest_first_token", "_occupancy", "_prefill_done_ms", "_prompt")

    def __init__(self, half_life_ms: float) -> None:
        self._prompt = DecayedLine(half_life_ms)
        self._occupancy = DecayedLine(half_life_ms)
        self._longest_first_token = DecayedPeak(half_life_ms)
        self._prefill_done_ms = 0.0

    def prompt_ms(self, prompt_tokens: int) -> float:
        """Return the engine's time to process a prompt of this length; 0 while unknown."""
        return self._prompt.slope * prompt_tokens

    def prefill_ahead_ms(self, now_ms: float) -> float:
        """Return how long the engine is still busy with previously granted prompts.

        Errors in the cost of a prompt add up, so the result is bounded by the longest observed time
        to a first token.
        """
        ahead_ms = max(self._prefill_done_ms - now_ms, 0.0)
        return min(ahead_ms, self._longest_first_token.value(now_ms))

    def remaining_prefill_ms(self, start: AttemptStart, started_ms: float, now_ms: float) -> float:
        """Return the expected time until the engine has processed the prompt of an attempt."""
        read_ms = start.prefill_ahead_ms + self.prompt_ms(start.prompt_tokens)
        return max(started_ms + read_ms - now_ms, 0.0)

    def record_start(self, prompt_tokens: int, in_flight: int, now_ms: float) -> AttemptStart:
        """Record that an attempt starts with ``in_flight`` others running."""
        ahead_ms = self.prefill_ahead_ms(now_ms)
        self._prefill_done_ms = now_ms + ahead_ms + self.prompt_ms(prompt_tokens)
        return AttemptStart(prompt_tokens, ahead_ms, in_flight)

    def observe(self, start: AttemptStart, first_token_ms: float, now_ms: float) -> None:
        """Record the time to the first token of an attempt."""
        self._longest_first_token.add(first_token_ms, now_ms)
        own_ms = max(first_token_ms - start.prefill_ahead_ms, 0.0)
        self._prompt.add(start.prompt_tokens, own_ms, now_ms)
        step_ms = max(own_ms - self.prompt_ms(start.prompt_tokens), 0.0)
        self._occupancy.add(start.in_flight, step_ms, now_ms)

    def predict_ms(self, in_flight: int, now_ms: float) -> float:
        """Return the predicted time to the first token, without that of processing its own prompt.

        The step time decays without evidence: an upstream with a high prediction gets no requests,
        and the prediction would otherwise never be corrected.
        """
        step_ms = self._occupancy.value(in_flight, 0.0) * self._occupancy.freshness(now_ms)
        return self.prefill_ahead_ms(now_ms) + step_ms
