"""The HTTP API for operators and for the targets of this host."""
