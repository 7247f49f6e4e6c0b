"""The platform: its narrow port, a client, and what is built on the two."""
