"""The address that a process listens on: an IP number and a port."""

from collections.abc import Iterator
from contextlib import contextmanager
from ipaddress import ip_address
from typing import Self

import msgspec

__all__ = ["Address", "naming_address"]


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP number and a TCP or UDP port; names are never resolved."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse ``HOST:PORT``; raise ``ValueError`` with the text if it is invalid."""
        host, separator, port = text.strip().rpartition(":")
        try:
            ip_address(host)
            port_number = int(port)
        except ValueError as error:
            raise ValueError(f"not an IP number and port: {text!r}") from error
        if not separator or not 0 <= port_number <= 65535:
            raise ValueError(f"not an IP number and port: {text!r}")
        return cls(host, port_number)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@contextmanager
def naming_address(address: Address) -> Iterator[None]:
    """Add ``address`` to the message of an ``OSError`` from listening on it."""
    try:
        yield
    except OSError as error:
        text = f"cannot listen on {address}: {error.strerror or error}"
        raise OSError(error.errno, text) from error
