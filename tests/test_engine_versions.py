"""OpenAI-dialect answers have one software version where engines restart at another one.

The VM list still names the former version: nothing but an engine's answer tells what it runs.
"""

import unittest
from contextlib import suppress
from dataclasses import dataclass, field

import msgspec
import trio
from msgspec.structs import replace

from fescuedock.backing.engine import EngineClient
from fescuedock.batch.attempts import Attempt, UpstreamClients, run_attempt
from fescuedock.core.batch.items import AttemptEnd, EndKind, Item
from fescuedock.net.http_client import ResponseLostError, unchecked
from fescuedock.schema.view import UpstreamKind, UpstreamRecord
from fescuedock.standin.engine import EngineService
from fescuedock.standin.token_text import answer_text
from tests.builders.online import (
    MODEL_SERVICE,
    OnlineFleet,
    ReadStream,
    chat_body,
    read_stream,
    record,
    with_fleet,
)
from tests.builders.standins import chat_prompt, open_http, run_async, running_standins, upstream_of

CHAT = "/v1/chat/completions"
TOKENS = 12
LISTED = "b1"


def set_versions(engines: list[EngineService], *versions: str) -> None:
    for engine, version in zip(engines, versions, strict=True):
        engine.software_version = version
        engine.faults.resumes_any_text = True


def texts_by_version(text: str, *versions: str) -> dict[str, str]:
    """Return the complete answer of each version to a chat with the message ``text``."""
    return {version: answer_text(chat_prompt(text) + version, TOKENS) for version in versions}


class OnlineVersionsTest(unittest.TestCase):
    def start(self, fleet: OnlineFleet, *versions: str, listed: str = LISTED) -> None:
        engines = list(fleet.standins.engines.values())
        set_versions(engines, *versions)
        records = [
            record(item.upstream_id, item.address, UpstreamKind.ENGINE, MODEL_SERVICE)
            for item in engines
        ]
        fleet.update_view(*(replace(item, software_version=listed) for item in records))

    async def chat_cut_once(self, fleet: OnlineFleet, text: str, cut_at: str) -> ReadStream:
        """Send a chat whose stream the engine ``cut_at`` cuts if it is the first to answer."""
        engine = fleet.standins.engines[cut_at]
        engine.faults.cut_after.append(4)
        body, data = msgspec.json.encode(chat_body(text, max_tokens=TOKENS)), b""
        async with fleet.http.request(fleet.entry, "POST", CHAT, [], body) as response:
            self.assertEqual(response.status, 200)
            with suppress(ResponseLostError):
                async for chunk in response.chunks():
                    data += chunk
        engine.faults.cut_after.clear()
        return read_stream(data)

    async def check_chats(self, fleet: OnlineFleet, *versions: str) -> int:
        """Send chats of which many are cut; return how many were answered in full."""
        complete = 0
        for number in range(16):
            text = f"who is entitled? {number}"
            wanted = texts_by_version(text, *versions)
            cut_at = f"engine-{number % len(versions) + 1}"
            stream = await self.chat_cut_once(fleet, text, cut_at)
            if stream.done:
                self.assertIn(stream.text, wanted.values())
                complete += 1
            else:
                self.assertIsNotNone(stream.error)
                parts = [item for item in wanted.values() if item.startswith(stream.text)]
                self.assertEqual(len(parts), 1, stream.text)
        return complete

    @with_fleet(engines=2)
    async def test_a_stream_has_one_version_while_the_list_names_a_former_one(
        self, fleet: OnlineFleet
    ) -> None:
        self.start(fleet, "b1", "b2")
        await self.check_chats(fleet, "b1", "b2")

    @with_fleet(engines=2)
    async def test_a_stream_has_one_version_while_the_list_names_none(
        self, fleet: OnlineFleet
    ) -> None:
        self.start(fleet, "b1", "b2", listed="")
        await self.check_chats(fleet, "b1", "b2")

    @with_fleet(engines=2)
    async def test_streams_resume_at_engines_of_their_version(self, fleet: OnlineFleet) -> None:
        self.start(fleet, "b1", "b1")
        for number in range(20):
            await fleet.post(CHAT, chat_body(f"fills the retry budget {number}"))
        engines = fleet.standins.engines.values()
        before = sum(engine.stats.tokens for engine in engines)
        self.assertEqual(await self.check_chats(fleet, "b1", "b1"), 16)
        tokens = sum(engine.stats.tokens for engine in engines) - before
        self.assertLess(tokens, 16 * (TOKENS + 3))


@dataclass
class _Grant:
    permit_id: str
    revoked: trio.Event = field(default_factory=trio.Event)

    def count_tokens(self, count: int = 1) -> None: ...

    def end(self, ended: object) -> None: ...


class BatchVersionsTest(unittest.TestCase):
    TEXT = "application 7"

    def run_engines(self, test, *versions: str) -> None:
        async def run() -> None:
            async with (
                running_standins(engines=len(versions), plain_services=0) as standins,
                open_http() as http,
            ):
                engines = list(standins.engines.values())
                set_versions(engines, *versions)
                await test(UpstreamClients(EngineClient(http), http), engines)

        run_async(run)

    async def attempt(
        self,
        clients: UpstreamClients,
        engine: EngineService,
        item: Item,
        *,
        cut: bool = False,
    ) -> AttemptEnd:
        """Run an attempt at an engine that is listed at version b1, and keep what it generated."""
        if cut:
            engine.faults.cut_after.append(4)
        upstream: UpstreamRecord = replace(upstream_of(engine), software_version=LISTED)
        grant = _Grant(f"attempt-{engine.received}-{engine.upstream_id}")
        end = await run_attempt(clients, Attempt(item, upstream, grant, 5000.0, unchecked))
        item.text, item.tokens = end.text, end.tokens
        item.software_version = end.software_version
        return end

    def new_item(self) -> Item:
        line = (
            b'{"custom_id":"c","method":"POST","url":"/v1/chat/completions","body":{"model":'
            b'"demo-model","messages":[{"role":"user","content":"%b"}],"max_tokens":%d}}'
        )
        return Item(0, line % (self.TEXT.encode(), TOKENS))

    def check_version(self, end: AttemptEnd, version: str) -> None:
        self.assertIs(end.kind, EndKind.DONE, end.body)
        self.assertIn(answer_text(chat_prompt(self.TEXT) + version, TOKENS).encode(), end.body)

    def test_text_is_not_resumed_at_an_engine_that_restarted_at_another_version(self) -> None:
        async def test(clients: UpstreamClients, engines: list[EngineService]) -> None:
            item, (same, other) = self.new_item(), engines
            await self.attempt(clients, same, item, cut=True)
            generated = (item.text, item.tokens)
            end = await self.attempt(clients, other, item)
            self.assertIsNot(end.kind, EndKind.DONE)
            self.assertEqual((item.text, item.tokens, item.software_version), (*generated, "b1"))
            self.check_version(await self.attempt(clients, same, item), "b1")

        self.run_engines(test, "b1", "b2")

    def test_text_of_a_restarted_engine_is_not_resumed_at_its_listed_version(self) -> None:
        async def test(clients: UpstreamClients, engines: list[EngineService]) -> None:
            item, (same, other) = self.new_item(), engines
            await self.attempt(clients, other, item, cut=True)
            self.assertEqual(item.software_version, "b2")
            self.check_version(await self.attempt(clients, same, item), "b1")

        self.run_engines(test, "b1", "b2")

    def test_an_item_whose_resume_point_is_rejected_begins_anew(self) -> None:
        """Guards against a sound item that ends as rejected, where only its resume point was."""

        async def test(clients: UpstreamClients, engines: list[EngineService]) -> None:
            item, (first, checking) = self.new_item(), engines
            checking.faults.resumes_any_text = False
            await self.attempt(clients, first, item, cut=True)
            end = await self.attempt(clients, checking, item)
            self.assertIs(end.kind, EndKind.RESUME_REJECTED)
            self.assertEqual((item.text, item.tokens), ("", 0))
            self.check_version(await self.attempt(clients, checking, item), "b2")

        self.run_engines(test, "b1", "b2")

    def test_text_is_resumed_at_its_version(self) -> None:
        async def test(clients: UpstreamClients, engines: list[EngineService]) -> None:
            item, (first, second) = self.new_item(), engines
            await self.attempt(clients, first, item, cut=True)
            self.assertGreaterEqual(item.tokens, 4)
            self.check_version(await self.attempt(clients, second, item), "b1")
            self.assertLess(second.stats.tokens, TOKENS)

        self.run_engines(test, "b1", "b1")


if __name__ == "__main__":
    unittest.main()
