"""Configurations with values that are out of the range of their field."""

import json
import unittest
from collections.abc import Iterator

import trio
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from fescuedock.core.permits.queue import UpstreamQueue
from fescuedock.core.permits.terms import UpstreamTerms
from fescuedock.core.permits.waiting import MemberShares
from fescuedock.core.quotas import QuotaPolicy
from fescuedock.node.configuration import derived_configuration
from fescuedock.node.front import http_limits
from fescuedock.platform import records
from fescuedock.schema.settings import PermitSettings
from tests.builders.node import NodeFleet, config_document, running_fleet
from tests.builders.odd_values import check_usable, json_of, odd_values, replaced
from tests.builders.standins import run_async

TENANT = {"name": "clinic", "apiKeys": ["k"], "ratePerS": 5, "burst": 2, "priority": 1}
SPLIT = [{"service": "desk-llm", "weight": 1}, {"service": "other", "weight": 2}]


def full_document(version: int = 1) -> dict:
    """Return a configuration that has each field."""
    document = config_document(version, tenants=[TENANT])
    for route in document["routes"]:
        route |= {"split": SPLIT, "priority": 0, "public": True}
    return document


def paths(value: object, path: tuple[object, ...] = ()) -> Iterator[tuple[object, ...]]:
    """Yield the path of each value within a document."""
    if path:
        yield path
    if isinstance(value, dict):
        for name, part in value.items():
            yield from paths(part, (*path, name))
    elif isinstance(value, list):
        for number, part in enumerate(value):
            yield from paths(part, (*path, number))


# Each of these replaced a sound configuration; then nodes ended, or answered each call 500.
OUT_OF_RANGE: tuple[tuple[tuple[object, ...], object], ...] = (
    (("version",), 10**30),
    (("version",), -1),
    (("routes", 2, "priority"), 10**30),
    (("routes", 2, "priority"), -1),
    (("routes", 2, "targetLatencyMs"), 1e308),
    (("routes", 2, "gapTargetMs"), 1e308),
    (("routes", 2, "timeoutMs"), -1),
    (("routes", 3, "dueMs"), 1e308),
    (("routes", 3, "retentionS"), 1e308),
    (("routes", 2, "maxAttempts"), 10**30),
    (("routes", 2, "split"), [{"service": "desk-llm", "weight": 1e308}] * 2),
    (("routes", 2, "split"), [{"service": "desk-llm", "weight": -1}, {"service": "b"}]),
    (("services", 0, "engine", "slots"), 10**30),
    (("services", 0, "healthPath"), "/a b"),
    (("services", 0, "healthPath"), "/\r\nx: y"),
    (("limits", "maxHeaderBytes"), -1),
    (("limits", "idleTimeoutMs"), 1e308),
    (("tenants",), [TENANT | {"ratePerS": 1e308}]),
    (("tenants",), [TENANT | {"burst": -1}]),
    (("tenants",), [TENANT | {"name": "a\r\nb"}]),
    (("tenants",), [TENANT | {"name": ""}]),
)


class ForeignConfigurationTest(unittest.TestCase):
    """A later step could not encode or compute with a value that had been read.

    Nodes ended, or answered every call 500, and the sound configuration was replaced.
    """

    def test_values_out_of_range_make_it_invalid(self) -> None:
        self.assertTrue(records.read_route_table(json_of(full_document())).is_ok())
        for path, value in OUT_OF_RANGE:
            with self.subTest(path=path, value=str(value)[:50]):
                document = replaced(full_document(), path, value)
                self.assertTrue(records.read_route_table(json_of(document)).is_err())

    def test_one_that_is_nested_too_deeply_is_invalid(self) -> None:
        value = b'{"version":1,"more":' + b"[" * 100_000
        self.assertTrue(records.read_route_table(value).is_err())

    @given(st.sampled_from(list(paths(full_document()))), odd_values())
    def test_what_is_read_can_be_encoded_and_computed_with(
        self, path: tuple[object, ...], value: object
    ) -> None:
        result = records.read_route_table(json_of(replaced(full_document(), path, value)))
        if not isinstance(result, Ok):
            return
        table = result.ok_value
        check_usable(self, [table.version, table.routes, table.services, table.limits])
        check_usable(self, http_limits(table.limits))
        for customer in table.customers.by_name.values():
            check_usable(self, [customer, QuotaPolicy().share_terms(customer)])
        configuration = derived_configuration(table)
        check_usable(self, configuration)
        for name, service in table.services.items():
            objectives = configuration.services[name].objectives
            terms = UpstreamTerms(objectives, MemberShares({}), slots=service.slots, admitting=True)
            queue = UpstreamQueue("u", PermitSettings(), terms, 1000, 0.0, 0.0)
            check_usable(self, queue.load(1.0))


class ForeignConfigurationNodeTest(unittest.TestCase):
    def test_the_last_sound_configuration_stays_in_force(self) -> None:
        statuses: list[int] = []

        async def test(fleet: NodeFleet) -> None:
            front = fleet.nodes[0].front
            for number, (path, value) in enumerate(OUT_OF_RANGE):
                document = replaced(config_document(number + 2, tenants=[]), path, value)
                fleet.store.state.put("op/config", json.dumps(document).encode())
                await trio.sleep(0.1)
                statuses.append((await fleet.call(front, "GET", "/safe/1")).status)
            document = config_document(1000)
            document["routes"][2] |= {"prefix": "/new/"}
            fleet.configure(document)
            with trio.fail_after(5):
                await fleet.wait_status(front, "/new/1", 200)

        async def run() -> None:
            with trio.fail_after(40):
                async with running_fleet(nodes=1, upstreams=2) as fleet:
                    await test(fleet)

        run_async(run)
        self.assertEqual(statuses, [200] * len(OUT_OF_RANGE))

    def test_calls_are_served_under_the_least_and_greatest_values(self) -> None:
        extremes = (1e-320, 1e-3, 3e12, 0)
        statuses: list[int] = []

        async def test(fleet: NodeFleet) -> None:
            front = fleet.nodes[0].front
            for number, value in enumerate(extremes):
                document = config_document(number + 2)
                for route in document["routes"]:
                    route |= {"targetLatencyMs": value, "gapTargetMs": value, "timeoutMs": 4000}
                fleet.configure(document)
                await trio.sleep(0.2)
                for target in ("/safe/1", "/check/1"):
                    statuses.append((await fleet.call(front, "GET", target)).status)

        async def run() -> None:
            with trio.fail_after(40):
                async with running_fleet(nodes=1, upstreams=2) as fleet:
                    await test(fleet)

        run_async(run)
        self.assertEqual(statuses, [200] * 2 * len(extremes))


if __name__ == "__main__":
    unittest.main()
