"""Seeds that once broke a promise, with the cause."""

from dataclasses import dataclass

__all__ = ["REGRESSIONS", "Regression"]


@dataclass(frozen=True, slots=True)
class Regression:
    """A seed, its nodes, and how long faults are injected.

    As it runs in real time, a seed does not always reproduce its failure.  Without spools only the
    first series of faults runs, as it did when the seed failed.
    """

    seed: int
    nodes: int
    fault_s: float
    cause: str
    spools: int = 0
    # Whether work that crashes upstreams is sent as well.
    harm: bool = False
    # Whether nodes are isolated and routes move, beside no other faults.
    origins: bool = False


REGRESSIONS: tuple[Regression, ...] = (
    Regression(
        3, 4, 10.0, "the soak stopped a node that was still starting and had no handler yet"
    ),
    Regression(27, 4, 12.0, "the soak's client was ended while it waited for a job's acceptance"),
    Regression(
        8, 4, 12.0, "the soak killed all nodes, and waited for one that a stop had started anew"
    ),
    Regression(
        900, 3, 6.0, "a submission that came again after its job's end was begun at the owner"
    ),
    Regression(
        1040, 4, 12.0, "an owner that had stood still took news of before for knowledge of now"
    ),
    Regression(
        2994, 4, 12.0, "no node remembered an end that could not be recorded at once", spools=3
    ),
    Regression(
        8006,
        4,
        12.0,
        "items taken back for a run alone counted as having run beside it, so nothing was proved",
        spools=3,
        harm=True,
    ),
    Regression(
        9563,
        4,
        6.0,
        "a stream of one service went on at the other one, to which its route had moved",
        origins=True,
    ),
    Regression(
        9564,
        4,
        6.0,
        "an isolated node resumed streams of the second version by a record that named the first",
        origins=True,
    ),
)
