"""Items of batch jobs during whose runs upstreams crash, for other reasons."""

import unittest
from collections.abc import Awaitable, Callable

import eliot
import trio

from fescuedock.address import Address
from fescuedock.core.quarantine import QuarantinePolicy
from fescuedock.core.rendezvous import choose_name
from fescuedock.core.work_identity import work_identity
from fescuedock.net.http_server import Request, Responder
from fescuedock.platform.standin.event_upstream import EventUpstream
from tests.builders.jobs_calls import item_entry, read_page, submission_of
from tests.builders.node import HOST, SERVICE, NodeFleet, running_fleet
from tests.builders.online import wait_until
from tests.builders.ports import free_ports
from tests.builders.standins import run_async

_JOB = "owed-items"
_PATH = "/letters/unlucky"
# The rule for batch jobs allows this long for what is left at the end.
_LISTED_WITHIN_S = 18.0
_MAX_BODY_BYTES = 100_000
_PARTS = "9c2e41:30,5d07b8:40,aa:50"


class UnluckyUpstream(EventUpstream):
    """Crashes during each run of the item ``unlucky`` until ``crashes_left`` is used up.

    The upstreams ``hung_id`` and ``refusing_id`` run nothing; the latter is healthy.
    """

    crashes_left = 0
    hung_id = refusing_id = ""

    async def handle(self, request: Request, responder: Responder) -> None:
        if self.upstream_id == UnluckyUpstream.hung_id:
            await trio.sleep_forever()
        if self.upstream_id == UnluckyUpstream.refusing_id and request.path != "/health":
            await request.read(_MAX_BODY_BYTES)
            await responder.send(503, b"", [("X-Not-Executed", "1")])
            return
        if UnluckyUpstream.crashes_left > 0:
            self.harmful.add(_PATH)
        else:
            self.harmful.discard(_PATH)
        await super().handle(request, responder)

    def crash(self, path: str = "") -> None:
        if self.listener.is_up:
            UnluckyUpstream.crashes_left -= 1
        super().crash(path)


def all_crashes(fleet: NodeFleet) -> list[tuple[str, ...]]:
    """Return the requests in progress at each crash, in order."""
    crashes = [crash for upstream in fleet.upstreams for crash in upstream.crashes]
    return [crash.request_ids for crash in sorted(crashes, key=lambda crash: crash.at_s)]


async def submit_items(fleet: NodeFleet, *names: str, parts: str = "") -> None:
    items = [item_entry(name, name.encode()) for name in names]
    for item in items:
        if parts:
            item["headers"]["X-Prompt-Prefix"] = parts
    headers = {"X-Request-Id": _JOB, "X-Deadline-Ms": "3000"}
    answer = await fleet.call(
        fleet.nodes[0].front, "POST", "/letters/new", submission_of(items), headers
    )
    assert answer.status == 202, answer


async def listed_states(fleet: NodeFleet, count: int, within_s: float) -> dict[str, str]:
    """Return the states of the listed items once there are ``count``, or after ``within_s``."""
    states: dict[str, str] = {}
    with trio.move_on_after(within_s):
        while len(states) < count:
            answer = await read_page(fleet, fleet.nodes[-1].front, _JOB, after=len(states))
            if answer.status == 200:
                states |= {item["id"]: item["state"] for item in answer.json()["results"]}
            await trio.sleep(0.1)
    return states


class OwedItemsTest(unittest.TestCase):
    def run_fleet(
        self,
        crashes: int,
        test: Callable[[NodeFleet], Awaitable[None]],
        **options: object,
    ) -> None:
        async def run() -> None:
            UnluckyUpstream.crashes_left = crashes
            UnluckyUpstream.hung_id = UnluckyUpstream.refusing_id = ""
            with trio.fail_after(60):
                async with running_fleet(
                    **({"nodes": 3, "upstreams": 6} | options), upstream_type=UnluckyUpstream
                ) as fleet:
                    for upstream in fleet.upstreams:
                        upstream.event_interval_ms = 20.0
                    await test(fleet)

        run_async(run)

    async def wait_crashes(self, fleet: NodeFleet, count: int) -> None:
        with trio.fail_after(_LISTED_WITHIN_S):
            await wait_until(lambda: len(all_crashes(fleet)) >= count)

    # An item was not run again for 10 minutes once its isolated run had met a crash.
    def test_an_item_is_listed_soon_after_the_last_of_several_crashes(self) -> None:
        for crashes in (3, 5):
            with self.subTest(crashes=crashes):

                async def test(fleet: NodeFleet, crashes: int = crashes) -> None:
                    await submit_items(fleet, "unlucky")
                    await self.wait_crashes(fleet, crashes)
                    states = await listed_states(fleet, 1, _LISTED_WITHIN_S)
                    self.assertEqual(states, {"unlucky": "completed"})

                self.run_fleet(crashes, test)

    def test_the_other_items_are_not_taken_along_by_isolated_crashes(self) -> None:
        names = ("a", "b", "unlucky", "c", "d", "e")

        async def test(fleet: NodeFleet) -> None:
            await submit_items(fleet, *names, parts=_PARTS)
            await self.wait_crashes(fleet, 5)
            states = await listed_states(fleet, len(names), _LISTED_WITHIN_S)
            self.assertEqual(states, dict.fromkeys(names, "completed"))
            for request_ids in all_crashes(fleet)[2:]:
                self.assertEqual(request_ids, ("unlucky",))

        self.run_fleet(5, test)

    def test_an_item_is_listed_though_all_nodes_restart_after_the_crashes(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await submit_items(fleet, "unlucky")
            await self.wait_crashes(fleet, 3)
            for node in list(fleet.nodes):
                node.kill()
                await fleet.restart(node)
            states = await listed_states(fleet, 1, _LISTED_WITHIN_S)
            self.assertEqual(states, {"unlucky": "completed"})

        self.run_fleet(5, test)

    def test_an_item_is_listed_though_the_store_is_away_during_the_crashes(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await submit_items(fleet, "unlucky")
            await self.wait_crashes(fleet, 1)
            fleet.store.refuse_status = 503
            await trio.sleep(3.0)
            fleet.store.refuse_status = 0
            states = await listed_states(fleet, 1, _LISTED_WITHIN_S)
            self.assertEqual(states, {"unlucky": "completed"})

        self.run_fleet(4, test)

    def test_an_item_is_listed_though_its_owner_is_killed_after_the_crashes(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await submit_items(fleet, "unlucky")
            await self.wait_crashes(fleet, 3)
            fleet.nodes[0].kill()
            states = await listed_states(fleet, 1, _LISTED_WITHIN_S)
            self.assertEqual(states, {"unlucky": "completed"})

        self.run_fleet(4, test)

    # All nodes request isolated runs at the same upstream, and that one granted or ran none.
    def test_an_item_is_listed_though_the_first_choice_for_isolated_runs_runs_nothing(
        self,
    ) -> None:
        for fault in ("hung_id", "refusing_id"):
            with self.subTest(fault=fault):

                async def test(fleet: NodeFleet, fault: str = fault) -> None:
                    await submit_items(fleet, "unlucky")
                    await self.wait_crashes(fleet, 3)
                    with trio.fail_after(2):
                        await wait_until(lambda: all(up.listener.is_up for up in fleet.upstreams))
                    names = [upstream.upstream_id for upstream in fleet.upstreams]
                    setattr(UnluckyUpstream, fault, choose_name(SERVICE, names))
                    states = await listed_states(fleet, 1, _LISTED_WITHIN_S)
                    self.assertEqual(states, {"unlucky": "completed"})

                self.run_fleet(3, test)

    def test_an_item_that_waits_is_logged_and_counted(self) -> None:
        lines: list[dict] = []
        [port] = free_ports(1, "127.0.0.1")

        async def test(fleet: NodeFleet) -> None:
            await submit_items(fleet, "unlucky")
            await self.wait_crashes(fleet, 4)
            await trio.sleep(1.0)
            answer = await fleet.call(Address("127.0.0.1", port), "GET", "/metrics")
            self.assertIn(b"fescuedock_restricted_items 1.0", answer.body)

        eliot.add_destinations(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        self.run_fleet(1000, test, nodes=1, metrics_port=port)
        waits = [line for line in lines if line["message_type"] == "item_restricted"]
        self.assertEqual({line["item_id"] for line in waits}, {"unlucky"})
        work_id = work_identity("POST", HOST, _PATH, "", b"unlucky")
        self.assertEqual({line["trait"] for line in waits}, {work_id})
        refused = [line for line in waits if line["restriction"] == "REFUSED"]
        self.assertTrue(refused)
        self.assertTrue(all(0 < line["retry_after_ms"] <= 5000 for line in refused))

    # A job must not lose an item to a part of its prompt that is held to be harmful either.
    def test_an_item_with_a_refused_part_is_listed(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            for upstream in fleet.upstreams:
                upstream.harmful_parts.add("9c2e41")
            for number in range(12):
                headers = {"X-Prompt-Prefix": _PARTS, "X-Deadline-Ms": "2000"}
                front = fleet.nodes[number % len(fleet.nodes)].front
                path, body = f"/rights/{number}", b"%d" % number
                answer = await fleet.call(front, "POST", path, body, headers)
                if b"WORK_HARMFUL" in answer.body:
                    break
                await trio.sleep(0.4)
            self.assertIn(b"WORK_HARMFUL", answer.body)
            for upstream in fleet.upstreams:
                upstream.harmful_parts.clear()
            await submit_items(fleet, "a", "b", parts=_PARTS)
            states = await listed_states(fleet, 2, _LISTED_WITHIN_S)
            self.assertEqual(states, {"a": "completed", "b": "completed"})

        self.run_fleet(0, test)

    def test_an_item_that_keeps_meeting_crashes_is_run_at_bounded_intervals(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            await submit_items(fleet, "a", "unlucky", "b")
            await self.wait_crashes(fleet, 3)
            await trio.sleep(12.0)
            self.assertLessEqual(len(all_crashes(fleet)), 3 + len(self.retries_within(12_000.0)))
            self.assertEqual(set(await listed_states(fleet, 2, 1.0)), {"a", "b"})

        self.run_fleet(1000, test)

    def retries_within(self, span_ms: float) -> list[float]:
        """Return the earliest times of the isolated runs after the third crash.

        Nodes know Unix time to the second, so each pause may be shorter by one.
        """
        pauses_ms = QuarantinePolicy().owed_retry_pauses_ms
        at_ms, found = 0.0, []
        while True:
            at_ms += pauses_ms[min(len(found), len(pauses_ms) - 1)] - 1000.0
            if at_ms > span_ms:
                return found
            found.append(at_ms)


if __name__ == "__main__":
    unittest.main()
