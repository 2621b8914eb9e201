"""Seeds that have broken a promise once, with the cause that was found."""

from dataclasses import dataclass

__all__ = ["REGRESSIONS", "Regression"]


@dataclass(frozen=True, slots=True)
class Regression:
    """A seed and how long its faults go on; times are real, so a run repeats only mostly."""

    seed: int
    fault_s: float
    cause: str


REGRESSIONS: tuple[Regression, ...] = ()
