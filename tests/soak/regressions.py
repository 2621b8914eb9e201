"""Seeds that have broken a promise once, with the cause that was found."""

from dataclasses import dataclass

__all__ = ["REGRESSIONS", "Regression"]


@dataclass(frozen=True, slots=True)
class Regression:
    """A seed and how long its faults go on; times are real, so a run repeats only mostly."""

    seed: int
    fault_s: float
    cause: str


REGRESSIONS: tuple[Regression, ...] = (
    Regression(3, 10.0, "the soak stopped a node that was still starting and had no handler yet"),
    Regression(27, 12.0, "the soak's client was ended while it waited for a job's acceptance"),
)
