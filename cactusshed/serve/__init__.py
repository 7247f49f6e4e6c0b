"""The call path: filters from the caller's request to the target's answer."""
