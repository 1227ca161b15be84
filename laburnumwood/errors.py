"""The types of everything that can go wrong."""


class LaburnumwoodError(Exception):
    """The base of all errors of this package."""
