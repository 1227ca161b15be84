"""Leases: holders, witnesses, quorums and seals."""
