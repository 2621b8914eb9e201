"""How the owner of an upstream looks at it, besides what its own attempts tell."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import msgspec
from result import Result

from fescuedock.faults import Fault
from fescuedock.schema.config import Configuration
from fescuedock.schema.permits import AttemptOutcome
from fescuedock.schema.view import UpstreamRecord

if TYPE_CHECKING:
    from fescuedock.backing.engine_wire import EngineLoad

__all__ = ["UpstreamChecks"]


class UpstreamChecks(msgspec.Struct, frozen=True):
    """``probe`` tries an upstream that was taken out; ``load`` reads an engine's own report.

    Without ``load`` nothing is read: where the number of slots is declared, the owner's own count
    tells as much, and sooner.
    """

    probe: Callable[[UpstreamRecord, Configuration], Awaitable[AttemptOutcome]]
    load: Callable[[UpstreamRecord], Awaitable[Result["EngineLoad", Fault]]] | None = None
