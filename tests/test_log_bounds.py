"""Logging is bounded and never blocks: the rate limit, the writer, and a reader that stops."""

import json
import os
import unittest

import eliot

from fescuedock.core.log_budget import LogBudget
from fescuedock.log_writer import BoundedWriter


class LogBudgetTest(unittest.TestCase):
    def test_each_kind_of_line_has_its_rate_and_dropped_lines_are_counted(self) -> None:
        budget = LogBudget(routine_per_s=10.0, other_per_s=40.0)
        written = sum(budget.allow("call", 0.0, routine=True) for _ in range(50))
        self.assertEqual((written, budget.pop_dropped_counts()), (10, {"call": 40}))
        self.assertEqual(budget.pop_dropped_counts(), {})
        self.assertTrue(budget.allow("call", 0.2, routine=True))

    def test_failures_have_a_greater_share_and_kinds_do_not_share(self) -> None:
        budget = LogBudget(routine_per_s=10.0, other_per_s=40.0)
        for _ in range(50):
            budget.allow("call", 0.0, routine=True)
        written = sum(budget.allow("failure", 0.0, routine=False) for _ in range(50))
        self.assertEqual(written, 40)


class BoundedWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writing = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writing)
        os.set_blocking(self.reader, False)

    def test_lines_are_written_while_the_reader_reads(self) -> None:
        writer = BoundedWriter(self.writing)
        for number in range(3):
            writer.write(b"line %d\n" % number)
            writer.flush()
        self.assertEqual(os.read(self.reader, 1000), b"line 0\nline 1\nline 2\n")

    def test_a_stopped_reader_delays_no_writer_and_gets_the_count_of_dropped_lines(self) -> None:
        writer = BoundedWriter(self.writing, max_bytes=1000)
        line = b"x" * 99 + b"\n"
        for _ in range(5000):
            writer.write(line)
            writer.flush()
        read = bytearray()
        for _ in range(20):
            writer.flush()
            read += self.read_all()
        writer.write(b"after\n")
        writer.flush()
        read += self.read_all()
        lines = read.decode().splitlines()
        complete = [item for item in lines if item == "x" * 99]
        dropped = json.loads(lines[-2])
        self.assertEqual(lines[-1], "after")
        self.assertEqual(
            dropped, {"message_type": "log_lines_dropped", "count": 5000 - len(complete)}
        )

    def test_the_log_library_writes_lines_through_it(self) -> None:
        destination = eliot.FileDestination(file=BoundedWriter(self.writing))
        destination({"message_type": "started", "vm_id": "vm-1"})
        [line] = self.read_all().splitlines()
        self.assertEqual(json.loads(line), {"message_type": "started", "vm_id": "vm-1"})

    def test_a_closed_reader_is_no_error(self) -> None:
        reader, writing = os.pipe()
        os.close(reader)
        writer = BoundedWriter(writing)
        writer.write(b"line\n")
        writer.flush()
        os.close(writing)

    def read_all(self) -> bytes:
        data = b""
        while True:
            try:
                part = os.read(self.reader, 65536)
            except BlockingIOError:
                return data
            data += part


if __name__ == "__main__":
    unittest.main()
