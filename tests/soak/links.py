"""Links between the nodes and spools of the soak, and the program of a node that uses them.

Usage: python -m tests.soak.links FILE

Each node reaches each other node and spool through a proxy of this pair alone.
"""

import sys
from configparser import ConfigParser
from dataclasses import dataclass
from functools import partial

from fescuedock.address import Address
from fescuedock.daemon import run_program
from fescuedock.node.main import run_node
from fescuedock.settings import NODE_SECTIONS
from tests.builders.partition import Network
from tests.builders.partitioned_node import redirect

__all__ = ["FIRST_SPOOL_HOST", "NodeLinks", "proxied"]

# The last numbers of host addresses: nodes begin at 1, spools and proxies at these.
FIRST_SPOOL_HOST = 100
_FIRST_PROXY_HOST = 110
_MAX_MEMBERS = 16
_MAX_NODES = 8


def _proxy_host(prefix: str, node: int, other: int) -> str:
    return f"{prefix}{_FIRST_PROXY_HOST + _MAX_MEMBERS * node + other}"


@dataclass(slots=True)
class NodeLinks(Network):
    """The links of one run; spools are numbered after the nodes, and open no connections."""

    def host(self, node: int) -> str:
        spool = node - self.size
        return f"{self.prefix}{node + 1 if spool < 0 else FIRST_SPOOL_HOST + spool}"

    def proxy_host(self, node: int, other: int) -> str:
        spool = other - self.size
        return _proxy_host(self.prefix, node, other if spool < 0 else _MAX_NODES + spool)


def proxied(own_host: str, address: Address) -> Address:
    """Return where the node at ``own_host`` finds the node or spool at ``address``."""
    prefix, own_number = own_host[: own_host.rindex(".") + 1], own_host.rpartition(".")[2]
    if not address.host.startswith(prefix) or address.host == own_host:
        return address
    other = int(address.host.rpartition(".")[2])
    if FIRST_SPOOL_HOST <= other < _FIRST_PROXY_HOST:
        member = _MAX_NODES + other - FIRST_SPOOL_HOST
    elif other <= _MAX_NODES:
        member = other - 1
    else:
        # The proxy from which a datagram came.
        return address
    return Address(_proxy_host(prefix, int(own_number) - 1, member), address.port)


def main() -> None:
    """Run one node until SIGTERM."""
    file = sys.argv.pop(1)
    settings = ConfigParser()
    settings.read(file, encoding="utf-8")
    redirect(partial(proxied, settings["vm"]["host"]))
    run_program("node", run_node, NODE_SECTIONS, file=file)


if __name__ == "__main__":
    main()
