"""Counters, histograms, events and the page that shows them."""
