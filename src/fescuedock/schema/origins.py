"""Which software version of upstreams began a stream.

Generated from ``source/origins.yaml``; do not edit.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from fescuedock.schema.wire import WireStruct


class StreamOrigin(WireStruct):
    """
    What began a stream.
    """

    service: str
    software_version: Annotated[
        str, Meta(description="Of the upstream that wrote the stream's first event.")
    ]


class KnownStream(WireStruct):
    stream_key: Annotated[
        str, Meta(description="Identity of the client's attempt and of its work together.")
    ]
    origin: StreamOrigin


class KeepOrigins(WireStruct):
    """
    Keep these for as long as clients may take the streams up.
    """

    streams: list[KnownStream]


class KeepOriginsReply(WireStruct):
    code: Annotated[int, Meta(description="A ResultCode.")]


class FindOrigin(WireStruct):
    stream_key: str


class FindOriginReply(WireStruct):
    """
    Without an origin where none is known; two where two different ones are, so that the stream may not go on.
    """

    origins: list[StreamOrigin] = field(default_factory=list)


class ServedVersions(WireStruct):
    """
    Kept in the key-value service for each service; no stream begins at a version that is not in it.
    """

    software_versions: list[str]
    leaving: Annotated[
        list[str],
        Meta(
            description="Those of them at which no stream begins before the record is written anew."
        ),
    ] = field(default_factory=list)


class RoutedPrefix(WireStruct):
    prefix: Annotated[str, Meta(description="Of the paths to which this applies.")]
    services: list[str]
    leaving: Annotated[
        list[str],
        Meta(
            description="Those of them at which no stream begins before the record is written anew."
        ),
    ] = field(default_factory=list)


class RoutedServices(WireStruct):
    """
    Kept in the key-value service for each host; no stream of a path begins at a service that is not in it.
    """

    prefixes: list[RoutedPrefix]
