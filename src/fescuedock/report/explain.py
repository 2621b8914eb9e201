"""The life of one request or job, from the log lines of any number of processes.

Pure: takes lines, gives what they say in order.
"""

import json
from collections.abc import Iterable, Iterator, Mapping

import msgspec

__all__ = ["LogLine", "lines_about", "parse_line"]

# Fields that say where a line comes from, not what happened.
_ORIGIN_FIELDS = frozenset(
    ("timestamp", "task_uuid", "task_level", "message_type", "vm_id", "program", "action_status")
)
# Fields by which lines are found.
_ID_FIELDS = ("request_id", "job_id", "item_id")
# Of a call by which a client goes on with a stream; ``resumes`` is the call that began it.
_RESUMED = "stream_taken_up"


class LogLine(msgspec.Struct, frozen=True):
    """One event: Unix time in seconds, where, what, and its fields."""

    at_s: float
    vm_id: str
    event: str
    fields: Mapping[str, object]

    def text(self, began_s: float) -> str:
        """Return the line for reading, with the time since ``began_s``."""
        shown = " ".join(f"{name}={_formatted(value)}" for name, value in self.fields.items())
        return f"{1000 * (self.at_s - began_s):+10.1f} ms  {self.vm_id}  {self.event}  {shown}"


def parse_line(text: str) -> LogLine | None:
    """Return the event of a line, which may have something before its JSON; None for others."""
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
    """Return the events that name ``identity``, in the order of time.

    Those of the other tries of a stream that its client took up elsewhere are among them.
    With ``around_ms``, also what the same nodes came to believe shortly before and meanwhile:
    events that name no request, job or item.
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
    """Return the identities of all tries of the stream that a request belongs to."""
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
    """Yield the requests, jobs and items that an event is about."""
    for name in _ID_FIELDS:
        if name in event.fields:
            identity = str(event.fields[name])
            yield identity
            # A job is logged with its customer, whose own identity for it comes last.
            yield from [identity.rpartition(":")[2]] if ":" in identity else ()


def _formatted(value: object) -> str:
    return value if isinstance(value, str) and value and " " not in value else json.dumps(value)
