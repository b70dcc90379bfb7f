"""Builders of replicas, groups and messages for the consensus tests."""

import random

from bench.consensus_simulation import Simulation
from bench.memory_storage import Disk, MemoryStorage
from monsoonlug.actions import Apply, Role, Send
from monsoonlug.consensus import Replica
from monsoonlug.entry_log import EntryLog
from monsoonlug.journal import Entry, EntryKind
from monsoonlug.leadership import Leadership
from monsoonlug.membership import BoundMember, MemberRole, Members
from monsoonlug.peer_messages import (
    AppendRequest,
    AppendResponse,
    VoteResponse,
)


def make_group(seed=1, commands=0, **changes):
    """Returns a simulation with a leader, the leader and the other nodes."""
    simulation = Simulation(seed=seed, with_clients=False, **changes)
    leader = simulation.wait_for_leader()
    for _ in range(commands):
        simulation.propose(leader)
    simulation.run_for(0.2)
    others = [node for node in simulation.nodes.values() if node is not leader]
    return simulation, leader, others


def make_replica(storage, now=0.0, members=("a",)):
    return Replica(
        replica_id="a",
        members=list(members),
        storage=storage,
        random=random.Random(1),
        now=now,
    )


def make_follower():
    """Returns a replica with three entries of term 1, and its storage."""
    storage = MemoryStorage(disk=Disk(identity="folder of a"))
    replica = make_replica(storage, members=("a", "b", "c"))
    members = Members(members=tuple(make_member(n) for n in ("a", "b", "c")))
    rows = [[1, EntryKind.MEMBERS.value, members.pack()], [1, 1, b"1"], [1, 1, b"2"]]
    replica.receive(0.0, "b", make_append_request(entries=rows))
    return replica, storage


def make_member(name):
    return BoundMember(
        replica_id=name, identity=f"folder of {name}", role=MemberRole.VOTER
    )


def make_append_request(**changes):
    fields = {
        "term": 1,
        "sequence": 1,
        "previous_index": 0,
        "previous_term": 0,
        "commit": 0,
        "entries": [],
    }
    return AppendRequest(**(fields | changes))


def make_append_response(**changes):
    fields = {
        "term": 2,
        "identity": "folder of b",
        "request_term": 2,
        "sequence": 1,
        "accepted": True,
        "match_index": 1,
        "last_index": 1,
    }
    return AppendResponse(**(fields | changes))


def list_messages(actions, kind):
    found = []
    for action in actions:
        if isinstance(action, Send) and isinstance(action.message, kind):
            found.append(action.message)
    return found


def list_indexes(actions):
    return [action.index for action in actions if isinstance(action, Apply)]


def make_leadership():
    """Returns the leadership of replica a in term 2, with one entry of term 1."""
    log = EntryLog(storage=MemoryStorage(disk=Disk(identity="folder of a")))
    members = Members(members=tuple(make_member(n) for n in ("a", "b", "c")))
    first = Entry(index=1, term=1, kind=EntryKind.MEMBERS, data=members.pack())
    log.append([first])
    leadership = Leadership(replica_id="a", term=2, log=log, now=0.0)
    leadership.update_followers(0.0)
    log.append([Entry(index=2, term=2, kind=EntryKind.NOOP, data=b"")])
    return leadership


def make_new_leader():
    """Returns a leader in term 2 whose entries of term 1 are not committed yet."""
    replica, _ = make_follower()
    replica.tick(1.0)
    for pre_vote in (True, False):
        vote = VoteResponse(
            term=1,
            election_term=2,
            identity="folder of b",
            granted=True,
            pre_vote=pre_vote,
        )
        replica.receive(1.0, "b", vote)
    assert replica.role is Role.LEADER
    return replica
