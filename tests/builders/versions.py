"""Streams at upstreams of several software versions, and clients that resume them."""

import re
from dataclasses import dataclass

from fescuedock.address import Address
from fescuedock.platform.standin.event_upstream import versions_in
from tests.builders.node import Answer, NodeFleet

__all__ = ["ResumedStream", "event_numbers", "resume_stream", "versions_of"]

_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


def event_numbers(body: bytes) -> list[int]:
    """Return the numbers of the complete events in an answer."""
    return [int(number) for number, _ in _EVENT.findall(body)]


def versions_of(*bodies: bytes) -> set[str]:
    """Return the software versions that wrote the complete events of answers."""
    return versions_in(data.decode() for body in bodies for _, data in _EVENT.findall(body))


@dataclass(frozen=True, slots=True)
class ResumedStream:
    """A stream over two tries of its client: one that was cut off, and one that resumes it."""

    first: Answer
    second: Answer

    @property
    def versions(self) -> set[str]:
        return versions_of(self.first.body, self.second.body)

    @property
    def numbers(self) -> list[int]:
        return event_numbers(self.first.body + self.second.body)


async def resume_stream(
    fleet: NodeFleet,
    address: Address,
    target: str,
    body: bytes,
    first: Answer,
    first_id: str,
    **headers: str,
) -> ResumedStream:
    """Have a client resume a stream at ``address`` that was cut off."""
    fields = {"resumes": first_id, "last-event-id": str(event_numbers(first.body)[-1])}
    second = await fleet.call(address, "POST", target, body, fields | headers)
    return ResumedStream(first, second)
