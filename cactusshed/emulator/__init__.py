"""Emulator: the real gates and first nodes against a drawn load, in virtual time."""
