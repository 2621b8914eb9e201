"""No request is written to an upstream on knowledge that has become outdated by then.

Guards against items that reach an upstream more than 3 s after the end of their job was
acknowledged; likewise calls whose deadline has passed, and upstreams that leave.  An item or an
upstream is checked when it is chosen.  Connecting takes up to 250 ms, and a process may be
suspended for seconds between the choice and the write.  In these tests an update arrives, or the
process is suspended, just after the connection is established; the request must be checked again
when it is written.
"""

import unittest

import eliot
import msgspec
import trio

from fescuedock.address import Address
from fescuedock.core.stored_jobs.keys import JobKeys
from fescuedock.node.job_store import decode_record
from fescuedock.platform.standin.event_upstream import EventUpstream
from fescuedock.standin.plain_service import PlainService
from tests.builders.connecting import block_process, during_connect
from tests.builders.jobs_calls import JOB, read_page, submit
from tests.builders.node import NodeFleet, running_fleet
from tests.builders.online import (
    OnlineFleet,
    chat_body,
    long_permit_timeout,
    wait_until,
    with_fleet,
)
from tests.builders.standins import run_async

# How long after an acknowledged end an item may still start at the nodes of these tests.
END_BOUND_MS = 1500
BOOKINGS = "/services/demo-plain/bookings"
CHAT = "/v1/chat/completions"


class OvertakenSendTest(unittest.TestCase):
    def run_fleet(self, test, **options: object) -> list[dict]:
        """Run ``test`` on a fleet of one node; return the log lines."""
        lines: list[dict] = []

        async def run() -> None:
            with trio.fail_after(30):
                async with running_fleet(end_bound_ms=END_BOUND_MS, **options) as fleet:
                    await test(fleet)

        eliot.add_destinations(lines.append)
        try:
            run_async(run)
        finally:
            eliot.remove_destination(lines.append)
        return lines

    def check_sent_once(self, ends: list[str]) -> None:
        """Check that attempts were withdrawn until one gave the complete answer.

        One is withdrawn because the process is suspended; on a slow machine more permits may lapse.
        """
        self.assertEqual(ends[-1], "whole")
        self.assertEqual(set(ends[:-1]), {"withdrawn"}, ends)

    def end_elsewhere(self, fleet: NodeFleet) -> None:
        """Write the end of the job, as another node does before it acknowledges the end."""
        [node] = fleet.nodes
        key = JobKeys(node.settings.node.key_prefix).record(JOB)
        record = decode_record(fleet.store.state.get(key)).unwrap().record
        ended = msgspec.structs.replace(record, ended=True)
        fleet.store.state.put(key, msgspec.msgpack.encode(ended))

    def test_an_item_whose_job_ended_while_its_node_was_suspended_is_not_sent(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream], [node] = fleet.upstreams, fleet.nodes

            async def end_and_block_process(_address: Address) -> None:
                self.end_elsewhere(fleet)
                block_process(END_BOUND_MS / 1000 + 0.1)

            with during_connect([upstream.address], end_and_block_process) as connected:
                self.assertEqual((await submit(fleet, node.front, "a")).status, 202)
                await wait_until(lambda: connected)
                await trio.sleep(0.7)
            self.assertEqual(dict(upstream.runs), {})

        lines = self.run_fleet(test, upstreams=1)
        [line] = [line for line in lines if line["message_type"] == "item_run"]
        self.assertEqual(line["attempt_end"], "withdrawn")

    def test_an_item_whose_job_ends_while_its_node_connects_is_not_sent(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream], [node] = fleet.upstreams, fleet.nodes

            async def end(_address: Address) -> None:
                answer = await fleet.call(node.front, "DELETE", f"/api/lots/{JOB}")
                self.assertEqual(answer.status, 200)

            with during_connect([upstream.address], end) as connected:
                await submit(fleet, node.front, "a")
                await wait_until(lambda: connected)
                await trio.sleep(0.5)
            self.assertEqual(dict(upstream.runs), {})

        self.run_fleet(test, upstreams=1)

    def test_an_item_that_was_not_sent_runs_under_another_permit(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream], [node] = fleet.upstreams, fleet.nodes
            valid_s = node.settings.agent.permit_valid_ms / 1000

            async def outlast_permit(_address: Address) -> None:
                block_process(valid_s + 0.1)

            with during_connect([upstream.address], outlast_permit):
                await submit(fleet, node.front, "a")
                page = await read_page(fleet, node.front, wait_ms=5000)
            [result] = page.json()["results"]
            self.assertEqual((result["id"], result["state"]), ("a", "completed"))
            self.assertEqual(dict(upstream.runs), {"a": 1})

        lines = self.run_fleet(test, upstreams=1)
        ends = [line["attempt_end"] for line in lines if line["message_type"] == "item_run"]
        self.check_sent_once(ends)

    def test_a_call_whose_deadline_passed_while_its_node_was_suspended_is_not_sent(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [upstream], [node] = fleet.upstreams, fleet.nodes

            async def block_process_for_long(_address: Address) -> None:
                block_process(1.0)

            with during_connect([upstream.address], block_process_for_long) as connected:
                headers = {"X-Deadline-Ms": "800"}
                answer = await fleet.call(node.front, "POST", "/rights/1", b"case", headers)
                self.assertEqual(connected, [upstream.address])
            self.assertGreaterEqual(answer.status, 500)
            await trio.sleep(0.2)
            self.assertEqual(upstream.runs.total(), 0)

        self.run_fleet(test, upstreams=1)

    def test_a_call_whose_permit_lapsed_while_its_node_was_suspended_requests_another(self) -> None:
        async def test(fleet: NodeFleet) -> None:
            [node] = fleet.nodes
            valid_s = node.settings.agent.permit_valid_ms / 1000

            async def outlast_permit(_address: Address) -> None:
                block_process(valid_s + 0.1)

            with during_connect([item.address for item in fleet.upstreams], outlast_permit):
                answer = await fleet.call(node.front, "POST", "/rights/1", b"case")
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertEqual(sum(item.runs.total() for item in fleet.upstreams), 1)

        with long_permit_timeout():
            lines = self.run_fleet(test)
        attempts = [line for line in lines if line["message_type"] == "call_attempt"]
        self.assertEqual({line["local_permit"] for line in attempts}, {False}, attempts)
        self.check_sent_once([line["end"] for line in attempts])

    def test_a_call_is_not_sent_to_an_upstream_that_began_to_leave_meanwhile(self) -> None:
        update_wait_s = 0.2

        async def test(fleet: NodeFleet) -> None:
            [node] = fleet.nodes
            leaving: list[EventUpstream] = []

            async def leave(address: Address) -> None:
                [upstream] = [item for item in fleet.upstreams if item.address == address]
                leaving.append(upstream)
                fleet.register(upstream, state="draining", sequence=2)
                await trio.sleep(update_wait_s)

            with during_connect([item.address for item in fleet.upstreams], leave):
                answer = await fleet.call(node.front, "POST", "/check/1", b"case")
            self.assertEqual((answer.status, answer.complete), (200, True))
            [left] = leaving
            self.assertEqual(left.runs.total(), 0)

        self.run_fleet(test)


class OvertakenEntrySendTest(unittest.TestCase):
    """The same at the entries of the other deployment: streams, complete answers and services."""

    def addresses(self, fleet: OnlineFleet) -> dict[Address, str]:
        engines, plain = fleet.standins.engines, fleet.standins.plain
        return {item.address: name for name, item in (*engines.items(), *plain.items())}

    async def call_while_leaving(
        self, fleet: OnlineFleet, path: str, body: object
    ) -> tuple[int, str]:
        """Call while the upstream that was chosen leaves; return the status and that upstream."""
        names = self.addresses(fleet)

        async def leave(address: Address) -> None:
            fleet.update_view(leaving=(names[address],))

        with during_connect(list(names), leave) as connected:
            status, _, _ = await fleet.post(path, body)
        [address] = connected
        return status, names[address]

    @with_fleet(plain_services=2)
    async def test_a_service_that_began_to_leave_meanwhile_gets_no_call(
        self, fleet: OnlineFleet
    ) -> None:
        status, left = await self.call_while_leaving(fleet, BOOKINGS, b"{}")
        self.assertEqual(status, 200)
        executions = {name: sum(item.executions.values()) for name, item in self.plain(fleet)}
        self.assertEqual(executions.pop(left), 0)
        self.assertEqual(list(executions.values()), [1])

    @with_fleet()
    async def test_an_engine_that_began_to_leave_meanwhile_gets_no_stream(
        self, fleet: OnlineFleet
    ) -> None:
        status, left = await self.call_while_leaving(fleet, CHAT, chat_body())
        self.assertEqual(status, 200)
        self.assertEqual(fleet.standins.engines[left].received, 0)

    @with_fleet()
    async def test_an_engine_that_began_to_leave_meanwhile_gives_no_complete_answer(
        self, fleet: OnlineFleet
    ) -> None:
        body = chat_body(stream=False, n=2)
        status, left = await self.call_while_leaving(fleet, CHAT, body)
        self.assertEqual(status, 200)
        self.assertEqual(fleet.standins.engines[left].received, 0)

    @with_fleet()
    async def test_a_call_whose_deadline_passed_while_its_entry_was_suspended_is_not_sent(
        self, fleet: OnlineFleet
    ) -> None:
        async def block_process_for_long(_address: Address) -> None:
            block_process(0.8)

        with during_connect(list(self.addresses(fleet)), block_process_for_long) as connected:
            status, _, _ = await fleet.post(BOOKINGS, b"{}", {"x-deadline-ms": "500"})
            self.assertEqual(len(connected), 1)
        self.assertGreaterEqual(status, 500)
        await trio.sleep(0.2)
        self.assertEqual([sum(item.executions.values()) for _, item in self.plain(fleet)], [0])

    def plain(self, fleet: OnlineFleet) -> list[tuple[str, PlainService]]:
        return list(fleet.standins.plain.items())


if __name__ == "__main__":
    unittest.main()
