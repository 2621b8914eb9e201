"""A caller that disconnects within its request must not end the server."""

import unittest
from unittest import mock

import h11
import trio

from fescuedock.net import http_server
from fescuedock.net.http_server import DroppedConnectionError, HttpServer, Request, Responder


class DisconnectedCallerTest(unittest.TestCase):
    def test_a_refusal_to_a_disconnected_caller_does_not_end_the_server(self) -> None:
        """Guards against the end of a server for all callers: a client sent half of a body and
        closed, and the error response to it failed with a broken pipe.
        """

        async def handler(_request: Request, _responder: Responder) -> None:
            raise h11.RemoteProtocolError("peer closed connection without sending complete message")

        async def run() -> None:
            gone = mock.AsyncMock(side_effect=DroppedConnectionError("broken pipe"))
            with mock.patch.object(http_server, "_send_protocol_fault", gone):
                await HttpServer(handler)._run_handler(mock.Mock(), mock.Mock(), mock.Mock())
            gone.assert_awaited_once()

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
