"""A request that was abandoned unanswered is not delivered later, as far as possible.

Guards against a server that runs work long after it was abandoned and run elsewhere.  It happens if
the network path to the server breaks, or the server does not read, while requests are written.
Their bytes wait in the sender's kernel, and after a plain close the kernel delivers them once the
path is back.  Bytes that the receiver's kernel has accepted are out of the sender's reach and are
still delivered; without the reset the receiver of the first test got five times as many.
"""

import array
import errno
import fcntl
import socket
import termios
import unittest
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from fescuedock.address import Address
from fescuedock.net.http_client import HttpClient, open_http_client
from tests.builders.standins import run_async

# Much larger than the receiver's buffer, and smaller than the sender's.
BODY = b"x" * 400_000
ABANDON_AFTER_S = 0.3
# Time for bytes that the sender's kernel would still deliver.
DELIVERY_S = 0.5


@contextmanager
def slow_receiver() -> Iterator[tuple[socket.socket, Address]]:
    """Yield a listening socket whose connections accept a few kilobytes until they are read."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        yield listener, Address(*listener.getsockname())


def kernel_received_bytes(connection: socket.socket) -> int:
    """Return the number of bytes that the kernel has received and that are unread."""
    count = array.array("i", [0])
    fcntl.ioctl(connection.fileno(), termios.FIONREAD, count)
    return count[0]


async def read_to_end(connection: socket.socket) -> tuple[int, bool]:
    """Read until no more bytes arrive; return their number, and whether it ended by a reset."""
    connection.setblocking(False)
    size_bytes = 0
    deadline_s = trio.current_time() + DELIVERY_S
    while trio.current_time() < deadline_s:
        try:
            data = connection.recv(65536)
        except BlockingIOError:
            await trio.sleep(0.01)
            continue
        except ConnectionResetError as error:
            return size_bytes, error.errno == errno.ECONNRESET
        if not data:
            return size_bytes, False
        size_bytes += len(data)
    return size_bytes, False


async def abandon_request(http: HttpClient, address: Address) -> None:
    with trio.move_on_after(ABANDON_AFTER_S):
        async with http.request(address, "POST", "/", (), BODY):
            raise AssertionError("no server answers")


class AbandonedRequestTest(unittest.TestCase):
    def test_bytes_that_the_receiver_had_not_accepted_are_not_delivered(self) -> None:
        async def test() -> None:
            with slow_receiver() as (listener, address):
                async with open_http_client() as http:
                    await abandon_request(http, address)
                    with listener.accept()[0] as connection:
                        kernel_bytes = kernel_received_bytes(connection)
                        received_bytes, reset = await read_to_end(connection)
            self.assertLess(kernel_bytes, len(BODY) / 2)
            self.assertLessEqual(received_bytes, kernel_bytes)
            self.assertTrue(reset)

        run_async(test)

    def test_a_small_request_that_the_receiver_accepted_is_still_delivered(self) -> None:
        # Out of the sender's reach; the receiver can only notice the reset that follows.
        async def test() -> None:
            with slow_receiver() as (listener, address):
                async with open_http_client() as http:
                    with trio.move_on_after(ABANDON_AFTER_S):
                        async with http.request(address, "POST", "/", (), b"small"):
                            raise AssertionError("no server answers")
                    with listener.accept()[0] as connection:
                        kernel_bytes = kernel_received_bytes(connection)
                        received_bytes, reset = await read_to_end(connection)
            self.assertEqual(received_bytes, kernel_bytes)
            self.assertTrue(reset)

        run_async(test)

    def test_a_connection_whose_answer_has_started_is_closed_normally(self) -> None:
        async def abandon_during_answer(http: HttpClient, address: Address) -> None:
            with trio.move_on_after(ABANDON_AFTER_S):
                async with http.request(address, "GET", "/") as response:
                    await response.read()

        async def test() -> None:
            with slow_receiver() as (listener, address):
                async with open_http_client() as http, trio.open_nursery() as nursery:
                    nursery.start_soon(abandon_during_answer, http, address)
                    await trio.sleep(ABANDON_AFTER_S / 3)
                    with listener.accept()[0] as connection:
                        self.assertIn(b"GET / ", connection.recv(65536))
                        connection.send(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nbe")
                        await trio.sleep(ABANDON_AFTER_S)
                        self.assertEqual(await read_to_end(connection), (0, False))

        run_async(test)


if __name__ == "__main__":
    unittest.main()
