"""Test servers that stand in for the systems that laburnumwood depends on."""
