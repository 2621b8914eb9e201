"""An HTTP/1.1 server: h11 for the protocol, trio for the sockets.

A handler receives the request and a responder.  It is cancelled when its caller disconnects, so it
must shield any work that it has to finish regardless.
"""

import socket
from collections.abc import Callable
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec
import trio

from fescuedock.address import Address, naming_address
from fescuedock.core.slow_peers import HeldBounds, HeldBytes
from fescuedock.errors import log_internal_error
from fescuedock.faults import Fault
from fescuedock.net.http_connection import (
    LINGER_S,
    CutOff,
    DroppedConnectionError,
    HttpConnection,
    HttpLimits,
    RequestTimeoutError,
)
from fescuedock.net.http_messages import (
    BodyTooLargeError,
    Handler,
    Headers,
    Request,
    Responder,
    ResponseStream,
    fault_body,
)
from fescuedock.schema.result_codes import ResultCode

__all__ = [
    "BodyTooLargeError",
    "CutOff",
    "DroppedConnectionError",
    "Handler",
    "Headers",
    "HttpLimits",
    "HttpServer",
    "Request",
    "Responder",
    "ResponseStream",
    "fault_body",
]

_BACKLOG = 1024


class HttpServer(msgspec.Struct):
    """Serves one handler on one listening address until it is stopped.

    ``limits`` may be replaced at any time and also applies to open connections.  While
    ``draining``, each connection closes after its next response.
    """

    handler: Handler
    limits: HttpLimits = msgspec.field(default_factory=HttpLimits)
    draining: bool = False
    # Called with unexpected exceptions of a handler or a connection.
    on_error: Callable[[Exception], None] = log_internal_error
    # Size of the kernel's send buffer for each connection; 0 for the kernel's default.
    send_buffer_bytes: int = 0
    # Bytes buffered for slow callers, here and in other users of the same object.
    held: HeldBytes = msgspec.field(default_factory=lambda: HeldBytes(HeldBounds()))
    on_cut_off: Callable[[CutOff], None] = lambda cut_off: None
    in_flight: int = 0
    _stopping: trio.Event = msgspec.field(default_factory=trio.Event)
    _idle_scopes: set[trio.CancelScope] = msgspec.field(default_factory=set)

    async def serve(
        self, address: Address, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen on ``address`` (port 0 selects a free one) until ``stop`` and the last request.

        Report the bound ``Address`` through ``task_status``.
        """
        with naming_address(address):
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=_BACKLOG
            )
        if self.send_buffer_bytes:
            # Accepted connections inherit it without a system call for each.
            for listener in listeners:
                listener.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer_bytes
                )
        bound_port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as connections:
            accepting = trio.CancelScope()

            async def accept() -> None:
                with accepting:
                    await trio.serve_listeners(
                        self._serve_stream, listeners, handler_nursery=connections
                    )

            connections.start_soon(accept)
            task_status.started(Address(address.host, bound_port))
            await self._stopping.wait()
            accepting.cancel()
            for scope in tuple(self._idle_scopes):
                scope.cancel()

    def stop(self) -> None:
        """Stop accepting connections, close idle ones, and let requests in flight finish."""
        self._stopping.set()

    @property
    def stopping(self) -> bool:
        return self._stopping.is_set()

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        connection = HttpConnection(
            stream,
            lambda: self.limits,
            lambda: self.draining or self.stopping,
            self.held,
            self.on_cut_off,
        )
        try:
            while await self._serve_request(connection):
                pass
        except DroppedConnectionError:
            return
        except Exception as error:
            # Raised here, it would end the server and all other connections.
            self.on_error(error)
        finally:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + LINGER_S):
                await connection.close()

    async def _serve_request(self, connection: HttpConnection) -> bool:
        """Serve one request; return whether the connection can be used for another one."""
        try:
            head = await self._next_head(connection)
        except h11.RemoteProtocolError as error:
            await _send_protocol_fault(connection, error)
            return False
        except RequestTimeoutError as error:
            await _send_timeout_fault(connection, error)
            return False
        if head is None:
            return False
        if _is_ambiguous(head):
            await _send_ambiguous_fault(connection)
            return False
        try:
            request = _request_of(head, connection)
        except ValueError as error:
            await _send_target_fault(connection, error)
            return False
        self.in_flight += 1
        try:
            await self._handle(connection, head, request)
        finally:
            self.in_flight -= 1
        return not self.stopping and await connection.prepare_next()

    async def _next_head(self, connection: HttpConnection) -> h11.Request | None:
        """Wait for a request's head; None after a disconnect or idle timeout, or while stopping."""
        if self.stopping:
            return None
        with trio.CancelScope() as scope:
            self._idle_scopes.add(scope)
            try:
                event = await connection.next_head()
            finally:
                self._idle_scopes.discard(scope)
            return event if isinstance(event, h11.Request) else None
        return None

    async def _handle(
        self, connection: HttpConnection, head: h11.Request, request: Request
    ) -> None:
        responder = Responder(connection)
        connection.begin_body(head)
        async with trio.open_nursery() as nursery:
            connection.set_handler_nursery(nursery)
            nursery.start_soon(connection.watch_disconnect, nursery.cancel_scope)
            await self._run_handler(connection, request, responder)
            await _flush(connection)
            nursery.cancel_scope.cancel()

    async def _run_handler(
        self, connection: HttpConnection, request: Request, responder: Responder
    ) -> None:
        """Run the handler; its errors must not end the server or another caller's request."""
        try:
            await self.handler(request, responder)
        except DroppedConnectionError:
            return
        except BodyTooLargeError as error:
            await _fail(responder, Fault(ResultCode.BODY_TOO_LARGE, str(error)))
        except RequestTimeoutError as error:
            await _fail(responder, Fault(ResultCode.REQUEST_TIMEOUT, str(error)))
        except h11.RemoteProtocolError as error:
            try:
                await _send_protocol_fault(connection, error)
            except DroppedConnectionError:
                # The caller disconnected within its request; raising would end the entire server.
                return
        except Exception as error:
            if _is_only_disconnect(error):
                return
            self.on_error(error)
            await _fail(responder, Fault(ResultCode.INTERNAL, "internal error; see the logs"))


async def _flush(connection: HttpConnection) -> None:
    """Wait until a slow caller has received the rest; a disconnect cancels this wait too."""
    try:
        await connection.flush()
    except DroppedConnectionError:
        return


def _is_only_disconnect(error: Exception) -> bool:
    """Whether a handler's nursery raised nothing but the disconnect of its caller."""
    return isinstance(error, ExceptionGroup) and error.split(DroppedConnectionError)[1] is None


async def _fail(responder: Responder, fault: Fault) -> None:
    """Send ``fault`` unless a response has started, which then is visibly truncated."""
    if responder.started:
        return
    try:
        await responder.send_fault(fault)
    except DroppedConnectionError:
        return


def _request_of(head: h11.Request, connection: HttpConnection) -> Request:
    """Return the request of ``head``; raise ``ValueError`` if its target is no URL."""
    target = head.target.decode("ascii", "replace")
    parts = urlsplit(target)
    return Request(
        method=head.method.decode("ascii"),
        path=unquote(parts.path),
        target=target,
        query=dict(parse_qsl(parts.query, keep_blank_values=True)),
        headers={name.decode("ascii"): value.decode("latin-1") for name, value in head.headers},
        body=connection.body(),
        header_fields=[
            (name.decode("ascii"), value.decode("latin-1")) for name, value in head.headers
        ],
    )


def _is_ambiguous(head: h11.Request) -> bool:
    """Whether a request has two lengths, which servers may read differently (smuggling)."""
    names = {bytes(name) for name, _ in head.headers}
    return {b"content-length", b"transfer-encoding"} <= names


async def _send_ambiguous_fault(connection: HttpConnection) -> None:
    text = "a request has Content-Length or Transfer-Encoding, not both"
    fault = Fault(ResultCode.BAD_REQUEST, text)
    await Responder(connection).send_fault(fault, [("connection", "close")])


async def _send_target_fault(connection: HttpConnection, error: ValueError) -> None:
    fault = Fault(ResultCode.BAD_REQUEST, f"the target of the request cannot be read: {error}")
    await Responder(connection).send_fault(fault, [("connection", "close")])


async def _send_timeout_fault(connection: HttpConnection, error: RequestTimeoutError) -> None:
    if connection.protocol.our_state is not h11.IDLE:
        return
    fault = Fault(ResultCode.REQUEST_TIMEOUT, str(error))
    await Responder(connection).send_fault(fault, [("connection", "close")])


async def _send_protocol_fault(connection: HttpConnection, error: h11.RemoteProtocolError) -> None:
    if connection.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    too_large = error.error_status_hint == 431
    code = ResultCode.HEADER_TOO_LARGE if too_large else ResultCode.BAD_REQUEST
    await Responder(connection).send_fault(Fault(code, str(error)), [("connection", "close")])
