"""Determines the member of a request by its API key."""

from collections.abc import Mapping

from result import Err, Ok, Result

from fescuedock.core.customers import Customer, CustomerIndex, bearer_keys, index_of, key_digest
from fescuedock.entry.context import EntryContext
from fescuedock.faults import Fault
from fescuedock.schema.config import Configuration
from fescuedock.schema.result_codes import ResultCode

__all__ = ["ANONYMOUS", "MemberDirectory", "bearer_key", "find_member"]

# The member of all callers without a known key; together they have a single member's share.
ANONYMOUS = "anonymous"


class MemberDirectory:
    """Members by the digests of their keys, rebuilt when the configuration changes."""

    __slots__ = ("_configuration", "_members")

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._members = CustomerIndex()

    def member_of(self, configuration: Configuration, key: str) -> str | None:
        """Return the member that ``key`` belongs to, or None."""
        if configuration is not self._configuration:
            self._members = _index(configuration)
            self._configuration = configuration
        return self._members.name_of(key_digest(key))


_DIRECTORY = MemberDirectory()


def find_member(
    context: EntryContext, headers: Mapping[str, str], directory: MemberDirectory = _DIRECTORY
) -> Result[str, Fault]:
    """Return the member of a request with ``headers``.

    Callers without a known key are ``ANONYMOUS``, or refused if the settings require a key.
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
    return bearer_keys([headers.get("authorization", "")])[0]


def _index(configuration: Configuration) -> CustomerIndex:
    return index_of(
        (Customer(member), spec.key_hashes) for member, spec in configuration.members.items()
    )
