"""Online requests through a full entry: real sockets, stand-in engines, a real owner of permits.

Each caller's text is compared with the oracle, which knows every token for every prompt.
"""

import random
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio

from fescuedock.net.http_client import ClientResponse, ResponseLostError
from fescuedock.net.http_server import Request, Responder
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.view import UpstreamKind
from tests.builders.net import served
from tests.builders.online import (
    MODEL,
    MODEL_SERVICE,
    OnlineFleet,
    ReadStream,
    chat_body,
    open_fleet,
    oracle_text,
    read_stream,
    record,
    run,
    wait_until,
    with_fleet,
)

CHAT = "/v1/chat/completions"
LONG = {"max_tokens": 60}


@asynccontextmanager
async def streaming(fleet: OnlineFleet, body: dict) -> AsyncIterator[ClientResponse]:
    async with fleet.http.request(fleet.entry, "POST", CHAT, [], msgspec.json.encode(body)) as got:
        yield got


async def read_truncated(response: ClientResponse) -> tuple[ReadStream, bool]:
    """Return the received stream, and whether the response ended as a complete one."""
    data = b""
    try:
        async for chunk in response.chunks():
            data += chunk
    except ResponseLostError:
        return read_stream(data), False
    return read_stream(data), True


def fault_of(body: bytes) -> dict:
    return msgspec.json.decode(body)["error"]


def serving_engine(fleet: OnlineFleet) -> str:
    return next(name for name, item in fleet.standins.engines.items() if item.core.load.running)


class StreamTest(unittest.TestCase):
    """Streamed answers through faults."""

    def check_complete(self, data: bytes, body: dict) -> ReadStream:
        stream = read_stream(data)
        self.assertEqual(stream.text, oracle_text(body))
        self.assertTrue(stream.done)
        self.assertEqual(stream.finish_reasons, ["length"])
        self.assertEqual(len(stream.identities), 1)
        return stream

    @with_fleet()
    async def test_an_engine_death_during_a_stream_loses_and_repeats_no_token(
        self, fleet: OnlineFleet
    ) -> None:
        wanted = chat_body(**LONG)
        async with streaming(fleet, wanted) as response:
            data = b""
            died = ""
            async for chunk in response.chunks():
                data += chunk
                if not died and data.count(b"data:") > 5:
                    died = serving_engine(fleet)
                    fleet.standins.engines[died].die()
        self.check_complete(data, wanted)
        other = next(name for name in fleet.standins.engines if name != died)
        resumed = fleet.standins.engines[other].stats
        self.assertLess(resumed.tokens, 60)

    @with_fleet(engines=3)
    async def test_concurrent_callers_get_their_own_answers_despite_cuts_and_errors(
        self, fleet: OnlineFleet
    ) -> None:
        for number in range(30):
            await self.one_chat(fleet, f"fills the retry budget {number}")
        rng = random.Random(5)
        for engine in fleet.standins.engines.values():
            engine.faults.cut_after.extend(rng.choice([1, 3, *[99] * 6]) for _ in range(20))
            engine.faults.fail_with.append(500)
        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(self.one_chat, fleet, f"caller {number} asks")

    async def one_chat(self, fleet: OnlineFleet, text: str) -> None:
        wanted = chat_body(text, stream_options={"include_usage": True})
        status, _, data = await fleet.post(CHAT, wanted)
        self.assertEqual(status, 200)
        stream = self.check_complete(data, wanted)
        self.assertEqual(stream.usage["completion_tokens"], 12)

    @with_fleet(engines=1)
    async def test_an_answer_that_cannot_be_finished_is_truncated_visibly(
        self, fleet: OnlineFleet
    ) -> None:
        fleet.standins.engines["engine-1"].faults.cut_after.extend([1] * 40)
        async with streaming(fleet, chat_body()) as response:
            stream, complete = await read_truncated(response)
        self.assertFalse(complete)
        self.assertFalse(stream.done)
        self.assertTrue(oracle_text(chat_body()).startswith(stream.text))
        self.assertEqual(stream.error["name"], "UPSTREAM_LOST")
        self.assertEqual(stream.error["outcome"], "failed")
        self.assertGreater(stream.error["retry_after_ms"], 0)

    @with_fleet()
    async def test_a_stream_that_started_continues_past_the_deadline(
        self, fleet: OnlineFleet
    ) -> None:
        wanted = chat_body(max_tokens=200)
        status, _, data = await fleet.post(CHAT, wanted, {"x-deadline-ms": "250"})
        self.assertEqual(status, 200)
        self.check_complete(data, wanted)

    @with_fleet()
    async def test_a_stream_moves_from_a_hung_engine_to_another(self, fleet: OnlineFleet) -> None:
        wanted = chat_body(**LONG)
        async with streaming(fleet, wanted) as response:
            data = b""
            frozen = ""
            async for chunk in response.chunks():
                data += chunk
                if not frozen and data.count(b"data:") > 5:
                    frozen = serving_engine(fleet)
                    fleet.standins.engines[frozen].freeze()
        self.check_complete(data, wanted)

    @with_fleet()
    async def test_a_caller_disconnect_cancels_the_run_upstream(self, fleet: OnlineFleet) -> None:
        async with streaming(fleet, chat_body(max_tokens=5000)) as response:
            await anext(response.chunks())
            engine = fleet.standins.engines[serving_engine(fleet)]
        await wait_until(lambda: engine.stats.cancelled == 1)
        self.assertFalse(engine.core.load.running)
        await self.one_chat(fleet, "the entry serves on")
        await wait_until(lambda: not any(self.in_flight(fleet)))

    def in_flight(self, fleet: OnlineFleet) -> list[int]:
        book = fleet.owner.service._owner
        now_ms = trio.current_time() * 1000
        return [book.load(name, now_ms).in_flight_online for name in fleet.standins.engines]

    def test_a_slow_caller_is_disconnected_within_bounded_memory(self) -> None:
        sent_bytes = 0
        gone = trio.Event()
        event = b'data: {"choices":[{"text":"%s","finish_reason":null}]}\n\n' % (b"x" * 200_000)

        async def produce(request: Request, responder: Responder) -> None:
            nonlocal sent_bytes
            await request.read(10_000)
            try:
                async with responder.stream(200, [("content-type", "text/event-stream")]) as out:
                    while True:
                        await out.write(event)
                        sent_bytes += len(event)
            finally:
                gone.set()

        async def body() -> None:
            entry = {"write_timeout_ms": 300}
            async with open_fleet(engines=0, entry_changes=entry) as fleet, served(produce) as made:
                fleet.update_view(record("big", made[1], UpstreamKind.ENGINE, MODEL_SERVICE))
                async with streaming(fleet, chat_body()):
                    await gone.wait()
                # The unread part fits into the socket buffers.
                self.assertLess(sent_bytes, 40_000_000)

        run(body)


class RandomFaultsTest(unittest.TestCase):
    """Random faults of all kinds at once."""

    @with_fleet(engines=3)
    async def test_callers_get_their_own_answer_a_visible_truncation_or_a_refusal(
        self, fleet: OnlineFleet
    ) -> None:
        rng = random.Random(11)
        outcomes: set[str] = set()
        async with trio.open_nursery() as callers, trio.open_nursery() as faults:
            faults.start_soon(self.inject_faults, fleet, rng)
            for number in range(80):
                callers.start_soon(self.send_chat, fleet, f"caller {number}", outcomes)
                await trio.sleep(rng.uniform(0, 0.02))
            faults.cancel_scope.cancel()
        self.assertIn("complete", outcomes)

    async def inject_faults(self, fleet: OnlineFleet, rng: random.Random) -> None:
        while True:
            engine = rng.choice(list(fleet.standins.engines.values()))
            match rng.randrange(4):
                case 0:
                    engine.die()
                    await trio.sleep(rng.uniform(0, 0.05))
                    engine.revive()
                case 1:
                    engine.faults.cut_after.append(rng.randrange(1, 30))
                case 2:
                    engine.faults.fail_with.append(500)
                case 3:
                    fleet.owner.silent = not fleet.owner.silent
                    fleet.update_view(leaving=(engine.upstream_id,) if rng.random() < 0.3 else ())
            await trio.sleep(rng.uniform(0, 0.05))

    async def send_chat(self, fleet: OnlineFleet, text: str, outcomes: set[str]) -> None:
        wanted = chat_body(text, max_tokens=30)
        async with streaming(fleet, wanted) as response:
            if response.status != 200:
                fault = fault_of(await response.read())
                self.assertIn(fault["outcome"], ("not_run", "failed"))
                self.assertGreater(fault["retry_after_ms"], 0)
                outcomes.add(fault["outcome"])
                return
            stream, complete = await read_truncated(response)
        self.assertTrue(oracle_text(wanted).startswith(stream.text))
        self.assertIs(stream.done, complete)
        if complete:
            self.assertEqual(stream.text, oracle_text(wanted))
        else:
            self.assertEqual(stream.error["outcome"], "failed")
        outcomes.add("complete" if complete else "broken")


class FullAnswerTest(unittest.TestCase):
    """Non-streamed answers, and errors."""

    def check_text(self, data: bytes, body: dict) -> None:
        answer = msgspec.json.decode(data)
        self.assertEqual(answer["choices"][0]["message"]["content"], oracle_text(body))

    @with_fleet()
    async def test_after_an_engine_death_another_engine_completes_the_answer(
        self, fleet: OnlineFleet
    ) -> None:
        wanted = chat_body(stream=False, **LONG)

        async def kill() -> None:
            await wait_until(
                lambda: any(item.stats.tokens > 5 for item in fleet.standins.engines.values())
            )
            fleet.standins.engines[serving_engine(fleet)].die()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill)
            status, _, data = await fleet.post(CHAT, wanted)
        self.assertEqual(status, 200)
        self.check_text(data, wanted)

    @with_fleet()
    async def test_a_broken_full_answer_is_resumed_where_it_broke(self, fleet: OnlineFleet) -> None:
        for engine in fleet.standins.engines.values():
            engine.faults.cut_after.append(10)
        wanted = chat_body(stream=False, **LONG)
        status, _, data = await fleet.post(CHAT, wanted)
        self.assertEqual(status, 200)
        self.check_text(data, wanted)
        tokens = sum(item.stats.tokens for item in fleet.standins.engines.values())
        self.assertLess(tokens, 75)

    @with_fleet(engines=1)
    async def test_full_answers_equal_those_of_the_engine(self, fleet: OnlineFleet) -> None:
        engine = fleet.standins.engines["engine-1"].address
        text = {"model": MODEL, "prompt": "who is entitled?", "max_tokens": 5}
        for path, wanted in [
            (CHAT, chat_body(stream=False)),
            ("/v1/completions", text),
            (CHAT, chat_body(stream=False, tools=[{"type": "function"}])),
        ]:
            _, _, ours = await fleet.post(path, wanted)
            async with fleet.http.request(
                engine, "POST", path, [], msgspec.json.encode(wanted)
            ) as response:
                theirs = await response.read()
            self.assertEqual(self.comparable(ours), self.comparable(theirs))

    def test_an_answer_with_content_other_than_text_comes_from_the_engine(self) -> None:
        complete = b'{"choices":[{"message":{"content":"x","reasoning_content":"because"}}]}'
        parts = (
            b'data: {"choices":[{"delta":{"role":"assistant"}}]}\n\n'
            b'data: {"choices":[{"delta":{"reasoning_content":"because"}}]}\n\n'
            b'data: {"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]}\n\n'
            b"data: [DONE]\n\n"
        )

        async def answer(request: Request, responder: Responder) -> None:
            streamed = msgspec.json.decode(await request.read(10_000)).get("stream")
            await responder.send(200, parts if streamed else complete)

        async def body() -> None:
            async with open_fleet(engines=0) as fleet, served(answer) as made:
                fleet.update_view(record("e", made[1], UpstreamKind.ENGINE, MODEL_SERVICE))
                status, _, data = await fleet.post(CHAT, chat_body(stream=False))
                self.assertEqual((status, data), (200, complete))

        run(body)

    def comparable(self, data: bytes) -> dict:
        answer = msgspec.json.decode(data)
        return {**answer, "id": answer["id"][:5], "created": 0}

    @with_fleet(engines=4)
    async def test_a_prompt_that_kills_engines_fails_after_two_of_them(
        self, fleet: OnlineFleet
    ) -> None:
        for engine in fleet.standins.engines.values():
            engine.faults.restart_ms = 60_000
        status, _, data = await fleet.post(CHAT, chat_body("[[kills]]", stream=False))
        self.assertEqual(status, 502)
        self.assertEqual(fault_of(data)["outcome"], "failed")
        self.assertEqual(sum(e.deaths for e in fleet.standins.engines.values()), 2)

    @with_fleet()
    async def test_a_request_that_the_engine_rejects_is_not_retried(
        self, fleet: OnlineFleet
    ) -> None:
        for stream in (True, False):
            wanted = chat_body("[[impossible]]", stream=stream)
            status, _, data = await fleet.post(CHAT, wanted)
            self.assertEqual(status, 400)
            self.assertEqual(fault_of(data)["name"], "UPSTREAM_REJECTED")
            self.assertIn("[[impossible]]", fault_of(data)["message"])
        # Counts arrivals: an owner that replies late is skipped by the second permit request.
        received = [engine.received for engine in fleet.standins.engines.values()]
        self.assertEqual(sum(received), 2)

    @with_fleet(engines=1)
    async def test_the_deadline_ends_a_request_at_once(self, fleet: OnlineFleet) -> None:
        fleet.standins.engines["engine-1"].freeze()
        for stream in (True, False):
            started = trio.current_time()
            status, headers, data = await fleet.post(
                CHAT, chat_body(stream=stream), {"x-deadline-ms": "300"}
            )
            self.assertEqual((status, fault_of(data)["name"]), (504, "UPSTREAM_TIMEOUT"))
            self.assertIn("retry-after", headers)
            self.assertGreaterEqual(trio.current_time() - started, 0.299)

    @with_fleet(engines=1)
    async def test_one_slow_prefill_does_not_get_longer_prompts_refused(
        self, fleet: OnlineFleet
    ) -> None:
        engine = fleet.standins.engines["engine-1"]
        engine.slowness = 20.0
        await fleet.post(CHAT, chat_body("x" * 1200, max_tokens=1))
        engine.slowness = 1.0
        longer = chat_body("y" * 40_000, max_tokens=1)
        status, _, _ = await fleet.post(CHAT, longer, {"x-deadline-ms": "5000"})
        self.assertEqual(status, 200)

    @with_fleet(entry_changes={"require_api_key": True})
    async def test_invalid_requests_are_refused(self, fleet: OnlineFleet) -> None:
        key = {"authorization": "Bearer key-of-escuela"}
        for headers, wanted, name in [
            ({}, chat_body(), "UNAUTHORIZED"),
            ({"authorization": "Bearer wrong"}, chat_body(), "UNAUTHORIZED"),
            (key, chat_body(model="other"), "UNKNOWN_MODEL"),
            (key, b"{", "BAD_REQUEST"),
            (key, [1], "BAD_REQUEST"),
            ({**key, "x-deadline-ms": "-1"}, chat_body(), "BAD_REQUEST"),
        ]:
            with self.subTest(name=name, headers=headers):
                _, _, data = await fleet.post(CHAT, wanted, headers)
                self.assertEqual(fault_of(data)["name"], name)
                self.assertEqual(fault_of(data)["outcome"], "not_run")
        status, _, _ = await fleet.post(CHAT, chat_body(), key)
        self.assertEqual(status, 200)

    @with_fleet(engines=1)
    async def test_a_refused_connection_is_not_run(self, fleet: OnlineFleet) -> None:
        fleet.standins.engines["engine-1"].die()
        status, headers, data = await fleet.post(CHAT, chat_body())
        self.assertEqual((status, fault_of(data)["outcome"]), (503, "not_run"))
        self.assertIn("retry-after-ms", headers)
        self.assertEqual(fleet.standins.engines["engine-1"].stats.admitted, 0)

    @with_fleet(engines=1)
    async def test_after_a_lost_attempt_no_refusal_says_not_run(self, fleet: OnlineFleet) -> None:
        engine = fleet.standins.engines["engine-1"]
        engine.faults.restart_ms = 60_000
        _, _, data = await fleet.post(CHAT, chat_body("[[kills]]"))
        self.assertEqual(engine.deaths, 1)
        self.assertEqual(fault_of(data)["outcome"], "failed")
        self.assertEqual(fault_of(data)["code"], ResultCode.UPSTREAM_LOST)


class OwnerTest(unittest.TestCase):
    """Permits from an owner that replies, is slow, or is silent."""

    @with_fleet()
    async def test_silent_owners_do_not_stop_online(self, fleet: OnlineFleet) -> None:
        fleet.owner.silent = True
        for _ in range(3):
            status, _, data = await fleet.post(CHAT, chat_body())
            self.assertEqual(status, 200)
            self.assertEqual(read_stream(data).text, oracle_text(chat_body()))
        # Only the first request waited for the owner, and only once.
        self.assertEqual(fleet.owner.permit_requests, 1)

    @with_fleet(engines=1, permit_changes={"local_limit": 2})
    async def test_without_an_owner_the_local_limit_holds(self, fleet: OnlineFleet) -> None:
        fleet.owner.silent = True
        engine = fleet.standins.engines["engine-1"]
        async with (
            streaming(fleet, chat_body(max_tokens=5000)),
            streaming(fleet, chat_body(max_tokens=5000)),
        ):
            await wait_until(lambda: engine.core.load.running == 2)
            status, headers, data = await fleet.post(CHAT, chat_body())
        self.assertEqual((status, fault_of(data)["name"]), (503, "NO_CAPACITY"))
        self.assertEqual(fault_of(data)["outcome"], "not_run")
        self.assertIn("retry-after-ms", headers)
        self.assertEqual(engine.stats.admitted, 2)

    @with_fleet()
    async def test_a_leaving_upstream_gets_no_new_calls_and_finishes_running_ones(
        self, fleet: OnlineFleet
    ) -> None:
        wanted = chat_body(max_tokens=200)
        async with streaming(fleet, wanted) as response:
            chunks = response.chunks()
            data = await anext(chunks)
            name = serving_engine(fleet)
            engine = fleet.standins.engines[name]
            fleet.update_view(leaving=(name,))
            for _ in range(10):
                status, _, _ = await fleet.post(CHAT, chat_body())
                self.assertEqual(status, 200)
            async for chunk in chunks:
                data += chunk
        self.assertEqual(engine.stats.admitted, 1)
        self.assertEqual(read_stream(data).text, oracle_text(wanted))

    @with_fleet()
    async def test_a_leaving_upstream_is_not_used_without_its_owner_either(
        self, fleet: OnlineFleet
    ) -> None:
        fleet.owner.silent = True
        fleet.update_view(leaving=("engine-1",))
        for _ in range(6):
            status, _, _ = await fleet.post(CHAT, chat_body())
            self.assertEqual(status, 200)
        self.assertEqual(fleet.standins.engines["engine-1"].stats.admitted, 0)

    @with_fleet(permit_changes={"local_limit": 1})
    async def test_requests_wait_for_a_slow_owner_instead_of_being_refused(
        self, fleet: OnlineFleet
    ) -> None:
        fleet.owner.delay_ms = 200
        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(self.one_full_chat, fleet)

    async def one_full_chat(self, fleet: OnlineFleet) -> None:
        status, _, data = await fleet.post(CHAT, chat_body())
        self.assertEqual(status, 200)
        self.assertEqual(read_stream(data).text, oracle_text(chat_body()))

    @with_fleet(engines=0)
    async def test_a_missing_upstream_is_reported_at_once(self, fleet: OnlineFleet) -> None:
        status, headers, data = await fleet.post(CHAT, chat_body())
        self.assertEqual((status, fault_of(data)["name"]), (503, "NO_UPSTREAM"))
        self.assertIn("retry-after", headers)
