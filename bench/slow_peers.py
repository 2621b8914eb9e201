"""Compare policies that disconnect slow clients when too many bytes are held for them.

    python -m bench.slow_peers

Clients arrive at random for responses of 15 to 870 KB: some read nothing, some 20 to 100 KB/s and
some 0.3 to 2 MB/s; every five seconds 30 or 120 clients that read nothing arrive at once.  A good
policy delivers the complete response to every client that reads.
"""

import math
import random
import sys
from collections import Counter
from collections.abc import Hashable

import msgspec

from fescuedock.core.slow_peers import HeldBounds, HeldBytes, SlowPeer

SEEDS = range(1, 4)
BOUNDS = HeldBounds(262144, 16 * 1024 * 1024)
STEP_MS = 10
SPAN_MS = 30_000
ARRIVALS_PER_S = 30.0
BURST_EVERY_MS = 5_000
BURSTS = (30, 120)
# Clients that read nothing leave after the deadline of a call.
PATIENCE_MS = 5_000
CLIENT_KINDS = (
    ("stalled", 0.2, 0, 0),
    ("slow", 0.2, 20_000, 100_000),
    ("fast", 0.6, 300_000, 2_000_000),
)


class NewAreLast(HeldBytes):
    """New clients are disconnected only after all others."""

    def slowest(self, now_ms: float) -> Hashable:
        return min(self.peers, key=lambda key: _order(self.peers[key], now_ms, math.inf))


class NewAreFirst(HeldBytes):
    """New clients count as reading nothing."""

    def slowest(self, now_ms: float) -> Hashable:
        return min(self.peers, key=lambda key: _order(self.peers[key], now_ms, 0.0))


class NewAreTypical(HeldBytes):
    """New clients count as the median of the others."""

    def slowest(self, now_ms: float) -> Hashable:
        rates = sorted(peer.rate(now_ms) for peer in self.peers.values() if not peer.is_new(now_ms))
        typical = rates[len(rates) // 2] if rates else 0.0
        return min(self.peers, key=lambda key: _order(self.peers[key], now_ms, typical))


class LargestFirst(HeldBytes):
    """The client with the most bytes held is disconnected, regardless of its read rate."""

    def slowest(self, now_ms: float) -> Hashable:
        return max(self.peers, key=lambda key: self.peers[key].held_bytes)


class OldestFirst(HeldBytes):
    """The client whose bytes have been held longest is disconnected."""

    def slowest(self, now_ms: float) -> Hashable:
        return min(self.peers, key=lambda key: self.peers[key].since_ms)


class Client(msgspec.Struct):
    """One simulated client."""

    kind: str
    rate: float
    remaining_bytes: int
    leaves_ms: float


def _order(peer: SlowPeer, now_ms: float, new_rate: float) -> tuple[float, int]:
    return (new_rate if peer.is_new(now_ms) else peer.rate(now_ms), -peer.held_bytes)


def play(
    policy: type[HeldBytes], seed: int, burst_clients: int
) -> tuple[Counter[str], Counter[str]]:
    """Return by kind the counts of clients that arrived and that were disconnected."""
    rng = random.Random(seed)
    held = policy(BOUNDS)
    clients: dict[int, Client] = {}
    arrived: Counter[str] = Counter()
    disconnected: Counter[str] = Counter()

    def arrive(kind: str, rate: float, now_ms: float) -> None:
        number = sum(arrived.values())
        arrived[kind] += 1
        size_bytes = int(15_000 * (870 / 15) ** rng.random())
        clients[number] = Client(kind, rate, size_bytes, now_ms + PATIENCE_MS)
        for slowest in held.hold(number, size_bytes, now_ms):
            disconnected[clients.pop(slowest).kind] += 1

    for now_ms in range(0, SPAN_MS, STEP_MS):
        for number, client in list(clients.items()):
            read_bytes = min(int(client.rate * STEP_MS / 1000), client.remaining_bytes)
            client.remaining_bytes -= read_bytes
            held.record_released(number, read_bytes, now_ms)
            if not client.remaining_bytes or (not client.rate and now_ms >= client.leaves_ms):
                held.forget(number)
                del clients[number]
        if rng.random() < ARRIVALS_PER_S * STEP_MS / 1000:
            [kind] = rng.choices(CLIENT_KINDS, [share for _, share, _, _ in CLIENT_KINDS])
            arrive(kind[0], rng.uniform(kind[2], kind[3]), now_ms)
        if now_ms % BURST_EVERY_MS == 0:
            for _ in range(burst_clients):
                arrive("stalled", 0.0, now_ms)
    return arrived, disconnected


def main() -> None:
    """Print the disconnected clients of each kind over all seeds."""
    policies = (HeldBytes, NewAreLast, NewAreFirst, NewAreTypical, LargestFirst, OldestFirst)
    for burst_clients in BURSTS:
        for policy in policies:
            arrived: Counter[str] = Counter()
            disconnected: Counter[str] = Counter()
            for seed in SEEDS:
                for total, part in zip(
                    (arrived, disconnected), play(policy, seed, burst_clients), strict=True
                ):
                    total.update(part)
            shares = "  ".join(
                f"{kind} {disconnected[kind]}/{arrived[kind]}" for kind, *_ in CLIENT_KINDS
            )
            sys.stdout.write(f"bursts of {burst_clients:<5}{policy.__name__:15}{shares}\n")


if __name__ == "__main__":
    main()
