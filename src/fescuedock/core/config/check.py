"""Validates a complete configuration and reports every problem in it, not just the first."""

from collections.abc import Iterator, Mapping
from functools import cache
from typing import Annotated, get_args, get_origin, get_type_hints

import msgspec

from fescuedock.schema.config import Configuration, ServiceKind, ServiceSpec

__all__ = ["find_problems"]

_MAX_SHOWN_CHARACTERS = 60
# A value here may be a key pasted in plain text, which must not appear in answers and logs.
_SECRET_FIELD = "key_hashes"
# Service names are a path segment of /services/{service}/; names with these are unreachable.
_FORBIDDEN_IN_NAMES = ("/", "?", "#")


def find_problems(document: object, previous: object = None) -> list[str]:
    """Return one line for each problem of ``document`` (decoded JSON); none when it is valid.

    Each line begins with the path of the wrong value.  Entries that are equal in ``previous``, a
    document that was validated before, are not checked one by one again.
    """
    problems = list(_check_value(_changed_entries(document, previous), Configuration, ""))
    if problems:
        return problems
    try:
        configuration = msgspec.convert(document, Configuration)
    except msgspec.ValidationError:
        # The previous document was validated by an older schema.
        return list(_check_value(document, Configuration, ""))
    return [*_check_services(configuration), *_check_references(configuration)]


def _changed_entries(document: object, previous: object) -> object:
    """Return ``document`` without the entries of its sections that are equal in ``previous``."""
    if not isinstance(document, Mapping) or not isinstance(previous, Mapping):
        return document
    changed: dict[str, object] = {}
    for section, entries in document.items():
        known = previous.get(section)
        if isinstance(entries, Mapping) and isinstance(known, Mapping):
            entries = {
                name: value
                for name, value in entries.items()
                if name not in known or known[name] != value
            }
        changed[section] = entries
    return changed


def _check_value(value: object, kind: object, path: str) -> Iterator[str]:
    bare = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    origin = get_origin(bare)
    if isinstance(bare, type) and issubclass(bare, msgspec.Struct):
        yield from _check_struct(value, bare, path)
    elif origin is dict:
        yield from _check_object(value, get_args(bare)[1], path)
    elif origin is list:
        yield from _check_array(value, get_args(bare)[0], path)
    else:
        yield from _check_leaf(value, kind, path)


def _check_struct(value: object, kind: type[msgspec.Struct], path: str) -> Iterator[str]:
    if not isinstance(value, Mapping):
        yield _problem(path, "must be an object", value)
        return
    types = _types_of(kind)
    for name in value:
        if name not in types:
            known = ", ".join(sorted(types))
            yield f"{_join(path, name)}: unknown field; {kind.__name__} has {known}"
    for name, item_kind in types.items():
        if name in value:
            yield from _check_value(value[name], item_kind, _join(path, name))
        elif name in _required_of(kind):
            yield f"{_join(path, name)}: missing"


@cache
def _types_of(kind: type[msgspec.Struct]) -> Mapping[str, object]:
    return get_type_hints(kind, include_extras=True)


@cache
def _required_of(kind: type[msgspec.Struct]) -> frozenset[str]:
    return frozenset(item.name for item in msgspec.structs.fields(kind) if item.required)


def _check_object(value: object, item_kind: object, path: str) -> Iterator[str]:
    if not isinstance(value, Mapping):
        yield _problem(path, "must be an object", value)
        return
    for name, item in value.items():
        if not name.strip():
            yield f"{path}: a name must not be empty"
        yield from _check_value(item, item_kind, _join(path, name))


def _check_array(value: object, item_kind: object, path: str) -> Iterator[str]:
    if not isinstance(value, list):
        yield _problem(path, "must be an array", value)
        return
    for position, item in enumerate(value):
        yield from _check_value(item, item_kind, f"{path}[{position}]")


def _check_leaf(value: object, kind: object, path: str) -> Iterator[str]:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        yield _problem(path, str(error), value)


def _check_services(configuration: Configuration) -> Iterator[str]:
    for name, service in configuration.services.items():
        path = f"services.{name}"
        if any(character in name for character in _FORBIDDEN_IN_NAMES):
            yield f"{path}: a service name must not contain any of {' '.join(_FORBIDDEN_IN_NAMES)}"
        if service.kind is ServiceKind.PLAIN and service.models:
            yield f"{path}.models: a plain service has no models"
        for position, call in enumerate(service.non_idempotent):
            method, _, prefix = call.partition(" ")
            if not method.isupper() or not prefix.startswith("/"):
                yield _problem(
                    f"{path}.non_idempotent[{position}]", 'must be "METHOD /path-prefix"', call
                )
    yield from _check_callable_names(configuration.services)


def _check_callable_names(services: Mapping[str, ServiceSpec]) -> Iterator[str]:
    """Check that names of models and adapters are unique; calls name them without a service."""
    seen: dict[str, str] = {}
    for service_name, service in services.items():
        for model_name, model in service.models.items():
            path = f"services.{service_name}.models.{model_name}"
            named = [(path, model_name)]
            named += [(f"{path}.adapters[{n}]", name) for n, name in enumerate(model.adapters)]
            for where, name in named:
                if name in seen:
                    yield f"{where}: the name {name!r} is already used by {seen[name]}"
                seen.setdefault(name, where)


def _check_references(configuration: Configuration) -> Iterator[str]:
    """Check references to models; upstreams may be configured before the VM list shows them."""
    models = {name for service in configuration.services.values() for name in service.models}
    for upstream_id, policy in configuration.upstreams.items():
        for position, name in enumerate(policy.models):
            if name not in models:
                yield f"upstreams.{upstream_id}.models[{position}]: no service has a model {name!r}"
    yield from _check_key_owners(configuration)


def _check_key_owners(configuration: Configuration) -> Iterator[str]:
    owners: dict[str, str] = {}
    for member_name, member in configuration.members.items():
        for position, key_hash in enumerate(member.key_hashes):
            where = f"members.{member_name}.key_hashes[{position}]"
            if key_hash in owners:
                yield f"{where}: the same key as {owners[key_hash]}"
            owners.setdefault(key_hash, where)


def _problem(path: str, text: str, value: object) -> str:
    if _SECRET_FIELD in path:
        return f"{path}: not the SHA-256 of a key in hex"
    shown = repr(value)
    if len(shown) > _MAX_SHOWN_CHARACTERS:
        shown = f"{shown[:_MAX_SHOWN_CHARACTERS]}..."
    return f"{path or 'configuration'}: {text}, not {shown}"


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
