"""Events of one request from logs: found, in order, with the state changes of its nodes."""

import json
import unittest

from fescuedock.report.explain import lines_about, parse_line


def line(at_s: float, event: str, vm_id: str = "n-1", **fields: object) -> str:
    return json.dumps({"timestamp": at_s, "message_type": event, "vm_id": vm_id, **fields})


class ExplainTest(unittest.TestCase):
    lines = [
        line(12.0, "call_given_up", request_id="r-1", code="UPSTREAM_LOST"),
        "  11.5 n-1 " + line(11.5, "call_attempt", request_id="r-1", end="lost"),
        line(11.6, "call_attempt", request_id="r-2", end="whole"),
        line(11.0, "config_applied", version=7),
        line(11.0, "config_applied", vm_id="n-2", version=7),
        line(5.0, "config_applied", version=6),
        "Traceback (most recent call last):",
        '{"half": ',
    ]

    def test_the_lines_of_one_request_come_in_the_order_of_time(self) -> None:
        found = lines_about("r-1", self.lines)
        self.assertEqual([item.event for item in found], ["call_attempt", "call_given_up"])

    def test_state_events_of_its_node_shortly_before_are_added_on_request(self) -> None:
        found = lines_about("r-1", self.lines, around_ms=1000.0)
        self.assertEqual(
            [item.event for item in found], ["config_applied", "call_attempt", "call_given_up"]
        )

    def test_a_stream_includes_the_versions_of_all_requests_of_its_client(self) -> None:
        lines = [
            line(1.0, "call_attempt", request_id="r-1", software_version="v1", end="lost"),
            line(2.0, "stream_taken_up", "n-2", request_id="r-2", resumes="r-1", outcome="no"),
            line(3.0, "stream_taken_up", "n-3", request_id="r-3", resumes="r-1"),
            line(3.1, "call_attempt", "n-3", request_id="r-3", software_version="v1", end="whole"),
            line(4.0, "stream_taken_up", "n-3", request_id="r-9", resumes="r-8"),
            line(4.1, "stream_taken_up", "n-3", request_id="r-10", resumes=""),
        ]
        for identity in ("r-1", "r-2", "r-3"):
            found = lines_about(identity, lines)
            self.assertEqual([item.at_s for item in found], [1.0, 2.0, 3.0, 3.1])
        self.assertEqual([item.at_s for item in lines_about("r-10", lines)], [4.1])

    def test_an_unknown_identity_finds_nothing(self) -> None:
        self.assertEqual(lines_about("r-9", self.lines, around_ms=1000.0), [])

    def test_a_line_shows_the_time_since_the_first(self) -> None:
        text = parse_line(self.lines[0]).text(11.5)
        self.assertIn("+500.0 ms  n-1  call_given_up  request_id=r-1 code=UPSTREAM_LOST", text)


if __name__ == "__main__":
    unittest.main()
