"""OpenAI-dialect answers have one software version where engines restart at another one.

The VM list still names the former version: nothing but an engine's answer tells what it runs.
"""

import unittest
from contextlib import suppress

import msgspec
from msgspec.structs import replace

from fescuedock.net.http_client import ResponseLostError
from fescuedock.schema.view import UpstreamKind
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
from tests.builders.standins import chat_prompt

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


if __name__ == "__main__":
    unittest.main()
