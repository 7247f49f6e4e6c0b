"""Memory and descriptors that are held for the clients of a listener."""
