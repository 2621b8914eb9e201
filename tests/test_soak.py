"""A short seeded run of the soak: real processes, faults from outside, promises from both ends."""

import tempfile
import unittest
from pathlib import Path

from tests.soak.regressions import REGRESSIONS
from tests.soak.runs import run_seed

# Long enough for about ten faults; the long runs are made by hand (docs/SOAK.md).
FAULT_S = 6.0
SEED = 20
NODES = 3


class SoakTest(unittest.TestCase):
    def run_seed(self, seed: int, nodes: int, fault_s: float) -> None:
        with tempfile.TemporaryDirectory() as folder:
            report = run_seed(seed, Path(folder), fault_s, nodes)
            self.assertEqual(report.broken, [], report.faults)
            self.assertGreater(report.whole, 0)

    def test_a_seeded_run_keeps_the_promises(self) -> None:
        self.run_seed(SEED, NODES, FAULT_S)

    def test_seeds_that_failed_once_keep_them_now(self) -> None:
        for case in REGRESSIONS:
            with self.subTest(seed=case.seed, cause=case.cause):
                self.run_seed(case.seed, case.nodes, case.fault_s)


if __name__ == "__main__":
    unittest.main()
