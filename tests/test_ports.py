"""Allocation and release of test ports while other processes run tests too.

Guards against two failures, both "Address already in use" at the start of a program:

- Two processes allocate the same port.  A fleet allocates one port number for all its hosts and
  binds it later, so checking that it is unbound at 127.0.0.1 does not protect it.
- A killed and restarted spool finds its own port in use, because ZeroMQ's thread closes the socket
  some time after the program has ended.
"""

import socket
import subprocess
import sys
import tempfile
import unittest
from collections import Counter
from pathlib import Path

import trio

from fescuedock.address import Address
from tests.builders.node import RunningSpool, running_fleet
from tests.builders.ports import free_ports, wait_released
from tests.builders.standins import run_async

PROCESSES = 6
# Drawn at random from 12,000 without a reservation, twelve of them would be duplicates.
PORTS_EACH = 100
# Without a wait for ZeroMQ's thread, one restart in eighteen fails.
RESTARTS = 20
DRAW_SCRIPT = f"""
from tests.builders.ports import free_ports
print(*free_ports({PORTS_EACH}), flush=True)
input()
"""


class PortsTest(unittest.TestCase):
    def test_no_port_is_allocated_to_two_processes(self) -> None:
        # Each process runs, and so reserves its ports, until its standard input is closed.
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", DRAW_SCRIPT],
                cwd=Path(__file__).parent.parent,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(PROCESSES)
        ]
        drawn = Counter(free_ports(PORTS_EACH))
        for process in processes:
            drawn.update(int(port) for port in process.stdout.readline().split())
        for process in processes:
            process.communicate("\n")
        self.assertEqual(drawn.total(), (PROCESSES + 1) * PORTS_EACH)
        self.assertEqual([port for port, count in drawn.items() if count > 1], [])

    def test_wait_released_returns_once_no_socket_listens(self) -> None:
        [port] = free_ports(1)

        async def run() -> None:
            with socket.socket() as server:
                server.bind(("127.0.0.1", port))
                server.listen()
                with trio.move_on_after(0.1) as waited:
                    await wait_released(Address("127.0.0.1", port))
                self.assertTrue(waited.cancelled_caught)
            with trio.fail_after(5):
                await wait_released(Address("127.0.0.1", port))

        run_async(run)

    def test_a_stopped_program_listens_on_no_port(self) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as folder, trio.fail_after(30):
                async with running_fleet() as fleet:
                    spool = await fleet.start_spool(0, Path(folder))
                    address = Address(spool.settings.vm.host, spool.settings.agent.port)
                    for _ in range(RESTARTS):
                        spool.kill()
                        await spool.ended.wait()
                        with socket.socket() as server:
                            server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            server.bind((address.host, address.port))
                        spool = RunningSpool(spool.settings)
                        await fleet.nursery.start(spool.run)

        run_async(run)


if __name__ == "__main__":
    unittest.main()
