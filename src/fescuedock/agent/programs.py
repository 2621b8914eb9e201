"""The programs of this VM, known to its agent from their announcements every second."""

from collections.abc import Collection

import msgspec

from fescuedock.schema.membership import ProfileProgram, VmProfile
from fescuedock.schema.settings import VmSettings
from fescuedock.schema.view import Hello, Program

__all__ = ["LocalPrograms"]

_MAX_SILENCE_MS = 3500.0


class _Announcement(msgspec.Struct):
    hello: Hello
    at_ms: float


class LocalPrograms(msgspec.Struct):
    """Builds this VM's profile; a program without a recent announcement does not count."""

    settings: VmSettings
    agent_port: int
    _announced: dict[Program, _Announcement] = msgspec.field(default_factory=dict)

    def record_hello(self, hello: Hello, now_ms: float) -> None:
        """Record a program's announcement."""
        self._announced[hello.program] = _Announcement(hello, now_ms)

    def profile(
        self, now_ms: float, config_version: int, config_confirmed: bool, serving: bool
    ) -> VmProfile:
        """Return this VM's profile; an entry is not ready unless ``serving``."""
        hellos = {
            program: item.hello
            for program, item in self._announced.items()
            if now_ms - item.at_ms <= _MAX_SILENCE_MS
        }
        ready = [program for program, hello in hellos.items() if hello.ready]
        if not serving and Program.ENTRY in ready:
            ready.remove(Program.ENTRY)
        entry = hellos.get(Program.ENTRY)
        return VmProfile(
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            host=self.settings.host,
            agent_port=self.agent_port,
            entry_port=_port(hellos, Program.ENTRY),
            batch_port=_port(hellos, Program.BATCH),
            store_port=_port(hellos, Program.STORE),
            ready=_in_order([*ready, Program.AGENT]),
            entry_load=0 if entry is None else entry.in_flight.bit_length(),
            config_version=config_version,
            config_confirmed=config_confirmed,
        )


def _port(hellos: dict[Program, Hello], program: Program) -> int:
    return hellos[program].port if program in hellos else 0


def _in_order(ready: Collection[Program]) -> list[ProfileProgram]:
    return [item for item in ProfileProgram if item.value in {program.value for program in ready}]
