"""Tests: plain functions with shared fixtures and matchers from testtools."""
