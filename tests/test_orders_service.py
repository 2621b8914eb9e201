"""Order services in virtual time: resumption, pacing, and no calls without pending orders."""

import unittest

import msgspec
import trio
import trio.testing

from fescuedock.agent.order_service import SLOTS_PREFIX
from fescuedock.core.orders.fencing import OrderHolder, Phase
from fescuedock.core.orders.placement import (
    Placement,
    choose_slot,
    models_of,
    next_order,
    without_unlisted,
)
from fescuedock.core.orders.steps import ReadRecord, SendOrder, SendOutcome, Wait
from fescuedock.schema.config import Configuration, ModelSpec, UpstreamPolicy
from fescuedock.schema.orders import EngineState, LoadSlot, OrderKind, OrderRecord, PlannedOrder
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import OrderSettings
from tests.builders.kv import MemoryKv
from tests.builders.orders import (
    LoggedEngine,
    configuration,
    order_service,
    order_view,
    show_upstreams,
    upstream,
)


def run_mocked(test):
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


class OrderServiceTest(unittest.TestCase):
    def test_orders_resume_in_sequence_after_the_holders_death(self):
        for check, wait_s in (("fenced", 11), ("ignored", 131)):
            with self.subTest(check):
                run_mocked(lambda check=check, wait_s=wait_s: self._resume(check, wait_s))

    async def _resume(self, order_check, wait_s):
        kv, engine = MemoryKv(), LoggedEngine()
        config = configuration(order_check)
        first = order_service(kv, engine, order_view("vm-a", ["vm-a"], ("worker-1",), config))
        with trio.move_on_after(40):
            await first.run()
        # The holder died during its second order, after the first one was done.
        self.assertEqual([item.order for item in engine.started], ["load_model", "load_adapter"])
        died_s = trio.current_time()
        second = order_service(kv, engine, order_view("vm-b", ["vm-b"], ("worker-1",), config))
        started_before = len(engine.started)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(second.run)
            with trio.fail_after(600):
                await engine.wait_started(started_before + 1)
            self.assertAlmostEqual(trio.current_time() - died_s, wait_s, delta=1)
            await trio.sleep(60)
            nursery.cancel_scope.cancel()
        self.assertEqual(
            [item.order for item in engine.started],
            ["load_model", "load_adapter", "load_adapter"],
        )
        numbers = [item.fencing for item in engine.started]
        self.assertEqual(numbers, sorted(set(numbers)))

    def test_no_calls_are_made_without_pending_orders(self):
        run_mocked(self._silence)

    async def _silence(self):
        kv, engine = MemoryKv(), LoggedEngine()
        view = order_view("vm-a", ["vm-a"], ("worker-1", "worker-2"), configuration())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(order_service(kv, engine, view).run)
            await trio.sleep(300)
            self.assertEqual(len(engine.done), 4)
            calls = kv.faults.total_calls
            await trio.sleep(3600)
            self.assertEqual(kv.faults.total_calls, calls)
            view.replace_configuration(view.version + 1, 2, configuration(version="2"), 0.0)
            await trio.sleep(300)
            self.assertEqual(len(engine.done), 8)
            self.assertEqual({item.version for item in engine.done[4:]}, {"2"})
            nursery.cancel_scope.cancel()

    def test_an_engine_that_lost_its_weights_is_detected(self):
        run_mocked(self._lost_weights)

    async def _lost_weights(self):
        engine = LoggedEngine(order_s=1)
        view = order_view("vm-a", ["vm-a"], ("worker-1",), configuration("fenced"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(order_service(MemoryKv(), engine, view).run)
            await trio.sleep(30)
            engine.done.clear()
            await trio.sleep(30)
            self.assertEqual([item.order for item in engine.done], ["load_model", "load_adapter"])
            nursery.cancel_scope.cancel()

    def test_loads_of_one_model_stay_within_their_bound(self):
        run_mocked(self._paced)

    async def _paced(self):
        kv, engine = MemoryKv(), LoggedEngine()
        names = tuple(f"worker-{n}" for n in range(8))
        async with trio.open_nursery() as nursery:
            for vm_id in ("vm-a", "vm-b"):
                view = order_view(vm_id, ["vm-a", "vm-b"], names, configuration())
                nursery.start_soon(order_service(kv, engine, view).run)
            with trio.fail_after(3600):
                await engine.wait_started(2 * len(names))
            nursery.cancel_scope.cancel()
        self.assertEqual(engine.max_concurrent, 2)
        self.assertEqual(len(engine.started), 2 * len(names))

    def test_an_upstream_is_loading_until_its_models_are_loaded(self):
        run_mocked(self._held_back)

    async def _held_back(self):
        engine = LoggedEngine()
        view = order_view("vm-a", ["vm-a"], ("worker-1",), configuration())
        service = order_service(MemoryKv(), engine, view)
        changes = []
        service.on_change = lambda: changes.append((trio.current_time(), len(engine.done)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(service.run)
            await trio.sleep(10)
            self.assertTrue(service.is_loading("worker-1"))
            await trio.sleep(100)
            self.assertFalse(service.is_loading("worker-1"))
            view.replace_configuration(view.version + 1, 2, configuration(version="2"), 0.0)
            await trio.sleep(10)
            # The engine still serves version 1.
            self.assertFalse(service.is_loading("worker-1"))
            nursery.cancel_scope.cancel()
        self.assertEqual([done for _, done in changes], [0, 2])

    def test_an_upstream_that_begins_to_leave_gets_no_further_order(self):
        run_mocked(self._leaving)

    async def _leaving(self):
        engine = LoggedEngine(order_s=30)
        view = order_view("vm-a", ["vm-a"], ("worker-1",), configuration("fenced"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(order_service(MemoryKv(), engine, view).run)
            await engine.wait_started(1)
            show_upstreams(view, msgspec.structs.replace(upstream(), leaving=True))
            await trio.sleep(300)
            nursery.cancel_scope.cancel()
        self.assertEqual([item.order for item in engine.started], ["load_model"])

    def test_an_order_is_not_sent_if_its_upstream_left_while_it_waited_for_a_slot(self):
        for name, left in (("gone", []), ("started elsewhere", [upstream("worker-2")])):
            with self.subTest(name):
                run_mocked(lambda left=left: self._gone(left))

    async def _gone(self, left):
        """Guards against sending to an address that another upstream may have by then."""
        kv, engine = MemoryKv(), LoggedEngine(order_s=1)
        taken = msgspec.msgpack.encode(LoadSlot("other", "other", "other"))
        slots = [f"/fescuedock/{SLOTS_PREFIX}{number}" for number in range(3)]
        revisions = [(await kv.put_if(slot, taken, 0)).unwrap() for slot in slots]
        view = order_view("vm-a", ["vm-a"], ("worker-1",), configuration("fenced"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(order_service(kv, engine, view).run)
            await trio.sleep(30)
            self.assertEqual(engine.started, [])
            show_upstreams(view, *left)
            for slot, revision in zip(slots, revisions, strict=True):
                (await kv.delete_if(slot, revision)).unwrap()
            await trio.sleep(300)
            nursery.cancel_scope.cancel()
        self.assertNotIn("worker-1", engine.ordered_upstreams)

    def test_a_failed_order_is_sent_again_and_a_rejected_one_after_a_pause(self):
        run_mocked(self._refusals)

    async def _refusals(self):
        engine = LoggedEngine(order_s=1)
        engine.faults = [ResultCode.UPSTREAM_ERROR, None, ResultCode.UPSTREAM_REJECTED]
        view = order_view("vm-a", ["vm-a"], ("worker-1",), configuration("fenced"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(order_service(MemoryKv(), engine, view).run)
            await trio.sleep(30)
            started = [item.order for item in engine.started]
            self.assertEqual(started, ["load_model", "load_model", "load_adapter"])
            await trio.sleep(60)
            self.assertEqual([item.order for item in engine.done], ["load_model", "load_adapter"])
            nursery.cancel_scope.cancel()

    def test_orders_stop_during_an_outage_and_continue_after_it(self):
        run_mocked(self._outage)

    async def _outage(self):
        kv, engine = MemoryKv(), LoggedEngine(order_s=60)
        view = order_view("vm-a", ["vm-a"], ("worker-1",), configuration())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(order_service(kv, engine, view).run)
            await trio.sleep(5)
            kv.down = True
            await trio.sleep(600)
            self.assertEqual((len(engine.started), len(engine.done)), (1, 0))
            kv.down = False
            await trio.sleep(900)
            nursery.cancel_scope.cancel()
        done = [item.order for item in engine.done]
        self.assertEqual(done, ["load_model", "load_adapter"])


class HolderTest(unittest.TestCase):
    def test_an_observer_waits_for_a_full_lease_without_a_renewal(self):
        holder = OrderHolder("vm-b/1", True, OrderSettings())
        record = OrderRecord(fencing=4, holder="vm-a/1", lease_ms=10000, beat=9)
        order = PlannedOrder(OrderKind.SET_ROLE, role="decode")
        holder.on_read(record, 5, now_ms=1000)
        self.assertEqual(holder.phase, Phase.OBSERVING)
        self.assertEqual(holder.step(order, 2000), Wait(12000))
        holder.phase = Phase.UNKNOWN
        holder.on_read(record, 6, now_ms=9000)
        self.assertEqual(holder.step(order, 12000), Wait(20000))
        self.assertEqual(holder.step(order, 20000).record.fencing, 5)

    def holding(self, engine_checks_fencing):
        """Return a holder whose first order was written to the record at 500 ms."""
        order = PlannedOrder(OrderKind.SET_ROLE, role="decode")
        holder = OrderHolder("vm-a/1", engine_checks_fencing, OrderSettings())
        holder.on_read(None, 0, now_ms=0)
        for revision, sent_ms in ((1, 100), (2, 500)):
            write = holder.step(order, sent_ms)
            holder.begin_write(write, sent_ms)
            holder.on_write(revision, True, sent_ms + 4000)
        return holder, order

    def test_the_lease_is_counted_from_before_the_write_and_ends_a_margin_early(self):
        for engine_checks_fencing in (True, False):
            holder, order = self.holding(engine_checks_fencing)
            # Acquired with fencing number 1, which the order raises to 2.
            self.assertEqual(holder.step(order, 3000), SendOrder(order, 2, 500 + 10000 - 1000))

    def test_a_repeat_of_an_order_with_unknown_end_has_a_new_number(self):
        holder, order = self.holding(engine_checks_fencing=True)
        holder.on_order_sent(SendOutcome.UNKNOWN, 2000)
        write = holder.step(order, 3001)
        self.assertEqual((write.record.fencing, write.record.current), (3, [order]))

    def test_a_conflicting_write_ends_the_hold(self):
        holder, order = self.holding(engine_checks_fencing=True)
        holder.begin_write(holder.renewal(4000), 4000)
        holder.on_write(None, True, 4005)
        self.assertFalse(holder.is_holding)
        self.assertIsInstance(holder.step(order, 4006), ReadRecord)

    def test_a_late_write_is_not_mistaken_for_the_one_sent_after_it(self):
        holder, _ = self.holding(engine_checks_fencing=True)
        writes = []
        for sent_ms in (4000, 8000):
            writes.append(holder.renewal(sent_ms))
            holder.begin_write(writes[-1], sent_ms)
            holder.on_write(None, False, sent_ms + 1000)
            if len(writes) == 1:
                holder.on_read(OrderRecord(0, "", 0, 0), 2, sent_ms + 1100)
        self.assertIsInstance(holder.step(None, 9100), ReadRecord)
        # The first write took effect late: its lease began long ago, so the holder must stop.
        holder.on_read(writes[0].record, 3, 9200)
        self.assertEqual(holder.phase, Phase.OBSERVING)

    def test_another_order_waits_until_one_with_unknown_outcome_has_ended(self):
        holder, order = self.holding(engine_checks_fencing=False)
        holder.on_order_sent(SendOutcome.UNKNOWN, 2000)
        write = holder.step(order, 3001)
        holder.begin_write(write, 3001)
        holder.on_write(3, True, 3002)
        self.assertIsInstance(holder.step(order, 3003), SendOrder)
        holder.on_order_sent(SendOutcome.DONE, 3100)
        other = PlannedOrder(OrderKind.SET_ROLE, role="both")
        for now_ms, sequence in ((121000, 1), (122100, 2)):
            write = holder.step(other, now_ms)
            holder.begin_write(write, now_ms)
            holder.on_write(now_ms, True, now_ms)
            self.assertEqual(holder.step(other, now_ms + 1), self.expected(holder, now_ms))
            self.assertEqual(write.record.sequence, sequence)

    def expected(self, holder, now_ms):
        if holder.current is None:
            return Wait(122000)
        return SendOrder(holder.current, holder.fencing, now_ms + 9000)

    def test_fencing_numbers_after_a_restore_are_raised_faster_each_time(self):
        holder, order = self.holding(engine_checks_fencing=True)
        record = OrderRecord(fencing=2, holder="vm-a/1", lease_ms=10000, beat=2, current=[order])
        numbers = []
        for attempt in range(3):
            now_ms = 20000.0 * (attempt + 1)
            holder.on_order_sent(SendOutcome.SUPERSEDED, now_ms)
            holder.on_read(record, 10 + attempt, now_ms)
            write = holder.step(order, now_ms + 11000)
            numbers.append(write.record.fencing - record.fencing)
            holder.begin_write(write, now_ms + 11000)
            holder.on_write(20 + attempt, True, now_ms + 11000)
        self.assertEqual(numbers, [2, 4, 8])


class PlacementTest(unittest.TestCase):
    def test_orders_free_memory_first_and_end_at_the_target(self):
        state = EngineState({"old": "1", "chat": "1"}, {"letters": "chat@1", "gone": "old@1"})
        wanted = Placement({"chat": ModelSpec("2", ["letters"])}, "decode")
        kinds = [OrderKind.UNLOAD_ADAPTER, OrderKind.UNLOAD_MODEL, OrderKind.SET_ROLE]
        self.assertEqual(next_order(state, wanted).kind, kinds[0])
        state = EngineState({"chat": "2"}, {"letters": "chat@2"}, "decode")
        self.assertIsNone(next_order(state, wanted))
        self.assertIsNone(next_order(state, Placement()))

    def test_an_engine_that_lost_its_weights_loads_them_again(self):
        state = EngineState({"chat": "2"}, {"letters": "chat@2"}, "decode")
        wanted = Placement({"chat": ModelSpec("2", ["letters"])}, "decode")
        order = next_order(without_unlisted(state, set()), wanted)
        self.assertEqual(order.kind, OrderKind.SET_ROLE)

    def test_models_listed_in_the_policy_come_first(self):
        config: Configuration = configuration()
        config.services["desk"].models["other"] = ModelSpec("1")
        self.assertEqual(models_of(config, upstream()), ["chat", "other"])
        config.upstreams["worker-1"] = UpstreamPolicy(models=["other"])
        self.assertEqual(models_of(config, upstream()), ["other", "chat"])

    def test_the_last_slot_is_reserved_for_online_demand(self):
        taken = {0: LoadSlot("vm-a", "worker-1", "chat")}
        self.assertEqual(choose_slot(taken, 2, 2, "other", True), 1)
        self.assertIsNone(choose_slot(taken, 2, 2, "other", False))
        self.assertEqual(choose_slot(taken, 3, 2, "other", False), 1)
        self.assertIsNone(choose_slot(taken, 3, 1, "chat", True))
