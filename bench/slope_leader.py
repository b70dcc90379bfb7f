"""Processor time and message sizes of the control leader's work."""

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

FRAME_HEADER_SIZE = 4  # bytes of the length prefix of a frame
MAX_SETTLE_TICKS = 400  # ticks after which the leader must have stopped deciding
TOKENS_PER_WORKSPACE = 40
BOOT = "0123456789abcdef"
HOT_ROWS = 64  # of slices, and as many of keys, in one heartbeat per second


class NotSettled(Exception):
    """The leader did not become idle, so that an idle tick cannot be timed."""


def make_heartbeat(
    host: int, *, workspaces: int = 8, rows: int = 0, sequence: int = 1_000_000
) -> Heartbeat:
    """Returns a heartbeat with numbers as large as those of a long-running host.

    Args:
        host: Number of the host.
        workspaces: Number of workspaces with tokens at the host.
        rows: Number of hot slices, and of hot keys.
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
        holdings=_make_pairs(workspaces, (1_000_000, TOKENS_PER_WORKSPACE)),
        wanted=_make_pairs(workspaces, (2, TOKENS_PER_WORKSPACE)),
        hot_slices=[["pool-0", 60_000, 100.5]] * rows,
        hot_keys=[["pool-0", 2**63 + 1, 100.5]] * rows,
        leaving=False,
    )


def _make_pairs(workspaces: int, pair: tuple[int, int]) -> dict:
    return {f"workspace-{number}": list(pair) for number in range(workspaces)}


def count_frame_bytes(message: object) -> int:
    """Returns the size of a message's frame on a stream."""
    return FRAME_HEADER_SIZE + len(messages.encode(message))


def measure_heartbeats(sizes: Sequence[int]) -> list[Series]:
    """Measures the size of heartbeats and token requests by workspaces in use."""
    recorder = Recorder(section="heartbeat", variable="workspaces")
    for size in sizes:
        heartbeat = make_heartbeat(0, workspaces=size)
        recorder.add(size, "request", "bytes", count_frame_bytes(heartbeat))
        hot = make_heartbeat(0, workspaces=size, rows=HOT_ROWS)
        recorder.add(
            size,
            "hot_rows",
            "bytes",
            count_frame_bytes(hot) - count_frame_bytes(heartbeat),
        )
        granted = {name: TOKENS_PER_WORKSPACE for name in heartbeat.wanted}
        answer = HeartbeatResponse(
            sequence=heartbeat.sequence,
            term=12,
            commit_revision=heartbeat.revision,
            tokens=granted,
            retry_after={},
        )
        recorder.add(size, "answer", "bytes", count_frame_bytes(answer))
        ask = TokenRequest(
            sequence=heartbeat.sequence,
            host=heartbeat.host,
            boot=heartbeat.boot,
            closed=heartbeat.closed,
            dropped_term=heartbeat.dropped_term,
            holdings=heartbeat.holdings,
            wanted=heartbeat.wanted,
        )
        recorder.add(size, "ask", "bytes", count_frame_bytes(ask))
        reply = TokenResponse(
            sequence=heartbeat.sequence, term=12, tokens=granted, retry_after={}
        )
        recorder.add(size, "ask_answer", "bytes", count_frame_bytes(reply))
    return recorder.list_series()


def measure_rounds(sizes: Sequence[int]) -> list[Series]:
    """Measures the size of the messages to and from a follower by commands."""
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
        recorder.add(size, "request", "bytes", count_frame_bytes(request))
        answer = AppendResponse(**_make_response_fields())
        recorder.add(size, "answer", "bytes", count_frame_bytes(answer))
    return recorder.list_series()


def _make_response_fields() -> dict:
    values = {}
    for name in AppendResponse.__slots__:
        hint = AppendResponse.__annotations__[name]
        values[name] = {bool: True, str: BOOT * 2}.get(hint, 1_000_000)
    return values


def measure_tokens(sizes: Sequence[int], *, repeat: int) -> list[Series]:
    """Measures the time of a token request by number of hosts with tokens."""
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

        def request_all(authority=authority, size=size):
            nonlocal rounds
            rounds += 1
            for host in range(size):
                _request_tokens(authority, host, 1.0 + rounds * 0.1, rounds)

        request_all()
        microseconds = measure_microseconds(request_all, repeat=repeat) / size
        recorder.add(size, "ask", "us", microseconds)
    return recorder.list_series()


def _request_tokens(
    authority: TokenAuthority, host: int, now: float, sequence: int
) -> None:
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
    """Measures ticks of an idle coordinator, and heartbeats, by a fleet argument.

    One tick in 40 also looks for a better balance of gates and is measured separately.

    Args:
        variable: Argument of `LargeFleet` that varies.
        sizes: Values of that argument.
        repeat: Number of timed ticks.
        fixed: Other arguments of `LargeFleet`.
    """
    recorder = Recorder(section=f"tick_by_{variable}", variable=variable)
    for size in sizes:
        arguments = fixed | {variable: size}
        leader = _Leader(fleet=LargeFleet(**arguments), hosts=arguments["hosts"])
        leader.settle()
        recorder.add(
            size, "idle", "us", measure_microseconds(leader.tick, repeat=repeat)
        )

        recorder.add_median(size, "balance", "us", leader.time_balance_ticks(repeat))
        names = iter(range(10**9))

        def receive_heartbeat(leader=leader, count=arguments["hosts"], names=names):
            leader.coordinator.receive(
                leader.now, messages.decode(leader.heartbeats[next(names) % count])
            )

        recorder.add(
            size,
            "heartbeat",
            "us",
            measure_microseconds(receive_heartbeat, repeat=5 * repeat),
        )
    return recorder.list_series()


class _Leader:
    """Coordinator and sessions of a leader to which all hosts are connected."""

    def __init__(self, *, fleet: LargeFleet, hosts: int):
        self.now = 0.0
        self.fleet = fleet
        self.coordinator = Coordinator(now=self.now)
        self.sessions = SessionTable()
        self.sessions.begin(self.now, fleet.state.view.hosts.values())
        self.heartbeats = [
            messages.encode(make_heartbeat(host)) for host in range(hosts)
        ]

    def tick(self) -> int:
        """Runs one tick, applies its commands and returns their number."""
        commands = self.coordinator.decide(self.now, self.fleet.state, self.sessions)
        for command in commands:
            self.fleet.state.apply(self.fleet.state.applied_index + 1, command)
            self.coordinator.mark_committed(command)
        return len(commands)

    def time_balance_ticks(self, repeat: int) -> list[float]:
        """Returns the processor times, in seconds, of ticks that balance the gates."""
        times = []
        for _ in range(repeat):
            self.now += GATE_BALANCE_INTERVAL
            self._renew_sessions()
            started_at = time.process_time()
            self.tick()
            times.append(time.process_time() - started_at)
        return times

    def settle(self) -> None:
        """Runs ticks until none has decided anything for one second.

        Raises:
            NotSettled: If the leader still decides after `MAX_SETTLE_TICKS` ticks.
        """
        idle_ticks = 0
        for _ in range(MAX_SETTLE_TICKS):
            self.now += DECIDE_INTERVAL
            self._renew_sessions()
            idle_ticks = 0 if self.tick() else idle_ticks + 1
            if idle_ticks > 1 / DECIDE_INTERVAL:
                return
        raise NotSettled(f"the leader still decides after {MAX_SETTLE_TICKS} ticks")

    def _renew_sessions(self) -> None:
        for record in list(self.fleet.state.view.hosts.values()):
            self.sessions.renew(self.now, record.host, record.boot)
