"""Tests that are run by tests of the test runner, and found by nothing else."""

import os
import unittest

__all__ = ["EndingTest", "PassingTest", "SampleTest"]


class SampleTest(unittest.TestCase):
    def test_that_passes(self) -> None:
        self.assertTrue(True)

    def test_that_fails(self) -> None:
        self.fail("it always does")

    @unittest.skip("so that one is skipped")
    def test_that_is_skipped(self) -> None:
        self.fail("it does not run")


class EndingTest(unittest.TestCase):
    def test_that_ends_its_process(self) -> None:
        os._exit(0)


class PassingTest(unittest.TestCase):
    def test_that_passes(self) -> None:
        self.assertTrue(True)
