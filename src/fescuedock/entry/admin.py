"""HTTP for operators: the configuration, its patches, history and rollout; a VM's leave."""

import msgspec
from result import Err, Ok, Result

from fescuedock.core.config.record import BadRecordError, decode_record
from fescuedock.entry.context import EntryContext
from fescuedock.entry.routes import Route
from fescuedock.faults import Fault
from fescuedock.net.http_server import Request, Responder, fault_body
from fescuedock.schema.config import (
    AppliedPatch,
    ConfigPull,
    ConfigPush,
    ConfigRecord,
    PatchRequest,
    RepublishConfig,
    SubmitPatch,
    SubmitPatchReply,
)
from fescuedock.schema.result_codes import HTTP_STATUS, ResultCode
from fescuedock.schema.view import LeaveRequest, VmState

__all__ = [
    "ConfigAnswer",
    "HistoryAnswer",
    "PatchAnswer",
    "VersionsAnswer",
    "VmVersion",
    "routes",
]

_MAX_PATCH_BYTES = 4_000_000
# Longer than the agent takes to resolve a write whose reply was lost.
_SUBMIT_TIMEOUT_MS = 12000
_RETRY_AFTER_MS = 1000
_NO_STORE = [("cache-control", "no-store")]
_REFUSAL_MESSAGES = {
    ResultCode.STALE_VERSION: "the patch was built on another version than {version}",
    ResultCode.INVALID_PATCH: "the patched configuration would be invalid: {problems}",
    ResultCode.PATCH_ID_REUSED: "the patch_id was used with other content",
    ResultCode.KV_UNAVAILABLE: "the key-value service is unavailable; nothing was written",
    ResultCode.KV_UNKNOWN: "the reply to the write was lost; send again with the same patch_id",
    ResultCode.CONFIG_REVERTED: "the key-value service holds another configuration than {version}",
    ResultCode.CONFIG_UNCONFIRMED: "another VM has a later version than {version}; ask its entry",
}


class ConfigAnswer(msgspec.Struct):
    """GET /admin/config.  An age below 0 means that the version was never confirmed."""

    version: int
    chain_hash: str
    confirmed_age_ms: int
    configuration: msgspec.Raw


class HistoryAnswer(msgspec.Struct):
    """GET /admin/config/history: the patches stored in the record, newest first."""

    version: int
    patches: list[AppliedPatch]


class PatchAnswer(msgspec.Struct):
    """An accepted patch."""

    version: int


class VmVersion(msgspec.Struct):
    """The version in use on one VM, as reported by membership messages."""

    vm_id: str
    failure_domain: str
    state: VmState
    version: int
    confirmed: bool


class VersionsAnswer(msgspec.Struct):
    """GET /admin/config/versions: ``behind`` lists the VMs that are below the requested version."""

    version: int
    vms: list[VmVersion]
    behind: list[str]


def routes(context: EntryContext) -> list[Route]:
    """Return the routes under ``/admin/config``, and ``/admin/leave``."""

    async def get_config(_request: Request, responder: Responder, _values: dict[str, str]) -> None:
        match await _pull(context):
            case Ok((push, record)):
                answer = ConfigAnswer(
                    push.version,
                    push.chain_hash,
                    push.confirmed_age_ms,
                    msgspec.Raw(record.document),
                )
                await responder.send_json(200, answer, _NO_STORE)
            case Err(fault):
                await responder.send_fault(fault)

    async def get_history(_request: Request, responder: Responder, _values: dict[str, str]) -> None:
        match await _pull(context):
            case Ok((push, record)):
                answer = HistoryAnswer(push.version, record.patches[::-1])
                await responder.send_json(200, answer, _NO_STORE)
            case Err(fault):
                await responder.send_fault(fault)

    async def get_versions(request: Request, responder: Responder, _values: dict[str, str]) -> None:
        try:
            wanted = int(request.query.get("version", context.view.config_version))
        except ValueError:
            text = request.query["version"]
            fault = Fault(ResultCode.BAD_REQUEST, f"version must be a number, not {text!r}")
            await responder.send_fault(fault)
            return
        await responder.send_json(200, _versions(context, wanted), _NO_STORE)

    async def post_patch(request: Request, responder: Responder, _values: dict[str, str]) -> None:
        try:
            patch = msgspec.json.decode(await request.read(_MAX_PATCH_BYTES), type=PatchRequest)
        except msgspec.MsgspecError as error:
            await responder.send_fault(Fault(ResultCode.BAD_REQUEST, str(error)))
            return
        await _send_outcome(
            responder, await context.agent.call(SubmitPatch(patch), _SUBMIT_TIMEOUT_MS)
        )

    async def republish(request: Request, responder: Responder, _values: dict[str, str]) -> None:
        message = RepublishConfig(request.query.get("actor", ""))
        await _send_outcome(responder, await context.agent.call(message, _SUBMIT_TIMEOUT_MS))

    async def leave(_request: Request, responder: Responder, _values: dict[str, str]) -> None:
        match await context.agent.call(LeaveRequest("asked for by an operator")):
            case Ok(answer):
                await responder.send_json(200, msgspec.structs.asdict(answer))
            case Err(fault):
                await responder.send_fault(fault)

    return [
        Route("GET", "/admin/config", get_config),
        Route("GET", "/admin/config/history", get_history),
        Route("GET", "/admin/config/versions", get_versions),
        Route("POST", "/admin/config/patches", post_patch),
        Route("POST", "/admin/config/republish", republish),
        Route("POST", "/admin/leave", leave),
    ]


async def _pull(context: EntryContext) -> Result[tuple[ConfigPush, ConfigRecord], Fault]:
    """Read the current record from this VM's agent."""
    match await context.agent.call(ConfigPull(0, whole_record=True)):
        case Ok(ConfigPush(version=0, confirmed_age_ms=age_ms)) if age_ms < 0:
            message = "this VM knows no version yet"
            return Err(Fault(ResultCode.CONFIG_UNCONFIRMED, message, _RETRY_AFTER_MS))
        case Ok(ConfigPush() as push):
            try:
                return Ok((push, decode_record(push.record)))
            except BadRecordError as error:
                return Err(Fault(ResultCode.INTERNAL, str(error)))
        case Ok(other):
            return Err(Fault(ResultCode.INTERNAL, f"the agent answered {type(other).__name__}"))
        case Err(fault):
            return Err(fault)


def _versions(context: EntryContext, wanted: int) -> VersionsAnswer:
    vms = [
        VmVersion(vm.vm_id, vm.failure_domain, vm.state, vm.config_version, vm.config_confirmed)
        for vm in sorted(context.view.vms.values(), key=lambda vm: vm.vm_id)
        if vm.state is not VmState.GONE
    ]
    behind = [vm.vm_id for vm in vms if vm.version < wanted]
    return VersionsAnswer(context.view.config_version, vms, behind)


async def _send_outcome(responder: Responder, outcome: Result[object, Fault]) -> None:
    match outcome:
        case Ok(SubmitPatchReply() as reply):
            await _send_reply(responder, reply)
        case Ok(other):
            message = f"the agent answered {type(other).__name__}"
            await responder.send_fault(Fault(ResultCode.INTERNAL, message))
        case Err(fault):
            await responder.send_fault(fault)


async def _send_reply(responder: Responder, reply: SubmitPatchReply) -> None:
    code = ResultCode(reply.code)
    if code is ResultCode.OK:
        await responder.send_json(200, PatchAnswer(reply.version))
        return
    text = _REFUSAL_MESSAGES.get(code, code.name).format(
        version=reply.version, problems="; ".join(reply.problems)
    )
    body = msgspec.json.decode(fault_body(Fault(code, text)))
    body["error"] |= {"version": reply.version, "problems": reply.problems}
    fields = []
    if HTTP_STATUS[code] == 503:
        fields = [("retry-after", "1"), ("retry-after-ms", str(_RETRY_AFTER_MS))]
        body["error"]["retry_after_ms"] = _RETRY_AFTER_MS
    await responder.send_json(HTTP_STATUS[code], body, fields)
