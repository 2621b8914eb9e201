"""Starts a program with all its modules out of one file of bytecode.

Of a node's start, finding, opening and reading some 400 files is a fifth of the processor time, and
after a loss of power all nodes start at once.  Modules that the file lacks, and all of them where
it was made by another Python, come from the path as usual.

Usage: ``python -m fescuedock.bundle PROGRAM [FILE]``, as built by ``deploy/build.py``.
"""

import gc
import importlib
import marshal
import sys
from collections.abc import Iterable
from importlib.machinery import ModuleSpec
from pathlib import Path
from types import CodeType, ModuleType

__all__ = ["BundleFinder", "bundle_path", "install_bundle", "main", "write_bundle"]

_SUFFIX = ".bundle"
_INIT_FILE = "__init__.py"

# Of a module: whether it is a package, the file of its source, and its bytecode.
Bundled = tuple[bool, str, CodeType]


class BundleFinder:
    """Finds and loads the modules of a bundle; to be put before the usual finders."""

    __slots__ = ("_modules",)

    def __init__(self, modules: dict[str, Bundled]) -> None:
        self._modules = modules

    def find_spec(
        self, name: str, _path: object = None, _target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a module that the bundle has."""
        found = self._modules.get(name)
        if found is None:
            return None
        is_package, file, _ = found
        spec = ModuleSpec(name, self, origin=file, is_package=is_package)
        spec.has_location = True
        if is_package:
            # What the bundle lacks of a package, such as compiled modules, is looked for there.
            spec.submodule_search_locations = [str(Path(file).parent)]
        return spec

    def create_module(self, _spec: ModuleSpec) -> None:
        """Leave the making of the module to the import system."""

    def exec_module(self, module: ModuleType) -> None:
        """Run a module's bytecode."""
        exec(self._modules[module.__name__][2], module.__dict__)

    def get_code(self, name: str) -> CodeType:
        """Return a module's bytecode, for libraries that load a second copy of one."""
        return self._modules[name][2]

    def get_filename(self, name: str) -> str:
        return self._modules[name][1]

    def get_source(self, _name: str) -> None:
        """Return None: tracebacks read the file itself."""


def bundle_path(program: str) -> Path:
    """Return where the bundle of ``fescuedock.PROGRAM.main`` lies."""
    return Path(__file__).parent / f"{program}{_SUFFIX}"


def write_bundle(path: Path, sources: Iterable[tuple[str, Path]]) -> None:
    """Compile modules, given by name and file, into one bundle."""
    modules = {
        name: (
            source.name == _INIT_FILE,
            str(source),
            compile(source.read_bytes(), str(source), "exec", dont_inherit=True),
        )
        for name, source in sources
    }
    path.write_bytes(marshal.dumps((sys.version, modules)))


def install_bundle(path: Path) -> bool:
    """Have modules come from the bundle at ``path``; False when there is none for this Python."""
    try:
        version, modules = marshal.loads(path.read_bytes())
    except (OSError, ValueError, EOFError, TypeError):
        return False
    if version != sys.version:
        return False
    sys.meta_path.insert(0, BundleFinder(modules))
    return True


def main() -> None:
    """Run the program that the first word names."""
    program = sys.argv.pop(1)
    install_bundle(bundle_path(program))
    # Nothing of what is imported becomes garbage.
    gc.disable()
    module = importlib.import_module(f"fescuedock.{program}.main")
    gc.freeze()
    gc.enable()
    module.main()


if __name__ == "__main__":
    main()
