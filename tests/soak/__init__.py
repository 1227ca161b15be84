"""A randomized soak: real processes, faults from outside, strict callers."""
