"""Reading the INI file of a VM: all problems are reported at once."""

import tempfile
import unittest
from pathlib import Path

from fescuedock.settings import Settings, load_settings
from tests.builders.settings import write_settings

PROGRAM_SECTIONS = ("entry", "agent", "batch", "store")


class LoadSettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def load(self, changes: dict | None = None) -> Settings:
        path = write_settings(self.folder, changes)
        return load_settings(path, PROGRAM_SECTIONS).unwrap()

    def problems(self, changes: dict) -> list[str]:
        path = write_settings(self.folder, changes)
        found = load_settings(path, PROGRAM_SECTIONS).unwrap_err()
        for line in str(found).splitlines():
            self.assertTrue(line.startswith(f"{path}: "), line)
        return sorted(found.problems)

    def test_valid_file_gives_typed_values_and_defaults(self) -> None:
        settings = self.load({"entry": {"require_api_key": "true"}})
        self.assertEqual(settings.entry.port, 8080)
        self.assertIs(settings.entry.require_api_key, True)
        self.assertEqual(settings.batch.copies, 3)

    def test_section_that_is_not_needed_may_be_absent(self) -> None:
        path = write_settings(self.folder, {"store": None})
        self.assertIsNone(load_settings(path, ("entry",)).unwrap().store)

    def test_all_problems_are_named_with_section_key_and_value(self) -> None:
        changes = {
            "vm": {"vm_id": "", "host": "sala.example", "zone": "a"},
            "platform": {"kv_addresses": "127.0.0.1:2379,nowhere", "vm_list_address": None},
            "entry": {"port": "70000", "require_api_key": "maybe"},
            "agent": {"probe_interval_ms": "soon"},
            "batch": {"copies": "2", "min_copies": "3"},
            "store": None,
            "stores": {"port": "1"},
        }
        expected = [
            "[agent] probe_interval_ms = soon: expected `int`, got `str`",
            "[batch] min_copies = 3: more than copies = 2",
            "[entry] port = 70000: expected `int` <= 65535",
            "[entry] require_api_key = maybe: expected `bool`, got `str`",
            "[platform] kv_addresses = 127.0.0.1:2379,nowhere: "
            "not an IP number and port: 'nowhere'",
            "[platform] vm_list_address: missing",
            "[store]: missing section",
            "[stores]: unknown section",
            "[vm] host = sala.example: not an IP number",
            "[vm] vm_id = : expected `str` of length >= 1",
            "[vm] zone = a: unknown key",
        ]
        self.assertEqual(self.problems(changes), expected)

    def test_each_pair_of_ordered_values_is_checked(self) -> None:
        for section, smaller, larger in (
            ("batch", "group_min_items", "group_items"),
            ("batch", "group_age_ms", "group_max_age_ms"),
            ("batch", "retry_backoff_ms", "max_retry_backoff_ms"),
            ("store", "record_retention_s", "segment_retention_s"),
            ("permits", "start_limit", "max_limit"),
            ("orders", "loads_per_model", "load_slots"),
        ):
            self.load({section: {smaller: "7", larger: "7"}})
            found = self.problems({section: {smaller: "8", larger: "7"}})
            self.assertEqual(found, [f"[{section}] {smaller} = 8: more than {larger} = 7"])

    def test_two_programs_on_one_port_are_refused(self) -> None:
        found = self.problems({"batch": {"port": "7003"}})
        self.assertEqual(found, ["[store] port = 7003: also the port of [batch]"])

    def test_free_ports_do_not_clash(self) -> None:
        settings = self.load({"batch": {"port": "0"}, "store": {"port": "0"}})
        self.assertEqual((settings.batch.port, settings.store.port), (0, 0))

    def test_more_than_one_vm_list_is_refused(self) -> None:
        text = "127.0.0.1:1,127.0.0.1:2"
        found = self.problems({"platform": {"vm_list_address": text}})
        self.assertEqual(found, [f"[platform] vm_list_address = {text}: more than 1 address"])

    def test_unreadable_files_are_one_problem_each(self) -> None:
        missing = load_settings(self.folder / "none.ini", ()).unwrap_err()
        self.assertIn("cannot be read", str(missing))
        for number, text in enumerate(("port = 1\n", "[vm]\nhost = 1\nhost = 2\n", "[vm]\n????\n")):
            path = self.folder / f"{number}.ini"
            path.write_text(text, encoding="utf-8")
            found = load_settings(path, ()).unwrap_err()
            self.assertEqual(len(found.problems), 1, text)
            self.assertNotIn("\n", found.problems[0])


if __name__ == "__main__":
    unittest.main()
