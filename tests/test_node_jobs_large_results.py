"""Results of batch jobs near the largest value that the metadata store takes."""

import unittest
from unittest import mock

import trio

from fescuedock.platform.standin import event_upstream, metadata_store
from tests.builders.jobs_calls import read_page, submit
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.online import wait_until
from tests.builders.standins import run_async

_VALUE_BYTES = 16384
_EVENTS = 5
# Three bytes a character in UTF-8.
_WIDE = "\u4fe1"


def wide_event(number: int, path: str, _body_bytes: int, _version: str = "") -> bytes:
    """Return an event of 400 wide characters, or of 3000 for the item named ``long``."""
    characters = 3000 if path.endswith("/long") else 400
    return f"id: {number}\ndata: {_WIDE * characters}\n\n".encode()


class LargeResultsTest(unittest.TestCase):
    def setUp(self) -> None:
        for patcher in (
            mock.patch.object(event_upstream, "event_bytes", wide_event),
            mock.patch.object(metadata_store, "MAX_VALUE_BYTES", _VALUE_BYTES),
        ):
            patcher.start()
            self.addCleanup(patcher.stop)

    def results_after_outage(self, names: list[str], **settings: object) -> dict[str, dict]:
        """Return the results by item of a job whose items all end while the store is away."""
        found: dict[str, dict] = {}

        async def test() -> None:
            with trio.fail_after(20):
                async with running_fleet(**settings) as fleet:
                    found.update(await self._run_job(fleet, names))

        run_async(test)
        return found

    async def _run_job(self, fleet: NodeFleet, names: list[str]) -> dict[str, dict]:
        for upstream in fleet.upstreams:
            upstream.event_interval_ms = 40.0
        front = fleet.nodes[0].front
        self.assertEqual((await submit(fleet, front, *names)).status, 202)
        fleet.store.refuse_status = 503
        await wait_until(lambda: all(fleet.upstream_runs(name) for name in names))
        await wait_until(lambda: not any(item.running for item in fleet.upstreams))
        await trio.sleep(0.2)
        fleet.store.refuse_status = 0
        results: list[dict] = []
        while len(results) < len(names):
            answer = await read_page(fleet, front, after=len(results), wait_ms=500)
            if answer.status == 200:
                results += answer.json()["results"]
        return {item["id"]: item for item in results}

    # A store that refuses a group of results as too large must not block the job.
    def test_results_of_wide_characters_are_listed_after_an_outage(self) -> None:
        names = [f"item-{number}" for number in range(8)]
        found = self.results_after_outage(
            names, store_value_bytes=_VALUE_BYTES, commit_bytes=_VALUE_BYTES
        )
        text = "\n".join([_WIDE * 400] * _EVENTS)
        self.assertEqual({item["text"] for item in found.values()}, {text})
        self.assertEqual(set(found), set(names))

    # A store whose limit is below the configured one must not block the job either.
    def test_a_refused_group_is_split_and_a_single_result_given_up(self) -> None:
        names = ["long", *(f"item-{number}" for number in range(7))]
        found = self.results_after_outage(names, store_value_bytes=1 << 20, commit_bytes=1 << 19)
        states = {name: item["state"] for name, item in found.items()}
        self.assertEqual(states.pop("long"), "dead_letter")
        self.assertEqual(set(states.values()), {"completed"})


if __name__ == "__main__":
    unittest.main()
