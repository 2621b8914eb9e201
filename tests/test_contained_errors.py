"""An unexpected exception ends one message, call or item, and is logged, counted and numbered."""

import unittest
from functools import partial
from unittest.mock import patch

import msgspec
import trio
from result import Ok

from fescuedock import errors
from fescuedock.agent.membership_service import MembershipService
from fescuedock.agent.permit_client import PermitClient
from fescuedock.net import codec as codec_module
from fescuedock.net import http_server
from fescuedock.net.channel import ChannelClient, serve_channel
from fescuedock.net.codec import BadMessageError, Codec
from fescuedock.net.http_client import ResponseLostError, open_http_client
from fescuedock.node import job_runner
from fescuedock.node.job_store import JobStore
from fescuedock.schema import permits, view
from fescuedock.schema.permits import PermitsRevoked, QuotaReply
from fescuedock.schema.view import Acknowledgement, LeaveRequest
from tests.builders.jobs_calls import read_page, submit
from tests.builders.net import LOOPBACK, echo_body, served, signed_codec
from tests.builders.node import running_fleet
from tests.builders.standins import run_async


class LoggedErrorsTestCase(unittest.TestCase):
    """Records what is logged."""

    def setUp(self) -> None:
        self.logged: list[dict[str, object]] = []
        for module in (errors, codec_module):
            patcher = patch.object(module, "log_event", self.log)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.before = errors.internal_error_counts()

    def log(self, name: str, **fields: object) -> None:
        self.logged.append({"name": name} | fields)

    def check_logged(self, work: str, text: str) -> None:
        """Check that one error of a kind of work was logged with its number, and counted."""
        found = [item for item in self.logged if item["name"] == "internal_error"]
        self.assertEqual([(item["work"], item["code"]) for item in found], [(work, 9000)])
        self.assertIn(text, found[0]["error"])
        self.assertTrue(found[0]["raised_at"])
        counts = errors.internal_error_counts()
        self.assertEqual(counts[work] - self.before.get(work, 0), 1)


class ContainedErrorTest(LoggedErrorsTestCase):
    def run_channel(self, handler, test, on_push=None) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    codec = signed_codec()
                    address = await nursery.start(serve_channel, LOOPBACK, codec, handler)
                    async with ChannelClient.open(address, codec, on_push) as client:
                        await test(client)
                    nursery.cancel_scope.cancel()

        run_async(run)

    def test_a_reply_that_cannot_be_encoded_leaves_the_server_serving(self) -> None:
        """The owner of an entry's queue ended at the first request for a permit."""

        async def answer(message, _peer) -> msgspec.Struct:
            return QuotaReply(10**30) if message.reason == "odd" else Acknowledgement()

        async def test(client: ChannelClient) -> None:
            self.assertTrue((await client.call(LeaveRequest(reason="odd"), 200)).is_err())
            self.assertEqual(await client.call(LeaveRequest(), 10_000), Ok(Acknowledgement()))

        self.run_channel(answer, test)
        self.check_logged("message", "OverflowError")

    def test_a_handlers_exception_is_logged(self) -> None:
        async def answer(_message, _peer) -> Acknowledgement:
            raise RuntimeError("broken handler")

        async def test(client: ChannelClient) -> None:
            self.assertTrue((await client.call(LeaveRequest(), 200)).is_err())

        self.run_channel(answer, test)
        self.check_logged("message", "broken handler")

    def test_a_push_whose_handler_raises_leaves_the_client_calling(self) -> None:
        async def answer(message, peer) -> Acknowledgement:
            if message.reason == "push":
                peer.push(PermitsRevoked(["p"]))
            return Acknowledgement()

        def fail(_message: msgspec.Struct) -> None:
            raise RuntimeError("broken push")

        async def test(client: ChannelClient) -> None:
            for reason in ("push", ""):
                reply = await client.call(LeaveRequest(reason=reason), 10_000)
                self.assertEqual(reply, Ok(Acknowledgement()))

        self.run_channel(answer, test, fail)
        self.check_logged("message", "broken push")

    def test_a_message_that_cannot_be_read_is_logged(self) -> None:
        async def answer(_message, _peer) -> Acknowledgement:
            return Acknowledgement()

        async def run() -> None:
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    serve = partial(serve_channel, LOOPBACK, Codec([view]), answer)
                    address = await nursery.start(serve)
                    async with ChannelClient.open(address, Codec([view, permits])) as client:
                        reply = await client.call(PermitsRevoked(["p"]), 200)
                        self.assertTrue(reply.is_err())
                    nursery.cancel_scope.cancel()

        run_async(run)
        self.assertEqual([item["name"] for item in self.logged], ["message_unreadable"])

    def test_a_message_that_is_nested_too_deeply_is_unreadable(self) -> None:
        codec = Codec([view])
        name = msgspec.msgpack.encode("Hello")
        with self.assertRaises(BadMessageError):
            codec.decode(b"\x92" + name + b"\x91" * 100_000)

    def test_a_datagram_whose_handler_raises_leaves_membership_receiving(self) -> None:
        received = trio.Event()

        class Socket:
            count = 0

            async def receive(self) -> list[tuple[bytes, object]]:
                self.count += 1
                if self.count > 2:
                    received.set()
                    await trio.sleep_forever()
                return [(b"x", LOOPBACK)]

        class Broken(MembershipService):
            def __init__(self) -> None:
                self._udp = Socket()
                self.handled = 0

            def _handle_datagram(self, data: bytes, source: object) -> None:
                self.handled += 1
                if self.handled == 1:
                    raise OverflowError("can't serialize")

            def _wake_if_due_earlier(self) -> None:
                pass

        async def run() -> None:
            service = Broken()
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(service._receive_forever)
                    await received.wait()
                    nursery.cancel_scope.cancel()
            self.assertEqual(service.handled, 2)

        run_async(run)
        self.check_logged("datagram", "can't serialize")

    def test_a_connection_that_raises_leaves_the_others_served(self) -> None:
        ambiguous = iter([RuntimeError("broken connection")])

        def is_ambiguous(_head: object) -> bool:
            for error in ambiguous:
                raise error
            return False

        async def run() -> None:
            with trio.fail_after(20), patch.object(http_server, "_is_ambiguous", is_ambiguous):
                async with served(echo_body) as (_, address), open_http_client() as client:
                    with self.assertRaises(ResponseLostError):
                        async with client.request(address, "GET", "/"):
                            self.fail("it was answered")
                    async with client.request(address, "POST", "/", (), b"on") as response:
                        self.assertEqual(await response.read(), b"on")

        run_async(run)
        self.check_logged("call", "broken connection")


class ContainedWorkTest(LoggedErrorsTestCase):
    """An exception under one item or job ended the node, and each node that claimed the job."""

    def run_job(self, module: object, name: str, failures: int) -> list[dict]:
        """Run a job of two items while a function raises so many times; return the results."""
        sound = getattr(module, name)
        results: list[dict] = []
        left = iter(range(failures))

        async def fail_first(*args: object, **fields: object) -> object:
            for _ in left:
                raise RuntimeError("broken work")
            return await sound(*args, **fields)

        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(nodes=2, upstreams=2) as fleet:
                    answer = await submit(fleet, fleet.nodes[0].front, "a", "b")
                    self.assertEqual(answer.status, 202)
                    while len(results) < 2:
                        await trio.sleep(0.1)
                        page = await read_page(fleet, fleet.nodes[1].front)
                        results[:] = page.json()["results"]

        with patch.object(module, name, fail_first):
            run_async(run)
        return results

    def check_completed(self, results: list[dict]) -> None:
        self.assertEqual([result["state"] for result in results], ["completed"] * 2)

    def test_an_item_whose_run_raises_runs_again(self) -> None:
        self.check_completed(self.run_job(job_runner, "run_item", 1))
        self.check_logged("item", "broken work")

    def test_a_job_whose_commit_raises_is_loaded_again(self) -> None:
        self.check_completed(self.run_job(JobStore, "commit", 1))
        self.check_logged("job", "broken work")

    def test_a_request_for_a_permit_that_raises_is_made_again(self) -> None:
        self.check_completed(self.run_job(PermitClient, "request", 1))
        self.check_logged("item", "broken work")

    def test_a_unit_of_work_that_raises_ends_alone(self) -> None:
        async def fail() -> None:
            raise ExceptionGroup("two", [ValueError("first"), ExceptionGroup("", [KeyError("k")])])

        async def run() -> None:
            self.assertFalse(await errors.run_contained("job", fail, job_id="j"))

        run_async(run)
        found = [(item["error"], item["job_id"]) for item in self.logged]
        self.assertEqual(found, [("ValueError('first')", "j"), ("KeyError('k')", "j")])

    def test_a_cancelled_unit_of_work_is_no_error(self) -> None:
        async def run() -> None:
            with trio.move_on_after(0.01):
                await errors.run_contained("job", trio.sleep_forever)

        run_async(run)
        self.assertEqual(self.logged, [])


if __name__ == "__main__":
    unittest.main()
