"""Identifies callers by the keys of one version of the configuration.

Keys are compared and stored as digests only, so neither a log nor a dump of this state reveals one.
Each version has its own immutable index, so a call that began under one version is checked again
under the next by querying the newer index.

Pure: no I/O, and no dependence on time.
"""

import enum
from collections.abc import Iterable, Mapping, Sequence
from hashlib import sha256
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

__all__ = [
    "ANONYMOUS",
    "Caller",
    "CallerRefusal",
    "Customer",
    "CustomerIndex",
    "bearer_keys",
    "identify",
    "index_of",
    "key_digest",
    "scoped_job_id",
]

_SCHEME = "bearer "
# Separates a customer's name from the identity that it gave a job; encoded names do not contain it.
_SCOPE = ":"


class Customer(msgspec.Struct, frozen=True):
    """One customer in a version of the configuration; ``rate_per_s`` 0 sets no limit."""

    name: str
    rate_per_s: float = 0.0
    # Calls that may arrive at once in addition to the rate.
    burst: float = 0.0
    # Overrides the priority of a route; None leaves it to the route.
    priority: int | None = None


class CustomerIndex(msgspec.Struct, frozen=True):
    """The customers of one version by name, and by the digests of their keys."""

    by_name: Mapping[str, Customer] = msgspec.field(default_factory=dict)
    names_by_digest: Mapping[str, str] = msgspec.field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether no customers are configured, so that no caller needs a key."""
        return not self.by_name

    def name_of(self, digest: str) -> str | None:
        """Return the customer that holds the key of ``digest``, or None."""
        return self.names_by_digest.get(digest)

    def is_current(self, caller: "Caller") -> bool:
        """Whether the key of ``caller`` still belongs to the same customer."""
        if not caller.digest:
            return True
        return self.names_by_digest.get(caller.digest) == caller.name


class Caller(msgspec.Struct, frozen=True):
    """The origin of a call.

    ``name`` is None where no customers are configured, and empty for a caller of a public route
    without a key.  ``digest`` is that of the key that the call depends on, if any.
    """

    name: str | None = None
    digest: str = ""


# The caller where no customers are configured.
ANONYMOUS = Caller()


class CallerRefusal(enum.Enum):
    """Why a call cannot be attributed to a customer."""

    NO_KEY = "an API key is required"
    UNKNOWN_KEY = "the API key belongs to no customer"
    SEVERAL_KEYS = "the call brings more than one API key"


def key_digest(key: str) -> str:
    """Return the digest under which a key is stored."""
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def index_of(customers: Iterable[tuple[Customer, Iterable[str]]]) -> CustomerIndex:
    """Index customers by the digests of their keys.

    Raise ``ValueError`` for a duplicate name or a key of two customers.
    """
    by_name: dict[str, Customer] = {}
    names: dict[str, str] = {}
    for customer, digests in customers:
        if customer.name in by_name:
            raise ValueError(f"customer {customer.name!r} is defined twice")
        by_name[customer.name] = customer
        for digest in digests:
            if names.setdefault(digest, customer.name) != customer.name:
                raise ValueError(f"{names[digest]!r} and {customer.name!r} hold the same key")
    return CustomerIndex(by_name, names)


def bearer_keys(values: Iterable[str]) -> list[str]:
    """Return the key of each ``Authorization`` value, an empty string for one of another scheme."""
    return [
        value[len(_SCHEME) :].strip() if value.lower().startswith(_SCHEME) else ""
        for value in values
    ]


def identify(
    index: CustomerIndex, keys: Sequence[str], *, public: bool
) -> Result[Caller, CallerRefusal]:
    """Return the caller of a call with ``keys``; a ``public`` route requires none.

    Several headers with the same key count as one.  With different keys, each component that reads
    them could choose another one.
    """
    if index.is_empty:
        return Ok(ANONYMOUS)
    distinct_keys = set(keys)
    if len(distinct_keys) == 1:
        digest = key_digest(distinct_keys.pop())
        name = index.name_of(digest)
        if name is not None:
            return Ok(Caller(name, "" if public else digest))
        refusal = CallerRefusal.UNKNOWN_KEY
    else:
        refusal = CallerRefusal.SEVERAL_KEYS if distinct_keys else CallerRefusal.NO_KEY
    return Ok(Caller("")) if public else Err(refusal)


def scoped_job_id(caller: Caller, job_id: str) -> str:
    """Return the identity of a job among those of all customers.

    Each customer has its own namespace of jobs, so that the key of another one finds none of them
    and does not even reveal that they exist.
    """
    return job_id if caller.name is None else f"{quote(caller.name, safe='')}{_SCOPE}{job_id}"
