"""A stand-in for the object store of the users' platform, for tests.

Objects are identified by kind and name.
"""
