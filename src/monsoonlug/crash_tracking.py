"""Identifies requests that crash each backend server that runs them, and blocks them.

Entries report to control which requests were running when a server's process ended, and
which of these got a response later. Control decides and tells all entries. An entry
decides by itself, too, from its own requests, so that it needs no leader for that.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from monsoonlug.ids import Fingerprint, WorkspaceId

MAX_FINGERPRINT_BODY = 65_536  # bytes of the body that count
MAX_CRASHES = 2  # servers that a request may crash until it is blocked
SAME_CRASH_TIME = 0.5  # seconds within which losses at one gate are one crash
SUSPICION_TIME = 60.0  # seconds from a crash until it no longer counts
BLOCK_TIME = 60.0  # seconds of the first block of a request; each further one doubles
MAX_BLOCK_TIME = 960.0  # seconds
MAX_TRACKED = 1_000  # requests; beyond that, the oldest suspect is forgotten
REPORT_TIME = 1.3  # seconds for which a report is repeated; three heartbeats


class RequestState(Enum):
    """Whether a request may run."""

    SOUND = "sound"
    SUSPECT = "suspect"
    BLOCKED = "blocked"


class RequestDigest:
    """Computes the fingerprint of a request, which its repeats have in common.

    >>> digest = RequestDigest("w", "POST", "/a")
    >>> digest.add_body(b"x")
    >>> digest.fingerprint.startswith(digest.head)
    True
    """

    def __init__(self, workspace: WorkspaceId | None, method: str, target: str):
        text = "\0".join((workspace or "", method, target))
        self.head = xxhash.xxh3_64_hexdigest(text.encode())
        self._body = xxhash.xxh3_64()
        self._remaining = MAX_FINGERPRINT_BODY

    def add_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        part = data[: self._remaining]
        self._body.update(part)
        self._remaining -= len(part)

    @property
    def fingerprint(self) -> Fingerprint:
        """Fingerprint of the request with the body so far."""
        return Fingerprint(self.head + self._body.hexdigest())


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeReport:
    """Report of an entry on a suspect request.

    Attributes:
        gate: Gate of the server that ended; empty after a response.
        has_crashed: Whether the server ended; otherwise it sent a response.
        age: Seconds since then.
    """

    fingerprint: Fingerprint
    gate: str
    has_crashed: bool
    age: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestVerdict:
    """State of a request.

    Attributes:
        seconds: Time left of a block.
    """

    fingerprint: Fingerprint
    state: RequestState
    seconds: float = 0.0


@dataclass(slots=True, kw_only=True)
class _Suspect:
    """A request that was running when a server ended.

    Attributes:
        crashes: Numbers of the crashes.
        blocks: How often it was blocked.
        is_blocked: Whether the current crashes have blocked it.
        announced: State that was announced last.
    """

    last_crash_at: float
    crashes: set[int] = field(default_factory=set)
    blocks: int = 0
    is_blocked: bool = False
    blocked_until: float = 0.0
    announced: RequestState = RequestState.SOUND


class CrashTracker:
    """Counts the servers that ended while they ran a request, by fingerprint."""

    def __init__(self):
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._crashes: dict[int, tuple[str, float]] = {}
        self._next_crash = 0
        self._reports: list[tuple[Fingerprint, str, bool, float]] = []
        self._cleared: set[Fingerprint] = set()

    @property
    def is_idle(self) -> bool:
        """Whether no request is suspect or blocked."""
        return not self._suspects

    def count_blocked(self, now: float) -> int:
        """Returns the number of blocked requests."""
        return sum(self.find_block(now, name) > 0 for name in self._suspects)

    def find_block(self, now: float, fingerprint: Fingerprint) -> float:
        """Returns for how many more seconds a request is blocked; 0 if it may run."""
        suspect = self._suspects.get(fingerprint)
        return max(0.0, suspect.blocked_until - now) if suspect is not None else 0.0

    def tracks_head(self, head: str) -> bool:
        """Returns whether a tracked request differs from this head only in its body."""
        return any(name.startswith(head) for name in self._suspects)

    def record_crash(
        self, now: float, fingerprint: Fingerprint, gate: str, *, age: float = 0.0
    ) -> None:
        """Records that a server at a gate ended while it ran a request."""
        at = now - age
        if age > SUSPICION_TIME:
            return
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            self._make_room()
            suspect = self._suspects[fingerprint] = _Suspect(last_crash_at=at)
        suspect.crashes.add(self._identify_crash(gate, at))
        suspect.last_crash_at = max(suspect.last_crash_at, at)
        self._decide(now)

    def record_response(
        self, now: float, fingerprint: Fingerprint, *, age: float = 0.0
    ) -> None:
        """Records that a server sent a response to a request, and did not end."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.last_crash_at < now - age:
            self._clear(fingerprint)

    def report_crash(self, now: float, fingerprint: Fingerprint, gate: str) -> None:
        """Records a crash and keeps it for `list_reports`."""
        self._reports.append((fingerprint, gate, True, now))
        self.record_crash(now, fingerprint, gate)

    def report_response(self, now: float, fingerprint: Fingerprint) -> None:
        """Records the response to a suspect request and keeps it for `list_reports`."""
        if fingerprint in self._suspects:
            self._reports.append((fingerprint, "", False, now))
            self.record_response(now, fingerprint)

    def list_reports(self, now: float) -> list[OutcomeReport]:
        """Returns the reports of the last time, in order.

        Each is sent several times, as a heartbeat may be lost.
        """
        self._expire(now)
        self._cleared.clear()  # of no use to an entry
        self._reports = [row for row in self._reports if now - row[3] <= REPORT_TIME]
        return [
            OutcomeReport(
                fingerprint=fingerprint,
                gate=gate,
                has_crashed=has_crashed,
                age=now - at,
            )
            for fingerprint, gate, has_crashed, at in self._reports
        ]

    def apply_report(self, now: float, report: OutcomeReport) -> None:
        """Applies the report of an entry."""
        if report.has_crashed:
            self.record_crash(now, report.fingerprint, report.gate, age=report.age)
        else:
            self.record_response(now, report.fingerprint, age=report.age)

    def apply_verdict(self, now: float, verdict: RequestVerdict) -> None:
        """Applies the decision of control."""
        if verdict.state is RequestState.SOUND:
            self._suspects.pop(verdict.fingerprint, None)
            return
        suspect = self._suspects.get(verdict.fingerprint)
        if suspect is None:
            suspect = _Suspect(last_crash_at=now)
            self._suspects[verdict.fingerprint] = suspect
        suspect.blocked_until = now + verdict.seconds

    def take_verdicts(self, now: float) -> Iterator[RequestVerdict]:
        """Yields the states that changed since the last call."""
        self._expire(now)
        for fingerprint in self._cleared:
            yield RequestVerdict(fingerprint=fingerprint, state=RequestState.SOUND)
        self._cleared.clear()
        for verdict in self.list_verdicts(now):
            suspect = self._suspects[verdict.fingerprint]
            if suspect.announced is not verdict.state:
                suspect.announced = verdict.state
                yield verdict

    def list_verdicts(self, now: float) -> Iterator[RequestVerdict]:
        """Yields the states of all tracked requests."""
        for fingerprint in self._suspects:
            seconds = self.find_block(now, fingerprint)
            state = RequestState.BLOCKED if seconds > 0 else RequestState.SUSPECT
            yield RequestVerdict(fingerprint=fingerprint, state=state, seconds=seconds)

    def _identify_crash(self, gate: str, at: float) -> int:
        for number, (other, crashed_at) in self._crashes.items():
            if other == gate and abs(at - crashed_at) <= SAME_CRASH_TIME:
                return number
        self._next_crash += 1
        self._crashes[self._next_crash] = (gate, at)
        return self._next_crash

    def _decide(self, now: float) -> None:
        """Blocks requests with too many crashes.

        A request may have been running beside the one at fault. Crashes of a blocked
        request with more crashes therefore do not count against it.
        """
        order = sorted(self._suspects.values(), key=lambda item: -len(item.crashes))
        blocked: list[_Suspect] = []
        for suspect in order:
            unexplained = set(suspect.crashes)
            for other in blocked:
                if len(other.crashes) > len(suspect.crashes):
                    unexplained -= other.crashes
            earlier_blocks = suspect.blocks - suspect.is_blocked
            needed = 1 if earlier_blocks else MAX_CRASHES
            if len(unexplained) < needed:
                self._unblock(suspect)
                continue
            blocked.append(suspect)
            if not suspect.is_blocked:
                suspect.is_blocked = True
                block_time = min(BLOCK_TIME * 2**suspect.blocks, MAX_BLOCK_TIME)
                suspect.blocked_until = now + block_time
                suspect.blocks += 1

    def _unblock(self, suspect: _Suspect) -> None:
        if suspect.is_blocked:
            suspect.is_blocked = False
            suspect.blocked_until = 0.0
            suspect.blocks -= 1

    def _expire(self, now: float) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.is_blocked and now >= suspect.blocked_until:
                # Tried again; one more crash blocks it for longer.
                suspect.is_blocked = False
                suspect.crashes.clear()
                suspect.last_crash_at = now
            is_old = now - suspect.last_crash_at > SUSPICION_TIME * 2**suspect.blocks
            if is_old and now >= suspect.blocked_until:
                self._clear(fingerprint)
        for number, (_, at) in list(self._crashes.items()):
            if now - at <= SUSPICION_TIME:
                continue
            del self._crashes[number]
            for suspect in self._suspects.values():
                if not suspect.is_blocked:
                    suspect.crashes.discard(number)

    def _clear(self, fingerprint: Fingerprint) -> None:
        del self._suspects[fingerprint]
        self._cleared.add(fingerprint)
        # A crash that is reported again would make the request suspect again.
        self._reports = [
            row for row in self._reports if row[0] != fingerprint or not row[2]
        ]

    def _make_room(self) -> None:
        if len(self._suspects) >= MAX_TRACKED:
            oldest = min(
                self._suspects, key=lambda name: self._suspects[name].last_crash_at
            )
            self._clear(oldest)
