"""Run the soak: ``python -m tests.soak --seeds=1-50 --seconds=15``; see docs/SOAK.md."""

import sys
from pathlib import Path

import msgspec

from fescuedock.cli.command_line import Command, ExitCode, run_command_line
from tests.soak.runs import SPOOLS, run_seed

_HELP = """\
python -m tests.soak: real node processes under faults, judged by what clients and upstreams see.

usage: python -m tests.soak [--seeds=FIRST-LAST] [--seconds=S] [--nodes=N] [--spools=N]
                            [--releases] [--restarts] [--origins [--alone]] [--folder=DIR]

With --releases upstreams of several software versions serve beside each other; with --restarts
upstreams also restart under their IDs at other versions, and their entries are late.
With --origins nodes are isolated while other services get a second version, and routes move between
services; with --alone beside no other faults.

Prints one JSON line for each seed.  Logs of a seed that broke a promise stay in DIR/seed-N.

exit codes: 0 all promises kept, 1 some broken, 2 bad usage
"""


def _soak(
    seeds: str = "1-3",
    seconds: int = 12,
    nodes: int = 4,
    spools: int = SPOOLS,
    folder: str = "soak-logs",
    releases: bool = False,
    restarts: bool = False,
    origins: bool = False,
    alone: bool = False,
) -> int:
    first, _, last = seeds.partition("-")
    if not first.isdigit() or not (last or first).isdigit():
        print(f"soak: not FIRST-LAST: {seeds!r}", file=sys.stderr)
        return ExitCode.USAGE
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        report = run_seed(
            seed,
            Path(folder),
            float(seconds),
            nodes,
            spools,
            releases=releases,
            restarts=restarts,
            origins=origins,
            alone=alone,
        )
        print(msgspec.json.encode(report).decode(), flush=True)
        broken += report.has_failed
    return ExitCode.FAILED if broken else ExitCode.OK


if __name__ == "__main__":
    sys.exit(run_command_line("soak", Command(_soak, _HELP), sys.argv[1:]))
