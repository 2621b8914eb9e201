"""Decides whether a request may be written to an upstream now, for calls and items alike.

Choosing an upstream, getting a permit from its owner and opening a connection take time, in which
the facts behind the choice may change.  So this check runs immediately before the request is
written.  For items the state of the job is checked separately.

Pure: the caller passes the choice, the current facts and the time.
"""

import enum

import msgspec

from fescuedock.core.quarantine import FREE, Restriction, Verdict
from fescuedock.schema.view import UpstreamRecord

__all__ = ["PermitStatus", "SendRefusal", "refusal_of"]


class SendRefusal(enum.Enum):
    """Why a request must no longer be written."""

    GONE = "the upstream has gone"
    MOVED = "the upstream has another address"
    REPLACED = "the upstream has another software version"
    LEAVING = "the upstream is leaving"
    REVOKED = "its permit was revoked"
    LAPSED = "its permit has expired"
    LATE = "its deadline has passed"
    HARMFUL = "upstreams have crashed while running this work"
    NOT_ISOLATED = "this work may only run in isolation"
    KEY_GONE = "its caller's API key is no longer valid"


class PermitStatus(msgspec.Struct, frozen=True):
    """The state of a permit; ``valid_until_ms`` is infinite for one that no owner granted.

    ``isolated``: its owner admits no concurrent runs at the upstream.
    """

    revoked: bool
    valid_until_ms: float
    isolated: bool = False


def refusal_of(
    chosen: UpstreamRecord,
    current: UpstreamRecord | None,
    permit: PermitStatus,
    *,
    deadline_ms: float,
    now_ms: float,
    verdict: Verdict = FREE,
    key_is_valid: bool = True,
) -> SendRefusal | None:
    """Return why the request must not be written to ``chosen``, or None when it may.

    ``verdict`` is the current one on the unit of work: another node, where a client tried the same
    work, may have reported crashes since the permit was requested.  ``key_is_valid`` tells whether
    the configuration in force still assigns the caller's key to the same customer, as it may have
    been revoked while the call waited.  ``current`` is the upstream's current record, None when
    there is none.  The capacity of a lapsed permit may have been granted to other work; this
    refuses the request even where an attempt that already runs may continue without its permit.
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
        return SendRefusal.NOT_ISOLATED
    if verdict.restriction is Restriction.ALONE and not permit.isolated:
        return SendRefusal.NOT_ISOLATED
    if permit.revoked:
        return SendRefusal.REVOKED
    if permit.valid_until_ms <= now_ms:
        return SendRefusal.LAPSED
    if not key_is_valid:
        return SendRefusal.KEY_GONE
    if deadline_ms <= now_ms:
        return SendRefusal.LATE
    return None
