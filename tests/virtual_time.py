"""An event loop in virtual time, which passes only while no task can run."""

import asyncio
import selectors


class _VirtualSelector(selectors.SelectSelector):
    """Advances the time of its loop in place of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("all tasks wait for ever")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose clock starts at 0."""

    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now


def run_in_virtual_time(coroutine):
    """Runs a coroutine to its end and returns its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
