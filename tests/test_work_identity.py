"""One identity for all attempts of a unit of work, and a different one for any other work."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescuedock.core.work_identity import work_identity

_PARTS = st.lists(st.binary(max_size=6), max_size=4)


class WorkIdentityTest(unittest.TestCase):
    def test_text_counts_as_its_bytes(self) -> None:
        self.assertEqual(work_identity("a", b"b"), work_identity(b"a", "b"))

    @given(_PARTS, _PARTS)
    def test_the_identity_is_equal_for_equal_parts_only(
        self, one: list[bytes], other: list[bytes]
    ) -> None:
        self.assertEqual(work_identity(*one) == work_identity(*other), one == other)


if __name__ == "__main__":
    unittest.main()
