"""INI files of one VM for tests."""

import configparser
from pathlib import Path

__all__ = ["write_settings"]

_VALID = {
    "vm": {
        "vm_id": "vm-1",
        "host": "127.0.0.1",
        "region": "caldas",
        "failure_domain": "sala-chipre",
    },
    "platform": {"kv_addresses": "127.0.0.1:2379", "vm_list_address": "127.0.0.1:2380"},
    "entry": {"port": "8080"},
    "agent": {"port": "7001"},
    "batch": {"port": "7002"},
    "store": {"port": "7003", "data_folder": "data"},
}


def write_settings(
    folder: Path, changes: dict[str, dict[str, str | None] | None] | None = None
) -> Path:
    """Write a valid file with ``changes``; None takes a key or a section away."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(_VALID)
    for section, values in (changes or {}).items():
        if values is None:
            parser.remove_section(section)
            continue
        if not parser.has_section(section):
            parser.add_section(section)
        for key, value in values.items():
            if value is None:
                parser.remove_option(section, key)
            else:
                parser.set(section, key, value)
    path = folder / "vm.ini"
    with open(path, "w", encoding="utf-8") as file:
        parser.write(file)
    return path
