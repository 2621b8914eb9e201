"""A stand-in's server that is taken down and brought up again at its address."""

import socket
import unittest
from unittest import mock

import trio

from fescuedock.address import Address
from fescuedock.net.http_server import Request, Responder
from fescuedock.standin.listener import Listener
from tests.builders.local import wait_until
from tests.builders.net import LOOPBACK
from tests.builders.standins import run_async


async def answer(_request: Request, responder: Responder) -> None:
    await responder.send(200, b"{}")


async def _accepts_connections(address: Address) -> bool:
    try:
        await (await trio.open_tcp_stream(address.host, address.port)).aclose()
    except OSError:
        return False
    return True


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

    # A process that is being started has a copy of the listening socket for some milliseconds.
    def test_it_returns_though_another_process_had_a_copy_of_its_socket(self) -> None:
        copies: list[trio.socket.SocketType] = []
        open_listeners = trio.open_tcp_listeners

        async def open_and_copy(*args: object, **options: object) -> list[trio.SocketListener]:
            listeners = await open_listeners(*args, **options)
            copies.extend(item.socket.dup() for item in listeners)
            return listeners

        async def run() -> None:
            listener = Listener(answer)
            async with trio.open_nursery() as nursery:
                with mock.patch("trio.open_tcp_listeners", open_and_copy):
                    address = await nursery.start(listener.run, LOOPBACK)
                listener.take_down()
                await trio.sleep(0.05)
                for copy in copies:
                    copy.close()
                listener.bring_up()
                await wait_until(lambda: _accepts_connections(address))
                nursery.cancel_scope.cancel()

        run_async(run)


if __name__ == "__main__":
    unittest.main()
