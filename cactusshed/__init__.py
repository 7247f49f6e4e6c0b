"""A service mesh with inherited settings, for old hosts."""

__version__ = "0.1.0"
