"""Call path on the users' platform: one proxy process beside each target."""
