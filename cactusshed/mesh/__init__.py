"""The path of calls on the users' platform: one process beside each target."""
