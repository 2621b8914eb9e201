"""The validated settings of one VM, and the parser of its INI file."""

import configparser
import ipaddress
import math
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from fescuedock.address import Address
from fescuedock.schema.settings import (
    AgentSettings,
    BatchSettings,
    EntrySettings,
    NodeSettings,
    OrderSettings,
    PermitSettings,
    PlatformSettings,
    SpoolSettings,
    StoreSettings,
    VmSettings,
)

__all__ = [
    "NODE_SECTIONS",
    "SECTIONS",
    "SPOOL_SECTIONS",
    "Settings",
    "SettingsProblems",
    "load_sections",
    "load_settings",
]

# Section, key, and the key of the same section whose value is the upper limit.
_ORDERED_KEYS = (
    ("batch", "min_copies", "copies"),
    ("batch", "group_min_items", "group_items"),
    ("batch", "group_age_ms", "group_max_age_ms"),
    ("batch", "retry_backoff_ms", "max_retry_backoff_ms"),
    ("batch", "max_line_bytes", "segment_bytes"),
    ("store", "record_retention_s", "segment_retention_s"),
    ("permits", "start_limit", "max_limit"),
    ("orders", "margin_ms", "lease_ms"),
    ("orders", "loads_per_model", "load_slots"),
    ("node", "commit_bytes", "store_value_bytes"),
)
_NODE_ADDRESSES = (
    "front_address",
    "ready_address",
    "directory_address",
    "control_address",
    "store_address",
)

# The valid values of one section by key.
_Values = dict[str, Any]

Checks = Callable[[Mapping[str, _Values]], Iterable[str]]

# The type of each section of the file.
SECTIONS: Mapping[str, type[msgspec.Struct]] = {
    "vm": VmSettings,
    "platform": PlatformSettings,
    "entry": EntrySettings,
    "agent": AgentSettings,
    "permits": PermitSettings,
    "orders": OrderSettings,
    "batch": BatchSettings,
    "store": StoreSettings,
    "node": NodeSettings,
    "spool": SpoolSettings,
}
# Sections of a file for ``fescuedock-node``.
NODE_SECTIONS = ("vm", "node", "agent")
# Sections of a file for ``fescuedock-spool``.
SPOOL_SECTIONS = ("vm", "spool", "agent")


class Settings(msgspec.Struct, frozen=True):
    """The settings of one INI file; a section that the program does not need may be None."""

    vm: VmSettings
    platform: PlatformSettings | None = None
    entry: EntrySettings | None = None
    agent: AgentSettings | None = None
    batch: BatchSettings | None = None
    store: StoreSettings | None = None
    permits: PermitSettings = msgspec.field(default_factory=PermitSettings)
    orders: OrderSettings = msgspec.field(default_factory=OrderSettings)
    node: NodeSettings | None = None
    spool: SpoolSettings | None = None


class SettingsProblems(msgspec.Struct, frozen=True):
    """All problems of one file; ``str()`` has one line for each."""

    path: Path
    problems: tuple[str, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.path}: {problem}" for problem in self.problems)


def load_settings(path: Path, sections: Iterable[str]) -> Result[Settings, SettingsProblems]:
    """Read and validate the complete file at ``path``; ``sections`` are required.

    All other sections of the file are validated too, since all programs of a VM share one file.
    Section [vm] is always required, and [platform] too unless ``sections`` contains "vm", as it
    does for the programs of the users' platform.
    """
    common = {"vm"} if "vm" in sections else {"vm", "platform"}
    return load_sections(path, SECTIONS, {*common, *sections}).map(
        lambda by_section: Settings(**by_section)
    )


def load_sections(
    path: Path,
    kinds: Mapping[str, type[msgspec.Struct]],
    required: Collection[str],
    checks: Checks | None = None,
) -> Result[dict[str, msgspec.Struct], SettingsProblems]:
    """Read a file with sections of the types ``kinds``, of which ``required`` must exist.

    ``checks`` gets the valid values of each section and yields the problems that the types of
    single values cannot express; the default checks the sections of ``SECTIONS``.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file, source=path.name)
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsProblems(path, (f"cannot be read: {error}",)))
    except configparser.Error as error:
        return Err(SettingsProblems(path, (_one_line(error),)))
    problems = [f"[{name}]: unknown section" for name in parser.sections() if name not in kinds]
    problems += [
        f"[{name}]: missing section" for name in kinds if name in set(required) - set(parser)
    ]
    values_by_section: dict[str, _Values] = {}
    for name, kind in kinds.items():
        if parser.has_section(name):
            values_by_section[name], section_problems = _section(name, kind, parser[name])
            problems += section_problems
    problems += (checks or _cross_checks)(values_by_section)
    if problems:
        return Err(SettingsProblems(path, tuple(problems)))
    return Ok({name: kinds[name](**values) for name, values in values_by_section.items()})


def _section(
    name: str, kind: type[msgspec.Struct], raw: Mapping[str, str]
) -> tuple[_Values, list[str]]:
    """Convert one section; return its valid values and the problems of the others."""
    known = {item.name: item for item in msgspec.structs.fields(kind)}
    problems = [
        f"[{name}] {key} = {value}: unknown key" for key, value in raw.items() if key not in known
    ]
    values: _Values = {}
    for key, item in known.items():
        if key not in raw:
            if item.required:
                problems.append(f"[{name}] {key}: missing")
            elif item.default is not msgspec.NODEFAULT:
                values[key] = item.default
            continue
        try:
            values[key] = msgspec.convert(raw[key], item.type, strict=False)
        except msgspec.ValidationError as error:
            problems.append(f"[{name}] {key} = {raw[key]}: {_reason(error)}")
    return values, problems


def _cross_checks(values_by_section: Mapping[str, _Values]) -> Iterator[str]:
    """Yield the problems that the types of single values cannot express."""
    yield from _check_host(values_by_section.get("vm", {}))
    platform = values_by_section.get("platform", {})
    yield from _check_addresses("kv_addresses", platform)
    yield from _check_addresses("vm_list_address", platform, max_count=1)
    yield from _check_addresses("weight_store_address", platform, max_count=1)
    node = values_by_section.get("node", {})
    for key in _NODE_ADDRESSES:
        yield from _check_addresses(key, node, max_count=1, section="node")
    yield from _check_addresses("seeds", node, section="node")
    spool = values_by_section.get("spool", {})
    yield from _check_addresses("store_address", spool, max_count=1, section="spool")
    for section, smaller, larger in _ORDERED_KEYS:
        values = values_by_section.get(section, {})
        if values.get(smaller, -math.inf) > values.get(larger, math.inf):
            limit = f"{larger} = {values[larger]}"
            yield f"[{section}] {smaller} = {values[smaller]}: more than {limit}"
    yield from _check_ports(values_by_section)


def _check_host(vm: _Values) -> Iterator[str]:
    try:
        ipaddress.ip_address(vm.get("host", "0.0.0.0"))
    except ValueError:
        yield f"[vm] host = {vm['host']}: not an IP number"


def _check_addresses(
    key: str, values: _Values, max_count: int = 0, section: str = "platform"
) -> Iterator[str]:
    text = values.get(key, "")
    parts = text.split(",") if text else []
    if max_count and len(parts) > max_count:
        yield f"[{section}] {key} = {text}: more than {max_count} address"
    for part in parts:
        try:
            Address.parse(part)
        except ValueError as error:
            yield f"[{section}] {key} = {text}: {error}"


def _check_ports(values_by_section: Mapping[str, _Values]) -> Iterator[str]:
    sections_by_port: dict[int, str] = {}
    for name, values in values_by_section.items():
        port = values.get("port", 0)
        if port and port in sections_by_port:
            yield f"[{name}] port = {port}: also the port of [{sections_by_port[port]}]"
        sections_by_port[port] = name


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def _reason(error: msgspec.ValidationError) -> str:
    reason = str(error)
    return reason[0].lower() + reason[1:]
