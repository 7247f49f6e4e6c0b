"""Adapters for the users' platform: its names and formats, mapped to our types."""
