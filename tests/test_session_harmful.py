"""Requests that kill each engine that begins them, through whole systems of separate programs."""

import unittest

import msgspec
import trio

from fescuedock.cli.local import LocalSystem
from fescuedock.cli.local_setup import TRIP_MODEL
from fescuedock.schema.result_codes import ResultCode
from fescuedock.standin.engine import CRASH_MARKER
from tests.builders.batch_session import upload
from tests.builders.golden import GoldenSession
from tests.builders.local import Answer, exchange, post, run_session, wait_until

# Three deaths are enough to know a piece of work by.
ENOUGH = 3
ITEMS = 30
HARMFUL_ITEM = 7


def death_count(system: LocalSystem) -> int:
    return sum(engine.deaths for engine in system.standins.engines.values())


class HarmfulSessionTest(unittest.TestCase):
    """As ``test_node_harmful_calls`` has it for the other deployment.

    Here one call went on to a second engine by itself, and its caller's next try began anew at
    another VM; an item was ended by the runner that it killed three engines under, innocent or not,
    and nobody else heard of it.
    """

    async def ask(self, system: LocalSystem, number: int, prompt: str) -> Answer:
        vms = list(system.vms.values())
        body = {"model": TRIP_MODEL, "prompt": prompt, "max_tokens": 4}
        address = vms[number % len(vms)].entry_address
        return await exchange(system, "POST", "/v1/completions", body, entry=address)

    def test_a_call_that_comes_again_at_any_vm_kills_three_engines_at_most(self) -> None:
        async def session(system: LocalSystem) -> None:
            names: list[str] = []
            for number in range(7):
                answer = await self.ask(system, number, f"Dear {CRASH_MARKER}")
                self.assertNotEqual(answer.status, 200)
                names.append(answer.json["error"]["name"])
                await trio.sleep(1.2)
            self.assertLessEqual(death_count(system), ENOUGH)
            self.assertEqual(names[-1], ResultCode.WORK_HARMFUL.name)
            self.assertEqual((await self.ask(system, 1, "Dear parents")).status, 200)

        run_session(session)

    def test_an_item_is_ended_after_three_engines_and_no_call_with_it_kills_another(self) -> None:
        async def session(system: LocalSystem) -> None:
            prompts = [f"Dear class {number}" for number in range(ITEMS)]
            prompts[HARMFUL_ITEM] = f"Dear {CRASH_MARKER}"
            bodies = [
                {"model": TRIP_MODEL, "prompt": prompt, "max_tokens": 4} for prompt in prompts
            ]
            lines = b"\n".join(
                msgspec.json.encode(
                    {"custom_id": f"letter-{number}", "method": "POST", "url": "/v1/completions"}
                    | {"body": body}
                )
                for number, body in enumerate(bodies)
            )
            file_id = (await upload(GoldenSession(system), lines)).json["id"]
            asked = {"input_file_id": file_id, "endpoint": "/v1/completions"}
            job = (await post(system, "/v1/batches", asked | {"completion_window": "24h"})).json
            found: list[dict] = []

            async def completed() -> bool:
                found.append((await exchange(system, "GET", f"/v1/batches/{job['id']}")).json)
                return found[-1].get("status") == "completed"

            await wait_until(completed, timeout_s=50)
            self.assertEqual(found[-1]["request_counts"]["failed"], 1)
            self.assertLessEqual(death_count(system), ENOUGH)
            target = f"/v1/files/{found[-1]['error_file_id']}/content"
            [line] = (await exchange(system, "GET", target)).body.splitlines()
            failed = msgspec.json.decode(line)
            self.assertEqual(failed["custom_id"], f"letter-{HARMFUL_ITEM}")
            self.assertEqual(failed["error"]["number"], ResultCode.ITEM_ISOLATED)
            before = death_count(system)
            answer = await self.ask(system, 0, prompts[HARMFUL_ITEM])
            self.assertEqual(answer.json["error"]["name"], ResultCode.WORK_HARMFUL.name)
            self.assertEqual(death_count(system), before)

        run_session(session)


if __name__ == "__main__":
    unittest.main()
