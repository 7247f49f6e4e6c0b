"""The listener for operators and for the targets of this host."""
