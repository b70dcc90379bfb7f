from dataclasses import dataclass, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from monsoonlug.exceptions import OutcomeUnknown
from monsoonlug.idempotency import RecordStore, ShardRole, Verdict, build_refusal
from monsoonlug.ids import Ran
from monsoonlug.messages import decode, encode
from monsoonlug.record_messages import RecordAck
from monsoonlug.records import MAX_STORED_BODY, RecordKey, StoredAnswer

HOSTS = ("a", "b", "c")
LINKS = [(one, other) for one in HOSTS for other in HOSTS if one != other]
KEYS = [RecordKey(workspace="w", key=name) for name in ("k1", "k2")]
LEASE = 1e9  # seconds
LARGE = MAX_STORED_BODY - 8  # bytes
ANSWER = StoredAnswer(status=201, headers=[["x", "y"]], body=b"done")


@dataclass(frozen=True, kw_only=True)
class Assignment:
    epoch: int
    previous: int
    primary: str
    backup: str


class ShardMachine(RuleBasedStateMachine):
    """Checks that each key runs at most once while hosts and assignments change.

    Hosts restart, connections break, and hosts learn of assignments late or never. A
    granted request may run long after the grant. The model counts every run.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.assignment = Assignment(epoch=1, previous=0, primary="a", backup="b")
        self.links = {}
        self.stores = {}
        self.started_at = {}
        self.leases = dict.fromkeys(HOSTS, LEASE)
        for host in HOSTS:
            self.start_host(host)
            self.started_at[host] = 0
        self.number = 0
        self.granted = []
        self.runs = dict.fromkeys(KEYS, 0)
        self.answers = {}
        self.refused = set()
        self.apply_assignment("a")
        self.apply_assignment("b")

    def start_host(self, host):
        self.stores[host] = RecordStore(shard=0)
        self.started_at[host] = self.assignment.epoch
        for link in LINKS:
            if host in link:
                self.links[link] = []

    def apply_assignment(self, host):
        assignment = self.assignment
        if assignment.epoch <= self.started_at[host]:
            return
        role = ShardRole.NONE
        if host == assignment.primary:
            role = ShardRole.PRIMARY
        elif host == assignment.backup:
            role = ShardRole.BACKUP
        for message in self.stores[host].assign(
            self.now,
            epoch=assignment.epoch,
            previous=assignment.previous,
            role=role,
            has_backup=bool(assignment.backup),
        ):
            self.links[host, assignment.backup].append(message)

    @rule(
        data=st.data(),
        key=st.sampled_from(KEYS),
        remaining=st.sampled_from([1.0, 5.0]),
        copies=st.integers(0, 2),
    )
    def ask(self, data, key, remaining, copies):
        primaries = [
            name
            for name in HOSTS
            if self.stores[name].role is ShardRole.PRIMARY
            and self.now < self.leases[name]
        ]
        host = data.draw(st.sampled_from(primaries or HOSTS))
        self.begin(host, key, remaining)
        self.deliver_rounds(copies)

    def deliver_rounds(self, rounds):
        for _ in range(rounds):
            for link in LINKS:
                self.deliver_link(link)

    def begin(self, host, key, remaining):
        self.number += 1
        name = f"r{self.number}"
        begin = self.stores[host].begin(
            self.now,
            lease_until=self.leases[host],
            key=key,
            request_id=name,
            fingerprint="f",
            remaining=remaining,
        )
        if begin.verdict is Verdict.FIRST:
            for other in HOSTS:
                if other != host:
                    self.links[host, other].append(begin.copy)
            return
        if begin.verdict is Verdict.REPEAT:
            assert begin.answer == self.answers[key]
        self.refused.add(name)

    @precondition(lambda self: any(self.links.values()))
    @rule(data=st.data())
    def deliver(self, data):
        busy = [link for link in LINKS if self.links[link]]
        self.deliver_link(data.draw(st.sampled_from(busy)))

    def deliver_link(self, link):
        source, target = link
        for message in self.links[source, target][:3]:
            self.links[source, target].remove(message)
            message = decode(encode(message))
            store = self.stores[target]
            if not isinstance(message, RecordAck):
                answer = store.receive(self.now, message)
                if answer is not None:
                    self.links[target, source].append(answer)
                continue
            grants = store.acknowledge(self.now, self.leases[target], message)
            assert not grants or store.role is ShardRole.PRIMARY
            assert not grants or self.now < self.leases[target]
            self.granted += grants

    @precondition(lambda self: self.granted)
    @rule(
        data=st.data(),
        ending=st.sampled_from(["answered", "lost", "not run", "entry lost"]),
        told=st.sampled_from(HOSTS),
    )
    def run_granted(self, data, ending, told):
        index = data.draw(st.integers(0, len(self.granted) - 1))
        grant = self.granted.pop(index)
        assert grant.request_id not in self.refused, "a refused request ran"
        ran, answer = Ran.NOT_RUN, None
        if ending != "not run":
            self.runs[grant.key] += 1
            ran = Ran.UNKNOWN
        if ending == "answered":
            ran = Ran.RAN
            answer = replace(ANSWER, body=grant.request_id.encode())
            self.answers[grant.key] = answer
        if ending == "entry lost":
            return
        copy = self.stores[told].finish(
            self.now, key=grant.key, request_id=grant.request_id, ran=ran, answer=answer
        )
        for other in HOSTS:
            if copy is not None and other != told:
                self.links[told, other].append(copy)

    @rule(link=st.sampled_from(LINKS), fault=st.sampled_from(["", "", "restart"]))
    def disturb(self, link, fault):
        """Restarts a process, or drops a connection with all its messages."""
        source, target = link
        if fault:
            self.start_host(source)
            return
        self.links[source, target] = []
        self.links[target, source] = []
        self.links[source, target] += self.stores[source].sync(self.now)

    @rule(
        kind=st.sampled_from(["takeover", "takeover", "new backup", "swap", "alone"]),
        lost=st.booleans(),
        told=st.sampled_from([(), ("a", "b"), ("b", "c"), HOSTS, HOSTS]),
        rounds=st.integers(0, 2),
    )
    def assign(self, kind, lost, told, rounds):
        """Assigns the shard to other hosts; a lost primary no longer has a lease."""
        assignment = self.assignment
        third = next(
            name
            for name in HOSTS
            if name not in (assignment.primary, assignment.backup)
        )
        primary, backup = {
            "takeover": (
                assignment.backup or third,
                third if assignment.backup else "",
            ),
            "new backup": (assignment.primary, third),
            "swap": (assignment.backup or third, assignment.primary),
            "alone": (third, ""),
        }[kind]
        if lost:
            self.leases[self.assignment.primary] = self.now
        self.assignment = Assignment(
            epoch=self.assignment.epoch + 1,
            previous=self.assignment.epoch,
            primary=primary,
            backup=backup,
        )
        for host in told:
            self.renew_lease(host)
        self.deliver_rounds(rounds)

    @rule(host=st.sampled_from(HOSTS))
    def learn_late(self, host):
        self.renew_lease(host)

    def renew_lease(self, host):
        self.leases[host] = LEASE
        self.apply_assignment(host)

    @rule(step=st.sampled_from([0.1, 0.1, 3.0]))
    def advance(self, step):
        self.now += step

    @invariant()
    def check_runs(self):
        assert max(self.runs.values()) <= 1, "a request ran twice"


TestShardMachine = ShardMachine.TestCase
TestShardMachine.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=400,
    stateful_step_count=40,
)


class ReplicatedShard:
    """A primary and its backup; messages between them are delivered at once."""

    def __init__(self, **fields):
        self.primary = RecordStore(shard=0, **fields)
        self.backup = RecordStore(shard=0, **fields)
        self.assign(self.backup, ShardRole.BACKUP)
        for message in self.assign(self.primary, ShardRole.PRIMARY):
            self.transfer(message)

    def assign(self, store, role, *, epoch=1, has_backup=True, now=0.0):
        return store.assign(
            now, epoch=epoch, previous=epoch - 1, role=role, has_backup=has_backup
        )

    def transfer(self, message, now=0.0, target=None):
        target = self.backup if target is None else target
        acknowledgement = target.receive(now, message)
        return (
            self.primary.acknowledge(now, LEASE, acknowledgement)
            if acknowledgement
            else []
        )

    def begin(self, name, now=0.0, *, store=None, fingerprint="f", request_id=None):
        store = self.primary if store is None else store
        return store.begin(
            now,
            lease_until=LEASE,
            key=RecordKey(workspace="w", key=name),
            request_id=request_id or f"r-{name}",
            fingerprint=fingerprint,
            remaining=1.0,
        )

    def run(self, name, now=0.0, *, ran=Ran.RAN, answer=ANSWER):
        begin = self.begin(name, now)
        assert begin.verdict is Verdict.FIRST
        assert len(self.transfer(begin.copy, now)) == 1
        key = RecordKey(workspace="w", key=name)
        copy = self.primary.finish(
            now, key=key, request_id=f"r-{name}", ran=ran, answer=answer
        )
        self.transfer(copy, now)

    def fill(self):
        """Stores more records than fit into one part of a full copy."""
        for number in range(6):
            self.run(f"b{number}", answer=replace(ANSWER, body=bytes(LARGE)))


def test_repeated_request_gets_the_stored_answer():
    """Guards against a second run, also after a failover to the backup."""
    shard = ReplicatedShard()
    shard.run("k")
    assert shard.begin("k").answer == ANSWER
    shard.assign(shard.backup, ShardRole.PRIMARY, epoch=2, has_backup=False)
    assert shard.begin("k", store=shard.backup).answer == ANSWER
    conflict = shard.begin("k", fingerprint="other")
    assert conflict.verdict is Verdict.CONFLICT
    assert build_refusal(conflict).ran is Ran.NOT_RUN


def test_request_waits_for_the_backup_and_the_lease():
    """Guards against a run that the backup has not recorded, or without a lease."""
    shard = ReplicatedShard()
    first = shard.begin("k")
    assert shard.begin("k", request_id="other").verdict is Verdict.IN_PROGRESS
    acknowledgement = shard.backup.receive(0.0, first.copy)
    assert shard.primary.acknowledge(0.5, 0.5, acknowledgement) == []
    assert shard.begin("k", 3.0).verdict is Verdict.UNKNOWN


def test_request_that_was_not_granted_may_ask_again():
    """Guards against a refusal of a repeated request because of its own record."""
    shard = ReplicatedShard()
    first = shard.begin("k")
    shard.backup.receive(0.0, first.copy)
    shard.assign(shard.backup, ShardRole.PRIMARY, epoch=2)
    again = shard.begin("k", store=shard.backup)
    assert again.verdict is Verdict.FIRST
    repeat = shard.begin("k", store=shard.backup, request_id="other")
    assert repeat.verdict is Verdict.IN_PROGRESS


def test_loss_of_both_gives_unknown_for_a_while():
    """Guards against a second run after primary and backup were lost."""
    fresh = RecordStore(shard=0)
    shard = ReplicatedShard()
    shard.assign(fresh, ShardRole.PRIMARY, epoch=2, now=10.0)
    begin = shard.begin("k", 609.9, store=fresh)
    assert begin.verdict is Verdict.UNKNOWN
    assert build_refusal(begin).ran is Ran.UNKNOWN
    assert shard.begin("k", 610.0, store=fresh).verdict is Verdict.FIRST


def test_shard_is_repaired_once_the_new_backup_holds_everything():
    """Guards against loss of records if the primary fails during a repair."""
    shard = ReplicatedShard()
    shard.fill()
    new = RecordStore(shard=0)
    shard.assign(new, ShardRole.BACKUP, epoch=2)
    parts = shard.assign(shard.primary, ShardRole.PRIMARY, epoch=2)
    assert len(parts) > 1
    for part in parts:
        assert not shard.primary.is_replicated
        shard.transfer(part, target=new)
    assert shard.primary.is_replicated
    shard.assign(new, ShardRole.PRIMARY, epoch=3)
    assert len(shard.begin("b0", store=new).answer.body) == LARGE


def test_incomplete_backup_answers_unknown():
    """Guards against a failover to a backup that holds only some records."""
    shard = ReplicatedShard()
    shard.run("k")
    new = RecordStore(shard=0)
    shard.assign(new, ShardRole.BACKUP, epoch=2)
    shard.assign(new, ShardRole.PRIMARY, epoch=3)
    assert shard.begin("k", store=new).verdict is Verdict.UNKNOWN


def test_backup_learns_how_long_keys_are_unknown():
    """Guards against a second run after both hosts and then the new primary fail."""
    shard = ReplicatedShard()
    primary, backup = RecordStore(shard=0), RecordStore(shard=0)
    shard.assign(backup, ShardRole.BACKUP, epoch=2)
    for part in shard.assign(primary, ShardRole.PRIMARY, epoch=2):
        backup.receive(0.0, part)
    shard.assign(backup, ShardRole.PRIMARY, epoch=3, now=1.0)
    assert shard.begin("k", 1.0, store=backup).verdict is Verdict.UNKNOWN
    assert shard.begin("k", 600.0, store=backup).verdict is Verdict.FIRST


def test_large_answer_is_recorded_without_its_body():
    """Guards against unbounded storage, and a second run if no answer is stored."""
    shard = ReplicatedShard()
    shard.run("k1", answer=replace(ANSWER, body=bytes(MAX_STORED_BODY - 2)))
    assert shard.begin("k1").answer is not None
    shard.run("k2", answer=replace(ANSWER, body=bytes(MAX_STORED_BODY - 1)))
    begin = shard.begin("k2")
    assert begin.verdict is Verdict.REPEAT and begin.answer is None
    refusal = build_refusal(begin)
    assert refusal.error is OutcomeUnknown and refusal.ran is Ran.RAN


def test_backup_that_missed_an_assignment_answers_unknown():
    """Guards against a failover to records older than those of the last backup."""
    shard = ReplicatedShard()
    shard.assign(shard.backup, ShardRole.PRIMARY, epoch=3)
    assert shard.begin("k", store=shard.backup).verdict is Verdict.UNKNOWN


def test_primary_without_a_lease_takes_no_request():
    """Guards against decisions of a primary after another one was assigned."""
    begin = ReplicatedShard().begin("k", LEASE)
    assert begin.verdict is Verdict.UNAVAILABLE


def test_abandoned_request_is_not_granted():
    """Guards against a run after the entry reported the outcome."""
    shard = ReplicatedShard()
    copy = shard.begin("k").copy
    key = RecordKey(workspace="w", key="k")
    shard.primary.finish(0.0, key=key, request_id="r-k", ran=Ran.UNKNOWN)
    assert shard.transfer(copy) == []


def test_only_the_acknowledgement_of_the_record_grants():
    """Guards against a grant by the acknowledgement of another message."""
    shard = ReplicatedShard()
    sequence = shard.begin("k").copy.sequence
    for epoch, number in [(1, sequence - 1), (0, sequence), (1, sequence + 1)]:
        message = RecordAck(shard=0, epoch=epoch, sequence=number)
        assert shard.primary.acknowledge(0.0, LEASE, message) == []
    message = RecordAck(shard=0, epoch=1, sequence=sequence)
    assert len(shard.primary.acknowledge(0.0, LEASE, message)) == 1


def test_backup_accepts_messages_only_in_order():
    """Guards against an acknowledgement that covers lost records."""
    shard = ReplicatedShard()
    first, second = shard.begin("k1").copy, shard.begin("k2").copy
    assert shard.transfer(second) == []
    assert shard.transfer(replace(first, epoch=2)) == []
    new = RecordStore(shard=0)
    shard.assign(new, ShardRole.BACKUP)
    assert new.receive(0.0, replace(first, sequence=1)) is None
    shard.transfer(first)
    shard.transfer(second)
    shard.fill()
    parts = shard.primary.sync(0.0)
    assert new.receive(0.0, parts[0]) is not None
    assert new.receive(0.0, replace(parts[-1], sequence=99)) is None
    early = replace(first, sequence=parts[0].sequence + 1)
    assert new.receive(0.0, early) is None
    assert not new.is_complete


def test_request_in_a_new_copy_waits_for_its_last_part():
    """Guards against a grant while the new backup holds only some records."""
    shard = ReplicatedShard()
    shard.fill()
    shard.begin("k")
    parts = shard.primary.sync(0.0)
    for part in parts[:-1]:
        assert shard.transfer(part) == []
    assert len(shard.transfer(parts[-1])) == 1


def test_outcome_of_another_request_is_ignored():
    """Guards against a key that becomes usable while its request still runs."""
    shard = ReplicatedShard()
    shard.begin("k")
    key = RecordKey(workspace="w", key="k")
    copy = shard.primary.finish(0.0, key=key, request_id="other", ran=Ran.NOT_RUN)
    assert copy is None
    assert shard.begin("k", request_id="third").verdict is Verdict.IN_PROGRESS


def test_request_is_not_granted_after_the_primary_role_was_lost():
    """Guards against a grant of a request that another primary granted meanwhile.

    The primary becomes the backup and then the primary again.
    """
    shard = ReplicatedShard()
    shard.begin("k")
    shard.assign(shard.primary, ShardRole.BACKUP, epoch=2)
    shard.assign(shard.backup, ShardRole.BACKUP, epoch=3)
    for part in shard.assign(shard.primary, ShardRole.PRIMARY, epoch=3):
        assert shard.transfer(part) == []


def test_full_store_refuses_new_keys_and_keeps_its_records():
    """Guards against records that are evicted before they expire."""
    shard = ReplicatedShard(max_records=2)
    shard.run("k1")
    shard.run("k2")
    refusal = build_refusal(shard.begin("k3"))
    assert refusal.ran is Ran.NOT_RUN and refusal.retry_after > 0
    assert shard.begin("k1", 599.0).answer == ANSWER
    assert shard.begin("k3", 601.0).verdict is Verdict.FIRST


def test_request_that_did_not_run_frees_its_key():
    """Guards against "outcome unknown" for a key that never ran."""
    shard = ReplicatedShard()
    shard.run("k", ran=Ran.NOT_RUN, answer=None)
    shard.run("k")
    assert shard.begin("k").answer == ANSWER
