"""Files and batches through the public ``openai`` client, including faults of the platform."""

import unittest
from unittest.mock import patch

import msgspec
import trio
from openai import APIError, APIStatusError, AsyncOpenAI
from openai.types import Batch

from fescuedock.address import Address
from fescuedock.core.batch.record import OwnerChange, apply_change, decode_record, encode_record
from fescuedock.core.job_keys import job_key
from fescuedock.net.channel import ServerPeer, serve_channel
from fescuedock.schema.batch import (
    CommittedGroup,
    FileRecord,
    JobManifest,
    JobPush,
    JobRecord,
    JobState,
    SegmentRef,
)
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import BatchSettings
from tests.builders.jobs import ENDPOINT, JobEntry, JobSite, input_file, input_line, with_job_site
from tests.builders.kv import LostAnswer
from tests.builders.store import HOST, until

PREFIX = "/fescuedock/"
SMALL = BatchSettings(port=0, max_items=5, max_line_bytes=1024)
GOOD = input_line(1)


async def upload(client: AsyncOpenAI, content: bytes) -> str:
    return (await client.files.create(file=("in.jsonl", content), purpose="batch")).id


async def submit(client: AsyncOpenAI, file_id: str, key: str = "", **changes: object) -> Batch:
    arguments = {
        "input_file_id": file_id,
        "endpoint": ENDPOINT,
        "completion_window": "24h",
        "extra_headers": {"Idempotency-Key": key} if key else {},
    }
    return await client.batches.create(**(arguments | changes))


async def post_file(entry: JobEntry, content_type: str, body: bytes) -> int:
    """Send a form unchanged; return the status."""
    headers = [("content-type", content_type)]
    http = entry.context.http
    async with http.request(entry.address, "POST", "/v1/files", headers, body) as response:
        await response.read()
        return response.status


def keys(entry: JobEntry, kind: str) -> list[str]:
    page = entry.kv.state.page(f"{PREFIX}{kind}/", f"{PREFIX}{kind}0", 10000)
    return [item.key for item in page.entries]


def stored(entry: JobEntry, job_id: str) -> JobRecord:
    return decode_record(entry.kv.state.get(job_key(PREFIX, job_id)).value)


def stored_file(entry: JobEntry, key: str) -> FileRecord:
    return msgspec.msgpack.decode(entry.kv.state.get(key).value, type=FileRecord)


def replace(entry: JobEntry, record: JobRecord) -> None:
    key = job_key(PREFIX, record.job_id)
    revision = entry.kv.state.get(key).mod_revision
    assert entry.kv.state.put_if(key, encode_record(record), revision, 0)


class _SiteTest(unittest.TestCase):
    async def assert_refused(self, call, code: ResultCode, outcome: str = "not_run") -> str:
        """Check that an awaitable is refused; return the message."""
        with self.assertRaises(APIStatusError) as caught:
            await call
        error = caught.exception.response.json()["error"]
        self.assertEqual((error["name"], error["outcome"]), (code.name, outcome))
        self.assertEqual(error["code"], code.value)
        return error["message"]


class FileTest(_SiteTest):
    @with_job_site()
    async def test_a_file_is_stored_returned_listed_and_deleted(self, site: JobSite) -> None:
        client = site.entry.client()
        content = input_file(3000)
        file_id = await upload(client, content)
        file = await client.files.retrieve(file_id)
        self.assertEqual((file.bytes, file.status), (len(content), "processed"))
        self.assertEqual((file.filename, file.purpose), ("in.jsonl", "batch"))
        self.assertEqual((await client.files.content(file_id)).content, content)
        self.assertEqual([item.id async for item in client.files.list()], [file_id])
        self.assertTrue((await client.files.delete(file_id)).deleted)
        await self.assert_refused(client.files.retrieve(file_id), ResultCode.NOT_FOUND)
        await self.assert_refused(client.files.delete(file_id), ResultCode.NOT_FOUND)

    @with_job_site(batch=SMALL)
    async def test_any_content_is_returned_unchanged(self, site: JobSite) -> None:
        client = site.entry.client()
        short_lines = b"a\n" * 200_000
        contents = (b"", b"\n\n", b"\r\nx", bytes(range(256)) * 40, b"z" * 5000, short_lines)
        for content in contents:
            file = await client.files.create(file=("data", content), purpose="user_data")
            self.assertEqual((await client.files.content(file.id)).content, content)
            self.assertEqual(file.status, "processed")
        found = [stored_file(site.entry, key) for key in keys(site.entry, "files")]
        self.assertLess(max(len(file.segments) for file in found), 20)

    @with_job_site()
    async def test_files_are_listed_in_pages(self, site: JobSite) -> None:
        client = site.entry.client()
        wanted = {await upload(client, input_file(number)) for number in range(1, 6)}
        found = [item.id async for item in client.files.list(limit=2)]
        self.assertEqual((len(found), set(found)), (5, wanted))

    @with_job_site()
    async def test_malformed_forms_are_refused(self, site: JobSite) -> None:
        form = "multipart/form-data; boundary=b"
        head = b'--b\r\ncontent-disposition: form-data; name="%b"\r\n\r\n'
        purpose = head % b"purpose" + b"batch\r\n"
        file = head % b"file" + b"x\r\n"
        cases = [
            ("application/json", b"{}"),
            ("multipart/form-data", b"{}"),
            (form, b""),
            (form, b"nonsense"),
            (form, purpose + b"--b--\r\n"),
            (form, file + b"--b--\r\n"),
            (form, purpose + file + file + b"--b--\r\n"),
            (form, head % b"purpose" + b"x" * 600 + b"\r\n" + file + b"--b--\r\n"),
            (form, purpose + file),
        ]
        for content_type, body in cases:
            with self.subTest(content_type=content_type, body=body):
                self.assertEqual(await post_file(site.entry, content_type, body), 400)
        complete_form = file + purpose + b"--b--\r\n"
        self.assertEqual(await post_file(site.entry, form, complete_form), 200)
        self.assertEqual(len(keys(site.entry, "files")), 1)

    @with_job_site()
    async def test_full_disks_are_reported_and_leave_no_file(self, site: JobSite) -> None:
        client = site.entry.client()
        for node in site.fleet.nodes.values():
            node.usage.max_bytes = 1000
        await self.assert_refused(upload(client, input_file(20000)), ResultCode.DISK_FULL)
        self.assertEqual(keys(site.entry, "files"), [])

    @patch("fescuedock.entry.files._SLOT_WAIT_MS", 50)
    @with_job_site()
    async def test_uploads_over_the_limit_are_refused_and_finished_ones_make_room(
        self, site: JobSite
    ) -> None:
        head = b"POST /v1/files HTTP/1.1\r\nhost: x\r\ncontent-length: 999\r\n"
        head += b"content-type: multipart/form-data; boundary=b\r\n\r\n"
        address = site.entry.address
        slow = [await trio.open_tcp_stream(address.host, address.port) for _ in range(8)]
        for stream in slow:
            await stream.send_all(head)
        client = site.entry.client()
        await until(lambda: site.entry.server.in_flight == 8)
        await self.assert_refused(upload(client, GOOD), ResultCode.NO_CAPACITY)
        for stream in slow:
            await stream.aclose()
        await until(lambda: site.entry.server.in_flight == 0)
        await upload(client, GOOD)

    @with_job_site()
    async def test_lost_answers_during_a_deletion_are_resolved(self, site: JobSite) -> None:
        client = site.entry.client()
        for when in LostAnswer:
            file_id = await upload(client, GOOD)
            site.entry.kv.faults.lose_answer(when)
            self.assertTrue((await client.files.delete(file_id)).deleted)
            await self.assert_refused(client.files.retrieve(file_id), ResultCode.NOT_FOUND)


class AcceptanceTest(_SiteTest):
    @with_job_site(batch=SMALL)
    async def test_invalid_lines_are_reported_by_number_and_nothing_is_accepted(
        self, site: JobSite
    ) -> None:
        cases = [
            (b"", ResultCode.EMPTY_INPUT, ""),
            (b"\n \n", ResultCode.EMPTY_INPUT, ""),
            (GOOD + b"\n{nonsense\n", ResultCode.BAD_LINE, "line 2"),
            (GOOD + b"\n\n[]\n", ResultCode.BAD_LINE, "line 3"),
            (GOOD + b"\n" + GOOD, ResultCode.DUPLICATE_CUSTOM_ID, "line 2"),
            (input_line(1, custom_id=None), ResultCode.BAD_LINE, "line 1"),
            (input_line(1, custom_id=""), ResultCode.BAD_LINE, "line 1"),
            (input_line(1, custom_id="x" * 513), ResultCode.BAD_LINE, "line 1"),
            (input_line(1, method="GET"), ResultCode.BAD_LINE, "line 1"),
            (input_line(1, url="/v1/images"), ResultCode.BAD_LINE, "line 1"),
            (GOOD + b"\n" + input_line(2, url="/v1/completions"), ResultCode.BAD_LINE, "line 2"),
            (input_line(1, body={}), ResultCode.BAD_LINE, "line 1"),
            (input_line(1, body=[]), ResultCode.BAD_LINE, "line 1"),
            (GOOD[:-2] + b',"x":"\xff"}}', ResultCode.BAD_LINE, "line 1"),
            (
                input_line(1, body={"model": "m", "x": "y" * 1024}),
                ResultCode.LINE_TOO_LONG,
                "line 1",
            ),
            (input_file(6), ResultCode.TOO_MANY_ITEMS, "line 6"),
            (GOOD + b"\n" + input_line(2, body={"model": "?"}), ResultCode.UNKNOWN_MODEL, "line 2"),
            (
                GOOD + b"\n" + input_line(2, body={"model": "rosters"}),
                ResultCode.BAD_LINE,
                "line 2",
            ),
            (input_line(1, url="/v1/completions"), ResultCode.BAD_LINE, "line 1"),
        ]
        client = site.entry.client()
        for content, code, named in cases:
            with self.subTest(content=content[:60], code=code.name):
                file_id = await upload(client, content)
                message = await self.assert_refused(submit(client, file_id), code)
                self.assertIn(named, message)
        self.assertEqual(keys(site.entry, "jobs") + keys(site.entry, "open"), [])
        # An invalid batch file reports its error before a job is created from it.
        file = await client.files.retrieve(await upload(client, b"{nonsense"))
        self.assertEqual(file.status, "error")
        self.assertIn("line 1", file.status_details)

    @with_job_site()
    async def test_invalid_requests_are_refused(self, site: JobSite) -> None:
        client = site.entry.client()
        file_id = await upload(client, GOOD)
        bad = ResultCode.BAD_REQUEST
        for window in ("", "soon", "0h", "15d", "-1h", "24 h"):
            await self.assert_refused(submit(client, file_id, completion_window=window), bad)
        too_much = {str(number): "" for number in range(17)}
        await self.assert_refused(submit(client, file_id, metadata=too_much), bad)
        await self.assert_refused(submit(client, file_id, metadata={"a": "b" * 513}), bad)
        await self.assert_refused(submit(client, file_id, "k" * 513), bad)
        await self.assert_refused(submit(client, "file-none"), ResultCode.NOT_FOUND)
        other = await client.files.create(file=("x", GOOD), purpose="user_data")
        await self.assert_refused(submit(client, other.id), bad)
        for window, seconds in (("90m", 5400), ("30s", 30), ("7d", 604800), ("45", 45)):
            batch = await submit(client, file_id, completion_window=window)
            self.assertEqual(batch.expires_at - batch.created_at, seconds)

    @with_job_site()
    async def test_calls_of_plain_services_are_marked_when_they_may_not_be_repeated(
        self, site: JobSite
    ) -> None:
        client = site.entry.client()
        for path, once in (("/coaches/1", True), ("/letters", False)):
            url = f"/services/bookings{path}"
            file_id = await upload(client, input_line(1, url=url, body={"seats": 3}))
            batch = await submit(client, file_id, endpoint=url)
            record = stored(site.entry, batch.id)
            self.assertEqual((record.service, record.non_idempotent), ("bookings", once))
        url = "/services/none/x"
        file_id = await upload(client, input_line(1, url=url))
        refused = submit(client, file_id, endpoint=url)
        await self.assert_refused(refused, ResultCode.UNKNOWN_SERVICE)

    @with_job_site(entries=2)
    async def test_resends_through_two_entries_at_once_give_one_job(self, site: JobSite) -> None:
        file_id = await upload(site.entry.client(), input_file(50))
        found: set[str] = set()

        async def resend(entry: JobEntry) -> None:
            found.add((await submit(entry.client(), file_id, "night-1")).id)

        async with trio.open_nursery() as nursery:
            for _ in range(10):
                for entry in site.entries:
                    nursery.start_soon(resend, entry)
        self.assertEqual(len(found), 1)
        for kind in ("jobs", "open", "member-jobs"):
            self.assertEqual(len(keys(site.entry, kind)), 1)

    @with_job_site()
    async def test_identity_comes_from_the_key_or_else_from_the_content(
        self, site: JobSite
    ) -> None:
        client = site.entry.client()
        file_id = await upload(client, input_file(3))
        keyed = await submit(client, file_id, "key")
        for changes in ({"metadata": {"a": "b"}}, {"completion_window": "1h"}):
            refused = submit(client, file_id, "key", **changes)
            await self.assert_refused(refused, ResultCode.KEY_REUSED)
        other_file = await upload(client, input_file(4))
        refused = submit(client, other_file, "key")
        await self.assert_refused(refused, ResultCode.KEY_REUSED)
        same_content = await upload(client, input_file(3))
        self.assertEqual((await submit(client, same_content, "key")).id, keyed.id)
        plain = await submit(client, file_id)
        self.assertEqual((await submit(client, same_content)).id, plain.id)
        theirs = site.entry.client("vandenbroucke")
        their_file = await upload(theirs, input_file(3))
        ids = {keyed.id, plain.id, (await submit(client, file_id, metadata={"n": "2"})).id}
        ids |= {(await submit(theirs, their_file, "key")).id}
        self.assertEqual(len(ids), 4)

    @with_job_site()
    async def test_job_outlives_its_file(self, site: JobSite) -> None:
        client = site.entry.client()
        file_id = await upload(client, input_file(3))
        batch = await submit(client, file_id, "key")
        await client.files.delete(file_id)
        self.assertEqual((await submit(client, file_id, "key")).id, batch.id)
        refused = submit(client, file_id, "key", metadata={"a": "b"})
        await self.assert_refused(refused, ResultCode.KEY_REUSED)
        await self.assert_refused(submit(client, file_id), ResultCode.NOT_FOUND)


class PlatformFaultTest(_SiteTest):
    @with_job_site(entries=2)
    async def test_lost_answer_at_each_write_of_an_acceptance(self, site: JobSite) -> None:
        """Covers every write: file, record, member's list, index of open jobs."""
        first, second = site.entries
        for when in LostAnswer:
            for nth in range(1, 5):
                with self.subTest(when=when, nth=nth):
                    await self._lose_one(first, second, when, nth)

    async def _lose_one(
        self, first: JobEntry, second: JobEntry, when: LostAnswer, nth: int
    ) -> None:
        jobs_before = len(keys(first, "jobs"))
        key = f"{when}-{nth}"
        writes_before = first.kv.faults.writes_seen
        first.kv.faults.lose_answer(when, nth)
        file_id = await upload(first.client(), input_file(3))
        # A single lost answer is always resolved, so the caller does not see it.
        batch = await submit(first.client(), file_id, key)
        self.assertGreaterEqual(first.kv.faults.writes_seen - writes_before, nth)
        again = await submit(second.client(), file_id, key)
        first.kv.apply_late_writes()
        self.assertEqual(batch.id, again.id)
        self.assertEqual(len(keys(first, "jobs")), jobs_before + 1)
        for kind in ("open", "member-jobs"):
            self.assertTrue(any(name.endswith(again.id) for name in keys(first, kind)))
        self.assertEqual(stored(first, again.id).item_count, 3)
        self.assertEqual((await submit(second.client(), file_id, key)).id, again.id)

    @with_job_site()
    async def test_a_key_value_outage_is_reported_and_nothing_is_accepted(
        self, site: JobSite
    ) -> None:
        client = site.entry.client()
        file_id = await upload(client, GOOD)
        site.entry.kv.down = True
        await self.assert_refused(submit(client, file_id, "k"), ResultCode.KV_UNAVAILABLE)
        await self.assert_refused(upload(client, GOOD), ResultCode.KV_UNAVAILABLE)
        site.entry.kv.down = False
        self.assertEqual(keys(site.entry, "jobs"), [])
        self.assertEqual((await submit(client, file_id, "k")).status, "in_progress")

    @with_job_site()
    async def test_a_key_value_outage_after_the_record_leaves_the_outcome_unknown(
        self, site: JobSite
    ) -> None:
        client = site.entry.client()
        file_id = await upload(client, GOOD)
        put_if = site.entry.kv.put_if

        async def down_after_record(key: str, *arguments, **options):
            written = await put_if(key, *arguments, **options)
            site.entry.kv.down = "/jobs/" in key
            return written

        site.entry.kv.put_if = down_after_record
        refused = submit(client, file_id, "k")
        await self.assert_refused(refused, ResultCode.KV_UNKNOWN, "unknown")
        site.entry.kv.down = False
        site.entry.kv.put_if = put_if
        batch = await submit(client, file_id, "k")
        self.assertTrue(any(name.endswith(batch.id) for name in keys(site.entry, "open")))

    @with_job_site()
    async def test_input_survives_two_stores_lost_after_the_acknowledgement(
        self, site: JobSite
    ) -> None:
        client = site.entry.client()
        content = input_file(2500)
        batch = await submit(client, await upload(client, content))
        for vm_id in ("vm-1", "vm-3"):
            site.fleet.lose(vm_id)
            bodies = [
                (await site.fleet.client.get_segment(ref)).unwrap()
                for ref in stored(site.entry, batch.id).input
            ]
            self.assertEqual(b"".join(bodies), content)

    @with_job_site()
    async def test_copies_are_checked_when_a_job_is_accepted(self, site: JobSite) -> None:
        client = site.entry.client()
        file_id = await upload(client, input_file(3))
        for vm_id in ("vm-1", "vm-2"):
            site.fleet.lose(vm_id)
        refused = submit(client, file_id)
        await self.assert_refused(refused, ResultCode.STORES_UNAVAILABLE)
        self.assertEqual(keys(site.entry, "jobs"), [])
        await site.fleet.add("vm-4", "palermo")
        batch = await submit(client, file_id)
        for ref in stored(site.entry, batch.id).input:
            self.assertEqual(site.fleet.holders(ref.segment_hash), ["vm-3", "vm-4"])


class MemberTest(_SiteTest):
    @with_job_site()
    async def test_a_member_cannot_see_files_and_jobs_of_another(self, site: JobSite) -> None:
        ours, theirs = site.entry.client(), site.entry.client("vandenbroucke")
        file_id = await upload(ours, input_file(3))
        batch = await submit(ours, file_id)
        output = f"file-output-{batch.id.removeprefix('batch_')}"
        for call in (
            theirs.files.retrieve(file_id),
            theirs.files.content(file_id),
            theirs.files.delete(file_id),
            theirs.batches.retrieve(batch.id),
            theirs.batches.cancel(batch.id),
            theirs.files.content(output),
            theirs.files.retrieve(output),
            submit(theirs, file_id),
        ):
            await self.assert_refused(call, ResultCode.NOT_FOUND)
        self.assertEqual([item async for item in theirs.files.list()], [])
        self.assertEqual([item async for item in theirs.batches.list()], [])
        self.assertEqual(stored(site.entry, batch.id).state, JobState.RUNNING)


class CancelTest(_SiteTest):
    @with_job_site()
    async def test_cancel_is_recorded_without_an_owner_and_can_be_repeated(
        self, site: JobSite
    ) -> None:
        client = site.entry.client()
        batch = await submit(client, await upload(client, input_file(3)))
        for _ in range(2):
            self.assertEqual((await client.batches.cancel(batch.id)).status, "cancelling")
        self.assertEqual(stored(site.entry, batch.id).state, JobState.CANCELLING)

    @with_job_site()
    async def test_cancel_preserves_a_concurrent_commit_of_the_owner(self, site: JobSite) -> None:
        client = site.entry.client()
        batch = await submit(client, await upload(client, input_file(3)))
        group = CommittedGroup(ranges=[[0, 1]], succeeded=1)
        get = site.entry.kv.get

        async def commit_after_read(key: str, **options):
            found = await get(key, **options)
            site.entry.kv.get = get
            record = stored(site.entry, batch.id)
            replace(site.entry, apply_change(record, OwnerChange(groups=[group])))
            return found

        site.entry.kv.get = commit_after_read
        self.assertEqual((await client.batches.cancel(batch.id)).request_counts.completed, 1)
        record = stored(site.entry, batch.id)
        self.assertEqual((record.state, record.succeeded), (JobState.CANCELLING, 1))

    @with_job_site()
    async def test_lost_answers_and_outages_during_a_cancel_are_reported_correctly(
        self, site: JobSite
    ) -> None:
        client = site.entry.client()
        file_id = await upload(client, input_file(3))
        for when in LostAnswer:
            batch = await submit(client, file_id, str(when))
            site.entry.kv.faults.lose_answer(when)
            self.assertEqual((await client.batches.cancel(batch.id)).status, "cancelling")
            site.entry.kv.apply_late_writes()
            self.assertEqual(stored(site.entry, batch.id).state, JobState.CANCELLING)
        batch = await submit(client, file_id, "down")
        site.entry.kv.down = True
        refused = client.batches.cancel(batch.id)
        await self.assert_refused(refused, ResultCode.KV_UNAVAILABLE)
        self.assertEqual(stored(site.entry, batch.id).state, JobState.RUNNING)


class PushTest(_SiteTest):
    @with_job_site()
    async def test_runners_are_notified_of_new_and_cancelled_jobs(self, site: JobSite) -> None:
        received: list[JobPush] = []

        async def record_push(message: JobPush, _peer: ServerPeer) -> None:
            received.append(message)

        async with trio.open_nursery() as nursery:
            codec = site.fleet.codec
            address = await nursery.start(serve_channel, Address(HOST, 0), codec, record_push)
            site.fleet.add_runner("vm-2", address.port)
            client = site.entry.client()
            batch = await submit(client, await upload(client, input_file(3)))
            await client.batches.cancel(batch.id)
            await until(lambda: len(received) == 2)
            nursery.cancel_scope.cancel()
        self.assertEqual([message.job_id for message in received], [batch.id] * 2)
        # The order is not guaranteed: a runner reads the record at each of the messages.
        self.assertCountEqual([message.cancelled for message in received], [False, True])


class ResultTest(_SiteTest):
    async def _finish(self, site: JobSite, job_id: str) -> tuple[list[bytes], list[bytes]]:
        """Commit two outputs in a manifest, then one output and one error; return the lines."""
        stores = site.fleet.client
        outputs = [b'{"custom_id":"item-%d"}\n' % number for number in (0, 2, 1)]
        errors = [b'{"custom_id":"item-3"}\n']
        old = [await self._group(site, outputs[:1], 0), await self._group(site, outputs[1:2], 2)]
        manifest = (await stores.put_segment(msgspec.msgpack.encode(JobManifest(old)), 2)).unwrap()
        record = apply_change(stored(site.entry, job_id), OwnerChange(groups=old, folded=manifest))
        record = apply_change(record, OwnerChange(groups=[await self._group(site, outputs[2:], 1)]))
        replace(site.entry, record)
        ref = (await stores.put_segment(errors[0], 1)).unwrap()
        last = CommittedGroup(errors=[ref], ranges=[[3, 4]], failed=1)
        replace(
            site.entry,
            apply_change(record, OwnerChange(groups=[last], finished_at_s=1_800_000_100)),
        )
        return outputs, errors

    async def _group(self, site: JobSite, lines: list[bytes], number: int) -> CommittedGroup:
        ref = (await site.fleet.client.put_segment(b"".join(lines), 1)).unwrap()
        return CommittedGroup(outputs=[ref], ranges=[[number, number + 1]], succeeded=1)

    @with_job_site()
    async def test_results_are_the_committed_groups_in_order(self, site: JobSite) -> None:
        client = site.entry.client()
        batch = await submit(client, await upload(client, input_file(4)))
        self.assertEqual((batch.output_file_id, batch.error_file_id), (None, None))
        outputs, errors = await self._finish(site, batch.id)
        batch = await client.batches.retrieve(batch.id)
        self.assertEqual((batch.status, batch.completed_at), ("completed", 1_800_000_100))
        counts = batch.request_counts
        self.assertEqual((counts.total, counts.completed, counts.failed), (4, 3, 1))
        for file_id, lines in ((batch.output_file_id, outputs), (batch.error_file_id, errors)):
            self.assertEqual((await client.files.content(file_id)).content, b"".join(lines))
            file = await client.files.retrieve(file_id)
            self.assertEqual((file.bytes, file.purpose), (len(b"".join(lines)), "batch_output"))
            refused = client.files.delete(file_id)
            await self.assert_refused(refused, ResultCode.BAD_REQUEST)
        # A late cancellation changes nothing.
        self.assertEqual((await client.batches.cancel(batch.id)).status, "completed")
        # A resend does not add the job to the open jobs again.
        for key in keys(site.entry, "open"):
            site.entry.kv.state.delete_if(key, site.entry.kv.state.get(key).mod_revision)
        file_id = await upload(client, input_file(4))
        self.assertEqual((await submit(client, file_id)).status, "completed")
        self.assertEqual(keys(site.entry, "open"), [])

    @with_job_site()
    async def test_a_lost_segment_never_looks_like_the_end_of_the_file(self, site: JobSite) -> None:
        client = site.entry.client()
        batch = await submit(client, await upload(client, input_file(4)))
        await self._finish(site, batch.id)
        batch = await client.batches.retrieve(batch.id)
        last: SegmentRef = stored(site.entry, batch.id).groups[0].outputs[0]
        for node in site.fleet.nodes.values():
            node.segments.drop(last.segment_hash)
        with self.assertRaises(APIError):
            await client.files.content(batch.output_file_id)

    @with_job_site()
    async def test_jobs_are_listed_youngest_first_in_pages(self, site: JobSite) -> None:
        client = site.entry.client()
        file_id = await upload(client, GOOD)
        wanted = {(await submit(client, file_id, str(number))).id for number in range(5)}
        found = [item.id async for item in client.batches.list(limit=2)]
        self.assertEqual((len(found), set(found)), (5, wanted))
        refused = client.batches.list(limit=0)
        await self.assert_refused(refused, ResultCode.BAD_REQUEST)


if __name__ == "__main__":
    unittest.main()
