"""A TCP relay that injects resets, drops and delays into connections."""
