"""Patches that the configuration commands build, and text tables."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescuedock.cli.config_patches import diff_patch, patch_id_of
from fescuedock.core.config.merge import merge_patch
from fescuedock.report.tables import table

NAMES = st.sampled_from(["services", "members", "share", "drain", "models"])
# A merge patch cannot set null, so configurations contain none.
LEAVES = st.one_of(st.booleans(), st.integers(), st.text(max_size=5), st.lists(st.integers()))
DOCUMENTS = st.dictionaries(
    NAMES, st.recursive(LEAVES, lambda inner: st.dictionaries(NAMES, inner, max_size=4))
)


class DiffPatchTest(unittest.TestCase):
    @given(DOCUMENTS, DOCUMENTS)
    def test_the_patch_makes_the_desired_configuration(self, current: dict, desired: dict) -> None:
        self.assertEqual(merge_patch(current, diff_patch(current, desired)), desired)

    @given(DOCUMENTS)
    def test_nothing_changed_is_an_empty_patch(self, document: dict) -> None:
        self.assertEqual(diff_patch(document, document), {})

    def test_identity_is_of_base_and_content(self) -> None:
        first = patch_id_of(1, {"a": 1, "b": 2})
        self.assertEqual(first, patch_id_of(1, {"b": 2, "a": 1}))
        others = {patch_id_of(2, {"a": 1, "b": 2}), patch_id_of(1, {"a": 1})}
        self.assertEqual(len(others | {first}), 3)


class TableTest(unittest.TestCase):
    def test_numbers_are_right_aligned(self) -> None:
        text = table(("NAME", "N"), [("a", 5), ("long name", 100)])
        self.assertEqual(text, "NAME         N\na            5\nlong name  100")

    def test_table_without_rows_has_only_headers(self) -> None:
        self.assertEqual(table(("NAME", "N"), []), "NAME  N")


if __name__ == "__main__":
    unittest.main()
