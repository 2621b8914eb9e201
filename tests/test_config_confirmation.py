"""Confirmation state reported by an agent while the key-value service is unavailable."""

import unittest
from random import Random

import msgspec
import trio
import trio.testing
from result import Err

from fescuedock.agent.config_service import ConfigService
from fescuedock.faults import Fault
from fescuedock.kv import KvStore
from fescuedock.schema.config import SubmitPatch
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.settings import AgentSettings, CutOff, PlatformSettings, VmSettings
from fescuedock.schema.view import VmRecord, VmState
from fescuedock.settings import Settings
from tests.builders.config import member_patch, vm_record
from tests.builders.kv import MemoryKv


class Fleet:
    """A fixed view of four VMs, the last ``gone`` of which are gone."""

    def __init__(self, gone: int) -> None:
        records = [vm_record(f"vm-{n}") for n in range(4)]
        self.records = [
            msgspec.structs.replace(vm, state=VmState.GONE) if n >= 4 - gone else vm
            for n, vm in enumerate(records)
        ]

    def vms(self) -> list[VmRecord]:
        return self.records


async def no_peer(vm: VmRecord, _message: msgspec.Struct, _timeout_ms: float) -> Err[Fault]:
    return Err(Fault(ResultCode.PEER_UNREACHABLE, vm.vm_id))


def config_service(kv: KvStore, fleet: Fleet, cut_off: CutOff) -> ConfigService:
    settings = Settings(
        vm=VmSettings("vm-0", "127.0.0.1", "caldas", "sala-chipre"),
        platform=PlatformSettings("127.0.0.1:1", "127.0.0.1:1"),
        agent=AgentSettings(port=0, config_cut_off=cut_off),
    )
    return ConfigService(settings, kv, fleet, no_peer, Random(1), lambda: 0)


class ConfigConfirmationTest(unittest.TestCase):
    def test_an_outage_is_reported_and_served_according_to_the_setting(self):
        for gone, cut_off, serves in (
            (0, CutOff.MAJORITY, True),
            (2, CutOff.MAJORITY, False),
            (2, CutOff.SERVE, True),
            (0, CutOff.REFUSE, False),
        ):
            with self.subTest(gone=gone, cut_off=cut_off):
                clock = trio.testing.MockClock(autojump_threshold=0)
                trio.run(self._outage, gone, cut_off, serves, clock=clock)

    async def _outage(self, gone, cut_off, serves):
        kv = MemoryKv()
        service = config_service(kv, Fleet(gone), cut_off)
        self.assertFalse(service.serving)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(service.run)
            submit = service.handlers()[SubmitPatch]
            reply = await submit(SubmitPatch(member_patch(0, "first")), None)
            self.assertEqual((reply.code, reply.version), (ResultCode.OK, 1))
            await trio.sleep(60)
            self.assertEqual((service.unconfirmed, service.serving), (False, True))
            kv.down = True
            await trio.sleep(60)
            self.assertEqual((service.unconfirmed, service.serving), (True, serves))
            self.assertGreater(service.confirmed_age_ms, 55000)
            reply = await submit(SubmitPatch(member_patch(1, "second")), None)
            self.assertEqual((reply.code, reply.version), (ResultCode.KV_UNAVAILABLE, 1))
            kv.down = False
            await trio.sleep(5)
            self.assertEqual((service.unconfirmed, service.serving), (False, True))
            nursery.cancel_scope.cancel()

    def test_a_vm_that_starts_in_an_outage_accepts_no_work(self):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._start_in_outage, clock=clock)

    async def _start_in_outage(self):
        kv = MemoryKv()
        kv.down = True
        service = config_service(kv, Fleet(0), CutOff.SERVE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(service.run)
            await trio.sleep(60)
            self.assertEqual((service.unconfirmed, service.serving), (True, False))
            nursery.cancel_scope.cancel()
