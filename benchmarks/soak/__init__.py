"""Soak test of real instances against platform fakes, with randomized faults."""
