"""Calls to plain services: counts executions at the stand-in despite cuts and resends."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio
from msgspec.structs import replace

from fescuedock.address import Address
from fescuedock.entry.claiming import sweep_claims
from fescuedock.net.http_client import ResponseLostError
from fescuedock.net.http_server import DroppedConnectionError, Request, Responder
from fescuedock.schema.view import UpstreamKind
from fescuedock.standin.kv_faults import LostAnswer
from fescuedock.standin.listener import Listener
from fescuedock.standin.plain_service import PlainService
from tests.builders.net import LOOPBACK, served
from tests.builders.online import (
    PLAIN_SERVICE,
    OnlineFleet,
    open_fleet,
    record,
    run,
    wait_until,
    with_fleet,
)

BOOKINGS = "/services/demo-plain/bookings"
QUERIES = "/services/demo-plain/queries"
ORDER = b'{"coach": 7}'


def fault_of(body: bytes) -> dict:
    return msgspec.json.decode(body)["error"]


def key(name: str = "k1") -> dict[str, str]:
    return {"idempotency-key": name}


def executions(fleet: OnlineFleet) -> int:
    return sum(item.executions.total() for item in fleet.standins.plain.values())


def only_plain(fleet: OnlineFleet) -> PlainService:
    return fleet.standins.plain["plain-1"]


@asynccontextmanager
async def resetting_upstream() -> AsyncIterator[Address]:
    """Yield the address of a listener that resets each connection after the first bytes."""

    async def reset(stream: trio.SocketStream) -> None:
        await stream.receive_some(1)
        await trio.aclose_forcefully(stream)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, reset, listeners)
        yield Address(*listeners[0].socket.getsockname()[:2])
        nursery.cancel_scope.cancel()


class ConnectionCutTest(unittest.TestCase):
    """Calls that may not be repeated, with the connection cut at each stage."""

    def check(self, cut: str, status: int, outcome: str, executed: int, **headers: str) -> None:
        async def body() -> None:
            async with open_fleet() as fleet:
                service = only_plain(fleet)
                if cut == "refused":
                    service.listener.take_down()
                else:
                    setattr(service, cut, 1)
                got, reply, data = await fleet.post(BOOKINGS, ORDER, headers)
                self.assertEqual((got, fault_of(data)["outcome"]), (status, outcome))
                self.assertEqual(executions(fleet), executed)
                self.assertEqual("retry-after" in reply, outcome == "not_run")

        run(body)

    def test_a_cut_before_sending_is_not_run(self) -> None:
        self.check("refused", 503, "not_run", 0)

    def test_a_cut_after_sending_before_execution_is_unknown(self) -> None:
        self.check("cut_before", 504, "unknown", 0)

    def test_a_cut_after_execution_is_unknown(self) -> None:
        self.check("cut_after", 504, "unknown", 1)

    def test_the_same_holds_under_a_claim(self) -> None:
        for cut, status, outcome, executed in [
            ("refused", 503, "not_run", 0),
            ("cut_before", 504, "unknown", 0),
            ("cut_after", 504, "unknown", 1),
        ]:
            with self.subTest(cut=cut):
                self.check(cut, status, outcome, executed, **key())

    def test_a_reset_while_sending_is_unknown(self) -> None:
        async def body() -> None:
            async with open_fleet(plain_services=0) as fleet, resetting_upstream() as address:
                fleet.update_view(record("reset", address, UpstreamKind.PLAIN, PLAIN_SERVICE))
                _, _, data = await fleet.post(BOOKINGS, ORDER * 500_000)
                self.assertEqual(fault_of(data)["name"], "EXECUTION_UNKNOWN")

        run(body)

    @with_fleet()
    async def test_the_request_header_marks_a_call_as_non_idempotent(
        self, fleet: OnlineFleet
    ) -> None:
        only_plain(fleet).cut_after = 1
        marked = {"x-non-idempotent": "true"}
        _, _, data = await fleet.post(QUERIES, ORDER, marked)
        self.assertEqual(fault_of(data)["name"], "EXECUTION_UNKNOWN")
        self.assertEqual(executions(fleet), 1)

    @with_fleet()
    async def test_a_call_at_its_deadline_is_unknown(self, fleet: OnlineFleet) -> None:
        only_plain(fleet).delay_ms = 60_000
        _, _, data = await fleet.post(BOOKINGS, ORDER, {"x-deadline-ms": "200"})
        self.assertEqual(fault_of(data)["name"], "EXECUTION_UNKNOWN")

    @with_fleet(plain_services=2)
    async def test_a_refused_connection_moves_on_to_another_upstream(
        self, fleet: OnlineFleet
    ) -> None:
        only_plain(fleet).listener.take_down()
        for number in range(4):
            status, _, _ = await fleet.post(BOOKINGS, ORDER, key(f"k{number}"))
            self.assertEqual(status, 200)
        self.assertEqual(executions(fleet), 4)


class RepeatableTest(unittest.TestCase):
    """Calls that may be repeated, and how calls are forwarded."""

    @with_fleet()
    async def test_a_lost_answer_is_retried(self, fleet: OnlineFleet) -> None:
        only_plain(fleet).cut_after = 1
        status, _, _ = await fleet.post(QUERIES, ORDER)
        self.assertEqual((status, executions(fleet)), (200, 2))

    def test_method_path_query_body_and_headers_go_through(self) -> None:
        async def body() -> None:
            seen: list[Request] = []

            async def answer(request: Request, responder: Responder) -> None:
                seen.append(request)
                await request.read(1000)
                await responder.send(418, b"short", [("x-kind", "teapot")])

            async with open_fleet(plain_services=0) as fleet, served(answer) as made:
                fleet.update_view(record("p", made[1], UpstreamKind.PLAIN, PLAIN_SERVICE))
                headers = [("authorization", "Bearer key-of-escuela"), ("x-own", "1")]
                target = "/services/demo-plain/a%2Fb?x=1&y=%20"
                async with fleet.http.request(
                    fleet.entry, "PATCH", target, headers, b"{}"
                ) as response:
                    self.assertEqual((response.status, await response.read()), (418, b"short"))
                    self.assertEqual(response.headers["x-kind"], "teapot")
                self.assertEqual((seen[0].method, seen[0].target), ("PATCH", "/a%2Fb?x=1&y=%20"))
                self.assertEqual(seen[0].headers["x-own"], "1")
                self.assertNotIn("authorization", seen[0].headers)

        run(body)

    def test_a_large_answer_that_breaks_off_is_truncated_visibly(self) -> None:
        async def produce(request: Request, responder: Responder) -> None:
            await request.read(1000)
            async with responder.stream(200, [("content-type", "text/plain")]) as out:
                await out.write(b"x" * 3_000_000)
                raise DroppedConnectionError("cut")

        async def body() -> None:
            async with open_fleet(plain_services=0) as fleet, served(produce) as made:
                fleet.update_view(record("p", made[1], UpstreamKind.PLAIN, PLAIN_SERVICE))
                with self.assertRaises(ResponseLostError):
                    await fleet.post(QUERIES, b"")

        run(body)

    def test_an_unframed_answer_of_a_killed_service_is_retried(self) -> None:
        calls = 0

        async def answer(request: Request, responder: Responder) -> None:
            nonlocal calls
            calls += 1
            is_first = calls == 1
            await request.read(1000)
            responder.answer_as_http_1_0()
            async with responder.stream(200, [("content-type", "text/plain")]) as out:
                await out.write(b"first ")
                if is_first:
                    await trio.sleep_forever()
                await out.write(b"second")

        async def body() -> None:
            killed, other = Listener(answer), Listener(answer)
            answers: list[tuple[int, dict[str, str], bytes]] = []
            async with trio.open_nursery() as nursery, open_fleet(plain_services=0) as fleet:
                records = [
                    record(name, address, UpstreamKind.PLAIN, PLAIN_SERVICE)
                    for name, address in (
                        ("killed", await nursery.start(killed.run, LOOPBACK)),
                        ("other", await nursery.start(other.run, LOOPBACK)),
                    )
                ]

                async def call() -> None:
                    answers.append(await fleet.post(QUERIES, b""))

                fleet.update_view(records[0])
                nursery.start_soon(call)
                await wait_until(lambda: calls == 1)
                await trio.sleep(0.05)
                fleet.update_view(*records)
                killed.take_down()
                await wait_until(lambda: bool(answers))
                nursery.cancel_scope.cancel()
            [(status, _, data)] = answers
            self.assertEqual((status, data, calls), (200, b"first second", 2))

        run(body)

    @with_fleet()
    async def test_an_unknown_service_is_refused(self, fleet: OnlineFleet) -> None:
        for name in ("nobody", "demo-llm"):
            _, _, data = await fleet.post(f"/services/{name}/x", b"")
            self.assertEqual(fault_of(data)["name"], "UNKNOWN_SERVICE")


class ClaimTest(unittest.TestCase):
    """Resends with an Idempotency-Key, at two entries."""

    @with_fleet(entries=2)
    async def test_resends_at_two_entries_run_once_and_get_the_answer(
        self, fleet: OnlineFleet
    ) -> None:
        answers = [await fleet.post(BOOKINGS, ORDER, key(), entry) for entry in (0, 1, 0)]
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(len({data for _, _, data in answers}), 1)
        self.assertEqual(answers[1][1]["idempotent-replay"], "true")
        self.assertEqual(executions(fleet), 1)
        _, _, data = await fleet.post(BOOKINGS, b"other", key(), 1)
        self.assertEqual(fault_of(data)["name"], "KEY_REUSED")

    @with_fleet(entries=2)
    async def test_resends_at_once_run_once(self, fleet: OnlineFleet) -> None:
        only_plain(fleet).delay_ms = 20
        results: list[tuple[int, bytes]] = []

        async def send(entry: int) -> None:
            status, _, data = await fleet.post(BOOKINGS, ORDER, key(), entry)
            results.append((status, data))

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(send, number % 2)
        self.assertEqual(executions(fleet), 1)
        refused = [fault_of(data)["name"] for status, data in results if status != 200]
        self.assertEqual(set(refused), {"ALREADY_CLAIMED"})
        self.assertEqual(len(refused), 7)

    @with_fleet(entries=2)
    async def test_after_a_lost_answer_a_resend_elsewhere_does_not_run_it_again(
        self, fleet: OnlineFleet
    ) -> None:
        only_plain(fleet).cut_after = 1
        _, _, first = await fleet.post(BOOKINGS, ORDER, key(), 0)
        _, _, second = await fleet.post(BOOKINGS, ORDER, key(), 1)
        self.assertEqual(fault_of(first)["name"], "EXECUTION_UNKNOWN")
        self.assertEqual(fault_of(second)["name"], "ALREADY_CLAIMED")
        self.assertEqual(executions(fleet), 1)

    @with_fleet(entries=2)
    async def test_an_unsent_call_can_be_sent_by_another_entry(self, fleet: OnlineFleet) -> None:
        service = only_plain(fleet)
        service.listener.take_down()
        _, _, data = await fleet.post(BOOKINGS, ORDER, key(), 0)
        self.assertEqual(fault_of(data)["outcome"], "not_run")
        service.listener.bring_up()
        status = 0
        while status != 200:
            # The owner assigns no work to it until a trial has succeeded.
            status, _, data = await fleet.post(BOOKINGS, ORDER, key(), 1)
        self.assertEqual(executions(fleet), 1)

    @with_fleet()
    async def test_a_key_value_outage_refuses_only_calls_with_a_key(
        self, fleet: OnlineFleet
    ) -> None:
        fleet.standins.kv.take_down()
        status, headers, data = await fleet.post(BOOKINGS, ORDER, key())
        self.assertEqual((status, fault_of(data)["name"]), (503, "CLAIM_UNAVAILABLE"))
        self.assertEqual(fault_of(data)["outcome"], "not_run")
        self.assertIn("retry-after", headers)
        self.assertEqual(executions(fleet), 0)
        status, _, _ = await fleet.post(BOOKINGS, ORDER)
        self.assertEqual((status, executions(fleet)), (200, 1))
        fleet.standins.kv.bring_up()
        while status != 200 or executions(fleet) == 1:
            # The service needs a moment to listen again.
            status, _, data = await fleet.post(BOOKINGS, ORDER, key())
        self.assertEqual(executions(fleet), 2)

    @with_fleet(entries=2)
    async def test_a_silent_key_value_service_refuses_by_the_deadline_and_a_resend_runs(
        self, fleet: OnlineFleet
    ) -> None:
        # The write takes effect 200 ms before the deadline, but its reply is lost, and the read
        # that follows would return 200 ms too late.
        fleet.standins.kv.faults.lose_answer(LostAnswer.AFTER_EFFECT)
        fleet.standins.kv.faults.delay_ms = 400
        headers = {**key(), "x-deadline-ms": "600"}
        _, _, data = await fleet.post(BOOKINGS, ORDER, headers, 0)
        self.assertEqual(fault_of(data)["name"], "CLAIM_UNAVAILABLE")
        self.assertEqual(executions(fleet), 0)
        fleet.standins.kv.faults.clear()
        _, _, data = await fleet.post(BOOKINGS, ORDER, key(), 1)
        self.assertEqual(fault_of(data)["name"], "ALREADY_CLAIMED")
        status, _, _ = await fleet.post(BOOKINGS, ORDER, key(), 0)
        self.assertEqual((status, executions(fleet)), (200, 1))

    @with_fleet(entries=2)
    async def test_lost_answers_of_the_claim_run_the_call_exactly_once(
        self, fleet: OnlineFleet
    ) -> None:
        for number, when in enumerate(LostAnswer):
            with self.subTest(when=when):
                fleet.standins.kv.faults.lose_answer(when)
                name = f"lost-{number}"
                first = await fleet.post(BOOKINGS, ORDER, key(name), 0)
                second = await fleet.post(BOOKINGS, ORDER, key(name), 1)
                self.assertEqual((first[0], second[0]), (200, 200))
                self.assertEqual(first[2], second[2])
                self.assertEqual(executions(fleet), number + 1)

    # The second call got 200 with an empty body, marked as the first call's answer.
    @with_fleet(entries=2)
    async def test_an_answer_too_large_to_record_is_not_replayed_as_an_empty_one(
        self, fleet: OnlineFleet
    ) -> None:
        for characters in (100_000, 1_200_000):
            with self.subTest(characters=characters):
                order, name = b"x" * characters, key(f"large-{characters}")
                status, _, body = await fleet.post(BOOKINGS, order, name, 0)
                self.assertEqual(status, 200)
                self.assertGreater(len(body), characters)
                status, _, body = await fleet.post(BOOKINGS, order, name, 1)
                self.assertEqual((status, fault_of(body)["name"]), (409, "ALREADY_CLAIMED"))
        self.assertEqual(executions(fleet), 2)

    @with_fleet(entries=2)
    async def test_a_caller_disconnect_does_not_stop_a_claimed_call(
        self, fleet: OnlineFleet
    ) -> None:
        only_plain(fleet).delay_ms = 50
        with trio.move_on_after(30):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.post, BOOKINGS, ORDER, key())
                await wait_until(lambda: executions(fleet) == 1)
                nursery.cancel_scope.cancel()
        status = 409
        while status == 409:
            status, headers, _ = await fleet.post(BOOKINGS, ORDER, key(), 1)
        self.assertEqual((status, headers["idempotent-replay"]), (200, "true"))
        self.assertEqual(executions(fleet), 1)

    @with_fleet(entry_changes={"claim_retention_s": 60})
    async def test_expired_claims_are_deleted(self, fleet: OnlineFleet) -> None:
        await fleet.post(BOOKINGS, ORDER, key())
        context = fleet.contexts[0]
        self.assertEqual(await sweep_claims(context), 0)
        late = replace(context, unix_clock=lambda: context.unix_clock() + 61)
        self.assertEqual(await sweep_claims(late), 1)
        self.assertEqual(await sweep_claims(late), 0)
        await fleet.post(BOOKINGS, ORDER, key())
        self.assertEqual(executions(fleet), 2)
