"""Randomized fault soak of real instances on the platform's stand-ins."""
