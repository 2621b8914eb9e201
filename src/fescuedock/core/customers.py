"""Who a caller is, by the keys of one version of the configuration.

Keys are compared and kept as digests only: neither a log nor a dump of this state gives one away.
Each version has an index of its own, which never changes, so a call that began under one version
is judged again under the next by asking the newer index.

Pure: no I/O, and nothing depends on the time.
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
# Between a customer's name and the identity that it gave a job; encoded names do not contain it.
_SCOPE = ":"


class Customer(msgspec.Struct, frozen=True):
    """What a version says of a customer; ``rate_per_s`` 0 sets no limit."""

    name: str
    rate_per_s: float = 0.0
    # Calls that may come at once on top of the rate.
    burst: float = 0.0
    # Takes precedence over that of a route; None leaves it to the route.
    priority: int | None = None


class CustomerIndex(msgspec.Struct, frozen=True):
    """The customers of one version by name, and by the digests of their keys."""

    by_name: Mapping[str, Customer] = msgspec.field(default_factory=dict)
    names_by_digest: Mapping[str, str] = msgspec.field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether no customers are configured, so that nobody has to bring a key."""
        return not self.by_name

    def name_of(self, digest: str) -> str | None:
        """Return the customer that holds the key of ``digest``, or None."""
        return self.names_by_digest.get(digest)

    def is_current(self, caller: "Caller") -> bool:
        """Whether ``caller`` would still be who it was taken for."""
        if not caller.digest:
            return True
        return self.names_by_digest.get(caller.digest) == caller.name


class Caller(msgspec.Struct, frozen=True):
    """Whom a call comes from.

    ``name`` is None where no customers are configured, and empty for a caller of a public route who
    brought no key.  ``digest`` is that of the key which the call depends on, if it depends on one.
    """

    name: str | None = None
    digest: str = ""


# Callers of a configuration without customers.
ANONYMOUS = Caller()


class CallerRefusal(enum.Enum):
    """Why nobody is known behind a call."""

    NO_KEY = "an API key is required"
    UNKNOWN_KEY = "the API key belongs to no customer"
    SEVERAL_KEYS = "the call brings more than one API key"


def key_digest(key: str) -> str:
    """Return the digest by which a key is known."""
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def index_of(customers: Iterable[tuple[Customer, Iterable[str]]]) -> CustomerIndex:
    """Index customers with the digests of their keys; ``ValueError`` for two that share one."""
    by_name: dict[str, Customer] = {}
    names: dict[str, str] = {}
    for customer, digests in customers:
        if customer.name in by_name:
            raise ValueError(f"customer {customer.name!r} is there twice")
        by_name[customer.name] = customer
        for digest in digests:
            if names.setdefault(digest, customer.name) != customer.name:
                raise ValueError(f"{names[digest]!r} and {customer.name!r} hold the same key")
    return CustomerIndex(by_name, names)


def bearer_keys(values: Iterable[str]) -> list[str]:
    """Return the key of each ``Authorization`` value, an empty string for one of another kind."""
    return [
        value[len(_SCHEME) :].strip() if value.lower().startswith(_SCHEME) else ""
        for value in values
    ]


def identify(
    index: CustomerIndex, keys: Sequence[str], *, public: bool
) -> Result[Caller, CallerRefusal]:
    """Return whom a call with ``keys`` comes from; a ``public`` route asks nobody for a key.

    Several lines with the same key count as one; with different ones it would be open to whoever
    reads them which is meant.
    """
    if index.is_empty:
        return Ok(ANONYMOUS)
    given = set(keys)
    if len(given) == 1:
        digest = key_digest(given.pop())
        name = index.name_of(digest)
        if name is not None:
            return Ok(Caller(name, "" if public else digest))
        refusal = CallerRefusal.UNKNOWN_KEY
    else:
        refusal = CallerRefusal.SEVERAL_KEYS if given else CallerRefusal.NO_KEY
    return Ok(Caller("")) if public else Err(refusal)


def scoped_job_id(caller: Caller, job_id: str) -> str:
    """Return the identity of a job among those of all customers.

    Each customer names its own jobs, so that a key of another one finds none of them, not even that
    they exist.
    """
    return job_id if caller.name is None else f"{quote(caller.name, safe='')}{_SCOPE}{job_id}"
