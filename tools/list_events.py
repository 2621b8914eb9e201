"""Write ``docs/EVENTS.md``: every event that the programs log, its fields and its modules.

Run ``make events`` after adding or changing a call of ``log_event``; a test checks that the page is
up to date.
"""

import ast
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "src" / "fescuedock"
PAGE = ROOT / "docs" / "EVENTS.md"
_HEAD = """# Events in the logs

One JSON object a line. Each has `timestamp` (Unix time in seconds), `message_type` (the event),
`vm_id` and `program`, and the fields below; `**` stands for fields that depend on the case.
Fields carry their unit as suffix. Written by `tools/list_events.py`; do not edit.

| event | fields | logged in |
|---|---|---|
"""
_ALWAYS = {"routine"}


def events() -> dict[str, tuple[set[str], set[str]]]:
    """Return the fields of each event, and the modules that log it."""
    found: dict[str, tuple[set[str], set[str]]] = {}
    for path in sorted(PACKAGE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not _is_log_call(node):
                continue
            fields, modules = found.setdefault(node.args[0].value, (set(), set()))
            fields |= {item.arg or "**" for item in node.keywords} - _ALWAYS
            modules.add(path.relative_to(PACKAGE).as_posix())
    return found


def page() -> str:
    """Return the text of the page."""
    rows = [
        f"| `{name}` | {_joined(fields)} | {_joined(modules)} |\n"
        for name, (fields, modules) in sorted(events().items())
    ]
    return _HEAD + "".join(rows)


def _is_log_call(node: ast.AST) -> bool:
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Name)
        and node.func.id == "log_event"
        and bool(node.args)
        and isinstance(node.args[0], ast.Constant)
    )


def _joined(names: set[str]) -> str:
    return ", ".join(f"`{name}`" for name in sorted(names))


if __name__ == "__main__":
    PAGE.write_text(page(), encoding="utf-8")
