"""The checks of engines with the OpenAI interface, and of plain services."""

import random

from fescuedock.agent.upstream_checks import UpstreamChecks
from fescuedock.agent.upstream_probe import UpstreamProbe
from fescuedock.backing.engine_control import EngineControl
from fescuedock.net.http_client import HttpClient

__all__ = ["engine_checks"]


def engine_checks(http: HttpClient, rng: random.Random) -> UpstreamChecks:
    """Return the checks that use ``http``."""
    return UpstreamChecks(UpstreamProbe(http, rng).run, EngineControl(http).load)
