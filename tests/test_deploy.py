"""What the platform builds and renders: no source runs from an old copy, settings are good."""

import importlib.util
import json
import os
import re
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path
from unittest import mock

from fescuedock.cli.main import run_words
from fescuedock.settings import NODE_SECTIONS, SPOOL_SECTIONS, load_settings

ROOT = Path(__file__).resolve().parent.parent
FIELDS = {
    "nodeName": "front-1",
    "ip": "10.1.0.10",
    "region": "caldas",
    "zone": "sala-1",
    "listen.front": "10.1.0.10:8161",
    "listen.ready": "10.1.0.10:8167",
    "listen.directory": "10.1.0.10:8164",
    "listen.control": "10.1.0.10:8166",
    "platform.address": "10.200.1.7:8169",
    "platform.valueBytes": "1048576",
    "seeds": "10.1.0.10:8166,10.2.0.40:8166",
    "bounds.graceS": "8",
    "bounds.cancelMs": "2500",
    "bounds.quotaSlack": "20",
    "bounds.quotaWindowS": "5",
    "bounds.quotaOver": "0.1",
    "internalPorts.0": "7720",
    "dataDir": "/data",
    "faultTolerance.machines": "2",
}

# Prints by which loader each module of ours came that the bundle should hold.
_LIST_LOADERS = """
import json, sys
from fescuedock.bundle import bundle_path, install_bundle
assert install_bundle(bundle_path("node"))
import fescuedock.node.main
own = [name for name in sys.modules if name.startswith("fescuedock.")]
own = [name for name in own if name != "fescuedock.bundle"]
print(json.dumps({name: type(sys.modules[name].__loader__).__name__ for name in own}))
"""


def build_module():
    spec = importlib.util.spec_from_file_location("deploy_build", ROOT / "deploy" / "build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def rendered(template: str, folder: str, fields: dict[str, str] = FIELDS) -> Path:
    """Render a template; a section is there only if its value is."""

    def section(found: re.Match) -> str:
        return found[2].replace("{{.}}", fields[found[1]]) if found[1] in fields else ""

    text = (ROOT / "deploy" / template).read_text(encoding="utf-8")
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.DOTALL)
    text = re.sub(r"\{\{([\w.]+)\}\}", lambda found: fields[found[1]], text)
    path = Path(folder) / template
    path.write_text(text, encoding="utf-8")
    return path


class BuildTest(unittest.TestCase):
    def test_a_changed_source_is_never_run_from_an_old_copy(self) -> None:
        build = build_module()
        with tempfile.TemporaryDirectory() as folder:
            package, target = Path(folder) / "pack", Path(folder) / "target"
            package.mkdir()
            for word in ("old", "new"):
                # The same size and nearly the same time, so only copying anew can tell them apart.
                (package / "part.py").write_text(f'WORD = "{word}"\n', encoding="utf-8")
                build.copy_package(package, target)
                cached = target / "pack" / "__pycache__"
                [bytecode] = cached.glob("part.*.pyc")
                spec = importlib.util.spec_from_file_location("part", bytecode)
                module = importlib.util.module_from_spec(spec)
                spec.loader.exec_module(module)
                self.assertEqual(module.WORD, word)

    def test_a_bundle_holds_all_that_a_program_imports_of_ours(self) -> None:
        build = build_module()
        with tempfile.TemporaryDirectory() as folder:
            target = Path(folder)
            build.copy_package(ROOT / "src" / "fescuedock", target)
            # The libraries come from this environment, and not from what is built.
            with mock.patch.dict(os.environ, {"PYTHONPATH": os.pathsep.join(sys.path)}):
                build.bundle_program("node", target)
                listed = subprocess.run(
                    [sys.executable, "-c", _LIST_LOADERS],
                    cwd=target,
                    capture_output=True,
                    check=True,
                    text=True,
                )
        loaders = json.loads(listed.stdout)
        self.assertGreater(len(loaders), 100)
        self.assertEqual(set(loaders.values()), {"BundleFinder"})

    def test_the_requirements_are_those_of_the_lock(self) -> None:
        locked = (ROOT / "requirements.lock").read_text(encoding="utf-8").splitlines()
        wanted = (ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8").splitlines()
        self.assertEqual([line for line in wanted if line not in locked], [])


class SettingsTemplateTest(unittest.TestCase):
    def test_the_node_s_rendered_settings_are_good(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = rendered("node.ini", folder)
            settings = load_settings(path, NODE_SECTIONS).unwrap()
            self.assertEqual(settings.node.front_address, "10.1.0.10:8161")
            self.assertEqual(settings.node.spool_losses, 2)
            self.assertEqual(settings.node.end_bound_ms, 2500)
            self.assertEqual(run_words(["check-settings", str(path)]), 0)

    def test_limits_are_by_buckets_with_the_slack_that_the_platform_names(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            node = load_settings(rendered("node.ini", folder, FIELDS), NODE_SECTIONS).unwrap().node
            self.assertEqual(node.quota_slack_calls, 20.0)
            self.assertEqual((node.quota_over_share, node.quota_bound_s), (0.1, 5.0))

    def test_a_platform_that_names_no_bound_of_ends_has_the_usual_one(self) -> None:
        fields = {name: value for name, value in FIELDS.items() if name != "bounds.cancelMs"}
        with tempfile.TemporaryDirectory() as folder:
            path = rendered("node.ini", folder, fields)
            settings = load_settings(path, NODE_SECTIONS).unwrap()
            self.assertEqual(settings.node.end_bound_ms, 3000)

    def test_bad_values_of_a_node_are_named(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = rendered("node.ini", folder)
            text = path.read_text(encoding="utf-8")
            path.write_text(text.replace("10.200.1.7:8169", "store:8169"), encoding="utf-8")
            problems = str(load_settings(path, NODE_SECTIONS).unwrap_err())
            self.assertIn("[node] store_address = store:8169", problems)

    def test_the_spool_s_rendered_settings_are_good(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = rendered("spool.ini", folder)
            self.assertTrue(load_settings(path, SPOOL_SECTIONS).is_ok())
            self.assertEqual(run_words(["check-settings", str(path)]), 0)

    def test_a_bad_address_of_a_spool_is_named(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = rendered("spool.ini", folder)
            text = path.read_text(encoding="utf-8")
            path.write_text(text.replace("10.200.1.7:8169", "store:8169"), encoding="utf-8")
            problems = str(load_settings(path, SPOOL_SECTIONS).unwrap_err())
            self.assertIn("[spool] store_address = store:8169", problems)

    def test_the_deploy_file_names_programs_and_templates_that_exist(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        for role in deploy["roles"].values():
            words = role["run"].split()
            starter, program = words[words.index("-m") + 1 :]
            for module in (starter, f"fescuedock.{program}.main"):
                self.assertIsNotNone(importlib.util.find_spec(module))
            self.assertIn(program, build_module().PROGRAMS)
            self.assertTrue((ROOT / role["template"]).exists())


if __name__ == "__main__":
    unittest.main()
