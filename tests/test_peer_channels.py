"""Channels that are opened at first use and shared by all callers."""

import unittest

import trio

from fescuedock.agent.peers import PeerChannels
from fescuedock.net.channel import serve_channel
from fescuedock.schema.view import Acknowledgement, LeaveRequest
from tests.builders.net import LOOPBACK, signed_codec
from tests.builders.standins import run_async


class PeerChannelsTest(unittest.TestCase):
    def run_guarded(self, test) -> None:
        async def answer(_message, _peer) -> Acknowledgement:
            return Acknowledgement()

        async def run() -> None:
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(serve_channel, LOOPBACK, signed_codec(), answer)
                    await test(PeerChannels(signed_codec(), nursery), address)
                    nursery.cancel_scope.cancel()

        run_async(run)

    def test_a_channel_outlives_the_caller_that_was_cancelled_as_it_was_opened(self) -> None:
        """Otherwise all later requests of a node to an owner fail once its first is cancelled."""

        async def test(channels: PeerChannels, address) -> None:
            with trio.CancelScope() as scope:
                scope.cancel()
                await channels.get(address)
            await trio.sleep(0.01)
            channel = await channels.get(address)
            reply = await channel.call(LeaveRequest(), 2000)
            self.assertTrue(reply.is_ok(), reply)

        self.run_guarded(test)

    def test_callers_at_once_get_channels_that_stay(self) -> None:
        async def test(channels: PeerChannels, address) -> None:
            replies = []

            async def call() -> None:
                channel = await channels.get(address)
                replies.append(await channel.call(LeaveRequest(), 2000))

            async with trio.open_nursery() as nursery:
                for _ in range(5):
                    nursery.start_soon(call)
            self.assertEqual([reply.is_ok() for reply in replies], [True] * 5)

        self.run_guarded(test)


if __name__ == "__main__":
    unittest.main()
