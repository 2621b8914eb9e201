"""Each place that starts units of work keeps the exception of one from ending the others."""

import itertools
import random
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, TypeVar
from unittest.mock import patch

import trio
from result import Ok

from fescuedock.agent.crash_service import CrashService
from fescuedock.agent.permit_client import PermitClient
from fescuedock.agent.permit_service import PermitService
from fescuedock.core.stored_jobs.ownership import Duty
from fescuedock.node import front, job_runner
from fescuedock.node.front import Front
from fescuedock.node.item_isolation import IsolatedRuns
from fescuedock.node.job_ends import JobEnds
from fescuedock.node.job_runner import JobRunner
from fescuedock.node.replicas import Replicas
from fescuedock.node.stream_origins import StreamOrigins
from fescuedock.spool.service import SpoolService
from tests.builders.net import LOOPBACK
from tests.builders.standins import run_async
from tests.test_contained_errors import LoggedErrorsTestCase

T = TypeVar("T")


def bare(kind: type[T], **fields: object) -> T:
    """Return an object of ``kind`` that has nothing but ``fields``, which also replace methods."""
    properties = {name for name in fields if isinstance(getattr(kind, name, None), property)}
    replaced = {name: fields.pop(name) for name in properties}
    made = object.__new__(type(kind.__name__, (kind,), replaced))
    for name, value in fields.items():
        setattr(made, name, value)
    return made


async def forever(*_args: object) -> None:
    await trio.sleep_forever()


class FailsOnce:
    """Work whose first call raises; ``again`` is set by the second one."""

    __slots__ = ("again", "calls")

    def __init__(self) -> None:
        self.calls = 0
        self.again = trio.Event()

    async def __call__(self, *_args: object) -> bool:
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("broken work")
        self.again.set()
        return True


class ContainedStartsTest(LoggedErrorsTestCase):
    def check(
        self,
        work: str,
        test: Callable[[FailsOnce, trio.Nursery], Awaitable[Any]],
        broken: FailsOnce | None = None,
    ) -> None:
        """Check that the work is called again after it has raised, and that this was logged."""
        broken = broken or FailsOnce()

        async def run() -> None:
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    await test(broken, nursery)
                    await broken.again.wait()
                    nursery.cancel_scope.cancel()

        run_async(run)
        self.check_logged(work, "broken work")

    def test_check_of_an_upstream(self) -> None:
        async def test(broken: FailsOnce, nursery: trio.Nursery) -> None:
            service = bare(
                CrashService,
                _broken=dict.fromkeys(("u-1", "u-2")),
                _check_upstream=broken,
                _send_forever=forever,
                _write_forever=forever,
                _ask_neighbour=forever,
            )
            nursery.start_soon(service.run)
            await broken.again.wait()
            self.assertEqual(len(service._broken), 1)

        self.check("upstream", test)

    def test_poll_of_an_upstream(self) -> None:
        async def test(broken: FailsOnce, nursery: trio.Nursery) -> None:
            service = bare(
                PermitService,
                _settings=SimpleNamespace(permits=SimpleNamespace(load_poll_ms=1)),
                _rng=random.Random(1),
                _owner=SimpleNamespace(owned=lambda: ["u-1"]),
                _current_owner=lambda: SimpleNamespace(owns_any=True),
                _view=SimpleNamespace(upstreams={"u-1": object()}),
                _poll=broken,
            )
            nursery.start_soon(service._poll_forever)

        self.check("upstream", test)

    def test_renewal_of_permits(self) -> None:
        async def test(broken: FailsOnce, nursery: trio.Nursery) -> None:
            due = SimpleNamespace(renew_at_ms=0.0)

            class Registry:
                def __len__(self) -> int:
                    return 1

                def lapsed(self, _now_ms: float) -> list[str]:
                    return []

            client = bare(
                PermitClient,
                _valid_ms=3.0,
                _registry=Registry(),
                _held_by_owner=lambda: {LOOPBACK: [due]},
                _revoke=lambda _lapsed: None,
                _renew=broken,
            )
            nursery.start_soon(client._renew_forever)

        self.check("message", test)

    def test_request_for_an_isolated_run(self) -> None:
        async def test(broken: FailsOnce, nursery: trio.Nursery) -> None:
            runs = bare(
                IsolatedRuns,
                _view=SimpleNamespace(
                    quarantine=SimpleNamespace(is_empty=False),
                    upstreams={"u-1": SimpleNamespace(service="desk")},
                ),
                _requested=set(),
                _waiting_since_ms={},
                _next_item=lambda _service: object(),
                _request_once=broken,
            )
            nursery.start_soon(runs.run)

        self.check("item", test)

    def test_end_whose_client_left(self) -> None:
        async def test(broken: FailsOnce, nursery: trio.Nursery) -> None:
            async def started() -> None:
                pass

            send, receive = trio.open_memory_channel(2)
            server = bare(
                Front,
                _until_started=started,
                _abandoned_ends=(send, receive),
                _caller_of_job=lambda _request: Ok(None),
                jobs=SimpleNamespace(ends=SimpleNamespace(end=broken)),
            )
            for name in ("j-1", "j-2"):
                send.send_nowait((object(), SimpleNamespace(job_id=name)))
            nursery.start_soon(server.run)

        with patch.object(front, "scoped_job_id", lambda _caller, job_id: job_id):
            self.check("job", test)

    def test_retry_of_an_end(self) -> None:
        async def test(_broken: FailsOnce, nursery: trio.Nursery) -> None:
            unused = [None] * 5
            ends = JobEnds(*unused, {"j-1", "j-2"}, None, 0, _nursery=nursery)
            for name in ("j-1", "j-2"):
                ends._start_retrying(name)

        broken_once = FailsOnce()
        with patch.object(JobEnds, "_retry_until_settled", broken_once):
            self.check("job", test, broken_once)

    def test_claim_of_a_job(self) -> None:
        async def test(broken: FailsOnce, nursery: trio.Nursery) -> None:
            nobody_gone = SimpleNamespace(is_gone=lambda *_args: False)
            runner = bare(
                JobRunner,
                _jobs={},
                _missing_owners=nobody_gone,
                _idle_owners=nobody_gone,
                _owner=None,
                _runs_jobs=True,
                _claiming=set(),
                _nursery=nursery,
                _claim=broken,
            )
            for name in ("j-1", "j-2"):
                record = SimpleNamespace(job_id=name, owner_id="")
                runner._claim_if_due(SimpleNamespace(record=record), set(), set())

        with (
            patch.object(job_runner, "is_open", lambda _record: True),
            patch.object(job_runner, "duty_of", lambda *_args, **_fields: Duty.CLAIM),
        ):
            self.check("job", test)

    def test_transfer_of_a_job(self) -> None:
        async def test(broken: FailsOnce, nursery: trio.Nursery) -> None:
            jobs = {
                name: SimpleNamespace(stopped=False, run=SimpleNamespace(job_id=name))
                for name in ("j-1", "j-2")
            }
            runner = bare(
                JobRunner, _jobs=jobs, _claiming=set(), _nursery=nursery, _transfer=broken
            )
            runner._transfer_all()

        self.check("job", test)

    def test_send_of_origins(self) -> None:
        async def test(broken: FailsOnce, _nursery: trio.Nursery) -> None:
            origins = bare(
                StreamOrigins,
                _origin_nodes=lambda _key, live_only: ["n-1", "n-2"],
                _origin_spools=lambda _key: [],
                _policy=SimpleNamespace(notified_nodes=2, notified_disks=0),
                _send=broken,
            )
            await origins._send_all([SimpleNamespace(stream_key="s-1")])

        self.check("message", test)

    def test_query_of_a_neighbour(self) -> None:
        async def test(broken: FailsOnce, nursery: trio.Nursery) -> None:
            replicas = bare(
                Replicas,
                _neighbours=lambda: [LOOPBACK, LOOPBACK],
                _time_to_stale_ms=lambda: 0.0,
                _rng=random.Random(1),
                _query=broken,
            )
            nursery.start_soon(replicas._query_neighbours)

        self.check("message", test)

    def test_comparison_of_clocks(self) -> None:
        async def test(broken: FailsOnce, nursery: trio.Nursery) -> None:
            needed = trio.Event()
            needed.set()
            replicas = bare(
                Replicas,
                _clock_needed=needed,
                _unknown_clocks={"n-1/1", "n-2/1"},
                _broadcaster=SimpleNamespace(address_of=lambda _name: LOOPBACK),
                _exchange=broken,
            )
            nursery.start_soon(replicas._compare_clocks)

        self.check("message", test)

    def test_store_of_a_spooled_job(self) -> None:
        async def test(broken: FailsOnce, nursery: trio.Nursery) -> None:
            job = SimpleNamespace(record=SimpleNamespace(job_id="j-1"))

            class Files:
                def __len__(self) -> int:
                    return int(not broken.again.is_set())

                def __iter__(self) -> itertools.chain:
                    return itertools.chain([job])

            nursery.start_soon(bare(SpoolService, _files=Files(), _store_job=broken)._store_forever)

        self.check("job", test)


if __name__ == "__main__":
    unittest.main()
