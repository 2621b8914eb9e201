"""The owner's active checks of an upstream, in addition to the outcomes of attempts."""

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
    """``probe`` tests an upstream that was taken out of use; ``load`` reads an engine's load.

    Without ``load`` nothing is read: where the number of slots is declared, the owner's own count
    is as precise, and earlier.
    """

    probe: Callable[[UpstreamRecord, Configuration], Awaitable[AttemptOutcome]]
    load: Callable[[UpstreamRecord], Awaitable[Result["EngineLoad", Fault]]] | None = None
