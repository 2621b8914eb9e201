"""The capacity page matches its slopes and formulas."""

import unittest

from bench.capacity import PAGE, filled_page
from bench.capacity_model import Assumptions, Target, control_loads, total
from bench.slopes import read_slopes


class CapacityTest(unittest.TestCase):
    """The committed page equals the output of ``make capacity``."""

    def test_the_page_is_current(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        self.assertEqual(filled_page(text, read_slopes()), text)

    def test_control_fits_the_budget_only_while_validity_grows_with_the_fleet(self) -> None:
        target, slopes = Target(), read_slopes()
        shipped = total(control_loads(target, Assumptions(), slopes))
        fixed = total(control_loads(target, Assumptions(permit_valid_ms=2000), slopes))
        self.assertLessEqual(shipped.bytes_per_s, target.control_bytes_per_s)
        self.assertLessEqual(shipped.core_share, target.control_core_share)
        self.assertGreater(fixed.bytes_per_s, target.control_bytes_per_s)

    def test_a_missing_slope_is_named(self) -> None:
        slopes = read_slopes()
        del slopes["permit_ask_bytes"]
        with self.assertRaisesRegex(KeyError, "permit_ask_bytes"):
            control_loads(Target(), Assumptions(), slopes)
