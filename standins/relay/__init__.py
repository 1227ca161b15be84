"""A TCP relay that cuts, silences and delays what passes through it."""
