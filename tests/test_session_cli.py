"""The command and the programs as an operator starts them: output, errors, exit codes, signals."""

import re
import tempfile
import unittest
from pathlib import Path

import msgspec

from fescuedock.agent import main as agent
from fescuedock.batch import main as batch
from fescuedock.entry import main as entry
from fescuedock.standin import main as standin
from fescuedock.store import main as store
from tests.builders.commands import Done, LocalProcess, run_fescuedock, run_program_main
from tests.builders.golden import check_golden
from tests.builders.settings import write_settings

PROGRAMS = {"agent": agent, "batch": batch, "entry": entry, "store": store, "standin": standin}
# Loads and their age, which differ from run to run.
LOADS = re.compile(r"(\s+-?\d+){4}$")


class OperatorSessionTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_operators_session_and_graceful_end(self) -> None:
        local = LocalProcess()
        try:
            check_golden(self, "commands", self.commands(local))
            self.check_burn(local)
            taken = run_fescuedock("local", f"--port={local.entry.rpartition(':')[2]}")
            self.assertEqual(taken.code, 1)
            self.assertIn(local.entry, taken.errors)
        finally:
            ended = local.stop()
        self.assertEqual((ended.code, ended.output), (0, ""))
        self.assertEqual(ended.errors.count("curl"), 4)
        self.assertIn(f"{local.url}/admin/config/patches", ended.errors)

    def commands(self, local: LocalProcess) -> list[dict]:
        patch = self.folder / "patch.json"
        patch.write_text('{"members": {"manizales": {"share": 2}}}', encoding="utf-8")
        commands = (
            ("status",),
            ("config", "patch", str(patch), "--base=1"),
            ("config", "patch", str(patch), "--base=1"),
            ("config", "patch", str(patch), "--base=0"),
            ("config", "wait", "2"),
            ("config", "wait", "9", "--timeout=0"),
            ("config", "diff", str(patch)),
            ("drain", "worker-trip-desk-1"),
            ("drain", "worker-nowhere-1"),
            ("config", "wait", "3"),
            ("upstreams", "--service=trip-desk"),
            ("drain", "worker-trip-desk-1", "--undo"),
            ("jobs", "list"),
            ("jobs", "show", "batch_none"),
            ("jobs", "cancel", "batch_none"),
            ("drain", "vm-palermo"),
            ("drain", "vm-palermo", "--undo"),
        )
        steps = []
        for words in commands:
            done = run_fescuedock(*words, entry=local.entry)
            text = " ".join(words).replace(str(patch), "patch.json")
            steps.append({"command": text, "exit_code": done.code, **_steady(done)})
        return steps

    def check_burn(self, local: LocalProcess) -> None:
        saved, page = self.folder / "saved.json", self.folder / "burn.html"
        words = ("burn", "--json", f"--save={saved}", f"--html={page}")
        live = run_fescuedock(*words, entry=local.entry)
        again = run_fescuedock("burn", "--json", f"--files={saved}")
        self.assertEqual((live.code, again.code), (0, 0), live.errors + again.errors)
        self.assertEqual(live.output, again.output)
        self.assertTrue(page.read_text(encoding="utf-8").startswith("<!doctype html>"))
        report = msgspec.json.decode(live.output)
        self.assertEqual((report["processes"], report["missing"]), (6, []))
        trip_desk = next(item for item in report["services"] if item["service"] == "trip-desk")
        # One probe by each VM before the system said that it was ready.
        self.assertEqual(trip_desk["burns"][0]["windows"][0]["total"], 3)

    def test_unreachable_entry_and_bad_usage_are_one_line(self) -> None:
        for words, code, text in (
            (("status",), 1, "cannot connect to 127.0.0.1:1"),
            (("drain", "x"), 1, "cannot connect to 127.0.0.1:1"),
            (("status", "--entry=nowhere"), 2, "not an IP number and port: 'nowhere'"),
            (("config", "patch"), 2, "see fescuedock --help"),
            (("config", "patch", "/none.json", "--base=1"), 2, "No such file"),
            (("config", "patch", "x", "--base=one"), 2, "not a whole number: one"),
            (("burn", "--files=/none.json"), 2, "/none.json"),
            (("local", "--port=70000"), 2, "not a port: 70000"),
            (("nonsense",), 2, "see fescuedock --help"),
        ):
            done = run_fescuedock(*words)
            self.assertEqual((done.code, done.output), (code, ""), words)
            self.assertIn(text, done.errors)
            self.assertEqual(done.errors.count("\n"), 1, done.errors)


class ProgramTest(unittest.TestCase):
    def test_bad_settings_end_each_program_with_all_problems(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            bad = {"vm": {"host": "nowhere"}, "entry": {"port": "x"}}
            file = str(write_settings(Path(folder), bad))
            checked = run_fescuedock("check-settings", file)
            self.assertIn("[vm] host = nowhere: not an IP number\n", checked.errors)
            self.assertIn("[entry] port = x: expected", checked.errors)
            for name in ("agent", "batch", "entry", "store"):
                done = run_program_main(PROGRAMS[name].main, file)
                self.assertEqual((done.code, done.errors), (2, checked.errors), name)

    def test_help_of_each_program(self) -> None:
        for name, module in PROGRAMS.items():
            done = run_program_main(module.main, "--help")
            self.assertEqual((done.code, done.errors), (0, ""), name)
            self.assertIn(f"usage: fescuedock-{name} FILE", done.output)
            self.assertIn("exit codes: 0 stopped", done.output)

    def test_log_file_that_cannot_be_written_is_one_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = write_settings(Path(folder), {"vm": {"log_file": f"{folder}/none/log"}})
            done = run_program_main(agent.main, str(path))
        self.assertEqual((done.code, done.errors.count("\n")), (1, 1), done.errors)

    def test_taken_address_is_one_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            # An address that is not of this machine cannot be bound, like one that is taken.
            path = write_settings(Path(folder), {"vm": {"host": "192.0.2.1"}})
            done = run_program_main(agent.main, str(path))
        self.assertEqual((done.code, done.errors.count("\n")), (1, 1), done.errors)


def _steady(done: Done) -> dict[str, list[str]]:
    """Return what was printed without what differs from run to run."""
    lines = [LOADS.sub("", line) for line in done.output.splitlines()]
    output = [line for line in lines if not line.startswith("seen by")]
    return {"output": output, "errors": done.errors.splitlines()}


if __name__ == "__main__":
    unittest.main()
