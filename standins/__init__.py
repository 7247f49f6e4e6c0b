"""Small stand-ins for the platform, targets and callers, for demo and tests."""
