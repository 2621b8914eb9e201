"""The ports that tests are given, beside other processes that run tests.

A node of one test did not start, as its port was taken at 127.0.0.2: "Address already in use".  A
fleet draws one number for all its hosts and binds it later.  Two processes drew the same number, as
each knew only what it had given itself and what was bound at 127.0.0.1 just then.
"""

import subprocess
import sys
import unittest
from collections import Counter
from pathlib import Path

from tests.builders.ports import free_ports

PROCESSES = 6
# Of 12,000: drawn at random and unheld, twelve of them would come twice.
PORTS_EACH = 100
DRAW = f"""
from tests.builders.ports import free_ports
print(*free_ports({PORTS_EACH}), flush=True)
input()
"""


class PortsTest(unittest.TestCase):
    def test_no_port_is_given_to_two_processes(self) -> None:
        # Each process lives until its standard input is closed, and so holds what it was given.
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", DRAW],
                cwd=Path(__file__).parent.parent,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(PROCESSES)
        ]
        given = Counter(free_ports(PORTS_EACH))
        for process in processes:
            given.update(int(port) for port in process.stdout.readline().split())
        for process in processes:
            process.communicate("\n")
        self.assertEqual(given.total(), (PROCESSES + 1) * PORTS_EACH)
        self.assertEqual([port for port, count in given.items() if count > 1], [])


if __name__ == "__main__":
    unittest.main()
