"""Measure the cost of permits: ``python -m bench.permit_costs [--record]``.

Drives the shipped owner in virtual time with the load of one node of the target fleet, and sizes
each message with the shipped codec.
"""

import statistics
import sys
import time

from bench.slopes import Slope, record_slopes
from fescuedock.core.permits.owner import OwnedUpstream, PermitOwner
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.net.codec import Codec, Key
from fescuedock.schema import permits
from fescuedock.schema.permits import AttemptOutcome, EndedPermit, HeldPermit, PermitAsk, WorkClass
from fescuedock.schema.settings import PermitSettings

ROUNDS = 7
CYCLES = 2000
UPSTREAM = "worker-0412"
SERVICE = "admision-llm"
VALID_MS = 2000
COMMAND = "python -m bench.permit_costs --record"


def main() -> None:
    """Print all figures; with ``--record`` also store them."""
    cycle_us, renew_us = owner_costs_us()
    measured = {
        "permit_cycle_us": Slope(
            cycle_us, "us", COMMAND, f"median of {ROUNDS} rounds of ask, grant and end, core only"
        ),
        "permit_renewed_us": Slope(
            renew_us, "us", COMMAND, f"median of {ROUNDS} rounds, per permit renewed, core only"
        ),
    }
    for name, size_bytes in message_sizes_bytes().items():
        measured[name] = Slope(size_bytes, "bytes", COMMAND, "encoded and signed, without framing")
    for name, slope in measured.items():
        print(f"{name:24} {slope.value:8.1f} {slope.unit}")
    if "--record" in sys.argv:
        record_slopes(measured)


def owner_costs_us() -> tuple[float, float]:
    """Return the processor time of a permit from request to end, and of one renewal."""
    cycles, renewals = [], []
    for _ in range(ROUNDS):
        owner = _owner()
        held = [_held(number) for number in range(8)]
        started_s = time.process_time()
        for number in range(CYCLES):
            owner.submit(_permit_request(number), number * 10.0)
            owner.end(permits.PermitsEnded("vm-1/entry", [_ended(number)]), number * 10.0 + 5)
        cycles.append((time.process_time() - started_s) * 1e6 / CYCLES)
        started_s = time.process_time()
        for number in range(CYCLES // 8):
            owner.renew(permits.PermitRenew("vm-2/entry", held), CYCLES * 10.0 + number)
        renewals.append((time.process_time() - started_s) * 1e6 / CYCLES)
    return round(statistics.median(cycles), 2), round(statistics.median(renewals), 2)


def message_sizes_bytes() -> dict[str, int]:
    """Return the sizes of the messages of one permit and its renewals."""
    codec = Codec([permits], [Key("bench", bytes(16))])
    load = _owner().load(UPSTREAM, 0.0)
    one = codec.encode(permits.PermitRenew("vm-123/entry/7f3a", [_held(1)]))
    two = codec.encode(permits.PermitRenew("vm-123/entry/7f3a", [_held(1), _held(2)]))
    ended = codec.encode(permits.PermitsEnded("vm-123/entry/7f3a", [_ended(1)]))
    reply = permits.PermitReply(code=0, load=load, permit_id="p" * 22, valid_ms=VALID_MS)
    return {
        "permit_ask_bytes": len(codec.encode(_permit_request(1))),
        "permit_reply_bytes": len(codec.encode(reply)),
        "permit_ended_bytes": len(ended),
        "permit_renew_bytes": len(one),
        "permit_renew_more_bytes": len(two) - len(one),
        "permit_renew_reply_bytes": len(codec.encode(permits.PermitRenewReply(2000, [], [load]))),
    }


def _owner() -> PermitOwner:
    owner = PermitOwner(PermitSettings(), VALID_MS)
    owner.set_upstreams({UPSTREAM: OwnedUpstream(SERVICE, UpstreamTerms())}, {SERVICE: 20}, 0.0)
    return owner


def _permit_request(number: int) -> PermitAsk:
    return PermitAsk(
        upstream_id=UPSTREAM,
        attempt_id=f"attempt-{number:014}",
        holder_id="vm-123/entry/7f3a",
        service=SERVICE,
        member="member-1234",
        work_class=WorkClass.ONLINE,
        slack_ms=800,
        prompt_tokens=900,
        max_tokens=300,
        prefix_hash="a1b2c3d4e5f6a7b8",
        wait_ms=50,
    )


def _held(number: int) -> HeldPermit:
    return HeldPermit(
        permit_id=f"other-{number:016}",
        upstream_id=UPSTREAM,
        attempt_id=f"other-{number:016}",
        service=SERVICE,
        member="member-1234",
        work_class=WorkClass.ONLINE,
    )


def _ended(number: int) -> EndedPermit:
    return EndedPermit(
        permit_id=f"attempt-{number:014}",
        upstream_id=UPSTREAM,
        outcome=AttemptOutcome.COMPLETED,
        work_class=WorkClass.ONLINE,
        first_token_ms=180.0,
        inter_token_ms=21.0,
        prompt_tokens=900,
        generated_tokens=120,
    )


if __name__ == "__main__":
    main()
