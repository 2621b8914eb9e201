"""A stand-in's server that is taken down and brought up again at its address."""

import socket
import unittest

import trio

from fescuedock.net.http_server import Request, Responder
from fescuedock.standin.listener import Listener
from tests.builders.net import LOOPBACK
from tests.builders.standins import run_async


async def answer(_request: Request, responder: Responder) -> None:
    await responder.send(200, b"{}")


class ListenerTest(unittest.TestCase):
    # Another process had taken the port by the time that the stand-in listened again.
    def test_its_port_is_taken_by_no_other_program_while_it_is_down(self) -> None:
        async def run() -> None:
            listener = Listener(answer)
            async with trio.open_nursery() as nursery:
                address = await nursery.start(listener.run, LOOPBACK)
                for _ in range(3):
                    listener.take_down()
                    await trio.sleep(0.05)
                    with socket.socket() as other, self.assertRaises(OSError):
                        other.bind((address.host, address.port))
                    with self.assertRaises(OSError):
                        await trio.open_tcp_stream(address.host, address.port)
                    listener.bring_up()
                    await trio.sleep(0.05)
                    stream = await trio.open_tcp_stream(address.host, address.port)
                    await stream.aclose()
                nursery.cancel_scope.cancel()

        run_async(run)


if __name__ == "__main__":
    unittest.main()
