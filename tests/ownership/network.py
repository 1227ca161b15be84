"""A network that delays, drops, duplicates and reorders messages."""

from collections.abc import Callable
from dataclasses import dataclass

VMS = ('a', 'b', 'c', 'd', 'e')


@dataclass(frozen=True, slots=True)
class Message:
    """A message in transit from one VM to another.

    `deliver` runs what the target does on receipt.
    """

    source: str
    target: str
    deliver: Callable[[], None]


class Network:
    """Holds the messages in transit between the VMs.

    A link is a pair of a sending and a receiving VM.  Messages on a held link
    wait until the link is healed, and messages to a VM in `paused` wait until
    it is resumed.  Those on a silent link are lost for good.
    """

    def __init__(self) -> None:
        self._held_links: set[tuple[str, str]] = set()
        self._silent_links: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self._copies = 1
        self._is_reversed = False
        self._messages: list[Message] = []

    @property
    def is_faulty(self) -> bool:
        """Return whether a VM is paused or a link is held or silent."""
        return bool(self.paused or self._held_links or self._silent_links)

    def send(self, message: Message) -> None:
        """Add a message to those in transit, or lose it."""
        if not self._is_silent(message):
            self._messages.append(message)

    def deliver_ready(self) -> None:
        """Deliver the messages that can be delivered, then their answers."""
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
        """Hold both links between a VM and another VM, or 'all'."""
        self.cut_from(vm, other)
        self.cut_to(vm, other)

    def cut_from(self, vm: str, other: str) -> None:
        """Hold the links from a VM to another VM, or 'all'."""
        others = VMS if other == 'all' else (other,)
        self._held_links.update((vm, each) for each in others if each != vm)

    def cut_to(self, vm: str, other: str) -> None:
        """Hold the links to a VM from another VM, or 'all'."""
        others = VMS if other == 'all' else (other,)
        self._held_links.update((each, vm) for each in others if each != vm)

    def heal(self, vm: str) -> None:
        """Release all links from and to a VM."""
        self._held_links = {pair for pair in self._held_links if vm not in pair}

    def heal_to(self, vm: str) -> None:
        """Release all links to a VM."""
        self._held_links = {pair for pair in self._held_links if pair[1] != vm}

    def drop_held(self) -> None:
        """Drop all messages on held links."""
        self._messages = [
            each for each in self._messages if not self._is_held(each)
        ]

    def silence(self, source: str, target: str) -> None:
        """Lose all messages from one VM to another, also those in transit."""
        self._silent_links.add((source, target))
        self._messages = [
            each for each in self._messages if not self._is_silent(each)
        ]

    def end_silence(self) -> None:
        """Let all links carry messages again."""
        self._silent_links.clear()

    def set_delivery(self, copies: str, order: str) -> None:
        """Set how messages are delivered from now on.

        `copies` is 'once' or 'doubled', `order` 'in-order' or 'reversed'.
        """
        self._copies = 2 if copies == 'doubled' else 1
        self._is_reversed = order == 'reversed'

    def _is_silent(self, message: Message) -> bool:
        return (message.source, message.target) in self._silent_links

    def _is_held(self, message: Message) -> bool:
        return (message.source, message.target) in self._held_links

    def _can_be_delivered(self, message: Message) -> bool:
        return message.target not in self.paused and not self._is_held(message)
