"""Abstract base class of the state machines that a control group replicates."""

from abc import ABC, abstractmethod


class StateMachine(ABC):
    """Deterministic state: equal commands in equal order give equal state."""

    @abstractmethod
    def apply(self, index: int, command: object) -> tuple[object, object | None]:
        """Applies the command at a log index.

        Returns:
            The result for the proposer, and the delta for subscribers or None.
        """

    @abstractmethod
    def pack(self) -> bytes:
        """Serializes the whole state."""

    @classmethod
    @abstractmethod
    def unpack(cls, data: bytes) -> "StateMachine":
        """Returns the state that `pack` serialized.

        Raises:
            DamagedFrame: If the data are not a serialized state.
        """

    @staticmethod
    @abstractmethod
    def decode_command(data: bytes) -> object:
        """Returns the command in a log entry.

        Raises:
            DamagedFrame: If the data are not a command.
        """
