"""The stand-in key-value service with the etcd client: semantics, faults, watches and counts."""

import unittest

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from fescuedock.address import Address
from fescuedock.kv import KvEntry, KvEvent, KvStore, KvWatchGap
from fescuedock.net.http_server import Request, Responder
from fescuedock.schema.result_codes import ResultCode
from fescuedock.standin.kv_faults import CallKind, LostAnswer
from fescuedock.standin.kv_state import CompactedError, KvState
from tests.builders.kv import MemoryKv
from tests.builders.net import served
from tests.builders.standins import etcd_client, open_http, run_async, running_kv

MEGABYTE = 1024 * 1024
UNUSED_ADDRESS = Address("127.0.0.1", 1)

keys = st.sampled_from(["a", "a/1", "a/2", "b"])
steps = st.lists(
    st.tuples(
        st.sampled_from(["put", "delete", "get", "range"]),
        keys,
        # Whether the expected revision is the current one.
        st.booleans(),
        st.sampled_from([None, None, *LostAnswer]),
    ),
    max_size=20,
)


class DictOracle:
    """Applies the same operations to a dict and compares it with the service.

    A write is applied if the service confirms it.  If its result is unknown, the value is read back
    and must be either the old or the new one.
    """

    def __init__(self, test: unittest.TestCase, kv: KvStore) -> None:
        self.test = test
        self.kv = kv
        self.values: dict[str, bytes] = {}
        self.revisions: dict[str, int] = {}

    async def step(self, kind: str, key: str, expected_is_current: bool, number: int) -> None:
        expected = self.revisions.get(key, 0) if expected_is_current else 999_999
        match kind:
            case "put":
                value = b"%d" % number
                result = await self.kv.put_if(key, value, expected)
                await self.settle_write(key, value, expected_is_current, result)
            case "delete":
                result = await self.kv.delete_if(key, expected)
                await self.settle_write(key, None, expected_is_current, result)
            case "get":
                await self.check(key)
            case "range":
                page = (await self.kv.get_range("a")).unwrap()
                seen = {entry.key: entry.value for entry in page.entries}
                expected_values = {
                    k: v for k, v in sorted(self.values.items()) if k.startswith("a")
                }
                self.test.assertEqual(list(seen.items()), list(expected_values.items()))

    async def settle_write(self, key: str, value: bytes | None, allowed: bool, result) -> None:
        """Apply a confirmed write; read back the value if the result is unknown."""
        if isinstance(result, Ok):
            self.test.assertTrue(allowed)
            self.set(key, value, result.ok_value)
            return
        code = result.err_value.code
        if code is ResultCode.KV_CONFLICT:
            self.test.assertFalse(allowed)
            return
        self.test.assertEqual(code, ResultCode.KV_UNKNOWN)
        found = (await self.kv.get(key)).unwrap()
        stored = found.value if found else None
        self.test.assertIn(
            stored, (value, self.values.get(key)) if allowed else (self.values.get(key),)
        )
        self.set(key, stored, found.mod_revision if found else 0)

    def set(self, key: str, value: bytes | None, revision: int | None) -> None:
        if value is None:
            self.values.pop(key, None)
            self.revisions.pop(key, None)
            return
        self.values[key] = value
        self.revisions[key] = revision

    async def check(self, key: str) -> None:
        found = (await self.kv.get(key)).unwrap()
        self.test.assertEqual(found.value if found else None, self.values.get(key))


class EtcdKvTest(unittest.TestCase):
    @settings(max_examples=60)
    @given(steps)
    def test_agrees_with_a_dict_whichever_responses_are_lost(self, drawn):
        async def run() -> None:
            async with running_kv() as (service, kv):
                # An hour, so that a write read back as absent takes no effect during the test.
                service.faults.late_effect_ms = 3_600_000
                oracle = DictOracle(self, kv)
                for number, (kind, key, expected_is_current, lost) in enumerate(drawn):
                    if lost and kind in ("put", "delete"):
                        service.faults.lose_answer(lost)
                    await oracle.step(kind, key, expected_is_current, number)
                for key in ("a", "a/1", "a/2", "b"):
                    await oracle.check(key)

        run_async(run)

    @settings(max_examples=100)
    @given(steps)
    def test_memory_store_agrees_with_a_dict(self, drawn):
        async def run() -> None:
            kv = MemoryKv()
            oracle = DictOracle(self, kv)
            for number, (kind, key, expected_is_current, lost) in enumerate(drawn):
                if lost and kind in ("put", "delete"):
                    kv.faults.lose_answer(lost)
                await oracle.step(kind, key, expected_is_current, number)

        run_async(run, trio.testing.MockClock(autojump_threshold=0))

    def test_pages_of_a_range_follow_each_other(self):
        async def run() -> None:
            async with running_kv() as (_, kv):
                names = [f"p/{number:02}" for number in range(7)]
                for name in [*names, "q"]:
                    await kv.put_if(name, b"v", 0)
                seen, after, more = [], "", True
                while more:
                    page = (await kv.get_range("p/", start_after=after, limit=3)).unwrap()
                    seen += [entry.key for entry in page.entries]
                    after, more = seen[-1], page.more
                self.assertEqual(seen, names)
                bare = (await kv.get_range("p/", keys_only=True)).unwrap().entries
                self.assertEqual({entry.value for entry in bare}, {b""})

        run_async(run)

    def test_values_up_to_a_megabyte(self):
        async def run() -> None:
            async with running_kv() as (_, kv):
                self.assertEqual(await kv.put_if("k", b"\xff" * MEGABYTE, 0), Ok(2))
                self.assertEqual((await kv.get("k")).unwrap().value, b"\xff" * MEGABYTE)
                refused = await kv.put_if("k", b"\xff" * (MEGABYTE + 1), 2)
                self.assertEqual(refused.err_value.code, ResultCode.KV_VALUE_TOO_LARGE)

        run_async(run)

    def test_unavailable_service_means_nothing_was_written(self):
        async def run() -> None:
            async with running_kv() as (service, kv):
                service.take_down()
                await trio.testing.wait_all_tasks_blocked(0.01)
                refused = await kv.put_if("k", b"1", 0)
                self.assertEqual(refused.err_value.code, ResultCode.KV_UNAVAILABLE)
                self.assertEqual((await kv.get("k")).err_value.code, ResultCode.KV_UNAVAILABLE)
                service.bring_up()
                await trio.testing.wait_all_tasks_blocked(0.01)
                self.assertEqual(await kv.put_if("k", b"2", 0), Ok(2))

        run_async(run)

    def test_result_of_a_write_without_response_is_unknown(self):
        async def run() -> None:
            async with running_kv(timeout_ms=50) as (service, kv):
                service.faults.silent = True
                unsure = await kv.put_if("k", b"1", 0)
                self.assertEqual(unsure.err_value.code, ResultCode.KV_UNKNOWN)
                self.assertEqual((await kv.get("k")).err_value.code, ResultCode.KV_UNAVAILABLE)

        run_async(run)

    def test_client_switches_to_the_next_address_and_stays_there(self):
        async def run() -> None:
            async with running_kv() as (service, _), open_http() as http:
                kv = etcd_client(http, UNUSED_ADDRESS, service.address)
                self.assertEqual(await kv.put_if("k", b"1", 0), Ok(2))
                self.assertEqual((await kv.get("k")).unwrap(), KvEntry("k", b"1", 2))
                async with kv.watch("k", 2) as events:
                    self.assertEqual((await events.receive()).revision, 2)

        run_async(run)

    def test_keys_are_deleted_with_their_lease(self):
        async def run() -> None:
            async with running_kv() as (service, kv):
                lease_id = (await kv.grant_lease(5)).unwrap()
                await kv.put_if("k", b"1", 0, lease_id=lease_id)
                self.assertEqual(await kv.keep_lease(lease_id), Ok(5))
                service.lapse_lease(lease_id)
                self.assertEqual(await kv.get("k"), Ok(None))
                self.assertEqual(await kv.keep_lease(lease_id), Ok(0))
                self.assertEqual(await kv.revoke_lease(lease_id), Ok(None))
                refused = await kv.put_if("k", b"2", 0, lease_id=lease_id)
                self.assertEqual(refused.err_value.code, ResultCode.KV_CONFLICT)

        run_async(run)

    def test_calls_are_counted_and_a_watch_counts_once(self):
        async def run() -> None:
            async with running_kv() as (service, kv):
                async with kv.watch("", 1) as events:
                    for number in range(5):
                        await kv.put_if(f"k{number}", b"", 0)
                        await events.receive()
                self.assertEqual(service.faults.calls, {CallKind.WATCH: 1, CallKind.PUT: 5})

        run_async(run)


# Responses by path.  Protobuf's JSON encodes 64-bit integers as strings and omits default values
# such as 0.
PROTOBUF_JSON = {
    "/v3/kv/range": b'{"header":{"revision":"7"},"kvs":[{"key":"aw==","mod_revision":"6"}]}',
    "/v3/kv/txn": b'{"header":{"revision":"7"}}',
    "/v3/lease/grant": b'{"header":{},"ID":"9007199254740993","TTL":"5"}',
    "/v3/lease/keepalive": b'{"result":{"header":{},"ID":"9007199254740993"}}',
    "/v3/watch": b'{"result":{"created":true}}\n'
    b'{"result":{"events":[{"kv":{"key":"aw==","value":"dg==","mod_revision":"8"}},'
    b'{"type":"DELETE","kv":{"key":"aw==","mod_revision":"9"}}]}}\n',
}


async def answer_in_protobuf_json(request: Request, responder: Responder) -> None:
    await request.read(MEGABYTE)
    await responder.send(200, PROTOBUF_JSON[request.path])


class ProtobufJsonTest(unittest.TestCase):
    """Responses in the gateway's own encoding, which differs from the stand-in's plainer JSON."""

    def test_numbers_may_be_strings_and_zeros_may_be_omitted(self):
        async def run() -> None:
            async with served(answer_in_protobuf_json) as (_, address), open_http() as http:
                kv = etcd_client(http, address)
                self.assertEqual(await kv.get("k"), Ok(KvEntry("k", b"", 6)))
                page = (await kv.get_range("k")).unwrap()
                self.assertEqual((page.revision, page.more), (7, False))
                refused = await kv.put_if("k", b"v", 1)
                self.assertEqual(refused.err_value.code, ResultCode.KV_CONFLICT)
                self.assertEqual(await kv.grant_lease(5), Ok(9007199254740993))
                self.assertEqual(await kv.keep_lease(9007199254740993), Ok(0))
                async with kv.watch("k", 8) as events:
                    received = [event async for event in events]
            put, deleted = KvEvent("k", 8, KvEntry("k", b"v", 8)), KvEvent("k", 9, None)
            self.assertEqual(received, [put, deleted])

        run_async(run)


class WatchTest(unittest.TestCase):
    def test_delivers_past_and_future_events(self):
        async def run() -> None:
            async with running_kv() as (_, kv):
                await kv.put_if("w/1", b"old", 0)
                async with kv.watch("w/", 2) as events:
                    await kv.put_if("x", b"not watched", 0)
                    await kv.delete_if("w/1", 2)
                    first, second = await events.receive(), await events.receive()
                self.assertEqual(first, KvEvent("w/1", 2, KvEntry("w/1", b"old", 2)))
                self.assertEqual(second, KvEvent("w/1", 4, None))

        run_async(run)

    def test_revision_0_starts_when_the_block_is_entered(self):
        async def run() -> None:
            async with running_kv() as (_, kv):
                await kv.put_if("w", b"1", 0)
                async with kv.watch("w", 0) as events:
                    await kv.put_if("w", b"2", 2)
                    self.assertEqual((await events.receive()).revision, 3)

        run_async(run)

    def test_compacted_revision_yields_a_gap_and_ends_the_channel(self):
        async def run() -> None:
            async with running_kv() as (service, kv):
                for number in range(4):
                    await kv.put_if(f"w/{number}", b"", 0)
                service.state.compact(4)
                async with kv.watch("w/", 2) as events:
                    seen = [event async for event in events]
                self.assertEqual(seen, [KvWatchGap(4)])

        run_async(run)

    def test_a_lost_connection_ends_the_channel(self):
        async def run() -> None:
            async with running_kv() as (service, kv):
                async with kv.watch("w", 0) as events:
                    # Progress reports that arrive meanwhile are not events.
                    await trio.sleep(0.12)
                    service.cut_watches()
                    self.assertEqual([event async for event in events], [])
                self.assertEqual(service.state.listeners, [])

        run_async(run)

    def test_an_unreachable_service_ends_the_channel_at_once(self):
        async def run() -> None:
            async with (
                open_http() as http,
                etcd_client(http, UNUSED_ADDRESS).watch("w", 0) as events,
            ):
                self.assertEqual([event async for event in events], [])

        run_async(run)

    def test_unresponsive_service_ends_the_channel_after_a_timeout(self):
        async def run() -> None:
            async with running_kv(timeout_ms=1000) as (service, kv):
                service.faults.silent = True
                async with kv.watch("w", 0) as events:
                    self.assertEqual([event async for event in events], [])

        run_async(run, trio.testing.MockClock(rate=20))

    def test_accepted_watch_that_never_starts_ends_after_a_timeout(self):
        async def never_begin(request: Request, responder: Responder) -> None:
            async with responder.stream(200, []):
                await trio.sleep_forever()

        async def run() -> None:
            async with (
                served(never_begin) as (_, address),
                open_http() as http,
                etcd_client(http, address).watch("w", 0) as events,
            ):
                self.assertEqual([event async for event in events], [])

        run_async(run, trio.testing.MockClock(rate=20))

    def test_exceptions_in_the_block_propagate_unchanged(self):
        async def run() -> None:
            async with running_kv() as (_, kv):
                with self.assertRaises(LookupError):
                    async with kv.watch("w", 0):
                        raise LookupError
                # The client remains usable.
                self.assertIsInstance(await kv.get("w"), Ok)

        run_async(run)


class KvStateTest(unittest.TestCase):
    def test_lease_expires_after_its_ttl(self):
        state = KvState()
        lease_id = state.grant(10, now_s=0.0)
        state.put("k", b"1", lease_id)
        self.assertEqual(state.renew(lease_id, now_s=9.0), 10)
        state.expire(now_s=18.9)
        self.assertIsNotNone(state.get("k"))
        state.expire(now_s=19.0)
        self.assertIsNone(state.get("k"))

    def test_key_moved_to_another_lease_survives_the_old_lease(self):
        state = KvState()
        old, new = state.grant(10, 0.0), state.grant(10, 0.0)
        state.put("k", b"1", old)
        state.put("k", b"2", new)
        state.revoke(old)
        self.assertEqual(state.get("k").value, b"2")

    def test_compaction_does_not_hide_unchanged_keys(self):
        state = KvState()
        state.put("old", b"1")
        state.put("other", b"2")
        state.compact(state.revision)
        state.put("old", b"3")
        self.assertEqual(state.get("old", state.revision - 1).value, b"1")
        self.assertEqual(state.get("other", state.revision - 1).value, b"2")

    def test_the_history_is_bounded_in_bytes(self):
        state = KvState()
        for number in range(100):
            state.put("k", b"%d" % number * MEGABYTE)
        with self.assertRaises(CompactedError):
            state.get("k", 2)
        self.assertEqual(state.get("k", state.revision - 1).value[:2], b"98")

    def test_old_revisions_are_readable_until_compacted(self):
        state = KvState()
        for value in (b"1", b"2", b"3"):
            state.put("k", value)
        self.assertEqual(state.get("k", 2).value, b"1")
        state.compact(3)
        self.assertEqual(state.get("k", 3).value, b"2")
        with self.assertRaises(CompactedError):
            state.get("k", 2)
