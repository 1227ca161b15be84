"""Admission control in front of the worker."""
