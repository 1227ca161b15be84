"""Small stand-ins for the systems that laburnumwood works with."""
