"""Pacing of large answers on the link of a host."""
