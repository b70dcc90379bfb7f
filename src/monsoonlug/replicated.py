"""What a control group replicates, as an abstract base class."""

from abc import ABC, abstractmethod


class ReplicatedState(ABC):
    """State that every replica builds from the same commands in the same order."""

    @abstractmethod
    def apply(self, index: int, command: object) -> tuple[object, object | None]:
        """Applies the command at a log index.

        Returns:
            The answer to whoever proposed it, and the change for subscribers or None.
        """

    @abstractmethod
    def pack(self) -> bytes:
        """Returns the whole state as bytes."""

    @classmethod
    @abstractmethod
    def unpack(cls, data: bytes) -> "ReplicatedState":
        """Returns the state that was packed.

        Raises:
            DamagedFrame: If the data are no state.
        """

    @staticmethod
    @abstractmethod
    def decode_command(data: bytes) -> object:
        """Returns the command in a log entry.

        Raises:
            DamagedFrame: If the entry holds no command.
        """
