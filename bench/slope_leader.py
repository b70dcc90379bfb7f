"""Processor time and bytes of the control leader's decisions and answers."""

import time
from collections.abc import Sequence

from bench.large_fleet import LargeFleet, name_host
from bench.series import Recorder, Series, measure_microseconds
from monsoonlug import messages
from monsoonlug.coordinator import DECIDE_INTERVAL, GATE_BALANCE_INTERVAL, Coordinator
from monsoonlug.messages import (
    Heartbeat,
    HeartbeatResponse,
    TokenRequest,
    TokenResponse,
)
from monsoonlug.peer_messages import AppendRequest, AppendResponse
from monsoonlug.quota import (
    Limit,
    TokenAuthority,
    unpack_demands,
    unpack_holdings,
)
from monsoonlug.sessions import SessionTable

LENGTH = 4  # bytes in front of each frame
MAX_SETTLING = 400  # ticks until the leader has nothing more to decide
WANTED_TOKENS = 40
BOOT = "0123456789abcdef"
SLICES_REPORTED = 64  # rows of each kind in one heartbeat of a second


class NeverSettled(Exception):
    """The leader kept deciding, so that an idle tick cannot be timed."""


def make_heartbeat(
    host: int, *, workspaces: int = 8, rows: int = 0, sequence: int = 1_000_000
) -> Heartbeat:
    """Returns a heartbeat of a host that is in use.

    Args:
        host: Number of the host.
        workspaces: Workspaces with tokens at the host.
        rows: Rows of hot slices, and as many of hot keys.
        sequence: Sequence number of the message.
    """
    return Heartbeat(
        sequence=sequence,
        host=name_host(host),
        failure_domain=f"domain-{host % 13:02}",
        stream=f"10.0.{host // 250}.{host % 250}:7001",
        announce=f"10.0.{host // 250}.{host % 250}:7002",
        boot=BOOT,
        revision=1_000_000,
        closed=sequence - 1,
        dropped_term=12,
        holdings=_make_pairs(workspaces, (1_000_000, WANTED_TOKENS)),
        wanted=_make_pairs(workspaces, (2, WANTED_TOKENS)),
        hot_slices=[["pool-0", 60_000, 100.5]] * rows,
        hot_keys=[["pool-0", 2**63 + 1, 100.5]] * rows,
        leaving=False,
    )


def _make_pairs(workspaces: int, pair: tuple[int, int]) -> dict:
    return {f"workspace-{number}": list(pair) for number in range(workspaces)}


def count_frame(message: object) -> int:
    """Returns the bytes of a message on a stream."""
    return LENGTH + len(messages.encode(message))


def measure_heartbeats(sizes: Sequence[int]) -> list[Series]:
    """Measures the bytes of heartbeats and asks against workspaces in use."""
    recorder = Recorder(section="heartbeat", variable="workspaces")
    for size in sizes:
        beat = make_heartbeat(0, workspaces=size)
        recorder.add(size, "request", "bytes", count_frame(beat))
        hot = make_heartbeat(0, workspaces=size, rows=SLICES_REPORTED)
        recorder.add(size, "hot_rows", "bytes", count_frame(hot) - count_frame(beat))
        granted = {name: WANTED_TOKENS for name in beat.wanted}
        answer = HeartbeatResponse(
            sequence=beat.sequence,
            term=12,
            commit_revision=beat.revision,
            tokens=granted,
            retry_after={},
        )
        recorder.add(size, "answer", "bytes", count_frame(answer))
        ask = TokenRequest(
            sequence=beat.sequence,
            host=beat.host,
            boot=beat.boot,
            closed=beat.closed,
            dropped_term=beat.dropped_term,
            holdings=beat.holdings,
            wanted=beat.wanted,
        )
        recorder.add(size, "ask", "bytes", count_frame(ask))
        reply = TokenResponse(
            sequence=beat.sequence, term=12, tokens=granted, retry_after={}
        )
        recorder.add(size, "ask_answer", "bytes", count_frame(reply))
    return recorder.list_series()


def measure_rounds(sizes: Sequence[int]) -> list[Series]:
    """Measures the bytes between leader and one follower against commands carried."""
    recorder = Recorder(section="round", variable="commands of 100 bytes")
    for size in sizes:
        request = AppendRequest(
            term=12,
            sequence=1_000_000,
            previous_index=1_000_000,
            previous_term=12,
            commit=1_000_000,
            entries=[[12, 1, bytes(100)]] * size,
        )
        recorder.add(size, "request", "bytes", count_frame(request))
        answer = AppendResponse(**_fill_answer())
        recorder.add(size, "answer", "bytes", count_frame(answer))
    return recorder.list_series()


def _fill_answer() -> dict:
    values = {}
    for name in AppendResponse.__slots__:
        hint = AppendResponse.__annotations__[name]
        values[name] = {bool: True, str: BOOT * 2}.get(hint, 1_000_000)
    return values


def measure_tokens(sizes: Sequence[int], *, repeat: int) -> list[Series]:
    """Measures the leader's time for a token ask against hosts that hold tokens."""
    recorder = Recorder(section="tokens", variable="hosts")
    for size in sizes:
        authority = TokenAuthority()
        authority.start_term(0.0, 1, [])
        limits = {
            f"workspace-{number}": Limit(rate=1e6, burst=1_000_000)
            for number in range(8)
        }
        authority.configure(0.0, limits)
        rounds = 0

        def ask_all(authority=authority, size=size):
            nonlocal rounds
            rounds += 1
            for host in range(size):
                _ask(authority, host, 1.0 + rounds * 0.1, rounds)

        ask_all()
        taken = measure_microseconds(ask_all, repeat=repeat) / size
        recorder.add(size, "ask", "us", taken)
    return recorder.list_series()


def _ask(authority: TokenAuthority, host: int, now: float, sequence: int) -> None:
    name = name_host(host)
    rows = {"workspace-0": [sequence * 8, 8], "workspace-1": [sequence * 8, 8]}
    wanted = {"workspace-0": [1, 8], "workspace-1": [1, 8]}
    authority.receive_report(
        now, name, BOOT, sequence, sequence - 1, 1, unpack_holdings(rows)
    )
    for workspace, demand in unpack_demands(wanted).items():
        authority.grant(now, name, BOOT, sequence, workspace, demand, now)


def measure_ticks(
    variable: str, sizes: Sequence[int], *, repeat: int, fixed: dict
) -> list[Series]:
    """Measures a tick of the coordinator with nothing to decide.

    One tick in 40 also looks for a better balance of gates; it counts apart.
    """
    recorder = Recorder(section=f"tick_by_{variable}", variable=variable)
    for size in sizes:
        arguments = fixed | {variable: size}
        leader = _Leader(fleet=LargeFleet(**arguments), hosts=arguments["hosts"])
        leader.settle()
        recorder.add(
            size, "idle", "us", measure_microseconds(leader.tick, repeat=repeat)
        )

        recorder.add_median(size, "balance", "us", leader.time_balancing(repeat))
        names = iter(range(10**9))

        def beat(leader=leader, count=arguments["hosts"], names=names):
            leader.coordinator.receive(
                leader.now, messages.decode(leader.beats[next(names) % count])
            )

        recorder.add(
            size, "heartbeat", "us", measure_microseconds(beat, repeat=5 * repeat)
        )
    return recorder.list_series()


class _Leader:
    """Coordinator and sessions of a leader that hears from all hosts."""

    def __init__(self, *, fleet: LargeFleet, hosts: int):
        self.now = 0.0
        self.fleet = fleet
        self.coordinator = Coordinator(now=self.now)
        self.sessions = SessionTable()
        self.sessions.begin(self.now, fleet.state.view.hosts.values())
        self.beats = [messages.encode(make_heartbeat(host)) for host in range(hosts)]

    def tick(self) -> int:
        """Runs one tick and returns the number of commands."""
        commands = self.coordinator.decide(self.now, self.fleet.state, self.sessions)
        for command in commands:
            self.fleet.state.apply(self.fleet.state.applied_index + 1, command)
            self.coordinator.mark_committed(command)
        return len(commands)

    def time_balancing(self, repeat: int) -> list[float]:
        """Returns the processor times, in seconds, of ticks that balance the gates."""
        times = []
        for _ in range(repeat):
            self.now += GATE_BALANCE_INTERVAL
            self._hear()
            begun = time.process_time()
            self.tick()
            times.append(time.process_time() - begun)
        return times

    def settle(self) -> None:
        """Ticks until nothing is left to decide."""
        quiet = 0
        for _ in range(MAX_SETTLING):
            self.now += DECIDE_INTERVAL
            self._hear()
            quiet = 0 if self.tick() else quiet + 1
            if quiet > 1 / DECIDE_INTERVAL:
                return
        raise NeverSettled(f"still deciding after {MAX_SETTLING} ticks")

    def _hear(self) -> None:
        for record in list(self.fleet.state.view.hosts.values()):
            self.sessions.renew(self.now, record.host, record.boot)
