"""The command-line tool for operators of the router."""
