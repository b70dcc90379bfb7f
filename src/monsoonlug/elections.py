"""Pre-votes, votes and candidacies of one replica."""

from dataclasses import dataclass, field

from monsoonlug.actions import Role
from monsoonlug.ids import ReplicaId
from monsoonlug.peer_messages import VoteAnswer, VoteRequest
from monsoonlug.replica_state import ReplicaState

CAMPAIGN_RETRY_MIN = 0.030  # seconds
CAMPAIGN_RETRY_MAX = 0.150  # seconds


@dataclass(slots=True, kw_only=True)
class _Campaign:
    term: int
    trial: bool
    granted: dict[ReplicaId, str] = field(default_factory=dict)


class Elections:
    """Asks for votes and grants them.

    The first election of a group needs the votes of all members of the settings, and
    the identities that came with these votes are the ones that the group knows. A
    wiped replica can therefore not start a new group while another member has a log,
    and its vote in the old group does not count, as its identity is new.

    Args:
        state: State of the replica.
        members: Ids of the members in the settings.
        may_found: Whether members without a log may form a new group. If not, they
            only ask the leader of the existing group to admit them.
    """

    def __init__(
        self,
        *,
        state: ReplicaState,
        members: tuple[ReplicaId, ...],
        may_found: bool = True,
    ):
        self._may_found = may_found
        self._state = state
        self._initial = members
        self._campaign: _Campaign | None = None

    def start_trial(self) -> None:
        """Asks for pre-votes after the election timeout."""
        state = self._state
        state.elect_at = state.now + state.random.uniform(
            CAMPAIGN_RETRY_MIN, CAMPAIGN_RETRY_MAX
        )
        state.follow(ReplicaId(""))
        # A replica without a log asks even if it cannot win, as this is how the leader
        # learns its identity.
        if state.is_empty or (state.is_voter and not state.is_refused):
            self._ask_votes(trial=True, term=state.term + 1)

    def take_request(self, sender: ReplicaId, request: VoteRequest) -> None:
        """Answers a request for a vote; a granted vote is durable before.

        Raises:
            SyncFailed: If the storage failed, which is fatal.
        """
        state = self._state
        granted = self._may_vote(sender, request)
        if not request.trial:
            self._note_vote(sender, request, granted)
        answer = VoteAnswer(
            term=state.term,
            election_term=request.term,
            identity=state.identity,
            granted=granted,
            trial=request.trial,
        )
        state.send(sender, answer)

    def take_answer(
        self, sender: ReplicaId, answer: VoteAnswer
    ) -> dict[ReplicaId, str] | None:
        """Counts a vote.

        Returns:
            The voters and their identities if the election is won.

        Raises:
            SyncFailed: If the storage failed, which is fatal.
        """
        state = self._state
        if state.leadership:
            return None
        if answer.term > state.term and not answer.granted:
            state.enter_term(answer.term, vote="")
            return None
        campaign = self._campaign
        if campaign is None or not answer.granted:
            return None
        is_trial_open = campaign.trial and campaign.term == state.term + 1
        is_election_open = not campaign.trial and state.role is Role.CANDIDATE
        if not is_trial_open and not is_election_open:
            return None
        if (answer.election_term, answer.trial) != (campaign.term, campaign.trial):
            return None
        is_voter = state.log.members.is_voter(sender, answer.identity)
        if not state.is_empty and not is_voter:
            return None
        campaign.granted[sender] = answer.identity
        return self.count_votes()

    def count_votes(self) -> dict[ReplicaId, str] | None:
        """Goes on with the election if the votes suffice.

        Returns:
            The voters and their identities if the election is won.

        Raises:
            SyncFailed: If the storage failed, which is fatal.
        """
        campaign = self._campaign
        if campaign is None or not self._has_won(campaign):
            return None
        if not campaign.trial:
            self._campaign = None
            return campaign.granted
        state = self._state
        state.save_vote(state.term + 1, state.replica_id)
        state.set_role(Role.CANDIDATE, ReplicaId(""), is_new_term=True)
        self._ask_votes(trial=False, term=state.term)
        return self.count_votes()

    def set_contacts(self, contacts: tuple[ReplicaId, ...]) -> None:
        """Names the replicas that a replica without a log asks to be admitted."""
        if not self._may_found:
            self._initial = contacts

    def drop(self) -> None:
        """Gives up a candidacy, as there is a leader."""
        self._campaign = None

    def _ask_votes(self, *, trial: bool, term: int) -> None:
        state = self._state
        self._campaign = _Campaign(term=term, trial=trial)
        self._campaign.granted[state.replica_id] = state.identity
        request = VoteRequest(
            term=term,
            identity=state.identity,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            trial=trial,
        )
        voters = self._initial if state.is_empty else state.log.members.voters
        for voter in voters:
            if voter != state.replica_id:
                state.send(voter, request)

    def _has_won(self, campaign: _Campaign) -> bool:
        if self._state.is_empty:
            # A replica that is not a founder could never be bound by these votes.
            return self._may_found and set(campaign.granted) == set(self._initial)
        members = self._state.log.members
        counted = [name for name in campaign.granted if name in members.voters]
        return len(counted) >= members.quorum

    def _may_vote(self, sender: ReplicaId, request: VoteRequest) -> bool:
        state = self._state
        if state.is_refused or state.hears_leader() or request.term < state.term:
            return False
        if request.term == state.term and state.vote not in ("", sender):
            return False
        own = (state.log.last_term, state.log.last_index)
        return (request.last_term, request.last_index) >= own

    def _note_vote(
        self, sender: ReplicaId, request: VoteRequest, granted: bool
    ) -> None:
        state = self._state
        if granted:
            state.put_off_election()
        if request.term > state.term and not state.hears_leader():
            state.enter_term(request.term, vote=sender if granted else "")
        elif granted and not state.vote:
            state.save_vote(state.term, sender)
