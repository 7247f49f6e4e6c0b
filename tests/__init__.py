"""Tests: functions with shared fixtures, matchers from testtools."""
