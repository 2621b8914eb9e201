"""The state that the online handlers of one entry share between requests."""

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fescuedock.address import Address
from fescuedock.backing.engine import EngineClient
from fescuedock.core.admission import Admission
from fescuedock.core.retry import RetryBudget, RetryPolicy
from fescuedock.core.route_learning import (
    DomainLatency,
    PrefillModel,
    PrefixMemory,
    RequestTimeout,
    SilentOwners,
)
from fescuedock.core.routing import RoutingPolicy
from fescuedock.core.streams import StallPolicy
from fescuedock.entry.context import EntryContext

if TYPE_CHECKING:
    from fescuedock.agent.link import FleetView
    from fescuedock.agent.permit_client import PermitClient
    from fescuedock.schema.view import UpstreamRecord

__all__ = ["OnlineState"]

_IDENTITY_BITS = 128


@dataclass(slots=True)
class OnlineState:
    """Shared by all online requests of one entry.

    ``rng`` generates the attempt identities, so it must be unguessable: ``random.SystemRandom``
    except in tests.
    """

    context: EntryContext
    rng: random.Random
    routing: RoutingPolicy = field(default_factory=RoutingPolicy)
    retry: RetryPolicy = field(default_factory=RetryPolicy)
    stall: StallPolicy = field(default_factory=StallPolicy)
    admission: Admission = field(default_factory=Admission)
    latency: DomainLatency = field(default_factory=DomainLatency)
    prefixes: PrefixMemory = field(default_factory=PrefixMemory)
    reply_timeout: RequestTimeout = field(default_factory=RequestTimeout)
    engines: EngineClient = field(init=False)
    budget: RetryBudget = field(init=False)
    silent_owners: SilentOwners = field(init=False)
    _prefill: dict[str, PrefillModel] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.engines = EngineClient(self.context.http)
        self.budget = RetryBudget(self.retry)
        self.silent_owners = SilentOwners(self.routing)

    @property
    def view(self) -> "FleetView":
        return self.context.view

    @property
    def permits(self) -> "PermitClient":
        return self.context.permits

    def prefill(self, service: str) -> PrefillModel:
        return self._prefill.setdefault(service, PrefillModel())

    def new_identity(self) -> str:
        """Return an unguessable identity."""
        return f"{self.rng.getrandbits(_IDENTITY_BITS):032x}"

    def is_connected(self, upstream: "UpstreamRecord") -> bool:
        """Whether there is an idle connection to ``upstream``."""
        return self.context.http.has_idle(Address(upstream.host, upstream.port))

    def shares(self) -> dict[str, float]:
        """Return the members' shares in the current configuration."""
        members = self.context.view.configuration.members
        return {name: spec.share for name, spec in members.items()}
