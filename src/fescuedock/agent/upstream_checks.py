"""How the owner of an upstream looks at it, besides what its own attempts tell."""

import random
from collections.abc import Awaitable, Callable

import msgspec
from result import Result

from fescuedock.agent.upstream_probe import UpstreamProbe
from fescuedock.backing.engine_control import EngineControl
from fescuedock.backing.engine_wire import EngineLoad
from fescuedock.faults import Fault
from fescuedock.net.http_client import HttpClient
from fescuedock.schema.config import Configuration
from fescuedock.schema.permits import AttemptOutcome
from fescuedock.schema.view import UpstreamRecord

__all__ = ["UpstreamChecks", "engine_checks"]


class UpstreamChecks(msgspec.Struct, frozen=True):
    """``probe`` tries an upstream that was taken out; ``load`` reads an engine's own report.

    Without ``load`` nothing is read: where the number of slots is declared, the owner's own count
    tells as much, and sooner.
    """

    probe: Callable[[UpstreamRecord, Configuration], Awaitable[AttemptOutcome]]
    load: Callable[[UpstreamRecord], Awaitable[Result[EngineLoad, Fault]]] | None = None


def engine_checks(http: HttpClient, rng: random.Random) -> UpstreamChecks:
    """Return the checks for engines with the OpenAI interface, and for plain services."""
    return UpstreamChecks(UpstreamProbe(http, rng).run, EngineControl(http).load)
