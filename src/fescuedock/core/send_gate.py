"""Whether a request may be written to an upstream now: the one place that decides it for any work.

An upstream is chosen, its owner is asked for a permit and a connection is opened; what was known at
the choice may hold no more by then.  So this is asked for at the writing itself, of calls and of
items, whose own gates judge the job besides.

Pure: the caller passes what was chosen, what it knows now and what time it is.
"""

import enum

import msgspec

from fescuedock.core.quarantine import FREE, Restriction, Verdict
from fescuedock.schema.view import UpstreamRecord

__all__ = ["PermitStanding", "SendRefusal", "refusal_of"]


class SendRefusal(enum.Enum):
    """Why a request must not be written any more."""

    GONE = "the upstream has gone"
    MOVED = "the upstream has another address"
    REPLACED = "the upstream has another software version"
    LEAVING = "the upstream is leaving"
    REVOKED = "its permit was revoked"
    LAPSED = "its permit has lapsed"
    LATE = "its deadline has passed"
    HARMFUL = "upstreams have ended under this work"
    NOT_ALONE = "this work may only run alone"
    KEY_GONE = "its caller's API key does not hold any more"


class PermitStanding(msgspec.Struct, frozen=True):
    """How a permit stands; ``valid_until_ms`` is infinite for one that no owner gave.

    ``alone`` says that its owner lets nothing else run at the upstream.
    """

    revoked: bool
    valid_until_ms: float
    alone: bool = False


def refusal_of(
    chosen: UpstreamRecord,
    current: UpstreamRecord | None,
    permit: PermitStanding,
    *,
    deadline_ms: float,
    now_ms: float,
    verdict: Verdict = FREE,
    key_holds: bool = True,
) -> SendRefusal | None:
    """Return why the request must not be written to ``chosen``, or None when it may.

    ``verdict`` is that on the work: what is known against it may have come since the permit was
    asked for, from another node where a client tried it too.  ``key_holds`` tells whether the
    version in force still gives the caller's key to the same customer, as it may have been taken
    away while the call waited.  ``current`` is what is known of the upstream now, None when it is
    not there.  A permit that has lapsed may have been given to other work, also where one that
    already runs may go on without.
    """
    if current is None:
        return SendRefusal.GONE
    if (current.host, current.port) != (chosen.host, chosen.port):
        return SendRefusal.MOVED
    if current.software_version != chosen.software_version:
        return SendRefusal.REPLACED
    if current.leaving:
        return SendRefusal.LEAVING
    if verdict.restriction is Restriction.REFUSED:
        return SendRefusal.HARMFUL
    if verdict.restriction is Restriction.UNSETTLED:
        return SendRefusal.NOT_ALONE
    if verdict.restriction is Restriction.ALONE and not permit.alone:
        return SendRefusal.NOT_ALONE
    if permit.revoked:
        return SendRefusal.REVOKED
    if permit.valid_until_ms <= now_ms:
        return SendRefusal.LAPSED
    if not key_holds:
        return SendRefusal.KEY_GONE
    if deadline_ms <= now_ms:
        return SendRefusal.LATE
    return None
