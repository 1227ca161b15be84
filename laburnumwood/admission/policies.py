"""The parts that a policy of admission needs, by its name."""

from laburnumwood.admission.caller_times import CallerTimes
from laburnumwood.admission.control import ADMISSION_POLICIES
from laburnumwood.admission.least_cost import LEAST_COST
from laburnumwood.clock import Clock
from laburnumwood.settings import AdmissionSettings

__all__ = ('ADMISSION_POLICIES', 'LEAST_COST', 'make_caller_times')


def make_caller_times(
    settings: AdmissionSettings, clock: Clock
) -> CallerTimes | None:
    """Return the estimates that a door makes for a policy, None if none."""
    return CallerTimes(clock) if settings.policy == LEAST_COST else None
