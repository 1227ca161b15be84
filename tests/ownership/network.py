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
        self._held_links: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self._copies = 1
        self._is_reversed = False
        self._messages: list[Message] = []

    def send(self, message: Message) -> None:
        """Put a message under way."""
        self._messages.append(message)

    def deliver_ready(self) -> None:
        """Hand over what can arrive now, and what that gives rise to."""
        for _ in range(2):
            ready = [
                each for each in self._messages if self._can_be_delivered(each)
            ]
            if self._is_reversed:
                ready.reverse()
            self._messages = [
                each
                for each in self._messages
                if not self._can_be_delivered(each)
            ]
            for message in ready * self._copies:
                message.deliver()

    def cut(self, vm: str, other: str) -> None:
        """Hold what a VM sends to another (or to all), and the answers."""
        self.cut_from(vm, other)
        self.cut_to(vm, other)

    def cut_from(self, vm: str, other: str) -> None:
        """Hold what a VM sends."""
        others = VMS if other == 'all' else (other,)
        self._held_links.update((vm, each) for each in others if each != vm)

    def cut_to(self, vm: str, other: str) -> None:
        """Hold what is sent to a VM."""
        others = VMS if other == 'all' else (other,)
        self._held_links.update((each, vm) for each in others if each != vm)

    def heal(self, vm: str) -> None:
        """Release all that a VM sends and is sent."""
        self._held_links = {pair for pair in self._held_links if vm not in pair}

    def heal_to(self, vm: str) -> None:
        """Release what is sent to a VM."""
        self._held_links = {pair for pair in self._held_links if pair[1] != vm}

    def drop_held(self) -> None:
        """Lose all messages of held pairs."""
        self._messages = [
            each for each in self._messages if not self._is_held(each)
        ]

    def set_delivery(self, copies: str, order: str) -> None:
        """Say how often and in which order messages arrive from now on."""
        self._copies = 2 if copies == 'doubled' else 1
        self._is_reversed = order == 'reversed'

    def _is_held(self, message: Message) -> bool:
        return (message.source, message.target) in self._held_links

    def _can_be_delivered(self, message: Message) -> bool:
        return message.target not in self.paused and not self._is_held(message)
