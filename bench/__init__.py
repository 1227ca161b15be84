"""Demonstration and measurements."""
