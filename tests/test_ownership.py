"""Tests that two backend servers never hold a key at the same time, in virtual time."""

import pytest

from tests.ownership_model import Disruptions, Model

SEEDS = range(8)


def play(seed, **disruptions):
    """Plays 40 s of disruptions, and 30 s in which all keys find an owner again."""
    model = Model(seed=seed)
    model.run(8.0)
    model.check_all_served()
    model.disturb(Disruptions(**disruptions), until=48.0)
    model.calm()
    model.check_all_served()


@pytest.mark.parametrize("seed", SEEDS)
def test_late_heartbeats_release_nothing_at_a_new_leader(seed):
    """Guards against a late heartbeat that takes keys from the server that holds them.

    The new leader does not know which heartbeats its predecessor has answered.
    """
    play(
        seed,
        late_share=0.02,
        late_release_share=0.5,
        leader_changes=0.2,
        domain_changes=2.0,
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_commits_assign_no_key_twice(seed):
    """Guards against decisions that do not know what is being committed.

    With a slow disk, a lease was renewed for keys whose reassignment was on its way,
    and keys were assigned to two servers one after the other.
    """
    play(
        seed,
        late_share=0.05,
        leader_changes=0.1,
        domain_changes=0.3,
        partitions=0.4,
        restarts=0.1,
        max_commit_delay=0.8,
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_service_that_is_put_back_gets_no_second_owners(seed):
    """Guards against new owners while leases of a dropped key table still run.

    The service is dropped, or is not routed by key for a while, and put back.
    """
    play(seed, service_changes=0.3, domain_changes=0.2, restarts=0.1)


@pytest.mark.parametrize("seed", SEEDS)
def test_new_leaders_know_the_leases_of_a_dropped_table(seed):
    """Guards against a leader that does not know who held the keys of a dropped table.

    Some leaders started from a snapshot that was taken after the drop.
    """
    play(
        seed,
        service_changes=0.3,
        leader_changes=0.3,
        snapshot_share=0.3,
        late_share=0.05,
        partitions=0.1,
        max_commit_delay=0.3,
    )
