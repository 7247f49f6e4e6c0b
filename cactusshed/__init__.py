"""Configuration distribution system for a service mesh of old hosts."""

__version__ = "0.1.0"
