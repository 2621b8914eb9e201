"""Reads, compares and patches the configuration through an entry."""

import hashlib
from collections.abc import Mapping

import msgspec
from result import Err, Ok, Result

from fescuedock.cli.entry_session import EntrySession, Failure
from fescuedock.core.config.merge import JsonValue
from fescuedock.schema.config import PatchRequest

__all__ = [
    "Accepted",
    "CurrentConfig",
    "diff_patch",
    "patch_id_of",
    "submit_on_current",
    "submit_patch",
]

# Another operator may submit a patch between the read and the submission.
_MAX_ATTEMPTS = 5
_STALE_VERSION_NAME = "STALE_VERSION"


class CurrentConfig(msgspec.Struct):
    """The fields of the answer to GET /admin/config that the commands use."""

    version: int
    configuration: dict[str, object]


class Accepted(msgspec.Struct):
    """The version that a change created."""

    version: int


def patch_id_of(base_version: int, patch: Mapping[str, object]) -> str:
    """Return an ID derived from the content, so that a repeated command is the same patch."""
    text = msgspec.json.encode([base_version, patch], order="deterministic")
    return f"cli-{hashlib.sha256(text).hexdigest()[:24]}"


def diff_patch(current: JsonValue, desired: JsonValue) -> JsonValue:
    """Return the merge patch that turns ``current`` into ``desired``; ``{}`` if they are equal."""
    if not isinstance(current, Mapping) or not isinstance(desired, Mapping):
        return desired
    patch: dict[str, object] = {name: None for name in current if name not in desired}
    for name, value in desired.items():
        if name not in current:
            patch[name] = value
        elif current[name] != value:
            patch[name] = diff_patch(current[name], value)
    return patch


async def submit_patch(session: EntrySession, request: PatchRequest) -> Result[int, Failure]:
    """Submit one patch and return the version that it created."""
    answer = await session.post("/admin/config/patches", request, Accepted)
    return answer.map(lambda accepted: accepted.version)


async def submit_on_current(
    session: EntrySession, patch: dict[str, object], actor: str
) -> Result[int, Failure]:
    """Submit a patch on the current version; it must mean the same on any version.

    Repeat with the new version when another patch was accepted in between.
    """
    refused: Result[int, Failure] = Err(Failure("not tried"))
    for _ in range(_MAX_ATTEMPTS):
        match await session.get("/admin/config", CurrentConfig):
            case Ok(CurrentConfig() as current):
                identity = patch_id_of(current.version, patch)
                request = PatchRequest(current.version, identity, patch, actor)
                refused = await submit_patch(session, request)
            case other:
                return other
        if refused.is_ok() or not refused.unwrap_err().text.startswith(_STALE_VERSION_NAME):
            return refused
    return refused
