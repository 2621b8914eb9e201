"""Items of jobs that cannot be sent as requests, or whose numbers are out of range."""

import json
import unittest

import trio
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from fescuedock.platform import calls, job_calls
from tests.builders.jobs_calls import JOB, item_entry, read_page, submission_of
from tests.builders.node import Answer, NodeFleet, running_fleet
from tests.builders.odd_values import ODD_TEXTS, check_sendable, check_usable, json_of, odd_values
from tests.builders.standins import run_async

# Each of these was accepted, and then ended each node that owned the job, or was answered 500.
UNSENDABLE: tuple[dict[str, object], ...] = (
    {"path": "/letters/a b"},
    {"path": "/letters/é"},
    {"path": ""},
    {"path": "letters/a"},
    {"path": "/letters/a\r\nx: y"},
    {"headers": {"X-Note": "a\nb"}},
    {"headers": {"X-Note": "a\x00b"}},
    {"headers": {"X Note": "a"}},
    {"headers": {"X-Ñote": "a"}},
    {"headers": {"": "a"}},
    {"id": ""},
    {"id": "é"},
    {"id": "a\r\nb"},
    {"id": " a"},
    {"tokens": 10**30},
    {"tokens": 10**400},
    {"tokens": -1},
    {"tokens": 1e308},
)
HEADER_TEXTS = st.one_of(st.text(max_size=8), st.sampled_from(ODD_TEXTS))


def read(change: dict[str, object]) -> object:
    return job_calls.read_submission(json_of({"items": [item_entry("a", b"x") | change]}))


class ForeignItemTest(unittest.TestCase):
    """An accepted item that could not be sent ended each node that owned its job.

    None of the job's other items was listed.
    """

    def check_read(self, change: dict[str, object]) -> None:
        result = read(change)
        if not isinstance(result, Ok):
            return
        [item] = result.ok_value
        check_usable(self, item)
        check_usable(self, calls.item_head(item.headers))
        headers = calls.item_headers(
            item.headers, item_id=item.item_id, upstream_id="i", last_event=-1
        )
        check_sendable(item.path, headers)

    def test_an_item_that_cannot_be_sent_is_refused(self) -> None:
        for change in UNSENDABLE:
            with self.subTest(change=str(change)[:60]):
                self.assertTrue(read(change).is_err())

    def test_the_reason_names_the_place(self) -> None:
        self.assertIn("items[0].path", read({"path": "/a b"}).unwrap_err())

    def test_texts_that_a_header_can_hold_are_accepted(self) -> None:
        for value in ("", "petición", "名", "a b", " a\t", "a\tb"):
            with self.subTest(value=value):
                self.assertTrue(read({"headers": {"X-Note": value}}).is_ok())
                self.check_read({"headers": {"X-Note": value}})

    def test_a_submission_that_is_nested_too_deeply_is_refused(self) -> None:
        body = b'{"items":[{"more":' + b"[" * 100_000
        self.assertTrue(job_calls.read_submission(body).is_err())

    @given(st.sampled_from([*item_entry("a", b""), "more"]), odd_values())
    def test_what_is_accepted_can_be_stored_and_sent(self, name: str, value: object) -> None:
        self.check_read({name: value})

    @given(st.dictionaries(HEADER_TEXTS, HEADER_TEXTS, max_size=3))
    def test_accepted_headers_can_be_sent(self, headers: dict[str, str]) -> None:
        self.check_read({"headers": headers})


class ForeignItemNodeTest(unittest.TestCase):
    def run_fleet(self, test) -> None:
        async def run() -> None:
            with trio.fail_after(40):
                async with running_fleet(nodes=2, upstreams=2) as fleet:
                    await test(fleet)

        run_async(run)

    async def submit(self, fleet: NodeFleet, change: dict[str, object], job_id: str) -> Answer:
        """Submit a job of a changed item and a sound one."""
        items = [item_entry("a", b"a") | change, item_entry("b", b"b")]
        fields = {"X-Request-Id": job_id, "X-Deadline-Ms": "3000"}
        body = submission_of(items)
        return await fleet.call(fleet.nodes[0].front, "POST", "/letters/new", body, fields)

    def test_the_job_is_refused_whole(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for number, change in enumerate(UNSENDABLE):
                answer = await self.submit(fleet, change, f"job-{number}")
                with self.subTest(change=str(change)[:60]):
                    self.assertEqual(answer.status, 400)
                    self.assertEqual(json.loads(answer.body)["error"]["code"], 1000)
            self.assertEqual([upstream.runs.total() for upstream in fleet.upstreams], [0, 0])

        self.run_fleet(test)

    def test_a_header_that_is_not_ascii_runs_with_its_job(self) -> None:
        """It ended the node that owned the job, about once a second."""

        async def test(fleet: NodeFleet) -> None:
            change = {"headers": {"X-Model": "m", "X-Case-Note": "petición"}}
            self.assertEqual((await self.submit(fleet, change, JOB)).status, 202)
            states: list[str] = []
            while len(states) < 2:
                await trio.sleep(0.1)
                page = (await read_page(fleet, fleet.nodes[1].front)).json()
                states = [result["state"] for result in page["results"]]
            self.assertEqual(states, ["completed"] * 2)
            notes = {seen.get("x-case-note") for item in fleet.upstreams for seen in item.seen}
            self.assertIn("petición".encode().decode("latin-1"), notes)

        self.run_fleet(test)


if __name__ == "__main__":
    unittest.main()
