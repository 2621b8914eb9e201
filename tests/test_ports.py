"""The ports that tests are given, and let go of, beside other processes that run tests.

A node of one test did not start, as its port was taken at 127.0.0.2: "Address already in use".  A
fleet draws one number for all its hosts and binds it later.  Two processes drew the same number, as
each knew only what it had given itself and what was bound at 127.0.0.1 just then.

A spool that was killed and started again found its own port taken.  It had ended for the test, and
ZeroMQ's thread had not closed its socket yet.
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
# Of 12,000: drawn at random and unheld, twelve of them would come twice.
PORTS_EACH = 100
# Without a wait for ZeroMQ's thread one in eighteen failed.
RESTARTS = 20
DRAW_SCRIPT = f"""
from tests.builders.ports import free_ports
print(*free_ports({PORTS_EACH}), flush=True)
input()
"""


class PortsTest(unittest.TestCase):
    def test_no_port_is_allocated_to_two_processes(self) -> None:
        # Each process lives until its standard input is closed, and so holds what it was given.
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
