"""Raft leader election with pre-votes, for one replica."""

from dataclasses import dataclass, field

from monsoonlug.actions import Role
from monsoonlug.ids import ReplicaId
from monsoonlug.peer_messages import VoteRequest, VoteResponse
from monsoonlug.replica_state import ReplicaState

CAMPAIGN_RETRY_MIN = 0.030  # seconds
CAMPAIGN_RETRY_MAX = 0.150  # seconds


@dataclass(slots=True, kw_only=True)
class _Campaign:
    term: int
    pre_vote: bool
    granted: dict[ReplicaId, str] = field(default_factory=dict)


class Elections:
    """Requests votes and grants them.

    The first election of a group needs the votes of all members in the settings, and
    the group accepts only the identities that came with these votes. A replica that
    lost its data folder can therefore not bootstrap a second group while another
    member has a log, and its vote in the existing group does not count, because its
    identity is new.

    Args:
        state: State of the replica.
        members: Ids of the members in the settings.
        can_bootstrap: Whether members without a log may form a new group. If not, they
            only ask the leader of the existing group to admit them.
    """

    def __init__(
        self,
        *,
        state: ReplicaState,
        members: tuple[ReplicaId, ...],
        can_bootstrap: bool = True,
    ):
        self._can_bootstrap = can_bootstrap
        self._state = state
        self._initial_members = members
        self._campaign: _Campaign | None = None

    def start_pre_vote(self) -> None:
        """Starts a campaign with pre-vote requests, after the election timeout."""
        state = self._state
        state.election_due_at = state.now + state.random.uniform(
            CAMPAIGN_RETRY_MIN, CAMPAIGN_RETRY_MAX
        )
        state.follow(ReplicaId(""))
        # A replica without a log requests pre-votes even if it cannot win, as this is
        # how the leader learns its identity.
        if state.is_empty or (state.is_voter and not state.is_refused):
            self._request_votes(pre_vote=True, term=state.term + 1)

    def handle_vote_request(self, sender: ReplicaId, request: VoteRequest) -> None:
        """Responds to a vote request, after a granted vote is durable.

        Raises:
            SyncFailed: If the storage failed, which is fatal.
        """
        state = self._state
        granted = self._may_grant_vote(sender, request)
        if not request.pre_vote:
            self._record_vote(sender, request, granted)
        response = VoteResponse(
            term=state.term,
            election_term=request.term,
            identity=state.identity,
            granted=granted,
            pre_vote=request.pre_vote,
        )
        state.send(sender, response)

    def handle_vote_response(
        self, sender: ReplicaId, response: VoteResponse
    ) -> dict[ReplicaId, str] | None:
        """Counts a vote or pre-vote.

        Returns:
            The voters and their identities if the election is won.

        Raises:
            SyncFailed: If the storage failed, which is fatal.
        """
        state = self._state
        if state.leadership:
            return None
        if response.term > state.term and not response.granted:
            state.enter_term(response.term, vote="")
            return None
        campaign = self._campaign
        if campaign is None or not response.granted:
            return None
        is_pre_vote_open = campaign.pre_vote and campaign.term == state.term + 1
        is_election_open = not campaign.pre_vote and state.role is Role.CANDIDATE
        if not is_pre_vote_open and not is_election_open:
            return None
        if (response.election_term, response.pre_vote) != (
            campaign.term,
            campaign.pre_vote,
        ):
            return None
        is_voter = state.log.members.is_voter(sender, response.identity)
        if not state.is_empty and not is_voter:
            return None
        campaign.granted[sender] = response.identity
        return self.advance_campaign()

    def advance_campaign(self) -> dict[ReplicaId, str] | None:
        """Advances from the pre-vote to the election, or wins it, if the votes suffice.

        Returns:
            The voters and their identities if the election is won.

        Raises:
            SyncFailed: If the storage failed, which is fatal.
        """
        campaign = self._campaign
        if campaign is None or not self._has_won(campaign):
            return None
        if not campaign.pre_vote:
            self._campaign = None
            return campaign.granted
        state = self._state
        state.save_vote(state.term + 1, state.replica_id)
        state.set_role(Role.CANDIDATE, ReplicaId(""), is_new_term=True)
        self._request_votes(pre_vote=False, term=state.term)
        return self.advance_campaign()

    def set_contacts(self, contacts: tuple[ReplicaId, ...]) -> None:
        """Sets the replicas that a replica without a log asks for admission."""
        if not self._can_bootstrap:
            self._initial_members = contacts

    def cancel_campaign(self) -> None:
        """Ends the campaign, because there is a leader."""
        self._campaign = None

    def _request_votes(self, *, pre_vote: bool, term: int) -> None:
        state = self._state
        self._campaign = _Campaign(term=term, pre_vote=pre_vote)
        self._campaign.granted[state.replica_id] = state.identity
        request = VoteRequest(
            term=term,
            identity=state.identity,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre_vote=pre_vote,
        )
        voters = self._initial_members if state.is_empty else state.log.members.voters
        for voter in voters:
            if voter != state.replica_id:
                state.send(voter, request)

    def _has_won(self, campaign: _Campaign) -> bool:
        if self._state.is_empty:
            # Only replicas that may bootstrap the group bind identities by their votes.
            return self._can_bootstrap and set(campaign.granted) == set(
                self._initial_members
            )
        members = self._state.log.members
        counted = [name for name in campaign.granted if name in members.voters]
        return len(counted) >= members.quorum

    def _may_grant_vote(self, sender: ReplicaId, request: VoteRequest) -> bool:
        state = self._state
        if state.is_refused or state.has_live_leader() or request.term < state.term:
            return False
        if request.term == state.term and state.vote not in ("", sender):
            return False
        own = (state.log.last_term, state.log.last_index)
        return (request.last_term, request.last_index) >= own

    def _record_vote(
        self, sender: ReplicaId, request: VoteRequest, granted: bool
    ) -> None:
        state = self._state
        if granted:
            state.reset_election_timer()
        if request.term > state.term and not state.has_live_leader():
            state.enter_term(request.term, vote=sender if granted else "")
        elif granted and not state.vote:
            state.save_vote(state.term, sender)
