"""Customers of the soak: the default one, one whose keys are replaced, and one over its limit."""

import itertools
import random
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import trio

from fescuedock.net.http_client import HttpClient
from tests.soak.clients import call_node
from tests.soak.harness import SoakHarness, SoakUpstream
from tests.soak.promises import NOT_RUN_STATUSES, Ledger, OnlineAttempt

__all__ = ["KeyRotationClient", "OverLimitClient", "customer_violations", "initial_customers"]

_CHANGING, _LIMITED = "gent", "brugge"
_LIMITED_KEY = "key-brugge"
_RATE_PER_S, _BURST = 4, 4
# The users' bounds: the calls that may run in any window, and the time until a change applies.
_WINDOW_S = 5.0
_MAX_CALLS_PER_WINDOW = (_RATE_PER_S * _WINDOW_S + _BURST) * 1.1 + 20
_APPLY_S = 3.0
_KEY_LIFETIME_S = 2.5
_numbers = itertools.count(1)


def initial_customers() -> list[dict]:
    """Return the customers of the initial configuration."""
    return _customers("key-gent-0")


def _customers(*keys: str) -> list[dict]:
    limited = {"name": _LIMITED, "apiKeys": [_LIMITED_KEY], "ratePerS": _RATE_PER_S}
    return [
        {"name": Ledger.customer, "apiKeys": [Ledger.key]},
        {"name": _CHANGING, "apiKeys": list(keys)},
        limited | {"burst": _BURST},
    ]


@dataclass(slots=True)
class KeyRotationClient:
    """Replaces its key every few seconds, and calls with both the new and the old one."""

    harness: SoakHarness
    ledger: Ledger
    rng: random.Random
    http: HttpClient = field(default_factory=HttpClient)
    # When each key was removed; the newest key is not included.
    removed_s: dict[str, float] = field(default_factory=dict)
    key_by_request: dict[str, str] = field(default_factory=dict)
    attempts: list[OnlineAttempt] = field(default_factory=list)

    async def run(self) -> None:
        """Call and replace keys until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._replace_keys)
            while True:
                await trio.sleep(self.rng.expovariate(1 / 0.3))
                nursery.start_soon(self._call, self.rng.choice(self._keys()))

    def _keys(self) -> list[str]:
        newest = f"key-gent-{len(self.removed_s)}"
        return [newest, *list(self.removed_s)[-1:]]

    async def _replace_keys(self) -> None:
        while True:
            await trio.sleep(_KEY_LIFETIME_S)
            former, key = self._keys()[0], f"key-gent-{len(self.removed_s) + 1}"
            self.harness.configure({"tenants": _customers(key)})
            self.removed_s[former] = trio.current_time()

    async def _call(self, key: str) -> None:
        number = next(_numbers)
        node = self.rng.choice(self.harness.nodes)
        path = f"/rights/k-{number}"
        attempt = OnlineAttempt(
            f"k-{number}", path, b"", node.name, trio.current_time(), at_most_once=True
        )
        self.attempts.append(attempt)
        self.key_by_request[attempt.request_id] = key
        headers = {"x-request-id": attempt.request_id, "authorization": f"Bearer {key}"}
        reply = await call_node(self.http, node.front, "POST", path, headers=headers)
        attempt.status, attempt.complete = reply.status, reply.complete


@dataclass(slots=True)
class OverLimitClient:
    """Sends several times as many calls as its customer's limit allows."""

    harness: SoakHarness
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
        node = self.rng.choice(self.harness.nodes)
        path = f"/rights/l-{number}"
        attempt = OnlineAttempt(
            f"l-{number}", path, b"", node.name, trio.current_time(), at_most_once=True
        )
        self.attempts.append(attempt)
        headers = {"x-request-id": attempt.request_id, "authorization": f"Bearer {_LIMITED_KEY}"}
        reply = await call_node(self.http, node.front, "POST", path, headers=headers)
        attempt.status, attempt.complete = reply.status, reply.complete


def customer_violations(
    ledger: Ledger,
    upstreams: Iterable[SoakUpstream],
    key_client: KeyRotationClient,
    over_limit: OverLimitClient,
) -> Iterator[str]:
    """Yield the violations seen by upstreams: wrong names, passed-on keys, late or excess runs."""
    started_s = {name: at for item in upstreams for name, at in item.upstream.started}
    names = {attempt.request_id: _CHANGING for attempt in key_client.attempts}
    names |= {attempt.request_id: _LIMITED for attempt in over_limit.attempts}
    for item in upstreams:
        for seen in item.upstream.seen:
            request_id = seen["x-request-id"]
            expected, found = names.get(request_id, Ledger.customer), seen.get("x-tenant")
            if found != expected or "authorization" in seen:
                yield f"{request_id}: ran for {found!r}, not {expected!r}, or with a key"
    for attempt in (*key_client.attempts, *over_limit.attempts):
        if attempt.status in (401, *NOT_RUN_STATUSES) and attempt.request_id in started_s:
            yield f"{attempt.request_id}: {attempt.status}, yet it has run"
    for attempt in key_client.attempts:
        key = key_client.key_by_request[attempt.request_id]
        until_s = key_client.removed_s.get(key, float("inf"))
        if attempt.request_id not in started_s or attempt.sent_s <= until_s + _APPLY_S:
            continue
        if ledger.was_calm(until_s, attempt.sent_s):
            yield f"{attempt.request_id}: ran with {key}, gone for {attempt.sent_s - until_s:.1f} s"
    runs = sorted(
        (attempt.sent_s, started_s[attempt.request_id])
        for attempt in over_limit.attempts
        if attempt.request_id in started_s
    )
    for position, (first_s, _) in enumerate(runs):
        last = bisect_right(runs, (first_s + _WINDOW_S, float("inf")))
        count = sum(begun_s <= first_s + _WINDOW_S for _, begun_s in runs[position:last])
        if count > _MAX_CALLS_PER_WINDOW:
            yield f"{count} calls of {_LIMITED} ran in a window from {ledger.format_time(first_s)}"
            return
