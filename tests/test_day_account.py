"""Summary of a day from saved logs."""

import unittest

import msgspec

from tests.day_account import DayAccount, read_lines


def line(at_s: float, kind: str, **fields: object) -> str:
    return f"{at_s:9.4f} node-1 {msgspec.json.encode({'message_type': kind, **fields}).decode()}\n"


class DayAccountTest(unittest.TestCase):
    def rows(self, *lines: str) -> list[str]:
        account = DayAccount(2.0)
        for item in read_lines(lines):
            account.add(item)
        return list(account.rows())

    def test_slots_are_spread_over_the_windows_that_a_run_overlaps(self) -> None:
        rows = self.rows(line(3.0, "item_run", took_ms=2000.0, attempt_end="whole", item_id="a"))
        self.assertEqual(rows[1].split()[:3], ["0.0", "0.0", "0.5"])
        self.assertEqual(rows[2].split()[:3], ["2.0", "0.0", "0.5"])
        self.assertIn("1 whole", rows[2])
        self.assertEqual(rows[3], "1 items, 1.00 runs each")

    def test_waits_count_where_the_call_arrived(self) -> None:
        rows = self.rows(
            line(3.0, "call_attempt", took_ms=500.0, since_receipt_ms=1600.0),
            line(3.0, "call_attempt", took_ms=500.0, since_receipt_ms=510.0),
        )
        self.assertEqual(rows[1].split()[3:5], ["1", "1"])
        self.assertEqual(rows[2].split()[3:5], ["1", "0"])

    def test_other_and_malformed_lines_are_skipped(self) -> None:
        rows = self.rows("worth 0.5\n", "  1.0 node-1 {broken}\n", line(1.0, "serving"))
        self.assertEqual(rows[1], "0 items, 0.00 runs each")


if __name__ == "__main__":
    unittest.main()
