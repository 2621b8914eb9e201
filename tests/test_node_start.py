"""The modules that the platform's programs load at start-up, which delay each fleet restart."""

import json
import subprocess
import sys
import unittest
from pathlib import Path

_LIST_MODULES = """
import json, sys
import {program}
files = {{name: getattr(module, "__file__", None) for name, module in sys.modules.items()}}
print(json.dumps({{name: file for name, file in files.items() if name.startswith("fescuedock")}}))
"""
# Loaded when first needed: operators' commands, metrics pages, the command line's parser.
_LATE = ("fescuedock.cli.main", "fescuedock.report.prometheus", "fescuedock.report.burn_html")


class StartTest(unittest.TestCase):
    def loaded(self, program: str) -> dict[str, str]:
        command = [sys.executable, "-c", _LIST_MODULES.format(program=program)]
        found = subprocess.run(command, capture_output=True, check=True, text=True)
        return {name: file for name, file in json.loads(found.stdout).items() if file}

    def test_no_class_is_generated_and_compiled_at_start_up(self) -> None:
        """125 generated classes take a third of a node's imports: 0.53 s with, 0.37 s without."""
        for program in ("fescuedock.node.main", "fescuedock.spool.main"):
            for name, file in self.loaded(program).items():
                with self.subTest(program=program, module=name):
                    self.assertNotIn("dataclass", Path(file).read_text(encoding="utf-8"))

    def test_modules_not_needed_for_a_first_answer_are_not_loaded(self) -> None:
        loaded = self.loaded("fescuedock.node.main")
        self.assertEqual([name for name in _LATE if name in loaded], [])
        self.assertLess(len(loaded), 160)
