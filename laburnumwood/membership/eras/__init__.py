"""Eras of the store, which may come back from an older copy."""
