"""Builders for configuration tests: a key-value cell with injected outcomes, VMs and patches."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import sha256
from random import Random

from result import Err, Ok, Result

from fescuedock.core.config.node import ConfigNode
from fescuedock.core.config.record import apply_request, empty_record
from fescuedock.faults import Fault
from fescuedock.schema.config import ConfigRecord, PatchRequest
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import VmRecord, VmState

__all__ = [
    "KvCell",
    "CallOutcome",
    "config_document",
    "member_patch",
    "node_of",
    "records",
    "vm_record",
]


class CallOutcome(StrEnum):
    """Outcome of one call to the cell."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    LATE = "late"


@dataclass(slots=True)
class KvCell:
    """One key of the key-value service; ``writes`` are the values whose write took effect."""

    value: bytes | None = None
    revision: int = 0
    writes: list[bytes] = field(default_factory=list)
    written_ms: list[float] = field(default_factory=list)
    now_ms: float = 0.0
    late: list[Callable[[], object]] = field(default_factory=list)

    def put(self, value: bytes, expected_revision: int, outcome: CallOutcome) -> Result[int, Fault]:
        """Compare and swap under ``outcome``."""

        def execute() -> Result[int, Fault]:
            if self.revision != expected_revision:
                return _err(ResultCode.KV_CONFLICT)
            self.value, self.revision = value, self.revision + 1
            self.writes.append(value)
            self.written_ms.append(self.now_ms)
            return Ok(self.revision)

        if outcome is CallOutcome.REFUSED:
            return _err(ResultCode.KV_UNAVAILABLE)
        if outcome is CallOutcome.ANSWERED:
            return execute()
        if outcome is CallOutcome.LOST_AFTER:
            execute()
        if outcome is CallOutcome.LATE:
            self.late.append(execute)
        return _err(ResultCode.KV_UNKNOWN)


def _err(code: ResultCode) -> Err[Fault]:
    return Err(Fault(code, "on command"))


def vm_record(name: str, failure_domain: str = "sala-chipre") -> VmRecord:
    """Return the record of a live VM whose agent can be called."""
    return VmRecord(name, "caldas", failure_domain, "127.0.0.1", 1, VmState.ALIVE, agent_port=7000)


def node_of(vm: VmRecord, vms: list[VmRecord], seed: int = 0) -> ConfigNode:
    """Return a node that has just started."""
    return ConfigNode(vm.vm_id, vm.failure_domain, 15000, lambda: vms, Random(seed))


def member_patch(base_version: int, patch_id: str, share: float = 1) -> PatchRequest:
    """Return a patch that sets the share of the member named like the patch."""
    return PatchRequest(base_version, patch_id, {"members": {patch_id: {"share": share}}}, "op")


def records(count: int, name: str = "patch") -> list[ConfigRecord]:
    """Return the records of versions 0 to ``count``; chains with another ``name`` differ."""
    chain = [empty_record()]
    for version in range(count):
        request = member_patch(version, f"{name}-{version}")
        chain.append(apply_request(chain[-1], request, 0).unwrap()[0])
    return chain


def config_document(members: int, models: int, keys: int = 1) -> dict:
    """Return the document of a fleet with that many members, models and keys per member."""
    return {
        "services": {
            f"service-{n}": {"kind": "model", "models": {f"model-{n}": {"version": "1"}}}
            for n in range(models)
        },
        "members": {
            f"member-{n:05d}": {
                "key_hashes": [sha256(f"{n}/{k}".encode()).hexdigest() for k in range(keys)],
                "share": 1.5,
            }
            for n in range(members)
        },
    }
