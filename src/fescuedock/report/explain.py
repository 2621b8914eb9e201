"""Finds the events of one request or job in the log lines of any number of processes.

Does no I/O: it gets lines and returns events in the order of time.
"""

import json
from collections.abc import Iterable, Iterator, Mapping

import msgspec

__all__ = ["LogLine", "lines_about", "parse_line"]

# Fields that describe the origin of a line and not its event.
_ORIGIN_FIELDS = frozenset(
    ("timestamp", "task_uuid", "task_level", "message_type", "vm_id", "program", "action_status")
)
# Fields that identify the subject of a line.
_ID_FIELDS = ("request_id", "job_id", "item_id")
# Event of a call that resumes a stream; its field ``resumes`` is the ID of the stream's first call.
_RESUMED = "stream_taken_up"


class LogLine(msgspec.Struct, frozen=True):
    """One event: Unix time in seconds, VM, event name and its other fields."""

    at_s: float
    vm_id: str
    event: str
    fields: Mapping[str, object]

    def text(self, start_s: float) -> str:
        """Return a readable line with the time since ``start_s``."""
        fields_text = " ".join(f"{name}={_formatted(value)}" for name, value in self.fields.items())
        return (
            f"{1000 * (self.at_s - start_s):+10.1f} ms  {self.vm_id}  {self.event}  {fields_text}"
        )


def parse_line(text: str) -> LogLine | None:
    """Return the event of a log line, which may have a prefix before its JSON.

    None for a line without an event.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or "message_type" not in fields:
        return None
    return LogLine(
        at_s=float(fields.get("timestamp", 0.0)),
        vm_id=str(fields.get("vm_id", "?")),
        event=str(fields["message_type"]),
        fields={name: value for name, value in fields.items() if name not in _ORIGIN_FIELDS},
    )


def lines_about(identity: str, texts: Iterable[str], around_ms: float = 0.0) -> list[LogLine]:
    """Return the events of the request, job or item ``identity``, in the order of time.

    For a stream that its client resumed, the events of all its requests are included.  With
    ``around_ms``, also the changes of the same nodes' known state, which are the events that name
    no request, job or item, from ``around_ms`` before the first event to the last one.
    """
    events = [event for text in texts if (event := parse_line(text)) is not None]
    requests = _requests_of_stream(identity, events)
    named = [event for event in events if not requests.isdisjoint(_identities(event))]
    if not named:
        return []
    chosen = list(named)
    if around_ms:
        first_s = min(event.at_s for event in named) - around_ms / 1000
        last_s = max(event.at_s for event in named)
        nodes = {event.vm_id for event in named}
        chosen += [
            event
            for event in events
            if event.vm_id in nodes
            and first_s <= event.at_s <= last_s
            and not set(_identities(event))
        ]
    return sorted(chosen, key=lambda event: event.at_s)


def _requests_of_stream(identity: str, events: Iterable[LogLine]) -> set[str]:
    """Return the IDs of all requests of the stream that a request belongs to."""
    first_request_by_id = {
        str(event.fields["request_id"]): str(event.fields["resumes"])
        for event in events
        if event.event == _RESUMED and event.fields.get("resumes")
    }
    first = first_request_by_id.get(identity, identity)
    return {
        identity,
        first,
        *(name for name, first_id in first_request_by_id.items() if first_id == first),
    }


def _identities(event: LogLine) -> Iterator[str]:
    """Yield the IDs of the requests, jobs and items that an event names."""
    for name in _ID_FIELDS:
        if name in event.fields:
            identity = str(event.fields[name])
            yield identity
            # A job is logged as CUSTOMER:ID; the customer itself knows only the ID.
            yield from [identity.rpartition(":")[2]] if ":" in identity else ()


def _formatted(value: object) -> str:
    return value if isinstance(value, str) and value and " " not in value else json.dumps(value)
