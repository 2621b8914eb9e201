"""Runs a step, or blocks the process, while a client connects to an upstream."""

import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from unittest import mock

from fescuedock.address import Address
from fescuedock.net.http_client import HttpClient, _ClientConnection

__all__ = ["during_connect", "block_process"]


@contextmanager
def during_connect(
    addresses: list[Address], happens: Callable[[Address], Awaitable[None]]
) -> Iterator[list[Address]]:
    """Run ``happens`` after the first new connection to one of ``addresses`` in this process.

    The request is written in the same step of the task in which ``happens`` ends.  The yielded list
    contains the address of the connection.
    """
    connect = HttpClient._connect
    connected: list[Address] = []

    async def connect_slowly(client: HttpClient, address: Address) -> _ClientConnection:
        connection = await connect(client, address)
        if address in addresses and not connected:
            connected.append(address)
            try:
                await happens(address)
            except BaseException:
                connection.abort()
                raise
        return connection

    with mock.patch.object(HttpClient, "_connect", connect_slowly):
        yield connected


def block_process(duration_s: float) -> None:
    """Block the entire process, as when it is paused or swapped out."""
    time.sleep(duration_s)
