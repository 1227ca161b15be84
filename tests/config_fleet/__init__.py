"""A random simulation of a configuration's way through a fleet.

The classes of the product run as they are, over a simulated clock, network and
store.  A seed draws the size of the fleet, its load and what troubles it.
"""
