"""Starts a program with all its modules loaded from one file of bytecode, the bundle.

Finding, opening and reading some 400 files takes a fifth of the processor time of a node's start,
and after a power failure all nodes start at once.  Modules that the bundle lacks are imported from
the path as usual, and so are all modules if another Python version wrote the bundle.

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

# A module: whether it is a package, its source file and its bytecode.
Bundled = tuple[bool, str, CodeType]


class BundleFinder:
    """Finds and loads the modules of a bundle; must precede the usual finders."""

    __slots__ = ("_modules",)

    def __init__(self, modules: dict[str, Bundled]) -> None:
        self._modules = modules

    def find_spec(
        self, name: str, _path: object = None, _target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a module in the bundle, None for any other."""
        found = self._modules.get(name)
        if found is None:
            return None
        is_package, file, _ = found
        spec = ModuleSpec(name, self, origin=file, is_package=is_package)
        spec.has_location = True
        if is_package:
            # Where the usual finders look for submodules outside the bundle, such as compiled ones.
            spec.submodule_search_locations = [str(Path(file).parent)]
        return spec

    def create_module(self, _spec: ModuleSpec) -> None:
        """Return None: the import system creates the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Run a module's bytecode."""
        exec(self._modules[module.__name__][2], module.__dict__)

    def get_code(self, name: str) -> CodeType:
        """Return a module's bytecode, for libraries that load a second copy of a module."""
        return self._modules[name][2]

    def get_filename(self, name: str) -> str:
        return self._modules[name][1]

    def get_source(self, _name: str) -> None:
        """Return None: tracebacks read the file itself."""


def bundle_path(program: str) -> Path:
    """Return the path of the bundle of ``fescuedock.PROGRAM.main``."""
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
    """Import modules from the bundle at ``path``; return False if none fits this Python."""
    try:
        version, modules = marshal.loads(path.read_bytes())
    except (OSError, ValueError, EOFError, TypeError):
        return False
    if version != sys.version:
        return False
    sys.meta_path.insert(0, BundleFinder(modules))
    return True


def main() -> None:
    """Run the program named by the first argument."""
    program = sys.argv.pop(1)
    install_bundle(bundle_path(program))
    # Imports create no garbage worth collecting.
    gc.disable()
    module = importlib.import_module(f"fescuedock.{program}.main")
    gc.freeze()
    gc.enable()
    module.main()


if __name__ == "__main__":
    main()
