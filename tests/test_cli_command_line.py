"""Command line arguments: types, help and usage errors, without output of fire."""

import contextlib
import io
import unittest

from fescuedock.cli.command_line import Command, ExitCode, run_command_line


class CommandLineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.calls: list[tuple] = []
        self.commands = {
            "": Command(lambda: 0, "the group\n"),
            "show": Command(self.show, "show: one\n"),
            "jobs": {"": Command(lambda: 0, "the jobs\n"), "list": Command(self.list, "a list\n")},
            "break": Command(self.raise_error, "breaks\n"),
        }

    def show(self, name: str, entry: str = "none", json: bool = False, port: int = 1) -> int:
        self.calls.append((name, entry, json, port))
        return ExitCode.OK

    def list(self) -> int:
        return ExitCode.UNKNOWN

    def raise_error(self) -> int:
        raise ValueError("a fault of the command itself")

    def run_words(self, *words: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = run_command_line("tool", self.commands, words)
        return code, out.getvalue(), err.getvalue()

    def test_arguments_are_read_by_their_types(self) -> None:
        code, _, _ = self.run_words("show", "0123", "--entry=[1,2]", "--json", "--port=7")
        self.assertEqual((code, self.calls), (ExitCode.OK, [("0123", "[1,2]", True, 7)]))

    def test_nested_command_gives_its_exit_code(self) -> None:
        self.assertEqual(self.run_words("jobs", "list")[0], ExitCode.UNKNOWN)

    def test_help_is_that_of_the_innermost_command(self) -> None:
        cases = {
            ("--help",): "the group\n",
            ("jobs", "--help"): "the jobs\n",
            ("jobs", "list", "-h"): "a list\n",
        }
        for words, text in cases.items():
            self.assertEqual(self.run_words(*words), (ExitCode.OK, text, ""))

    def test_usage_errors_are_one_line_and_run_nothing(self) -> None:
        cases = (
            ("show",),
            ("show", "a", "b", "c", "d"),
            ("show", "a", "b", "true", "1", "one too many"),
            ("show", "a", "--port=x"),
            ("nope",),
        )
        for words in cases:
            code, out, err = self.run_words(*words)
            self.assertEqual((code, out, self.calls), (ExitCode.USAGE, "", []), words)
            self.assertRegex(err, r"^tool: .+; see tool --help\n$")
            self.assertNotIn("fire", err.lower())

    def test_a_missing_argument_is_reported_without_the_wording_of_fire(self) -> None:
        _, _, err = self.run_words("show")
        self.assertEqual(err, "tool: missing argument: name; see tool --help\n")

    def test_group_without_command_shows_its_help_and_fails(self) -> None:
        self.assertEqual(self.run_words("jobs"), (ExitCode.USAGE, "", "the jobs\n"))

    def test_errors_of_a_command_are_not_reported_as_usage_errors(self) -> None:
        with self.assertRaisesRegex(ValueError, "of the command itself"):
            self.run_words("break")


if __name__ == "__main__":
    unittest.main()
