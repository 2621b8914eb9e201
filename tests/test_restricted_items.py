"""Which restricted items are worth a log line."""

import unittest

from fescuedock.core.quarantine import Restriction, Verdict
from fescuedock.core.stored_jobs.restricted import RestrictedItem, RestrictedItems


def restricted(item_id: str, crashes: int, restriction: Restriction) -> RestrictedItem:
    return RestrictedItem("j", item_id, Verdict(restriction, crashes, trait="t"))


class RestrictedItemsTest(unittest.TestCase):
    def test_only_changes_are_returned_and_all_items_counted(self) -> None:
        items = RestrictedItems()
        first = restricted("a", 3, Restriction.REFUSED)
        second = restricted("b", 2, Restriction.ALONE)
        self.assertEqual(items.update([first, second]), [first, second])
        self.assertEqual(items.update([first, second]), [])
        later = restricted("a", 4, Restriction.REFUSED)
        self.assertEqual(items.update([later, second]), [later])
        self.assertEqual(len(items), 2)
        self.assertEqual(items.update([]), [])
        self.assertEqual(len(items), 0)
        self.assertEqual(items.update([first]), [first])


if __name__ == "__main__":
    unittest.main()
