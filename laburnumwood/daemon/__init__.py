"""The daemon of the router, laburnumwoodd."""
