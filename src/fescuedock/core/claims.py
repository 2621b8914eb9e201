"""At most one execution of a call that carries an ``Idempotency-Key``.

Before the call is dispatched, one record is created in the key-value service by compare-and-swap;
an entry that finds the record does not dispatch.  The record's state is ``dispatched`` from the
start: if its writer dies, the call may have run and will not run again.  Only a writer that knows
that its call was not sent changes the state, and only in its own record.

A pure state machine: it returns the next step and receives the result of each step.
"""

import re
from collections.abc import Iterable, Set
from enum import Enum, auto
from hashlib import sha256
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from fescuedock.faults import Fault
from fescuedock.schema.claims import ClaimRecord, ClaimState, RecordedAnswer
from fescuedock.schema.result_codes import ResultCode

if TYPE_CHECKING:
    from fescuedock.kv import KvEntry

__all__ = [
    "Claim",
    "Dispatch",
    "PutRecord",
    "ReadRecord",
    "Refuse",
    "Replay",
    "claim_key",
    "is_expired",
    "is_non_idempotent",
    "request_hash",
]

MAX_RECORDED_BYTES = 32 * 1024

_RETRY_AFTER_MS = 1000
_SLASHES = re.compile(r"/+")
_ANY_METHOD = "*"


class PutRecord(msgspec.Struct, frozen=True):
    """Write ``record`` if the key is at ``expected_revision``, and determine the outcome."""

    key: str
    record: ClaimRecord
    expected_revision: int


class ReadRecord(msgspec.Struct, frozen=True):
    """Read the key."""

    key: str


class Dispatch(msgspec.Struct, frozen=True):
    """This entry holds the claim: send the call, once."""


class Replay(msgspec.Struct, frozen=True):
    """The call was answered before: return that answer to the caller."""

    answer: RecordedAnswer


class Refuse(msgspec.Struct, frozen=True):
    """Do not send the call."""

    fault: Fault


class _Phase(Enum):
    CREATING = auto()
    READING = auto()
    OWNED = auto()
    FINISHED = auto()


class Claim(msgspec.Struct):
    """One entry's attempt to claim the dispatch of a call.

    ``token`` must be unguessable and new.  ``unsent_tokens`` are those of earlier attempts by this
    process that certainly dispatched nothing, although their records may still be stored.
    """

    key: str
    token: str
    request_hash: str
    created_at_s: int
    unsent_tokens: Set[str] = frozenset()
    revision: int = 0
    _phase: _Phase = msgspec.field(default=_Phase.CREATING)

    def start(self) -> PutRecord:
        """Return the first step: create the record."""
        return PutRecord(self.key, self._record(ClaimState.DISPATCHED), 0)

    def on_write(self, result: Result[int, Fault]) -> Dispatch | ReadRecord | Refuse:
        """Handle the result of writing the claim; return the next step."""
        self._require_phase(_Phase.CREATING)
        match result:
            case Ok(revision):
                self.revision = revision
                self._phase = _Phase.OWNED
                return Dispatch()
            case Err(Fault(code=ResultCode.KV_CONFLICT)):
                self._phase = _Phase.READING
                return ReadRecord(self.key)
            case Err(fault):
                return self._unavailable(str(fault))

    def on_read(self, result: Result["KvEntry | None", Fault]) -> PutRecord | Replay | Refuse:
        """Handle the record that another attempt had written; return the next step."""
        self._require_phase(_Phase.READING)
        match result:
            case Err(fault):
                return self._unavailable(str(fault))
            case Ok(None):
                return self._unavailable("the existing claim was removed before it was read")
            case Ok(entry):
                return self._evaluate(entry)

    def record_not_sent(self) -> PutRecord:
        """Return the write that lets another attempt claim a call that was certainly not sent."""
        self._require_phase(_Phase.OWNED)
        self._phase = _Phase.FINISHED
        return PutRecord(self.key, self._record(ClaimState.NOT_SENT), self.revision)

    def record_answer(self, answer: RecordedAnswer | None) -> PutRecord:
        """Return the write that marks the call as answered, with the answer if it is small.

        ``answer`` is None if its body is not known entirely.
        """
        self._require_phase(_Phase.OWNED)
        self._phase = _Phase.FINISHED
        small = answer is not None and len(answer.body) <= MAX_RECORDED_BYTES
        data = msgspec.json.encode(answer) if small else b""
        return PutRecord(self.key, self._record(ClaimState.ANSWERED, data), self.revision)

    def _evaluate(self, entry: "KvEntry") -> PutRecord | Replay | Refuse:
        try:
            found = msgspec.json.decode(entry.value, type=ClaimRecord)
        except msgspec.MsgspecError as error:
            return self._unavailable(f"the existing claim cannot be decoded: {error}")
        if found.request_hash != self.request_hash:
            message = "the Idempotency-Key was used for another call"
            return self._refuse(Fault(ResultCode.KEY_REUSED, message))
        if found.state is ClaimState.NOT_SENT or found.token in self.unsent_tokens:
            self._phase = _Phase.CREATING
            return PutRecord(self.key, self._record(ClaimState.DISPATCHED), entry.mod_revision)
        if found.state is ClaimState.ANSWERED and found.answer:
            self._phase = _Phase.FINISHED
            return Replay(msgspec.json.decode(found.answer, type=RecordedAnswer))
        message = "a call with this Idempotency-Key may have been dispatched before"
        return self._refuse(Fault(ResultCode.ALREADY_CLAIMED, message))

    def _record(self, state: ClaimState, answer: bytes = b"") -> ClaimRecord:
        return ClaimRecord(
            token=self.token,
            request_hash=self.request_hash,
            state=state,
            created_at_s=self.created_at_s,
            answer=answer,
        )

    def _unavailable(self, why: str) -> Refuse:
        message = f"the call's claim could not be made: {why}"
        return self._refuse(Fault(ResultCode.CLAIM_UNAVAILABLE, message, _RETRY_AFTER_MS))

    def _refuse(self, fault: Fault) -> Refuse:
        self._phase = _Phase.FINISHED
        return Refuse(fault)

    def _require_phase(self, phase: _Phase) -> None:
        if self._phase is not phase:
            raise RuntimeError(f"claim is {self._phase.name}, not {phase.name}")


def claim_key(prefix: str, member: str, service: str, idempotency_key: str) -> str:
    """Return the key of the record; members do not share keys."""
    name = "\0".join((member, service, idempotency_key))
    return f"{prefix}claims/{sha256(name.encode()).hexdigest()}"


def request_hash(method: str, target: str, body: bytes) -> str:
    """Return a hash that distinguishes calls under the same Idempotency-Key."""
    digest = sha256(f"{method}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


def is_expired(entry: "KvEntry", retention_s: int, now_s: int) -> bool:
    """Whether a record is older than ``retention_s``; an unreadable one never is."""
    try:
        record = msgspec.json.decode(entry.value, type=ClaimRecord)
    except msgspec.MsgspecError:
        return False
    return now_s - record.created_at_s > retention_s


def is_non_idempotent(rules: Iterable[str], method: str, path: str) -> bool:
    """Whether a rule of the form ``METHOD /path-prefix`` covers the call; ``*`` is any method.

    Repeated slashes and dot segments do not bypass a rule.
    """
    normalized_path = _normalize_path(path)
    for rule in rules:
        rule_method, _, prefix = rule.strip().partition(" ")
        if rule_method not in (_ANY_METHOD, method):
            continue
        if normalized_path.startswith(_normalize_path(prefix.strip())):
            return True
    return False


def _normalize_path(path: str) -> str:
    parts: list[str] = []
    for part in _SLASHES.sub("/", "/" + path).split("/"):
        if part == "..":
            del parts[-1:]
        elif part != ".":
            parts.append(part)
    return "/" + "/".join(parts).lstrip("/")
