"""Simulates when an engine with continuous batching produces the tokens of each sequence.

There is no I/O and no clock.  The engine works in steps.  In each step every running sequence in
the decode phase gets one token, and a bounded number of prompt tokens of the other sequences is
prefilled, the oldest sequence first.  The duration of a step grows with the number of decoding
sequences and of prefilled tokens, so each admitted sequence slows down all running ones.
"""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["EngineProfile", "Sequence", "StepResult", "TokenTimeModel"]


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speed and capacity of an engine.

    The defaults are those of a medium-sized model on one accelerator: 13 ms between tokens with
    one sequence, 32 ms with 64.
    """

    step_ms: float = 12.5
    step_ms_per_sequence: float = 0.3
    prefill_ms_per_token: float = 0.05
    max_prefill_tokens: int = 512
    max_sequences: int = 64
    kv_tokens: int = 200_000


@dataclass(slots=True)
class Sequence:
    """The token counts of one request in the engine."""

    sequence_id: str
    prompt_tokens: int
    answer_tokens: int
    cached_tokens: int = 0
    prefilled: int = 0
    generated: int = 0

    def __post_init__(self) -> None:
        # The last prompt token is always computed, as it produces the first token of the answer.
        self.prefilled = min(self.cached_tokens, self.prompt_tokens - 1)

    @property
    def is_decoding(self) -> bool:
        return self.prefilled >= self.prompt_tokens

    @property
    def is_finished(self) -> bool:
        return self.generated >= self.answer_tokens

    @property
    def kv_tokens(self) -> int:
        """KV cache that the sequence needs at most, in tokens."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class StepResult:
    """The result of one step.

    ``produced`` contains each sequence that got a token, including finished ones, and ``prefilled``
    those whose prefill was completed.
    """

    duration_ms: float
    produced: tuple[Sequence, ...]
    prefilled: tuple[Sequence, ...]


@dataclass(slots=True)
class TokenTimeModel:
    """The running and waiting sequences; call ``step`` until ``is_idle``."""

    profile: EngineProfile
    slowness: float = 1.0
    running: dict[str, Sequence] = field(default_factory=dict)
    waiting: deque[Sequence] = field(default_factory=deque)

    def admit(self, sequence: Sequence) -> None:
        """Add a sequence, which waits while the engine is full."""
        self.waiting.append(sequence)
        self._start_waiting()

    def cancel(self, sequence_id: str) -> bool:
        """Remove a sequence and free its capacity; return whether it was running or waiting."""
        found = self.running.pop(sequence_id, None)
        for sequence in self.waiting:
            if sequence.sequence_id == sequence_id:
                found = sequence
                self.waiting.remove(sequence)
                break
        self._start_waiting()
        return found is not None

    def clear(self) -> None:
        """Remove all sequences."""
        self.running.clear()
        self.waiting.clear()

    @property
    def kv_use(self) -> float:
        """Fraction of the KV cache that the running sequences may need."""
        return self._kv_tokens() / self.profile.kv_tokens

    @property
    def is_idle(self) -> bool:
        return not self.running

    def step(self) -> StepResult:
        """Perform one step, whose tokens are available after ``duration_ms``."""
        decoding = [sequence for sequence in self.running.values() if sequence.is_decoding]
        work_tokens, prefilled = self._prefill()
        produced = [*decoding, *prefilled]
        for sequence in produced:
            sequence.generated += 1
        for sequence in produced:
            if sequence.is_finished:
                del self.running[sequence.sequence_id]
        self._start_waiting()
        duration_ms = self._duration_ms(len(decoding), work_tokens)
        return StepResult(duration_ms, tuple(produced), tuple(prefilled))

    def _prefill(self) -> tuple[int, list[Sequence]]:
        """Prefill prompt tokens; return their number and the sequences that are now decoding."""
        left = self.profile.max_prefill_tokens
        done = []
        for sequence in self.running.values():
            if sequence.is_decoding or not left:
                continue
            part = min(left, sequence.prompt_tokens - sequence.prefilled)
            sequence.prefilled += part
            left -= part
            if sequence.is_decoding:
                done.append(sequence)
        return self.profile.max_prefill_tokens - left, done

    def _duration_ms(self, decoding: int, prefill_tokens: int) -> float:
        profile = self.profile
        decode_ms = profile.step_ms + profile.step_ms_per_sequence * decoding
        return self.slowness * (decode_ms + profile.prefill_ms_per_token * prefill_tokens)

    def _start_waiting(self) -> None:
        while self.waiting and self._has_room(self.waiting[0]):
            sequence = self.waiting.popleft()
            self.running[sequence.sequence_id] = sequence

    def _has_room(self, sequence: Sequence) -> bool:
        if not self.running:
            return True
        used = self._kv_tokens() + sequence.kv_tokens
        return len(self.running) < self.profile.max_sequences and used <= self.profile.kv_tokens

    def _kv_tokens(self) -> int:
        return sum(sequence.kv_tokens for sequence in self.running.values())
