"""The contract that both clients of a key-value service fulfil, tested over HTTP."""

import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import trio
from result import Err

from fescuedock.kv import KvStore, KvTransaction
from fescuedock.platform.standin.metadata_store import MetadataStoreService
from fescuedock.schema.result_codes import ResultCode
from fescuedock.standin.kv_faults import LostAnswer
from fescuedock.standin.kv_service import KvService
from tests.builders.metadata_store import open_store, running_store
from tests.builders.standins import run_async, running_kv

Service = KvService | MetadataStoreService
Test = Callable[[KvStore, Service], Awaitable[None]]


@asynccontextmanager
async def etcd() -> AsyncIterator[tuple[KvStore, Service]]:
    async with running_kv() as (service, client):
        yield client, service


@asynccontextmanager
async def metadata_store() -> AsyncIterator[tuple[KvStore, Service]]:
    async with running_store() as service, open_store(service) as store:
        yield store, service


DIALECTS = {"etcd": etcd, "metadata_store": metadata_store}


class KvContractTest(unittest.TestCase):
    def check(self, test: Test) -> None:
        for name, open_dialect in DIALECTS.items():
            with self.subTest(dialect=name):

                async def run(open_dialect=open_dialect) -> None:
                    with trio.fail_after(20):
                        async with open_dialect() as (kv, service):
                            await test(kv, service)

                run_async(run)

    def test_a_key_is_written_only_at_the_expected_revision(self) -> None:
        async def test(kv: KvStore, _service: Service) -> None:
            revision = (await kv.put_if("a/1", b"one", 0)).unwrap()
            self.assertEqual((await kv.get("a/1")).unwrap().value, b"one")
            again = await kv.put_if("a/1", b"two", 0)
            self.assertIs(again.err_value.code, ResultCode.KV_CONFLICT)
            second = (await kv.put_if("a/1", b"two", revision)).unwrap()
            self.assertEqual((await kv.get("a/1")).unwrap().mod_revision, second)

        self.check(test)

    def test_a_missing_key_reads_as_none(self) -> None:
        async def test(kv: KvStore, _service: Service) -> None:
            self.assertIsNone((await kv.get("a/none")).unwrap())

        self.check(test)

    def test_a_range_is_read_in_pages_and_in_order(self) -> None:
        async def test(kv: KvStore, _service: Service) -> None:
            for number in (2, 0, 1):
                (await kv.put_if(f"a/{number}", b"%d" % number, 0)).unwrap()
            (await kv.put_if("b/0", b"", 0)).unwrap()
            page = (await kv.get_range("a/")).unwrap()
            self.assertEqual([entry.value for entry in page.entries], [b"0", b"1", b"2"])
            rest = (await kv.get_range("a/", start_after="a/0")).unwrap()
            self.assertEqual([entry.key for entry in rest.entries], ["a/1", "a/2"])

        self.check(test)

    def test_a_key_is_deleted_only_at_the_expected_revision(self) -> None:
        async def test(kv: KvStore, _service: Service) -> None:
            revision = (await kv.put_if("a/1", b"one", 0)).unwrap()
            wrong = await kv.delete_if("a/1", revision + 1)
            self.assertIs(wrong.err_value.code, ResultCode.KV_CONFLICT)
            (await kv.delete_if("a/1", revision)).unwrap()
            self.assertIsNone((await kv.get("a/1")).unwrap())

        self.check(test)

    def test_the_end_of_a_lease_deletes_its_keys_and_is_reported(self) -> None:
        async def test(kv: KvStore, _service: Service) -> None:
            lease_id = (await kv.grant_lease(30)).unwrap()
            (await kv.put_if("a/1", b"one", 0, lease_id=lease_id)).unwrap()
            self.assertGreater((await kv.keep_lease(lease_id)).unwrap(), 0)
            (await kv.revoke_lease(lease_id)).unwrap()
            self.assertIsNone((await kv.get("a/1")).unwrap())
            self.assertEqual((await kv.keep_lease(lease_id)).unwrap(), 0)
            (await kv.revoke_lease(lease_id)).unwrap()

        self.check(test)

    def test_a_refusal_means_that_nothing_was_done(self) -> None:
        async def test(kv: KvStore, service: Service) -> None:
            service.take_down()
            self.assertIs(
                (await kv.put_if("a/1", b"one", 0)).err_value.code, ResultCode.KV_UNAVAILABLE
            )
            service.bring_up()
            await trio.sleep(0.1)
            self.assertIsNone((await kv.get("a/1")).unwrap())

        self.check(test)

    def test_a_write_whose_answer_is_lost_is_unknown_and_may_have_taken_effect(self) -> None:
        async def test(kv: KvStore, service: Service) -> None:
            service.faults.lose_answer(LostAnswer.AFTER_EFFECT)
            lost = await kv.put_if("a/1", b"one", 0)
            self.assertIs(lost.err_value.code, ResultCode.KV_UNKNOWN)
            self.assertEqual((await kv.get("a/1")).unwrap().value, b"one")

        self.check(test)

    def test_a_value_over_the_limit_is_refused(self) -> None:
        async def test(kv: KvStore, _service: Service) -> None:
            result = await kv.put_if("a/1", bytes(1024 * 1024 + 1), 0)
            self.assertIs(result.err_value.code, ResultCode.KV_VALUE_TOO_LARGE)

        self.check(test)

    def test_a_transaction_is_atomic(self) -> None:
        async def test(kv: KvStore, _service: Service) -> None:
            first = KvTransaction({"a/1": 0}, writes={"a/1": b"one", "a/2": b"two"})
            revision = (await kv.transact(first)).unwrap()
            found = (await kv.get_range("a/")).unwrap().entries
            self.assertEqual([entry.mod_revision for entry in found], [revision, revision])
            refused = await kv.transact(KvTransaction({"a/1": 0}, writes={"a/3": b"three"}))
            self.assertIs(refused.err_value.code, ResultCode.KV_CONFLICT)
            self.assertIsNone((await kv.get("a/3")).unwrap())
            swap = KvTransaction({"a/1": revision}, writes={"a/3": b"3"}, removes=["a/2"])
            (await kv.transact(swap)).unwrap()
            keys = [entry.key for entry in (await kv.get_range("a/")).unwrap().entries]
            self.assertEqual(keys, ["a/1", "a/3"])

        self.check(test)


class ChangeLogTest(unittest.TestCase):
    """The call for changes, which only the metadata store has."""

    def run_with_store(self, test) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                async with running_store() as service, open_store(service) as store:
                    await test(service, store)

        run_async(run)

    def test_changes_are_returned_at_once_and_from_the_last_revision_read(self) -> None:
        async def test(_service, store) -> None:
            first = (await store.put_if("a/1", b"one", 0)).unwrap()
            changes = (await store.changes("a/", first - 1, 1000)).unwrap()
            self.assertEqual([event.key for event in changes.events], ["a/1"])
            (await store.put_if("b/1", b"", 0)).unwrap()
            (await store.delete_if("a/1", first)).unwrap()
            changes = (await store.changes("a/", changes.revision, 1000)).unwrap()
            self.assertEqual([(e.key, e.entry) for e in changes.events], [("a/1", None)])

        self.run_with_store(test)

    def test_a_quiet_watch_ends_without_changes(self) -> None:
        async def test(service, store) -> None:
            changes = (await store.changes("a/", service.state.revision, 50)).unwrap()
            self.assertEqual((changes.events, changes.revision), ((), service.state.revision))

        self.run_with_store(test)

    def test_compacted_history_is_reported(self) -> None:
        async def test(service, store) -> None:
            for _ in range(5):
                service.state.put("a/1", b"")
            service.state.compact(4)
            result = await store.changes("a/", 1, 50)
            self.assertIs(result.err_value.code, ResultCode.KV_COMPACTED)

        self.run_with_store(test)

    def test_a_watch_that_is_cut_returns_an_error(self) -> None:
        async def test(service, store) -> None:
            results = []

            async def watch() -> None:
                results.append(await store.changes("a/", service.state.revision, 5000))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await trio.sleep(0.1)
                service.cut_watches()
            self.assertIsInstance(results[0], Err)

        self.run_with_store(test)

    def test_a_call_that_the_store_rejects_is_unavailable(self) -> None:
        async def test(service, store) -> None:
            for status in (429, 503):
                service.refuse_status = status
                result = await store.put_if("a/1", b"", 0)
                self.assertIs(result.err_value.code, ResultCode.KV_UNAVAILABLE)

        self.run_with_store(test)

    def test_calls_of_a_silent_store_time_out(self) -> None:
        async def test(service, store) -> None:
            service.faults.silent = True
            write = await store.put_if("a/1", b"", 0)
            read = await store.get("a/1")
            self.assertIs(write.err_value.code, ResultCode.KV_UNKNOWN)
            self.assertIs(read.err_value.code, ResultCode.KV_UNAVAILABLE)

        self.run_with_store(test)


if __name__ == "__main__":
    unittest.main()
