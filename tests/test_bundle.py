"""Programs whose modules are loaded from a bundle of bytecode."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from fescuedock.bundle import install_bundle, write_bundle

ROOT = Path(__file__).resolve().parent.parent
_RUN = """
import sys
from pathlib import Path
sys.path[:0] = {path!r}
from fescuedock.bundle import install_bundle
print(install_bundle(Path({bundle!r})))
import pack.part
print(pack.part.WORD, Path(pack.part.__file__).name, pack.__path__)
"""


class BundleTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.pack = self.folder / "pack"
        self.pack.mkdir()
        (self.pack / "__init__.py").write_text("", encoding="utf-8")
        (self.pack / "part.py").write_text('WORD = "bundled"\n', encoding="utf-8")
        self.bundle = self.folder / "program.bundle"
        sources = [("pack", self.pack / "__init__.py"), ("pack.part", self.pack / "part.py")]
        write_bundle(self.bundle, sources)
        # A different value in the file shows whether a module was loaded from it or the bundle.
        (self.pack / "part.py").write_text('WORD = "file"\n', encoding="utf-8")

    def run_program(self) -> list[str]:
        path = [str(self.folder), str(ROOT / "src")]
        code = _RUN.format(path=path, bundle=str(self.bundle))
        command = [sys.executable, "-c", code]
        return subprocess.run(command, capture_output=True, check=True, text=True).stdout.split()

    def test_modules_come_from_the_bundle_and_know_their_files(self) -> None:
        installed, word, file, *path = self.run_program()
        self.assertEqual((installed, word, file), ("True", "bundled", "part.py"))
        self.assertIn(str(self.pack), " ".join(path))

    def test_a_bundle_of_another_python_or_a_truncated_one_is_ignored(self) -> None:
        complete = self.bundle.read_bytes()
        version = sys.version.encode()
        for data in (complete.replace(version, b"9" * len(version)), complete[:40], b""):
            self.bundle.write_bytes(data)
            self.assertEqual(self.run_program()[:2], ["False", "file"])

    def test_no_bundle_is_no_error(self) -> None:
        self.assertFalse(install_bundle(self.folder / "none.bundle"))


if __name__ == "__main__":
    unittest.main()
