"""Finds out which member a request comes from, by its API key."""

from collections.abc import Mapping
from hashlib import sha256

from result import Err, Ok, Result

from fescuedock.entry.context import EntryContext
from fescuedock.faults import Fault
from fescuedock.schema.config import Configuration
from fescuedock.schema.result_codes import ResultCode

__all__ = ["ANONYMOUS", "MemberDirectory", "bearer_key", "find_member"]

# Stands for all callers without a known key, who then share one member's share.
ANONYMOUS = "anonymous"

_SCHEME = "bearer "


class MemberDirectory:
    """Members by the SHA-256 of their keys, made anew when the configuration changes."""

    __slots__ = ("_configuration", "_members")

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._members: dict[str, str] = {}

    def member_of(self, configuration: Configuration, key: str) -> str | None:
        """Return the member that ``key`` belongs to, or None."""
        if configuration is not self._configuration:
            self._members = _index(configuration)
            self._configuration = configuration
        return self._members.get(sha256(key.encode()).hexdigest())


_DIRECTORY = MemberDirectory()


def find_member(
    context: EntryContext, headers: Mapping[str, str], directory: MemberDirectory = _DIRECTORY
) -> Result[str, Fault]:
    """Return the member of a request with ``headers``.

    Callers without a known key are ``ANONYMOUS``, or refused where the settings require a key.
    """
    key = bearer_key(headers)
    member = directory.member_of(context.view.configuration, key) if key else None
    if member is not None:
        return Ok(member)
    if context.settings.entry is not None and context.settings.entry.require_api_key:
        message = "the API key belongs to no member" if key else "an API key is required"
        return Err(Fault(ResultCode.UNAUTHORIZED, message))
    return Ok(ANONYMOUS)


def bearer_key(headers: Mapping[str, str]) -> str:
    """Return the key of an ``Authorization: Bearer`` header, or an empty string."""
    value = headers.get("authorization", "")
    return value[len(_SCHEME) :].strip() if value.lower().startswith(_SCHEME) else ""


def _index(configuration: Configuration) -> dict[str, str]:
    return {
        key_hash: member
        for member, spec in configuration.members.items()
        for key_hash in spec.key_hashes
    }
