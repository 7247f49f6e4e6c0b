"""Emulator: runs the real gates and first nodes under a random load in virtual time."""
