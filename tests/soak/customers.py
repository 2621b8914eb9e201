"""Customers of the soak: whom all other clients are of, one whose keys go, one over its limit."""

import itertools
import random
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import trio

from fescuedock.net.http_client import HttpClient
from tests.soak.clients import call_node
from tests.soak.promises import NOT_RUN, Ledger, OnlineAttempt
from tests.soak.world import SoakUpstream, World

__all__ = ["HotClient", "KeyClient", "broken_by_customers", "first_customers"]

_CHANGING, _LIMITED = "gent", "brugge"
_LIMITED_KEY = "key-brugge"
_RATE_PER_S, _BURST = 4, 4
# The users' figures: what may run in any window, and when a change binds.
_WINDOW_S = 5.0
_MOST_IN_WINDOW = (_RATE_PER_S * _WINDOW_S + _BURST) * 1.1 + 20
_APPLY_S = 3.0
_EACH_KEY_S = 2.5
_numbers = itertools.count(1)


def first_customers() -> list[dict]:
    """Return the customers of the first configuration."""
    return _customers("key-gent-0")


def _customers(*keys: str) -> list[dict]:
    limited = {"name": _LIMITED, "apiKeys": [_LIMITED_KEY], "ratePerS": _RATE_PER_S}
    return [
        {"name": Ledger.customer, "apiKeys": [Ledger.key]},
        {"name": _CHANGING, "apiKeys": list(keys)},
        limited | {"burst": _BURST},
    ]


@dataclass(slots=True)
class KeyClient:
    """Replaces its key by another each few seconds, and goes on calling with both."""

    world: World
    ledger: Ledger
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)
    # When each key was taken away, the newest not at all.
    gone_s: dict[str, float] = field(default_factory=dict)
    keys_of: dict[str, str] = field(default_factory=dict)
    attempts: list[OnlineAttempt] = field(default_factory=list)

    async def run(self) -> None:
        """Call and replace keys until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._replace_keys)
            while True:
                await trio.sleep(self.rng.expovariate(1 / 0.3))
                nursery.start_soon(self._call, self.rng.choice(self._keys()))

    def _keys(self) -> list[str]:
        newest = f"key-gent-{len(self.gone_s)}"
        return [newest, *list(self.gone_s)[-1:]]

    async def _replace_keys(self) -> None:
        while True:
            await trio.sleep(_EACH_KEY_S)
            former, key = self._keys()[0], f"key-gent-{len(self.gone_s) + 1}"
            self.world.configure({"tenants": _customers(key)})
            self.gone_s[former] = trio.current_time()

    async def _call(self, key: str) -> None:
        number = next(_numbers)
        node = self.rng.choice(self.world.nodes)
        path = f"/rights/k-{number}"
        attempt = OnlineAttempt(f"k-{number}", path, b"", node.name, trio.current_time(), once=True)
        self.attempts.append(attempt)
        self.keys_of[attempt.request_id] = key
        headers = {"x-request-id": attempt.request_id, "authorization": f"Bearer {key}"}
        reply = await call_node(self.http, node.front, "POST", path, headers=headers)
        attempt.status, attempt.whole = reply.status, reply.whole


@dataclass(slots=True)
class HotClient:
    """Sends several times what its customer may."""

    world: World
    ledger: Ledger
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)
    attempts: list[OnlineAttempt] = field(default_factory=list)

    async def run(self) -> None:
        """Call until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.rng.expovariate(1 / 0.08))
                nursery.start_soon(self._call)

    async def _call(self) -> None:
        number = next(_numbers)
        node = self.rng.choice(self.world.nodes)
        path = f"/rights/l-{number}"
        attempt = OnlineAttempt(f"l-{number}", path, b"", node.name, trio.current_time(), once=True)
        self.attempts.append(attempt)
        headers = {"x-request-id": attempt.request_id, "authorization": f"Bearer {_LIMITED_KEY}"}
        reply = await call_node(self.http, node.front, "POST", path, headers=headers)
        attempt.status, attempt.whole = reply.status, reply.whole


def broken_by_customers(
    ledger: Ledger, upstreams: Iterable[SoakUpstream], changing: KeyClient, hot: HotClient
) -> Iterator[str]:
    """Yield what upstreams saw that no key allowed: names, keys, runs too late or too many."""
    started_s = {name: at for item in upstreams for name, at in item.upstream.started}
    names = {attempt.request_id: _CHANGING for attempt in changing.attempts}
    names |= {attempt.request_id: _LIMITED for attempt in hot.attempts}
    for item in upstreams:
        for seen in item.upstream.seen:
            request_id = seen["x-request-id"]
            wanted, found = names.get(request_id, Ledger.customer), seen.get("x-tenant")
            if found != wanted or "authorization" in seen:
                yield f"{request_id}: ran for {found!r}, not {wanted!r}, or with a key"
    for attempt in (*changing.attempts, *hot.attempts):
        if attempt.status in (401, *NOT_RUN) and attempt.request_id in started_s:
            yield f"{attempt.request_id}: {attempt.status}, yet it has run"
    for attempt in changing.attempts:
        key = changing.keys_of[attempt.request_id]
        gone_s = changing.gone_s.get(key, float("inf"))
        if attempt.request_id not in started_s or attempt.sent_s <= gone_s + _APPLY_S:
            continue
        if ledger.was_calm(gone_s, attempt.sent_s):
            yield f"{attempt.request_id}: ran with {key}, gone for {attempt.sent_s - gone_s:.1f} s"
    runs = sorted(
        (attempt.sent_s, started_s[attempt.request_id])
        for attempt in hot.attempts
        if attempt.request_id in started_s
    )
    for position, (first_s, _) in enumerate(runs):
        last = bisect_right(runs, (first_s + _WINDOW_S, float("inf")))
        count = sum(begun_s <= first_s + _WINDOW_S for _, begun_s in runs[position:last])
        if count > _MOST_IN_WINDOW:
            yield f"{count} calls of {_LIMITED} ran in a window from {ledger.tell(first_s)}"
            return
