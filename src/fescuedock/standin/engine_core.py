"""The core of a stand-in engine: admits requests, produces tokens on schedule, fills the cache."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import trio

from fescuedock.backing.engine_wire import BLOCK_CHARS, EngineLoad, prefix_hashes
from fescuedock.clock import now_ms
from fescuedock.net.http_server import DroppedConnectionError
from fescuedock.standin.engine_requests import GenerateRequest
from fescuedock.standin.prefix_cache import CacheEventLog, PrefixCache
from fescuedock.standin.token_text import prompt_tokens
from fescuedock.standin.token_time import EngineProfile, Sequence, StepResult, TokenTimeModel

__all__ = ["EngineCore", "EngineStats", "Generation"]

BLOCK_TOKENS = prompt_tokens("x" * BLOCK_CHARS)
_IDLE_LOAD = EngineLoad(0, 0, 0.0)


@dataclass(slots=True)
class EngineStats:
    """Counts since the engine was created."""

    admitted: int = 0
    completed: int = 0
    cancelled: int = 0
    tokens: int = 0
    most_running: int = 0


@dataclass(slots=True)
class Generation:
    """One admitted request; ``ready`` counts its tokens produced since the resume point."""

    request: GenerateRequest
    sequence: Sequence
    ready: int = 0
    dropped: bool = False
    _changed: trio.Event = field(default_factory=trio.Event)

    async def wait_tokens(self, sent: int) -> int:
        """Wait until more than ``sent`` tokens are ready and return their number.

        Raise ``DroppedConnectionError`` when the generation was cancelled or the engine crashed.
        """
        while self.ready <= sent and not self.dropped:
            await self._changed.wait()
        if self.dropped:
            raise DroppedConnectionError("the engine dropped the request")
        return self.ready

    def add_token(self) -> None:
        self.ready += 1
        self._notify()

    def drop(self) -> None:
        self.dropped = True
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


@dataclass(slots=True)
class EngineCore:
    """Advances a ``TokenTimeModel`` by trio's clock while ``run`` runs."""

    profile: EngineProfile
    cache: PrefixCache
    events: CacheEventLog = field(default_factory=CacheEventLog)
    load_report_ms: float = 500.0
    stats: EngineStats = field(default_factory=EngineStats)
    reported: EngineLoad = _IDLE_LOAD
    model: TokenTimeModel = field(init=False)
    _generations: dict[str, Generation] = field(default_factory=dict)
    _work_arrived: trio.Event = field(default_factory=trio.Event)
    _thawed: trio.Event = field(default_factory=trio.Event)

    def __post_init__(self) -> None:
        self.model = TokenTimeModel(self.profile)
        self._thawed.set()

    async def run(self) -> None:
        """Produce tokens until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_load)
            await self._run_steps()

    @property
    def load(self) -> EngineLoad:
        """The current load; callers see only ``reported``, which lags behind it."""
        model = self.model
        return EngineLoad(len(model.running), len(model.waiting), model.kv_use)

    def admit(self, request: GenerateRequest) -> Generation:
        """Admit a request; raise ``ValueError`` if its attempt is running already."""
        if request.attempt_id in self._generations:
            raise ValueError(f"attempt {request.attempt_id!r} is running already")
        resumed = request.resume.tokens if request.resume else 0
        cached_blocks = self.cache.cached_prefix_length(prefix_hashes(request.prompt))
        sequence = Sequence(
            request.attempt_id,
            request.prompt_tokens + resumed,
            request.answer_tokens - resumed,
            cached_blocks * BLOCK_TOKENS,
        )
        generation = Generation(request, sequence)
        self._generations[request.attempt_id] = generation
        self.model.admit(sequence)
        self.stats.admitted += 1
        self.stats.most_running = max(self.stats.most_running, len(self.model.running))
        self._work_arrived.set()
        return generation

    def finish(self, generation: Generation) -> None:
        """Remove a request that was answered or whose caller has disconnected."""
        attempt_id = generation.request.attempt_id
        if self._generations.pop(attempt_id, None) is None:
            return
        if generation.sequence.is_finished:
            self.stats.completed += 1
        else:
            self.stats.cancelled += 1
        self.model.cancel(attempt_id)

    def cancel(self, attempt_id: str) -> bool:
        """Cut off a request; return whether it was running or waiting."""
        generation = self._generations.get(attempt_id)
        if generation is None:
            return False
        generation.drop()
        self.finish(generation)
        return True

    def crash(self) -> None:
        """Drop all requests and the cache, as a crashing process does."""
        for generation in self._generations.values():
            generation.drop()
        self._generations.clear()
        self.model.clear()
        self.cache.clear()
        self.thaw()

    def freeze(self) -> None:
        """Produce no tokens until ``thaw``."""
        if self._thawed.is_set():
            self._thawed = trio.Event()

    def thaw(self) -> None:
        self._thawed.set()

    async def wait_thawed(self) -> None:
        await self._thawed.wait()

    async def _run_steps(self) -> None:
        due_ms = 0.0
        while True:
            if self.model.is_idle:
                self._work_arrived = trio.Event()
                await self._work_arrived.wait()
                due_ms = now_ms()
            await self._thawed.wait()
            result = self.model.step()
            # Schedules from the previous due time, so that late wake-ups leave no gaps.
            due_ms = max(due_ms, now_ms() - result.duration_ms) + result.duration_ms
            await trio.sleep_until(due_ms / 1000)
            await self._thawed.wait()
            self._deliver(result)

    def _deliver(self, result: StepResult) -> None:
        for sequence in result.produced:
            generation = self._generations.get(sequence.sequence_id)
            if generation is not None and generation.sequence is sequence:
                self.stats.tokens += 1
                generation.add_token()
        for sequence in result.prefilled:
            self._cache_prompt(sequence)

    def _cache_prompt(self, sequence: Sequence) -> None:
        generation = self._generations.get(sequence.sequence_id)
        if generation is None:
            return
        self.store_blocks(prefix_hashes(generation.request.prompt))

    def store_blocks(self, hashes: Iterable[str]) -> None:
        """Store blocks in the prefix cache and log the event."""
        event = self.cache.store(hashes)
        if event.stored or event.removed:
            self.events.add(event, now_ms())

    async def _report_load(self) -> None:
        while True:
            self.reported = self.load
            await trio.sleep(self.load_report_ms / 1000)
