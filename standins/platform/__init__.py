"""A stand-in for the object store API of a platform, for tests."""
