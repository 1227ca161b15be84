"""How long requests of each traffic class or route take at the worker."""

from collections.abc import Iterable

from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean

_HALF_LIFE_MS = 2_000
# Most times are below the mean and twice the mean deviation.
_USUAL_DEVIATIONS = 2
_MAX_CLASSES = 1_024


class _Times:
    """The mean of the times of one class, and their mean deviation from it."""

    def __init__(self, clock: Clock) -> None:
        self._mean = DecayingMean(_HALF_LIFE_MS, clock)
        self._deviation = DecayingMean(_HALF_LIFE_MS, clock)

    @property
    def mean(self) -> float:
        return self._mean.mean

    @property
    def deviation(self) -> float:
        return self._deviation.mean

    def add(self, time_ms: float) -> None:
        self._mean.add(time_ms)
        self._deviation.add(abs(time_ms - self.mean))


class ClassTimes:
    """Decaying means of a time in ms, for each class and for all together.

    A class that has not been observed yet is taken to be like all together.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._all = _Times(clock)
        self._classes: dict[str, _Times] = {}

    @property
    def mean(self) -> float:
        """Return the mean of all classes; 0 before the first sample."""
        return self._all.mean

    def has(self, class_name: str) -> bool:
        """Return whether a class has been observed."""
        return class_name in self._classes

    def mean_of(self, class_name: str) -> float:
        """Return the mean of a class; 0 before the first sample of any."""
        return self._classes.get(class_name, self._all).mean

    def margin_of(self, class_name: str) -> float:
        """Return how much longer than the mean a class takes at most, usually.

        As the retransmission timeout of TCP, this allows for the deviation: V.
        Jacobson, "Congestion avoidance and control", 1988.
        """
        times = self._classes.get(class_name, self._all)
        return _USUAL_DEVIATIONS * times.deviation

    def add(self, names: Iterable[str], time_ms: float) -> None:
        """Add a sample of the classes with these names."""
        for name in names:
            times = self._classes.get(name)
            if times is None:
                self._forget_oldest()
                times = _Times(self._clock)
                self._classes[name] = times
            times.add(time_ms)
        self._all.add(time_ms)

    def _forget_oldest(self) -> None:
        """Make room for another class; routes come and go."""
        if len(self._classes) >= _MAX_CLASSES:
            self._classes.pop(next(iter(self._classes)))
