"""Records kept in the platform: changes, leases and claims, and the client."""
