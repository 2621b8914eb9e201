"""Tests which requests may use operator paths."""

import json
import unittest
from hashlib import sha256

from fescuedock.entry.operators import operator_refusal
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import EntrySettings
from tests.builders.online import OnlineFleet, chat_body, with_fleet

CHAT = "/v1/chat/completions"
HASHES = ", ".join(sha256(key).hexdigest() for key in (b"old", b"new"))


class OperatorsTest(unittest.TestCase):
    def test_only_the_configured_keys_are_accepted(self) -> None:
        settings = EntrySettings(0, operator_key_hash=HASHES)
        for key in ("old", "new"):
            self.assertIsNone(operator_refusal(settings, {"authorization": f"Bearer {key}"}))
        for headers in ({}, {"authorization": "Bearer "}, {"authorization": "Bearer other"}):
            fault = operator_refusal(settings, headers)
            self.assertEqual(fault.code, ResultCode.UNAUTHORIZED)
        self.assertIsNone(operator_refusal(EntrySettings(0), {}))

    @with_fleet(entry_changes={"operator_key_hash": HASHES})
    async def test_operator_paths_need_a_key_and_caller_paths_do_not(
        self, fleet: OnlineFleet
    ) -> None:
        for path in ("/admin/config/patches", "/admin/leave", "/admin/status", "/admin/none"):
            status, _, data = await fleet.post(path, {})
            self.assertEqual(
                (status, json.loads(data)["error"]["name"]), (401, "UNAUTHORIZED"), path
            )
        good = {"authorization": "Bearer new"}
        status, _, _ = await fleet.post("/admin/status", {}, good)
        self.assertEqual(status, 405)
        status, _, _ = await fleet.post(CHAT, chat_body())
        self.assertEqual(status, 200)
