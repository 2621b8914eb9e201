"""The platform adapter: translation between the platform's formats and the product's types."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fescuedock.address import Address
from fescuedock.core.forwarding.route_table import RouteKind
from fescuedock.faults import Fault
from fescuedock.platform import calls, directory, job_calls, records
from fescuedock.schema.result_codes import ResultCode
from fescuedock.schema.stored_jobs import StoredResult
from tests.builders.node import config_document, worker_entry


class RecordsTest(unittest.TestCase):
    def test_a_configuration_becomes_routes_services_and_limits(self) -> None:
        table = records.read_route_table(json.dumps(config_document(7)).encode()).unwrap()
        self.assertEqual(table.version, 7)
        stream = table.find("desk.example", "/check/1")
        self.assertEqual(
            (stream.kind, stream.max_attempts, stream.resumable, stream.services),
            (RouteKind.STREAM, 2, True, (("desk-llm", 1.0),)),
        )
        batch = table.find("desk.example", "/letters/1")
        self.assertEqual((batch.due_ms, batch.retention_ms), (18_000.0, 60_000.0))
        self.assertEqual(table.services["desk-llm"].slots, 4)
        self.assertEqual(table.limits.max_body_bytes, 100_000)

    def test_clients_leave_a_stream_after_the_longest_of_three_times(self) -> None:
        def patience_ms(**changes: object) -> float:
            document = config_document(7)
            document["routes"][0] |= changes
            table = records.read_route_table(json.dumps(document).encode()).unwrap()
            return table.find("desk.example", "/check/1").first_event_patience_ms

        self.assertEqual(patience_ms(targetLatencyMs=300, gapTargetMs=100), 2000.0)
        self.assertEqual(patience_ms(targetLatencyMs=1000, gapTargetMs=100), 4000.0)
        self.assertEqual(patience_ms(targetLatencyMs=300, gapTargetMs=500), 4000.0)
        self.assertEqual(patience_ms(kind="safe"), 0.0)

    def test_a_split_names_services_with_weights_and_may_name_one_twice(self) -> None:
        document = config_document()
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 5}]
        document["routes"][0]["split"] = [*split, {"service": "b", "weight": 5}]
        table = records.read_route_table(json.dumps(document).encode()).unwrap()
        route = table.find("desk.example", "/check/1")
        self.assertEqual(dict(route.services), {"a": 90.0, "b": 10.0})

    def test_unknown_route_kind_is_not_idempotent(self) -> None:
        document = config_document()
        document["routes"][0]["kind"] = "keyed"
        table = records.read_route_table(json.dumps(document).encode()).unwrap()
        self.assertFalse(table.find("desk.example", "/check/1").idempotent)

    def test_unreadable_configuration_is_reported_as_an_error(self) -> None:
        for value in (b"", b"[]", b'{"version":"x"}', b'{"routes":[]}'):
            with self.subTest(value=value):
                self.assertIn("cannot be read", records.read_route_table(value).unwrap_err())

    def test_an_upstream_s_entry_becomes_a_record(self) -> None:
        entry = worker_entry("10.0.0.9:8080", service="s", zone="z", slots=8)
        for state, leaving in (("ready", False), ("draining", True)):
            value = json.dumps(entry | {"state": state, "sequence": 4}).encode()
            record = records.read_upstream("servers/i-1", value, "caldas").unwrap()
            self.assertEqual(
                (record.upstream_id, record.host, record.port, record.slots, record.leaving),
                ("i-1", "10.0.0.9", 8080, 8, leaving),
            )
        bad = records.read_upstream("servers/i-1", b'{"service":"s","address":"x"}', "caldas")
        self.assertIn("servers/i-1", bad.unwrap_err())

    def test_an_upstream_that_starts_again_under_its_key_is_another_one(self) -> None:
        first, second, without_start = (
            records.read_upstream(
                "servers/i-1", json.dumps(worker_entry("10.0.0.9:8080", **fields)).encode(), "r"
            ).unwrap()
            for fields in ({"born": 1778729778571}, {"born": 1778729790002}, {})
        )
        self.assertEqual(len({first.upstream_id, second.upstream_id, without_start.upstream_id}), 3)
        for record in (first, second, without_start):
            self.assertEqual(records.registered_id(record.upstream_id), "i-1")
            headers = dict(
                calls.upstream_headers(
                    [], left_ms=1.0, upstream_id=record.upstream_id, last_event=-1
                )
            )
            self.assertEqual(headers["x-expect-instance"], "i-1")

    def test_malformed_entry_names_no_upstream(self) -> None:
        entry = worker_entry("10.0.0.9:8080")
        bad = [
            {name: value for name, value in entry.items() if name != missing_name}
            for missing_name in entry
        ]
        bad += [
            entry | changed
            for changed in (
                {"state": "resting"},
                {"state": None},
                {"slots": "7"},
                {"slots": 7.5},
                {"sequence": []},
                {"address": 8080},
                {"address": "10.0.0.9"},
                {"address": ":80"},
                {"address": "10.0.0.9:0"},
                {"address": "10.0.0.9:-1"},
                {"address": "10.0.0.9:70000"},
                {"address": "some.host:80"},
                {"born": "1778729778571"},
                {"born": 1778729778571.5},
                {"born": True},
                {"zone": 3},
            )
        ]
        values = [json.dumps(item).encode() for item in bad]
        values += [b"", b"\xff\xfe", b"null", b"[]", b"[" * 100_000]
        for value in values:
            with self.subTest(value=value[:200]):
                reason = records.read_upstream("servers/i-1", value, "r").unwrap_err()
                self.assertIn("servers/i-1", reason)

    @given(
        st.binary()
        | st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: st.lists(inner)
            | st.dictionaries(st.sampled_from(sorted(worker_entry(""))) | st.text(), inner),
        ).map(lambda item: json.dumps(item).encode())
    )
    def test_no_entry_raises_an_exception(self, value: bytes) -> None:
        result = records.read_upstream("servers/i-1", value, "r")
        self.assertTrue(result.is_ok() or "servers/i-1" in result.unwrap_err())
        self.assertIsInstance(records.is_heartbeat(value, value + b" "), bool)

    def test_only_heartbeat_fields_may_differ_in_a_heartbeat(self) -> None:
        def value(**changes: object) -> bytes:
            return json.dumps(worker_entry("10.0.0.9:8080", **changes)).encode()

        self.assertTrue(records.is_heartbeat(value(), value(sequence=2, coldRemainingMs=5)))
        for changes in ({"state": "draining"}, {"slots": 6}, {"born": 9}, {"version": "v2"}):
            with self.subTest(changes=changes):
                self.assertFalse(records.is_heartbeat(value(), value(sequence=2, **changes)))
        self.assertFalse(records.is_heartbeat(value(), b"x"))

    def test_only_retirement_keys_name_a_node(self) -> None:
        self.assertEqual(records.retired_node("op/retire/store-1"), "store-1")
        self.assertIsNone(records.retired_node("op/config"))
        self.assertEqual(records.retirement_status_key("store-1"), "status/retire/store-1")


class CallsTest(unittest.TestCase):
    headers = [
        ("host", "desk.example"),
        ("x-request-id", "r-1"),
        ("x-deadline-ms", "5000"),
        ("x-token-count", "1460,80"),
        ("x-prompt-prefix", "5c:800,91:410,e4:250"),
        ("last-event-id", "12"),
        ("content-length", "3"),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("x-model", "m"),
        ("x-model", "n"),
    ]

    def test_a_client_s_headers_are_decoded_once(self) -> None:
        head = calls.call_head(self.headers)
        self.assertEqual((head.request_id, head.patience_ms, head.last_event), ("r-1", 5000.0, 12))
        self.assertEqual((head.prompt_tokens, head.max_tokens), (1460, 80))
        self.assertEqual(
            (head.shared_parts, head.shared_tokens), ((("5c", 800), ("91", 410)), 1210)
        )

    @given(st.text(max_size=20), st.text(max_size=20))
    def test_malformed_headers_are_never_an_error(self, number: str, parts: str) -> None:
        head = calls.call_head(
            [("x-deadline-ms", number), ("x-token-count", number), ("x-prompt-prefix", parts)]
        )
        self.assertGreaterEqual(head.prompt_tokens, 0)

    def test_an_attempt_carries_remaining_time_and_upstream_id(self) -> None:
        sent = calls.upstream_headers(
            self.headers, left_ms=1234.9, upstream_id="i-1", last_event=14
        )
        self.assertEqual([value for name, value in sent if name == "x-model"], ["m", "n"])
        fields = dict(sent)
        self.assertEqual(
            [fields[name] for name in ("x-deadline-ms", "x-expect-instance", "last-event-id")],
            ["1234", "i-1", "14"],
        )
        for name in ("connection", "x-hop", "content-length", "host"):
            self.assertNotIn(name, fields)

    def test_answer_head_reports_whether_the_request_ran(self) -> None:
        self.assertTrue(calls.answer_head(503, [("x-not-executed", "1")]).not_run)
        self.assertTrue(calls.answer_head(421, []).not_run)
        self.assertFalse(calls.answer_head(503, []).not_run)

    def test_a_refusal_carries_the_retry_delay_in_seconds(self) -> None:
        fault = Fault(ResultCode.NO_CAPACITY, "full", 250)
        self.assertEqual(calls.refusal_headers(fault), [("retry-after", "0.250")])


class JobCallsTest(unittest.TestCase):
    def test_job_calls_are_recognized_by_their_paths(self) -> None:
        read = job_calls.job_call("GET", "/api/lots/j", {"after": "3"}, {"x-wait-ms": "1000"})
        self.assertEqual((read.verb, read.job_id, read.after, read.wait_ms), ("read", "j", 3, 1000))
        self.assertEqual(job_calls.job_call("DELETE", "/api/lots/j", {}, {}).verb, "end")
        body = job_calls.job_call("GET", "/api/items/j", {"id": "x"}, {})
        self.assertEqual((body.verb, body.item_id), ("body", "x"))
        self.assertIsNone(job_calls.job_call("POST", "/letters/1", {}, {}))

    def test_results_carry_their_states_and_the_next_position(self) -> None:
        results = [StoredResult("a", True, "x\ny"), StoredResult("b", False, "")]
        body = json.loads(job_calls.encode_results(5, 2, results))
        self.assertEqual((body["total"], body["nextToken"]), (5, 4))
        self.assertEqual([item["state"] for item in body["results"]], ["completed", "dead_letter"])

    def test_a_body_that_is_no_base64_is_refused(self) -> None:
        item = {"id": "a", "path": "/p", "headers": {}, "body": "%%%", "tokens": 1}
        result = job_calls.read_submission(json.dumps({"items": [item]}).encode())
        self.assertIn("cannot be read", result.unwrap_err())


class DirectoryTest(unittest.TestCase):
    def test_an_answer_carries_addresses_and_their_ttl(self) -> None:
        body = json.loads(directory.encode_fronts([Address("10.0.0.1", 80)], 1))
        self.assertEqual(body, {"addresses": ["10.0.0.1:80"], "ttlS": 1})


if __name__ == "__main__":
    unittest.main()
