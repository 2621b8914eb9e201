"""Predicts the time to the first token of an attempt that would start now.

An engine reads prompts one after another, so the prompts granted of late that it cannot have read
yet come first; then the attempt waits for the step in progress, which takes longer the more runs.
Both costs are learned from the times that holders report.
"""

import msgspec

from fescuedock.core.permits.estimates import DecayedLine, DecayedPeak

__all__ = ["AttemptStart", "FirstTokenModel"]


class AttemptStart(msgspec.Struct, frozen=True):
    """The circumstances in which an attempt started."""

    prompt_tokens: int
    prefill_ahead_ms: float
    in_flight: int


class FirstTokenModel:
    """The two learned costs of one upstream, and the prompts it has still to read."""

    __slots__ = ("_longest_first_token", "_occupancy", "_prefill_done_ms", "_prompt")

    def __init__(self, half_life_ms: float) -> None:
        self._prompt = DecayedLine(half_life_ms)
        self._occupancy = DecayedLine(half_life_ms)
        self._longest_first_token = DecayedPeak(half_life_ms)
        self._prefill_done_ms = 0.0

    def prompt_ms(self, prompt_tokens: int) -> float:
        """Return the time that an engine takes to read so many tokens; 0 while nothing is known."""
        return self._prompt.slope * prompt_tokens

    def prefill_ahead_ms(self, now_ms: float) -> float:
        """Return how long the engine is busy with prompts that were granted before.

        Errors of the prompt's cost add up, so it is bounded by what attempts really had to wait.
        """
        ahead_ms = max(self._prefill_done_ms - now_ms, 0.0)
        return min(ahead_ms, self._longest_first_token.value(now_ms))

    def remaining_prefill_ms(self, start: AttemptStart, started_ms: float, now_ms: float) -> float:
        """Return how long the prompt of an attempt is probably still being read."""
        read_ms = start.prefill_ahead_ms + self.prompt_ms(start.prompt_tokens)
        return max(started_ms + read_ms - now_ms, 0.0)

    def record_start(self, prompt_tokens: int, in_flight: int, now_ms: float) -> AttemptStart:
        """Take in that an attempt starts beside ``in_flight`` others."""
        ahead_ms = self.prefill_ahead_ms(now_ms)
        self._prefill_done_ms = now_ms + ahead_ms + self.prompt_ms(prompt_tokens)
        return AttemptStart(prompt_tokens, ahead_ms, in_flight)

    def observe(self, start: AttemptStart, first_token_ms: float, now_ms: float) -> None:
        """Take in the time to the first token of an attempt."""
        self._longest_first_token.add(first_token_ms, now_ms)
        own_ms = max(first_token_ms - start.prefill_ahead_ms, 0.0)
        self._prompt.add(start.prompt_tokens, own_ms, now_ms)
        step_ms = max(own_ms - self.prompt_ms(start.prompt_tokens), 0.0)
        self._occupancy.add(start.in_flight, step_ms, now_ms)

    def predict_ms(self, in_flight: int, now_ms: float) -> float:
        """Return the time to the first token, without that of reading the prompt itself.

        It fades without evidence: an upstream that is predicted to be slow gets no requests, and
        nothing else would ever prove otherwise.
        """
        step_ms = self._occupancy.value(in_flight, 0.0) * self._occupancy.freshness(now_ms)
        return self.prefill_ahead_ms(now_ms) + step_ms
