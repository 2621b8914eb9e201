"""HTTP for operators: the configuration, its patches and history, and drains."""

from fescuedock.entry.context import EntryContext
from fescuedock.entry.routes import Route

__all__ = ["routes"]


def routes(context: EntryContext) -> list[Route]:
    """Return the routes under ``/admin/``."""
    return []
