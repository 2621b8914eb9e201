"""Relays a streamed answer from one upstream, or from several in succession."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import msgspec
import trio
from result import Result

from fescuedock.backing.engine import EngineError, EngineStream, OtherVersionError
from fescuedock.clock import now_ms
from fescuedock.core.streams import AttemptEnd, NextStep, ResumePoint, StreamState
from fescuedock.entry.online_attempt import (
    ATTEMPT_ERRORS,
    AnswerLostError,
    Attempt,
    ResumeRefusedError,
    UpstreamStalledError,
)
from fescuedock.entry.online_request import OnlineRequest
from fescuedock.entry.online_run import run_attempts
from fescuedock.entry.online_state import OnlineState
from fescuedock.faults import Fault
from fescuedock.net.http_client import ResponseLostError
from fescuedock.schema.permits import AttemptOutcome
from fescuedock.schema.view import UpstreamRecord

__all__ = ["WriteData", "relay_attempts"]

# Receives the events of the answer, each once and in order, unchanged from the engine.
WriteData = Callable[[bytes], Awaitable[None]]


async def relay_attempts(
    state: OnlineState,
    request: OnlineRequest,
    stream: StreamState,
    write: WriteData,
    on_first_token: Callable[[Attempt], None],
) -> Result[Attempt, Fault]:
    """Pass the events of a complete answer to ``write``; return the attempt that finished it.

    ``on_first_token`` is called at the first token of each attempt.
    """

    async def run_one(attempt: Attempt, upstream: UpstreamRecord) -> AttemptOutcome:
        await _Relay(state, request, write, stream, attempt, on_first_token).run(upstream)
        return AttemptOutcome.COMPLETED

    return await run_attempts(state, request, run_one)


class _StallWatch(msgspec.Struct):
    """Whether the relay is waiting for the upstream, and since when."""

    timeout_ms: float
    waiting: bool = True
    since_ms: float = msgspec.field(default_factory=now_ms)
    stalled: bool = False
    sleep_scope: trio.CancelScope = msgspec.field(default_factory=trio.CancelScope)

    def set_timeout(self, timeout_ms: float) -> None:
        """Detect a stall after ``timeout_ms`` from now on."""
        self.timeout_ms = timeout_ms
        self.sleep_scope.cancel()


class _Relay(msgspec.Struct):
    """Relays one attempt to the caller; calls ``on_first_token`` at its first token."""

    state: OnlineState
    request: OnlineRequest
    write: WriteData
    stream: StreamState
    attempt: Attempt
    on_first_token: Callable[[Attempt], None]

    async def run(self, upstream: UpstreamRecord) -> None:
        """Relay until the answer is complete; raise one of ``ATTEMPT_ERRORS`` if it is not."""
        resume = self.stream.begin(self.attempt.attempt_id, upstream.software_version)
        how = AttemptEnd.BROKEN
        error: Exception = ResponseLostError("the stream ended without a finish reason")
        try:
            async with (
                self._stall_watch() as watch,
                self.state.engines.stream(
                    upstream,
                    self.request.path,
                    self.request.body,
                    self.attempt.attempt_id,
                    resume,
                    self.attempt.check,
                ) as events,
            ):
                await self._relay_events(events, watch)
                how = AttemptEnd.COMPLETE
        except ATTEMPT_ERRORS as caught:
            error = caught
        self._prefer_version()
        step = self.stream.end(self.attempt.attempt_id, how)
        if step is NextStep.GIVE_UP:
            raise AnswerLostError(f"the answer cannot be continued: {error}") from error
        if step is not NextStep.FINISH:
            raise self._resume_error(error, resume)

    def _prefer_version(self) -> None:
        """Restrict the next attempt to the version of the delivered tokens, while it serves."""
        version = self.stream.software_version
        serving = any(
            item.software_version == version and not item.leaving
            for item in self.state.view.upstreams_of(self.request.service)
        )
        self.request.software_versions = (version,) if self.stream.tokens and serving else None

    def _resume_error(self, error: Exception, resume: ResumePoint | None) -> Exception:
        """Return ``error``, or ``ResumeRefusedError`` if the engine rejected ``resume``."""
        if resume is None or not isinstance(error, EngineError) or not error.is_permanent:
            return error
        self.stream.replays = True
        return ResumeRefusedError(f"no resume after {resume.tokens} tokens: {error}")

    async def _relay_events(self, events: EngineStream, watch: _StallWatch) -> None:
        stream = self.stream
        attempt = self.attempt
        if not stream.accept_version(attempt.attempt_id, events.software_version):
            raise OtherVersionError(
                f"the upstream resumes with software version {events.software_version!r}"
                f" what {stream.software_version!r} wrote"
            )
        async for event in events:
            at_ms = now_ms()
            if event.text:
                self._record_token(attempt, watch, at_ms)
            data = stream.receive(attempt.attempt_id, event)
            if stream.diverged:
                raise ResponseLostError("the attempt gave a different answer")
            if data is not None:
                watch.waiting = False
                await self.write(data)
                watch.waiting = True
            watch.since_ms = at_ms

    def _record_token(self, attempt: Attempt, watch: _StallWatch, at_ms: float) -> None:
        if not attempt.tokens:
            objectives = self.request.spec.objectives
            watch.set_timeout(self.state.stall.timeout_ms(objectives.inter_token_ms))
            self.on_first_token(attempt)
        attempt.record_token(at_ms)

    @asynccontextmanager
    async def _stall_watch(self) -> AsyncIterator[_StallWatch]:
        """Cancel the block when the upstream stalls; raise its error or ``UpstreamStalledError``.

        An error of the block is raised without the exception group of the nursery.
        """
        usual_ms = self.request.spec.objectives.first_token_ms
        watch = _StallWatch(self.state.stall.timeout_ms(usual_ms))
        caught: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_stalled, watch, nursery.cancel_scope)
            try:
                yield watch
            except Exception as error:
                caught = error
            nursery.cancel_scope.cancel()
        if caught is not None:
            raise caught
        if watch.stalled:
            raise UpstreamStalledError(f"the upstream sent nothing for {watch.timeout_ms:.0f} ms")


async def _cancel_stalled(watch: _StallWatch, scope: trio.CancelScope) -> None:
    """Cancel ``scope`` when its relay has waited too long for the upstream."""
    while True:
        due_ms = watch.since_ms + watch.timeout_ms
        if now_ms() >= due_ms and watch.waiting:
            watch.stalled = True
            scope.cancel()
            return
        # Time spent writing to a slow caller does not count: the write has its own timeout.
        wake_ms = max(due_ms, now_ms() + watch.timeout_ms / 2) if not watch.waiting else due_ms
        with trio.CancelScope(deadline=wake_ms / 1000) as watch.sleep_scope:
            await trio.sleep_forever()
