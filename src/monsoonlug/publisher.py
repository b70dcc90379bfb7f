"""The control leader's streams to entries, and its soft state.

An entry's beat is answered only after a majority has confirmed the leader since its
receipt, so an answer proves that the entry's view was in force at that moment.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from monsoonlug import messages
from monsoonlug.actions import ReadIndexConfirmed, Role, RoleChanged
from monsoonlug.exceptions import NotLeader
from monsoonlug.fleet import FleetView
from monsoonlug.fleet_messages import (
    EntryAnswer,
    EntryBeat,
    FleetDelta,
    HostsPush,
    KeyStatus,
    KeyStatusPush,
    RateAsk,
    RateGrant,
    StatePush,
)
from monsoonlug.ids import HostId, PoolId, ServerId, WorkspaceId
from monsoonlug.items import Item
from monsoonlug.logs import get_logger
from monsoonlug.messages import Redirect
from monsoonlug.rates import RateAuthority, list_limits
from monsoonlug.registrar import Registrar
from monsoonlug.subscribers import Subscriber, SubscriberStreams

KEPT_DELTAS = 500
MAX_UNSENT = 4 * 1_048_576  # bytes that may wait for a slow entry
VIEW_PART = 262_144  # bytes of one `StatePush`
HOST_TIMEOUT = 1.6  # seconds without a beat after which an entry is not listed
READY_DELAY = 0.050  # seconds for which word of keys that are served is collected
GRANT_AGE = 0.3  # seconds since a confirmed round, above which no token is granted
HOSTS_DELAY = 0.6  # seconds after an election in which entries report themselves

logger = get_logger("control")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Host:
    beat: EntryBeat
    heard_at: float


class Publisher(SubscriberStreams):
    """Serves the entries as long as this replica leads.

    Args:
        clock: Steady clock, in seconds.
        period: Seconds between two heartbeats of a backend server.
    """

    def __init__(self, *, clock: Callable[[], float], period: float):
        super().__init__(clock=clock, max_unsent=MAX_UNSENT)
        self.registrar: Registrar | None = None
        self._authority: RateAuthority | None = None
        self._period = period
        self._ready: list[KeyStatus] = []
        self._deltas: deque[FleetDelta] = deque(maxlen=KEPT_DELTAS)
        self._hosts: dict[HostId, _Host] = {}
        self._listed: list[list[str]] = []
        self._led_since = 0.0

    def decide(self) -> None:
        """Proposes what the registrar decides now, and lists the live entries."""
        if self.registrar is None or not self.group.is_leader:
            return
        now = self._clock()
        commands = list(self.registrar.decide(now))
        if commands:
            try:
                self.group.propose_all(commands)
            except NotLeader:
                # The replica steps down inside the call if its quorum was silent.
                return
        self._list_hosts(now)
        self.send_notices()

    def send_notices(self) -> None:
        """Sends what the registrar has to tell all entries.

        Word of keys that are served again is collected for a moment, as it comes with
        most heartbeats and each message costs every entry the same.
        """
        if self.registrar is None:
            return
        urgent = []
        for notice in self.registrar.take_notices():
            if not isinstance(notice, KeyStatus) or not notice.ready:
                urgent.append(notice)
                continue
            if not self._ready:
                loop = asyncio.get_running_loop()
                loop.call_later(READY_DELAY, self._send_ready)
            self._ready.append(notice)
        self._send_notices(urgent)

    def _send_ready(self) -> None:
        ready, self._ready = self._ready, []
        self._send_notices(ready)

    def _send_notices(self, notices: list[object]) -> None:
        for notice in _join_status(notices):
            self._send_all(notice)

    def change_role(self, change: RoleChanged) -> None:
        """Takes the replica's new role."""
        self.rounds.reset()
        self.registrar = None
        self._authority = None
        self._hosts = {}
        self._listed = []
        self._ready = []
        for subscriber in self._subscribers:
            subscriber.sent = None
            subscriber.hosts_sent = False
        if change.role is Role.LEADER:
            self.rounds.begin_round(self._clock())

    def confirm(self, confirmed: ReadIndexConfirmed) -> None:
        """Answers what came before a round began.

        With the first round of a term, everything that was committed before is applied.
        """
        if self.registrar is None:
            now = self._clock()
            view = self._view
            self._led_since = now
            self.registrar = Registrar(now=now, view=view, period=self._period)
            self._authority = RateAuthority(now=now)
            self._authority.configure(now, list_limits(view.items))
            logger.info(
                "Leads term {} at revision {} with {} servers.",
                self.group.replica.term,
                view.revision,
                len(view.servers),
            )
        self.rounds.confirm(confirmed.round_id)

    def take_applied(self, command: object, delta: FleetDelta | None) -> None:
        """Takes a committed command and sends its change to the entries."""
        if delta is None:
            return
        self._deltas.append(delta)
        if self.registrar is not None:
            changes = [messages.decode(change) for change in delta.changes]
            self.registrar.note_committed(self._clock(), changes)
            if any(isinstance(change, Item) for change in changes):
                self._authority.configure(self._clock(), list_limits(self._view.items))
        self._send_delta(delta.base, delta.revision, delta)

    def take_restored(self) -> None:
        """Takes that the state was replaced as a whole."""
        self._deltas.clear()
        for subscriber in self._subscribers:
            subscriber.sent = None

    @property
    def _view(self) -> FleetView:
        return self.group.state.view

    def _receive(self, subscriber: Subscriber, message: object) -> None:
        if not self.group.is_leader or self.registrar is None:
            leader = self.group.replica.leader
            self._send(subscriber, Redirect(leader=leader))
            return
        match message:
            case EntryBeat():
                self._take_beat(subscriber, message)
            case RateAsk():
                # A leader that lost its majority would grant beside the next one.
                age = self._clock() - self.group.replica.confirmed_at()
                if age > GRANT_AGE:
                    return
                grant = self._grant(message.sequence, message.host, message.wanted)
                self._send(subscriber, grant)

    def _take_beat(self, subscriber: Subscriber, beat: EntryBeat) -> None:
        now = self._clock()
        self._hosts[HostId(beat.host)] = _Host(beat=beat, heard_at=now)
        self._authority.hear(now, HostId(beat.host))
        if beat.leaving:
            self._authority.forget(HostId(beat.host))
            self._list_hosts(now)
        for pool, key, count in beat.loads:
            self.registrar.take_load(PoolId(pool), key, count)
        for server, slowness, use in beat.servers:
            self.registrar.take_use(ServerId(server), slowness, use)
        # A view takes seconds on a small link. Beats meanwhile get no second one.
        if subscriber.sent is None:
            self._catch_up(subscriber, beat.revision)
        if not subscriber.hosts_sent and self._listed:
            self._send_hosts(subscriber)
        self.rounds.run_after_round(partial(self._answer, subscriber, beat))

    def _answer(self, subscriber: Subscriber, beat: EntryBeat) -> None:
        grant = self._grant(beat.sequence, beat.host, beat.wanted)
        answer = EntryAnswer(
            sequence=beat.sequence,
            term=self.group.replica.term,
            revision=self._view.revision,
            members=[m.replica_id for m in self.group.replica.members.members],
            tokens=grant.tokens,
            pauses=grant.pauses,
            shares=grant.shares,
        )
        self._send(subscriber, answer)

    def _grant(self, sequence: int, host: str, wanted: dict) -> RateGrant:
        now = self._clock()
        grant = RateGrant(
            sequence=sequence,
            term=self.group.replica.term,
            tokens={},
            pauses={},
            shares={},
        )
        for workspace, (urgent, spare, share) in wanted.items():
            result = self._authority.grant(
                now, HostId(host), WorkspaceId(workspace), urgent, spare, share
            )
            grant.tokens[workspace] = result.tokens
            grant.shares[workspace] = round(result.share, 3)
            if result.pause:
                grant.pauses[workspace] = round(result.pause, 3)
        return grant

    # Live entries.

    def _list_hosts(self, now: float) -> None:
        rows = []
        for host in sorted(self._hosts):
            item = self._hosts[host]
            if now - item.heard_at > HOST_TIMEOUT:
                del self._hosts[host]
                logger.info("Entry {} is silent.", host)
                continue
            if not item.beat.leaving:
                rows.append([host, item.beat.failure_domain, item.beat.stream])
        if rows == self._listed or now - self._led_since < HOSTS_DELAY:
            return
        self._listed = rows
        logger.info("Live entries are {}.", ", ".join(row[0] for row in rows))
        for subscriber in list(self._subscribers):
            self._send_hosts(subscriber)

    def _send_hosts(self, subscriber: Subscriber) -> None:
        subscriber.hosts_sent = True
        term = self.group.replica.term
        self._send(subscriber, HostsPush(term=term, rows=self._listed))

    # Views.

    def _catch_up(self, subscriber: Subscriber, revision: int) -> None:
        view = self._view
        missing = [item for item in self._deltas if item.base >= revision]
        is_known = bool(missing) and missing[0].base == revision
        if revision < 0 or (revision != view.revision and not is_known):
            data = view.pack()
            self._send_view(
                subscriber, view.revision, data, part=StatePush, size=VIEW_PART
            )
        elif revision != view.revision:
            for delta in missing:
                self._send(subscriber, delta)
        subscriber.sent = view.revision
        for status in _join_status(self.registrar.list_status(self._clock())):
            self._send(subscriber, status)


def _join_status(notices: list[object]) -> list[object]:
    """Returns notices with all `KeyStatus` in one message."""
    rows = []
    joined = []
    for notice in notices:
        if not isinstance(notice, KeyStatus):
            joined.append(notice)
            continue
        rows.append([notice.pool, notice.start, notice.end, notice.epoch, notice.ready])
    return [*joined, KeyStatusPush(rows=rows)] if rows else joined
