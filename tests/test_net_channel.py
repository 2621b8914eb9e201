"""Messages between processes: digests, key rotation, matching of answers, unknown keys."""

import functools
import socket
import sys
import tempfile
import unittest
from pathlib import Path

import trio
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from fescuedock.address import Address
from fescuedock.net.channel import ChannelClient, serve_channel
from fescuedock.net.codec import BadMessageError, Codec, load_keys
from fescuedock.schema import view
from fescuedock.schema.permits import PermitsRevoked
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import Acknowledgement, LeaveRequest
from tests.builders.net import LOOPBACK, key, signed_codec

GUARD_S = 20
# Values in /proc/net/tcp: column "tr" for a keepalive timer, state of an established connection.
KEEPALIVE_TIMER = "02"
ESTABLISHED = "01"
# A loopback address that no other test uses.
OTHER_HOST = "127.77.0.1"


def connection_timers(address: Address) -> list[str]:
    """Return the kernel's timers of both ends of each connection to ``address``.

    The host is compared too: programs at other loopback addresses may use the same port.
    """
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    host = int.from_bytes(socket.inet_aton(address.host), sys.byteorder)
    end = f"{host:08X}:{address.port:04X}"
    return [row[5].partition(":")[0] for row in rows if row[3] == ESTABLISHED and end in row[1:3]]


class CodecTest(unittest.TestCase):
    """Messages that decode, and messages that must be rejected."""

    @given(st.text(), st.binary(max_size=8))
    def test_a_message_survives_the_round_trip(self, reason: str, context: bytes) -> None:
        codec = signed_codec()
        message = LeaveRequest(reason=reason)
        self.assertEqual(codec.decode(codec.encode(message, context), context), message)

    @given(st.data())
    def test_one_changed_byte_is_refused(self, data: st.DataObject) -> None:
        codec = signed_codec()
        encoded = bytearray(codec.encode(LeaveRequest(reason="planned"), b"7"))
        position = data.draw(st.integers(0, len(encoded) - 1))
        encoded[position] ^= data.draw(st.integers(1, 255))
        with self.assertRaises(BadMessageError):
            codec.decode(bytes(encoded), b"7")

    @given(st.binary(max_size=200))
    def test_noise_without_keys_raises_nothing_but_bad_message_errors(self, noise: bytes) -> None:
        codec = Codec([view])
        try:
            codec.decode(noise)
        except BadMessageError:
            return

    def test_a_digest_covers_the_call_number(self) -> None:
        codec = signed_codec()
        with self.assertRaises(BadMessageError):
            codec.decode(codec.encode(LeaveRequest(), b"1"), b"2")

    def test_keys_rotate_with_two_in_force(self) -> None:
        old, new = key("old"), key("new")
        between = signed_codec(new, old)
        for sender in (signed_codec(old), signed_codec(new), between):
            self.assertEqual(between.decode(sender.encode(LeaveRequest())), LeaveRequest())
        with self.assertRaises(BadMessageError):
            signed_codec(new).decode(signed_codec(old).encode(LeaveRequest()))

    def test_a_bad_key_file_names_the_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "keys"
            for bad in ("name zz", "short 00ff"):
                path.write_text(f"# keys\n{bad}\n")
                with self.assertRaisesRegex(ValueError, "line 2"):
                    load_keys(path)


class ChannelTest(unittest.TestCase):
    """Calls and pushes over real sockets."""

    def run_guarded(self, test) -> None:
        async def guarded() -> None:
            with trio.fail_after(GUARD_S):
                async with trio.open_nursery() as nursery:
                    await test(nursery)
                    nursery.cancel_scope.cancel()

        trio.run(guarded)

    def test_answers_out_of_order_reach_their_own_callers(self) -> None:
        gates = {str(number): trio.Event() for number in range(3)}

        async def answer(message, _peer) -> Acknowledgement:
            await gates[message.reason].wait()
            return Acknowledgement(message=message.reason)

        async def test(nursery: trio.Nursery) -> None:
            codec = signed_codec()
            address = await nursery.start(serve_channel, LOOPBACK, codec, answer)
            async with ChannelClient.open(address, codec) as client:
                replies: dict[str, object] = {}

                async def send_call(reason: str) -> None:
                    replies[reason] = await client.call(LeaveRequest(reason=reason), 10_000)

                async with trio.open_nursery() as callers:
                    for reason in gates:
                        callers.start_soon(send_call, reason)
                    for reason in reversed(gates):
                        gates[reason].set()
                for reason, reply in replies.items():
                    self.assertEqual(reply, Ok(Acknowledgement(message=reason)))

        self.run_guarded(test)

    def test_a_call_without_an_answer_is_unknown_and_its_late_answer_dropped(self) -> None:
        release = trio.Event()

        async def answer(message, _peer) -> Acknowledgement:
            if message.reason == "slow":
                await release.wait()
            return Acknowledgement(message=message.reason)

        async def test(nursery: trio.Nursery) -> None:
            codec = signed_codec()
            address = await nursery.start(serve_channel, LOOPBACK, codec, answer)
            async with ChannelClient.open(address, codec) as client:
                lost = await client.call(LeaveRequest(reason="slow"), 50)
                self.assertEqual(lost.unwrap_err().code, ResultCode.PEER_UNKNOWN)
                release.set()
                reply = await client.call(LeaveRequest(reason="next"), 10_000)
                self.assertEqual(reply, Ok(Acknowledgement(message="next")))

        self.run_guarded(test)

    def test_keepalive_is_active_on_idle_connections(self) -> None:
        async def answer(_message, _peer) -> Acknowledgement:
            return Acknowledgement()

        async def test(nursery: trio.Nursery) -> None:
            codec = signed_codec()
            address = await nursery.start(serve_channel, LOOPBACK, codec, answer)
            other = (OTHER_HOST, address.port)
            async with ChannelClient.open(address, codec) as client:
                self.assertTrue((await client.call(LeaveRequest(), 10_000)).is_ok())
                with socket.create_server(other) as server, socket.create_connection(other):
                    accepted, _ = server.accept()
                    # By then the sent bytes are acknowledged and their retransmission timer is off.
                    await trio.sleep(0.3)
                    timers = connection_timers(address)
                    accepted.close()
                self.assertEqual(timers, [KEEPALIVE_TIMER, KEEPALIVE_TIMER])

        self.run_guarded(test)

    def test_a_push_reaches_the_client(self) -> None:
        async def answer(_message, peer) -> Acknowledgement:
            peer.push(PermitsRevoked(permit_ids=["p1"]))
            return Acknowledgement()

        async def test(nursery: trio.Nursery) -> None:
            codec = signed_codec()
            address = await nursery.start(serve_channel, LOOPBACK, codec, answer)
            send, receive = trio.open_memory_channel(1)
            async with ChannelClient.open(address, codec, send.send_nowait) as client:
                await client.call(LeaveRequest(), 10_000)
                self.assertEqual(await receive.receive(), PermitsRevoked(permit_ids=["p1"]))

        self.run_guarded(test)

    def test_a_client_with_an_unknown_key_gets_no_answer_and_runs_nothing(self) -> None:
        handled: list[object] = []

        async def answer(message, _peer) -> Acknowledgement:
            handled.append(message)
            return Acknowledgement()

        async def test(nursery: trio.Nursery) -> None:
            address = await nursery.start(serve_channel, LOOPBACK, signed_codec(), answer)
            stranger = signed_codec(key("stranger"))
            async with ChannelClient.open(address, stranger) as client:
                reply = await client.call(LeaveRequest(), 100)
            self.assertIsInstance(reply, Err)
            self.assertEqual(handled, [])

        self.run_guarded(test)

    def test_an_error_in_one_handler_leaves_the_others_served(self) -> None:
        seen: list[Exception] = []

        async def answer(message, _peer) -> Acknowledgement:
            if message.reason == "fail":
                raise RuntimeError("handler failure")
            return Acknowledgement()

        async def test(nursery: trio.Nursery) -> None:
            codec = signed_codec()
            serve = functools.partial(serve_channel, on_error=seen.append)
            address = await nursery.start(serve, LOOPBACK, codec, answer)
            async with ChannelClient.open(address, codec) as client:
                lost = await client.call(LeaveRequest(reason="fail"), 100)
                self.assertEqual(lost.unwrap_err().code, ResultCode.PEER_UNKNOWN)
                self.assertEqual(await client.call(LeaveRequest(), 10_000), Ok(Acknowledgement()))
            self.assertEqual(len(seen), 1)

        self.run_guarded(test)

    def test_many_concurrent_calls_lose_no_wake_up(self) -> None:
        async def answer(message, _peer) -> Acknowledgement:
            return Acknowledgement(message=message.reason)

        async def test(nursery: trio.Nursery) -> None:
            codec = signed_codec()
            address = await nursery.start(serve_channel, LOOPBACK, codec, answer)
            async with ChannelClient.open(address, codec) as client:
                answered: list[str] = []

                async def send_call(number: int) -> None:
                    reply = await client.call(LeaveRequest(reason=str(number)), 15_000)
                    answered.append(reply.unwrap().message)

                async with trio.open_nursery() as callers:
                    for number in range(500):
                        callers.start_soon(send_call, number)
                self.assertEqual(sorted(answered, key=int), [str(n) for n in range(500)])

        self.run_guarded(test)

    def test_a_call_after_the_close_was_not_sent(self) -> None:
        async def test(nursery: trio.Nursery) -> None:
            async with ChannelClient.open(LOOPBACK, signed_codec()) as client:
                pass
            refused = await client.call(LeaveRequest(), 10_000)
            self.assertEqual(refused.unwrap_err().code, ResultCode.PEER_UNREACHABLE)
            self.assertFalse(client.push(LeaveRequest()))

        self.run_guarded(test)
