"""Put the package, its dependencies and their bytecode under ``target/deps``.

The package is copied on every build, so that no outdated copy of a changed source runs.
Dependencies are reinstalled only when their list has changed.
"""

import compileall
import json
import shutil
import subprocess
import sys
from pathlib import Path
from py_compile import PycInvalidationMode

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
PACKAGE = ROOT / "src" / "fescuedock"
TARGET = ROOT / "target" / "deps"
# Copy of the requirements that are installed.
STAMP = TARGET / ".requirements"
# Programs whose startup modules are bundled into one bytecode file each.
PROGRAMS = ("node", "spool")
_LIST_MODULES = """
import json, sys
before = set(sys.modules)
import fescuedock.{program}.main
files = {{
    name: vars(module).get("__file__")
    for name, module in list(sys.modules.items())
    if name not in before and hasattr(module, "__dict__")
}}
print(json.dumps({{name: file for name, file in files.items() if file and file.endswith(".py")}}))
"""


def main() -> int:
    """Build; return the exit code."""
    TARGET.mkdir(parents=True, exist_ok=True)
    if not install_dependencies():
        return 1
    copy_package(PACKAGE, TARGET)
    for program in PROGRAMS:
        bundle_program(program, TARGET)
    return 0


def install_dependencies() -> bool:
    """Install the requirements unless they are current; return False on failure."""
    wanted = REQUIREMENTS.read_text(encoding="utf-8")
    if STAMP.exists() and STAMP.read_text(encoding="utf-8") == wanted:
        return True
    command = [sys.executable, "-m", "pip", "install", "-q", "--upgrade"]
    command += ["--target", str(TARGET), "-r", str(REQUIREMENTS)]
    if subprocess.run(command, check=False).returncode:
        print("build: the dependencies could not be installed", file=sys.stderr)
        return False
    compileall.compile_dir(TARGET, quiet=2, invalidation_mode=PycInvalidationMode.UNCHECKED_HASH)
    STAMP.write_text(wanted, encoding="utf-8")
    return True


def copy_package(package: Path, target: Path) -> None:
    """Replace the copy of ``package`` below ``target``, with bytecode that skips source checks."""
    copy = target / package.name
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(package, copy, ignore=shutil.ignore_patterns("__pycache__", "source"))
    compileall.compile_dir(copy, quiet=2, invalidation_mode=PycInvalidationMode.UNCHECKED_HASH)


def bundle_program(program: str, target: Path) -> None:
    """Bundle the modules that a program imports at startup into one file next to its package."""
    listed = subprocess.run(
        [sys.executable, "-S", "-c", _LIST_MODULES.format(program=program)],
        cwd=target,
        capture_output=True,
        check=True,
        text=True,
    )
    sys.path.insert(0, str(target))
    from fescuedock.bundle import bundle_path, write_bundle

    sources = ((name, Path(file)) for name, file in json.loads(listed.stdout).items())
    write_bundle(target / "fescuedock" / bundle_path(program).name, sources)


if __name__ == "__main__":
    sys.exit(main())
