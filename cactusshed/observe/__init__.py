"""Metrics and logs: counters, histograms, log lines and the metrics page."""
