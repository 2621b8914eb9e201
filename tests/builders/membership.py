"""A simulated fleet: memberships joined by a loop that delays, drops or repeats datagrams."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from fescuedock.address import Address
from fescuedock.core.membership import Candidate, Membership, PeerVersion, Send
from fescuedock.net.codec import BadMessageError, Codec, Key
from fescuedock.schema import membership as schema
from fescuedock.schema.membership import ProfileProgram, VmProfile, VmUpdate
from fescuedock.schema.settings import AgentSettings
from fescuedock.schema.view import VmRecord, VmState

__all__ = ["CODEC", "Fleet", "Node", "profile_of", "vm_name"]

CODEC = Codec([schema], [Key("k1", b"0123456789abcdef")])
LIVE = (VmState.ALIVE, VmState.SUSPECT)
_STEP_MS = 10.0
# Longest sleep of the loop that runs membership.
MAX_SLEEP_MS = 100.0


def vm_name(number: int) -> str:
    return f"vm-{number:03d}"


def profile_of(number: int, domains: int = 3) -> VmProfile:
    """Return the profile of a VM with a ready entry, in one of ``domains`` failure domains."""
    host = f"10.0.{number // 250}.{number % 250 + 1}"
    ready = [ProfileProgram.ENTRY, ProfileProgram.AGENT]
    return VmProfile(
        "region", f"domain-{number % domains}", host, 7000, 8080, ready=ready, config_confirmed=True
    )


@dataclass(slots=True, eq=False)
class Node:
    """One simulated VM; while it is ``paused``, datagrams wait in its socket's buffer."""

    vm_id: str
    number: int
    membership: Membership
    due_ms: float
    paused: bool = False
    down: bool = False
    inbox: list[tuple[bytes, Address]] = field(default_factory=list)
    ticks: int = 0
    sent: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    versions: dict[str, int] = field(default_factory=dict)
    _live: set[str] = field(default_factory=set)
    _live_revision: int = -1

    def view(self) -> dict[str, VmRecord]:
        return {record.vm_id: record for record in self.membership.records()}

    def live(self) -> set[str]:
        if self._live_revision != self.membership.revision:
            self._live_revision = self.membership.revision
            self._live = {name for name, item in self.view().items() if item.state in LIVE}
        return self._live


class Fleet:
    """The simulation.

    ``loss`` and ``repeat`` are shares of the datagrams; ``reaches`` says whether one VM can send to
    another.
    """

    def __init__(
        self,
        size: int,
        *,
        domains: int = 3,
        seed: int = 1,
        health_aware: bool = True,
        **settings: float,
    ) -> None:
        self.rng = random.Random(seed)
        self.settings = AgentSettings(port=0, **settings)
        self.domains = domains
        self.now_ms = 1000.0
        self.loss = 0.0
        self.repeat = 0.0
        self.delay_ms = (0.2, 1.5)
        self.reaches: Callable[[Node, Node], bool] = lambda sender, receiver: True
        self.nodes: dict[str, Node] = {}
        self.listed: set[str] = set()
        self.recorded: list[tuple[bytes, Address, Address]] = []
        self._health_aware = health_aware
        self._by_address: dict[Address, Node] = {}
        self._in_flight: list[tuple[float, int, Address, bytes, Address]] = []
        self._order = itertools.count()
        for number in range(size):
            self.start(number, publish=False)
        self.publish_list()

    def start(self, number: int, *, listed: bool = True, publish: bool = True) -> Node:
        """Start a VM, or restart one that was stopped."""
        profile = profile_of(number, self.domains)
        name = vm_name(number)
        boot = int(self.now_ms)
        membership = Membership(
            self.settings,
            name,
            profile,
            boot,
            self.rng,
            self.now_ms,
            health_aware=self._health_aware,
        )
        node = Node(name, number, membership, self.now_ms + self.rng.uniform(0, 50))
        self.nodes[name] = node
        self._by_address[_address(profile)] = node
        if listed:
            self.listed.add(name)
        if publish:
            self.publish_list()
        return node

    def introduce_all(self) -> None:
        """Make every VM know all others, as in a fleet that has run for long.

        For large fleets, whose joining takes long to simulate.
        """
        updates = [node.membership._own_member().update() for node in self.running()]
        for node in self.running():
            for update in updates:
                if update.vm_id != node.vm_id:
                    self.learn_silently(node.vm_id, update)

    def learn_silently(self, vm_id: str, update: VmUpdate) -> None:
        """Apply ``update`` at one VM without spreading it by gossip."""
        self.nodes[vm_id].membership._apply_update(update, self.now_ms, spread=False)

    def publish_list(self) -> None:
        """Make every VM read the current VM list."""
        candidates = self.candidates()
        for node in self.running():
            node.membership.replace_list(candidates, self.now_ms)

    def candidates(self) -> list[Candidate]:
        return [
            Candidate(name, _address(profile_of(int(name.split("-")[1]), self.domains)))
            for name in sorted(self.listed)
        ]

    def kill(self, vm_id: str) -> None:
        """Stop a VM without an announcement; the VM list still has it."""
        self.nodes[vm_id].down = True

    def leave(self, vm_id: str) -> None:
        node = self.nodes[vm_id]
        self._perform(node, node.membership.leave(self.now_ms))

    def finish(self, vm_id: str) -> None:
        node = self.nodes[vm_id]
        self._perform(node, node.membership.finish(self.now_ms))
        node.down = True

    def pause(self, vm_id: str) -> None:
        self.nodes[vm_id].paused = True

    def wake(self, vm_id: str) -> None:
        """Resume a VM: its timers and buffered datagrams run in either order, as in a real loop."""
        node = self.nodes[vm_id]
        node.paused = False
        if self.rng.random() < 0.5:
            self._tick(node)
        for data, source in node.inbox:
            self._deliver(node, data, source)
        node.inbox.clear()

    def running(self) -> list[Node]:
        return [node for node in self.nodes.values() if not node.down]

    def run(self, duration_ms: float) -> None:
        """Advance the simulated time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += _STEP_MS
            self._step()

    def run_until(self, done: Callable[[], bool], limit_ms: float) -> float:
        """Return the time that passed until ``done``; infinity when ``limit_ms`` passed first."""
        start_ms = self.now_ms
        while not done():
            if self.now_ms - start_ms >= limit_ms:
                return float("inf")
            self.run(50)
        return self.now_ms - start_ms

    def inject(self, node: Node, data: bytes, source: Address) -> None:
        """Deliver bytes to a VM as a datagram from any address."""
        self._deliver(node, data, source)

    def agrees(self) -> bool:
        """Whether every running VM sees exactly the running VMs as live."""
        names = {node.vm_id for node in self.running()}
        return all(node.live() == names for node in self.running())

    def _step(self) -> None:
        while self._in_flight and self._in_flight[0][0] <= self.now_ms:
            _, _, target, data, source = heapq.heappop(self._in_flight)
            node = self._by_address.get(target)
            if node is None or node.down:
                continue
            if node.paused:
                node.inbox.append((data, source))
            else:
                self._deliver(node, data, source)
        for node in self.nodes.values():
            if node.due_ms <= self.now_ms and not node.paused and not node.down:
                self._tick(node)

    def _tick(self, node: Node) -> None:
        node.ticks += 1
        self._perform(node, node.membership.tick(self.now_ms))
        latest_ms = self.now_ms + MAX_SLEEP_MS
        node.due_ms = node.membership.schedule(self.now_ms, latest_ms)

    def _deliver(self, node: Node, data: bytes, source: Address) -> None:
        node.received_bytes += len(data)
        try:
            message = CODEC.decode(data)
        except BadMessageError:
            return
        self._perform(node, node.membership.receive(message, source, self.now_ms))
        node.due_ms = min(node.due_ms, node.membership.next_due_ms(self.now_ms))

    def _perform(self, node: Node, actions: Sequence[Send | PeerVersion]) -> None:
        for action in actions:
            if isinstance(action, PeerVersion):
                node.versions[action.vm_id] = action.config_version
                continue
            data = CODEC.encode(action.message)
            assert len(data) <= 1200, (len(data), action.message)
            node.sent += 1
            node.sent_bytes += len(data)
            self._transmit(node, action.address, data)

    def _transmit(self, sender: Node, target: Address, data: bytes) -> None:
        receiver = self._by_address.get(target)
        if receiver is None or not self.reaches(sender, receiver):
            return
        source = _address(profile_of(sender.number, self.domains))
        self.recorded = [*self.recorded[-200:], (data, source, target)]
        copies = 1 + (self.rng.random() < self.repeat)
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                at_ms = self.now_ms + self.rng.uniform(*self.delay_ms)
                item = (at_ms, next(self._order), target, data, source)
                heapq.heappush(self._in_flight, item)


def _address(profile: VmProfile) -> Address:
    return Address(profile.host, profile.agent_port)
