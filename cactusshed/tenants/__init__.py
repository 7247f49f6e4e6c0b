"""Organisations (tenants) whose requests are told apart by a key."""
