"""Virtual time for benches: an event queue, and engines that follow the token-time model in it."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from fescuedock.standin.token_time import EngineProfile, Sequence, TokenTimeModel

__all__ = ["Attempt", "VirtualEngine", "VirtualLoop"]


class VirtualLoop:
    """Runs callbacks in order of their time; ``now_ms`` jumps from one to the next."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()

    def after(self, delay_ms: float, run: Callable, *arguments: object) -> None:
        event = (self.now_ms + delay_ms, next(self._numbers), run, arguments)
        heapq.heappush(self._events, event)

    def run_until(self, end_ms: float) -> None:
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, run, arguments = heapq.heappop(self._events)
            run(*arguments)
        self.now_ms = end_ms


@dataclass(slots=True, eq=False)
class Attempt:
    """One stream at an engine, with what its caller wants to hear of it."""

    attempt_id: str
    prompt_tokens: int
    answer_tokens: int
    on_token: Callable[[], None]
    on_end: Callable[[bool], None]
    # Names the prompt; one that the engine has read of late is not read again.
    prompt_key: str = ""
    # Tokens after the prompt that were generated before and have to be read again.
    resumed_tokens: int = 0
    tokens: int = 0


@dataclass(slots=True)
class VirtualEngine:
    """An engine that admits whatever comes; answers travel ``hop_ms``."""

    loop: VirtualLoop
    profile: EngineProfile
    hop_ms: float
    lag_ms: float = 1000.0
    cached_prompts: int = 64
    alive: bool = True
    _cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _model: TokenTimeModel = field(init=False)
    _attempts: dict[str, Attempt] = field(default_factory=dict)
    _stepping: bool = False
    _reports: list[tuple[float, int, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._model = TokenTimeModel(self.profile)

    def start(self, attempt: Attempt) -> None:
        """Take a request that has just arrived."""
        if not self.alive:
            self.loop.after(self.hop_ms, attempt.on_end, False)
            return
        self._attempts[attempt.attempt_id] = attempt
        tokens = attempt.prompt_tokens + attempt.resumed_tokens
        cached = attempt.prompt_tokens if attempt.prompt_key in self._cache else 0
        self._model.admit(Sequence(attempt.attempt_id, tokens, attempt.answer_tokens, cached))
        self._schedule_step()

    def cancel(self, attempt_id: str) -> None:
        self._attempts.pop(attempt_id, None)
        self._model.cancel(attempt_id)

    def die(self) -> None:
        self.alive = False
        for attempt in self._attempts.values():
            self.loop.after(self.hop_ms, attempt.on_end, False)
        self._attempts.clear()
        self._model.clear()

    def report(self) -> tuple[int, int] | None:
        """Return running and waiting as they were ``lag_ms`` ago; None when it is dead."""
        now_ms = self.loop.now_ms
        self._reports.append((now_ms, len(self._model.running), len(self._model.waiting)))
        while len(self._reports) > 1 and self._reports[1][0] <= now_ms - self.lag_ms:
            self._reports.pop(0)
        return self._reports[0][1:] if self.alive else None

    def _schedule_step(self) -> None:
        if not self._stepping and not self._model.is_idle:
            self._stepping = True
            result = self._model.step()
            self.loop.after(result.duration_ms, self._finish_step, result.produced)

    def _finish_step(self, produced: tuple[Sequence, ...]) -> None:
        self._stepping = False
        notifications: list[tuple[Attempt, bool]] = []
        for sequence in produced:
            attempt = self._attempts.get(sequence.sequence_id)
            if attempt is not None:
                self._cache_prompt(attempt)
                notifications.append((attempt, sequence.is_finished))
                if sequence.is_finished:
                    del self._attempts[sequence.sequence_id]
        self.loop.after(self.hop_ms, _notify_callers, notifications)
        self._schedule_step()

    def _cache_prompt(self, attempt: Attempt) -> None:
        if attempt.prompt_key and attempt.prompt_key not in self._cache:
            self._cache[attempt.prompt_key] = None
            if len(self._cache) > self.cached_prompts:
                self._cache.popitem(last=False)


def _notify_callers(notifications: list[tuple[Attempt, bool]]) -> None:
    for attempt, finished in notifications:
        attempt.tokens += 1
        attempt.on_token()
        if finished:
            attempt.on_end(True)
