"""Identification of callers by the keys of a configuration version."""

import unittest
from urllib.parse import unquote

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from fescuedock.core.customers import (
    ANONYMOUS,
    Caller,
    CallerRefusal,
    Customer,
    CustomerIndex,
    bearer_keys,
    identify,
    index_of,
    key_digest,
    scoped_job_id,
)

_NAMES = st.text(max_size=12)


def index(**keys: str) -> CustomerIndex:
    """Index customers by one key each."""
    return index_of((Customer(name), [key_digest(key)]) for name, key in keys.items())


KNOWN = index(caldas="key-c", gent="key-g")


class IdentifyTest(unittest.TestCase):
    def test_a_key_names_its_customer(self) -> None:
        found = identify(KNOWN, ["key-c"], public=False).ok_value
        self.assertEqual(found.name, "caldas")
        self.assertNotIn("key-c", repr(found))
        self.assertTrue(KNOWN.is_current(found))

    def test_the_same_key_twice_counts_once_and_two_keys_are_refused(self) -> None:
        self.assertIsInstance(identify(KNOWN, ["key-c", "key-c"], public=False), Ok)
        refused = identify(KNOWN, ["key-c", "key-g"], public=False)
        self.assertEqual(refused, Err(CallerRefusal.SEVERAL_KEYS))
        self.assertEqual(
            identify(KNOWN, ["key-c", ""], public=False), Err(CallerRefusal.SEVERAL_KEYS)
        )

    def test_a_missing_key_and_an_unknown_one_are_distinguished(self) -> None:
        self.assertEqual(identify(KNOWN, [], public=False), Err(CallerRefusal.NO_KEY))
        self.assertEqual(identify(KNOWN, ["x"], public=False), Err(CallerRefusal.UNKNOWN_KEY))

    def test_a_public_route_serves_all_callers_and_identifies_those_with_a_key(self) -> None:
        self.assertEqual(identify(KNOWN, [], public=True), Ok(Caller("")))
        self.assertEqual(identify(KNOWN, ["x"], public=True), Ok(Caller("")))
        named = identify(KNOWN, ["key-g"], public=True).ok_value
        self.assertEqual(named.name, "gent")
        # The call does not depend on the key, as it would be served without it.
        self.assertTrue(CustomerIndex().is_current(named))

    def test_without_customers_no_key_is_needed(self) -> None:
        self.assertEqual(identify(CustomerIndex(), ["x", "y"], public=False), Ok(ANONYMOUS))

    def test_a_removed_or_reassigned_key_is_no_longer_current(self) -> None:
        caller = identify(KNOWN, ["key-c"], public=False).ok_value
        self.assertFalse(index(gent="key-g").is_current(caller))
        self.assertFalse(index(gent="key-c").is_current(caller))
        self.assertTrue(index(caldas="key-c").is_current(caller))

    def test_a_shared_key_and_a_duplicate_customer_are_refused(self) -> None:
        for rows in ([("a", "k"), ("b", "k")], [("a", "k"), ("a", "l")]):
            with self.assertRaises(ValueError):
                index_of((Customer(name), [key]) for name, key in rows)

    def test_only_bearer_values_contain_keys(self) -> None:
        self.assertEqual(bearer_keys(["Bearer a", "bearer  b ", "Basic a"]), ["a", "b", ""])

    @given(_NAMES, st.text(min_size=1), _NAMES, st.text(min_size=1))
    def test_jobs_of_two_customers_never_have_the_same_identity(
        self, name: str, job: str, other: str, other_job: str
    ) -> None:
        scoped = scoped_job_id(Caller(name), job)
        same = scoped == scoped_job_id(Caller(other), other_job)
        self.assertEqual(same, (name, job) == (other, other_job))
        self.assertEqual(unquote(scoped.partition(":")[0]), name)


if __name__ == "__main__":
    unittest.main()
