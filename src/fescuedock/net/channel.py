"""Calls and pushes between fescuedock processes: ZeroMQ DEALER and ROUTER sockets under trio.

A call has one answer, matched by its number; a push has none.  A call that times out may or may
not have been executed, so every handler must be idempotent.

ZeroMQ's file descriptor is edge-triggered and covers both directions: reading its events or sending
may consume the edge.  Therefore every send is followed by receiving all pending messages.
"""

import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import msgspec
import trio
import zmq
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.errors import log_internal_error
from fescuedock.faults import Fault
from fescuedock.log import log_event
from fescuedock.net.codec import BadMessageError, Codec, log_unreadable_message
from fescuedock.schema.result_codes import ResultCode

__all__ = ["CallHandler", "ChannelClient", "Peer", "PushHandler", "serve_channel"]

_HIGH_WATER_MESSAGES = 10000
# A connection that becomes silent without a reset is closed after 4 s: after 2 s of idle time and
# two TCP keepalive probes one second apart, or 4 s after a byte that was not acknowledged.
# ZeroMQ's own heartbeats would achieve the same, but wake both processes for each one.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 2
_UNACKNOWLEDGED_MS = 4000
_CALL_NUMBER_BYTES = 8
# Call number of a push.
_PUSH_NUMBER = bytes(_CALL_NUMBER_BYTES)

PushHandler = Callable[[msgspec.Struct], None]


def _log_message_error(error: Exception) -> None:
    log_internal_error(error, "message")


class Peer:
    """The remote end of a server's connection, to which the server can push messages."""

    __slots__ = ("_identity", "_send")

    def __init__(self, identity: bytes, send: Callable[[list[bytes]], bool]) -> None:
        self._identity = identity
        self._send = send

    def push(self, data: bytes) -> bool:
        """Send encoded ``data`` as a push; return False if the peer has disconnected."""
        return self._send([self._identity, _PUSH_NUMBER, data])

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Peer) and other._identity == self._identity

    def __hash__(self) -> int:
        return hash(self._identity)


# Returns the answer, or None for a one-way message.
CallHandler = Callable[[msgspec.Struct, "ServerPeer"], Awaitable[msgspec.Struct | None]]


class ServerPeer:
    """The caller of a handler."""

    __slots__ = ("_codec", "_peer")

    def __init__(self, peer: Peer, codec: Codec) -> None:
        self._peer = peer
        self._codec = codec

    def push(self, message: msgspec.Struct) -> bool:
        """Send ``message`` to the caller without waiting; return False if it has disconnected."""
        return self._peer.push(self._codec.encode(message, _PUSH_NUMBER))

    def __eq__(self, other: object) -> bool:
        return isinstance(other, ServerPeer) and other._peer == self._peer

    def __hash__(self) -> int:
        return hash(self._peer)


class _PumpedSocket:
    """A ZeroMQ socket driven by trio; received messages are passed to a synchronous function."""

    __slots__ = ("_on_message", "_socket")

    def __init__(self, socket: zmq.Socket, on_message: Callable[[list[bytes]], None]) -> None:
        self._socket = socket
        self._on_message = on_message

    def send(self, frames: list[bytes]) -> bool:
        """Queue ``frames``; return False if closed, the peer is unknown or its queue full."""
        if self._socket.closed:
            return False
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        finally:
            self._drain()
        return True

    async def pump(self) -> None:
        descriptor = self._socket.getsockopt(zmq.FD)
        while True:
            self._drain()
            await trio.lowlevel.wait_readable(descriptor)

    def _drain(self) -> None:
        while self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            try:
                self._on_message(self._socket.recv_multipart(zmq.NOBLOCK))
            except zmq.Again:
                return


def _open_socket(kind: int) -> zmq.Socket:
    socket = zmq.Context.instance().socket(kind)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, _HIGH_WATER_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, _HIGH_WATER_MESSAGES)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, _KEEPALIVE_IDLE_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, _KEEPALIVE_INTERVAL_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, _KEEPALIVE_COUNT)
    socket.setsockopt(zmq.TCP_MAXRT, _UNACKNOWLEDGED_MS)
    return socket


async def serve_channel(
    address: Address,
    codec: Codec,
    handler: CallHandler,
    *,
    on_error: Callable[[Exception], None] = _log_message_error,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Answer calls on ``address`` (port 0 selects a free one) until cancelled.

    Report the bound ``Address`` through ``task_status``.  Messages that cannot be decoded are
    logged and dropped.  An exception of a handler, or one raised by encoding its answer, goes to
    ``on_error`` and leaves its call unanswered, so that the outcome is unknown to the caller.
    """
    socket = _open_socket(zmq.ROUTER)
    socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
    try:
        if address.port:
            socket.bind(f"tcp://{address}")
            port = address.port
        else:
            port = socket.bind_to_random_port(f"tcp://{address.host}")
        async with trio.open_nursery() as nursery:

            def receive(frames: list[bytes]) -> None:
                if len(frames) == 3:
                    nursery.start_soon(answer, *frames)

            async def answer(identity: bytes, number: bytes, data: bytes) -> None:
                try:
                    message = codec.decode(data, number)
                    reply = await handler(message, ServerPeer(Peer(identity, pumped.send), codec))
                    if reply is not None and number != _PUSH_NUMBER:
                        pumped.send([identity, number, codec.encode(reply, number)])
                except BadMessageError as error:
                    log_unreadable_message(error)
                except Exception as error:
                    on_error(error)

            pumped = _PumpedSocket(socket, receive)
            task_status.started(Address(address.host, port))
            await pumped.pump()
    finally:
        socket.close()


class ChannelClient:
    """Calls one server.  Create it with ``ChannelClient.open``."""

    __slots__ = ("_codec", "_numbers", "_on_push", "_pending", "_pumped", "address")

    def __init__(self, address: Address, codec: Codec, on_push: PushHandler | None) -> None:
        self.address = address
        self._codec = codec
        self._on_push = on_push
        self._pending: dict[bytes, Callable[[bytes], None]] = {}
        self._numbers = itertools.count(1)

    @classmethod
    @asynccontextmanager
    async def open(
        cls, address: Address, codec: Codec, on_push: PushHandler | None = None
    ) -> AsyncIterator["ChannelClient"]:
        """Connect, and reconnect automatically, until the block exits."""
        client = cls(address, codec, on_push)
        socket = _open_socket(zmq.DEALER)
        client._pumped = _PumpedSocket(socket, client._receive)
        try:
            try:
                socket.connect(f"tcp://{address}")
            except zmq.ZMQError as error:
                # Without a connection each call fails as one of an unreachable peer.
                log_event("peer_address_unusable", address=str(address), reason=str(error))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client._pumped.pump)
                yield client
                nursery.cancel_scope.cancel()
        finally:
            socket.close()

    def push(self, message: msgspec.Struct) -> bool:
        """Send ``message`` without an answer; return False if it could not be queued."""
        return self._pumped.send([_PUSH_NUMBER, self._codec.encode(message, _PUSH_NUMBER)])

    async def call(self, message: msgspec.Struct, timeout_ms: float) -> Result:
        """Return ``Ok(answer)``, or ``Err(Fault)``.

        The fault is ``PEER_UNREACHABLE`` if nothing was sent, ``PEER_UNKNOWN`` if no answer arrived
        within ``timeout_ms``.
        """
        number = next(self._numbers).to_bytes(_CALL_NUMBER_BYTES, "big")
        answered = trio.Event()
        answers: list[bytes] = []

        def store_answer(data: bytes) -> None:
            answers.append(data)
            answered.set()

        self._pending[number] = store_answer
        try:
            if not self._pumped.send([number, self._codec.encode(message, number)]):
                return Err(Fault(ResultCode.PEER_UNREACHABLE, f"cannot send to {self.address}"))
            with trio.move_on_after(timeout_ms / 1000):
                await answered.wait()
        finally:
            del self._pending[number]
        return self._decode_answer(answers, number)

    def _decode_answer(self, answers: list[bytes], number: bytes) -> Result:
        if not answers:
            return Err(Fault(ResultCode.PEER_UNKNOWN, f"no answer from {self.address}"))
        try:
            return Ok(self._codec.decode(answers[0], number))
        except BadMessageError as error:
            return Err(Fault(ResultCode.PEER_UNKNOWN, f"{self.address}: {error}"))

    def _receive(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            return
        number, data = frames
        if number != _PUSH_NUMBER:
            # A late answer has no pending call and is dropped.
            self._pending.get(number, _drop_late_answer)(data)
        elif self._on_push is not None:
            try:
                self._on_push(self._codec.decode(data, number))
            except BadMessageError as error:
                log_unreadable_message(error)
            except Exception as error:
                # Raised here, it would end the task that receives all other messages.
                _log_message_error(error)


def _drop_late_answer(_data: bytes) -> None:
    """Drop an answer that arrived after its call timed out."""
