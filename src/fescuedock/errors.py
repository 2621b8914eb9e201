"""Unexpected exceptions of one message, call or item, which must not end the process."""

from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from traceback import extract_tb

from fescuedock.log import log_event
from fescuedock.schema.result_codes import ResultCode

__all__ = ["internal_error_counts", "log_internal_error", "run_contained"]

# An exception's text may repeat foreign data of any length.
_MAX_TEXT_CHARACTERS = 400

# Of this process, by the kind of work that each one ended.
_counts: Counter[str] = Counter()


def log_internal_error(error: Exception, work: str = "call", **fields: object) -> None:
    """Log an exception that ended one unit of work of a kind, and count it.

    ``fields`` identify the unit of work.
    """
    _counts[work] += 1
    for leaf in _leaves(error):
        log_event(
            "internal_error",
            code=ResultCode.INTERNAL.value,
            work=work,
            error=repr(leaf)[:_MAX_TEXT_CHARACTERS],
            raised_at=_raised_at(leaf),
            **fields,
        )


async def run_contained(
    work: str, task: Callable[..., Awaitable[object]], *args: object, **fields: object
) -> bool:
    """Run one unit of work of a kind; return False after an exception, which is logged instead."""
    try:
        await task(*args)
    except Exception as error:
        log_internal_error(error, work, **fields)
        return False
    return True


def internal_error_counts() -> dict[str, int]:
    """Return how many units of work of each kind have ended with an unexpected exception."""
    return dict(_counts)


def _leaves(error: Exception) -> list[Exception]:
    if not isinstance(error, ExceptionGroup):
        return [error]
    return [leaf for part in error.exceptions for leaf in _leaves(part)]


def _raised_at(error: Exception) -> str:
    frames = extract_tb(error.__traceback__)
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
