"""The types of foreign fields: each number has a range, and headers are read within it."""

import math
import unittest
from collections.abc import Iterator
from types import ModuleType

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from msgspec import inspect

from fescuedock.platform import calls, fields, job_calls, records, store_wire
from tests.builders.odd_values import ODD_INTEGERS, ODD_TEXTS

# Documents that this system only writes.
WRITTEN = {"_Results", "_Result", "Expectation", "Write", "TxnRequest", "LeaseRequest", "JobCall"}
LIMIT = 10**9


def read_structs(module: ModuleType) -> Iterator[type[msgspec.Struct]]:
    for item in vars(module).values():
        is_own = isinstance(item, type) and item.__module__ == module.__name__
        if is_own and issubclass(item, msgspec.Struct) and item.__name__ not in WRITTEN:
            yield item


def numbers(kind: inspect.Type) -> Iterator[inspect.IntType | inspect.FloatType]:
    """Yield the numbers in a field's type; structs are checked by themselves."""
    if isinstance(kind, inspect.IntType | inspect.FloatType):
        yield kind
    elif isinstance(kind, inspect.UnionType):
        for part in kind.types:
            yield from numbers(part)
    elif isinstance(kind, inspect.ListType):
        yield from numbers(kind.item_type)
    elif isinstance(kind, inspect.DictType):
        yield from numbers(kind.value_type)


class FieldRangeTest(unittest.TestCase):
    def test_each_number_that_others_write_has_a_range(self) -> None:
        """A field without one was taken at any size, and a later step could not encode it."""
        checked = 0
        for module in (records, store_wire, job_calls, calls):
            for struct in read_structs(module):
                for field in inspect.type_info(struct).fields:
                    for number in numbers(field.type):
                        with self.subTest(struct=struct.__name__, field=field.name):
                            self.assertIsNotNone(number.ge)
                            self.assertIsNotNone(number.le)
                            self.assertLess(number.le, 2**63)
                        checked += 1
        self.assertGreaterEqual(checked, 25)


class HeaderNumberTest(unittest.TestCase):
    def test_whole_numbers_up_to_the_limit_are_read(self) -> None:
        for text, value in (("0", 0), (" 7 ", 7), ("0" * 5000 + "3", 3), (str(LIMIT), LIMIT)):
            self.assertEqual(fields.bounded_whole_number(text, LIMIT), value)
        for text in (str(LIMIT + 1), "9" * 5000, "-1", "1.0", "", "٣", "1_0", "x"):
            self.assertIsNone(fields.bounded_whole_number(text, LIMIT), text[:20])

    def test_numbers_up_to_the_limit_are_read(self) -> None:
        for text, value in (("0", 0.0), ("2.5", 2.5), ("1e3", 1000.0)):
            self.assertEqual(fields.bounded_number(text, LIMIT), value)
        for text in ("inf", "nan", "-1", "1e400", "1e10", "", "x"):
            self.assertIsNone(fields.bounded_number(text, LIMIT), text)

    @given(st.one_of(st.text(), st.sampled_from(ODD_TEXTS), st.sampled_from(ODD_INTEGERS).map(str)))
    def test_any_text_is_a_number_within_the_limit_or_none(self, text: str) -> None:
        for value in (
            fields.bounded_whole_number(text, LIMIT),
            fields.bounded_number(text, LIMIT),
        ):
            if value is not None:
                self.assertTrue(0 <= value <= LIMIT and math.isfinite(value))


if __name__ == "__main__":
    unittest.main()
