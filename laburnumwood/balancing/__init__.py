"""Choice of the node that a request of a service without keys goes to."""
