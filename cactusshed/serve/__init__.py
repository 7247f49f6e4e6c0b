"""The call path, from a caller's request to the target's response."""
