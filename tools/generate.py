"""Generate the modules of ``fescuedock.schema`` and the result code table from their sources.

Run ``make generate`` after editing a file in ``src/fescuedock/schema/source``.  The output is
committed, so neither a build nor an installation needs this tool; CI runs ``--check`` to verify
that the committed files are current.
"""

import argparse
import re
import subprocess
import sys
import tempfile
from pathlib import Path

import yaml

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "src" / "fescuedock" / "schema"
SOURCE = SCHEMA / "source"
CODES_SOURCE = SOURCE / "result_codes.yaml"
CODES_MODULE = SCHEMA / "result_codes.py"
CODES_PAGE = ROOT / "docs" / "RESULT_CODES.md"
# The generator emits an empty class for the document itself, which holds only definitions.
ROOT_CLASS = "SchemaDocument"
EMPTY_ROOT = re.compile(rf"class {ROOT_CLASS}\(\w+\):\n    pass\n")
# Base of the structs of a source with ``wire: true``: messages between our processes.
WIRE_BASE = "--base-class=fescuedock.schema.wire.WireStruct"
CODEGEN_OPTIONS = (
    "--input-file-type=jsonschema",
    "--output-model-type=msgspec.Struct",
    "--target-python-version=3.11",
    "--use-annotated",
    "--field-constraints",
    "--use-schema-description",
    "--disable-timestamp",
    "--use-union-operator",
    "--use-standard-collections",
    "--set-default-enum-member",
    "--use-default",
    "--capitalise-enum-members",
)


def main() -> int:
    """Write every generated file, or with ``--check`` report stale ones; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="compare only, write nothing")
    check_only = parser.parse_args().check
    stale = [path for path, text in _outputs().items() if _is_stale(path, text)]
    for path in stale:
        print(f"{'stale' if check_only else 'wrote'}: {path.relative_to(ROOT)}")
    if check_only:
        return 1 if stale else 0
    for path, text in _outputs().items() if stale else ():
        path.write_text(text, encoding="utf-8")
    return 0


def _outputs() -> dict[Path, str]:
    outputs = {}
    for source in sorted(SOURCE.glob("*.yaml")):
        if source != CODES_SOURCE:
            outputs[SCHEMA / f"{source.stem}.py"] = _structs_module(source)
    codes = yaml.safe_load(CODES_SOURCE.read_text(encoding="utf-8"))["codes"]
    outputs[CODES_MODULE] = _formatted(_codes_module(codes))
    outputs[CODES_PAGE] = _codes_page(codes)
    return outputs


def _is_stale(path: Path, text: str) -> bool:
    return not path.exists() or path.read_text(encoding="utf-8") != text


def _structs_module(source: Path) -> str:
    """Return the module of slotted structs for one schema file.

    A property is required unless it has a default, so that the sources need not repeat it.
    """
    document = yaml.safe_load(source.read_text(encoding="utf-8"))
    title, document["title"] = document["title"], ROOT_CLASS
    for definition in document["definitions"].values():
        if "properties" in definition:
            definition.setdefault("type", "object")
            definition["required"] = list(definition["properties"])
    with tempfile.TemporaryDirectory() as folder:
        expanded = Path(folder) / source.name
        command = [sys.executable, "-W", "ignore", "-m", "datamodel_code_generator"]
        command += ["--input", str(expanded), *CODEGEN_OPTIONS]
        command += [WIRE_BASE] if document.pop("wire", False) else []
        expanded.write_text(yaml.safe_dump(document, sort_keys=False), encoding="utf-8")
        done = subprocess.run(command, check=True, capture_output=True, text=True)
    body = done.stdout.split("from __future__", 1)[1]
    body = EMPTY_ROOT.sub("", body)
    header = f'"""{title}\n\nGenerated from ``source/{source.name}``; do not edit.\n"""'
    return _formatted(f"{header}\n\nfrom __future__{body}")


def _codes_module(codes: list[dict]) -> str:
    lines = [
        '"""Numbered result codes: what each means, its HTTP status and the outcome it promises.',
        "",
        "Generated from ``source/result_codes.yaml``; do not edit.",
        '"""',
        "",
        "from enum import IntEnum, StrEnum",
        "",
        '__all__ = ["HTTP_STATUS", "OUTCOME", "Outcome", "ResultCode"]',
        "",
        "class Outcome(StrEnum):",
        '    """What a caller may conclude about whether the work ran."""',
        "",
        '    OK = "ok"',
        '    NOT_RUN = "not_run"',
        '    UNKNOWN = "unknown"',
        '    FAILED = "failed"',
        "",
        "class ResultCode(IntEnum):",
        '    """A numbered result; the table is ``docs/RESULT_CODES.md``."""',
        "",
    ]
    lines += [f"    {code['name']} = {code['number']}" for code in codes]
    lines += ["", "HTTP_STATUS: dict[ResultCode, int] = {"]
    lines += [f"    ResultCode.{code['name']}: {code['http']}," for code in codes]
    lines += ["}", "", "OUTCOME: dict[ResultCode, Outcome] = {"]
    lines += [
        f"    ResultCode.{code['name']}: Outcome.{code['outcome'].upper()}," for code in codes
    ]
    lines += ["}", ""]
    return "\n".join(lines)


def _codes_page(codes: list[dict]) -> str:
    lines = [
        "# Result codes",
        "",
        "Made by `make generate` from `src/fescuedock/schema/source/result_codes.yaml`.",
        "",
        "Every error body carries the number as `code`, the name as `name` and the outcome as",
        "`outcome`: `not_run` is a promise that nothing was executed, `unknown` says that it may",
        "have been, `failed` says that it was tried and ended with this error.",
        "",
        "| number | name | HTTP | outcome | meaning | what to do |",
        "|---|---|---|---|---|---|",
    ]
    for code in codes:
        cells = (code[key] for key in ("number", "name", "http", "outcome", "meaning", "action"))
        lines.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    return "\n".join(lines) + "\n"


def _formatted(text: str) -> str:
    command = [sys.executable, "-m", "black", "-q", "--line-length=100", "-"]
    return subprocess.run(command, input=text, check=True, capture_output=True, text=True).stdout


if __name__ == "__main__":
    sys.exit(main())
