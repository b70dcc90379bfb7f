from monsoonlug.fleet_messages import Ping
from monsoonlug.peerwatch import ANSWER_TIME, QUIET_TIME, PeerWatch


class Peers:
    def __init__(self):
        self.now = 0.0
        self.busy = []
        self.sent = []
        self.watch = PeerWatch(
            clock=lambda: self.now, list_busy=lambda: self.busy, send=self.send
        )

    def send(self, host, message):
        self.sent.append((host, message))
        return True

    def pass_time(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            self.watch.tick()


def test_paused_host_is_noticed():
    """Guards against requests that go to a paused gate until their deadlines."""
    peers = Peers()
    peers.watch.open("a")
    peers.busy = ["a"]
    peers.pass_time(QUIET_TIME + ANSWER_TIME + 0.2)
    assert isinstance(peers.sent[0][1], Ping)
    assert peers.watch.is_silent("a")
    peers.watch.hear("a")
    assert not peers.watch.is_silent("a")


def test_host_that_answers_is_not_silent():
    """Guards against a gate that is left because its servers are slow."""
    peers = Peers()
    peers.watch.open("a")
    peers.busy = ["a"]
    for _ in range(20):
        peers.pass_time(0.1)
        if peers.sent:
            peers.sent.clear()
            peers.watch.hear("a")
        assert not peers.watch.is_silent("a")


def test_idle_hosts_are_not_asked():
    """Guards against messages between all hosts while there is nothing to do."""
    peers = Peers()
    peers.watch.open("a")
    peers.pass_time(5.0)
    assert not peers.sent


def test_silent_host_is_asked_again():
    """Guards against a host that stays left out after it has come back."""
    peers = Peers()
    peers.watch.open("a")
    peers.busy = ["a"]
    peers.pass_time(1.0)
    assert peers.watch.is_silent("a")
    peers.busy = []
    peers.sent.clear()
    peers.pass_time(1.0)
    assert peers.sent
