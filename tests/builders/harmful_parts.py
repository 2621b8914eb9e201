"""A fleet whose upstreams crash under one part of prompts, and what its callers get meanwhile."""

import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from fescuedock.net.http_client import NotSentError, ResponseLostError
from fescuedock.platform.standin.event_upstream import CrashForm, EventUpstream
from tests.builders.node import NodeFleet

__all__ = ["BAD_PART", "FIRST_PART", "Callers", "SoundCall", "crashes_of", "make_harmful"]

BAD_PART = "5b0c77aa"
FIRST_PART = "91bd3f06"
# Between the calls of one client.
_HARMFUL_PAUSE_S = 0.1
_SOUND_PAUSE_S = 0.04
_DEADLINE_MS = 3000


def make_harmful(upstream: EventUpstream, form: CrashForm = CrashForm.HEAD) -> None:
    """Have an upstream crash 50 ms into each answer to a prompt with the bad part."""
    upstream.harmful_parts.add(BAD_PART)
    upstream.crash_form = form
    upstream.crash_after_ms = 50.0
    upstream.restart_ms = 2000.0
    upstream.event_count = 10
    upstream.event_interval_ms = 15.0


def crashes_of(fleet: NodeFleet) -> list[float]:
    """Return trio's time of each crash, in order."""
    return sorted(crash.at_s for upstream in fleet.upstreams for crash in upstream.crashes)


@dataclass(frozen=True, slots=True)
class SoundCall:
    """A call without the bad part: when it was sent, and what came of it."""

    sent_s: float
    took_s: float
    status: int
    complete: bool
    refused_as_harmful: bool

    @property
    def in_time(self) -> bool:
        return self.status == 200 and self.complete and self.took_s <= 1.0


@dataclass(slots=True)
class Callers:
    """Clients of all nodes; no two calls are alike.

    ``parts_of_harmful`` and ``parts_of_sound`` give the shared parts of a call's prompt by its
    number.
    """

    fleet: NodeFleet
    rng: random.Random
    parts_of_harmful: Callable[[int], list[str]] = lambda _number: [FIRST_PART, BAD_PART]
    parts_of_sound: Callable[[int], list[str]] = lambda number: [FIRST_PART, f"topic-{number % 4}"]
    sound: list[SoundCall] = field(default_factory=list)
    harmful_statuses: list[int] = field(default_factory=list)
    _number: int = 0

    async def run(self, harmful: int, sound: int) -> None:
        """Have so many clients of each kind call one after the other until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(harmful):
                nursery.start_soon(self._repeat, self._call_harmful, _HARMFUL_PAUSE_S)
            for _ in range(sound):
                nursery.start_soon(self._repeat, self._call_sound, _SOUND_PAUSE_S)

    def harmful_starts(self) -> list[float]:
        """Return trio's time of each run with the bad part."""
        return sorted(
            at_s
            for upstream in self.fleet.upstreams
            for request_id, at_s in upstream.started
            if request_id.startswith("harmful-")
        )

    def sound_since(self, at_s: float) -> list[SoundCall]:
        """Return the sound calls that were sent later than ``at_s``."""
        return [call for call in self.sound if call.sent_s > at_s]

    async def _repeat(self, call: Callable, pause_s: float) -> None:
        while True:
            with suppress(NotSentError, ResponseLostError):
                await call()
            await trio.sleep(pause_s * self.rng.uniform(0.5, 1.5))

    async def _call_harmful(self) -> None:
        number = self._next()
        answer = await self._call("harmful", number, self.parts_of_harmful(number))
        self.harmful_statuses.append(answer.status)

    async def _call_sound(self) -> None:
        number = self._next()
        sent_s = trio.current_time()
        answer = await self._call("sound", number, self.parts_of_sound(number))
        took_s = trio.current_time() - sent_s
        refused = b"WORK_HARMFUL" in answer.body
        self.sound.append(SoundCall(sent_s, took_s, answer.status, answer.complete, refused))

    async def _call(self, kind: str, number: int, parts: list[str]) -> object:
        node = self.rng.choice(self.fleet.nodes)
        prefix = ",".join(f"{name}:100" for name in [*parts, f"own-{number}"])
        headers = {
            "X-Request-Id": f"{kind}-{number}",
            "X-Deadline-Ms": str(_DEADLINE_MS),
            "X-Prompt-Prefix": prefix,
            "X-Token-Count": f"{100 * len(parts) + 100},10",
        }
        path = f"/rights/{kind}-{number}"
        return await self.fleet.call(node.front, "POST", path, b"case %d" % number, headers)

    def _next(self) -> int:
        self._number += 1
        return self._number
