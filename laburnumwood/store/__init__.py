"""Access to the platform's store of objects."""
