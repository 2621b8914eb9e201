"""A node as a process that reaches each other node through a proxy of this pair alone.

Usage: python -m tests.builders.partitioned_node FILE NUMBER

Nodes listen at ``NETWORK.0.NUMBER``.  What node 3 sends to node 5, over TCP or UDP, goes to
``NETWORK.3.5``, which ``tests.builders.partition`` forwards or drops.
"""

import sys
from collections.abc import Callable
from functools import partial

from fescuedock.address import Address
from fescuedock.daemon import run_program
from fescuedock.net.channel import ChannelClient
from fescuedock.net.channel_pool import ChannelPool
from fescuedock.net.udp import UdpSocket
from fescuedock.node.main import run_node
from fescuedock.settings import NODE_SECTIONS

__all__ = ["proxied", "redirect"]


def proxied(number: int, address: Address) -> Address:
    """Return where node ``number`` finds the node that listens at ``address``."""
    first, second, group, other = address.host.split(".")
    if group != "0" or first != "127" or second == "0":
        return address
    return Address(f"{first}.{second}.{number}.{other}", address.port)


def redirect(proxy_of: Callable[[Address], Address]) -> None:
    """Send what this process sends to other nodes to their proxies instead."""
    client, send = ChannelPool.client, UdpSocket.send

    async def redirected_client(self: ChannelPool, address: Address) -> ChannelClient:
        return await client(self, proxy_of(address))

    def redirected_send(self: UdpSocket, data: bytes, address: Address) -> bool:
        return send(self, data, proxy_of(address))

    ChannelPool.client = redirected_client
    UdpSocket.send = redirected_send


def main() -> None:
    """Run one node until SIGTERM."""
    file, number = sys.argv.pop(1), int(sys.argv.pop(1))
    redirect(partial(proxied, number))
    run_program("node", run_node, NODE_SECTIONS, file=file)


if __name__ == "__main__":
    main()
