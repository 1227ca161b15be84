"""Checks and behaviour tests of laburnumwood."""
