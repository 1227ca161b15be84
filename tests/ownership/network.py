"""A network that delays, loses, doubles and reorders messages."""

from collections.abc import Callable
from dataclasses import dataclass

VMS = ('a', 'b', 'c', 'd', 'e')


@dataclass(frozen=True, slots=True)
class Message:
    """A message under way between two VMs; `arrive` hands it over."""

    source: str
    target: str
    deliver: Callable[[], None]


class Network:
    """Messages under way.

    Those from and to a held pair of VMs wait until it is released.
    """

    def __init__(self) -> None:
        self.held: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self._copies = 1
        self.reversed = False
        self._messages: list[Message] = []

    def send(self, message: Message) -> None:
        """Put a message under way."""
        self._messages.append(message)

    def deliver(self) -> None:
        """Hand over what can arrive now, and what that gives rise to."""
        for _ in range(2):
            ready = [each for each in self._messages if self._can_arrive(each)]
            if self.reversed:
                ready.reverse()
            self._messages = [
                each for each in self._messages if not self._can_arrive(each)
            ]
            for message in ready * self._copies:
                message.deliver()

    def cut(self, one: str, other: str) -> None:
        """Hold what a VM sends to another (or to all), and the answers."""
        self.cut_from(one, other)
        self.cut_to(one, other)

    def cut_from(self, one: str, other: str) -> None:
        """Hold what a VM sends."""
        others = VMS if other == 'all' else (other,)
        self.held.update((one, each) for each in others if each != one)

    def cut_to(self, one: str, other: str) -> None:
        """Hold what is sent to a VM."""
        others = VMS if other == 'all' else (other,)
        self.held.update((each, one) for each in others if each != one)

    def heal(self, one: str) -> None:
        """Release all that a VM sends and is sent."""
        self.held = {pair for pair in self.held if one not in pair}

    def heal_to(self, one: str) -> None:
        """Release what is sent to a VM."""
        self.held = {pair for pair in self.held if pair[1] != one}

    def lose(self) -> None:
        """Lose all messages of held pairs."""
        self._messages = [
            each for each in self._messages if not self._cut(each)
        ]

    def disturb(self, copies: str, order: str) -> None:
        """Say how often and in which order messages arrive from now on."""
        self._copies = 2 if copies == 'doubled' else 1
        self.reversed = order == 'reversed'

    def _cut(self, message: Message) -> bool:
        return (message.source, message.target) in self.held

    def _can_arrive(self, message: Message) -> bool:
        return message.target not in self.paused and not self._cut(message)
